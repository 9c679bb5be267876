#ifndef KINGCUPLINK_WORKFLOW_DISPATCH_STATE_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_DISPATCH_STATE_HPP_INCLUDED

#include <algorithm>
#include <cstdint>
#include <kingcuplink/core/dense_map.hpp>
#include <kingcuplink/core/ids.hpp>
#include <kingcuplink/workflow/objective.hpp>
#include <kingcuplink/workflow/site_rules.hpp>
#include <kingcuplink/workflow/types.hpp>
#include <kingcuplink/workflow/waiting_steps.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace kingcuplink {

using placement_id = basic_id<struct placement_tag>;

namespace internal {

/*! Stage of a run on a worker, as known to the leader. */
enum class placement_stage : std::uint8_t {
    /*! Planned; the intent is not committed to the log, and no start was sent. */
    intended,
    /*! The start was sent, and its answer is pending. */
    awaiting_answer,
    /*! The start has no conclusive answer: the run may exist now or later. */
    unresolved,
    /*! The intent comes from an earlier leader. */
    inherited,
    running
};

/*! A run that uses, or may use, capacity of a worker. */
struct placement {
    worker_id worker;
    job_id job;
    run_key key;
    resources charge;
    placement_stage stage{placement_stage::intended};
    /*! Number of the worker's boot that the run was planned for. */
    std::uint32_t planned_for{};
    /*! False for an unknown run: a worker listed it, but it does not match any known placement. */
    bool is_known{true};
    /*! True for an unknown run of unknown size, which is charged the whole capacity of its worker. */
    bool fills_worker{};
    std::string ticket{};
    instant ticket_until{};
    /*! Time at which the current stage began; while an answer is pending, time at which the start was last sent. */
    instant stage_since{};
    /*! Time at which this leader first sent the start. */
    instant sent_at{};
    /*! Number of the worker's boot that this leader sent the start to, if it did. */
    std::optional<std::uint32_t> sent_to{};
    /*!
     * True if the start carries no ticket. A ticket is valid in one boot of the worker only; without one, any later
     * boot may execute the start.
     */
    bool may_begin_in_other_boot{};
    /*! Time until which a later boot may execute the start; in the past if that is excluded. */
    instant may_begin_until{};
    /*! True once the known boot of the worker has listed the run. */
    bool is_listed{};
    /*! True once the intent is part of a batch for the log. */
    bool is_batched{};
    bool stop_requested{};
    bool stop_in_flight{};
    /*! Time at which the worker first acknowledged a stop. */
    std::optional<instant> first_stop_answer_at{};
    instant next_stop_at{};
};

/*! Returns true if this leader knows the run to be running, or sent its start without a conclusive answer. */
[[nodiscard]] constexpr bool is_start_concluded(placement const &run) noexcept {
    return run.stage == placement_stage::running || run.stage == placement_stage::unresolved;
}

/*!
 * Boot of a worker, by the number of restarts that this leader has observed. What is known about a boot does not apply
 * to the next one; it is ignored where it is found, since a search for it at each restart would take time in proportion
 * to all waiting tasks.
 */
struct worker_boot {
    worker_id worker;
    std::uint32_t number{};

    friend auto operator<=>(worker_boot const &, worker_boot const &) noexcept = default;
};

/*! One task of a live job. */
struct live_task {
    bool done{};
    /*! Number of the latest start. */
    std::uint32_t run{};
    /*! Latest run with a recorded completion; a worker may list a completion more than once. */
    std::uint32_t ended_run{};
    std::uint32_t failures{};
    /*! Number of times the task was stopped for a gang. */
    std::uint32_t preemptions{};
    std::string checkpoint{};
    placement_id placement{};
    instant not_before{};
    /*! Boots of workers on which the task failed. */
    std::vector<worker_boot> failed_on{};
    /*! Time of the latest failure. */
    instant failed_at{};
};

/*! Delay before a failed task is placed again, unless it is placed on a worker where it has not failed. */
inline constexpr millis failure_delay{100};

/*! Returns true if a task failed on a boot of a worker. */
[[nodiscard]] bool has_failed_on(live_task const &task, worker_boot const &worker);

/*! Ticket that allows a step to start on a worker. */
struct advice_ticket {
    std::string text;
    instant until{};
    /*! Number of the worker's boot that the ticket is valid for. */
    std::uint32_t boot{};
};

/*! Advice on the workers that a step may use. */
struct advice_state {
    /*! Workers approved by the adviser, with their latest ticket. */
    std::map<worker_id, advice_ticket> approved;
    /*! Workers included in answered queries, with the number of the boot that the latest answer applies to. */
    std::map<worker_id, std::uint32_t> asked;
    /*! Time until which tickets of the latest answer are valid. */
    instant valid_until{};
    bool in_flight{};
    /*! True if the pending query was sent although the fleet had no capacity for the step. */
    bool is_speculative{};
    /*! True if no run was placed since the latest answer. */
    bool is_answer_unused{};
    /*! Workers of the pending query as of its sending; its answer does not apply to later boots. */
    std::vector<worker_boot> queried{};
    instant not_before{};

