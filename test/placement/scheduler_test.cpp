#include "../../bench/quantile.hpp"
#include "../../bench/scenarios.hpp"

#include <doctest/doctest.h>
#include <kingcuplink/core/config.hpp>
#include <set>

using namespace kingcuplink;
using namespace kingcuplink::bench;

namespace {

constexpr instant start{millis{1'000'000}};

/*! Gate with the same ceiling for every team. */
class fixed_ceiling_gate : public start_gate {
public:
    bool permits(team_record const &team, worker_record const &, resources const &charge) override {
        return fits(team.charged + charge, ceiling);
    }
    void started(team_record const &, worker_record const &, resources const &) override {}
    void undone(team_record const &, worker_record const &, resources const &) override {}

    resources ceiling{1'000'000, 1'000'000'000, 1'000};
};

/*! Scheduler with workers of 8 cores, two per rack. */
struct test_domain {
    explicit test_domain(std::size_t const workers, scheduler_options const options = {}) : domain_scheduler{options} {
        for(std::size_t pos{}; pos < workers; ++pos) {
            ids.push_back(domain_scheduler.add_worker(
                "w" + std::to_string(pos), "r" + std::to_string(pos / 2u), {8'000, 8'000, 0}));
            domain_scheduler.set_usable(ids.back(), true);
        }
    }

    job_id submit(std::string const &key, job_spec spec) {
        spec.name = spec.name.empty() ? key : spec.name;
        spec.team = spec.team.empty() ? "red" : spec.team;
        return domain_scheduler.submit(key, spec, now);
    }

    void plan() {
        domain_scheduler.plan(now, gate, commands);
    }

    void confirm() {
        for(auto const &command: commands.starts) {
            domain_scheduler.start_confirmed(command.task, now);
        }
    }

