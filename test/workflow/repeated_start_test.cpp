#include "fixture.hpp"

#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <string_view>

namespace kingcuplink::test {

namespace {

constexpr millis ticket_validity{2'000};
constexpr millis attempt_time{250};

/*! Reports the runs of a worker to the leader, as the answer to a poll. */
void report(
    scripted_fleet &fleet, std::uint64_t const boot, std::vector<run_key> const &running, instant const sent_at) {
    worker_inventory inventory;
    inventory.boot = boot;
    for(auto const &key: running) {
        inventory.running.push_back({key, {}});
    }
    fleet.leader->apply_inventory(fleet.workers.front().entry.name, inventory, sent_at, fleet.now);
}

/*! Returns a fleet of one worker that has answered a poll. */
scripted_fleet one_worker(bool const has_tickets) {
    scripted_fleet_options options{.workers = 1u};
    if(has_tickets) {
        options.advice = advice_terms{millis{10}, 100, ticket_validity};
    }
    scripted_fleet fleet{options};
    report(fleet, 1u, {}, fleet.now);
    fleet.leader->record_lease_extension(fleet.workers.front().entry.name, lease_expiry::at(fleet.now + millis{9'000}));
    return fleet;
}

/*! Submits a job of one task and returns its start. */
run_start start_task(scripted_fleet &fleet, std::string const &id = "a") {
    fleet.submit(scripted_fleet::job(id, single_task_step()));
    dispatch_plan decided;
    fleet.leader->plan(fleet.now, decided);
    for(auto const &query: decided.queries) {
        std::array<advice_grant, 1u> const grants{{{query.workers.front(), "ticket"}}};
        fleet.leader->take_advice(query, grants, fleet.now);
    }
    auto const starts = plan_and_commit(fleet);
    REQUIRE(starts.size() == 1u);
    return starts.front();
}

} // namespace

TEST_CASE("a start may be sent again while its ticket is valid, its run is wanted and its worker is the same") {
    struct row {
        std::string_view name;
        bool has_ticket;
        std::function<void(scripted_fleet &, run_start const &)> change;
        bool expected;
    };
    std::array<row, 14u> const rows{{
        {"nothing has changed", true, [](auto &, auto const &) {}, true},
        {"the start carries no ticket", false, [](auto &, auto const &) {}, false},
        {"the ticket is about to expire", true, [](auto &fleet, auto const &) { fleet.now += millis{1'800}; }, true},
        {"the ticket has expired", true, [](auto &fleet, auto const &) { fleet.now += millis{1'900}; }, false},
        {"a list that was requested lacks the run", true,
            [](auto &fleet, auto const &) {
                fleet.now += attempt_time;
                report(fleet, 1u, {}, fleet.now);
            },
            true},
        {"a list shows the run", true, [](auto &fleet, auto const &run) { report(fleet, 1u, {run.key}, fleet.now); },
            false},
        {"the start was answered", true,
            [](auto &fleet, auto const &run) {
                fleet.leader->start_answered(run.placement, start_answer::started, fleet.now);
            },
            false},
        {"the start was given up", true,
            [](auto &fleet, auto const &run) {
                fleet.leader->start_answered(run.placement, start_answer::unknown, fleet.now);
            },
            false},
        {"the job was cancelled", true, [](auto &fleet, auto const &) { fleet.leader->cancel_job("a"); }, false},
        {"the worker has restarted", true,
            [](auto &fleet, auto const &) {
                fleet.now += attempt_time;
                report(fleet, 2u, {}, fleet.now);
            },
            false},
        {"another worker answers at the address", true,
            [](auto &fleet, auto const &run) {
                fleet.now += attempt_time;
                fleet.leader->worker_replaced(run.worker, run.address, fleet.now, fleet.now);
            },
            false},
        {"the worker has another address", true,
            [](auto &fleet, auto const &) {
                auto entry = fleet.workers.front().entry;
                entry.address += "0";
                fleet.leader->register_worker(entry, fleet.now);
            },
            false},
        {"the worker leaves", true,
            [](auto &fleet, auto const &) {
                auto entry = fleet.workers.front().entry;
                entry.leaving = true;
                fleet.leader->register_worker(entry, fleet.now);
            },
            false},
        {"the worker is not registered any more", true,
            [](auto &fleet, auto const &run) { fleet.leader->unregister_worker(run.worker); }, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto fleet = one_worker(item.has_ticket);
        auto const run = start_task(fleet);
        CHECK((run.repeat_until > fleet.now) == item.has_ticket);
        item.change(fleet, run);
        CHECK(fleet.leader->may_repeat_start(run, fleet.now) == item.expected);
    }
}

TEST_CASE("after an unanswered copy of a start, only the begin of the run and a fence are conclusive") {
    struct row {
        start_answer latest;
        start_answer expected;
    };
    std::array<row, 10u> const rows{{
        {start_answer::started, start_answer::started},
        {start_answer::fenced, start_answer::fenced},
        {start_answer::outdated, start_answer::unknown},
        {start_answer::late, start_answer::unknown},
        {start_answer::no_capacity, start_answer::unknown},
        {start_answer::bad_ticket, start_answer::unknown},
        {start_answer::unhealthy, start_answer::unknown},
        {start_answer::other_boot, start_answer::unknown},
        {start_answer::not_sent, start_answer::unknown},
        {start_answer::unknown, start_answer::unknown},
    }};
    for(auto const &item: rows) {
        CAPTURE(name_of(item.latest));
        CHECK(conclusion_after_repetition(item.latest) == item.expected);
    }
}

TEST_CASE("a worker takes runs again once it has answered the latest start, or a poll that was sent later") {
    struct row {
        std::string_view name;
        start_answer answer;
        /*! When the answered poll was sent, after the first copy of the start; the second one is sent after 250 ms. */
        std::optional<millis> poll_sent_after;
        bool expected;
    };
    std::array<row, 6u> const rows{{
        {"no answer", start_answer::unknown, std::nullopt, false},
        {"a poll sent before the latest copy is answered", start_answer::unknown, millis{100}, false},
        {"a poll sent after the latest copy is answered", start_answer::unknown, millis{400}, true},
        {"the latest copy is answered", start_answer::started, std::nullopt, true},
        {"the latest copy and an earlier poll are answered", start_answer::started, millis{100}, true},
        {"a fence", start_answer::fenced, std::nullopt, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto fleet = one_worker(true);
        fleet.now += millis{1};
        auto const run = start_task(fleet);
        auto const begun_at = fleet.now;
        CHECK(fleet.leader->figures(fleet.now).usable_workers == 1u);
        fleet.now += attempt_time;
        fleet.leader->start_repeated(run.placement, fleet.now);
        CHECK(fleet.leader->figures(fleet.now).usable_workers == 0u);
        fleet.now += attempt_time;
        fleet.leader->start_answered(run.placement, item.answer, fleet.now);
        if(item.poll_sent_after) {
            report(fleet, 1u, {}, begun_at + *item.poll_sent_after);
        }
        CHECK(fleet.leader->figures(fleet.now).usable_workers == (item.expected ? 1u : 0u));
    }
}

// A list that was requested before the latest copy was sent says nothing of it.
TEST_CASE("a list settles a start without an answer only if it was requested after the latest copy") {
    struct row {
        std::string_view name;
        /*! When the list was requested, after the first copy; copies are sent after 0 and 250 ms. */
        millis requested_after;
        bool has_run;
        /*! True if the leader stops the run because the list lacks it. */
        bool is_stopped;
    };
    std::array<row, 4u> const rows{{
        {"between the copies, without the run", millis{100}, false, false},
        {"while the second answer is pending, without the run", millis{300}, false, false},
        {"after the second copy was given up, without the run", millis{600}, false, true},
        {"between the copies, with the run", millis{100}, true, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto fleet = one_worker(true);
        fleet.now += millis{1};
        auto const run = start_task(fleet);
        auto const begun_at = fleet.now;
        fleet.now += attempt_time;
        fleet.leader->start_repeated(run.placement, fleet.now);
        fleet.now += attempt_time;
        fleet.leader->start_answered(run.placement, start_answer::unknown, fleet.now);
        fleet.now = begun_at + millis{700};
        auto const running = item.has_run ? std::vector<run_key>{run.key} : std::vector<run_key>{};
        report(fleet, 1u, running, begun_at + item.requested_after);
        dispatch_plan decided;
        fleet.leader->plan(fleet.now, decided);
        CHECK(decided.stops.size() == (item.is_stopped ? 1u : 0u));
        CHECK(fleet.leader->take_late_confirmations().size() == (item.has_run ? 1u : 0u));
    }
}

} // namespace kingcuplink::test