    /*! Returns true if an answer applies to a boot of a worker. */
    [[nodiscard]] bool has_answer_for(worker_boot const &worker) const {
        auto const found = asked.find(worker.worker);
        return found != asked.end() && found->second == worker.number;
    }

    /*! Returns the ticket for a boot of a worker, valid or expired, or null. */
    [[nodiscard]] advice_ticket const *ticket_for(worker_boot const &worker) const {
        auto const found = approved.find(worker.worker);
        return found != approved.end() && found->second.boot == worker.number ? &found->second : nullptr;
    }
};

/*! One step of a live job. */
struct live_step {
    std::vector<live_task> tasks;
    std::uint32_t unfinished{};
    std::uint32_t waiting{};
    /*! Number of unfinished steps on which this step depends. */
    std::uint32_t blocked_by{};
    advice_state advice;
    /*! For gangs: the latest failed run, so that each failed run of the gang counts once. */
    std::uint32_t failed_run{};
    /*! For gangs: checkpoint shared by all members. */
    std::string checkpoint;
    /*! For gangs: whether capacity may be withheld from lower ranks, and when that was last determined. */
    bool may_hold_capacity{};
    instant reservation_checked_at{};
};

/*! A job that has not ended or still has runs. */
struct live_job {
    job_definition definition;
    /*! Terms under the rules in force; nothing if they are not known, and no task can be started. */
    std::shared_ptr<job_terms const> terms;
    job_phase phase{job_phase::queued};
    std::vector<live_step> steps;
    job_objective objective;
    bool is_excess{};
    /*! True while the progress waits for the next batch. */
    bool is_dirty{};
    /*! Number of runs that still exist or may exist. */
    std::uint32_t placements{};
    /*! Progress of each part, and phase, as of the latest batch for the log. */
    std::vector<std::vector<task_progress>> persisted_parts;
    job_phase persisted_phase{job_phase::queued};
};

/*!
 * Record in the log of the time at which all runs on a worker will have ended. As long as it stands, no run starts
 * there and no lease is extended beyond that time, so that later leaders need not wait any longer.
 */
struct lapse_record {
    /*! Time in the log; nothing if there is no record. */
    std::optional<instant> committed{};
    /*! Time in the batch that is being committed; nothing if that removes the record. */
    std::optional<instant> batched{};
    bool is_batched{};

    /*! Returns true if the log contains the record, or may contain it. */
    [[nodiscard]] bool may_stand() const noexcept {
        return committed || is_batched;
    }

