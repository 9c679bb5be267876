#include <doctest/doctest.h>
#include <kingcuplink/site/load_report.hpp>
#include <kingcuplink/site/timing.hpp>

namespace kingcuplink::test {

TEST_CASE("a load report holds the bytes per second since the report before, by purpose") {
    constexpr instant start{millis{1'000'000}};
    counters stats;
    stats.add(traffic::worker_poll, 700u, 900u);
    load_report report{stats, start};
    auto const due_at = start + timing::load_report_interval;
    CHECK_FALSE(report.is_due(due_at - millis{1}));
    CHECK(report.is_due(due_at));
    stats.add(traffic::worker_poll, 50'000u, 100'000u);
    stats.add(event::peer_bytes_sent, 25'000u);
    auto const first = report.next(stats, due_at);
    CHECK(first.at("sent").at("worker_poll").as_uint64() == 10'000u);
    CHECK(first.at("received").at("worker_poll").as_uint64() == 20'000u);
    CHECK(first.at("sent").at("peers").as_uint64() == 5'000u);
    CHECK(first.at("sent").at("worker_start").as_uint64() == 0u);
    CHECK_FALSE(report.is_due(due_at));
    auto const second = report.next(stats, due_at + timing::load_report_interval);
    CHECK(second.at("sent").at("worker_poll").as_uint64() == 0u);
}

// Logs could not tell why a leader with free workers left thousands of tasks waiting.
TEST_CASE("a load report tells how long planning takes and why steps are held back") {
    constexpr instant start{millis{1'000'000}};
    counters const stats;
    load_report report{stats, start};
    dispatch_plan round;
    round.steps_examined = 40u;
    round.queries.resize(3u);
    round.unused_answers = 2u;
    round.held_steps[static_cast<std::size_t>(hold_reason::ceiling)] = 7u;
    report.record_round(round, std::chrono::microseconds{1'500});
    round.held_steps.fill(0u);
    round.held_steps[static_cast<std::size_t>(hold_reason::long_query_limit)] = 9u;
    report.record_round(round, std::chrono::microseconds{500});
    auto const planning = report.next(stats, start + timing::load_report_interval).at("planning").as_object();
    CHECK(planning.at("rounds").as_uint64() == 2u);
    CHECK(planning.at("total_us").as_int64() == 2'000);
    CHECK(planning.at("longest_us").as_int64() == 1'500);
    CHECK(planning.at("steps_examined").as_uint64() == 80u);
    CHECK(planning.at("queries").as_uint64() == 6u);
    CHECK(planning.at("unused_answers").as_uint64() == 4u);
    CHECK(planning.at("held_steps") == boost::json::value{{"long_query_limit", 9u}});
    auto const next = report.next(stats, start + timing::load_report_interval * 2).at("planning").as_object();
    CHECK(next.at("rounds").as_uint64() == 0u);
    CHECK(next.at("held_steps").as_object().empty());
}

TEST_CASE("bytes are counted by purpose and direction") {
    counters stats;
    stats.add(traffic::log_append, 10u, 20u);
    auto const text = stats.prometheus_text();
    CHECK(text.find("kingcuplink_platform_bytes_total{purpose=\"log_append\",direction=\"sent\"} 10\n") !=
        std::string::npos);
    CHECK(text.find("kingcuplink_platform_bytes_total{purpose=\"log_append\",direction=\"received\"} 20\n") !=
        std::string::npos);
}

} // namespace kingcuplink::test
