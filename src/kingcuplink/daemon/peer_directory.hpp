#ifndef KINGCUPLINK_DAEMON_PEER_DIRECTORY_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_PEER_DIRECTORY_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/value.hpp>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/daemon/settings.hpp>
#include <kingcuplink/document/document.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuplink {

/*! State of another entry VM, from the document and its last heartbeat. */
struct peer_state {
    std::string domain;
    std::string http_address;
    instant last_heard{};
    bool leads{};
    std::uint64_t term{};
    std::uint64_t document_offset{};
    bool log_reachable{};
    bool draining{};
    std::int64_t free_slots{};
};

/*! Reply of a peer to a call. */
struct peer_answer {
    /*! Set if the peer refused the call, could not be reached or did not reply in time. */
    std::optional<problem> refused{};
    boost::json::value body{};
};

/*!
 * Tracks the other entry VMs by their heartbeats and exchanges messages and calls
 * with them. Not thread-safe: use it from the control thread only.
 */
class peer_directory {
public:
    using handler = std::function<void(wire::envelope const &)>;

    /*!
     * Constructs a directory and starts listening on the peer address.
     * @param on_message Called on the control thread for each message of a peer that is not blocked, replies included.
     * Throws zmq::error_t if the peer address cannot be bound.
     */
    peer_directory(
        boost::asio::io_context &context, daemon_settings const &settings, counters &stats, handler on_message);

    /*! Connects to the entry VMs that a document lists; disconnects and removes all others. */
    void update(document const &rules);

    /*! Connects to a peer that the document does not list; ignores an invalid address. */
    void connect_unlisted(std::string const &peer, std::string const &address);

    /*! Records the state in a peer's heartbeat; ignores peers that the document does not list. */
    void heard(std::string const &peer, wire::heartbeat const &beat, instant now);

    /*! Sends a message; returns false if it was dropped. */
    bool send(std::string const &peer, wire::envelope &message);

    /*! Sends a call and waits for its reply until the timeout. */
    boost::asio::awaitable<peer_answer> call(
        std::string peer, wire::call_kind kind, boost::json::value body, millis timeout);

    /*! Sends the reply to a peer's call. */
    void reply(std::string const &peer, std::uint64_t id, peer_answer const &answer);

    /*! Completes the pending call that a reply belongs to; ignores replies to unknown calls. */
    void complete_call(wire::reply const &answer);

    /*! Drops all messages to and from the named peers; fault injection for tests. */
    void block_peers(std::set<std::string> names);

    /*! Returns all peers, by name. */
    [[nodiscard]] std::map<std::string, peer_state> const &peers() const noexcept;

    /*! Returns true if a heartbeat of the peer arrived within the heartbeat timeout of its failure domain. */
    [[nodiscard]] bool is_live(peer_state const &peer, instant now) const noexcept;

    /*! Returns the live leader of a failure domain with the highest term, or an empty string if none is known. */
    [[nodiscard]] std::string leader_of(std::string const &domain, instant now) const;

    /*!
     * Returns the sorted names of the live entry VMs of this failure domain, including this one.
     * @param silence Time since the last heartbeat from which an entry VM no longer counts as live.
     */
    [[nodiscard]] std::vector<std::string> live_members(instant now, millis silence) const;

    /*! Returns true if any entry VM of another failure domain is live. */
    [[nodiscard]] bool is_other_domain_live(instant now) const;

private:
    struct pending_call {
        explicit pending_call(boost::asio::io_context &context) : timer{context} {}

        boost::asio::steady_timer timer;
        std::optional<peer_answer> answer{};
    };

    boost::asio::io_context &context_;
    daemon_settings const &settings_;
    std::map<std::string, peer_state> peers_;
    std::set<std::string> blocked_;
    std::map<std::uint64_t, std::shared_ptr<pending_call>> calls_;
    std::uint64_t next_call_;
    peer_link link_;
};

} // namespace kingcuplink

#endif
