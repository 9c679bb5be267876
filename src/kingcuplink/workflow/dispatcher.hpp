#ifndef KINGCUPLINK_WORKFLOW_DISPATCHER_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_DISPATCHER_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <kingcuplink/workflow/dispatch_state.hpp>
#include <kingcuplink/workflow/job_table.hpp>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace kingcuplink {

/*! Command to start a run. */
struct run_start {
    placement_id placement;
    std::string worker;
    std::string address;
    std::uint64_t boot{};
    run_key key;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    /*!
     * Time until which the start may be sent again if it has no answer, as may_repeat_start() says in detail; in the
     * past if it may be sent once only.
     */
    instant repeat_until{};
};

/*! Command to stop a run. */
struct run_stop {
    placement_id placement;
    std::string worker;
    std::string address;
    std::uint64_t boot{};
    run_key key;
};

/*! Query to the adviser for the workers that a step may use. */
struct advice_query {
    std::string job;
    std::uint32_t step{};
    std::vector<std::string> workers;
    /*! Expected response time of the adviser. */
    millis duration{};
    /*! Service of the workers. */
    std::string service{};
    /*! Capacity that the waiting tasks of the step need; it counts as promised until the query is settled. */
    resources demand{};
};

/*! A worker approved for a step, with its ticket. */
struct advice_grant {
    std::string worker;
    std::string ticket;
};

/*! Answer of a worker to a start. */
enum class start_answer : std::uint8_t {
    started,
    /*! The worker has seen a higher token. */
    fenced,
    /*! The worker has seen a higher run of the task. */
    outdated,
    /*! The lease in the command had expired. */
    late,
    no_capacity,
    bad_ticket,
    /*! The worker is unhealthy and did not start the run. */
    unhealthy,
    /*! A boot other than the intended one answered and did not start the run. */
    other_boot,
    /*! The command was definitely not sent. */
    not_sent,
    /*! There was no conclusive answer; the run may exist now or later. */
    unknown
};

/*! Returns the name of an answer. */
[[nodiscard]] std::string_view name_of(start_answer answer) noexcept;

/*!
 * Returns what the answer to a start that was sent again says of all its copies: whatever the worker does not do for
 * the latest copy, it may have done, or may still do, for an earlier one without an answer.
 */
[[nodiscard]] constexpr start_answer conclusion_after_repetition(start_answer const latest) noexcept {
    return latest == start_answer::started || latest == start_answer::fenced ? latest : start_answer::unknown;
}

/*! Number of epochs of a worker within a term. */
inline constexpr unsigned command_epoch_bits = 20u;
inline constexpr std::uint64_t max_command_epoch = (std::uint64_t{1} << command_epoch_bits) - 1u;

/*!
 * Returns the fencing token of commands to a worker. It increases with the leader's term and, within a term, with the
 * epoch of the worker: each observed restart begins one, so that a boot rejects late commands that were sent to an
 * earlier one; and so does a command that follows an acknowledgement without an answer.
 */
[[nodiscard]] constexpr std::uint64_t command_token(std::uint64_t const term, std::uint64_t const epoch) noexcept {
    return (term << command_epoch_bits) | (epoch < max_command_epoch ? epoch : max_command_epoch);
}

/*! Acknowledgement of the completions of a worker that a poll carries. */
struct completion_acknowledgement {
    /*! Number of the last completion that the worker may discard; zero for none. */
    std::uint64_t number{};
    /*! Boot and epoch of the worker in which the poll is sent. */
    std::uint64_t boot{};
    std::uint64_t epoch{};
};

/*! Position up to which the records of a batch account for the completions of a worker. */
struct completion_cursor {
    worker_id worker;
    std::uint64_t boot{};
    /*! Number of the last completion. */
    std::uint64_t number{};
};

/*! Change of the record of the time at which all runs on a worker will have ended. */
struct lapse_change {
    worker_id worker;
    std::string name;
    /*! Time to record, or nothing to remove the record. */
    std::optional<instant> at{};
};

