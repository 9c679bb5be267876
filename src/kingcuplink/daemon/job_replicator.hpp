#ifndef KINGCUPLINK_DAEMON_JOB_REPLICATOR_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_JOB_REPLICATOR_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <kingcuplink/authority/job_book.hpp>
#include <kingcuplink/daemon/peer_directory.hpp>
#include <kingcuplink/platform/platform_client.hpp>
#include <list>
#include <map>
#include <string>

namespace kingcuplink {

/*! Where an event must be kept. */
enum class durability : std::uint8_t {
    /*! In any second place; in another failure domain while the log is out and one can be reached. */
    any_replica,
    /*! Where every future leader finds it: in the log, or with all other entry VMs of the failure domain. */
    all_successors
};

/*!
 * Keeps the job events of this failure domain in more than one place: standbys
 * mirror the leader's book, the journal in the log gets batches, and while the
 * log is out an entry VM of another failure domain holds a copy. Also holds the
 * copies that others gave us. To be used by the control thread alone.
 */
class job_replicator {
public:
    /*! Constructs a keeper with empty books; all references must outlive it. */
    job_replicator(boost::asio::io_context &context, daemon_settings const &settings, platform_client &platform,
        peer_directory &peers, counters &stats);

    /*! Begins to mirror and to write the journal while this entry VM leads. */
    void start();

    /*! Sets whether this entry VM leads its failure domain. */
    void set_leading(bool leading);

    /*! Notes whether the log answers others of this process. */
    void set_log_available(bool answers) noexcept;

    /*! Sets a function that is called when the book grew from another source. */
    void on_ledger_changed(std::function<void()> listener);

    /*!
     * Records an event as the leader.
     * @return Its sequence number.
     */
    std::uint64_t record(job_event event);

    /*!
     * Waits until an event is kept elsewhere.
     * @return The place, or an empty text if the time ran out.
     */
    boost::asio::awaitable<std::string> wait_durable(std::uint64_t sequence, durability rule, millis timeout);

    /*! Tells whether some place outside this process takes events now. */
    [[nodiscard]] bool has_replica() const noexcept;

    /*! Tells whether a standby has all events. */
    [[nodiscard]] bool has_standby() const noexcept;

    /*!
     * Collects what peers and the journal know of this failure domain's jobs.
     * @return True if the journal was read to its end.
     */
    boost::asio::awaitable<bool> recover_ledger();

    /*! Reads the journal of another failure domain; nothing if it was not read to its end. */
    boost::asio::awaitable<std::optional<job_book>> read_journal_of(std::string domain);

    /*!
     * Appends events to the journal of a failure domain that has no leader any more.
     * @return True if they are surely there.
     */
    boost::asio::awaitable<bool> append_to_journal_of(std::string domain, std::vector<job_event> events);

    /*! Gives the book to the leader that took over. */
    void send_ledger(std::string const &leader);

    /*! Takes events from a leader, a former leader, or another failure domain. */
    void handle_mirror(std::string const &peer, wire::mirror const &message);

    /*! Takes the acknowledgement of a mirror. */
    void handle_mirror_ack(std::string const &peer, wire::mirror_ack const &message);

    /*! Returns all that is kept of a failure domain, as an array of events. */
    [[nodiscard]] boost::json::value ledger_of(std::string const &domain) const;

    /*! Tells whether this process mirrored a leader before it led. */
    [[nodiscard]] bool was_standby() const noexcept;

    /*! Returns the book of this failure domain. */
    [[nodiscard]] job_book const &ledger() const noexcept;

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
    boost::asio::awaitable<bool> read_journal(std::string domain, job_book &ledger);
    void choose_targets(instant now);
    void flush();
    void send_reset(std::string const &peer, mirror_target &mirror, instant now);
    void send_new(std::string const &peer, mirror_target &mirror, instant now);
    void trim_recent_events();
    void notify_waiters();
    [[nodiscard]] std::string durable_location(std::uint64_t sequence, durability rule) const;
    bool apply_events(job_book &ledger, boost::json::array const &events);

    boost::asio::io_context &context_;
    daemon_settings const &settings_;
    platform_client &platform_;
    peer_directory &peers_;
    counters &stats_;
    std::function<void()> listener_;
    job_book ledger_;
    std::map<std::string, job_book> foreign_ledgers_;
    std::deque<std::string> recent_events_;
    std::uint64_t first_recent_sequence_{1};
    std::uint64_t next_sequence_{1};
    std::uint64_t journalled_sequence_{};
    /*! First sequence number of this entry VM's current time as the leader. */
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
