#include "dispatch_load.hpp"

#include <algorithm>
#include <doctest/doctest.h>
#include <span>
#include <string_view>

namespace kingcuplink::test {

namespace {

/*! Tasks of one kind that wait at the beginning. */
struct waiting_tasks {
    load_kind const *kind;
    std::size_t tasks;
};

/*! Time that a start takes once its worker is chosen. */
constexpr millis start_time = load_round_interval + load_commit_time + load_call_time;

std::size_t job_count(waiting_tasks const &part) noexcept {
    return (part.tasks + part.kind->tasks - 1u) / part.kind->tasks;
}

/*! Returns the time in which half of the cores of a fleet can do the work of all tasks. */
millis room_time(std::span<waiting_tasks const> const parts, std::int64_t const total_millicores) {
    std::int64_t work{};
    for(auto const &part: parts) {
        work += static_cast<std::int64_t>(part.tasks) * part.kind->millicores * part.kind->run_time.count();
    }
    return millis{2 * work / total_millicores};
}

/*! Returns the time in which the adviser can answer one call of the largest size for each job. */
millis adviser_time(std::span<waiting_tasks const> const parts, std::size_t const entry_vms) {
    millis result{};
    for(auto const &part: parts) {
        auto const call = part.kind->advice_time(load_call_workers);
        auto const is_long = call >= internal::long_query_duration;
        auto const vms = is_long ? adviser_pool::long_call_limit(entry_vms) : entry_vms;
        result += call * static_cast<std::int64_t>(job_count(part)) / static_cast<std::int64_t>(vms);
    }
    return result;
}

/*!
 * Returns the time after which all tasks should have started. Besides the time of the room or of the adviser, the last
 * step may need a second call, because the tickets of the first expired while it waited for a run to end.
 */
millis drain_limit(std::span<waiting_tasks const> const parts, dispatch_load_options const &options,
    std::int64_t const total_millicores) {
    millis longest_call{};
    millis longest_run{};
    for(auto const &part: parts) {
        longest_call = std::max(longest_call, part.kind->advice_time(load_call_workers));
        longest_run = std::max(longest_run, part.kind->run_time);
    }
    return std::max(room_time(parts, total_millicores), adviser_time(parts, options.entry_vms)) + longest_run +
        2 * (longest_call + start_time);
}

/*!
 * Returns the time in which a step should start while there is room for it: three attempts to place it, each with the
 * calls that name enough workers if these are idle, and the validity of a ticket.
 */
millis longest_start(load_kind const &kind, std::uint32_t const tasks) {
    constexpr std::int64_t attempts = 3;
    auto const slots_per_call = static_cast<std::int64_t>(load_call_workers * kind.approved_percent / 100u) *
        (load_worker_size.millicores / kind.millicores);
    auto const calls = (static_cast<std::int64_t>(tasks) + slots_per_call - 1) / slots_per_call;
    return attempts * (calls * kind.advice_time(load_call_workers) + load_ticket_time + start_time);
}

/*! Submits new jobs in each round, as many as keep the given percentage of the cores of a fleet in use. */
class job_stream {
public:
    job_stream(dispatch_load &load, std::span<load_kind const *const> const kinds, std::int64_t const percent)
        : load_{load}, percent_{percent} {
        for(auto const *kind: kinds) {
            sources_.push_back({kind, 0});
        }
    }

    /*! Runs rounds for the given time. */
    void run_for(millis const time) {
        auto const work_per_round = load_.total_millicores() * load_round_interval.count() * percent_ / 100 /
            static_cast<std::int64_t>(sources_.size());
        for(auto const end = load_.now() + time; load_.now() < end;) {
            for(auto &source: sources_) {
                source.due_work += work_per_round;
                auto const &kind = *source.kind;
                auto const job_work = static_cast<std::int64_t>(kind.tasks) * kind.millicores * kind.run_time.count();
                for(; source.due_work >= job_work; source.due_work -= job_work) {
                    load_.submit(kind);
                }
            }
            load_.run_round();
        }
    }

private:
    struct kind_source {
        load_kind const *kind;
        /*! Work of the jobs to submit, in thousandths of a core for a millisecond. */
        std::int64_t due_work;
    };

