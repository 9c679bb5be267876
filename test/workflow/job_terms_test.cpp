#include "fixture.hpp"

#include <array>
#include <doctest/doctest.h>
#include <string_view>

namespace kingcuplink::test {

namespace {

/*! What the rules say of the queue of a job when it goes on. */
enum class later_rules : std::uint8_t { unchanged, removed, replaced };

constexpr std::array<later_rules, 3u> all_later_rules{
    later_rules::unchanged, later_rules::removed, later_rules::replaced};

job_terms terms_of_queue(scripted_fleet const &fleet) {
    return *find_queue(*fleet.rules, "queue");
}

/*! Gives the next leader other rules. Replaced ones have the name of the queue, but not its terms. */
void change_rules(scripted_fleet &fleet, later_rules const change) {
    auto next = std::make_shared<site_rules>(*fleet.rules);
    ++next->version;
    std::erase_if(next->queues,
        [change](auto const &queue) { return change != later_rules::unchanged && queue.name == "queue"; });
    if(change == later_rules::replaced) {
        queue_rules queue;
        queue.name = "queue";
        queue.service = "service";
        queue.max_attempts = 1u;
        queue.stretch = 100.0;
        next->queues.push_back(queue);
    }
    fleet.rules = std::move(next);
}

job_definition accepted_job(std::string id, std::optional<job_terms> terms) {
    auto job = scripted_fleet::job(std::move(id), single_task_step());
    job.terms = std::move(terms);
    return job;
}

} // namespace

TEST_CASE("a job fails after the attempts with which it was accepted, whatever the rules say later") {
    for(auto const change: all_later_rules) {
        CAPTURE(static_cast<int>(change));
        scripted_fleet fleet{{.max_attempts = 3u}};
        fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
        fleet.submit(accepted_job("a", terms_of_queue(fleet)));
        change_rules(fleet, change);
        fleet.change_leader();
        fleet.run_for(millis{2'000});
        CHECK(fleet.phase_of("a") == job_phase::failed);
        CHECK(fleet.starts == 3u);
    }
}

TEST_CASE("a job of an earlier version follows the rules that are known") {
    struct row {
        later_rules change;
        std::size_t starts;
    };
    std::array<row, 3u> const rows{{
        {later_rules::unchanged, 3u},
        {later_rules::removed, 0u},
        {later_rules::replaced, 1u},
    }};
    for(auto const &item: rows) {
        CAPTURE(static_cast<int>(item.change));
        scripted_fleet fleet{{.max_attempts = 3u}};
        fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
        fleet.submit(accepted_job("a", std::nullopt));
        change_rules(fleet, item.change);
        fleet.change_leader();
        fleet.run_for(millis{2'000});
        CHECK(fleet.starts == item.starts);
    }
}

TEST_CASE("a job of a removed queue runs on the workers, and with the advice, that its terms name") {
    advice_terms const advice{millis{20}, 1'000, millis{2'000}};
    struct row {
        std::string_view name;
        std::string service;
        std::optional<advice_terms> advice;
        bool is_started;
    };
    std::array<row, 3u> const rows{{
        {"without advice", "service", std::nullopt, true},
        {"with advice", "service", advice, true},
        {"of a service without workers", "other", std::nullopt, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet;
        auto terms = terms_of_queue(fleet);
        terms.service = item.service;
        terms.advice = item.advice;
        change_rules(fleet, later_rules::removed);
        fleet.change_leader();
        fleet.submit(accepted_job("a", terms));
        fleet.run_for(millis{2'000});
        CHECK((fleet.phase_of("a") == job_phase::done) == item.is_started);
        CHECK((fleet.queries > 0u) == item.advice.has_value());
    }
}

TEST_CASE("service and advice of a queue in force apply to its jobs, attempts and objective are those accepted") {
    advice_terms const advice{millis{20}, 1'000, millis{2'000}};
    job_terms accepted;
    accepted.service = "first";
    accepted.max_attempts = 5u;
    accepted.stretch = 2.0;
    accepted.target = millis{700};
    accepted.priority = 0;
    queue_rules queue;
    queue.name = "queue";
    queue.service = "second";
    queue.max_attempts = 1u;
    queue.advice = advice;
    struct row {
        std::string_view name;
        bool has_queue;
        bool is_retired;
        std::optional<job_terms> accepted;
        std::optional<std::string> service;
        std::uint32_t max_attempts;
        bool has_advice;
    };
    std::array<row, 6u> const rows{{
        {"in force", true, false, accepted, "second", 5u, true},
        {"retired", true, true, accepted, "first", 5u, false},
        {"removed", false, false, accepted, "first", 5u, false},
        {"in force, accepted by an earlier version", true, false, std::nullopt, "second", 1u, true},
        {"retired, accepted by an earlier version", true, true, std::nullopt, "second", 1u, true},
        {"removed, accepted by an earlier version", false, false, std::nullopt, std::nullopt, 0u, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        site_rules rules;
        if(item.has_queue) {
            rules.queues = {queue};
            rules.queues.front().retired = item.is_retired;
        }
        auto const terms = terms_of_job(rules, "queue", item.accepted);
        REQUIRE((terms != nullptr) == item.service.has_value());
        CHECK(is_in_force(rules, "queue") == (item.has_queue && !item.is_retired));
        if(terms != nullptr) {
            CHECK(terms->service == *item.service);
            CHECK(terms->max_attempts == item.max_attempts);
            CHECK(terms->advice.has_value() == item.has_advice);
            CHECK((terms->target == millis{700}) == item.accepted.has_value());
            CHECK((terms->priority == 0) == item.accepted.has_value());
        }
    }
}

TEST_CASE("a job of a removed queue keeps its rank") {
    for(auto const change: {later_rules::unchanged, later_rules::removed}) {
        CAPTURE(static_cast<int>(change));
        scripted_fleet fleet{{.workers = 1u}};
        auto urgent = accepted_job("urgent", terms_of_queue(fleet));
        urgent.terms->priority = 0;
        urgent.accepted_at += millis{100};
        auto step = single_task_step();
        step.task_size.millicores = 60'000;
        urgent.steps = {step};
        auto ordinary = scripted_fleet::job("ordinary", step);
        ordinary.queue = "patient";
        change_rules(fleet, change);
        fleet.change_leader();
        fleet.submit(ordinary);
        fleet.submit(urgent);
        fleet.run_for(millis{5'000});
        REQUIRE(fleet.first_start.contains("ordinary"));
        REQUIRE(fleet.first_start.contains("urgent"));
        CHECK(fleet.first_start["urgent"] < fleet.first_start["ordinary"]);
    }
}

TEST_CASE("a running job goes on when its queue is removed and added again under the same leader") {
    scripted_fleet fleet;
    auto job = accepted_job("a", terms_of_queue(fleet));
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0u};
    fleet.submit(job);
    fleet.run_for(millis{300});
    auto const first = fleet.rules;
    change_rules(fleet, later_rules::removed);
    fleet.leader->set_rules(fleet.rules);
    fleet.run_for(millis{1'500});
    CHECK(fleet.starts == 2u);
    fleet.leader->set_rules(first);
    fleet.run_for(millis{1'500});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

} // namespace kingcuplink::test
