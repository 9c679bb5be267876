#include <doctest/doctest.h>
#include <kingcuplink/core/dense_map.hpp>
#include <kingcuplink/core/ids.hpp>
#include <string>

using namespace kingcuplink;

TEST_CASE("dense_map detects stale identifiers") {
    dense_map<job_id, std::string> map;
    auto const first = map.emplace("first");
    auto const second = map.emplace("second");
    CHECK(map.erase(first));
    CHECK_FALSE(map.erase(first));
    CHECK(map.find(first) == nullptr);
    auto const third = map.emplace("third");
    CHECK(third.index == first.index);
    CHECK(third != first);
    CHECK_FALSE(map.contains(first));
    CHECK(map[second] == "second");
    CHECK(map[third] == "third");
    CHECK(map.size() == 2u);
    CHECK_FALSE(map.contains(job_id{}));
}
