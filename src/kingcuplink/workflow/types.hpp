#ifndef KINGCUPLINK_WORKFLOW_TYPES_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_TYPES_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/time.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! One step of a job: tasks of one size that become ready together. */
struct step_definition {
    std::uint32_t count{1u};
    resources task_size;
    /*! Rough run time of one task, as the caller declared it. */
    millis estimate{};
    /*! Earlier steps that must be done first. */
    std::vector<std::uint32_t> after;
    /*! True if the tasks work only while all of them are present. */
    bool gang{};
    bool same_rack{};
    /*! True if a stopped task goes on from its last checkpoint. */
    bool checkpointing{};
    bool long_running{};
    /*! Label that a worker must have; empty for none. */
    std::string required_label;
    /*! Rack that holds the data; empty for none. */
    std::string data_rack;
    /*! Most tasks of the step on one worker; zero for no limit. */
    std::uint32_t most_per_worker{};
};

/*! What a caller handed in; it never changes once it is in the log. */
struct job_definition {
    /*! Identifier that the caller chose. */
    std::string id;
    std::string queue;
    /*! Client account of the key that came with it. */
    std::string account;
    /*! Text that is handed to every task. */
    std::string payload;
    std::vector<step_definition> steps;
    /*! By the clock of the entry VM that accepted it. */
    instant accepted_at{};
};

/*! State of a job as callers see it. */
enum class job_phase : std::uint8_t { queued, running, done, failed, cancelled };

/*! Returns the name of a phase. */
[[nodiscard]] std::string_view name_of(job_phase phase) noexcept;

/*! Tells whether a phase is final. */
[[nodiscard]] constexpr bool is_final(job_phase const phase) noexcept {
    return phase >= job_phase::done;
}

/*! What is kept of one task that was started at least once. */
struct task_progress {
    std::uint32_t step{};
    std::uint32_t index{};
    /*! Number of the latest start; later ones must have higher numbers. */
    std::uint32_t run{};
    std::uint32_t failures{};
    /*! For the first member of a gang: the latest run that counts as failed. */
    std::uint32_t failed_run{};
    bool done{};
    /*! Worker on which the latest run may exist; empty once its end is known. */
    std::string worker;
    std::string checkpoint;
};

/*! State of a job as it is kept in the log. */
struct job_progress {
    job_phase phase{job_phase::queued};
    std::vector<task_progress> tasks;
};

/*! How a run ended on its worker. */
enum class run_outcome : std::uint8_t {
    done,
    /*! By the task's own fault or by the worker's. */
    failed,
    stopped,
    /*! Its lease ran out. */
    lapsed,
    /*! Another member of its gang ended. */
    broken,
    /*! The other members of its gang did not come. */
    alone
};

/*! Returns the name of an end. */
[[nodiscard]] std::string_view name_of(run_outcome end) noexcept;

/*! Why the leader takes a run off its books though no end was listed. */
enum class run_loss : std::uint8_t {
    /*! Circumstances changed before it was sent. */
    not_sent,
    /*! The worker answered that it did nothing. */
    refused,
    /*! The worker does not list it, and it cannot come any more. */
    not_listed,
    /*! The worker answered a stop and does not list it. */
    stopped,
    /*! The worker started anew. */
    other_boot,
    /*! Its lease has surely lapsed. */
    lapsed
};

/*! Returns the name of a loss. */
[[nodiscard]] std::string_view name_of(run_loss loss) noexcept;

/*! Names one run of one task. */
struct run_key {
    std::string job;
    std::uint32_t step{};
    std::uint32_t index{};
    std::uint32_t run{};

    friend auto operator<=>(run_key const &, run_key const &) = default;
};

/*! A run that was taken off the books. */
struct lost_run {
    run_key key;
    std::string worker;
    /*! Boot of the worker that was asked last. */
    std::uint64_t boot{};
    run_loss reason{run_loss::not_listed};
};

/*! A run that a worker lists as present. */
struct listed_run {
    run_key key;
    std::string checkpoint;
};

/*! A run that a worker lists as ended. */
struct listed_completion {
    /*! Number of the end in this boot of the worker. */
    std::uint64_t number{};
    run_key key;
    run_outcome how{run_outcome::done};
    std::string checkpoint;
};

/*! What a worker says of all its runs. */
struct worker_inventory {
    /*! Identifies the boot of the worker; nothing of an earlier boot is left. */
    std::uint64_t boot{};
    std::vector<listed_run> running;
    std::vector<listed_completion> ended;
    /*! False if more ends may follow once some of these are forgotten: a run in neither list may be among them. */
    bool has_all_completions{true};
};

/*! A worker as it registered itself. */
struct worker_registration {
    std::string name;
    std::string service;
    std::string address;
    std::string domain;
    std::vector<std::string> labels;
    resources capacity;
    /*! Boot that the registration names; only the worker's own answer proves it. */
    std::uint64_t boot{};
    /*! True if it takes no new work. */
    bool leaving{};
};

} // namespace kingcuplink

#endif
