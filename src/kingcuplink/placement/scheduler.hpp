#ifndef KINGCUPLINK_PLACEMENT_SCHEDULER_HPP_INCLUDED
#define KINGCUPLINK_PLACEMENT_SCHEDULER_HPP_INCLUDED

#include <kingcuplink/core/result.hpp>
#include <kingcuplink/placement/state.hpp>
#include <kingcuplink/placement/types.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Enables the mechanisms of the scheduler; benchmark baselines disable some of them. */
struct scheduler_options {
    /*! True to order teams by weighted dominant share, false to order by job age alone. */
    bool fair_order{true};
    bool tight_fit{true};
    bool backfill{true};
    bool preemption{true};
    bool reservations{true};
    bool urgent_first{true};
    bool learn_from_history{true};
    /*! Attempt numbers start above this value, so that successive leaders never reuse a number. */
    std::uint32_t first_attempt{};
};

/*!
 * Assigns tasks to workers within one failure domain. Performs no I/O and reads
 * no clock: events are passed in with their time, plan() returns commands.
 * Deterministic: the same events produce the same commands. Not thread safe.
 *
 * Identifiers must have been returned by the same scheduler. Stale identifiers are ignored unless stated otherwise.
 */
class scheduler {
public:
    /*! Constructs an empty scheduler. */
    explicit scheduler(scheduler_options options = {});

    /*! Sets the policies of all job kinds. */
    void set_policies(std::span<kind_policy const, job_kind_count> policies);

    /*! Adds a worker in the unusable state, or returns the existing worker with that name. */
    worker_id add_worker(std::string_view name, std::string_view rack, resources const &size);

    /*! Enables or disables placement on a worker. Tasks that already run there are not affected. */
    void set_usable(worker_id worker, bool usable);

    /*! Adds a team or updates its share. */
    team_id set_team(std::string_view name, std::int64_t share);

    /*!
     * Submits a job. Jobs are identified by key: a known key returns the existing
     * job, unless that job was relinquished.
     * @param withheld True if the tasks must wait for release_withheld().
     */
    job_id submit(std::string key, job_spec const &spec, instant accepted_at, bool withheld = false);

    /*! Cancels a job: waiting tasks end immediately, running tasks are commanded to stop. */
    bool cancel(job_id job, instant now);

    /*!
     * Relinquishes a job, to move it to another failure domain, if all its unfinished tasks are pending.
     * @return True if this scheduler will never start the job again.
     */
    bool relinquish(job_id job, instant now);

    /*! Fails a job with the given reason. */
    void fail_job(job_id job, std::string reason, instant now);

    /*! Adopts a task that was found running on a worker. */
    void adopt(task_id task, worker_id worker, resources const &charge, std::uint32_t attempt, instant started_at);

    /*! Ends a task whose outcome on an earlier worker became known. Ignored if the task is on a worker now. */
    void resolve_task(task_id task, task_state final_state, instant now);

    /*!
     * Releases a withheld task for placement. If it may have started and is not repeatable, it ends as may_have_run
     * instead.
     */
    void release_withheld(task_id task, bool may_have_started, instant now);

    /*! Reports that a task was started. */
    void start_confirmed(task_id task, instant now);

    /*! Reports the outcome of a task on its worker. */
    void task_ended(task_id task, task_outcome outcome, instant now);

    /*! Reports the actual resource usage of a running task. */
    void report_use(task_id task, resources const &used);

    /*! Stops tasks of a team, newest first, until its usage is within the limit. */
    void shed(team_id team, resources const &limit);

    /*! Stops all repeatable tasks. */
    void drain();

    /*! Stops all repeatable tasks of a worker. */
    void drain(worker_id worker);

    /*!
     * Runs a planning round.
     * @param now Current time.
     * @param gate Enforces the limits of teams.
     * @param plan Receives the commands; its previous content is cleared.
     */
    void plan(instant now, start_gate &gate, placement_plan &plan);

    /*! Returns the record, or a null pointer if the identifier is stale. */
    [[nodiscard]] job_record const *find(job_id job) const noexcept;
    /*! @copydoc find */
    [[nodiscard]] task_record const *find(task_id task) const noexcept;
    /*! @copydoc find */
    [[nodiscard]] worker_record const *find(worker_id worker) const noexcept;
    /*! @copydoc find */
    [[nodiscard]] team_record const *find(team_id team) const noexcept;

    /*! Returns the identifier for a name, or `std::nullopt` if there is none. */
    [[nodiscard]] std::optional<job_id> job_of(std::string const &key) const;
    /*! @copydoc job_of */
    [[nodiscard]] std::optional<worker_id> worker_of(std::string const &name) const;
    /*! @copydoc job_of */
    [[nodiscard]] std::optional<team_id> team_of(std::string const &name) const;

    /*! Returns all identifiers in unspecified order. */
    [[nodiscard]] std::span<job_id const> jobs() const noexcept;
    /*! @copydoc jobs */
    [[nodiscard]] std::span<worker_id const> workers() const noexcept;
    /*! @copydoc jobs */
    [[nodiscard]] std::span<team_id const> teams() const noexcept;

    /*! Returns the total capacity of all usable workers. */
    [[nodiscard]] resources total() const noexcept;

private:
    void end_tasks(job_id job, task_state final_state, instant now);
    void requeue_after_failure(task_id task, instant now);
    void break_gang(job_id job);

    scheduler_options options_;
    internal::placement_state state_;
};

} // namespace kingcuplink

#endif
