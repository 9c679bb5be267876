#include <doctest/doctest.h>
#include <kingcuplink/site/load_report.hpp>
#include <kingcuplink/site/timing.hpp>

namespace kingcuplink::test {

TEST_CASE("a load report holds the bytes per second since the report before, by purpose") {
    constexpr instant start{millis{1'000'000}};
    counters stats;
    stats.add(traffic::worker_poll, 700u, 900u);
    load_report report{stats, {}, start};
    auto const due_at = start + timing::load_report_interval;
    CHECK_FALSE(report.is_due(due_at - millis{1}));
    CHECK(report.is_due(due_at));
    stats.add(traffic::worker_poll, 50'000u, 100'000u);
    stats.add(event::peer_bytes_sent, 25'000u);
    auto const first = report.next(stats, {}, due_at);
    CHECK(first.at("sent").at("worker_poll").as_uint64() == 10'000u);
    CHECK(first.at("received").at("worker_poll").as_uint64() == 20'000u);
    CHECK(first.at("sent").at("peers").as_uint64() == 5'000u);
    CHECK(first.at("sent").at("worker_start").as_uint64() == 0u);
    CHECK_FALSE(report.is_due(due_at));
    auto const second = report.next(stats, {}, due_at + timing::load_report_interval);
    CHECK(second.at("sent").at("worker_poll").as_uint64() == 0u);
}

// Logs could not tell why a leader with free workers left thousands of tasks waiting.
TEST_CASE("a load report tells how long planning takes and why steps are held back") {
    constexpr instant start{millis{1'000'000}};
    counters const stats;
    load_report report{stats, {}, start};
    dispatch_plan round;
    round.steps_examined = 40u;
    round.queries.resize(3u);
    round.unused_answers = 2u;
    round.held_steps[static_cast<std::size_t>(hold_reason::ceiling)] = 7u;
    report.record_round(round, std::chrono::microseconds{1'500});
    round.held_steps.fill(0u);
    round.held_steps[static_cast<std::size_t>(hold_reason::long_query_limit)] = 9u;
    report.record_round(round, std::chrono::microseconds{500});
    auto const planning = report.next(stats, {}, start + timing::load_report_interval).at("planning").as_object();
    CHECK(planning.at("rounds").as_uint64() == 2u);
    CHECK(planning.at("total_us").as_int64() == 2'000);
    CHECK(planning.at("longest_us").as_int64() == 1'500);
    CHECK(planning.at("steps_examined").as_uint64() == 80u);
    CHECK(planning.at("queries").as_uint64() == 6u);
    CHECK(planning.at("unused_answers").as_uint64() == 4u);
    CHECK(planning.at("held_steps") == boost::json::value{{"long_query_limit", 9u}});
    auto const next = report.next(stats, {}, start + timing::load_report_interval * 2).at("planning").as_object();
    CHECK(next.at("rounds").as_uint64() == 0u);
    CHECK(next.at("held_steps").as_object().empty());
}

// Rounds were 50 ms apart while planning took a tenth of the time, and no log told what took the rest.
TEST_CASE("a load report accounts for all of the control thread's time") {
    constexpr instant start{millis{1'000'000}};
    constexpr auto per_activity = millis{100};
    constexpr millis thread_time{3'000};
    counters stats;
    load_report report{stats, millis{500}, start};
    for(std::size_t pos{}; pos < activity_count; ++pos) {
        stats.add(static_cast<activity>(pos), per_activity);
    }
    report.record_timer_delay(millis{10});
    report.record_timer_delay(millis{50});
    auto const line = report.next(stats, millis{500} + thread_time, start + timing::load_report_interval);
    auto const &thread = line.at("control_thread").as_object();
    std::int64_t sum{};
    for(std::size_t pos{}; pos < activity_count; ++pos) {
        auto const name = name_of(static_cast<activity>(pos));
        CAPTURE(name);
        auto const time = thread.at(boost::json::string_view{name.data(), name.size()}).as_int64();
        CHECK(time == per_activity.count());
        sum += time;
    }
    CHECK(sum + thread.at("other").as_int64() == thread_time.count());
    CHECK(thread_time.count() + thread.at("waiting").as_int64() == timing::load_report_interval.count());
    CHECK(thread.at("timer_delay_mean").as_int64() == 30);
    CHECK(thread.at("timer_delay_longest").as_int64() == 50);
    CHECK(stats.prometheus_text().find("kingcuplink_control_processor_seconds_total{activity=\"polls\"} 0.1") !=
        std::string::npos);
    auto const next = report.next(stats, millis{500} + thread_time, start + timing::load_report_interval * 2);
    CHECK(next.at("control_thread").at("waiting").as_int64() == timing::load_report_interval.count());
    CHECK(next.at("control_thread").at("polls").as_int64() == 0);
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
