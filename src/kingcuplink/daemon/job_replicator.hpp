#ifndef KINGCUPLINK_DAEMON_JOB_REPLICATOR_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_JOB_REPLICATOR_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <kingcuplink/authority/job_ledger.hpp>
#include <kingcuplink/daemon/peer_directory.hpp>
#include <kingcuplink/platform/platform_client.hpp>
#include <list>
#include <map>
#include <string>

namespace kingcuplink {

/*! Replicas that must have an event before it counts as durable. */
enum class durability : std::uint8_t {
    /*! The log or any mirror; a mirror in another failure domain while the log is unavailable and one is reachable. */
    any_replica,
    /*! Every possible next leader: the log, or all other entry VMs of the failure domain. */
    all_successors
};

/*!
 * Replicates the job events of this failure domain: standbys mirror the leader's job
 * ledger, events are appended in batches to the journal in the log, and while the log
 * is unavailable an entry VM of another failure domain mirrors the ledger too. Also
 * stores the ledgers that other failure domains mirror to this entry VM. Not
 * thread-safe: use it from the control thread only.
 */
class job_replicator {
public:
    /*! Constructs a replicator with empty ledgers; all references must outlive it. */
    job_replicator(boost::asio::io_context &context, daemon_settings const &settings, platform_client &platform,
        peer_directory &peers, counters &stats);

    /*! Starts the mirroring and journal loops, which are active while this entry VM leads. */
    void start();

    /*! Sets whether this entry VM leads its failure domain; resets all mirrors. */
    void set_leading(bool leading);

    /*!
     * Records whether the other log clients of this process reach the log. Once unavailable, the log counts as
     * available again only when no event waits for the journal or an append succeeds.
     */
    void set_log_available(bool answers) noexcept;

    /*! Sets a listener that is called when a peer mirrored events of this failure domain to this leader. */
    void on_ledger_changed(std::function<void()> listener);

    /*!
     * Records an event as the leader and schedules its replication.
     * @return Its sequence number.
     */
    std::uint64_t record(job_event event);

    /*!
     * Waits until an event is durable outside this process.
     * @return Description of the replica, or an empty string after the timeout.
     */
    boost::asio::awaitable<std::string> wait_durable(std::uint64_t sequence, durability rule, millis timeout);

    /*! Returns true if the log is available or a mirror is synchronized. */
    [[nodiscard]] bool has_replica() const noexcept;

    /*! Returns true if the mirror of a standby is synchronized. */
    [[nodiscard]] bool has_standby() const noexcept;

    /*!
     * Merges the job events of this failure domain from all live peers and the journal into the ledger.
     * @return True if the journal was read to its end.
     */
    boost::asio::awaitable<bool> recover_ledger();

    /*! Reads the journal of another failure domain; returns no value if it was not read to its end. */
    boost::asio::awaitable<std::optional<job_ledger>> read_journal_of(std::string domain);

    /*!
     * Appends events to the journal of a failure domain that has lost its leader.
     * @return True if the log acknowledged the append; if false, the events may have been appended nevertheless.
     */
    boost::asio::awaitable<bool> append_to_journal_of(std::string domain, std::vector<job_event> events);

    /*! Sends the ledger to the new leader of this failure domain. */
    void send_ledger(std::string const &leader);

    /*! Applies and acknowledges mirrored events from a leader, a former leader or another failure domain. */
    void handle_mirror(std::string const &peer, wire::mirror const &message);

    /*! Handles the acknowledgement of mirrored events by a peer. */
    void handle_mirror_ack(std::string const &peer, wire::mirror_ack const &message);

    /*! Returns the stored ledger of a failure domain as a JSON array of events. */
    [[nodiscard]] boost::json::value ledger_of(std::string const &domain) const;

    /*! Returns true if this process had mirrored a leader before its last change of leadership. */
    [[nodiscard]] bool was_standby() const noexcept;

    /*! Returns the ledger of this failure domain. */
    [[nodiscard]] job_ledger const &ledger() const noexcept;

private:
    struct mirror_target {
        std::uint64_t stream{};
        std::uint64_t sent{};
        std::uint64_t acked{};
        bool synced{};
        bool is_standby{};
        instant last_sent{};
        instant last_acked{};
    };

    struct mirror_source {
        std::uint64_t stream{};
        std::uint64_t next{};
    };

    struct waiter {
        std::uint64_t sequence{};
        durability rule{};
        boost::asio::steady_timer timer;
        std::string place{};
    };

    boost::asio::awaitable<void> mirror_loop();
    boost::asio::awaitable<void> journal_loop();
    boost::asio::awaitable<void> request_ledger(std::string peer, std::shared_ptr<std::size_t> pending);
    boost::asio::awaitable<bool> read_journal(std::string domain, job_ledger &ledger);
    void choose_targets(instant now);
    void flush();
    void send_reset(std::string const &peer, mirror_target &mirror, instant now);
    void send_new(std::string const &peer, mirror_target &mirror, instant now);
    void trim_recent_events();
    void notify_waiters();
    [[nodiscard]] std::string durable_location(std::uint64_t sequence, durability rule) const;
    bool apply_events(job_ledger &ledger, boost::json::array const &events);

    boost::asio::io_context &context_;
    daemon_settings const &settings_;
    platform_client &platform_;
    peer_directory &peers_;
    counters &stats_;
    std::function<void()> listener_;
    job_ledger ledger_;
    std::map<std::string, job_ledger> foreign_ledgers_;
    std::deque<std::string> recent_events_;
    std::uint64_t first_recent_sequence_{1};
    std::uint64_t next_sequence_{1};
    std::uint64_t journalled_sequence_{};
    /*! First sequence number of this entry VM's current leadership. */
    std::uint64_t first_led_sequence_{1};
    std::uint64_t next_stream_;
    bool leading_{};
    bool has_mirrored_leader_{};
    bool was_standby_{};
    bool log_available_{true};
    bool flush_posted_{};
    instant last_refresh_{};
    std::map<std::string, mirror_target> targets_;
    std::map<std::string, mirror_source> sources_;
    std::list<waiter> waiters_;
};

} // namespace kingcuplink

#endif
