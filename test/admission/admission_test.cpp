#include "../document/sample.hpp"

#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/admission/fair_queue.hpp>
#include <kingcuplink/admission/key_check.hpp>
#include <kingcuplink/core/config.hpp>

using namespace kingcuplink;
using namespace kingcuplink::test;

namespace {

constexpr instant start{millis{1'000'000}};

fair_queue make_queue() {
    fair_queue queue;
    queue.set_limits(
        {{.name = "red", .share = 3, .max_running = 100}, {.name = "blue", .share = 1, .max_running = 100}});
    return queue;
}

std::optional<problem> push(fair_queue &queue, std::string_view const team, instant const deadline, instant const now) {
    return problem_of([&]() -> result<void> {
        BOOST_LEAF_CHECK(queue.push(team, deadline, now));
        return {};
    });
}

} // namespace

TEST_CASE("a request is admitted only for the team of its key") {
    struct row {
        std::string_view queue;
        std::string_view key;
        bool cut_off;
        std::optional<refusal> reason;
        std::string_view team;
    };
    std::array<row, 8u> const rows{{
        {"keyed", "key-red", false, std::nullopt, "red"},
        {"keyed", "", false, refusal::key_missing, ""},
        {"keyed", "key-pink", false, refusal::key_unknown, ""},
        {"keyed", "key-red", true, refusal::held_while_cut_off, ""},
        {"open", "", false, std::nullopt, "blue"},
        {"open", "", true, std::nullopt, "blue"},
        {"open", "key-red", false, std::nullopt, "red"},
        {"none", "key-red", false, refusal::queue_unknown, ""},
    }};
    auto const rules = sample_document();
    for(auto const &row: rows) {
        CAPTURE(row.queue);
        CAPTURE(row.key);
        problem failure;
        auto const admitted = value_of(
            [&]() { return admit_request(rules, row.queue, row.key, row.cut_off); }, failure);
        CHECK(admitted.has_value() != row.reason.has_value());
        if(admitted) {
            CHECK(admitted->team == row.team);
        } else {
            CHECK(failure.reason == *row.reason);
        }
    }
}

TEST_CASE("a withdrawn key is refused") {
    auto rules = sample_document();
    rules.keys.front().withdrawn = true;
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_CHECK(team_of_key(rules, "key-red"));
        return {};
    });
    REQUIRE(refused);
    CHECK(refused->reason == refusal::key_withdrawn);
}

