#ifndef KINGCUPLINK_TEST_WORKFLOW_REPLAY_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_REPLAY_HPP_INCLUDED

#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! Time that passes between two rounds of a replay. */
inline constexpr millis replay_interval{50};

/*! Time that a worker has to answer an order. */
inline constexpr millis command_timeout{500};

/*! Time after which a silent worker's runs have surely lapsed. */
inline constexpr millis lease_expiry_bound{9'000};

/*! A job of a replay and what really becomes of it. */
struct replay_job {
    job_definition definition;
    std::string kind;
    /*! False if it lies beyond its account's usual rate, or if its tasks always fail. */
    bool is_eligible{true};
    /*! True if every run of it fails. */
    bool always_fails{};
    std::optional<instant> cancelled_at{};
};

/*! What happens to a failure domain. */
enum class domain_change : std::uint8_t { evacuate, readmit, fail, slow_down };

/*! A change of a failure domain at a time. */
struct timed_change {
    instant at{};
    domain_change kind{};
    std::string domain;
};

/*! What is played. */
struct replay_load {
    std::size_t workers{16u};
    std::size_t workers_per_domain{4u};
    resources worker_size{64'000, 262'144, 0};
    site_rules rules;
    /*! In the order of their acceptance. */
    std::vector<replay_job> jobs;
    /*! In the order of their times. */
    std::vector<timed_change> changes;
    instant begins_at{};
    /*! The replay ends then at the latest. */
    instant ends_at{};
};

/*! A task of a replay as it really is. */
struct replay_task {
    /*! Worker that has its run, if any has. */
    std::optional<std::size_t> worker;
    bool done{};
    std::uint32_t run{};
    std::uint32_t failures{};
    /*! Times that its run was stopped though its job went on. */
    std::uint32_t stops{};
    /*! Work that a checkpoint holds. */
    millis saved{};
    /*! Until then it may run on a worker that did not answer, for all that anyone can know. */
    instant withheld_until{};
};

/*! A job of a replay as it really is. */
struct replay_state {
    replay_job const *job{};
    std::vector<replay_task> tasks;
    std::optional<instant> first_start{};
    std::optional<instant> ended_at{};
    job_phase phase{job_phase::queued};
    /*! Core-seconds of runs that came to nothing. */
    double wasted_core_seconds{};
    /*! True if a start of it went to a worker that was lost already. */
    bool has_unanswered_start{};
    /*! Since when a task waits though it has room and no gang waits. */
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
    /*! Its work when it began, as a checkpoint held it. */
    millis restored_work{};
    /*! Time that a unit of work takes. */
    int slowdown{1};
    run_end outcome{run_end::done};
};

/*! A worker of a replay. */
struct replay_worker {
    worker_registration entry;
    bool is_up{true};
    bool is_evacuated{};
    instant lost_at{};
    /*! When a start was first sent to it after it was lost. */
    std::optional<instant> unanswered_since{};
    int slowdown{1};
    std::vector<replay_run> runs{};
    std::vector<listed_end> completions{};
    std::uint64_t next_completion{1u};
};

/*! A start that a policy decided on. */
struct replay_start {
    std::size_t job{};
    std::uint32_t index{};
    std::uint32_t run{};
    std::size_t worker{};
};

class replay;

/*! Decides what starts and stops in a replay. */
class replay_policy {
public:
    virtual ~replay_policy() = default;

    virtual void begin(replay &simulation) = 0;
    virtual void rules_changed(replay &simulation) = 0;
    virtual void job_accepted(replay &simulation, std::size_t job) = 0;
    virtual void job_cancelled(replay &simulation, std::size_t job) = 0;
    /*! A job has failed as often as it may. */
    virtual void job_failed(replay &simulation, std::size_t job) = 0;
    virtual void decide(replay &simulation) = 0;
};

/*! Returns the policy of the dispatcher. */
[[nodiscard]] std::unique_ptr<replay_policy> make_dispatcher_policy();

/*!
 * Returns first come, first served: nothing starts before an older job has all its tasks
 * placed, and nothing is stopped for others. It sees the fleet as it is.
 */
[[nodiscard]] std::unique_ptr<replay_policy> make_fifo_policy();

/*! Figures of one kind of work; shares are of what is owed. */
struct kind_statistics {
    std::size_t jobs{};
    std::size_t eligible{};
    millis wait_mean{};
    millis wait_95th{};
    /*! Longest wait, and the same of jobs of which a start went to a worker that was lost already. */
    millis wait_max{};
    millis wait_max_unanswered{};
    /*! Ended after the objective, or not at all. */
    double late{};
    /*! Ended well before the time after which it has no worth. */
    double served{};
    /*! The same of the largest tenth by work. */
    double largest_served{};
    millis largest_wait_mean{};
    /*! Core-seconds, of all jobs of the kind. */
    double wasted_core_seconds{};
};

/*! What came of a replay. */
struct replay_result {
    std::map<std::string, kind_statistics> kinds;
    /*! Worth earned of what is owed, as the users' rules weigh work and lateness. */
    double earned_value{};
    /*! Rules that were broken. */
    std::vector<std::string> violations;
    /*! Longest time for which a task waited beside free room while no gang waited. */
    millis longest_idle{};
    /*! Longest time between a cancellation and the last trace of the job's runs. */
    millis longest_cancellation{};
    std::uint32_t max_stops{};
    /*! Owed jobs that did not end as they should have: done, or failed if hopeless. */
    std::size_t wrong_outcomes{};
};

/*! Plays a load in virtual time under a policy. The same load gives the same result. Not thread safe. */
class replay {
public:
    replay(replay_load const &load, replay_policy &policy);

    /*! Plays all and returns what came of it. */
    [[nodiscard]] replay_result run();

    // For policies.
    void start(replay_start const &command);
    /*! Notes a start that was sent to a worker that is lost. */
    void record_lost_start(replay_start const &command);
    void stop(std::size_t worker, run_key const &key);
    /*! Notes the phase that the policy gives a job. */
    void set_phase(std::string const &job, job_phase phase);
    [[nodiscard]] resources free_capacity(replay_worker const &worker) const;
    [[nodiscard]] bool is_waiting(replay_state const &job, replay_task const &task) const noexcept;
    [[nodiscard]] std::size_t index_of(std::string const &job) const;

    instant now;
    site_rules rules;
    std::vector<replay_worker> workers;
    /*! Accepted so far. */
    std::vector<replay_state> jobs;

private:
    void change_domains();
    void accept_jobs();
    void cancel_jobs();
    void complete_due_runs();
    void complete_run(replay_worker &worker, replay_run const &run, run_end outcome);
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
    /*! Jobs with gangs that began in this round. */
    std::vector<std::size_t> started_gangs_;
    replay_result result_;
};

} // namespace kingcuplink::test

#endif