/*! Progress to append to the log. Dependent starts and acknowledgements wait until it is committed. */
struct progress_batch {
    std::vector<std::pair<std::string, job_progress>> records;
    /*! Parts of the progress of ended jobs, which are not needed any more: job and part. */
    std::vector<std::pair<std::string, std::uint32_t>> obsolete_parts;
    /*! Definitions of ended jobs, without payload and steps. */
    std::vector<job_definition> ended_jobs;
    std::vector<placement_id> starts;
    /*! Completions that may be acknowledged once the batch is committed. */
    std::vector<completion_cursor> ends;
    /*! To be committed together with the records or after them. */
    std::vector<lapse_change> lapses;

    [[nodiscard]] bool empty() const noexcept {
        return records.empty() && starts.empty() && ends.empty() && lapses.empty();
    }
};

/*! Reason for which a step still has waiting tasks after a planning round. */
enum class hold_reason : std::uint8_t {
    /*! All tasks wait for the end of an earlier run, or for a delay after a failure. */
    not_due,
    /*! No worker has capacity for one task, or enough steps without capacity have been examined. */
    no_capacity,
    /*! No worker with a valid ticket has capacity. */
    no_approved_capacity,
    /*! The remaining tasks have failed on the workers with capacity. */
    failed_on_workers,
    /*! The account of the job has reached its ceiling. */
    ceiling,
    /*! A gang does not fit on the workers that it may use. */
    gang_capacity,
    /*! A query to the adviser is pending. */
    query_pending,
    /*! A query to the adviser has failed and is repeated after a delay. */
    query_delayed,
    /*! Too many gangs without any advice precede this one. */
    first_query_limit,
    /*! Too many short queries are pending. */
    short_query_limit,
    /*! Too many long queries are pending. */
    long_query_limit,
    /*! The step was not processed: the work of a round is limited, and its turn comes in a later one. */
    round_limit,
    count
};

/*! Number of reasons. */
inline constexpr std::size_t hold_reason_count = static_cast<std::size_t>(hold_reason::count);

/*! Returns the name of a reason. */
[[nodiscard]] std::string_view name_of(hold_reason reason) noexcept;

/*! Result of one planning round, except for intents. */
struct dispatch_plan {
    std::vector<run_stop> stops;
    std::vector<advice_query> queries;
    /*! Number of steps whose candidates were examined; the duration of a round is proportional to it. */
    std::size_t steps_examined{};
    /*! Number of steps with waiting tasks after the round, by reason. */
    std::array<std::size_t, hold_reason_count> held_steps{};
    /*! Number of queries of this round that follow an answer to the same step of which no ticket was used. */
    std::size_t unused_answers{};
    /*! Number of intents on workers on which their task has failed. */
    std::size_t retries_where_failed{};
};

/*! Tasks of one tier, and of queues with or without precedence over all others. */
struct tier_statistics {
    std::size_t waiting{};
    std::size_t running{};
    /*! Capacity that the running tasks use. */
    resources used{};
};

/*! Statistics for status and metrics. */
struct dispatch_statistics {
    std::size_t jobs{};
    std::size_t waiting_tasks{};
    std::size_t runs{};
    std::size_t workers{};
    std::size_t usable_workers{};
    /*! Pending queries to the adviser, by duration, and the limits on their number. */
    std::size_t short_queries{};
    std::size_t short_query_limit{};
    std::size_t long_queries{};
    std::size_t long_query_limit{};
    /*! Tasks by present tier of their steps; first those of queues with precedence, then the others. */
    std::array<std::array<tier_statistics, 2u>, service_tier_count> tiers{};
    /*! Capacity of the workers that accept new runs, and the part of it that is not used. */
    resources usable{};
    resources available{};
};

/*!
 * Assigns the tasks of all jobs to workers. It performs no I/O and reads no clock. An intent is committed to the log
 * before its start is sent, and a completion before it is acknowledged to the worker. A new leader therefore knows all
 * runs once it has read the log and polled the workers. Not thread safe.
 */
