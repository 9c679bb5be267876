#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/site/timing.hpp>
#include <kingcuplink/site/worker_clocks.hpp>

namespace kingcuplink::test {

namespace {

constexpr instant begin{std::chrono::hours{1}};

} // namespace

// The recorded lapse and the requested expiry came from two readings of the time. A pause in between made the lease
// outlast its record: the task was started on another worker while the run continued.
TEST_CASE("a lease expires by the clock of its worker before it counts as lapsed") {
    struct row {
        millis lease_limit;
        /*! Time since the latest clock reading. */
        millis age;
        /*! Rate of the clock of the worker, in thousandths. */
        std::int64_t rate;
        millis lease{timing::max_lease};
    };
    std::array<row, 8u> const rows{{
        {millis{6'000}, millis{0}, 1'000},
        {millis{6'000}, millis{0}, 980},
        {millis{6'000}, timing::max_clock_age, 980},
        {millis{10'000}, timing::max_clock_age, 980},
        {millis{10'000}, timing::max_clock_age, 1'000},
        {millis{2'000}, millis{500}, 980},
        {millis{10'000}, timing::max_clock_age, 980, timing::leaving_worker_lease},
        {millis{10'000}, millis{0}, 1'000, timing::leaving_worker_lease},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.lease_limit.count());
        CAPTURE(item.age.count());
        worker_clocks clocks{item.lease_limit};
        constexpr std::int64_t reported = 50'000;
        clocks.report("w", 1u, reported, begin);
        auto const now = begin + item.age;
        auto const lease = clocks.request("w", 1u, now, item.lease);
        REQUIRE(lease);
        auto const expires_after = millis{(lease->expires_at - reported) * 1'000 / item.rate + 1};
        CHECK(begin + expires_after < lease->lapses_at.in_known_boot);
        CHECK(lease->lapses_at.in_known_boot <= now + timing::longest_lease(item.lease));
        CHECK(lease->lapses_at.in_any_boot >= now + timing::longest_lease(item.lease_limit));
        CHECK(lease->expires_at > reported + item.age.count());
    }
}

TEST_CASE("no lease is derived from a clock reading that is too old or of another boot") {
    struct row {
        millis age;
        std::uint64_t boot;
        bool is_expected;
    };
    std::array<row, 4u> const rows{{
        {millis{0}, 1u, true},
        {timing::max_clock_age, 1u, true},
        {timing::max_clock_age + millis{1}, 1u, false},
        {millis{0}, 2u, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.age.count());
        worker_clocks clocks{millis{6'000}};
        clocks.report("w", 1u, 1'000, begin);
        CHECK(clocks.request("w", item.boot, begin + item.age).has_value() == item.is_expected);
        CHECK_FALSE(clocks.request("other", item.boot, begin).has_value());
    }
}

} // namespace kingcuplink::test