    /*! Returns the time up to which leases may be extended. */
    [[nodiscard]] instant limit() const noexcept {
        auto const is_new = is_batched && batched;
        return std::min(committed.value_or(instant::max()), is_new ? *batched : instant::max());
    }
};

/*! A worker that is registered or may have runs. */
struct live_worker {
    worker_registration registration;
    /*! Boot in the last answer; zero before the first one. */
    std::uint64_t boot{};
    /*! Number of restarts that this leader has observed. */
    std::uint32_t restarts{};
    /*! Address that gave the last answer; empty before the first one. */
    std::string answered_address{};
    /*! Part of the fencing token that increases within a term. */
    std::uint64_t command_epoch{};
    resources used;
    /*! Share of the worker, in thousandths of a core, in the demand of the queries in flight that name it. */
    std::int64_t queried_millicores{};
    std::vector<placement_id> placements;
    /*! True while the registration exists. */
    bool is_registered{true};
    /*! True once the current boot has listed its runs to this leader. */
    bool is_reconciled{};
    /*! Time at which this leader first knew the worker. */
    instant known_since{};
    /*! Time of the last answer. */
    instant seen_at{};
    /*! Time at which the latest unanswered start was sent. */
    instant unanswered_start_sent_at{};
    /*! Time at which the latest answered poll was sent; answers may arrive out of order. */
    instant answered_poll_sent_at{};
    /*! Time at which the latest poll without an answer was sent: since then, another boot may have taken over. */
    instant failed_poll_sent_at{};
    /*! Time of the latest applied lists by the clock of the current boot, in ms; lists may be applied out of order. */
    std::int64_t listed_at_ms{};
    /*! Time at which the registration last changed to an address or boot that differs from the last answer. */
    instant registration_mismatch_at{};
    /*! Time at which all leases granted or extended so far have expired by any clock. */
    instant leases_expire_at{};
    /*! Time at which those of the runs that the present boot has listed have expired. */
    instant listed_leases_expire_at{};
    lapse_record lapse;
    /*! Time at which the runs of earlier leaders have ended, as the log says; nothing if it does not tell. */
    std::optional<instant> inherited_lapse{};
    std::uint64_t last_recorded_completion{};
    std::uint64_t last_persisted_completion{};
    /*! Number up to which the current boot has confirmed acknowledgements. */
    std::uint64_t last_acknowledged_completion{};
    /*! Number of acknowledging polls in this epoch that are not answered. */
    std::uint32_t unanswered_acknowledgements{};
    /*! Jobs with failed runs on the worker since the last successful run. */
    std::set<job_id> failing_jobs;
    instant quarantined_until{};
    millis quarantine_duration{};

    /*!
     * Returns true if the registration is that of the boot that answers. That of another boot says nothing about the
     * labels, capacity, service and failure domain of this one.
     */
    [[nodiscard]] bool is_described() const noexcept {
        return is_registered && registration.boot == boot;
    }

    /*! Records that all leases of runs of earlier leaders may last until a time, but not beyond what the log says. */
    void raise_inherited_expiry(instant const expiry) noexcept {
        raise_lease_expiry(std::min(expiry, inherited_lapse.value_or(instant::max())));
    }

    /*! Records that all leases, also those of listed runs, may last until a time. */
    void raise_lease_expiry(instant const expiry) noexcept {
        leases_expire_at = std::max(leases_expire_at, expiry);
        listed_leases_expire_at = std::max(listed_leases_expire_at, expiry);
    }
};

/*! Retained state of a removed worker, so that a later boot of it is recognized and counted as a restart. */
struct former_worker {
    std::uint64_t boot{};
    std::uint64_t command_epoch{};
    instant leases_expire_at{};
};

/*! One client account. */
struct live_account {
    resources used;
    account_meter meter;
};

/*! State of a dispatcher, shared with its planner. Not thread safe. */
struct dispatch_state {
    std::shared_ptr<site_rules const> rules{std::make_shared<site_rules>()};
    dense_map<job_id, live_job> jobs;
    dense_map<worker_id, live_worker> workers;
    dense_map<placement_id, placement> placements;
    std::unordered_map<std::string, job_id> job_ids;
    std::unordered_map<std::string, worker_id> worker_ids;
    std::unordered_map<std::string, former_worker> former_workers;
    std::map<std::string, live_account> accounts;
    std::vector<job_id> dirty_jobs;
    waiting_steps waiting;
    /*! Steps that got an answer of the adviser since the latest planning round. */
    std::vector<step_key> answered_steps;
    /*! Position in a pass over the steps that are processed in turn: the last one processed, and that of the pass. */
    struct {
        ranked_step last;
        ranked_step end;
    } turn;
    /*! Runs that are to be stopped; may contain runs that are gone. */
    std::vector<placement_id> requested_stops;
    /*! Number of entry VMs that query the adviser. */
    std::size_t querying_vms{1u};
    /*! Number of pending advice queries; long ones are counted separately. */
    std::size_t short_queries{};
    std::size_t long_queries{};
    /*! Demand of the steps with a query in flight, by service. */
    std::map<std::string, resources> promised;
    dispatch_limits limits;
    /*! Beginning of the leadership. */
    instant begun_at{};
    /*! Time of the latest planning round. */
    instant planned_at{};
    /*! Highest epoch of any worker that a command without an answer has begun. */
    std::uint64_t highest_command_epoch{};
    /*! Time at which all leases granted by earlier leaders have expired. */
    instant inherited_leases_end_at{};
    /*! Time until which starts that earlier leaders sent without an answer may be executed. */
    instant inherited_starts_end_at{};
    /*! Number of unknown runs of a task, by job, step and index. */
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::uint32_t> unknown_run_counts;

