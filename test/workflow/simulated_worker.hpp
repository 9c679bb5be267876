#ifndef KINGCUPLINK_TEST_WORKFLOW_SIMULATED_WORKER_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_SIMULATED_WORKER_HPP_INCLUDED

#include "fleet_simulation.hpp"

#include <functional>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kingcuplink::test {

/*! Identifies a task by job, step and index, independent of its runs. */
using task_key = std::tuple<std::string, std::uint32_t, std::uint32_t>;

/*! Returns the task of a run. */
[[nodiscard]] inline task_key task_of(run_key const &key) {
    return {key.job, key.step, key.index};
}

/*! Returns the description of a run for the timeline. */
[[nodiscard]] std::string text_of(run_key const &key);

/*! Checks the actions of the workers against the scheduling rules. */
class invariant_checker {
public:
    /*! Records that the log assigns a run to a worker. */
    void record_intent(run_key const &key, std::string const &worker);

    /*! Registers a job and the number of attempts of its tasks. */
    void define(job_definition const &job, std::uint32_t max_attempts);

    /*! Records the begin of a run. */
    void begin(std::string const &worker, run_key const &key, instant now);

    /*! Records that a leader did not expect a run that a worker listed. */
    void count_unknown_run(bool const is_unfinished) noexcept {
        near_misses_.unknown_runs += is_unfinished ? 1u : 0u;
    }

    /*! Records that a worker rejected the start of a run. */
    void reject_start(run_key const &key, start_answer reason);

    /*! Counts a start that a leader sends again. */
    void count_repeated_start() noexcept {
        ++near_misses_.repeated_starts;
    }

    /*! Counts a copy of a start that a worker executes although the run is there or has ended there. */
    void count_copy_without_effect() noexcept {
        ++near_misses_.copies_without_effect;
    }

    /*! Returns true if a run has ended on a worker. */
    [[nodiscard]] bool has_ended(run_key const &key, std::string const &worker) const {
        return ended_runs_.contains({key, worker});
    }

    /*! Records that another boot than the intended one rejected a start only because of its ticket. */
    void count_start_for_other_boot_without_ticket() noexcept {
        ++near_misses_.starts_for_other_boot_without_ticket;
    }

    /*! Records the end of a run. */
    void end(std::string const &worker, std::uint64_t boot, listed_completion const &end, bool is_gang, instant now);

    /*! Records that a run was lost with its worker. */
    void record_lost_run(std::string const &worker, run_key const &key);

    /*! Records that a worker may discard its completions up to a number. */
    void acknowledge(std::string const &worker, std::uint64_t boot, std::uint64_t number);

    /*! Records that a worker holds a lease. */
    void record_lease(std::string const &worker);

    /*! Records that a worker's lease expired: its unacknowledged completions no longer count. */
    void record_lease_expiry(std::string const &worker);

    /*! Records that callers see a job as done. */
    void show_done(std::string const &job) {
        shown_done_.insert(job);
    }

    /*! Records a violation. */
    void report(run_key const &key, std::string text);

    /*! A violation and the run that it concerns. */
    struct violation {
        run_key key;
        std::string text;
    };

    [[nodiscard]] std::vector<violation> const &violations() const noexcept {
        return violations_;
    }

    /*! Returns the number of failed runs of a task. */
    [[nodiscard]] std::uint32_t failures(task_key const &task) const;

    [[nodiscard]] near_miss_counters const &near_misses() const noexcept {
        return near_misses_;
    }

private:
    /*! A successful or failed completion that is not acknowledged yet. */
    struct pending_completion {
        run_key key;
        run_outcome how;
        bool is_gang{};
        /*! True if another run of the task began afterwards. */
        bool was_restarted{};
        bool lease_expired{};
    };

    /*! Counts what a start of a task is near to: earlier runs of the task that are over or never began. */
    void count_near_misses(std::string const &worker, run_key const &key, instant now);

    std::set<std::pair<run_key, std::string>> intents_;
    /*! Workers that were to run a task, by its runs. */
    std::map<task_key, std::map<std::uint32_t, std::set<std::string>>> assignments_;
    std::set<std::pair<run_key, std::string>> ended_runs_;
    std::set<std::string> leased_workers_;
    std::map<task_key, instant> lapses_;
    near_miss_counters near_misses_;
    std::map<std::string, std::uint32_t> max_attempts_;
    std::map<task_key, std::map<std::string, run_key>> running_runs_;
    std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, pending_completion> pending_completions_;
    std::set<task_key> succeeded_tasks_;
    std::set<std::string> shown_done_;
    std::map<task_key, std::uint32_t> failure_counts_;
    std::map<task_key, std::uint32_t> acknowledged_failures_;
    std::vector<violation> violations_;
};