class dispatcher {
public:
    /*!
     * Constructs the dispatcher of a leadership term.
     * @param now Start of the leadership.
     */
    dispatcher(dispatch_limits const &limits, instant now);

    /*! Sets the operators' rules. */
    void set_rules(std::shared_ptr<site_rules const> rules);

    /*! Sets the number of entry VMs that query the adviser, at least one; it limits the queries in flight. */
    void set_querying_vms(std::size_t count) noexcept;

    /*!
     * Adds a worker or updates its registration. Its runs are kept. If the registration names another boot or address,
     * the worker gets no new runs until apply_inventory() has received an answer from it. It gets none either while a
     * boot answers that is not the registered one.
     */
    void register_worker(worker_registration entry, instant now);

    /*! Records that the registration of a worker was removed. */
    void unregister_worker(std::string const &name);

    /*!
     * Adds a job with its state from the log. Ignored if the job has ended or has no steps; of a known one, only a
     * cancellation or reported end applies.
     */
    void add_job(job_entry const &entry);

    /*!
     * Removes a job whose definition was not committed to the log, as if it had never been added. Precondition: none of
     * its starts was sent. Ignored if the job is unknown.
     */
    void withdraw_job(std::string const &id, instant now);

    /*! Cancels a job and stops its runs. */
    void cancel_job(std::string const &id);

    /*!
     * Records a lease extension for the runs of a worker. Must be called before the extension is sent.
     * @param expiry Time at which the extended leases have expired.
     */
    void record_lease_extension(std::string const &worker, lease_expiry expiry);

    /*!
     * Adopts a record of the log that all runs of earlier leaders on a worker will have ended at a time. Precondition:
     * no job with a run there was added.
     * @param at Recorded time, or nothing if the record does not hold and is only to be replaced or removed.
     */
    void adopt_lapse(std::string const &worker, std::optional<instant> at);

    /*! Returns true if the leases of a worker may be extended so that they expire at a time. */
    [[nodiscard]] bool may_extend_lease(std::string const &worker, lease_expiry const &expiry) const;

    /*! Returns true if a worker has announced that it leaves. */
    [[nodiscard]] bool is_leaving(std::string const &worker) const;

    /*!
     * Reconciles the runs of a worker with the inventory in its answer to a poll. If another boot answers, listed runs
     * continue, because a command for the earlier boot may have reached this one. Runs that had started in the earlier
     * boot are lost. Answers to polls sent before an answered one are ignored. A worker may list its runs for a long
     * poll after it has listed them for a poll that was sent later; of the older lists only what they lack counts.
     * @param sent_at Time at which the poll was sent; the effects of later commands may be missing.
     */
    void apply_inventory(std::string const &worker, worker_inventory const &inventory, instant sent_at, instant now);

    /*!
     * Records that a different worker answered at the address of a worker. The runs there are lost, unless their start
     * is pending or was answered after the poll was sent; late commands have no effect. Ignored if the worker answered
     * at another address or answered a later poll, or if its registration names another address.
     * @param address Polled address.
     * @param sent_at Time at which the poll was sent.
     * @return True if the state of the worker changed.
     */
    bool worker_replaced(std::string const &worker, std::string const &address, instant sent_at, instant now);

    /*! Returns the boot of a worker that last answered, or zero. */
    [[nodiscard]] std::uint64_t boot_of(std::string const &worker) const;

    /*! Returns true if the runs of a worker are known. */
    [[nodiscard]] bool is_reconciled(std::string const &worker) const;

    /*! Returns the epoch of a worker for command_token(), or zero. */
    [[nodiscard]] std::uint64_t command_epoch_of(std::string const &worker) const;

    /*! Returns true if a worker has used half of its epochs: another term should begin before they run out. */
    [[nodiscard]] bool needs_new_term() const noexcept {
        return state_.highest_command_epoch > max_command_epoch / 2u;
    }

