#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/core/latencies.hpp>

namespace kingcuplink::test {

TEST_CASE("a latency is counted in the first bucket whose bound is not below it and in all later ones") {
    struct row {
        millis time;
        std::string_view first_bucket;
        std::string_view last_empty_bucket;
    };
    std::array<row, 5u> const rows{{
        {millis{-5}, "le=\"0.001\"} 1", ""},
        {millis{1}, "le=\"0.001\"} 1", ""},
        {millis{3}, "le=\"0.004\"} 1", "le=\"0.002\"} 0"},
        {millis{1'024}, "le=\"1.024\"} 1", "le=\"0.512\"} 0"},
        {millis{100'000}, "le=\"+Inf\"} 1", "le=\"65.536\"} 0"},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.time.count());
        latencies times;
        times.add(latency::log_append, item.time);
        auto const text = times.prometheus_text();
        CHECK(
            text.find("kingcuplink_log_append_seconds_bucket{" + std::string{item.first_bucket}) != std::string::npos);
        CHECK(text.find("kingcuplink_log_append_seconds_bucket{" + std::string{item.last_empty_bucket}) !=
            std::string::npos);
        CHECK(text.find("kingcuplink_log_append_seconds_count 1") != std::string::npos);
        CHECK(text.find("kingcuplink_job_seconds_count 0") != std::string::npos);
    }
}

} // namespace kingcuplink::test
