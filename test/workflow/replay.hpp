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
inline constexpr millis replay_round{50};

/*! Time that a worker has to answer an order. */
inline constexpr millis order_timeout{500};

/*! Time after which a silent worker's runs have surely lapsed. */
inline constexpr millis surely_lapsed{9'000};

/*! A job of a replay and what really becomes of it. */
struct replay_job {
    job_definition definition;
    std::string kind;
    /*! False if it lies beyond its account's usual rate, or if its tasks always fail. */
    bool is_owed{true};
    /*! True if every run of it fails. */
    bool is_hopeless{};
    std::optional<instant> cancelled_at{};
};

/*! What happens to a failure domain. */
enum class domain_change : std::uint8_t { evacuate, take_back, lose, slow_down };

/*! A change of a failure domain at a time. */
struct timed_change {
    instant at{};
    domain_change what{};
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
    double thrown_away{};
    /*! True if a start of it went to a worker that was lost already. */
    bool is_unanswered{};
    /*! Since when a task waits though it has room and no gang waits. */
    std::optional<instant> idle_since{};
};

/*! A run on a worker of a replay. */
struct replay_run {
    run_key key;
    std::size_t job{};
    resources size;
    instant began_at{};
    instant ends_at{};
    std::optional<instant> stops_at{};
    /*! Its work when it began, as a checkpoint held it. */
    millis saved_before{};
    /*! Time that a unit of work takes. */
    int slowness{1};
    run_outcome how{run_outcome::done};
};

/*! A worker of a replay. */
struct replay_worker {
    worker_registration entry;
    bool is_up{true};
    bool is_evacuated{};
    instant lost_at{};
    /*! When a start was first sent to it after it was lost. */
    std::optional<instant> unanswered_since{};
    int slowness{1};
    std::vector<replay_run> runs{};
    std::vector<listed_completion> ends{};
    std::uint64_t next_end{1u};
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

    virtual void begin(replay &where) = 0;
    virtual void rules_changed(replay &where) = 0;
    virtual void job_accepted(replay &where, std::size_t job) = 0;
    virtual void job_cancelled(replay &where, std::size_t job) = 0;
    /*! A job has failed as often as it may. */
    virtual void job_failed(replay &where, std::size_t job) = 0;
    virtual void decide(replay &where) = 0;
};

/*! Returns the policy of the dispatcher. */
[[nodiscard]] std::unique_ptr<replay_policy> present_policy();

/*!
 * Returns first come, first served: nothing starts before an older job has all its tasks
 * placed, and nothing is stopped for others. It sees the fleet as it is.
 */
[[nodiscard]] std::unique_ptr<replay_policy> first_come_policy();

/*! Figures of one kind of work; shares are of what is owed. */
struct kind_figures {
    std::size_t jobs{};
    std::size_t owed{};
    millis wait_mean{};
    millis wait_95th{};
    /*! Longest wait, and the same of jobs of which a start went to a worker that was lost already. */
    millis wait_most{};
    millis wait_most_unanswered{};
    /*! Ended after the objective, or not at all. */
    double late{};
    /*! Ended well before the time after which it has no worth. */
    double served{};
    /*! The same of the largest tenth by work. */
    double largest_served{};
    millis largest_wait_mean{};
    /*! Core-seconds, of all jobs of the kind. */
    double thrown_away{};
};

/*! What came of a replay. */
struct replay_result {
    std::map<std::string, kind_figures> kinds;
    /*! Worth earned of what is owed, as the users' rules weigh work and lateness. */
    double worth{};
    /*! Rules that were broken. */
    std::vector<std::string> breaches;
    /*! Longest time for which a task waited beside free room while no gang waited. */
    millis longest_idle{};
    /*! Longest time between a cancellation and the last trace of the job's runs. */
    millis longest_cancel{};
    std::uint32_t most_stops{};
    /*! Owed jobs that did not end as they should have: done, or failed if hopeless. */
    std::size_t ended_wrongly{};
};

/*! Plays a load in virtual time under a policy. The same load gives the same result. Not thread safe. */
class replay {
public:
    replay(replay_load const &load, replay_policy &policy);

    /*! Plays all and returns what came of it. */
    [[nodiscard]] replay_result run();

    // For policies.
    void start(replay_start const &order);
    /*! Notes a start that was sent to a worker that is lost. */
    void lose_start(replay_start const &order);
    void stop(std::size_t worker, run_key const &key);
    /*! Notes the phase that the policy gives a job. */
    void tell_phase(std::string const &job, job_phase phase);
    [[nodiscard]] resources free_room(replay_worker const &worker) const;
    [[nodiscard]] bool is_waiting(replay_state const &job, replay_task const &task) const noexcept;
    [[nodiscard]] std::size_t index_of(std::string const &job) const;

    instant now;
    site_rules rules;
    std::vector<replay_worker> workers;
    /*! Accepted so far. */
    std::vector<replay_state> jobs;

private:
    void change_domains();
    void take_jobs();
    void cancel_jobs();
    void end_runs();
    void end_run(replay_worker &where, replay_run const &run, run_outcome how);
    void break_gang(std::size_t job);
    void lose(replay_worker &where);
    void complete_gangs();
    void check_books();
    void note_idleness();
    [[nodiscard]] bool is_over() const;
    [[nodiscard]] replay_result figures();

    replay_load const &load_;
    replay_policy &policy_;
    std::map<std::string, std::size_t> ids_;
    std::size_t next_job_{};
    std::size_t next_change_{};
    /*! Jobs with gangs that began in this round. */
    std::vector<std::size_t> begun_gangs_;
    replay_result result_;
};

} // namespace kingcuplink::test

#endif
