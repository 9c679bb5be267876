#ifndef KINGCUPLINK_TEST_WORKFLOW_REPLAY_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_REPLAY_HPP_INCLUDED

#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! Interval between two rounds of a replay. */
inline constexpr millis replay_interval{50};

/*! Time limit for the answer of a worker to a command. */
inline constexpr millis command_timeout{500};

/*! Time after which the leases of a silent worker's runs have expired by any clock. */
inline constexpr millis lease_expiry_bound{9'000};

/*! A job of a replay and its predetermined outcome. */
struct replay_job {
    job_definition definition;
    std::string kind;
    /*! True if it counts in the figures: it is within its account's usual rate and its tasks can succeed. */
    bool is_eligible{true};
    /*! True if all its runs fail. */
    bool always_fails{};
    std::optional<instant> cancelled_at{};
};

/*! Kinds of changes of a failure domain. */
enum class domain_change : std::uint8_t { evacuate, readmit, fail, slow_down };

/*! A change of a failure domain at a given time. */
struct timed_change {
    instant at{};
    domain_change kind{};
    std::string domain;
};

/*! The workload and fleet of a replay. */
struct replay_load {
    std::size_t workers{16u};
    std::size_t workers_per_domain{4u};
    resources worker_size{64'000, 262'144, 0};
    site_rules rules;
    /*! Ordered by the time of acceptance. */
    std::vector<replay_job> jobs;
    /*! Ordered by time. */
    std::vector<timed_change> changes;
    instant begins_at{};
    /*! Latest end of the replay. */
    instant ends_at{};
};

/*! True state of a task of a replay, as opposed to that known to a policy. */
struct replay_task {
    /*! Index of the worker that has its run, if any. */
    std::optional<std::size_t> worker;
    bool done{};
    std::uint32_t run{};
    std::uint32_t failures{};
    /*! Number of times that its run was stopped while its job was still active. */
    std::uint32_t stops{};
    /*! Work saved in a checkpoint. */
    millis saved{};
    /*! Time until which it may still be running on a worker that did not answer. */
    instant withheld_until{};
};

/*! True state of a job of a replay, as opposed to that known to a policy. */
struct replay_state {
    replay_job const *job{};
    std::vector<replay_task> tasks;
    std::optional<instant> first_start{};
    std::optional<instant> ended_at{};
    job_phase phase{job_phase::queued};
    /*! Core-seconds of work that was lost. */
    double wasted_core_seconds{};
    /*! True if one of its starts was sent to a worker that was already lost. */
    bool has_unanswered_start{};
    /*! Time since which one of its tasks waits although it fits on a worker and no gang waits. */
    std::optional<instant> idle_since{};
};

/*! A run on a worker of a replay. */
struct replay_run {
    run_key key;
    std::size_t job{};
    resources size;
    instant started_at{};
    instant ends_at{};
    std::optional<instant> stops_at{};
    /*! Work restored from a checkpoint at its start. */
    millis restored_work{};
    /*! Time taken by a unit of work. */
    int slowdown{1};
    run_outcome outcome{run_outcome::done};
};

/*! A worker of a replay. */
struct replay_worker {
    worker_registration entry;
    bool is_up{true};
    bool is_evacuated{};
    instant lost_at{};
    /*! Time at which a start was first sent to it after it was lost. */
    std::optional<instant> unanswered_since{};
    int slowdown{1};
    std::vector<replay_run> runs{};
    std::vector<listed_completion> completions{};
    std::uint64_t next_completion{1u};
};

/*! A start decided on by a policy. */
struct replay_start {
    std::size_t job{};
    std::uint32_t index{};
    std::uint32_t run{};
    std::size_t worker{};
};

class replay;

/*! Decides which runs start and stop in a replay. */
class replay_policy {
public:
    virtual ~replay_policy() = default;

    virtual void begin(replay &simulation) = 0;
    virtual void rules_changed(replay &simulation) = 0;
    virtual void job_accepted(replay &simulation, std::size_t job) = 0;
    virtual void job_cancelled(replay &simulation, std::size_t job) = 0;
    /*! Called when a job has used up its attempts. */
    virtual void job_failed(replay &simulation, std::size_t job) = 0;
    virtual void decide(replay &simulation) = 0;
};

/*! Returns a policy that uses the dispatcher. */
[[nodiscard]] std::unique_ptr<replay_policy> make_dispatcher_policy();

/*!
 * Returns a first-come-first-served policy: a job starts only after all tasks of the older jobs
 * are placed, and no run is preempted. It uses the true state of the fleet.
 */
[[nodiscard]] std::unique_ptr<replay_policy> make_fifo_policy();

/*! Figures of one kind of jobs; fractions refer to its eligible jobs. */
struct kind_statistics {
    std::size_t jobs{};
    std::size_t eligible{};
    millis wait_mean{};
    millis wait_95th{};
    /*! Longest wait of jobs without, and of jobs with, a start that was sent to an already lost worker. */
    millis wait_max{};
    millis wait_max_unanswered{};
    /*! Fraction that ended after the objective or not at all. */
    double late{};
    /*! Fraction that ended before the time after which a job has no value. */
    double served{};
    /*! The same fraction of the largest tenth by work. */
    double largest_served{};
    millis largest_wait_mean{};
    /*! Core-seconds of work lost by all jobs of the kind. */
    double wasted_core_seconds{};
};

/*! Result of a replay. */
struct replay_result {
    std::map<std::string, kind_statistics> kinds;
    /*! Fraction of the eligible jobs' value that was earned, weighted by work and lateness as the requirements set. */
    double earned_value{};
    /*! Descriptions of violated invariants. */
    std::vector<std::string> violations;
    /*! Longest time for which a task waited while it fitted on a worker and no gang waited. */
    millis longest_idle{};
    /*! Longest time between a cancellation and the end of the job's last run. */
    millis longest_cancellation{};
    std::uint32_t max_stops{};
    /*! Number of jobs that did not end, or that failed although their runs can succeed, or vice versa. */
    std::size_t wrong_outcomes{};
};

/*! Replays a load in virtual time under a policy. Deterministic for a given load. Not thread safe. */
class replay {
public:
    replay(replay_load const &load, replay_policy &policy);

    /*! Runs the whole replay and returns its result. */
    [[nodiscard]] replay_result run();

    // Interface for policies.
    void start(replay_start const &command);
    /*! Records a start that was sent to a lost worker. */
    void record_lost_start(replay_start const &command);
    void stop(std::size_t worker, run_key const &key);
    /*! Records the phase that the policy reports for a job. */
    void set_phase(std::string const &job, job_phase phase);
    [[nodiscard]] resources free_capacity(replay_worker const &worker) const;
    [[nodiscard]] bool is_waiting(replay_state const &job, replay_task const &task) const noexcept;
    [[nodiscard]] std::size_t index_of(std::string const &job) const;

    instant now;
    site_rules rules;
    std::vector<replay_worker> workers;
    /*! Jobs accepted so far. */
    std::vector<replay_state> jobs;

private:
    void change_domains();
    void accept_jobs();
    void cancel_jobs();
    void complete_due_runs();
    void complete_run(replay_worker &worker, replay_run const &run, run_outcome outcome);
    void break_gang(std::size_t job);
    void fail_worker(replay_worker &worker);
    void synchronize_gangs();
    void check_capacity();
    void record_idleness();
    [[nodiscard]] bool is_finished() const;
    [[nodiscard]] replay_result compute_result();

    replay_load const &load_;
    replay_policy &policy_;
    std::map<std::string, std::size_t> ids_;
    std::size_t next_job_{};
    std::size_t next_change_{};
    /*! Jobs with gangs that started in this round. */
    std::vector<std::size_t> started_gangs_;
    replay_result result_;
};

} // namespace kingcuplink::test

#endif