    /*! Schedules all steps of a job to be evaluated before the next planning round. */
    void mark_steps_changed(job_id job);

    /*! Applies the changes to the steps with waiting tasks since the last call, and those due by a time. */
    void update_waiting_steps(instant now);

    /*! Requests the stop of a run. */
    void request_stop(placement_id id);

    /*! Schedules the progress of a job for the next batch. */
    void mark_dirty(job_id job);

    /*! Changes the phase of a job from queued to running. */
    void mark_running(job_id job);

    /*! Returns true if a boot of a worker is its present one. */
    [[nodiscard]] bool is_present(worker_boot const &boot) const {
        auto const *found = workers.find(boot.worker);
        return found != nullptr && found->restarts == boot.number;
    }

    /*! Returns the present boot of a worker. */
    [[nodiscard]] worker_boot boot_of(worker_id const worker) const {
        return {worker, workers[worker].restarts};
    }

    /*!
     * Returns the terms on which a job runs, or null if they are not known: its tasks wait then. The pointer is valid
     * until the job is erased or the rules change.
     */
    [[nodiscard]] static job_terms const *rules_of(live_job const &job) noexcept {
        return job.terms.get();
    }

    /*! Returns the worker with a name, or null. */
    [[nodiscard]] live_worker const *find_worker(std::string const &name) const;

    /*! Returns the task of a placement, or null if the placement is not the current one of the task. */
    [[nodiscard]] live_task *task_of(placement_id id);

    /*!
     * Returns true if a run of a worker may be in a later boot than the known one. The answer to a start does not name
     * the boot, and the adviser may issue a ticket for a boot that is not known yet. Only a list that was requested
     * after the answer, or after the start can no longer be executed, excludes it. Until then, a poll that
     * acknowledges completions of the known boot could discard the end of the run.
     */
    [[nodiscard]] bool may_have_run_in_other_boot(live_worker const &worker) const;

    /*!
     * Begins an epoch if acknowledgements to a worker have no answer. The boot that executes the next command then
     * rejects them; otherwise they could discard the end of a run there that no leader has read.
     */
    void fence_acknowledgements(live_worker &worker);

    /*! Returns the time at which a run is over by any clock if its worker is not heard from. */
    [[nodiscard]] instant lapse_time(placement const &run) const;

    /*! Returns the time at which a run with given leases on its worker is over by any clock. */
    [[nodiscard]] instant lapse_time(placement const &run, lease_expiry const &leases) const;

    /*!
     * Returns the time at which all runs on a worker are over if it is not heard from and leases are extended to the
     * given expiry; nothing if a start is in flight.
     */
    [[nodiscard]] std::optional<instant> last_lapse(live_worker const &worker, lease_expiry const &expiry = {}) const;

    /*! Returns true if a worker listed an unknown run of a task that is not over. */
    [[nodiscard]] bool has_unknown_run(live_job const &job, std::uint32_t step, std::uint32_t index) const;

    /*! Adds a placement and charges it to its worker and its account. */
    placement_id add_placement(placement value);

    /*! Removes a placement. Its task waits again if this was its current placement and it is not done. */
    void remove_placement(placement_id id, instant now);

    /*! Erases a job if it has ended, has no runs and no progress left to persist. */
    void erase_if_finished(job_id job);
};

/*! Minimum expected duration of a long advice query. */
inline constexpr millis long_query_duration{200};

/*! Returns the counter of pending queries with a duration. */
[[nodiscard]] inline std::size_t &query_counter(dispatch_state &state, millis const duration) noexcept {
    return duration >= long_query_duration ? state.long_queries : state.short_queries;
}

/*! Returns true if a worker whose last answer came at a time has not answered lately. */
[[nodiscard]] bool is_silent(instant seen_at, instant now) noexcept;

/*! Returns true if a worker has answered lately, and since the latest start or poll without an answer. */
[[nodiscard]] bool is_responsive(live_worker const &worker, instant now) noexcept;

/*! Returns true if a worker currently accepts new runs. */
[[nodiscard]] bool is_usable(live_worker const &worker, site_rules const &rules, instant now) noexcept;

} // namespace internal

} // namespace kingcuplink

#endif
