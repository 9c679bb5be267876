#ifndef KINGCUPLINK_WORKFLOW_DISPATCH_PLANNER_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_DISPATCH_PLANNER_HPP_INCLUDED

#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace kingcuplink::internal {

/*! One planning round of a dispatcher. */
class dispatch_planner {
public:
    /*! Constructs a round. All arguments must outlive it. */
    dispatch_planner(dispatch_state &state, instant now, dispatch_plan &out);

    /*! Executes the round: places waiting steps in order of rank, then collects stops. Must be called once. */
    void run();

private:
    /*! A step with waiting tasks. */
    struct waiting_step {
        service_rank rank;
        job_id job;
        std::uint32_t step;
        job_terms const *queue;
    };

    /*! Capacity of the candidates of a service. */
    struct service_capacity {
        /*! Sum of the available capacity. */
        resources available;
        /*! Largest available capacity, separately for each dimension; computed when needed. */
        std::optional<resources> largest;
    };

    /*! A worker that accepts new runs in this round. */
    struct candidate {
        worker_id id;
        live_worker *worker;
        /*! Capacity not used by runs and not reserved for preceding steps of this round. */
        resources available;
        service_capacity *of_service;
    };

    /*! A candidate for one step. */
    struct option {
        candidate *on;
        /*! Null if a valid ticket has to be requested from the adviser first. */
        advice_ticket const *ticket;
    };

    void plan_stops();
    void collect_candidates();
    /*! Processes waiting steps in order of rank, up to a limit on the work of a round, and some of the others in turn.
     */
    void process_waiting_steps();
    /*!
     * Processes steps that have got an answer of the adviser, as far as they do not precede the given one. Returns
     * their number; the rest is left to the next round.
     */
    std::size_t process_answered(std::span<step_key const> answered, ranked_step const &first);
    /*!
     * Processes steps from the given one on, in turn over several rounds, so that none waits for good behind others.
     * Returns their number, which is at least one.
     */
    std::size_t process_in_turn(ranked_step const &first);

    /*! Places a step and records why it still has waiting tasks. */
    void process_step(ranked_step const &step);
    void place_step(waiting_step const &current);
    /*! Returns why nothing can be done for a step in this round, or nothing if its candidates have to be examined. */
    [[nodiscard]] std::optional<hold_reason> reason_to_skip(waiting_step const &current);
    /*! Returns the maximum available capacity over all candidates of a service, separately for each dimension. */
    [[nodiscard]] resources const &max_available(std::string const &service);
    /*! Returns true if a service has capacity that is not promised to steps with a query in flight. */
    [[nodiscard]] bool has_unpromised_capacity(std::string const &service, resources const &size) const;
    /*! Reserves capacity of a candidate for the rest of this round. */
    void reserve(candidate &target, resources const &size);
    /*! Places as many tasks as possible. Returns true if advice may allow further placements. */
    bool place_tasks(waiting_step const &current, std::vector<option> const &options);
    /*! Returns true if no run of a task exists or may exist, and the task is due. */
    [[nodiscard]] bool is_startable(live_job const &job, std::uint32_t step, std::uint32_t index) const;
    /*! Returns true if a task is expected to be startable by a time. */
    [[nodiscard]] bool is_startable_by(live_job const &job, std::uint32_t step, std::uint32_t index, instant at) const;
    /*! Returns true if a worker may run tasks of a step now or later, even if it currently accepts none. */
    [[nodiscard]] bool may_ever_run(waiting_step const &current, worker_id id) const;
    /*! Returns true if a worker does not answer, but did so until recently. */
    [[nodiscard]] bool is_briefly_silent(live_worker const &worker) const;
    /*!
     * Returns true if a task may be placed on workers on which it has failed: if it is long-running, if no other worker
     * may ever run it, or if it has waited for another one for long enough.
     */
    [[nodiscard]] bool may_retry_on_failed_workers(waiting_step const &current, live_task const &task);
    /*! Returns the option with a ticket that leaves the least unused after penalties, or null if no option fits. */
    [[nodiscard]] option const *best_fit(
        waiting_step const &current, std::vector<option> const &options, live_task const &task);
    /*! Places all members or none. Returns true if advice may allow a placement. */
    bool place_gang(waiting_step const &current, std::vector<option> &options);
    /*! Whether the members of a gang may be started. */
    enum class gang_readiness : std::uint8_t {
        ready,
        /*! Their earlier runs are expected to be over when the adviser answers a query. */
        ready_soon,
        blocked
    };