TEST_CASE("waiting requests are served in proportion to share") {
    auto queue = make_queue();
    std::vector<fair_queue::ticket> red;
    for(auto count = 0; count < 200; ++count) {
        problem failure;
        red.push_back(*value_of([&]() { return queue.push("red", start + millis{60'000}, start); }, failure));
        CHECK_FALSE(push(queue, "blue", start + millis{60'000}, start));
    }
    std::size_t served{};
    for(auto count = 0; count < 80; ++count) {
        auto const ticket = queue.pop(start);
        REQUIRE(ticket);
        served += std::find(red.begin(), red.end(), *ticket) != red.end() ? 1u : 0u;
    }
    CHECK(served >= 59u);
    CHECK(served <= 61u);
}

TEST_CASE("a team runs at most its part of the ceiling") {
    fair_queue queue;
    queue.set_limits({{.name = "red", .share = 1, .max_running = 2}});
    for(auto count = 0; count < 3; ++count) {
        CHECK_FALSE(push(queue, "red", start + millis{1'000}, start));
    }
    CHECK(queue.pop(start));
    CHECK(queue.pop(start));
    CHECK_FALSE(queue.pop(start));
    queue.finished("red", millis{10});
    CHECK(queue.pop(start));
    // A lowered ceiling applies to the next request.
    queue.set_limits({{.name = "red", .share = 1, .max_running = 0}});
    CHECK(push(queue, "red", start + millis{1'000}, start)->reason == refusal::ceiling_reached);
}

TEST_CASE("a queue is bounded and refuses requests that cannot be served before their deadline") {
    auto queue = make_queue();
    for(std::size_t count{}; count < config::queued_requests_per_team; ++count) {
        CHECK_FALSE(push(queue, "red", start + millis{1'000}, start));
    }
    CHECK(push(queue, "red", start + millis{1'000}, start)->reason == refusal::queue_full);

    // Four concurrent requests that take 500 ms each.
    auto slow_queue = make_queue();
    for(auto count = 0; count < 30; ++count) {
        CHECK_FALSE(push(slow_queue, "red", start + millis{60'000}, start));
        REQUIRE(slow_queue.pop(start));
        slow_queue.finished("red", millis{500});
    }
    for(auto count = 0; count < 44; ++count) {
        CHECK_FALSE(push(slow_queue, "red", start + millis{60'000}, start));
        if(count < 4) {
            REQUIRE(slow_queue.pop(start));
        }
    }
    CHECK(slow_queue.expected_wait("red") == millis{5'000});
    CHECK(push(slow_queue, "red", start + millis{1'000}, start)->reason == refusal::deadline_too_short);
    CHECK_FALSE(push(slow_queue, "blue", start + millis{1'000}, start));
}

TEST_CASE("a burst after a long idle period is admitted") {
    auto queue = make_queue();
    CHECK_FALSE(push(queue, "red", start + millis{1'000}, start));
    REQUIRE(queue.pop(start));
    queue.finished("red", millis{20});
    auto const later = start + millis{3'600'000};
    for(auto count = 0; count < 20; ++count) {
        CHECK_FALSE(push(queue, "red", later + millis{1'000}, later));
    }
}

TEST_CASE("a queued request that can no longer meet its deadline does not take a slot") {
    auto queue = make_queue();
    CHECK_FALSE(push(queue, "red", start + millis{1'000}, start));
    REQUIRE(queue.pop(start));
    queue.finished("red", millis{100});
    CHECK_FALSE(push(queue, "red", start + millis{120}, start));
    CHECK_FALSE(push(queue, "red", start + millis{1'000}, start));
    CHECK(queue.pop(start + millis{60}) == fair_queue::ticket{3});
    // A request that did not wait is attempted regardless of its deadline.
    CHECK_FALSE(push(queue, "blue", start + millis{110}, start + millis{100}));
    CHECK(queue.pop(start + millis{100}) == fair_queue::ticket{4});
}

TEST_CASE("an expired request is not served") {
    auto queue = make_queue();
    CHECK_FALSE(push(queue, "red", start + millis{10}, start));
    CHECK_FALSE(push(queue, "red", start + millis{1'000}, start));
    CHECK(queue.pop(start + millis{20}) == fair_queue::ticket{2});
    CHECK(queue.waiting() == 0u);
    CHECK(queue.running() == 1);
}

TEST_CASE("the time required before the deadline grows with the deviation of run times") {
    struct row {
        std::string_view name;
        std::vector<std::int64_t> runs;
        /*! Time to the deadline at which the request is run, followed by one at which it is dropped. */
        millis sufficient;
        millis insufficient;
    };
    std::vector<row> const rows{
        {"constant run times", {100, 100, 100, 100}, millis{101}, millis{99}},
        {"small deviations", {100, 110, 90, 100}, millis{105}, millis{99}},
        {"large deviations", {100, 500, 5, 400}, millis{300}, millis{120}},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        for(auto const &[left, is_run]: {std::pair{row.sufficient, true}, std::pair{row.insufficient, false}}) {
            auto queue = make_queue();
            for(auto const run: row.runs) {
                CHECK_FALSE(push(queue, "red", start + millis{9'000}, start));
                REQUIRE(queue.pop(start));
                queue.finished("red", millis{run});
            }
            auto const now = start + millis{50};
            CHECK_FALSE(push(queue, "red", now + left, start));
            CHECK(queue.pop(now).has_value() == is_run);
            CHECK(queue.take_dropped().size() == (is_run ? 0u : 1u));
            CHECK(queue.take_dropped().empty());
        }
    }
}
