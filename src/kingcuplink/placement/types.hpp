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
    /*! Waits for a worker. */
    queued,
    /*! May run on a worker that is not seen now; not started elsewhere until it is. */
    withheld,
    /*! A start was ordered; its confirmation is due. */
    starting,
    running,
    /*! A stop was ordered; it still counts as running. */
    stopping,
    succeeded,
    failed,
    cancelled,
    /*! It is not known whether it ran, and it must not be repeated. */
    may_have_run
};

/*! Returns the name of a state. */
[[nodiscard]] std::string_view name_of(task_state state) noexcept;

/*! Tells whether a task in a state takes part of a worker. */
[[nodiscard]] constexpr bool is_on_worker(task_state const state) noexcept {
    return state == task_state::starting || state == task_state::running || state == task_state::stopping;
}

/*! Tells whether a state is final. */
[[nodiscard]] constexpr bool is_final(task_state const state) noexcept {
    return state >= task_state::succeeded;
}

/*! Why a task is stopped. */
enum class stop_reason : std::uint8_t { cancelled, preempted, excess_use, over_ceiling, domain_out, gang_broken };

/*! Returns the name of a reason. */
[[nodiscard]] std::string_view name_of(stop_reason reason) noexcept;

/*! How a task ended on its worker. */
enum class task_outcome : std::uint8_t {
    succeeded,
    failed,
    /*! Stopped by order; a checkpoint keeps its progress. */
    stopped,
    /*! The start had no effect. */
    not_started,
    /*! The worker went away with it. */
    lost
};

/*! Order to start a task. */
struct start_command {
    task_id task;
    worker_id worker;
};

/*! Order to stop a task. A checkpoint is taken first unless it was cancelled. */
struct stop_command {
    task_id task;
    stop_reason reason;
};

/*! Orders of one planning round. */
struct placement_plan {
    std::vector<start_command> starts;
    std::vector<stop_command> stops;
    std::vector<task_id> throttles;
    /*! Jobs that ended in this round or since the last one. */
    std::vector<job_id> ended;

    /*! Removes all orders and keeps the memory. */
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
    /*! Worker it is on, or the last one. */
    worker_id worker{};
    /*! What it takes of the worker. */
    resources charge{};
    std::uint32_t attempt{};
    instant started_at{};
    instant expected_end{};
    /*! Run time that a checkpoint keeps. */
    millis progress{};
    bool throttled{};
    /*! True if the history knows its use. */
    bool use_recorded{};
    stop_reason stopped_for{stop_reason::cancelled};
};

/*! State of a job as a whole. */
enum class job_state : std::uint8_t { queued, running, succeeded, failed, cancelled, may_have_run, moved };

/*! Returns the name of a state. */
[[nodiscard]] std::string_view name_of(job_state state) noexcept;

/*! Tells whether a state is final. */
[[nodiscard]] constexpr bool is_final(job_state const state) noexcept {
    return state >= job_state::succeeded;
}

/*! One job. */
struct job_record {
    /*! Identifier that callers know. */
    std::string key;
    job_spec spec;
    team_id team;
    job_state state{job_state::queued};
    /*! Why it failed, for callers. */
    std::string reason{};
    instant accepted_at{};
    instant first_start{};
    instant ended_at{};
    std::uint64_t sequence{};
    std::vector<task_id> tasks{};
    std::vector<task_id> pending{};
    /*! Size charged for a task: what was declared, raised by reported use. */
    resources task_charge{};
    std::uint32_t failures{};
    std::set<worker_id> failed_on{};
    instant not_before{};
    std::int64_t on_workers{};
    std::int64_t unfinished{};
    bool cancelled{};
    bool enqueued{};
};

/*! One worker. */
struct worker_record {
    std::string name;
    rack_id rack;
    resources size;
    resources charged{};
    /*! True while it is held, not leaving, and its failure domain takes work. */
    bool usable{};
    std::vector<task_id> tasks{};
    /*! Different jobs that failed here since one last succeeded. */
    std::set<job_id> failing_jobs{};
    instant quarantined_until{};
    millis quarantine{};
    bool on_probation{};
    /*! Job for which the worker is kept free, if any. */
    job_id reserved_for{};
    instant reserved_at{};
    /*! Time until which short tasks may use it nevertheless. */
    instant reserved_until{};
};

/*! Returns what a worker has left. */
[[nodiscard]] constexpr resources free_of(worker_record const &worker) noexcept {
    return worker.size - worker.charged;
}

/*! One team in this failure domain. */
struct team_record {
    std::string name;
    std::int64_t share{1};
    resources charged{};
    resources urgent_charged{};
    std::int64_t queued_jobs{};
};

/*! Decides whether a team may take more; strategy supplied by the caller of the scheduler. */
class start_gate {
public:
    virtual ~start_gate() = default;

    /*!
     * Tells whether a start keeps the team within its terms.
     * @param team Team of the task.
     * @param worker Worker the task would start on.
     * @param charge What it would take.
     */
    [[nodiscard]] virtual bool permits(
        team_record const &team, worker_record const &worker, resources const &charge) = 0;

    /*! Tells the gate of a start that the scheduler decided on. */
    virtual void started(team_record const &team, worker_record const &worker, resources const &charge) = 0;

    /*! Tells the gate that a start of this round is taken back. */
    virtual void undone(team_record const &team, worker_record const &worker, resources const &charge) = 0;
};

} // namespace kingcuplink

#endif
