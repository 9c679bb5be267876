#include <doctest/doctest.h>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/core/refusal.hpp>
#include <set>
#include <string>

using namespace kingcuplink;

TEST_CASE("every refusal has a complete row at its position") {
    std::set<std::string_view> kinds;
    std::size_t position{};
    for(auto const &row: refusal_table()) {
        CAPTURE(row.kind);
        CHECK(static_cast<std::size_t>(row.reason) == position++);
        CHECK(kinds.insert(row.kind).second);
        CHECK(row.status >= 400u);
        CHECK_FALSE(row.remedy.empty());
        // No automatic retry is suggested for work that may have run.
        CHECK((row.not_run || row.retry_after.count() == 0));
        CHECK(message_of({row.reason, "this"}).find(row.remedy) != std::string::npos);
    }
}

TEST_CASE("the Prometheus text contains every refusal and retry") {
    counters stats;
    stats.add(refusal::queue_full);
    stats.add(retry_reason::runner_busy);
    auto const text = stats.prometheus_text();
    CHECK(text.find("kingcuplink_refusals_total{reason=\"queue_full\"} 1\n") != std::string::npos);
    CHECK(text.find("kingcuplink_retries_total{reason=\"runner_busy\"} 1\n") != std::string::npos);
    for(auto const &row: refusal_table()) {
        CHECK(text.find("\"" + std::string{row.kind} + "\"") != std::string::npos);
    }
}
