#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <set>
#include <string>

namespace kingcuplink::test {

namespace {

constexpr instant start{std::chrono::hours{1}};

adviser_pool make_pool(std::size_t const members) {
    adviser_pool pool;
    for(std::size_t pos{}; pos < members; ++pos) {
        pool.add("vm" + std::to_string(pos));
    }
    return pool;
}

} // namespace

TEST_CASE("long calls use only a part of the entry VMs and leave the rest to short calls") {
    struct row {
        std::size_t members;
        std::size_t used_by_long_calls;
    };
    for(auto const &item: std::array<row, 4u>{{{1u, 1u}, {2u, 1u}, {5u, 3u}, {10u, 6u}}}) {
        CAPTURE(item.members);
        auto pool = make_pool(item.members);
        std::set<std::string> used;
        for(auto call = 0; call < 50; ++call) {
            used.insert(pool.assign(millis{800}, start).name);
        }
        CHECK(used.size() == item.used_by_long_calls);
    }
}

TEST_CASE("calls are distributed round-robin over idle entry VMs") {
    auto pool = make_pool(3u);
    std::set<std::string> used;
    for(auto call = 0; call < 3; ++call) {
        auto const now = start + millis{100 * call};
        auto const booked = pool.assign(millis{10}, now);
        used.insert(booked.name);
        pool.release(booked.name, true, now + millis{10});
    }
    CHECK(used.size() == 3u);
}

TEST_CASE("the expected end of a call includes the calls queued before it") {
    auto pool = make_pool(1u);
    CHECK(pool.assign(millis{800}, start).ends_at == start + millis{800});
    CHECK(pool.assign(millis{800}, start).ends_at == start + millis{1'600});
}

TEST_CASE("an entry VM whose call was not answered counts as busy with the abandoned call") {
    auto pool = make_pool(2u);
    auto const first = pool.assign(millis{800}, start);
    pool.release(first.name, false, start + millis{800});
    CHECK(pool.assign(millis{100}, start + millis{800}).name != first.name);
    CHECK(pool.assign(millis{100}, start + millis{800}).name != first.name);
}

} // namespace kingcuplink::test