    std::vector<worker_id> ids;
    scheduler domain_scheduler;
    fixed_ceiling_gate gate;
    placement_plan commands;
    instant now{start};
};

job_spec batch(std::int64_t const count, std::int64_t const cores) {
    return {.name = {},
        .team = {},
        .kind = job_kind::batch,
        .count = count,
        .task_size = {cores * 1'000, cores * 1'000, 0},
        .run_time = millis{60'000}};
}

} // namespace

TEST_CASE("a gang starts completely or not at all") {
    test_domain domain{2u};
    auto gang = batch(5, 4);
    gang.kind = job_kind::gang;
    domain.submit("big", gang);
    domain.plan();
    CHECK(domain.commands.starts.empty());
    gang.count = 4;
    domain.submit("fits", gang);
    domain.plan();
    CHECK(domain.commands.starts.size() == 4u);
}

TEST_CASE("a non-repeatable gang continues when one of its starts had no effect") {
    test_domain domain{2u};
    auto gang = batch(4, 2);
    gang.kind = job_kind::gang;
    gang.repeatable = false;
    auto const job = domain.submit("gang", gang);
    domain.plan();
    REQUIRE(domain.commands.starts.size() == 4u);
    auto const missing = domain.commands.starts.front().task;
    domain.domain_scheduler.task_ended(missing, task_outcome::not_started, domain.now);
    domain.now += config::task_backoff_limit;
    domain.plan();
    CHECK(domain.commands.stops.empty());
    REQUIRE(domain.commands.starts.size() == 1u);
    CHECK(domain.commands.starts.front().task == missing);
    CHECK(domain.domain_scheduler.find(job)->state == job_state::running);
}

TEST_CASE("a service is spread over racks") {
    test_domain domain{6u};
    auto service = batch(3, 1);
    service.kind = job_kind::service;
    domain.submit("s", service);
    domain.plan();
    std::set<rack_id> racks;
    for(auto const &command: domain.commands.starts) {
        racks.insert(domain.domain_scheduler.find(command.worker)->rack);
    }
    CHECK(racks.size() == 3u);
}

TEST_CASE("batch work is packed tightly") {
    test_domain domain{4u};
    domain.submit("a", batch(1, 4));
    domain.plan();
    auto const first = domain.commands.starts.front().worker;
    domain.submit("b", batch(1, 4));
    domain.plan();
    CHECK(domain.commands.starts.front().worker == first);
}

TEST_CASE("no task starts on an unusable worker") {
    test_domain domain{1u};
    domain.domain_scheduler.set_usable(domain.ids[0], false);
    domain.submit("a", batch(1, 1));
    domain.plan();
    CHECK(domain.commands.starts.empty());
    domain.domain_scheduler.set_usable(domain.ids[0], true);
    domain.plan();
    CHECK(domain.commands.starts.size() == 1u);
}

TEST_CASE("teams with work share the capacity by weight") {
    test_domain domain{8u};
    domain.domain_scheduler.set_team("red", 3);
    domain.domain_scheduler.set_team("blue", 1);
    auto red = batch(200, 1);
    auto blue = batch(200, 1);
    blue.team = "blue";
    domain.submit("r", red);
    domain.submit("b", blue);
    domain.plan();
    auto const cores = [&](std::string const &team) {
        return domain.domain_scheduler.find(*domain.domain_scheduler.team_of(team))->charged.millicores / 1'000;
    };
    CHECK(cores("red") == 48);
    CHECK(cores("blue") == 16);
}

TEST_CASE("urgent work preempts work above its share") {
    test_domain domain{2u};
    domain.submit("fill", batch(2, 8));
    domain.plan();
    domain.confirm();
    domain.now += millis{5'000};
    auto urgent = batch(1, 1);
    urgent.team = "blue";
    urgent.urgent = true;
    auto const job = domain.submit("u", urgent);
    domain.plan();
    REQUIRE(domain.commands.stops.size() == 1u);
    CHECK(domain.commands.stops.front().reason == stop_reason::preempted);
    // The capacity is reserved for the urgent job until the stop is confirmed.
    domain.submit("late", batch(1, 1));
    auto const victim = domain.commands.stops.front().task;
    domain.plan();
    CHECK(domain.commands.starts.empty());
    domain.domain_scheduler.task_ended(victim, task_outcome::stopped, domain.now);
    domain.plan();
    REQUIRE_FALSE(domain.commands.starts.empty());
    CHECK(domain.domain_scheduler.find(domain.commands.starts.front().task)->job == job);
}

TEST_CASE("non-repeatable work is never preempted") {
    test_domain domain{1u};
    auto non_repeatable = batch(1, 8);
    non_repeatable.repeatable = false;
    domain.submit("once", non_repeatable);
    domain.plan();
    domain.confirm();
    auto urgent = batch(1, 1);
    urgent.urgent = true;
    domain.submit("u", urgent);
    domain.now += millis{10'000};
    domain.plan();
    CHECK(domain.commands.stops.empty());
}

TEST_CASE("a waiting gang is not starved by small jobs") {
    test_domain domain{2u};
    domain.domain_scheduler.set_policies(std::array<kind_policy, job_kind_count>{});
    std::deque<std::pair<instant, task_id>> running;
    auto gang = batch(2, 8);
    gang.kind = job_kind::gang;
    job_id gang_id;
    auto small = batch(1, 1);
    small.run_time = millis{1'000};
    auto started = false;
    for(auto step = 0; step < 2'000 && !started; ++step) {
        domain.now += millis{100};
        for(auto count = 0; count < 3; ++count) {
            domain.submit("s" + std::to_string(step) + "." + std::to_string(count), small);
        }
        if(step == 20) {
            gang_id = domain.submit("gang", gang);
        }
        while(!running.empty() && running.front().first <= domain.now) {
            domain.domain_scheduler.task_ended(running.front().second, task_outcome::succeeded, domain.now);
            running.pop_front();
        }
        domain.plan();
        domain.confirm();
        for(auto const &command: domain.commands.starts) {
            started = started || domain.domain_scheduler.find(command.task)->job == gang_id;
            running.emplace_back(domain.now + millis{1'000}, command.task);
        }
    }
    CHECK(started);
    CHECK(domain.now - domain.domain_scheduler.find(gang_id)->accepted_at <
        2 * config::gang_reservation_age + millis{10'000});
}

TEST_CASE("a worker on which all tasks fail is quarantined, then probed with one task") {
    test_domain domain{2u};
    domain.domain_scheduler.set_usable(domain.ids[1], false);
    for(std::size_t count{}; count < config::quarantine_jobs; ++count) {
        domain.submit("j" + std::to_string(count), batch(1, 1));
        domain.plan();
        REQUIRE(domain.commands.starts.size() == 1u);
        domain.confirm();
        domain.domain_scheduler.task_ended(domain.commands.starts.front().task, task_outcome::failed, domain.now);
    }
    domain.submit("next", batch(4, 1));
    domain.plan();
    CHECK(domain.commands.starts.empty());
    domain.now += config::quarantine_first;
    domain.plan();
    REQUIRE(domain.commands.starts.size() == 1u);
    domain.confirm();
    domain.domain_scheduler.task_ended(domain.commands.starts.front().task, task_outcome::succeeded, domain.now);
    domain.plan();
    CHECK(domain.commands.starts.size() > 1u);
}

TEST_CASE("a job that fails on several workers ends as failed with a reason") {
    test_domain domain{8u};
    auto const job = domain.submit("bad", batch(1, 1));
    std::set<worker_id> tried;
    for(auto count = 0; count < 50 && !is_final(domain.domain_scheduler.find(job)->state); ++count) {
        domain.plan();
        domain.confirm();
        for(auto const &command: domain.commands.starts) {
            tried.insert(command.worker);
            domain.domain_scheduler.task_ended(command.task, task_outcome::failed, domain.now);
        }
        domain.now += config::task_backoff_limit;
    }
    CHECK(domain.domain_scheduler.find(job)->state == job_state::failed);
    CHECK(domain.domain_scheduler.find(job)->reason == "failed on 4 different workers");
    CHECK(tried.size() == config::job_fault_workers);
}

TEST_CASE("lost tasks run again only if they are repeatable") {
    for(auto const repeatable: {true, false}) {
        test_domain domain{2u};
        auto spec = batch(1, 1);
        spec.repeatable = repeatable;
        auto const job = domain.submit("j", spec);
        domain.plan();
        domain.confirm();
        domain.domain_scheduler.task_ended(domain.commands.starts.front().task, task_outcome::lost, domain.now);
        domain.plan();
        CHECK(domain.commands.starts.size() == (repeatable ? 1u : 0u));
        CHECK(domain.domain_scheduler.find(job)->state == (repeatable ? job_state::running : job_state::may_have_run));
    }
}

TEST_CASE("withheld tasks wait until they are adopted or released") {
    test_domain domain{2u};
    auto non_repeatable = batch(2, 1);
    non_repeatable.repeatable = false;
    auto const job = domain.domain_scheduler.submit(
        "j",
        [&]() {
            non_repeatable.team = "red";
            return non_repeatable;
        }(),
        start, true);
    domain.plan();
    CHECK(domain.commands.starts.empty());
    auto const tasks = domain.domain_scheduler.find(job)->tasks;
    domain.domain_scheduler.adopt(tasks[0], domain.ids[0], {1'000, 1'000, 0}, 3u, start);
    CHECK(domain.domain_scheduler.find(domain.ids[0])->charged == resources{1'000, 1'000, 0});
    domain.domain_scheduler.release_withheld(tasks[1], true, start);
    CHECK(domain.domain_scheduler.find(tasks[1])->state == task_state::may_have_run);
    domain.plan();
    CHECK(domain.commands.starts.empty());
}

TEST_CASE("a cancelled job ends when its last task has stopped") {
    test_domain domain{1u};
    auto const job = domain.submit("j", batch(10, 1));
    domain.plan();
    domain.confirm();
    CHECK(domain.domain_scheduler.cancel(job, domain.now));
    CHECK_FALSE(domain.domain_scheduler.find(job)->state == job_state::cancelled);
    domain.plan();
    CHECK(domain.commands.stops.size() == 8u);
    for(auto const &command: domain.commands.stops) {
        domain.domain_scheduler.task_ended(command.task, task_outcome::stopped, domain.now);
    }
    CHECK(domain.domain_scheduler.find(job)->state == job_state::cancelled);
}

TEST_CASE("a job is relinquished only while none of its tasks is on a worker") {
    test_domain domain{1u};
    auto const job = domain.submit("j", batch(9, 1));
    domain.plan();
    CHECK_FALSE(domain.domain_scheduler.relinquish(job, domain.now));
    auto const other = domain.submit("k", batch(1, 1));
    CHECK(domain.domain_scheduler.relinquish(other, domain.now));
    CHECK(domain.domain_scheduler.find(other)->state == job_state::moved);
    // A job with the same key can be submitted again.
    auto const resubmitted = domain.submit("k", batch(1, 1));
    CHECK(resubmitted != other);
    CHECK(domain.domain_scheduler.find(resubmitted)->state == job_state::queued);
}

TEST_CASE("a lowered ceiling stops the newest tasks first") {
    test_domain domain{1u};
    auto const job = domain.submit("j", batch(4, 1));
    for(auto count = 0; count < 1; ++count) {
        domain.plan();
        domain.confirm();
    }
    domain.now += millis{1'000};
    domain.submit("k", batch(2, 1));
    domain.plan();
    domain.confirm();
    domain.domain_scheduler.shed(*domain.domain_scheduler.team_of("red"), {4'000, 1'000'000, 0});
    domain.plan();
    REQUIRE(domain.commands.stops.size() == 2u);
    for(auto const &command: domain.commands.stops) {
        CHECK(domain.domain_scheduler.find(command.task)->job != job);
        CHECK(command.reason == stop_reason::over_ceiling);
    }
}

TEST_CASE("a task that exceeds its reservation is throttled, then stopped") {
    test_domain domain{1u};
    domain.submit("a", batch(2, 4));
    domain.plan();
    domain.confirm();
    auto const task = domain.commands.starts.front().task;
    domain.domain_scheduler.report_use(task, {6'000, 4'000, 0});
    domain.plan();
    REQUIRE(domain.commands.throttles.size() == 1u);
    CHECK(domain.commands.throttles.front() == task);
    domain.domain_scheduler.report_use(task, {6'000, 4'000, 0});
    domain.plan();
    REQUIRE(domain.commands.stops.size() == 1u);
    CHECK(domain.commands.stops.front().reason == stop_reason::excess_use);
    CHECK(
        fits(domain.domain_scheduler.find(domain.ids[0])->charged, domain.domain_scheduler.find(domain.ids[0])->size));
}

TEST_CASE("replays violate no invariant") {
    struct row {
        fleet_size size;
        std::uint64_t seeds;
        millis length;
    };
    std::array<row, 2u> const rows{
        {{{"small", 12u, 5u}, 12u, millis{600'000}}, {{"dimaculangan", 48u, 6u}, 2u, millis{600'000}}}};
    for(auto const &row: rows) {
        for(std::size_t pos{}; pos < static_cast<std::size_t>(trouble::count); ++pos) {
            for(std::uint64_t seed{1}; seed <= row.seeds; ++seed) {
                auto const generated = make_scenario(row.size, static_cast<trouble>(pos), row.length, seed);
                auto const result = run_replay(generated, {});
                CAPTURE(generated.name);
                CAPTURE(seed);
                CHECK_MESSAGE(result.breaches.empty(), result.breaches.front());
                CHECK(result.jobs_succeeded > 0);
                auto const repeated = run_replay(generated, {});
                CHECK(repeated.starts == result.starts);
                CHECK(repeated.work_done_core_hours == result.work_done_core_hours);
            }
        }
    }
}

TEST_CASE("urgent work starts in time while the load is within capacity") {
    constexpr double target_ms = 4'900.0;
    for(auto const what: {trouble::none, trouble::rack_lost, trouble::domain_out, trouble::failing_workers,
            trouble::cancellations, trouble::wrong_sizes}) {
        auto const generated = make_scenario({"dimaculangan", 48u, 6u}, what, millis{1'200'000}, 1u);
        auto const result = run_replay(generated, {});
        CAPTURE(generated.name);
        CHECK(quantile(result.waits.at("urgent"), 0.999) <= target_ms);
    }
}
