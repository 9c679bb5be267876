#ifndef KINGCUPLINK_PLACEMENT_STATE_HPP_INCLUDED
#define KINGCUPLINK_PLACEMENT_STATE_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <deque>
#include <kingcuplink/core/dense_map.hpp>
#include <kingcuplink/placement/run_history.hpp>
#include <kingcuplink/placement/types.hpp>
#include <kingcuplink/placement/worker_index.hpp>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcuplink::internal {

/*! Sort key of a job in the queue of its team: urgent jobs first, then by age. */
struct queue_position {
    bool normal{};
    instant accepted_at{};
    std::uint64_t sequence{};

    friend auto operator<=>(queue_position const &, queue_position const &) noexcept = default;
};

using team_queue = std::map<queue_position, job_id>;

/*! Workers of one rack. */
struct rack_record {
    std::string name;
    std::vector<worker_id> workers{};
};

/*! Tables of the scheduler. The free functions below keep them consistent. */
struct placement_state {
    dense_map<worker_id, worker_record> workers;
    dense_map<team_id, team_record> teams;
    dense_map<job_id, job_record> jobs;
    dense_map<task_id, task_record> tasks;
    dense_map<rack_id, rack_record> racks;
    std::unordered_map<std::string, worker_id> workers_by_name;
    std::unordered_map<std::string, team_id> teams_by_name;
    std::unordered_map<std::string, job_id> jobs_by_key;
    std::unordered_map<std::string, rack_id> racks_by_name;
    worker_index index;
    /*! Queues, indexed by the index of the team identifier. */
    std::vector<team_queue> queues;
    std::set<std::pair<instant, job_id>> delayed;
    std::set<std::pair<instant, worker_id>> quarantined;
    std::vector<worker_id> reserved;
    std::deque<stop_command> pending_stops;
    std::vector<task_id> pending_throttles;
    std::vector<job_id> ended;
    std::deque<job_id> ended_order;
    std::array<kind_policy, job_kind_count> policies{};
    run_history history;
    resources total;
    std::uint64_t next_sequence{};
    std::size_t preemption_cursor{};
    instant next_reservation{};
};

/*! Returns the policy for the kind of a job. */
[[nodiscard]] kind_policy const &policy_of(placement_state const &state, job_record const &job) noexcept;

/*! Adds a worker to the index, updates or removes it, according to its record. */
void reindex(placement_state &state, worker_id worker);

/*! Assigns a task to a worker and charges the worker and the team. */
void assign(placement_state &state, task_id task, worker_id worker, resources const &charge);

/*! Removes a task from its worker and reverts the charges. */
void unassign(placement_state &state, task_id task);

/*! Adds a job to the queue of its team or removes it, according to its record. */
void requeue(placement_state &state, job_id job, instant now);

/*! Moves a task to a final state. Ends the job if this was its last unfinished task. */
void finish_task(placement_state &state, task_id task, task_state final_state, instant now);

/*! Returns a task to the pending tasks of its job. */
void make_pending(placement_state &state, task_id task);

/*! Issues a stop command for a task. Ignored unless the task is starting or running. */
void request_stop(placement_state &state, task_id task, stop_reason reason);

/*! Releases the workers reserved for a job. */
void release_reservations(placement_state &state, job_id job);

/*! Records a failure on a worker and quarantines the worker if required. */
void record_worker_failure(placement_state &state, worker_id worker, job_id job, instant now);

/*! Records a success on a worker. */
void record_worker_success(placement_state &state, worker_id worker);

/*! Returns the share of a team as a fraction of the shares of all teams with work. */
[[nodiscard]] double share_target(placement_state const &state, team_id team);

} // namespace kingcuplink::internal

#endif
