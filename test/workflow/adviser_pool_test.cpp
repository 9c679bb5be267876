#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <set>
#include <string>

namespace kingcuplink::test {

namespace {

constexpr instant start{std::chrono::hours{1}};

adviser_pool pool_of(std::size_t const members) {
    adviser_pool pool;
    for(std::size_t pos{}; pos < members; ++pos) {
        pool.add("vm" + std::to_string(pos));
    }
    return pool;
}

} // namespace

TEST_CASE("long calls leave entry VMs for short ones") {
    struct row {
        std::size_t members;
        std::size_t for_long;
    };
    for(auto const &item: std::array<row, 4u>{{{1u, 1u}, {2u, 1u}, {5u, 3u}, {10u, 6u}}}) {
        CAPTURE(item.members);
        auto pool = pool_of(item.members);
        std::set<std::string> used;
        for(auto call = 0; call < 50; ++call) {
            used.insert(pool.assign(millis{800}, start).name);
        }
        CHECK(used.size() == item.for_long);
    }
}

TEST_CASE("calls go to entry VMs in turn") {
    auto pool = pool_of(3u);
    std::set<std::string> used;
    for(auto call = 0; call < 3; ++call) {
        auto const now = start + millis{100 * call};
        auto const booked = pool.assign(millis{10}, now);
        used.insert(booked.name);
        pool.release(booked.name, true, now + millis{10});
    }
    CHECK(used.size() == 3u);
}

TEST_CASE("a call is expected to end after those before it") {
    auto pool = pool_of(1u);
    CHECK(pool.assign(millis{800}, start).ends_at == start + millis{800});
    CHECK(pool.assign(millis{800}, start).ends_at == start + millis{1'600});
}

TEST_CASE("an adviser that did not answer counts as busy with what nobody waits for") {
    auto pool = pool_of(2u);
    auto const first = pool.assign(millis{800}, start);
    pool.release(first.name, false, start + millis{800});
    CHECK(pool.assign(millis{100}, start + millis{800}).name != first.name);
    CHECK(pool.assign(millis{100}, start + millis{800}).name != first.name);
}

} // namespace kingcuplink::test
