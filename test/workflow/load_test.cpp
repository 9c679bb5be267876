#include "fixture.hpp"

#include <array>
#include <doctest/doctest.h>
#include <random>
#include <string_view>

namespace kingcuplink::test {

namespace {

struct job_template {
    char const *queue;
    std::uint32_t count;
    std::int64_t millicores;
    millis duration;
    bool gang;
    bool checkpointing;
};

constexpr job_template urgent{"urgent", 2u, 5'000, millis{1'000}, false, false};
constexpr job_template gang{"queue", 6u, 18'000, millis{6'000}, true, false};
constexpr job_template batch{"patient", 12u, 4'000, millis{3'400}, false, true};

/*! Submits a job made from a template at the present time. */
void submit_job(scripted_fleet &fleet, std::string const &id, job_template const &spec) {
    step_definition step;
    step.count = spec.count;
    step.task_size = {spec.millicores, 4'096, 0};
    step.estimate = spec.duration;
    step.gang = spec.gang;
    step.checkpointing = spec.checkpointing;
    auto job = scripted_fleet::job(id, step);
    job.queue = spec.queue;
    job.accepted_at = fleet.now;
    fleet.behaviour[id] = {spec.duration, run_outcome::done};
    fleet.submit(job);
}

/*! Submits several jobs made from a template at the present time, named by a prefix and a number from zero. */
void submit_jobs(scripted_fleet &fleet, std::string const &prefix, int const count, job_template const &spec) {
    for(auto pos = 0; pos < count; ++pos) {
        submit_job(fleet, prefix + std::to_string(pos), spec);
    }
}

/*! Returns the time between a job's acceptance and its first start, or millis::max() if it never started. */
millis start_delay(scripted_fleet const &fleet, std::string const &id) {
    auto const found = fleet.first_start.find(id);
    return found == fleet.first_start.end() ? millis::max()
                                            : found->second - fleet.table.find(id)->definition.accepted_at;
}

} // namespace

