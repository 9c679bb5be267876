#ifndef KINGCUPLINK_WORKFLOW_DISPATCH_PLANNER_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_DISPATCH_PLANNER_HPP_INCLUDED

#include <kingcuplink/workflow/dispatcher.hpp>
#include <optional>
#include <vector>

namespace kingcuplink::internal {

/*! One planning round of a dispatcher. */
class dispatch_planner {
public:
    /*! Begins a round; all arguments must outlive it. */
    dispatch_planner(dispatch_state &state, instant now, dispatch_plan &out);

    /*! Runs the round. */
    void run();

private:
    /*! A step that has waiting tasks, in the order of waiting. */
    struct waiting_step {
        service_rank rank;
        job_id job;
        std::uint32_t step;
        queue_rules const *queue;
    };

    /*! A worker that takes work in this round. */
    struct candidate {
        worker_id id;
        live_worker *worker;
        /*! Room that neither runs nor claims of earlier steps take. */
        resources available;
    };

    /*! A candidate for one step. */
    struct option {
        candidate *on;
        /*! Null if the adviser must be asked for a ticket first. */
        advice_ticket const *ticket;
    };

    void plan_stops();
    void collect_candidates();
    [[nodiscard]] std::vector<waiting_step> sorted_waiting_steps() const;

    void place_step(waiting_step const &current);
    /*! Tells whether no candidate has room for one task and this round's limits for asking and claiming are used up. */
    [[nodiscard]] bool can_be_skipped(waiting_step const &current);
    /*! Returns the most room of any candidate, each dimension by itself. */
    [[nodiscard]] resources const &max_available();
    /*! Takes room of a candidate for this round. */
    void reserve(candidate &target, resources const &size);
    /*! Places what can be placed; true if advice may help to place more. */
    bool place_tasks(waiting_step const &current, std::vector<option> const &options);
    /*! Tells whether a worker may get tasks of a step sooner or later, also if it takes none at present. */
    [[nodiscard]] bool may_ever_run(waiting_step const &current, worker_id id) const;
    /*! Tells whether a task may go back to workers on which it failed: if it lasts, or no other may ever run it. */
    [[nodiscard]] bool may_retry_on_failed_workers(waiting_step const &current, live_task const &task) const;
    [[nodiscard]] option const *best_fit(
        waiting_step const &current, std::vector<option> const &options, live_task const &task) const;
    /*! Places all members or none; true if advice may help. */
    bool place_gang(waiting_step const &current, std::vector<option> &options);
    [[nodiscard]] bool place_members(
        waiting_step const &current, std::vector<option> const &options, std::span<std::uint32_t const> members);
    /*! Keeps room for a gang and has other runs stopped for it; true if that will be enough. */
    bool reserve_for_gang(waiting_step const &current, std::vector<option> &options, std::uint32_t count);
    [[nodiscard]] std::vector<placement_id> victims_for(
        waiting_step const &current, live_worker const &worker, resources available, resources const &size) const;
    [[nodiscard]] bool is_victim(placement const &run, waiting_step const &current) const;

    /*! Returns the workers on which a step may start, with or without a ticket that still holds. */
    [[nodiscard]] std::vector<option> options_for(waiting_step const &current);
    /*! Adds the workers that the adviser was not asked about. */
    void add_unqueried_options(waiting_step const &current, std::vector<option> &options);
    [[nodiscard]] static bool may_run(
        worker_registration const &worker, queue_rules const &queue, step_definition const &step);
    /*! Returns how many tasks of a step fit into the room of options. */
    [[nodiscard]] static std::uint32_t slots_in(std::vector<option> const &options, step_definition const &step);
    [[nodiscard]] bool may_query_adviser(waiting_step const &current) const;
    void request_advice(waiting_step const &current, std::vector<option> const &options, bool is_gang);
    [[nodiscard]] bool is_within_ceiling(live_job const &job, resources const &charge) const;
    [[nodiscard]] std::uint32_t tasks_on(live_worker const &worker, job_id job, std::uint32_t step) const;
    void add_intent(waiting_step const &current, std::uint32_t index, std::uint32_t run, option const &target);

    dispatch_state &state_;
    instant now_;
    dispatch_plan &out_;
    std::vector<candidate> candidates_;
    /*! Position of each worker's candidate, by the index of its identifier. */
    std::vector<std::size_t> candidate_at_;
    /*! Cached; reserve() resets it. */
    std::optional<resources> max_available_;
    std::size_t reserving_gangs_{};
    /*! Gangs without any advice, and other steps without room, that were looked at in this round. */
    std::size_t first_advice_gangs_{};
    std::size_t steps_without_capacity_{};
};

/*! Returns how many tasks of a size fit into an amount. */
[[nodiscard]] std::uint32_t fit_count(resources const &size, resources const &available) noexcept;

} // namespace kingcuplink::internal

#endif