    /*! Returns the number of the last completion of a worker that is committed to the log. */
    [[nodiscard]] std::uint64_t kept_end(std::string const &worker) const;

    /*!
     * Begins a poll of a worker and returns what it acknowledges: the completions that are committed to the log and not
     * confirmed as acknowledged. There are none while a run may be in an unknown boot of the worker. The poll is sent
     * in the returned epoch.
     * @param may_acknowledge False for a poll that acknowledges nothing, because it may reach an unknown boot.
     */
    [[nodiscard]] completion_acknowledgement begin_poll(std::string const &worker, bool may_acknowledge);

    /*! Records that a poll was answered; to be called once for it, after apply_inventory(). */
    void poll_answered(std::string const &worker, completion_acknowledgement const &sent);

    /*!
     * Records that a poll was not answered. The worker may have restarted as another kind: it gets no new runs until it
     * has answered a poll that was sent later.
     * @param sent_at Time at which the poll was sent.
     */
    void poll_failed(std::string const &worker, instant sent_at);

    /*! Returns true if no poll was answered that was sent after the latest one without an answer. */
    [[nodiscard]] bool has_failed_poll(std::string const &worker) const;

    /*! Returns true if a worker has completions that cannot be acknowledged yet. It answers polls at once then. */
    [[nodiscard]] bool withholds_acknowledgement(std::string const &worker) const;

    /*! Returns the number of the last recorded completion of a worker. */
    [[nodiscard]] std::uint64_t seen_end(std::string const &worker) const;

    /*! Returns true if some recorded completions of a worker are not committed to the log. */
    [[nodiscard]] bool has_unpersisted_completions(std::string const &worker) const {
        return seen_end(worker) > kept_end(worker);
    }

    /*!
     * Returns true if a start without an answer may be sent again: it carries a ticket that is still valid, its run is
     * still wanted and awaits an answer, and its worker is still in the boot and at the address that the start was
     * meant for, which is the registered one. A late copy then has no effect: in the same boot the run is there, has
     * ended or was stopped, and in another boot the ticket is not valid.
     */
    [[nodiscard]] bool may_repeat_start(run_start const &sent, instant now) const;

    /*!
     * Records that the latest copy of a start had no answer, and that the start is sent again now. Its run counts as
     * sent now: lists that were requested earlier do not tell whether it exists.
     */
    void start_repeated(placement_id placement, instant now);

    /*! Handles the answer to a start. Ignored if no answer is pending for the run. */
    void start_answered(placement_id placement, start_answer answer, instant now);

    /*!
     * Handles the end of a stop call.
     * @param answered True if the worker acknowledged the stop.
     */
    void stop_answered(placement_id placement, bool answered, instant now);

    /*! Handles the answer to an advice query; grants holds the approved workers. */
    void take_advice(advice_query const &query, std::span<advice_grant const> grants, instant now);

    /*! Handles the failure of an advice query. It is repeated after a delay. */
    void advice_failed(advice_query const &query, instant now);

    /*! Executes a planning round: creates intents and adds stops and queries to out. */
    void plan(instant now, dispatch_plan &out);

    /*! Returns the next batch for the log. Precondition: no earlier batch is pending. */
    [[nodiscard]] progress_batch next_batch();

    /*!
     * Records that a batch is committed to the log.
     * @param out Receives the starts to send. Starts whose preconditions no longer hold are dropped.
     */
    void batch_committed(progress_batch const &batch, instant now, std::vector<run_start> &out);

    /*! Returns the runs removed without a completion since the last call, for the decision log. */
    [[nodiscard]] std::vector<lost_run> take_lost_runs();

    /*! Returns the unknown runs that workers listed since the last call, for the decision log. */
    [[nodiscard]] std::vector<unknown_run> take_unknown_runs();

