#ifndef KINGCUPLINK_WORKFLOW_TYPES_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_TYPES_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/workflow/site_rules.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! One step of a job: tasks of equal size that become ready at the same time. */
struct step_definition {
    std::uint32_t count{1u};
    resources task_size;
    /*! Estimated run time of one task, as declared by the caller. */
    millis estimate{};
    /*! Indices of the earlier steps on which this step depends. */
    std::vector<std::uint32_t> after;
    /*! True if the tasks can only run while all of them are running. */
    bool gang{};
    bool same_rack{};
    /*! True if a stopped task resumes from its last checkpoint. */
    bool checkpointing{};
    bool long_running{};
    /*! Label required of the worker; empty if there is no requirement. */
    std::string required_label;
    /*! Rack that holds the input data; empty if there is no preference. */
    std::string data_rack;
    /*! Maximum number of tasks of the step on one worker; zero means no limit. */
    std::uint32_t most_per_worker{};
};

/*! Job as submitted by a caller. Immutable once it is committed to the log. */
struct job_definition {
    /*! Identifier chosen by the caller. */
    std::string id;
    std::string queue;
    /*! Client account that owns the key of the submission. */
    std::string account;
    /*! Text passed to every task. */
    std::string payload;
    std::vector<step_definition> steps;
    /*! Time of acceptance by the clock of the entry VM that accepted the job. */
    instant accepted_at{};
    /*! Terms of the queue as of acceptance; nothing for a job of an earlier version, and for one that has ended. */
    std::optional<job_terms> terms{};
    /*! Identifies host and path prefix of the queue as of acceptance; zero for a job of an earlier version. */
    std::uint32_t path_hash{};
};

/*! State of a job as reported to callers. */
enum class job_phase : std::uint8_t { queued, running, done, failed, cancelled };

/*! Returns the name of a phase. */
[[nodiscard]] std::string_view name_of(job_phase phase) noexcept;

/*! Returns true if a phase is final. */
[[nodiscard]] constexpr bool is_final(job_phase const phase) noexcept {
    return phase >= job_phase::done;
}

/*! Persisted state of one task that was started at least once. */
struct task_progress {
    std::uint32_t step{};
    std::uint32_t index{};
    /*! Number of the latest run; run numbers of a task only increase. */
    std::uint32_t run{};
    std::uint32_t failures{};
    /*! Latest run counted as a failure of the gang; set for its first member only. */
    std::uint32_t failed_run{};
    bool done{};
    /*! Worker that may still hold the latest run; empty once the run is known to be over. */
    std::string worker;
    std::string checkpoint;
};

/*! State of a job, or of a part of its tasks, as persisted in the log. */
struct job_progress {
    job_phase phase{job_phase::queued};
    std::vector<task_progress> tasks;
    /*! Part whose tasks are listed; nothing if those of the whole job are. */
    std::optional<std::uint32_t> part{};
};

/*! Outcome of a run as reported by its worker. */
enum class run_outcome : std::uint8_t {
    done,
    /*! Failed because of the task or of the worker. */
    failed,
    stopped,
    /*! The lease of the run expired. */
    lapsed,
    /*! Another member of the gang ended. */
    broken,
    /*! The other members of the gang did not start. */
    alone
};

/*! Returns the name of an outcome. */
[[nodiscard]] std::string_view name_of(run_outcome end) noexcept;

/*! Reason for which the leader removes a run without a listed completion. */
enum class run_loss : std::uint8_t {
    /*! The start was dropped before it was sent, because its preconditions no longer held. */
    not_sent,
    /*! The worker answered that it did not start the run. */
    refused,
    /*! The worker does not list the run, and the start cannot take effect any more. */
    not_listed,
    /*! The worker acknowledged a stop and does not list the run. */
    stopped,
    /*! The worker has restarted or was replaced. */
    other_boot,
    /*! The lease has expired by any clock. */
    lapsed
};

/*! Returns the name of a reason. */
[[nodiscard]] std::string_view name_of(run_loss loss) noexcept;

/*! Bounds on the effects of commands that earlier leaders sent, or that had no answer. */
struct dispatch_limits {
    /*! Time for which runs of an earlier leader may continue on unreachable workers. */
    millis inherited_lease{};
    /*! Time for which an earlier leader may send starts. */
    millis inherited_sending{};
    /*! Longest time between the sending of a command that has no answer and its execution. */
    millis command_delay{};
    /*! Longest lease by any clock. */
    millis longest_lease{};
};

/*! Time at which leases of a worker have expired. */
struct lease_expiry {
    /*! In whichever boot of the worker executes the request: it may take the expiry for a later time. */
    instant in_any_boot{};
    /*! In the boot whose clock the expiry was derived from. */
    instant in_known_boot{};

    /*! Returns an expiry that is the same in all boots. */
    [[nodiscard]] static constexpr lease_expiry at(instant const time) noexcept {
        return {time, time};
    }
};

/*! Identifies one run of one task. */
struct run_key {
    std::string job;
    std::uint32_t step{};
    std::uint32_t index{};
    std::uint32_t run{};

    friend auto operator<=>(run_key const &, run_key const &) = default;
};

/*! A run that was removed without a listed completion. */
struct lost_run {
    run_key key;
    std::string worker;
    /*! Boot of the worker, as last polled. */
    std::uint64_t boot{};
    run_loss reason{run_loss::not_listed};
};

/*! A run on a worker that the leader did not expect there. */
struct unknown_run {
    run_key key;
    std::string worker;
    /*! Boot of the worker, as last polled. */
    std::uint64_t boot{};
    /*! Latest run of the task, or zero if its job has ended or is not known. */
    std::uint32_t latest_run{};
    /*! Worker on which the task runs or will run, if any: two runs of a task may exist then. */
    std::string other_worker;
};

/*! A run whose start had no answer, listed by its worker for the first time. */
struct late_confirmation {
    run_key key;
    std::string worker;
    /*! Boot of the worker that listed the run. */
    std::uint64_t boot{};
    /*! Time since the start was sent. */
    millis delay{};
    bool has_ticket{};
};

/*! A run that a worker lists as running. */
struct listed_run {
    run_key key;
    std::string checkpoint;
};

/*! An ended run as listed by its worker. */
struct listed_completion {
    /*! Sequence number of the completion within this boot of the worker. */
    std::uint64_t number{};
    run_key key;
    run_outcome how{run_outcome::done};
    std::string checkpoint;
};

/*! Running and ended runs as listed by a worker. */
struct worker_inventory {
    /*! Identifies the boot of the worker; no run survives a restart. */
    std::uint64_t boot{};
    std::vector<listed_run> running;
    std::vector<listed_completion> ended;
    /*!
     * False if the list of ended runs may be truncated; the rest follows once these are acknowledged. A run missing
     * from both lists may then have ended.
     */
    bool has_all_completions{true};
    /*! Time of the lists by the clock of the worker in this boot, in ms. */
    std::int64_t listed_at_ms{};
};

/*! Registration of a worker. */
struct worker_registration {
    std::string name;
    std::string service;
    std::string address;
    std::string domain;
    std::vector<std::string> labels;
    resources capacity;
    /*! Boot named by the registration; it is unconfirmed until the worker answers a poll. */
    std::uint64_t boot{};
    /*! True if the worker accepts no new work. */
    bool leaving{};
};

} // namespace kingcuplink

#endif
