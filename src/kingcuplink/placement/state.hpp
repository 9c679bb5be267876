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

/*! Position of a job in its team's queue: urgent first, then by age. */
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

/*! Tables of the scheduler. Free functions below keep them consistent. */
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
    /*! Queue of each team, by the index of its identifier. */
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

/*! Returns the policy of a job's kind. */
[[nodiscard]] kind_policy const &policy_of(placement_state const &state, job_record const &job) noexcept;

/*! Puts a worker into the index, or takes it out, as its record demands. */
void reindex(placement_state &state, worker_id worker);

/*! Charges a task to a worker and its team. */
void assign(placement_state &state, task_id task, worker_id worker, resources const &charge);

/*! Takes a task off its worker. */
void unassign(placement_state &state, task_id task);

/*! Puts a job into its team's queue, or takes it out, as its record demands. */
void requeue(placement_state &state, job_id job, instant now);

/*! Moves a task to a final state and ends its job with the last one. */
void finish_task(placement_state &state, task_id task, task_state final_state, instant now);

/*! Makes a task wait for a worker again. */
void make_pending(placement_state &state, task_id task);

/*! Orders the stop of a task that is on a worker; ignored if it is being stopped. */
void request_stop(placement_state &state, task_id task, stop_reason reason);

/*! Frees the workers that are kept for a job. */
void release_reservations(placement_state &state, job_id job);

/*! Counts a failure on a worker and quarantines it if needed. */
void record_worker_failure(placement_state &state, worker_id worker, job_id job, instant now);

/*! Counts a success on a worker. */
void record_worker_success(placement_state &state, worker_id worker);

/*! Returns the part of all shares that a team has among those with work. */
[[nodiscard]] double share_target(placement_state const &state, team_id team);

} // namespace kingcuplink::internal

#endif
