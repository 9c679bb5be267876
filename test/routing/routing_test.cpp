#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/routing/retry_budget.hpp>
#include <kingcuplink/routing/runner_pool.hpp>
#include <kingcuplink/routing/slot_share.hpp>
#include <set>

using namespace kingcuplink;

namespace {

constexpr instant start{millis{1'000'000}};

std::vector<runner_slots> make_runners(std::size_t const count, std::int64_t const slots) {
    std::vector<runner_slots> runners;
    for(std::size_t pos{}; pos < count; ++pos) {
        runners.push_back({.name = "r" + std::to_string(pos),
            .address = "10.0.0.1:" + std::to_string(pos + 1u),
            .slots = slots,
            .usable = true});
    }
    return runners;
}

} // namespace

TEST_CASE("the parts of all entry VMs add up to the slots of a runner") {
    std::vector<std::string> const vms{"e1", "e2", "e3"};
    for(std::int64_t slots{}; slots <= 20; ++slots) {
        for(auto const *runner: {"r1", "r2", "r3"}) {
            std::int64_t sum{};
            for(auto const &vm: vms) {
                auto const slots_of_vm = slot_share(runner, slots, vms, vm);
                CHECK(slots_of_vm >= slots / 3);
                CHECK(slots_of_vm <= slots / 3 + 1);
                sum += slots_of_vm;
            }
            CHECK(sum == slots);
        }
    }
    CHECK(slot_share("r1", 8, std::vector<std::string>{"e1"}, "e1") == 8);
}

TEST_CASE("only safe attempts are retried") {
    struct row {
        attempt_outcome outcome;
        bool repeatable;
        bool expected;
    };
    std::array<row, 8u> const rows{{
        {attempt_outcome::answered, true, false},
        {attempt_outcome::answered, false, false},
        {attempt_outcome::busy, true, true},
        {attempt_outcome::busy, false, true},
        {attempt_outcome::not_sent, true, true},
        {attempt_outcome::not_sent, false, true},
        {attempt_outcome::may_have_run, true, true},
        {attempt_outcome::may_have_run, false, false},
    }};
    for(auto const &row: rows) {
        CHECK(may_retry(row.outcome, row.repeatable) == row.expected);
    }
}

TEST_CASE("retries are limited to a fraction of the requests") {
    retry_budget budget;
    auto granted = 0;
    while(budget.withdraw()) {
        ++granted;
    }
    CHECK(granted == config::retry_budget_burst);
    for(auto count = 0; count < 1'000; ++count) {
        budget.deposit();
        granted += budget.withdraw() ? 1 : 0;
    }
    CHECK(granted == config::retry_budget_burst + 1'000 * config::retry_budget_percent / 100);
}

TEST_CASE("no runner exceeds its slots, and every slot is used") {
    for(auto const strategy: {selection::least_of_two, selection::round_robin, selection::least_outstanding}) {
        runner_pool pool{1u, strategy};
        pool.assign(make_runners(5u, 3));
        std::map<std::string, int> acquired;
        for(auto count = 0; count < 15; ++count) {
            auto const runner = pool.acquire(start);
            REQUIRE(runner);
            CHECK(++acquired[pool.address_of(*runner)] <= 3);
        }
        CHECK_FALSE(pool.acquire(start));
        CHECK(pool.free_slots(start) == 0);
    }
}

TEST_CASE("a leaving runner gets no new requests and keeps its running ones") {
    runner_pool pool{1u};
    auto runners = make_runners(2u, 1);
    pool.assign(runners);
    auto const first = pool.acquire(start);
    REQUIRE(first);
    runners[0].usable = false;
    runners[1].usable = false;
    pool.assign(runners);
    CHECK_FALSE(pool.acquire(start));
    CHECK(pool.usable_slots() == 0);
    pool.assign(std::vector<runner_slots>{});
    CHECK_FALSE(pool.address_of(*first).empty());
    pool.release(*first, attempt_outcome::answered, false, start);
    pool.assign(std::vector<runner_slots>{});
    CHECK(pool.address_of(*first).empty());
}

TEST_CASE("a failing runner is sidelined, then probed with one request") {
    runner_pool pool{1u};
    pool.assign(make_runners(1u, 4));
    for(std::uint32_t count{}; count < config::sideline_failures; ++count) {
        auto const runner = pool.acquire(start);
        REQUIRE(runner);
        pool.release(*runner, attempt_outcome::not_sent, false, start);
    }
    CHECK_FALSE(pool.acquire(start));
    CHECK(pool.sidelined(start) == 1);
    auto const later = start + config::sideline_time;
    auto const probe = pool.acquire(later);
    REQUIRE(probe);
    CHECK_FALSE(pool.acquire(later));
    pool.release(*probe, attempt_outcome::answered, false, later);
    CHECK(pool.free_slots(later) == 4);
}

TEST_CASE("a failure on a reused connection invalidates older connections but does not sideline the runner") {
    runner_pool pool{1u};
    pool.assign(make_runners(1u, 4));
    for(auto count = 0; count < 10; ++count) {
        auto const runner = pool.acquire(start);
        REQUIRE(runner);
        pool.release(*runner, attempt_outcome::may_have_run, true, start);
        CHECK(pool.distrust_before(*runner) == start);
    }
    CHECK(pool.free_slots(start) == 4);
}

TEST_CASE("a retry goes to another runner if one is available") {
    runner_pool pool{7u};
    pool.assign(make_runners(2u, 8));
    auto const first = pool.acquire(start);
    for(auto count = 0; count < 6; ++count) {
        auto const other = pool.acquire(start, *first);
        REQUIRE(other);
        CHECK(*other != *first);
    }
}