    [[nodiscard]] gang_readiness readiness_of_gang(waiting_step const &current) const;
    /*! Places the members on as few workers as possible. Returns false, placing none, if they do not all fit. */
    [[nodiscard]] bool place_members(waiting_step const &current, std::vector<option> const &options);
    /*!
     * Returns true if capacity may be withheld from lower ranks for a gang: if the gang is expected to start before it
     * loses its value, and shortly if the fleet is mostly idle.
     */
    [[nodiscard]] bool may_reserve_for_gang(waiting_step const &current, std::vector<option> const &options);
    /*! Computes may_reserve_for_gang(), whose result is used for a while. */
    [[nodiscard]] bool is_expected_to_start(waiting_step const &current, std::vector<option> const &options);
    /*! Returns true if less than half of the capacity of a service is in use, in every dimension. */
    [[nodiscard]] bool is_mostly_idle(std::string const &service);
    /*! Returns the capacity of a worker without the runs that are expected to continue at a time. */
    [[nodiscard]] resources expected_capacity(live_worker const &worker, instant at) const;
    /*! Returns the time at which a run is expected to end; instant::max() for a long-running one. */
    [[nodiscard]] instant expected_end(placement const &run) const;
    /*!
     * Reserves capacity for a gang and preempts other runs if that frees enough for it. Returns true if the gang can
     * start once the pending stops are done.
     */
    bool reserve_for_gang(waiting_step const &current, std::vector<option> &options);
    /*! Returns runs to preempt on a worker so that one task fits, or nothing if it would not fit or fits already. */
    [[nodiscard]] std::vector<placement_id> victims_for(
        waiting_step const &current, live_worker const &worker, resources available, resources const &size) const;
    /*!
     * Returns true if a run may be preempted for a step: it writes checkpoints, belongs to no gang, has run for a
     * while, was not preempted too often, and has a lower rank.
     */
    [[nodiscard]] bool is_victim(placement const &run, waiting_step const &current) const;

    /*! Returns the candidates that may run a step; the ticket of an option is null if it has expired. */
    [[nodiscard]] std::vector<option> options_for(waiting_step const &current);
    /*! Adds the candidates about which the adviser has not been queried for this step. */
    void add_unqueried_options(waiting_step const &current, std::vector<option> &options);
    [[nodiscard]] static bool may_run(
        worker_registration const &worker, job_terms const &queue, step_definition const &step);
    /*! Returns the number of tasks of a step that fit into the given capacity of one worker. */
    [[nodiscard]] static std::uint32_t slots_on_worker(step_definition const &step, resources const &capacity) noexcept;
    /*! Returns the number of tasks of a step that fit into the available capacity of the options. */
    [[nodiscard]] static std::uint32_t slots_in(std::vector<option> const &options, step_definition const &step);
    /*! Returns the expected duration of a query. */
    [[nodiscard]] static millis query_duration(advice_terms const &terms, std::size_t workers) noexcept;
    /*! Returns the maximum number of workers in a query for a step. */
    [[nodiscard]] static std::size_t max_workers_to_query(live_job const &job, std::uint32_t step) noexcept;
    /*! Returns the limit that a query of the given duration would exceed, if any. */
    [[nodiscard]] std::optional<hold_reason> limit_on_query(millis duration) const;
    /*! Returns why the adviser cannot be queried for a step, if so. Precondition: its queue uses advice. */
    [[nodiscard]] std::optional<hold_reason> reason_not_to_query(waiting_step const &current) const;
    /*! Adds a query for the workers without a usable ticket, within the limits on queries in flight. */
    void request_advice(waiting_step const &current, std::vector<option> const &options);
    /*! Returns the workers without a usable ticket, those with most capacity that no query in flight needs first. */
    [[nodiscard]] std::vector<option const *> workers_to_query(
        waiting_step const &current, std::vector<option> const &options) const;
    /*!
     * Takes one of the places of a round for steps that may query the adviser although the fleet has no capacity for
     * them, so that they have tickets once there is some. A step takes one place at most. Returns false if none is
     * left.
     */
    bool take_place_without_capacity(waiting_step const &current);
    [[nodiscard]] bool is_within_ceiling(live_job const &job, resources const &charge) const;
    [[nodiscard]] std::uint32_t tasks_on(live_worker const &worker, job_id job, std::uint32_t step) const;
    void add_intent(waiting_step const &current, std::uint32_t index, std::uint32_t run, option const &target);

    dispatch_state &state_;
    instant now_;
    dispatch_plan &out_;
    std::vector<candidate> candidates_;
    /*! Position in candidates_, by the index of the worker's identifier. */
    std::vector<std::size_t> candidate_at_;
    /*! Work of this round so far, in visits of waiting steps and candidates. */
    std::size_t work_{};
    std::size_t reserving_gangs_{};
    /*! Why the current step still has waiting tasks. */
    hold_reason held_by_{hold_reason::not_due};
    /*! Results of is_mostly_idle(), by service. */
    std::map<std::string, bool> mostly_idle_;
    std::map<std::string, service_capacity> services_;
    /*! Gangs without any advice and without capacity that were processed in this round. */
    std::size_t first_advice_gangs_{};
    /*! Steps other than gangs that found no capacity in this round and could use advice. */
    std::size_t steps_without_capacity_{};
    /*! True once the current step has taken a place without capacity. */
    bool is_counted_{};
};

/*! Returns the share of each worker in the demand of a query, in thousandths of a core. */
[[nodiscard]] std::int64_t demand_per_worker(advice_query const &query) noexcept;

/*! Returns the maximum number of short queries in flight, given the number of entry VMs. */
[[nodiscard]] std::size_t short_query_limit(std::size_t querying_vms) noexcept;

/*! Returns the number of tasks of a size that fit into the available resources. */
[[nodiscard]] std::uint32_t fit_count(resources const &size, resources const &available) noexcept;

} // namespace kingcuplink::internal

#endif
