#ifndef KINGCUPLINK_WORKFLOW_DISPATCH_STATE_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_DISPATCH_STATE_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/dense_map.hpp>
#include <kingcuplink/core/ids.hpp>
#include <kingcuplink/workflow/objective.hpp>
#include <kingcuplink/workflow/site_rules.hpp>
#include <kingcuplink/workflow/types.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuplink {

using placement_id = basic_id<struct placement_tag>;

namespace internal {

/*! What is known of a run on a worker. */
enum class placement_stage : std::uint8_t {
    /*! Decided; the log does not have it yet, and nothing was sent. */
    intended,
    /*! The start was sent; its answer is due. */
    awaiting_answer,
    /*! No answer came: it may run now, or later. */
    unresolved,
    /*! An earlier leader meant to start it. */
    inherited,
    running
};

/*! A run that takes, or may take, room on a worker. */
struct placement {
    worker_id worker;
    job_id job;
    run_key key;
    resources charge;
    placement_stage stage{placement_stage::intended};
    /*! True if the job's records led to it; false if a worker listed it and nothing explains it. */
    bool is_known{true};
    std::string ticket{};
    instant ticket_until{};
    /*! When its stage began. */
    instant stage_since{};
    /*! True once a batch for the log holds the intent. */
    bool is_batched{};
    bool stop_requested{};
    bool stop_in_flight{};
    /*! When the worker first answered a stop. */
    std::optional<instant> first_stop_answer_at{};
    instant next_stop_at{};
};

/*! Tells whether the start of a run was sent by this leader and its answer, or the lack of one, is known. */
[[nodiscard]] constexpr bool is_start_concluded(placement const &run) noexcept {
    return run.stage == placement_stage::running || run.stage == placement_stage::unresolved;
}

/*! One task of a live job. */
struct live_task {
    bool done{};
    /*! Number of the latest start. */
    std::uint32_t run{};
    /*! Latest run whose end was taken note of: a worker may list an end more than once. */
    std::uint32_t ended_run{};
    std::uint32_t failures{};
    /*! How often it was stopped for a gang. */
    std::uint32_t preemptions{};
    std::string checkpoint{};
    placement_id placement{};
    instant not_before{};
    /*! Workers on which it failed. */
    std::vector<worker_id> failed_on{};
};

/*! Tells whether a task failed on a worker. */
[[nodiscard]] bool has_failed_on(live_task const &task, worker_id worker);

/*! Ticket with which a step may start on a worker. */
struct advice_ticket {
    std::string text;
    instant until{};
};

/*! What is known of the workers that a step may use. */
struct advice_state {
    /*! Workers the adviser approved, with their latest ticket. */
    std::map<worker_id, advice_ticket> approved;
    /*! Workers the adviser was asked about. */
    std::set<worker_id> asked;
    bool in_flight{};
    /*! Workers that started anew since the question under way was made: its answer is not for them. */
    std::set<worker_id> restarted{};
    instant not_before{};
};

/*! One step of a live job. */
struct live_step {
    std::vector<live_task> tasks;
    std::uint32_t undone{};
    std::uint32_t waiting{};
    /*! Undone steps that must be done first. */
    std::uint32_t blocked_by{};
    advice_state advice;
    /*! For gangs: the latest run that failed, so that it counts once. */
    std::uint32_t failed_run{};
    /*! For gangs: a checkpoint that holds for all members. */
    std::string checkpoint;
};

/*! One job that has not ended, or whose runs are not all gone. */
struct live_job {
    job_definition definition;
    job_phase phase{job_phase::queued};
    std::vector<live_step> steps;
    job_objective objective;
    bool is_excess{};
    /*! True if the log does not have its progress. */
    bool is_dirty{};
    /*! Runs that are not gone. */
    std::uint32_t placements{};
};

/*! One worker. */
struct live_worker {
    worker_registration registration;
    /*! Boot that last answered; zero before the first answer. */
    std::uint64_t boot{};
    /*! Address at which it last answered; empty before the first answer. */
    std::string answered_address{};
    /*! How often another boot than the one before answered. */
    std::uint64_t restarts{};
    resources used;
    std::vector<placement_id> placements;
    /*! True while its registration is there. */
    bool is_registered{true};
    /*! True once its runs are known in its present boot, under this leader's token, and nothing puts that in doubt. */
    bool is_reconciled{};
    /*! When it last answered. */
    instant seen_at{};
    /*! When the latest start that it left unanswered was sent. */
    instant unanswered_start_sent_at{};
    /*! When the latest question that it answered was sent; answers may overtake each other. */
    instant answered_poll_sent_at{};
    /*! When its registration last named another boot or address than the one that answered. */
    instant registration_mismatch_at{};
    /*! By then everything that it was ordered has lapsed if nothing more is sent. */
    instant leases_expire_at{};
    std::uint64_t last_recorded_completion{};
    std::uint64_t last_persisted_completion{};
    /*! Jobs that failed there since one last ended well. */
    std::set<job_id> failing_jobs;
    instant quarantined_until{};
    millis quarantine_duration{};
};

/*! What is kept of a worker that is on the books no more: its later boots have to be told apart from it. */
struct former_worker {
    std::uint64_t boot{};
    std::uint64_t restarts{};
};

/*! One client account. */
struct live_account {
    resources used;
    account_meter meter;
};

/*! All state of a dispatcher; shared by its parts. */
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
    /*! Entry VMs that ask for advice. */
    std::size_t querying_vms{1u};
    /*! Questions that are not answered; those that take long are counted apart. */
    std::size_t short_queries{};
    std::size_t long_queries{};
    /*! Until then runs that an earlier leader started may go on where nobody sees them. */
    instant inherited_leases_end_at{};

    /*! Notes that the log has to learn of a job's progress. */
    void mark_dirty(job_id job);

    /*! Notes that a task of a job has begun somewhere. */
    void mark_running(job_id job);

    /*! Returns a worker by its name, or null. */
    [[nodiscard]] live_worker const *find_worker(std::string const &name) const;

    /*! Returns the task of a placement, or null if its job does not have it as its latest run. */
    [[nodiscard]] live_task *task_of(placement_id id);

    /*! Adds a placement and charges it. */
    placement_id add_placement(placement value);

    /*! Removes a placement; its task, if it was the latest run and is not done, waits again. */
    void remove_placement(placement_id id, instant now);

    /*! Erases a job that has ended and has no more runs. */
    void erase_if_finished(job_id job);
};

/*! Expected time from which on a question for advice counts as long. */
inline constexpr millis long_query_duration{200};

/*! Returns the counter of questions of a duration. */
[[nodiscard]] inline std::size_t &query_counter(dispatch_state &state, millis const duration) noexcept {
    return duration >= long_query_duration ? state.long_queries : state.short_queries;
}

/*! Tells whether a worker takes new runs now. */
[[nodiscard]] bool is_usable(live_worker const &worker, site_rules const &rules, instant now) noexcept;

} // namespace internal

} // namespace kingcuplink

#endif
