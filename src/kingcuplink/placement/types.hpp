#ifndef KINGCUPLINK_PLACEMENT_TYPES_HPP_INCLUDED
#define KINGCUPLINK_PLACEMENT_TYPES_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/ids.hpp>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/document/job_spec.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! State of a task. */
enum class task_state : std::uint8_t {
    /*! Waiting to be placed on a worker. */
    queued,
    /*! May be running on a worker that is currently unreachable; not started elsewhere until this is resolved. */
    withheld,
    /*! A start command was issued and is not yet confirmed. */
    starting,
    running,
    /*! A stop command was issued; the task still occupies its worker. */
    stopping,
    succeeded,
    failed,
    cancelled,
    /*! Unknown whether the task ran, and it is not repeatable. */
    may_have_run
};

/*! Returns the name of a task state. */
[[nodiscard]] std::string_view name_of(task_state state) noexcept;

/*! Checks whether a task in the given state occupies resources of a worker. */
[[nodiscard]] constexpr bool is_on_worker(task_state const state) noexcept {
    return state == task_state::starting || state == task_state::running || state == task_state::stopping;
}

/*! Checks whether a state is final. */
[[nodiscard]] constexpr bool is_final(task_state const state) noexcept {
    return state >= task_state::succeeded;
}

/*! Reason for stopping a task. */
enum class stop_reason : std::uint8_t { cancelled, preempted, excess_use, over_ceiling, domain_out, gang_broken };

/*! Returns the name of a stop reason. */
[[nodiscard]] std::string_view name_of(stop_reason reason) noexcept;

/*! Outcome of a task on its worker. */
enum class task_outcome : std::uint8_t {
    succeeded,
    failed,
    /*! Stopped on command; its progress is saved in a checkpoint. */
    stopped,
    /*! The start had no effect. */
    not_started,
    /*! Lost together with its worker. */
    lost
};

/*! Command to start a task. */
struct start_command {
    task_id task;
    worker_id worker;
};

/*! Command to stop a task. The worker takes a checkpoint first unless the task was cancelled. */
struct stop_command {
    task_id task;
    stop_reason reason;
};

/*! Commands issued by one planning round. */
struct placement_plan {
    std::vector<start_command> starts;
    std::vector<stop_command> stops;
    std::vector<task_id> throttles;
    /*! Jobs that ended during this round or since the previous one. */
    std::vector<job_id> ended;

    /*! Removes all commands; keeps the allocated memory. */
    void clear() noexcept {
        starts.clear();
        stops.clear();
        throttles.clear();
        ended.clear();
    }
};

/*! One task of a job. */
struct task_record {
    job_id job;
    std::int64_t ordinal{};
    task_state state{task_state::queued};
    /*! Current worker, or the most recent one. */
    worker_id worker{};
    /*! Resources charged to the worker for this task. */
    resources charge{};
    std::uint32_t attempt{};
    instant started_at{};
    instant expected_end{};
    /*! Run time saved in a checkpoint. */
    millis progress{};
    bool throttled{};
    /*! True if the usage of this task has been added to the run history. */
    bool use_recorded{};
    stop_reason stopped_for{stop_reason::cancelled};
};

/*! State of a job. */
enum class job_state : std::uint8_t { queued, running, succeeded, failed, cancelled, may_have_run, moved };

/*! Returns the name of a job state. */
[[nodiscard]] std::string_view name_of(job_state state) noexcept;

/*! Checks whether a state is final. */
[[nodiscard]] constexpr bool is_final(job_state const state) noexcept {
    return state >= job_state::succeeded;
}

/*! State of one job. */
struct job_record {
    /*! Job identifier used by clients. */
    std::string key;
    job_spec spec;
    team_id team;
    job_state state{job_state::queued};
    /*! Failure reason reported to clients. */
    std::string reason{};
    instant accepted_at{};
    instant first_start{};
    instant ended_at{};
    std::uint64_t sequence{};
    std::vector<task_id> tasks{};
    std::vector<task_id> pending{};
    /*! Resources charged per task: the declared size, raised to reported usage. */
    resources task_charge{};
    std::uint32_t failures{};
    std::set<worker_id> failed_on{};
    instant not_before{};
    std::int64_t on_workers{};
    std::int64_t unfinished{};
    bool cancelled{};
    bool enqueued{};
};

/*! State of one worker. */
struct worker_record {
    std::string name;
    rack_id rack;
    resources size;
    resources charged{};
    /*! True while the worker is held and not leaving, and its failure domain accepts work. */
    bool usable{};
    std::vector<task_id> tasks{};
    /*! Distinct jobs with a failure on this worker since the last success. */
    std::set<job_id> failing_jobs{};
    instant quarantined_until{};
    millis quarantine{};
    bool on_probation{};
    /*! Job that the worker is reserved for, if any. */
    job_id reserved_for{};
    instant reserved_at{};
    /*! Backfilled tasks on a reserved worker must be expected to end by this time. */
    instant reserved_until{};
};

/*! Returns the free capacity of a worker. */
[[nodiscard]] constexpr resources free_of(worker_record const &worker) noexcept {
    return worker.size - worker.charged;
}

/*! State of one team in this failure domain. */
struct team_record {
    std::string name;
    std::int64_t share{1};
    resources charged{};
    resources urgent_charged{};
    std::int64_t queued_jobs{};
};

/*! Strategy, supplied by the owner of the scheduler, that enforces the limits of teams. */
class start_gate {
public:
    virtual ~start_gate() = default;

    /*!
     * Checks whether a start keeps the team within its limits.
     * @param team Team of the task.
     * @param worker Worker on which the task would start.
     * @param charge Resources that the task would occupy.
     */
    [[nodiscard]] virtual bool permits(
        team_record const &team, worker_record const &worker, resources const &charge) = 0;

    /*! Notifies the gate of a start planned by the scheduler. */
    virtual void started(team_record const &team, worker_record const &worker, resources const &charge) = 0;

    /*! Notifies the gate that a start planned in this round was reverted. */
    virtual void undone(team_record const &team, worker_record const &worker, resources const &charge) = 0;
};

} // namespace kingcuplink

#endif
