#ifndef KINGCUPLINK_SITE_FLEET_LEADER_HPP_INCLUDED
#define KINGCUPLINK_SITE_FLEET_LEADER_HPP_INCLUDED

#include <functional>
#include <kingcuplink/site/advice_queries.hpp>
#include <kingcuplink/site/caller_records.hpp>
#include <kingcuplink/site/keyed_reader.hpp>
#include <kingcuplink/site/leader_peers.hpp>
#include <kingcuplink/site/load_report.hpp>
#include <kingcuplink/site/node_parts.hpp>
#include <kingcuplink/site/start_relay.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <kingcuplink/site/worker_clocks.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace kingcuplink {

/*!
 * Leader of the fleet for one term: executes the decisions of its dispatcher. The term is the epoch of its
 * appends and part of the fencing tokens of its commands to workers. After end() it cannot be started
 * again. Must only be used on the control thread.
 */
class fleet_leader : public std::enable_shared_from_this<fleet_leader> {
public:
    /*! Called once when the log or a worker rejects the term because it has received a higher one. */
    using fenced_listener = std::function<void()>;

    /*! Called with records that the leader appended to the log, and the offset of the first one. */
    using commit_listener = std::function<void(std::uint64_t offset, std::span<keyed_record const>, record_way)>;

    /*!
     * Constructs a leader; the references must outlive it.
     * @param sequence Sequence number of the append that claimed the term.
     * @param claimed_at When that append was first sent; a later leader may have claimed a higher term since.
     */
    fleet_leader(node_parts parts, peer_link &peers, std::uint64_t term, std::uint64_t sequence, instant claimed_at,
        fenced_listener on_fenced, commit_listener on_commit);

    /*! Starts the leader. Must be called once, after the rules and all jobs were added. */
    void start();

    /*! Stops the leader permanently; it starts no further appends, commands or heartbeats. */
    void end() noexcept;

    /*! Stops the leader and appends its resignation to the log; the reason is written to the decision log. */
    boost::asio::awaitable<void> resign(std::string_view reason);

    /*! Returns why another leadership should begin, or nothing: a larger entry VM, or few epochs left. */
    [[nodiscard]] std::optional<std::string_view> reason_to_resign(instant now) const noexcept;

    /*! Returns whether the log has not accepted this leader's appends for so long that it is replaced. */
    [[nodiscard]] bool has_stalled(instant now) const noexcept;

    /*! Replaces the operators' rules. */
    void set_rules(std::shared_ptr<site_rules const> rules);

    /*! Adopts a record of the time at which all runs on a worker will have ended; see dispatcher::adopt_lapse(). */
    void adopt_lapse(std::string const &worker, std::optional<instant> at);

    /*! Adds a job that was read from the log. */
    void add_job(job_entry const &entry);

    /*! Cancels a job on a caller's request. */
    void cancel_job(std::string const &id);

    /*! Registers or refreshes an entry VM that introduced itself: it queries the adviser and relays starts. */
    void add_peer(std::string const &peer, wire::introduction const &introduction);

    /*! Returns the entry VMs that may lead next. */
    [[nodiscard]] std::vector<leader_candidate> candidates() const {
        return known_peers_.candidates();
    }

    /*! Handles the adviser's answer that another entry VM forwarded. */
    void take_advice(std::string const &peer, wire::advice_answer const &answer);

    /*! Handles another entry VM's answer to a relayed start. */
    void handle_start_reply(std::string const &peer, wire::start_reply const &reply);

    /*!
     * Appends callers' records with the leader's next append, before its own records. Returns `refused` if surely none
     * of them was appended: the log refused them repeatedly, or the leadership has ended.
     * @param jobs Jobs among the records that are new to this entry VM. They are planned at once, so that their first
     * starts need no further append; the starts are sent after the append, and never if it is refused.
     */
    boost::asio::awaitable<append_outcome> append(std::vector<caller_record> records, std::vector<job_definition> jobs);

    /*! Schedules the removal of jobs from the log. */
    void remove_jobs(std::vector<std::string> const &ids);

    [[nodiscard]] std::uint64_t term() const noexcept {
        return term_;
    }

    /*! Returns the dispatcher's figures for metrics. */
    [[nodiscard]] dispatch_statistics figures() const;

private:
    /*! Mode of polling a worker for its runs. */
    enum class poll_mode : std::uint8_t {
        /*! The worker may delay its answer until a run ends; leases are extended, and completions acknowledged. */
        long_poll,
        /*! The worker answers at once; no lease is extended and no end acknowledged, whichever boot answers. */
        immediate
    };

    using self_pointer = std::shared_ptr<fleet_leader>;

