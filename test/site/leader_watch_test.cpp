#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/timing.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink::test {

namespace {

constexpr instant start{millis{1'000'000}};

/*! What an entry VM has seen before it is asked whether it should claim; times are ages. */
struct watch_scenario {
    std::string_view description;
    /*! Leader by the log; empty for none. */
    std::string_view leader;
    bool resigned{};
    millis record_age{};
    /*! No beat came if there is no age. */
    std::optional<millis> heartbeat_age{};
    millis leader_log_age{};
    std::optional<millis> own_append_age{};
    millis own_append_took{10};
    millis read_age{100};
    /*! Processor time of the largest entry VM that the leader knows; this one has 250. */
    std::uint32_t most_millicores{250};
    bool claims{};
};

leader_watch watch_of(watch_scenario const &row) {
    leader_watch watch{"self", 250u};
    if(row.leader.empty()) {
        watch.record_leader_activity(start - row.record_age);
    } else {
        watch.apply_claim({7u, std::string{row.leader}, "address", row.resigned}, start - row.record_age);
    }
    if(row.heartbeat_age) {
        watch.record_heartbeat({7u, row.leader_log_age, millis{10}, row.most_millicores}, start - *row.heartbeat_age);
    }
    if(row.own_append_age) {
        watch.record_own_append(row.own_append_took, start - *row.own_append_age);
    }
    return watch;
}

} // namespace

TEST_CASE("leadership is claimed from a leader that is silent or useless, by whoever can read the log") {
    // Bounds: four beats of 200 ms, or three heartbeats of 700 ms in the log; claims spread over 200 ms.
    std::array<watch_scenario, 17u> const rows{{
        {.description = "nobody leads", .leader = "", .record_age = millis{300}, .claims = true},
        {.description = "it resigned", .leader = "other", .resigned = true, .record_age = millis{300}, .claims = true},
        {.description = "an earlier process of this VM led",
            .leader = "self",
            .record_age = millis{300},
            .claims = true},
        {.description = "beats stopped",
            .leader = "other",
            .record_age = millis{1'100},
            .heartbeat_age = millis{1'100},
            .claims = true},
        {.description = "beats stopped, others are larger",
            .leader = "other",
            .record_age = millis{1'100},
            .heartbeat_age = millis{1'100},
            .most_millicores = 500u},
        {.description = "beats stopped, larger ones do not claim",
            .leader = "other",
            .record_age = millis{1'500},
            .heartbeat_age = millis{1'500},
            .most_millicores = 500u,
            .claims = true},
        {.description = "beats stopped, others are a little larger",
            .leader = "other",
            .record_age = millis{1'100},
            .heartbeat_age = millis{1'100},
            .most_millicores = 400u,
            .claims = true},
        {.description = "beats come", .leader = "other", .record_age = millis{2'000}, .heartbeat_age = millis{100}},
        {.description = "records come, beats do not",
            .leader = "other",
            .record_age = millis{100},
            .heartbeat_age = millis{3'000}},
        {.description = "no beats at all, records are due", .leader = "other", .record_age = millis{1'500}},
        {.description = "no beats at all, no records", .leader = "other", .record_age = millis{3'300}, .claims = true},
        {.description = "it cannot append, nor could this VM",
            .leader = "other",
            .record_age = millis{1'500},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{1'500}},
        {.description = "it cannot append, this VM can",
            .leader = "other",
            .record_age = millis{1'500},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{1'500},
            .own_append_age = millis{300},
            .claims = true},
        {.description = "it cannot append, this VM could once",
            .leader = "other",
            .record_age = millis{1'500},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{1'500},
            .own_append_age = millis{900}},
        {.description = "the log is slow for both",
            .leader = "other",
            .record_age = millis{2'000},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{2'000},
            .own_append_age = millis{300},
            .own_append_took = millis{500}},
        {.description = "it cannot append for long",
            .leader = "other",
            .record_age = millis{6'600},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{6'600},
            .claims = true},
        {.description = "silent, but the log was not read",
            .leader = "other",
            .record_age = millis{5'000},
            .read_age = millis{2'000}},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.description);
        CHECK(watch_of(row).should_claim(start - row.read_age, start) == row.claims);
    }
}

TEST_CASE("records go through a leader whose beats come and whose appends are done") {
    std::array<watch_scenario, 4u> const rows{{
        {.description = "beats and appends", .leader = "other", .heartbeat_age = millis{100}, .claims = true},
        {.description = "no beat yet", .leader = "other"},
        {.description = "old beats", .leader = "other", .heartbeat_age = millis{600}},
        {.description = "no appends", .leader = "other", .heartbeat_age = millis{100}, .leader_log_age = millis{2'600}},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.description);
        CHECK(watch_of(row).accepts_records(start) == row.claims);
    }
}

TEST_CASE("pattern: many entry VMs see a leader without appends in a slow log") {
    // Each claim takes a place in the queue of the log, which processes some ten a second then.
    constexpr auto vms = 32;
    constexpr auto seconds = 5;
    auto claims = 0;
    for(auto vm = 0; vm < vms; ++vm) {
        leader_watch watch{"vm-" + std::to_string(vm), 250u};
        watch.apply_claim({7u, "leader", "address", false}, start);
        for(auto now = start; now < start + std::chrono::seconds{seconds}; now += millis{50}) {
            watch.record_heartbeat({7u, std::chrono::duration_cast<millis>(now - start), millis{400}, 250u}, now);
            if(watch.should_claim(now, now)) {
                ++claims;
                watch.record_failed_claim(now);
            }
        }
    }
    CHECK(claims > 0);
    CHECK(claims <= 10 * seconds);
}

TEST_CASE("claims and beats of earlier terms count for nothing") {
    leader_watch watch{"self", 250u};
    CHECK(watch.apply_claim({7u, "new", "address", false}, start));
    CHECK_FALSE(watch.apply_claim({6u, "old", "address", false}, start));
    CHECK(watch.claim().name == "new");
    watch.record_heartbeat({6u, millis{}, millis{}, 250u}, start);
    CHECK_FALSE(watch.has_heartbeats());
    CHECK_FALSE(watch.apply_claim({7u, "new", "address", false}, start));
    CHECK(watch.apply_claim({7u, "new", "address", true}, start));
}

} // namespace kingcuplink::test
