#ifndef KINGCUPLINK_TEST_WORKFLOW_DISPATCH_LOAD_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_DISPATCH_LOAD_HPP_INCLUDED

#include "event_queue.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kingcuplink::test {

/*! A kind of jobs with one step, and the terms of its queue. */
struct load_kind {
    char const *queue;
    /*! Duration of a call to the adviser: a fixed part, and one for each worker named, in microseconds. */
    millis advice_base;
    std::int64_t advice_per_worker_us;
    /*! Percentage of the workers that the adviser approves for a step. */
    unsigned approved_percent;
    /*! Number of tasks of a step, the cores of each in thousandths, and how long each runs. */
    std::uint32_t tasks;
    std::int64_t millicores;
    millis run_time;
    bool gang;
    std::int64_t priority;
    double stretch;
    millis target;

    /*! Returns the duration of a call to the adviser. */
    [[nodiscard]] constexpr millis advice_time(std::size_t const workers) const noexcept {
        return advice_base + millis{advice_per_worker_us * static_cast<std::int64_t>(workers) / 1'000};
    }
};

inline constexpr load_kind wide_gangs{
    "wide_gangs", millis{510}, 7'300, 30u, 32u, 18'000, millis{6'200}, true, 1, 2.2, millis{1'000}};
inline constexpr load_kind batch_jobs{
    "batch_jobs", millis{140}, 2'000, 45u, 32u, 10'000, millis{3'400}, false, 2, 4.0, millis{3'000}};
inline constexpr load_kind urgent_jobs{
    "urgent_jobs", millis{14}, 200, 70u, 4u, 15'000, millis{1'000}, false, 0, 1.5, millis{250}};

/*! All kinds of jobs. */
inline constexpr std::array<load_kind const *, 3u> load_kinds{&wide_gangs, &batch_jobs, &urgent_jobs};

