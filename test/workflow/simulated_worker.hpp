#ifndef KINGCUPLINK_TEST_WORKFLOW_SIMULATED_WORKER_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_SIMULATED_WORKER_HPP_INCLUDED

#include <functional>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace kingcuplink::test {

/*! Longest lease that a simulated worker grants. */
inline constexpr millis longest_hold{12'000};

/*! A task, whichever of its runs; the members of a gang are one. */
using task_name = std::tuple<std::string, std::uint32_t, std::uint32_t>;

/*! Returns the task of a run. */
[[nodiscard]] inline task_name task_of(run_key const &key) {
    return {key.job, key.step, key.index};
}

/*! Returns how a run is named in a timeline. */
[[nodiscard]] std::string text_of(run_key const &key);

/*! Holds what workers really did against the rules. */
class run_judge {
public:
    /*! Notes that a record of the log names a run. */
    void note_intent(run_key const &key, std::string const &worker);

    /*! Notes the definition of a job. */
    void define(job_definition const &job, std::uint32_t max_attempts);

    /*! Notes that a run began. */
    void begin(std::string const &worker, run_key const &key);

    /*! Notes that a run ended. */
    void end(std::string const &worker, std::uint64_t boot, listed_completion const &end, bool is_gang);

    /*! Notes that a run is gone with its worker. */
    void vanish(std::string const &worker, run_key const &key);

    /*! Notes that a worker may forget an end. */
    void acknowledge(std::string const &worker, std::uint64_t boot, std::uint64_t number);

    /*! Notes that a worker's lease lapsed: ends that nobody took note of no longer count. */
    void lapse(std::string const &worker);

    /*! Notes a breach. */
    void report(run_key const &key, std::string text);

    /*! A breach and the task that it is of. */
    struct breach {
        run_key key;
        std::string text;
    };

    /*! Returns the breaches. */
    [[nodiscard]] std::vector<breach> const &breaches() const noexcept {
        return breaches_;
    }

    /*! Returns how many runs of a task ended as failed. */
    [[nodiscard]] std::uint32_t failures(task_name const &task) const;

private:
    /*! An end that the log may have to account for. */
    struct open_end {
        run_key key;
        run_outcome how;
        bool is_gang{};
        /*! A later run of the task began. */
        bool was_started_again{};
        bool has_lapsed{};
    };

    std::set<std::pair<run_key, std::string>> intents_;
    std::map<std::string, std::uint32_t> attempts_;
    std::map<task_name, std::map<std::string, run_key>> live_;
    std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, open_end> open_ends_;
    std::set<task_name> done_;
    std::map<task_name, std::uint32_t> failed_;
    std::map<task_name, std::uint32_t> kept_failures_;
    std::vector<breach> breaches_;
};

/*! What a simulated worker answers to a question for its runs. */
struct hold_answer {
    bool is_fenced{};
    std::int64_t clock{};
    worker_inventory inventory;
};

/*!
 * A worker in virtual time. It obeys the highest token of its boot, kills its runs when
 * its lease lapses by its own slow clock, and knows nothing of earlier boots.
 */
class simulated_worker {
public:
    /*! Called with an answer, or nothing if the worker crashed meanwhile. */
    using hold_reply = std::function<void(hold_answer const *)>;

    /*! A run on the worker. */
    struct live_run {
        resources size;
        bool is_gang{};
        /*! When the run is over by itself; members of a gang wait for the others. */
        instant ends_at{};
        run_outcome how{run_outcome::done};
        /*! Set while it is being stopped. */
        std::optional<instant> stops_at{};
    };

    /*! Constructs a worker; the judge must outlive it. */
    simulated_worker(std::string name, resources capacity, double clock_rate, run_judge &judge, instant now);

    /*! Ends everything; nothing is answered until start_again(). */
    void crash();

    /*! Begins another boot. */
    void start_again(instant now);

    /*! Lets time take effect: leases lapse, runs end. */
    void advance(instant now);

    /*! Answers a start. */
    start_answer start(run_key const &key, live_run run, std::uint64_t token, std::int64_t expires_at, instant now);

    /*! Answers a stop; false if the token is too low. */
    bool stop(run_key const &key, std::uint64_t token, millis grace, instant now);

    /*! Answers a question for its runs, at once if it lists an end. */
    void hold(std::uint64_t token, std::uint64_t kept_end, std::optional<std::int64_t> expires_at, millis wait,
        hold_reply reply, instant now);

    /*! Ends a run. */
    void end_run(run_key const &key, run_outcome how, instant now);

    [[nodiscard]] std::int64_t clock(instant now) const;

    [[nodiscard]] worker_registration registration() const;

    [[nodiscard]] std::map<run_key, live_run> const &runs() const noexcept {
        return runs_;
    }

    [[nodiscard]] std::string const &name() const noexcept {
        return name_;
    }

    [[nodiscard]] std::uint64_t boot() const noexcept {
        return boot_;
    }

    [[nodiscard]] bool is_up() const noexcept {
        return is_up_;
    }

    /*! Returns when the next of its own events is due. */
    [[nodiscard]] instant next_event(instant now) const;

private:
    struct waiter {
        hold_reply reply;
        instant until;
    };

    void extend(std::int64_t expires_at, instant now);
    void answer_waiters(instant now, bool all);
    [[nodiscard]] hold_answer answer(instant now) const;
    [[nodiscard]] resources used() const;

    std::string name_;
    resources capacity_;
    double clock_rate_;
    run_judge &judge_;
    std::uint64_t boot_{1u};
    bool is_up_{true};
    instant booted_at_;
    std::uint64_t token_{};
    std::int64_t lease_until_{};
    bool has_lapsed_{true};
    std::map<run_key, live_run> runs_;
    std::vector<listed_completion> ends_;
    std::uint64_t next_end_{1u};
    std::map<task_name, std::uint32_t> over_;
    std::vector<waiter> waiters_;
};

} // namespace kingcuplink::test

#endif
