#include "replay.hpp"

#include <array>
#include <cstdio>
#include <doctest/doctest.h>
#include <random>

namespace kingcuplink::test {

namespace {

/*! Limits and targets given by the requirements. */
constexpr millis urgent_start_limit{4'900};
constexpr millis cancellation_limit{3'000};
constexpr millis stop_limit{400};
/*! Longest time for which a task may wait while it fits on a worker. */
constexpr millis idle_limit{3'000};
/*! Time allowed for the last jobs after the traffic has ended. */
constexpr millis finish_limit{14'000};
/*! Minimum fraction served of a kind's largest tenth, relative to that of the whole kind. */
constexpr double largest_share = 0.5;
/*! Target for the earned value. */
constexpr double value_target = 0.80;
/*! Difference in earned value that is treated as noise; see docs/PROOF.md. */
constexpr double value_tolerance = 0.03;
constexpr std::uint32_t max_stops = 2u;

constexpr millis traffic_duration{40'000};
constexpr std::uint32_t max_attempts = 2u;
constexpr std::size_t accounts = 6u;
/*! Number of loads generated for each pattern. */
constexpr std::uint64_t seeds = 15u;
constexpr int max_slowdown = 3;

/*! A stream of jobs of one kind. Together the streams use 62% of the fleet's capacity. */
struct job_stream {
    char const *kind;
    char const *queue;
    double per_second;
    std::uint32_t width;
    std::int64_t millicores;
    std::int64_t duration_ms;
    bool gang;
    bool checkpointing;
};

constexpr std::array<job_stream, 3u> job_streams{{
    {"urgent", "urgent", 8.0, 2u, 5'000, 1'000, false, false},
    {"batch", "batch", 3.0, 8u, 4'000, 3'000, false, true},
    {"gang", "gang", 0.5, 6u, 18'000, 5'000, true, false},
}};

/*! Job widths in percent of the stream's width; each entry is equally likely. */
constexpr std::array<std::uint32_t, 10u> width_percentages{25u, 50u, 50u, 50u, 100u, 100u, 100u, 100u, 150u, 300u};

/*! A pattern of load or failures. */
struct load_pattern {
    char const *name;
    /*! Kind of the jobs that arrive more often from 10 to 20 s, or null. */
    char const *burst_kind{nullptr};
    double burst_factor{8.0};
    /*! True if the first account submits jobs at eight times its usual rate from 10 to 30 s. */
    bool hot_account{};
    /*! Percentage of the jobs accepted from 10 to 30 s that always fail. */
    std::uint32_t failing_percent{};
    /*! True if half of the recent jobs are cancelled every 5 s from 10 s on, at twice the load. */
    bool cancellations{};
    /*! Change of one failure domain, a quarter of the fleet, at 10 s; an evacuated domain is readmitted at 30 s. */
    std::optional<domain_change> change{};
};

constexpr instant replay_begin = instant{} + std::chrono::hours{1};

/*! Generates a load of a pattern from a seed. */
class load_generator {
public:
    load_generator(load_pattern const &pattern, std::uint64_t const seed) : pattern_{pattern}, random_{seed} {}

    [[nodiscard]] replay_load generate() {
        load_.begins_at = replay_begin;
        add_rules();
        for(auto const &item: job_streams) {
            add_stream(item);
        }
        std::stable_sort(load_.jobs.begin(), load_.jobs.end(),
            [](auto const &lhs, auto const &rhs) { return lhs.definition.accepted_at < rhs.definition.accepted_at; });
        if(pattern_.cancellations) {
            add_cancellations();
        }
        if(pattern_.change) {
            load_.changes.push_back({replay_begin + millis{10'000}, *pattern_.change, "d0"});
            if(*pattern_.change == domain_change::evacuate) {
                load_.changes.push_back({replay_begin + millis{30'000}, domain_change::readmit, "d0"});
            }
        }
        load_.ends_at = latest_end();
        return std::move(load_);
    }

private:
    [[nodiscard]] std::int64_t draw(std::int64_t const least, std::int64_t const most) {
        return least + static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(most - least + 1));
    }

    void add_rules() {
        load_.rules.version = 1u;
        for(auto const &item: job_streams) {
            queue_rules queue;
            queue.name = item.queue;
            queue.service = "service";
            queue.max_attempts = max_attempts;
            queue.priority = queue.name == "urgent" ? 0 : 1;
            queue.stretch = queue.name == "batch" ? 4.0 : 2.0;
            queue.target = millis{queue.name == "batch" ? 3'000 : 1'000};
            load_.rules.queues.push_back(queue);
        }
        for(std::size_t pos{}; pos < accounts; ++pos) {
            account_rules account;
            account.name = "account" + std::to_string(pos);
            // Each account submits 1.9 jobs per second; without a hot account all jobs are within the usual rates.
            account.weight = pattern_.hot_account ? 3.0 : 1'000.0;
            load_.rules.accounts.push_back(account);
        }
    }

    [[nodiscard]] double rate_factor(job_stream const &item, millis const at) const {
        auto const is_burst = pattern_.burst_kind != nullptr && std::string{pattern_.burst_kind} == item.kind &&
            at >= millis{10'000} && at < millis{20'000};
        return (is_burst ? pattern_.burst_factor : 1.0) * (pattern_.cancellations ? 2.0 : 1.0);
    }

    void add_stream(job_stream const &item) {
        millis at{};
        while(true) {
            auto const spacing = 1'000.0 / (item.per_second * rate_factor(item, at));
            at += millis{draw(1, static_cast<std::int64_t>(2.0 * spacing))};
            if(at >= traffic_duration) {
                break;
            }
            auto const account = next_account_++ % accounts;
            auto const is_hot = pattern_.hot_account && account == 0u && at >= millis{10'000} && at < millis{30'000};
            for(auto copy = 0; copy < (is_hot ? 8 : 1); ++copy) {
                add_job(item, at, account, is_hot);
            }
        }
    }

    void add_job(job_stream const &item, millis const at, std::size_t const account, bool const is_hot) {
        step_definition step;
        step.count = std::max(
            1u, item.width * width_percentages[static_cast<std::size_t>(draw(0, width_percentages.size() - 1))] / 100u);
        step.task_size = {item.millicores, 4'096, 0};
        step.estimate = millis{item.duration_ms * draw(50, 150) / 100};
        step.gang = item.gang;
        step.checkpointing = item.checkpointing;
        replay_job job;
        job.always_fails = at >= millis{10'000} && at < millis{30'000} && draw(1, 100) <= pattern_.failing_percent;
        job.kind = job.always_fails ? "hopeless" : item.kind;
        job.is_eligible = !job.always_fails && !is_hot;
        job.definition.id = item.kind + std::to_string(load_.jobs.size());
        job.definition.queue = item.queue;
        job.definition.account = "account" + std::to_string(account);
        job.definition.steps.push_back(step);
        job.definition.accepted_at = replay_begin + at;
        longest_ = std::max(longest_, step.estimate);
        core_millis_ += static_cast<double>(step.estimate.count() * step.task_size.millicores) * step.count *
            (job.always_fails ? max_attempts : 1u);
        load_.jobs.push_back(std::move(job));
    }

    /*! Cancels half of the jobs accepted in the 5 s before each wave; jobs that have ended by then are not affected. */
    void add_cancellations() {
        for(auto &job: load_.jobs) {
            auto const at = job.definition.accepted_at - replay_begin;
            auto const wave = (at / millis{5'000} + 1) * millis{5'000};
            if(wave >= millis{10'000} && draw(0, 1) == 0) {
                job.cancelled_at = replay_begin + wave;
            }
        }
    }

    /*! Returns the time by which all jobs end if healthy workers are at least half full while work waits. */
    [[nodiscard]] instant latest_end() const {
        auto const quarters = pattern_.change && *pattern_.change != domain_change::evacuate ? 3u : 4u;
        auto const capacity = static_cast<double>(load_.worker_size.millicores) * static_cast<double>(load_.workers) *
            quarters / 4.0;
        auto const drain_time = millis{static_cast<std::int64_t>(core_millis_ / (capacity / 2.0))};
        return replay_begin + std::max(traffic_duration, drain_time) + longest_ * max_slowdown + finish_limit;
    }

    load_pattern const &pattern_;
    std::mt19937_64 random_;
    replay_load load_;
    std::size_t next_account_{};
    millis longest_{};
    double core_millis_{};
};

/*! Aggregate figures of a policy over all loads of a pattern. */
class policy_statistics {
public:
    void add(replay_result const &result) {
        earned_value_ += result.earned_value / seeds;
        for(auto const &[kind, row]: result.kinds) {
            auto &sum = kinds_[kind];
            sum.wait_mean += row.wait_mean / seeds;
            sum.wait_95th += row.wait_95th / seeds;
            sum.wait_max = std::max(sum.wait_max, row.wait_max);
            sum.wait_max_unanswered = std::max(sum.wait_max_unanswered, row.wait_max_unanswered);
            sum.late += row.late / seeds;
            sum.served += row.served / seeds;
            sum.largest_served += row.largest_served / seeds;
            sum.largest_wait_mean += row.largest_wait_mean / seeds;
            sum.wasted_core_seconds += row.wasted_core_seconds / seeds;
        }
    }

    void print(char const *policy) const {
        std::printf("  %s: earned value %.3f\n", policy, earned_value_);
        for(auto const &[kind, row]: kinds_) {
            std::printf("    %-8s wait mean %lld 95th %lld max %lld (unanswered %lld) ms, late %.3f, served %.3f, "
                        "largest tenth wait %lld ms served %.3f, wasted %.0f core-s\n",
                kind.c_str(), count_of(row.wait_mean), count_of(row.wait_95th), count_of(row.wait_max),
                count_of(row.wait_max_unanswered), row.late, row.served, count_of(row.largest_wait_mean),
                row.largest_served, row.wasted_core_seconds);
        }
    }

    [[nodiscard]] double earned_value() const noexcept {
        return earned_value_;
    }

    [[nodiscard]] std::map<std::string, kind_statistics> const &kinds() const noexcept {
        return kinds_;
    }

private:
    [[nodiscard]] static long long count_of(millis const time) noexcept {
        return static_cast<long long>(time.count());
    }

    double earned_value_{};
    std::map<std::string, kind_statistics> kinds_;
};

replay_result run_replay(replay_load const &load, std::unique_ptr<replay_policy> const policy) {
    return replay{load, *policy}.run();
}

/*! Checks the bounds that apply to every pattern. */
void check_pattern(load_pattern const &pattern) {
    std::printf("%s\n", pattern.name);
    policy_statistics before;
    policy_statistics now;
    for(std::uint64_t seed{1u}; seed <= seeds; ++seed) {
        CAPTURE(seed);
        auto const load = load_generator{pattern, seed}.generate();
        before.add(run_replay(load, make_fifo_policy()));
        auto const result = run_replay(load, make_dispatcher_policy());
        now.add(result);
        INFO("first violation: ", result.violations.empty() ? "none" : result.violations.front());
        CHECK(result.violations.empty());
        CHECK(result.wrong_outcomes == 0u);
        CHECK(result.longest_idle <= idle_limit);
        CHECK(result.longest_cancellation <= cancellation_limit + stop_limit);
        CHECK(result.max_stops <= max_stops);
        CHECK(result.kinds.at("urgent").wait_max <= urgent_start_limit);
        if(pattern.hot_account) {
            CHECK(result.earned_value >= value_target);
        }
    }
    before.print("first come, first served");
    now.print("dispatcher");
    CHECK(now.earned_value() >= before.earned_value() - value_tolerance);
    for(auto const &[kind, row]: now.kinds()) {
        CAPTURE(kind);
        CHECK(row.largest_served >= row.served * largest_share);
    }
}

} // namespace

TEST_CASE("a burst of gangs stays within the bounds") {
    check_pattern({.name = "a burst of gangs", .burst_kind = "gang"});
}

TEST_CASE("a burst of short urgent work stays within the bounds") {
    check_pattern({.name = "a burst of short urgent work", .burst_kind = "urgent"});
}

TEST_CASE("one account at eight times its usual rate stays within the bounds") {
    check_pattern({.name = "one account at eight times its usual rate", .hot_account = true});
}

TEST_CASE("jobs that always fail stay within the bounds") {
    check_pattern({.name = "jobs that always fail", .failing_percent = 30u});
}

TEST_CASE("waves of cancellations stay within the bounds") {
    check_pattern({.name = "waves of cancellations", .cancellations = true});
}

TEST_CASE("evacuation and readmission of a failure domain stay within the bounds") {
    check_pattern({.name = "a failure domain is evacuated and readmitted", .change = domain_change::evacuate});
}

TEST_CASE("loss of a rack stays within the bounds") {
    check_pattern({.name = "a rack is lost", .change = domain_change::fail});
}

TEST_CASE("slow workers stay within the bounds") {
    check_pattern({.name = "workers are slow", .change = domain_change::slow_down});
}

} // namespace kingcuplink::test
