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

/*! What is known of another entry VM. */
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

/*! Answer of a peer to a call. */
struct peer_answer {
    /*! Set if the peer refused, or gave no answer. */
    std::optional<problem> refused{};
    boost::json::value body{};
};

/*!
 * Directory of the other entry VMs: what their heartbeats say, messages and calls
 * to them. To be used by the control thread alone.
 */
class peer_directory {
public:
    using handler = std::function<void(wire::envelope const &)>;

    /*!
     * Constructs a directory and begins to listen.
     * @param on_message Called on the control thread for messages other than replies.
     * Throws zmq::error_t if the peer address cannot be bound.
     */
    peer_directory(
        boost::asio::io_context &context, daemon_settings const &settings, counters &stats, handler on_message);

    /*! Connects to the entry VMs of a document and forgets all others. */
    void update(document const &rules);

    /*! Connects to a peer that no document names yet. */
    void connect_unlisted(std::string const &peer, std::string const &address);

    /*! Notes a heartbeat. */
    void heard(std::string const &peer, wire::heartbeat const &beat, instant now);

    /*! Sends a message; false if it was dropped. */
    bool send(std::string const &peer, wire::envelope &message);

    /*! Sends a call and waits for its answer. */
    boost::asio::awaitable<peer_answer> call(
        std::string peer, wire::call_kind kind, boost::json::value body, millis timeout);

    /*! Answers a call. */
    void reply(std::string const &peer, std::uint64_t id, peer_answer const &answer);

    /*! Takes an answer to a call. */
    void complete_call(wire::reply const &answer);

    /*! Cuts this process off from named peers; a fault for tests. */
    void block_peers(std::set<std::string> names);

    /*! Returns all peers, by name. */
    [[nodiscard]] std::map<std::string, peer_state> const &peers() const noexcept;

    /*! Tells whether a peer was heard lately. */
    [[nodiscard]] bool is_live(peer_state const &peer, instant now) const noexcept;

    /*! Returns the leader of a failure domain as far as known, or an empty text. */
    [[nodiscard]] std::string leader_of(std::string const &domain, instant now) const;

    /*! Returns the names of the live members of this failure domain, this one included, in order. */
    [[nodiscard]] std::vector<std::string> live_members(instant now, millis silence) const;

    /*! Tells whether any entry VM of another failure domain was heard lately. */
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
