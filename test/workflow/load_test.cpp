#include "fixture.hpp"

#include <array>
#include <doctest/doctest.h>
#include <random>
#include <string_view>

namespace kingcuplink::test {

namespace {

struct pattern {
    char const *queue;
    std::uint32_t count;
    std::int64_t millicores;
    millis length;
    bool gang;
    bool checkpointing;
};

constexpr pattern urgent{"urgent", 2u, 5'000, millis{1'000}, false, false};
constexpr pattern gang{"queue", 6u, 18'000, millis{6'000}, true, false};
constexpr pattern batch{"patient", 12u, 4'000, millis{3'400}, false, true};

/*! Adds a job of a pattern now. */
void hand_in(scripted_fleet &fleet, std::string const &id, pattern const &what) {
    step_definition step;
    step.count = what.count;
    step.task_size = {what.millicores, 4'096, 0};
    step.estimate = what.length;
    step.gang = what.gang;
    step.checkpointing = what.checkpointing;
    auto job = scripted_fleet::job(id, step);
    job.queue = what.queue;
    job.accepted_at = fleet.now;
    fleet.behaviour[id] = {what.length, run_outcome::done};
    fleet.submit(job);
}

/*! Adds a number of jobs of a pattern now: a prefix and their numbers from zero are their names. */
void hand_in_many(scripted_fleet &fleet, std::string const &prefix, int const count, pattern const &what) {
    for(auto pos = 0; pos < count; ++pos) {
        hand_in(fleet, prefix + std::to_string(pos), what);
    }
}

/*! Returns the time between a job's acceptance and its first start; the longest time if it never started. */
millis wait_of(scripted_fleet const &fleet, std::string const &id) {
    auto const found = fleet.first_start.find(id);
    return found == fleet.first_start.end() ? millis::max()
                                            : found->second - fleet.table.find(id)->definition.accepted_at;
}

} // namespace

