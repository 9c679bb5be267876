#include <doctest/doctest.h>
#include <kingcuplink/placement/worker_index.hpp>
#include <map>
#include <random>

using namespace kingcuplink;

TEST_CASE("the index finds a worker if and only if one fits") {
    for(std::uint64_t seed{1}; seed <= 30u; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        worker_index index;
        std::map<worker_id, resources> expected;
        for(auto step = 0; step < 500; ++step) {
            worker_id const worker{static_cast<std::uint32_t>(random() % 70u), 0u};
            if(random() % 4u == 0u) {
                index.erase(worker);
                expected.erase(worker);
            } else {
                resources const free{static_cast<std::int64_t>(random() % 64u),
                    static_cast<std::int64_t>(random() % 256u), static_cast<std::int64_t>(random() % 9u)};
                index.set(worker, free);
                expected[worker] = free;
            }
            resources const need{static_cast<std::int64_t>(random() % 64u), static_cast<std::int64_t>(random() % 256u),
                static_cast<std::int64_t>(random() % 9u)};
            auto const exists = std::any_of(
                expected.begin(), expected.end(), [&](auto const &entry) { return fits(need, entry.second); });
            for(auto const found: {index.tightest(need), index.first(need)}) {
                CHECK(found.has_value() == exists);
                if(found) {
                    REQUIRE(expected.contains(*found));
                    CHECK(fits(need, expected.at(*found)));
                }
            }
            CHECK(index.size() == expected.size());
        }
    }
}

TEST_CASE("tasks without accelerators are placed on workers without accelerators") {
    worker_index index;
    worker_id const plain{0u, 0u};
    worker_id const with_accelerators{1u, 0u};
    index.set(plain, {64, 256, 0});
    index.set(with_accelerators, {8, 32, 8});
    CHECK(index.tightest({4, 16, 0}) == plain);
    CHECK(index.tightest({4, 16, 1}) == with_accelerators);
}
