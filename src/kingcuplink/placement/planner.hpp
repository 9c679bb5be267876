#ifndef KINGCUPLINK_PLACEMENT_PLANNER_HPP_INCLUDED
#define KINGCUPLINK_PLACEMENT_PLANNER_HPP_INCLUDED

#include <kingcuplink/placement/scheduler.hpp>
#include <kingcuplink/placement/state.hpp>
#include <optional>
#include <vector>

namespace kingcuplink::internal {

/*! Executes one planning round. */
class planner {
public:
    /*! Prepares a round. All arguments must outlive the planner. */
    planner(
        placement_state &state, scheduler_options const &options, start_gate &gate, placement_plan &plan, instant now);

    /*! Runs the round. */
    void run();

private:
    enum class phase : std::uint8_t { urgent, all };

    /*! Position of the round in the queue of one team. */
    struct cursor {
        team_id team;
        team_queue::iterator next;
        std::size_t failed_attempts{};
        bool closed{};
    };

    void take_pending_commands();
    void wake_delayed();
    void end_quarantines();
    void expire_reservations();

    void fill(phase which);
    [[nodiscard]] std::vector<cursor> open_cursors(phase which);
    [[nodiscard]] cursor *next_cursor(std::vector<cursor> &cursors, phase which);
    [[nodiscard]] double cursor_key(cursor const &position, phase which) const;
    /*! Tries to place the next job of a team. Returns false if no task was started. */
    bool place_next(cursor &position, phase which);

    [[nodiscard]] bool place_job(job_id job);
    [[nodiscard]] bool place_gang(job_id job);
    [[nodiscard]] std::optional<worker_id> find_worker(job_id job, resources const &need);
    [[nodiscard]] std::optional<worker_id> find_in_index(job_record const &job, resources const &need);
    [[nodiscard]] std::optional<worker_id> find_spread(job_record const &job, resources const &need) const;
    [[nodiscard]] std::optional<worker_id> find_reserved(job_id job, resources const &need) const;
    [[nodiscard]] std::optional<worker_id> find_backfill(job_record const &job, resources const &need) const;
    void start(task_id task, worker_id worker, resources const &charge);
    void undo(std::span<start_command const> starts);

    [[nodiscard]] bool is_known_unplaceable(resources const &need) const;
    [[nodiscard]] bool is_within_urgent_reserve(team_record const &team) const;

    void preempt_for_blocked();
    [[nodiscard]] bool may_preempt(job_record const &job) const;
    [[nodiscard]] bool is_victim(task_record const &task, job_record const &claimant) const;
    [[nodiscard]] std::vector<task_id> victims_on(
        worker_record const &worker, job_record const &claimant, std::int64_t wanted) const;
    bool preempt_for(job_id job);

    void reserve_for_blocked();
    [[nodiscard]] bool needs_reservation(job_record const &job) const;
    bool reserve_for(job_id job);

    placement_state &state_;
    scheduler_options const &options_;
    start_gate &gate_;
    placement_plan &plan_;
    instant now_;
    std::vector<resources> unplaceable_sizes_;
    std::vector<job_id> blocked_;
    std::size_t preemptions_{};
};

} // namespace kingcuplink::internal

#endif