    boost::asio::awaitable<void> follow_workers(self_pointer self);
    void apply_registrations(keyed_batch const &batch);
    /*! Counts an invalid registration and logs it once per key and reason; a removal clears the key. */
    void reject_registration(keyed_record const &record, std::string const &fault);
    boost::asio::awaitable<void> watch_worker(self_pointer self, std::string name);
    /*! Polls a worker and applies its answer; returns false if it did not answer or the leader has ended. */
    boost::asio::awaitable<bool> poll_worker(std::string name, poll_mode mode);
    /*! Logs that a poll was answered by a boot for the first time, and whether the registration names that boot. */
    void log_boot(std::string const &worker, std::uint64_t boot);
    /*! Polls a worker in addition to the regular polls, to learn of an expected end or an unconfirmed start. */
    boost::asio::awaitable<void> poll_immediately(self_pointer self, std::string worker);
    boost::asio::awaitable<void> run_planner(self_pointer self);
    boost::asio::awaitable<void> run_heartbeats(self_pointer self);
    void send_heartbeat(heartbeat_receiver const &receiver, std::span<leader_candidate const> candidates);
    [[nodiscard]] std::uint32_t most_millicores() const noexcept;
    void report_load(instant now);
    void notify_job_ends(progress_batch const &batch);
    void log_run_changes();
    void log_unknown_run(unknown_run const &run);
    boost::asio::awaitable<void> run_appender(self_pointer self);
    [[nodiscard]] progress_batch take_batch();
    /*! Returns the records of a batch, and those that are due regardless of it. */
    [[nodiscard]] std::vector<keyed_record> encode_batch(progress_batch &batch);
    /*! Sends the starts of a batch that is committed, and tells the other entry VMs of ended jobs. */
    void apply_committed(progress_batch const &batch);
    /*! Content of one append: callers' records precede the leader's own, which may refer to them. */
    struct append_content {
        std::vector<caller_records::group_pointer> callers;
        std::vector<keyed_record> own;
    };

    /*!
     * Appends the waiting records of callers, then own records, retrying until these are committed; returns false if
     * the leader has ended.
     */
    boost::asio::awaitable<bool> append_records(std::vector<keyed_record> records);
    /*! Appends content in one append; callers' records that the log refuses repeatedly are withdrawn from it. */
    boost::asio::awaitable<bool> append_content_once(append_content content);
    void commit(append_content const &content, std::uint64_t offset);
    /*!
     * Refuses the callers whose records are surely not in the log, and removes what was planned for jobs that they
     * define.
     * @param may_be_done True if the content may be in the log already.
     */
    void refuse_callers(append_content &content, bool may_be_done);
    [[nodiscard]] keyed_record own_claim(bool resigned) const;
    boost::asio::awaitable<void> start_run(self_pointer self, run_start run);
    /*! Outcome of a start, whose copies were sent one after another. */
    struct start_outcome {
        start_answer answer{start_answer::not_sent};
        /*! Token of the latest copy. */
        std::uint64_t token{};
        std::uint32_t attempts{};
    };

    /*! Applies the answer to a start and logs it. */
    void apply_start_answer(run_start const &run, start_outcome const &outcome);
    /*! Sends a start, and sends it again without an answer for as long as that may help. */
    boost::asio::awaitable<start_outcome> send_start_repeatedly(run_start run);
    /*! Sends a start once, through another entry VM while the load calls for it. */
    boost::asio::awaitable<start_answer> send_start(run_start run, std::uint64_t token, std::int64_t expires_at);
    /*! Returns true if a start that had no answer is sent again; waits until it is time for that. */
    boost::asio::awaitable<bool> await_repetition(run_start run, std::uint32_t attempts, instant sent_at);
    boost::asio::awaitable<void> stop_run(self_pointer self, run_stop stop);
    void settle_question(std::string const &asker, advice_query const &query, advice_queries::grants const &grants);
    /*! Executes a planning round and returns its duration. */
    millis plan();
    /*! Records a round for the metrics and the load report. */
    void record_round(dispatch_plan const &plan, std::chrono::microseconds duration);
    void remove_silent_peers(instant now);
    /*! Ends the leadership because a higher term exists. */
    void fenced(std::string_view by);
    [[nodiscard]] std::uint64_t token_for(std::string const &worker) const;
    [[nodiscard]] millis lease_for(std::string const &worker) const;
    [[nodiscard]] bool may_extend_leases(instant now) const;

    node_parts parts_;
    peer_link &peers_;
    std::uint64_t term_;
    std::uint64_t sequence_;
    fenced_listener on_fenced_;
    commit_listener on_commit_;
    dispatcher dispatcher_;
    keyed_reader registrations_;
    leader_peers known_peers_;
    advice_queries queries_;
    start_relay relay_;
    load_report load_;
    worker_clocks clocks_;
    std::set<std::string> watched_;
    /*! Reasons of rejected registrations, by key. */
    std::map<std::string, std::string> rejected_registrations_;
    std::vector<keyed_record> removals_;
    caller_records caller_records_;
    /*! Jobs that are planned although their definitions are not committed yet. */
    std::set<std::string, std::less<>> uncommitted_jobs_;
    wakeup plan_wakeup_;
    wakeup append_wakeup_;
    instant leader_since_;
    /*!
     * Latest time at which the log certainly accepted this leader's appends, and the duration of the latest append.
     */
    instant appended_at_;
    millis append_time_{};
    bool ended_{};
};

} // namespace kingcuplink

#endif
