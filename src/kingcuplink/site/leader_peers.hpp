#ifndef KINGCUPLINK_SITE_LEADER_PEERS_HPP_INCLUDED
#define KINGCUPLINK_SITE_LEADER_PEERS_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! Content of an entry VM's introduction to the leader. */
struct peer_introduction {
    std::string failure_domain;
    /*! Processor time of the entry VM in thousandths of a core; zero if unknown. */
    std::uint32_t processor_millicores{};
    /*! Identifies the process. */
    std::uint64_t process{};
    /*! Clock of the process when it sent the introduction, in ms. */
    std::int64_t clock{};
    std::string peer_address{};
    /*! True while the entry VM does not reach the log, or lately could not append. */
    bool misses_log{};
};

/*! Entry VM that may lead next. */
struct leader_candidate {
    std::string name;
    std::string peer_address;
};

/*! Entry VM that is to receive a heartbeat. */
struct heartbeat_receiver {
    std::string_view name;
    /*! Time until its next heartbeat. */
    millis interval{};
};

/*! Permission for an entry VM to send a start on the leader's behalf. */
struct relay_grant {
    std::string peer;
    std::uint64_t process{};
    /*! Latest time at which it may send the start, by the clock of its process, in ms. */
    std::int64_t send_before{};
};

/*! Entry VMs that introduced themselves to the leader. Performs no I/O and reads no clock. Not thread safe. */
class leader_peers {
public:
    /*! Adds or updates an entry VM; returns true if it was not known, and should receive a heartbeat at once. */
    bool introduce(std::string const &name, peer_introduction introduction, instant now);

    /*! Removes the entry VMs whose latest introduction is too old, and returns their names. */
    std::vector<std::string> remove_silent(instant now);

    /*! Returns the largest processor time of an entry VM that reaches the log in thousandths of a core, or zero. */
    [[nodiscard]] std::uint32_t most_millicores() const noexcept;

    /*!
     * Returns the entry VMs that receive a heartbeat in the next round. The largest ones, which should lead next,
     * receive one in every round; the others one within timing::slow_heartbeat_rounds.
     */
    [[nodiscard]] std::vector<heartbeat_receiver> next_heartbeat_receivers();

    /*! Returns the largest entry VMs, first those that reach the log, at most timing::max_leader_candidates. */
    [[nodiscard]] std::vector<leader_candidate> candidates() const;

    /*!
     * Returns the entry VM that is to relay a start to a worker: one of the worker's failure domain, the same one for a
     * worker as long as it answers. Nothing if there is none.
     */
    [[nodiscard]] std::optional<relay_grant> relay_for(
        std::string_view worker, std::string_view failure_domain, instant now) const;

    /*! Records that an entry VM did not answer, or declined, a relayed start: it is not asked for a while. */
    void record_failed_relay(std::string const &name, instant now);

    /*! Returns the names of all entry VMs. */
    [[nodiscard]] std::vector<std::string> names() const;

private:
    struct peer;

    /*! Returns the positions of all entry VMs, the largest first. */
    template<typename Peers>
    [[nodiscard]] static auto by_size(Peers &peers);

    struct peer {
        peer_introduction introduction;
        instant introduced_at{};
        /*! Time until which it relays no starts. */
        instant relays_from{};
        /*! Position of its latest heartbeat among all heartbeats. */
        std::uint64_t latest_heartbeat{};
    };

    std::map<std::string, peer> peers_;
    std::uint64_t heartbeats_{};
};

} // namespace kingcuplink

#endif