    dispatch_load &load_;
    std::int64_t percent_;
    std::vector<kind_source> sources_;
};

void submit_all(dispatch_load &load, std::span<waiting_tasks const> const parts) {
    for(auto const &part: parts) {
        load.submit_tasks(*part.kind, part.tasks);
    }
}

} // namespace

TEST_CASE("a backlog drains at the rate of the room or of the adviser") {
    // A leader that is slower than both leaves room free while accepted jobs wait, until they lose their value.
    struct row {
        std::string_view name;
        dispatch_load_options options;
        std::vector<waiting_tasks> parts;
    };
    dispatch_load_options const small{.workers = 350u, .entry_vms = 32u};
    dispatch_load_options const large{.workers = 1'100u, .entry_vms = 147u};
    std::vector<row> const rows{
        {"small fleet, wide gangs", small, {{&wide_gangs, 10'000u}}},
        {"small fleet, batch jobs", small, {{&batch_jobs, 10'000u}}},
        {"small fleet, urgent jobs", small, {{&urgent_jobs, 10'000u}}},
        {"small fleet, all kinds", small, {{&wide_gangs, 3'200u}, {&batch_jobs, 3'200u}, {&urgent_jobs, 3'600u}}},
        {"large fleet, wide gangs", large, {{&wide_gangs, 10'000u}}},
        {"large fleet, batch jobs", large, {{&batch_jobs, 10'000u}}},
        {"large fleet, urgent jobs", large, {{&urgent_jobs, 10'000u}}},
        {"large fleet, all kinds", large, {{&wide_gangs, 3'200u}, {&batch_jobs, 3'200u}, {&urgent_jobs, 3'600u}}},
    };
    for(auto const &item: rows) {
        CAPTURE(item.name);
        dispatch_load load{item.options};
        submit_all(load, item.parts);
        // The oldest job of the first kind waits for the kinds with precedence only.
        std::vector<waiting_tasks> preceding;
        std::copy_if(item.parts.begin(), item.parts.end(), std::back_inserter(preceding),
            [&](auto const &part) { return part.kind->priority < item.parts.front().kind->priority; });
        auto const limit = drain_limit(item.parts, item.options, load.total_millicores());
        CAPTURE(limit.count());
        auto const begun = load.now();
        load.run_until_started(limit);
        auto const took = load.now() - begun;
        CAPTURE(took.count());
        CHECK(load.waiting_tasks() == 0u);
        CHECK(load.stranded_jobs() == 0u);
        CHECK(load.start_delay(0u) <= load_longest_wait + room_time(preceding, load.total_millicores()));
        CHECK(load.figures().starts_without_room == 0u);
        // Each answer of the adviser should let at least one task start.
        std::size_t tasks{};
        for(auto const &part: item.parts) {
            tasks += part.tasks;
        }
        CHECK(load.figures().answers <= tasks);
    }
}

TEST_CASE("no gang waits for good behind newer jobs") {
    // Jobs past their value rank behind all newer ones: a limit on steps in a round must not be used up by others.
    struct old_job {
        std::string_view name;
        load_kind const *kind;
        std::uint32_t tasks;
        millis waited;
    };
    static constexpr std::array<old_job, 7u> old_jobs{{
        {"gang past its value", &wide_gangs, 32u, millis{300'000}},
        {"another one", &wide_gangs, 32u, millis{200'000}},
        {"gang past its objective", &wide_gangs, 32u, millis{30'000}},
        {"large gang past its value", &wide_gangs, 98u, millis{300'000}},
        {"batch job past its value", &batch_jobs, 32u, millis{300'000}},
        {"batch job past its objective", &batch_jobs, 32u, millis{30'000}},
        {"urgent job past its value", &urgent_jobs, 4u, millis{300'000}},
    }};
    static constexpr std::array<load_kind const *, 1u> gangs{&wide_gangs};
    static constexpr std::array<load_kind const *, 2u> others{&batch_jobs, &urgent_jobs};
    struct row {
        std::string_view name;
        std::span<load_kind const *const> newer;
        std::int64_t percent;
    };
    std::array<row, 4u> const rows{{
        {"newer gangs, much room", gangs, 35},
        {"newer gangs", gangs, 60},
        {"newer jobs that are no gangs", others, 60},
        {"newer jobs of all kinds", load_kinds, 60},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        dispatch_load load{{.workers = 1'100u, .entry_vms = 147u}};
        job_stream newer{load, item.newer, item.percent};
        newer.run_for(millis{10'000});
        std::vector<std::size_t> numbers;
        for(auto const &old: old_jobs) {
            numbers.push_back(load.submit(*old.kind, old.waited, old.tasks));
        }
        newer.run_for(longest_start(wide_gangs, 98u));
        for(std::size_t pos{}; pos < old_jobs.size(); ++pos) {
            auto const &old = old_jobs[pos];
            CAPTURE(old.name);
            CHECK(load.start_delay(numbers[pos]).count() <= longest_start(*old.kind, old.tasks).count());
        }
        CHECK(load.stranded_jobs() == 0u);
    }
}

TEST_CASE("the first queries of gangs are limited by the adviser alone") {
    // A gang whose query is in flight must not hold back the query of another one while entry VMs are free.
    constexpr std::size_t gangs = 200u;
    dispatch_load_options const options{.workers = 1'100u, .entry_vms = 147u};
    std::array<waiting_tasks, 1u> const parts{{{&wide_gangs, gangs * wide_gangs.tasks}}};
    dispatch_load load{options};
    submit_all(load, parts);
    load.run_for(wide_gangs.advice_time(load_call_workers));
    auto const limit = adviser_pool::long_call_limit(options.entry_vms);
    CHECK(load.figures().peak_long_queries >= limit / 2u);
    CHECK(load.run_until_started(drain_limit(parts, options, load.total_millicores())));
    CHECK(load.figures().peak_long_queries <= limit);
    // One answer suffices for a gang; others are due to tickets that expired while the fleet was full.
    auto const started = gangs - load.waiting_tasks() / wide_gangs.tasks;
    CHECK(load.figures().answers <= 4u * started);
    CHECK(load.stranded_jobs() == 0u);
}

TEST_CASE("a planning round examines a bounded number of steps whatever waits") {
    // A leader that examines its whole backlog, although hardly a step of it can start, plans ever more slowly.
    struct row {
        std::string_view name;
        std::vector<load_kind const *> kinds;
        bool answers_advice;
    };
    std::vector<row> const rows{
        {"gangs", {&wide_gangs}, false},
        {"batch jobs", {&batch_jobs}, false},
        {"urgent jobs", {&urgent_jobs}, false},
        {"all kinds", {&wide_gangs, &batch_jobs, &urgent_jobs}, false},
        {"gangs that start", {&wide_gangs}, true},
        {"batch jobs that start", {&batch_jobs}, true},
        {"urgent jobs that start", {&urgent_jobs}, true},
        {"all kinds that start", {&wide_gangs, &batch_jobs, &urgent_jobs}, true},
    };
    // With few entry VMs, room stays free while the limits on queries are reached.
    constexpr std::size_t entry_vms = 4u;
    for(auto const &item: rows) {
        CAPTURE(item.name);
        // Each query in flight is for another step, and so is each that was answered while its tickets are valid.
        auto steps_with_queries = adviser_pool::long_call_limit(entry_vms) + entry_vms * load_waiting_calls;
        for(auto const *kind: item.kinds) {
            auto const calls = entry_vms * static_cast<std::size_t>(load_ticket_time / kind->advice_time(1u));
            steps_with_queries += item.answers_advice ? calls : 0u;
        }
        auto const examined = [&item](std::size_t const tasks) {
            dispatch_load load{{.workers = 350u, .entry_vms = entry_vms, .answers_advice = item.answers_advice}};
            for(auto const *kind: item.kinds) {
                load.submit_tasks(*kind, tasks / item.kinds.size());
            }
            load.run_for(item.answers_advice ? load_ticket_time : 5 * load_round_interval);
            return load.figures().max_steps_examined;
        };
        auto const few = examined(1'000u);
        CHECK(examined(10'000u) <= few + steps_with_queries);
        CHECK(examined(50'000u) <= few + steps_with_queries);
    }
}

TEST_CASE("the tasks of many restarted workers run again while a backlog waits") {
    // A restart that costs more with each waiting task keeps the leader from planning when most of the fleet is free.
    struct row {
        std::string_view name;
        dispatch_load_options options;
    };
    std::array<row, 2u> const rows{{
        {"small fleet", {.workers = 350u, .entry_vms = 32u}},
        {"large fleet", {.workers = 1'100u, .entry_vms = 147u}},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        dispatch_load load{item.options};
        for(auto const *kind: load_kinds) {
            load.submit_tasks(*kind, 10'000u / load_kinds.size());
        }
        load.run_for(millis{3'000});
        for(std::size_t pos{}; pos < item.options.workers; ++pos) {
            if(pos % 5u < 2u) {
                load.restart_worker(pos);
            }
        }
        CHECK(load.figures().interrupted_runs > 0u);
        std::vector<waiting_tasks> left;
        for(auto const *kind: load_kinds) {
            left.push_back({kind, load.waiting_tasks(*kind)});
        }
        CHECK(load.run_until_started(drain_limit(left, item.options, load.total_millicores())));
        CHECK(load.stranded_jobs() == 0u);
    }
}

} // namespace kingcuplink::test