/*! Answer of a simulated worker to a poll. */
struct poll_answer {
    bool is_fenced{};
    /*! True if another worker answered at the address. */
    bool is_other_worker{};
    std::int64_t clock{};
    worker_inventory inventory;
};

/*!
 * A worker in virtual time. It rejects tokens lower than the highest of its boot, ends its
 * runs when its lease expires by its own clock, which runs up to 2 % slow, and keeps no
 * state of earlier boots.
 */
class simulated_worker {
public:
    /*! Called with the answer, or with a null pointer if the worker crashed meanwhile. */
    using poll_reply = std::function<void(poll_answer const *)>;

    /*! A run on the worker. */
    struct live_run {
        resources size;
        bool is_gang{};
        /*! Time at which the run completes; for a member of a gang, the time limit for its gang to assemble. */
        instant ends_at{};
        run_outcome how{run_outcome::done};
        /*! Time at which a requested stop takes effect. */
        std::optional<instant> stops_at{};
    };

    /*!
     * Constructs a worker; the checker must outlive it.
     * @param name Name of the worker and its address.
     * @param lease_limit Longest lease that it grants.
     */
    simulated_worker(std::string name, resources capacity, double clock_rate, millis lease_limit,
        invariant_checker &checker, instant now);

    /*! Drops all runs, completions and waiting polls; the worker is down until restart(). */
    void crash();

    /*! Starts the next boot, under its own name if one is given. */
    void restart(instant now, std::optional<std::string> name = std::nullopt);

    /*! Announces that the worker leaves; it goes on until crash(). */
    void announce_departure() noexcept {
        is_leaving_ = true;
    }

    /*! Rejects starts until the given time. */
    void reject_starts(instant const until) noexcept {
        rejects_starts_until_ = until;
    }

    /*! Delays the completion of all current runs. */
    void stall(millis time);

    /*! Applies the events that are due: lease expiry, stops, completions and poll time limits. */
    void advance(instant now);

    /*!
     * Executes a start command.
     * @param expires_at Expiry of the lease by the clock of the worker, in ms.
     * @param has_ticket False if the start needs a ticket and carries none that is valid.
     */
    start_answer start(
        run_key const &key, live_run run, std::uint64_t token, std::int64_t expires_at, bool has_ticket, instant now);

    /*! Executes a stop command; returns false if the token is too low. */
    bool stop(run_key const &key, std::uint64_t token, millis grace, instant now);

    /*!
     * Answers a poll, immediately if there are completions to report, otherwise after the wait.
     * @param kept_end Number up to which completions are acknowledged; they are discarded.
     * @param expires_at Expiry of the renewed lease by the clock of the worker, in ms.
     */
    void poll(std::uint64_t token, std::uint64_t kept_end, std::optional<std::int64_t> expires_at, millis wait,
        poll_reply reply, instant now);

    /*! Ends a run and reports its completion to waiting polls. */
    void end_run(run_key const &key, run_outcome how, instant now);

    /*! Returns the clock of the worker in ms since its boot. */
    [[nodiscard]] std::int64_t clock(instant now) const;

    [[nodiscard]] worker_registration registration() const;

    [[nodiscard]] std::map<run_key, live_run> const &runs() const noexcept {
        return runs_;
    }

    [[nodiscard]] std::string const &name() const noexcept {
        return name_;
    }

    [[nodiscard]] std::string const &address() const noexcept {
        return address_;
    }

    [[nodiscard]] std::uint64_t boot() const noexcept {
        return boot_;
    }

    [[nodiscard]] bool is_up() const noexcept {
        return is_up_;
    }

    /*! Returns the time at which advance() has to be called next; at most one second from now. */
    [[nodiscard]] instant next_event(instant now) const;

private:
    struct waiter {
        poll_reply reply;
        instant until;
    };

    void extend(std::int64_t expires_at, instant now);
    void answer_waiters(instant now, bool all);
    [[nodiscard]] poll_answer answer(instant now) const;
    [[nodiscard]] resources used() const;

    std::string name_;
    std::string address_;
    resources capacity_;
    double clock_rate_;
    millis lease_limit_;
    invariant_checker &checker_;
    std::uint64_t boot_{1u};
    bool is_up_{true};
    instant booted_at_;
    std::uint64_t highest_token_{};
    std::int64_t lease_expires_at_{};
    bool lease_expired_{true};
    bool is_leaving_{};
    instant rejects_starts_until_{};
    std::map<run_key, live_run> runs_;
    std::vector<listed_completion> completions_;
    std::uint64_t next_completion_{1u};
    std::map<task_key, std::uint32_t> latest_finished_runs_;
    std::vector<waiter> waiters_;
};

} // namespace kingcuplink::test

#endif
