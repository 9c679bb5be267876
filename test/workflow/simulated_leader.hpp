#ifndef KINGCUPLINK_TEST_WORKFLOW_SIMULATED_LEADER_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_SIMULATED_LEADER_HPP_INCLUDED

#include "simulated_log.hpp"
#include "simulated_worker.hpp"

#include <functional>
#include <kingcuplink/site/worker_clocks.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! Worker for which a call is meant. */
struct call_target {
    std::string name;
    std::string address;
    /*! Boot for which the call is meant, zero for any. */
    std::uint64_t boot{};
};

/*! Parameters of a poll of a worker. */
struct poll_request {
    std::uint64_t token{};
    std::uint64_t kept_end{};
    millis wait{};
    std::optional<std::int64_t> expires_at{};
};

/*! Environment of a simulated leader on its entry VM: clock, timers, workers and log. */
class leader_host {
public:
    using action = std::function<void()>;
    /*! Receives the approved workers, or an empty optional if the adviser did not answer. */
    using advice_callback = std::function<void(std::optional<std::vector<advice_grant>> const &)>;

    virtual ~leader_host() = default;

    /*! Reads the clock of the entry VM; it may be paused between two readings. */
    [[nodiscard]] virtual instant now() = 0;

    /*! Runs an action on the entry VM after a delay; while the entry VM is paused, the action is deferred. */
    virtual void after(millis delay, action callback) = 0;

    /*! Runs an action after a short random delay, so that actions which are due already may run before it. */
    virtual void post(action callback) = 0;

    virtual void append(
        std::vector<log_record> records, append_writer writer, std::function<void(append_result)> done) = 0;

    /*! Reads the registrations of the workers; passes an empty optional if the platform did not answer. */
    virtual void read_registrations(std::function<void(std::optional<std::vector<worker_registration>>)> done) = 0;

    /*!
     * Polls a worker for its runs and completions; passes a null pointer if it did not answer within the timeout.
     */
    virtual void poll(
        call_target target, poll_request request, millis timeout, std::function<void(poll_answer const *)> done) = 0;

    /*! Sends a start command to a worker; its lease expires at the given time of the worker's clock, in ms. */
    virtual void start(run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout,
        std::function<void(start_answer)> done) = 0;

    /*! Sends a stop command to a worker; passes true if the worker accepted it. */
    virtual void stop(run_stop stop, std::uint64_t token, millis timeout, std::function<void(bool)> done) = 0;

    /*! Sends a query to the adviser. */
    virtual void ask_adviser(advice_query query, advice_callback done) = 0;

    /*! Reports the end of a job to the callers of all entry VMs. */
    virtual void show_end(std::string const &job, job_phase phase) = 0;

    /*! Sends a heartbeat to the other entry VMs. */
    virtual void send_heartbeat(std::uint64_t term, millis log_age, millis append_time) = 0;

    /*! Adds an event of a job to the timeline. */
    virtual void trace(std::string const &job, std::string const &text) = 0;

    /*! Reports a run that a worker listed and the leader did not expect there. */
    virtual void report_unknown_run(unknown_run const &run) = 0;

    /*! Reports that a start without an answer is sent again. */
    virtual void report_repeated_start() = 0;

    /*! Called once when the leader learns that it was superseded. */
    virtual void fenced() = 0;
};

/*! Drives a dispatcher as the leader of the fleet does, event by event and without I/O. */
class simulated_leader : public std::enable_shared_from_this<simulated_leader> {
public:
    /*!
     * Constructs a leader; the host must outlive it.
     * @param claimed_at Time at which the append that claimed the term was first sent.
     * @param lease_limit Longest lease that workers grant.
     * @param defers_starts True if other work may run between the commit of an intent and its start command.
     */
    simulated_leader(leader_host &host, std::string name, std::uint64_t term, std::uint64_t sequence,
        instant claimed_at, millis lease_limit, bool defers_starts);

    /*! Sets the operators' rules. */
    void set_rules(std::shared_ptr<site_rules const> rules);

    /*! Adopts the record of the time at which all runs on a worker will have ended. */
    void adopt_lapse(std::string const &worker, instant at);

    /*! Adds a job in the state that the log gives it. */
    void add_job(job_entry const &entry);

    /*! Cancels a job on a caller's request. */
    void cancel_job(std::string const &id);

    /*! Starts all periodic activities. */
    void start();

    /*! Ends all activities and appends the resignation, once. */
    void resign();

    /*! Ends all activities permanently. */
    void end() noexcept {
        is_stopped_ = true;
    }

    [[nodiscard]] std::uint64_t term() const noexcept {
        return term_;
    }

private:
    /*! Only long polls wait, acknowledge committed completions and renew leases; first polls accept any boot. */
    enum class poll_mode : std::uint8_t { first, long_poll, immediate };

    /*! Event that one activity can wait for. */
    struct wakeup {
        bool is_set{};
        std::uint64_t generation{};
        leader_host::action continuation{};
    };

    /*! Runs an action once the event is set, or after the time limit. */
    void wait(wakeup &event, millis limit, leader_host::action then);
    void notify(wakeup &event);
    void run_registration_reader();
    void apply_registrations(std::vector<worker_registration> const &entries);
    void run_worker_polling(std::string const &name, bool was_answered);
    void poll_worker(std::string const &name, poll_mode mode, std::function<void(bool)> done);
    void apply_poll_answer(std::string const &name, poll_answer const &answer, instant sent_at);
    void trace_run_changes();
    void poll_immediately(std::string const &name);
    void run_planner();
    void plan();
    void ask_adviser(advice_query const &query);
    void run_log_writer();
    void append_batch();
    /*! @param possibly_committed_since When the first attempt with an unknown outcome was sent, if there was one. */
    void append_records(
        std::vector<log_record> records, std::optional<instant> possibly_committed_since, leader_host::action then);
    void handle_committed_batch(progress_batch const &batch);
    /*! @param earlier Number of copies of the start that were sent before and had no answer. */
    void start_run(run_start const &run, std::uint32_t earlier = 0u);
    /*! Sends a start again that had no answer, or concludes it. */
    void repeat_start(run_start const &run, std::uint32_t attempts, instant sent_at);
    void handle_start_answer(run_start const &run, start_answer answer);
    void stop_run(run_stop const &stop);
    void run_heartbeats();
    void fenced();
    [[nodiscard]] std::uint64_t token_for(std::string const &worker) const;
    [[nodiscard]] millis lease_for(std::string const &worker) const;
    /*! Returns true if the last append is recent enough to grant and renew leases. */
    [[nodiscard]] bool may_extend_leases(instant now) const;

    leader_host &host_;
    std::string name_;
    std::uint64_t term_;
    std::uint64_t sequence_;
    bool defers_starts_;
    dispatcher dispatcher_;
    worker_clocks clocks_;
    std::set<std::string> polled_workers_;
    wakeup plan_wakeup_;
    wakeup log_wakeup_;
    instant appended_at_;
    millis append_duration_{};
    bool is_stopped_{};
};

} // namespace kingcuplink::test

#endif