    /*! Returns the runs without an answer to their start that were listed since the last call, for the decision log. */
    [[nodiscard]] std::vector<late_confirmation> take_late_confirmations();

    /*! Returns the current statistics. Takes time in proportion to the tasks of all jobs. */
    [[nodiscard]] dispatch_statistics figures(instant now) const;

    /*! Returns the registration of a worker that is registered or may have runs, or null. */
    [[nodiscard]] worker_registration const *find_worker(std::string const &name) const;

private:
    void adopt_runs(job_id id, job_entry const &entry);
    /*! Returns a worker; adds one that is not registered if there is none with this name. */
    worker_id find_or_add_worker(std::string const &name);
    /*! Ends a job if its entry says that it is cancelled or was reported to have ended. */
    void adopt_end(job_id id, job_entry const &entry);
    /*! Ends the accounting for a query in flight. */
    void settle_query(advice_query const &query);
    void end_job(job_id id, job_phase phase);
    void stop_runs(job_id id, std::uint32_t step);
    void finish_task(job_id id, run_key const &key);
    void finish_step(job_id id, std::uint32_t step);
    /*! Stops the runs that were started after one that succeeded, of a task or of a gang. */
    void stop_later_runs(job_id id, run_key const &key);
    void count_failure(job_id id, run_key const &key, worker_id worker);
    /*! Marks a run as listed by its worker, and as running unless the leader knows that already. */
    void confirm_run(placement_id id, instant now);
    /*! Updates the quarantine of a worker after a run has ended there. */
    void update_quarantine(worker_id worker, job_id job, run_outcome how, instant now);
    void apply_completion(worker_id worker, listed_completion const &end, instant now);
    /*! Compares the placements of a worker with its inventory; missing runs are lost for the given reason. */
    void reconcile_runs(
        worker_id worker, worker_inventory const &inventory, run_loss reason, instant sent_at, instant now);
    /*! Adds the listed runs without a matching placement, unless a newer inventory was applied before. */
    void add_unknown_runs(worker_id worker, worker_inventory const &inventory,
        std::map<run_key, listed_run const *> const &unmatched, instant now);
    /*! Adds a listed run without a matching placement and requests its stop. */
    void add_unknown_run(worker_id worker, listed_run const &run, instant now);
    /*! Reports a run that its worker lists, if its start had no answer until now. */
    void report_late_confirmation(internal::placement const &run, instant now);
    /*! Describes an unknown run for the decision log. */
    [[nodiscard]] unknown_run describe_unknown_run(worker_id worker, run_key const &key) const;
    /*! Resets the state of a worker for another boot; its runs are kept until they are compared with its inventory. */
    void reset_for_boot(worker_id worker, std::uint64_t boot, instant now);
    /*! Removes a run that did not succeed; if it belongs to a gang, the other members are stopped. */
    void remove_run(placement_id id, instant now);
    /*! Removes a run without a listed completion and records the reason. */
    void remove_lost_run(placement_id id, run_loss reason, instant now);
    /*! Removes runs whose leases have expired, and unregistered workers without runs. */
    void expire_leases(instant now);
    /*! Adds to a batch the changes of the records of the times at which runs will have ended. */
    void add_lapse_changes(progress_batch &batch);
    /*! Applies a change of such a record that is committed to the log. */
    void apply_committed(lapse_change const &change);
    /*! Returns the time to record for a worker at which its runs will have ended, or nothing to keep the record. */
    [[nodiscard]] std::optional<instant> lapse_to_record(internal::live_worker const &worker, instant now) const;
    /*! Returns true if the preconditions of an intended start still hold. */
    [[nodiscard]] bool may_still_start(internal::placement const &run, instant now) const;
    [[nodiscard]] placement_id find_run(worker_id worker, run_key const &key) const;

    internal::dispatch_state state_;
    std::vector<lost_run> lost_;
    std::vector<unknown_run> unreported_unknown_runs_;
    std::vector<late_confirmation> late_confirmations_;
};

} // namespace kingcuplink

#endif