TEST_CASE("pattern: a burst of short urgent jobs beside batch work") {
    // 16 workers full of batch work; urgent jobs have 2 s of slack, batch jobs more than 13 s.
    scripted_fleet fleet{{.workers = 16u}};
    hand_in_many(fleet, "batch", 40, batch);
    fleet.run_for(millis{3'000});
    hand_in_many(fleet, "urgent", 30, urgent);
    fleet.run_for(millis{10'000});
    auto late = 0;
    for(auto pos = 0; pos < 30; ++pos) {
        late += wait_of(fleet, "urgent" + std::to_string(pos)) > millis{2'000} ? 1 : 0;
    }
    CHECK(late == 0);
    CHECK(fleet.fullest() <= 1.0);
}

TEST_CASE("pattern: gangs keep coming on a fleet full of work that can be stopped") {
    // Each stop costs what was done since the last checkpoint: work that is stopped for every gang never ends.
    constexpr pattern patient_work{"patient", 12u, 4'000, millis{12'000}, false, true};
    scripted_fleet fleet{{.workers = 8u}};
    hand_in_many(fleet, "batch", 10, patient_work);
    for(auto pos = 0; pos < 24; ++pos) {
        fleet.run_for(millis{2'500});
        hand_in(fleet, "gang" + std::to_string(pos), gang);
    }
    std::uint32_t most{};
    for(auto const &[task, count]: fleet.stops) {
        most = std::max(most, count);
    }
    CHECK(most > 0u);
    CHECK(most <= 2u);
    CHECK(fleet.fullest() <= 1.0);
}

TEST_CASE("pattern: a burst of gangs on a fleet full of work that can be stopped") {
    // Gangs may wait 7 s in all; the work that runs is checkpointed and has more slack.
    scripted_fleet fleet{{.workers = 8u}};
    hand_in_many(fleet, "batch", 30, batch);
    fleet.run_for(millis{1'500});
    hand_in_many(fleet, "gang", 3, gang);
    fleet.run_for(millis{7'000});
    for(auto pos = 0; pos < 3; ++pos) {
        CHECK(wait_of(fleet, "gang" + std::to_string(pos)) <= millis{7'000});
    }
    CHECK(fleet.fullest() <= 1.0);
}

TEST_CASE("pattern: one account at eight times its usual rate") {
    // What is beyond the usual rate of its account waits for what is within.
    scripted_fleet fleet{{.workers = 2u}};
    fleet.rules->accounts.front().weight = 2.0;
    account_rules other;
    other.name = "other";
    other.weight = 4.0;
    fleet.rules->accounts.push_back(other);
    auto number = 0;
    for(auto second = 0; second < 6; ++second) {
        for(auto pos = 0; pos < 16; ++pos) {
            hand_in(fleet, "hot" + std::to_string(number++), urgent);
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
        CHECK(wait_of(fleet, "other" + std::to_string(second)) <= millis{1'500});
    }
}

TEST_CASE("pattern: a wave of cancellations leaves nothing running") {
    scripted_fleet fleet{{.workers = 8u}};
    hand_in_many(fleet, "batch", 60, batch);
    fleet.run_for(millis{1'000});
    for(auto pos = 0; pos < 60; ++pos) {
        fleet.table.cancel("batch" + std::to_string(pos));
        fleet.leader->cancel_job("batch" + std::to_string(pos));
    }
    fleet.run_for(millis{200});
    for(auto const &item: fleet.workers) {
        CHECK(item.runs.empty());
    }
}

TEST_CASE("pattern: a failure domain is lost while full") {
    // Its runs go elsewhere once their leases have lapsed; nobody is overcommitted meanwhile.
    scripted_fleet fleet{{.workers = 6u, .workers_per_domain = 2u}};
    hand_in_many(fleet, "batch", 8, batch);
    fleet.run_for(millis{500});
    for(auto pos = 0u; pos < 2u; ++pos) {
        fleet.workers[pos].reachable = false;
        fleet.workers[pos].runs.clear();
    }
    fleet.run_for(millis{30'000});
    for(auto pos = 0; pos < 8; ++pos) {
        CHECK(fleet.phase_of("batch" + std::to_string(pos)) == job_phase::done);
    }
    CHECK(fleet.fullest() <= 1.0);
}

TEST_CASE("pattern: advice is sought for what can start soon, not for all that waits") {
    // 300 jobs wait on a full fleet: questions go with what starts, not with what waits.
    advice_terms const advice{millis{70}, 1'000, millis{2'000}};
    scripted_fleet fleet{{.workers = 4u, .advice = advice}};
    hand_in_many(fleet, "batch", 300, batch);
    fleet.run_for(millis{4'000});
    CHECK(fleet.starts > 60u);
    CHECK(fleet.queries < 60u);
}

TEST_CASE("pattern: a long backlog on a full fleet costs a round no more than a short one") {
    // A leader that plans for all that waits uses up its processor share, and short urgent work waits for it.
    struct row {
        std::string_view name;
        pattern what;
    };
    std::array<row, 3u> const rows{{
        {"urgent", {"urgent", 2u, 20'000, millis{60'000}, false, false}},
        {"batch", {"patient", 12u, 20'000, millis{60'000}, false, false}},
        {"gangs", {"queue", 3u, 20'000, millis{60'000}, true, false}},
    }};
    advice_terms const advice{millis{70}, 1'000, millis{2'000}};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        std::array<std::size_t, 2u> served{};
        for(std::size_t pos{}; pos < served.size(); ++pos) {
            scripted_fleet fleet{{.workers = 8u, .advice = advice}};
            hand_in_many(fleet, "job", pos == 0u ? 60 : 600, item.what);
            fleet.run_for(millis{5'000});
            fleet.most_steps_examined = 0u;
            fleet.run_for(millis{1'000});
            served[pos] = fleet.most_steps_examined;
            CHECK(fleet.fullest() > 0.9);
        }
        CHECK(served[1u] <= served[0u]);
        CHECK(served[1u] < 20u);
    }
}

} // namespace kingcuplink::test