/*! Terms of every dispatch_load. */
inline constexpr millis load_round_interval{20};
inline constexpr millis load_commit_time{20};
inline constexpr millis load_call_time{4};
inline constexpr millis load_ticket_time{2'000};
/*! A worker without an ended run answers a poll after this time. */
inline constexpr millis load_poll_time{1'000};
/*! A job with nothing running for this time is at fault while the fleet is mostly idle. */
inline constexpr millis load_longest_wait{3'000};
/*! Maximum number of calls of one entry VM that wait for the adviser. */
inline constexpr std::size_t load_waiting_calls = 32u;
/*! Maximum number of workers in one call to the adviser. */
inline constexpr std::size_t load_call_workers = 100u;
inline constexpr resources load_worker_size{64'000, 131'072, 0};

/*! Settings of a dispatch_load. */
struct dispatch_load_options {
    std::size_t workers{350u};
    std::size_t entry_vms{32u};
    /*! False if the adviser answers no call. */
    bool answers_advice{true};
    /*! Source of time for measuring the calls of the dispatcher; by default they are not measured. */
    std::function<std::chrono::nanoseconds()> processor_clock{};
};

/*! Counts of a dispatch_load. */
struct dispatch_load_figures {
    std::size_t queries{};
    std::size_t answers{};
    /*! Calls rejected because too many of the entry VM were waiting. */
    std::size_t rejected_queries{};
    /*! Largest numbers of calls in flight at once. */
    std::size_t peak_long_queries{};
    std::size_t peak_short_queries{};
    std::size_t starts{};
    /*! Starts that a worker rejected, by the cause. */
    std::size_t lapsed_tickets{};
    std::size_t starts_without_room{};
    std::size_t starts_for_other_boot{};
    /*! Starts that the dispatcher dropped before they were sent. */
    std::size_t dropped_starts{};
    /*! Largest number of steps examined in one round. */
    std::size_t max_steps_examined{};
    /*! Runs that ended because their worker restarted, or that of another member of their gang. */
    std::size_t interrupted_runs{};
    /*! Time spent in calls of the dispatcher, and in each planning round; empty if it is not measured. */
    std::chrono::nanoseconds dispatcher_time{};
    std::vector<std::chrono::nanoseconds> round_times;
};

/*!
 * A dispatcher under load in virtual time: a fleet of equal workers, a log whose commits take time, and an adviser that
 * serves the calls of each entry VM one after the other and approves only a share of the workers for a step. Uses
 * neither the network nor a clock of its own. Deterministic. Not thread safe.
 */
class dispatch_load {
public:
    explicit dispatch_load(dispatch_load_options options = {});

    /*! Returns the virtual time. */
    [[nodiscard]] instant now() const noexcept {
        return events_.now();
    }

    /*!
     * Submits a job of a kind. Returns its number, counted from zero.
     * @param waited Time since the acceptance of the job.
     * @param tasks Number of tasks; zero for the usual one of the kind.
     */
    std::size_t submit(load_kind const &kind, millis waited = {}, std::uint32_t tasks = 0u);

    /*! Submits jobs of a kind with the given number of tasks in total, the last with fewer if they do not divide. */
    void submit_tasks(load_kind const &kind, std::size_t tasks);

    /*! Runs one round: polls of workers, planning, next batch. */
    void run_round();

    /*! Runs rounds for the given time. */
    void run_for(millis time);

    /*! Runs rounds until every task has started, or for the given time. Returns true if every task has started. */
    bool run_until_started(millis limit);

    /*! Restarts a worker at once under a new boot: its runs are gone. */
    void restart_worker(std::size_t pos);

    /*! Polls a worker at once. */
    void poll_worker(std::size_t const pos) {
        poll(workers_[pos]);
    }

    /*! Lets time pass without a round. */
    void advance(millis const time) {
        events_.run_until(now() + time);
    }

    /*! Returns the number of tasks that wait for their first start, or for another one after an interruption. */
    [[nodiscard]] std::size_t waiting_tasks() const noexcept {
        return waiting_tasks_;
    }

    /*! Returns the number of waiting tasks of a kind. */
    [[nodiscard]] std::size_t waiting_tasks(load_kind const &kind) const;

    /*! Returns the time from the submission of a job to its first start, or millis::max() if it never started. */
    [[nodiscard]] millis start_delay(std::size_t job) const;

    /*!
     * Returns the number of jobs that had nothing running for load_longest_wait while the fleet had capacity for them
     * twice over and less than half of it was in use.
     */
    [[nodiscard]] std::size_t stranded_jobs() const;

    /*! Returns the part of the cores that is in use. */
    [[nodiscard]] double utilization() const;

    /*! Returns the cores of all workers, in thousandths. */
    [[nodiscard]] std::int64_t total_millicores() const noexcept;

    [[nodiscard]] dispatch_load_figures const &figures() const noexcept {
        return figures_;
    }

    /*! Resets the figures. */
    void reset_figures() {
        figures_ = {};
    }

    [[nodiscard]] dispatcher &leader() noexcept {
        return leader_;
    }

    /*! Runs a call of the dispatcher and measures it, if there is a clock. Returns its duration. */
    template<class Call>
    std::chrono::nanoseconds measure(Call const &call) {
        auto const begun = options_.processor_clock ? options_.processor_clock() : std::chrono::nanoseconds{};
        call();
        auto const ended = options_.processor_clock ? options_.processor_clock() : std::chrono::nanoseconds{};
        figures_.dispatcher_time += ended - begun;
        return ended - begun;
    }

private:
    struct worker_run {
        run_key key;
        std::size_t job;
        resources size;
    };

    struct worker {
        worker_registration entry;
        resources used{};
        std::vector<worker_run> runs{};
        std::vector<listed_completion> completions{};
        std::uint64_t next_completion{1u};
        /*! True if a run has ended since the last poll, or the worker has restarted. */
        bool answers_poll{true};
    };

    struct job {
        load_kind const *kind;
        instant submitted_at;
        std::optional<instant> first_start{};
        /*! By task. */
        std::vector<bool> started;
        std::size_t running{};
        std::size_t unfinished{};
        /*! Since when nothing of the job runs. */
        instant idle_since{};
        bool is_stranded{};
    };

    struct ticket {
        std::size_t job;
        std::size_t worker;
        std::uint64_t boot;
        instant issued_at;
    };

    struct entry_vm {
        instant free_at{};
        std::size_t waiting_calls{};
    };

    /*! Index and worker of the present members of a gang's run. */
    using gang_members = std::vector<std::pair<std::uint32_t, std::size_t>>;

    void poll_workers();
    void poll(worker &host);
    void ask_adviser(advice_query query);
    void answer_advice(advice_query const &query, std::string const &vm);
    void take_batch();
    void commit_batch(progress_batch const &batch);
    void start_run(run_start const &command);
    [[nodiscard]] start_answer answer_start(run_start const &command);
    void stop_run(run_stop const &command);
    /*! Ends a run if its worker still has it. */
    void end_run(std::size_t host, run_key const &key, run_outcome how);
    void end_gang(std::size_t job, std::uint32_t run, run_outcome how);
    /*! Records that an interrupted task waits for another start. */
    void count_interruption(std::size_t job, std::uint32_t index);
    void find_stranded_jobs();
    [[nodiscard]] bool has_room_twice(load_kind const &kind, std::size_t tasks) const;
    /*! Records that a task has begun to work. */
    void count_start(std::size_t job, std::uint32_t index);
    [[nodiscard]] std::size_t &queries_in_flight(millis duration) noexcept;
    void count_losses();

    dispatch_load_options options_;
    event_queue events_;
    std::shared_ptr<site_rules> rules_{std::make_shared<site_rules>()};
    dispatcher leader_;
    adviser_pool advisers_;
    std::map<std::string, entry_vm> vms_;
    std::vector<worker> workers_;
    std::vector<job> jobs_;
    std::vector<std::size_t> unfinished_jobs_;
    std::vector<ticket> tickets_;
    std::map<std::pair<std::size_t, std::uint32_t>, gang_members> gangs_;
    dispatch_load_figures figures_;
    std::size_t waiting_tasks_{};
    /*! Latest time at which no further long query, and no further query at all, could be answered at once. */
    instant long_calls_busy_at_{};
    instant all_vms_busy_at_{};
    std::size_t long_queries_{};
    std::size_t short_queries_{};
    std::int64_t used_millicores_{};
    /*! Since when less than half of the cores are in use. */
    std::optional<instant> mostly_idle_since_;
    bool is_batch_pending_{};
    std::size_t round_{};
};

} // namespace kingcuplink::test

#endif
