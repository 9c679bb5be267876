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

/*! Which mechanisms of the scheduler are in use; baselines switch some off. */
struct scheduler_options {
    /*! True to go by weighted dominant share, false to go by age alone. */
    bool fair_order{true};
    bool tight_fit{true};
    bool backfill{true};
    bool preemption{true};
    bool reservations{true};
    bool urgent_first{true};
    bool learn_from_history{true};
    /*! Attempts are numbered from here on, so that successive leaders never use a number twice. */
    std::uint32_t first_attempt{};
};

/*!
 * Decides which task starts where within one failure domain. It performs no I/O
 * and reads no clock: events go in with their time, orders come out of plan().
 * The same events give the same orders. Not thread safe.
 *
 * Identifiers passed to it must come from it; stale ones are ignored unless stated otherwise.
 */
class scheduler {
public:
    /*! Constructs an empty scheduler. */
    explicit scheduler(scheduler_options options = {});

    /*! Sets the policies of all kinds. */
    void set_policies(std::span<kind_policy const, job_kind_count> policies);

    /*! Adds a worker that takes no work yet, or returns the one of that name. */
    worker_id add_worker(std::string_view name, std::string_view rack, resources const &size);

    /*! Lets a worker take work or keeps it from it. What runs there goes on. */
    void set_usable(worker_id worker, bool usable);

    /*! Adds a team, or changes its share. */
    team_id set_team(std::string_view name, std::int64_t share);

    /*!
     * Takes a job. The job is known by its key: one with a known key is not taken
     * again, unless it was given up meanwhile.
     * @param withheld True if its tasks must wait for release_withheld().
     */
    job_id submit(std::string key, job_spec const &spec, instant accepted_at, bool withheld = false);

    /*! Cancels a job: what waits ends at once, what runs is ordered to stop. */
    bool cancel(job_id job, instant now);

    /*!
     * Gives a job away if all of its unfinished tasks wait for a worker.
     * @return True if the right to start it is given up for good.
     */
    bool relinquish(job_id job, instant now);

    /*! Ends a job as failed, with a reason. */
    void fail_job(job_id job, std::string reason, instant now);

    /*! Takes over a task that was found on a worker. */
    void adopt(task_id task, worker_id worker, resources const &charge, std::uint32_t attempt, instant started_at);

    /*! Ends a task whose fate on a past worker was found out; for tasks that are not on a worker here. */
    void resolve_task(task_id task, task_state final_state, instant now);

    /*! Makes a withheld task wait for a worker as any other; if it may not be repeated it ends as may_have_run. */
    void release_withheld(task_id task, bool may_have_started, instant now);

    /*! Reports that a start took effect. */
    void start_confirmed(task_id task, instant now);

    /*! Reports how a task that was on a worker ended there. */
    void task_ended(task_id task, task_outcome outcome, instant now);

    /*! Reports what a running task really uses. */
    void report_use(task_id task, resources const &used);

    /*! Orders stops, newest first, until a team's use is within a limit. */
    void shed(team_id team, resources const &limit);

    /*! Orders the stop of all tasks that may be started again elsewhere. */
    void drain();

    /*! Orders the stop of a worker's tasks that may be started again elsewhere. */
    void drain(worker_id worker);

    /*!
     * Decides on starts and stops.
     * @param now Current time.
     * @param gate Keeps teams within their terms.
     * @param plan Receives the orders; what it held is lost.
     */
    void plan(instant now, start_gate &gate, placement_plan &plan);

    /*! Returns a record, or null if the identifier is stale. */
    [[nodiscard]] job_record const *find(job_id job) const noexcept;
    /*! @copydoc find */
    [[nodiscard]] task_record const *find(task_id task) const noexcept;
    /*! @copydoc find */
    [[nodiscard]] worker_record const *find(worker_id worker) const noexcept;
    /*! @copydoc find */
    [[nodiscard]] team_record const *find(team_id team) const noexcept;

    /*! Returns the identifier of a name, or nothing. */
    [[nodiscard]] std::optional<job_id> job_of(std::string const &key) const;
    /*! @copydoc job_of */
    [[nodiscard]] std::optional<worker_id> worker_of(std::string const &name) const;
    /*! @copydoc job_of */
    [[nodiscard]] std::optional<team_id> team_of(std::string const &name) const;

    /*! Returns all identifiers, in no particular order. */
    [[nodiscard]] std::span<job_id const> jobs() const noexcept;
    /*! @copydoc jobs */
    [[nodiscard]] std::span<worker_id const> workers() const noexcept;
    /*! @copydoc jobs */
    [[nodiscard]] std::span<team_id const> teams() const noexcept;

    /*! Returns the size of all usable workers. */
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