TEST_CASE("a burst of short urgent jobs starts in time on a fleet full of batch work") {
    // 16 workers full of batch work; urgent jobs have 2 s of slack, batch jobs more than 13 s.
    scripted_fleet fleet{{.workers = 16u}};
    submit_jobs(fleet, "batch", 40, batch);
    fleet.run_for(millis{3'000});
    submit_jobs(fleet, "urgent", 30, urgent);
    fleet.run_for(millis{10'000});
    auto late_starts = 0;
    for(auto pos = 0; pos < 30; ++pos) {
        late_starts += start_delay(fleet, "urgent" + std::to_string(pos)) > millis{2'000} ? 1 : 0;
    }
    CHECK(late_starts == 0);
    CHECK(fleet.peak_utilization() <= 1.0);
}

TEST_CASE("a steady stream of gangs preempts no task more than twice") {
    // Each preemption discards the work since the last checkpoint, so a task preempted for every gang would never end.
    constexpr job_template long_batch{"patient", 12u, 4'000, millis{12'000}, false, true};
    scripted_fleet fleet{{.workers = 8u}};
    submit_jobs(fleet, "batch", 10, long_batch);
    for(auto pos = 0; pos < 24; ++pos) {
        fleet.run_for(millis{2'500});
        submit_job(fleet, "gang" + std::to_string(pos), gang);
    }
    std::uint32_t max_stops{};
    for(auto const &[task, count]: fleet.stops) {
        max_stops = std::max(max_stops, count);
    }
    CHECK(max_stops > 0u);
    CHECK(max_stops <= 2u);
    CHECK(fleet.peak_utilization() <= 1.0);
}

TEST_CASE("a burst of gangs starts in time on a fleet full of preemptible work") {
    // Gangs may wait 7 s in total; the running work is checkpointed and has more slack.
    scripted_fleet fleet{{.workers = 8u}};
    submit_jobs(fleet, "batch", 30, batch);
    fleet.run_for(millis{1'500});
    submit_jobs(fleet, "gang", 3, gang);
    fleet.run_for(millis{7'000});
    for(auto pos = 0; pos < 3; ++pos) {
        CHECK(start_delay(fleet, "gang" + std::to_string(pos)) <= millis{7'000});
    }
    CHECK(fleet.peak_utilization() <= 1.0);
}

// Jobs of another queue were not started on an idle fleet for minutes: it was reserved for a gang that could never
// start.
TEST_CASE("gangs that cannot start soon leave an idle fleet to other jobs") {
    struct row {
        std::string_view name;
        /*! Members, their size and the most on one worker; each of the three workers has 64 cores. */
        std::uint32_t members;
        std::int64_t millicores;
        std::uint32_t most_per_worker;
        /*! Number of such gangs. */
        int gangs;
        bool is_worker_missing;
        /*! Duration of a run of 8 cores on each worker that cannot be preempted, and whether it has no end. */
        millis occupied;
        bool is_long_running;
    };
    constexpr millis free{};
    std::array<row, 7u> const rows{{
        {"larger than the fleet", 40u, 8'000, 0u, 1, false, free, false},
        {"more gangs than may reserve capacity", 40u, 8'000, 0u, 12, false, free, false},
        {"more members than workers of their own", 24u, 8'000, 1u, 1, false, free, false},
        {"members larger than any worker", 1u, 65'000, 0u, 1, false, free, false},
        {"fits only on all workers, and one does not answer", 24u, 8'000, 0u, 1, true, free, false},
        {"fits only without long-running work", 24u, 8'000, 0u, 1, false, millis{600'000}, true},
        {"waits for runs of ten minutes", 24u, 8'000, 0u, 1, false, millis{600'000}, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 3u}};
        fleet.workers[2].reachable = !item.is_worker_missing;
        if(item.occupied > free) {
            auto step = single_task_step();
            step.count = 3u;
            step.task_size = {8'000, 4'096, 0};
            step.most_per_worker = 1u;
            step.estimate = item.occupied;
            step.long_running = item.is_long_running;
            fleet.behaviour["occupied"] = {item.occupied, run_outcome::done};
            fleet.submit(scripted_fleet::job("occupied", step));
        }
        fleet.run_for(millis{1'800});
        for(auto pos = 0; pos < item.gangs; ++pos) {
            auto step = single_task_step();
            step.count = item.members;
            step.task_size = {item.millicores, 512, 0};
            step.most_per_worker = item.most_per_worker;
            step.estimate = millis{120'000};
            step.gang = true;
            auto job = scripted_fleet::job("gang" + std::to_string(pos), step);
            job.queue = "urgent";
            job.accepted_at = fleet.now;
            fleet.submit(job);
        }
        fleet.run_for(millis{1'000});
        submit_jobs(fleet, "small", 5, {"patient", 1u, 2'000, millis{1'000}, false, false});
        fleet.run_for(millis{1'000});
        for(auto pos = 0; pos < 5; ++pos) {
            CHECK(start_delay(fleet, "small" + std::to_string(pos)) <= millis{1'000});
        }
        CHECK(fleet.run_count("gang0") == 0u);
    }
}

TEST_CASE("a gang that fits starts in time although other jobs keep the fleet full") {
    // The other jobs cannot be preempted; the gang may wait 7 s, and 18 s until its value is lost.
    struct row {
        std::string_view name;
        std::uint32_t members;
        bool has_long_running;
        millis others;
    };
    std::array<row, 4u> const rows{{
        {"half of the fleet", 4u, false, millis{1'000}},
        {"the whole fleet", 8u, false, millis{1'000}},
        {"all that long-running work leaves", 6u, true, millis{1'000}},
        {"half of the fleet, longer runs", 4u, false, millis{3'400}},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 8u}};
        for(auto pos = 0; pos < 2 && item.has_long_running; ++pos) {
            auto step = single_task_step();
            step.task_size = {60'000, 4'096, 0};
            step.long_running = true;
            auto const id = "long" + std::to_string(pos);
            fleet.behaviour[id] = {std::chrono::hours{1}, run_outcome::done};
            fleet.submit(scripted_fleet::job(id, step));
        }
        fleet.run_for(millis{300});
        auto number = 0;
        auto const keep_full = [&](millis const time) {
            for(millis passed{}; passed < time; passed += millis{200}) {
                submit_jobs(fleet, "other" + std::to_string(number++) + ".", 6,
                    {"patient", 4u, 5'000, item.others, false, false});
                fleet.run_for(millis{200});
            }
        };
        keep_full(millis{4'000});
        submit_job(fleet, "gang", {"queue", item.members, 60'000, millis{6'000}, true, false});
        keep_full(millis{8'000});
        CHECK(start_delay(fleet, "gang") <= millis{7'000});
        CHECK(fleet.peak_utilization() <= 1.0);
    }
}

TEST_CASE("an account at eight times its usual rate does not delay another account") {
    // Jobs beyond the usual rate of their account wait for the jobs of accounts within their rate.
    scripted_fleet fleet{{.workers = 2u}};
    fleet.rules->accounts.front().weight = 2.0;
    account_rules other;
    other.name = "other";
    other.weight = 4.0;
    fleet.rules->accounts.push_back(other);
    auto number = 0;
    for(auto second = 0; second < 6; ++second) {
        for(auto pos = 0; pos < 16; ++pos) {
            submit_job(fleet, "hot" + std::to_string(number++), urgent);
        }
        auto job = scripted_fleet::job("other" + std::to_string(second), {});
        job.steps.front().task_size = {5'000, 4'096, 0};
        job.steps.front().estimate = millis{1'000};
        job.account = "other";
        job.accepted_at = fleet.now;
        fleet.submit(job);
        fleet.run_for(millis{1'000});
    }
    for(auto second = 0; second < 6; ++second) {
        CHECK(start_delay(fleet, "other" + std::to_string(second)) <= millis{1'500});
    }
}

TEST_CASE("a wave of cancellations leaves no run on any worker") {
    scripted_fleet fleet{{.workers = 8u}};
    submit_jobs(fleet, "batch", 60, batch);
    fleet.run_for(millis{1'000});
    for(auto pos = 0; pos < 60; ++pos) {
        fleet.table.cancel("batch" + std::to_string(pos), fleet.now);
        fleet.leader->cancel_job("batch" + std::to_string(pos));
    }
    fleet.run_for(millis{200});
    for(auto const &item: fleet.workers) {
        CHECK(item.runs.empty());
    }
}

TEST_CASE("jobs complete after a fully occupied failure domain is lost") {
    // Its tasks start on other workers after their leases have expired, without overcommitting any worker.
    scripted_fleet fleet{{.workers = 6u, .workers_per_domain = 2u}};
    submit_jobs(fleet, "batch", 8, batch);
    fleet.run_for(millis{500});
    for(auto pos = 0u; pos < 2u; ++pos) {
        fleet.workers[pos].reachable = false;
        fleet.workers[pos].runs.clear();
    }
    fleet.run_for(millis{30'000});
    for(auto pos = 0; pos < 8; ++pos) {
        CHECK(fleet.phase_of("batch" + std::to_string(pos)) == job_phase::done);
    }
    CHECK(fleet.peak_utilization() <= 1.0);
}

TEST_CASE("advice is requested for steps that can start soon, not for the whole backlog") {
    // 300 jobs wait for a full fleet: the number of queries must grow with the starts, not with the backlog.
    advice_terms const advice{millis{70}, 1'000, millis{2'000}};
    scripted_fleet fleet{{.workers = 4u, .advice = advice}};
    submit_jobs(fleet, "batch", 300, batch);
    fleet.run_for(millis{4'000});
    CHECK(fleet.starts > 60u);
    CHECK(fleet.queries < 60u);
}

TEST_CASE("a planning round on a full fleet examines no more steps for a long backlog than for a short one") {
    // A leader that examines its whole backlog uses up its processor share and delays short urgent work.
    struct row {
        std::string_view name;
        job_template spec;
    };
    std::array<row, 3u> const rows{{
        {"urgent", {"urgent", 2u, 20'000, millis{60'000}, false, false}},
        {"batch", {"patient", 12u, 20'000, millis{60'000}, false, false}},
        {"gangs", {"queue", 3u, 20'000, millis{60'000}, true, false}},
    }};
    advice_terms const advice{millis{70}, 1'000, millis{2'000}};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        std::array<std::size_t, 2u> examined{};
        for(std::size_t pos{}; pos < examined.size(); ++pos) {
            scripted_fleet fleet{{.workers = 8u, .advice = advice}};
            submit_jobs(fleet, "job", pos == 0u ? 60 : 600, item.spec);
            fleet.run_for(millis{5'000});
            fleet.max_steps_examined = 0u;
            fleet.run_for(millis{1'000});
            examined[pos] = fleet.max_steps_examined;
            CHECK(fleet.peak_utilization() > 0.9);
        }
        CHECK(examined[1u] <= examined[0u]);
        CHECK(examined[1u] < 20u);
    }
}

} // namespace kingcuplink::test
