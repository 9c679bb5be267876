#include <algorithm>
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

/*! Observations of an entry VM before it decides whether to claim leadership; times are ages. */
struct watch_scenario {
    std::string_view description;
    /*! Leader according to the log; empty for none. */
    std::string_view leader;
    bool resigned{};
    millis record_age{};
    /*! Age of the latest heartbeat; nothing if none arrived. */
    std::optional<millis> heartbeat_age{};
    millis leader_log_age{};
    millis leader_append_time{10};
    std::optional<millis> own_append_age{};
    millis own_append_took{10};
    millis read_age{100};
    /*! Time since which the log answers this entry VM again; nothing if it always did. */
    std::optional<millis> log_answers_age{};
    /*! Processor time of the largest entry VM that the leader knows; the watching one has 250 thousandths of a core. */
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
        watch.record_heartbeat(
            {7u, row.leader_log_age, row.leader_append_time, row.most_millicores}, start - *row.heartbeat_age);
    }
    if(row.log_answers_age) {
        watch.record_log_reachability(false, start - *row.log_answers_age - millis{1'500});
        watch.record_log_reachability(true, start - *row.log_answers_age);
    }
    if(row.own_append_age) {
        watch.record_own_append(row.own_append_took, start - *row.own_append_age);
    }
    return watch;
}

} // namespace

TEST_CASE("an entry VM that can read the log claims leadership if the leader is silent or stalled") {
    // Time-outs: four heartbeats of 200 ms, or more than three intervals of 700 ms without the leader's records in the
    // log; claims are spread over 200 ms.
    std::array<watch_scenario, 17u> const rows{{
        {.description = "no leader", .leader = "", .record_age = millis{300}, .claims = true},
        {.description = "leader resigned",
            .leader = "other",
            .resigned = true,
            .record_age = millis{300},
            .claims = true},
        {.description = "leader was an earlier process of this VM",
            .leader = "self",
            .record_age = millis{300},
            .claims = true},
        {.description = "heartbeats stopped",
            .leader = "other",
            .record_age = millis{1'100},
            .heartbeat_age = millis{1'100},
            .claims = true},
        {.description = "heartbeats stopped, another VM is at least twice as large",
            .leader = "other",
            .record_age = millis{1'100},
            .heartbeat_age = millis{1'100},
            .most_millicores = 500u},
        {.description = "heartbeats stopped, larger VM did not claim in time",
            .leader = "other",
            .record_age = millis{1'500},
            .heartbeat_age = millis{1'500},
            .most_millicores = 500u,
            .claims = true},
        {.description = "heartbeats stopped, another VM is slightly larger",
            .leader = "other",
            .record_age = millis{1'100},
            .heartbeat_age = millis{1'100},
            .most_millicores = 400u,
            .claims = true},
        {.description = "heartbeats arrive",
            .leader = "other",
            .record_age = millis{2'000},
            .heartbeat_age = millis{100}},
        {.description = "records arrive, heartbeats do not",
            .leader = "other",
            .record_age = millis{100},
            .heartbeat_age = millis{3'000}},
        {.description = "no heartbeats received, records within their time-out",
            .leader = "other",
            .record_age = millis{1'500}},
        {.description = "no heartbeats received, records timed out",
            .leader = "other",
            .record_age = millis{3'300},
            .claims = true},
        {.description = "leader cannot append, no append of this VM succeeded",
            .leader = "other",
            .record_age = millis{1'500},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{1'500}},
        {.description = "leader cannot append, this VM can",
            .leader = "other",
            .record_age = millis{1'500},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{1'500},
            .own_append_age = millis{300},
            .claims = true},
        {.description = "leader cannot append, the latest append of this VM is too old",
            .leader = "other",
            .record_age = millis{1'500},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{1'500},
            .own_append_age = millis{900}},
        {.description = "log is slow for both",
            .leader = "other",
            .record_age = millis{2'000},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{2'000},
            .own_append_age = millis{300},
            .own_append_took = millis{500}},
        {.description = "leader has not appended for longer than the stall time-out",
            .leader = "other",
            .record_age = millis{6'600},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{6'600},
            .claims = true},
        {.description = "leader silent, but the log was not read recently",
            .leader = "other",
            .record_age = millis{5'000},
            .read_age = millis{2'000}},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.description);
        CHECK(watch_of(row).reason_to_claim(start - row.read_age, start).has_value() == row.claims);
    }
}

// As an outage of the log for all VMs ended, four VMs replaced the leader within 0.1 s as stalled.
TEST_CASE("a leader is not replaced for an outage of the log that the claiming entry VM had as well") {
    std::array<watch_scenario, 7u> const rows{{
        {.description = "the log has just come back for all",
            .leader = "other",
            .heartbeat_age = millis{100},
            .leader_log_age = millis{7'000},
            .log_answers_age = millis{50}},
        {.description = "the log has just come back, and an append of this VM is done",
            .leader = "other",
            .heartbeat_age = millis{100},
            .leader_log_age = millis{7'000},
            .own_append_age = millis{20},
            .log_answers_age = millis{50}},
        {.description = "the log has answered this VM for a while, the leader's appends are not done",
            .leader = "other",
            .heartbeat_age = millis{100},
            .leader_log_age = millis{7'000},
            .log_answers_age = millis{6'600},
            .claims = true},
        {.description = "the same, and an append of this VM is done",
            .leader = "other",
            .heartbeat_age = millis{100},
            .leader_log_age = millis{7'000},
            .own_append_age = millis{300},
            .log_answers_age = millis{1'500},
            .claims = true},
        {.description = "the log was away for the leader alone",
            .leader = "other",
            .heartbeat_age = millis{100},
            .leader_log_age = millis{7'000},
            .claims = true},
        {.description = "the leader's appends take almost as long as the log lets them wait",
            .leader = "other",
            .heartbeat_age = millis{100},
            .leader_log_age = millis{6'600},
            .leader_append_time = millis{1'950}},
        {.description = "the log was away for the leader alone, and an append of this VM is done",
            .leader = "other",
            .heartbeat_age = millis{100},
            .leader_log_age = millis{1'500},
            .own_append_age = millis{300},
            .claims = true},
    }};
    for(auto row: rows) {
        CAPTURE(row.description);
        row.record_age = row.leader_log_age;
        CHECK(watch_of(row).reason_to_claim(start - row.read_age, start).has_value() == row.claims);
    }
}

// One of the smallest VMs replaced a leader that was cut off from the log, since all claimed at the same moment.
TEST_CASE("entry VMs with less processor time let larger ones replace a leader that cannot append") {
    auto const claims_after = [](std::string const &name, std::uint32_t const millicores) {
        leader_watch watch{name, millicores};
        watch.apply_claim({7u, "leader", "address", false}, start);
        auto now = start;
        std::optional<claim_reason> reason;
        while(!reason && now < start + millis{5'000}) {
            now += millis{10};
            watch.record_heartbeat({7u, std::chrono::duration_cast<millis>(now - start), millis{10}, 500u}, now);
            watch.record_own_append(millis{10}, now);
            reason = watch.reason_to_claim(now, now);
        }
        CHECK(reason == claim_reason::appends_faster);
        return std::chrono::duration_cast<millis>(now - start);
    };
    auto last_large = millis{};
    auto first_small = millis::max();
    auto first_large = millis::max();
    for(auto vm = 0; vm < 32; ++vm) {
        auto const large = claims_after("large-" + std::to_string(vm), 500u);
        last_large = std::max(last_large, large);
        first_large = std::min(first_large, large);
        first_small = std::min(first_small, claims_after("small-" + std::to_string(vm), 120u));
    }
    CHECK(last_large < first_small);
    // Claims of VMs of one size are spread: the first one that is appended decides.
    CHECK(last_large - first_large > millis{100});
    CHECK(last_large <= timing::replaceable_leader_timeout + timing::claim_spread + millis{100});
}

// A leader that the log turned away led on for 9 s: where no caller's record came, nobody else knew that it could
// append.
TEST_CASE("an entry VM finds out whether it can append while the leader cannot") {
    auto const with = [](std::string_view const description, bool const probes, auto const &change) {
        watch_scenario row{.description = description,
            .leader = "other",
            .record_age = millis{1'700},
            .heartbeat_age = millis{100},
            .leader_log_age = millis{1'700},
            .claims = probes};
        change(row);
        return row;
    };
    std::array<watch_scenario, 9u> const rows{{
        with("leader cannot append", true, [](auto &) {}),
        with("leader is idle", false, [](auto &row) { row.leader_log_age = millis{1'400}; }),
        with("an append of this VM is recent", false, [](auto &row) { row.own_append_age = millis{300}; }),
        with("an append of this VM is older", true, [](auto &row) { row.own_append_age = millis{500}; }),
        with("leader resigned", false, [](auto &row) { row.resigned = true; }),
        with("no leader", false, [](auto &row) { row.leader = ""; }),
        with("leader is silent", false, [](auto &row) { row.heartbeat_age = millis{1'200}; }),
        with("the leader's appends are slow", false, [](auto &row) { row.leader_append_time = millis{400}; }),
        with("the log has just come back", false, [](auto &row) { row.log_answers_age = millis{50}; }),
    }};
    for(auto const &row: rows) {
        CAPTURE(row.description);
        CHECK(watch_of(row).needs_probe(start) == row.claims);
    }
    auto watch = watch_of(rows.front());
    watch.record_log_reachability(false, start);
    CHECK_FALSE(watch.needs_probe(start));
}

TEST_CASE("records are relayed to a leader that sends heartbeats and appends successfully") {
    std::array<watch_scenario, 4u> const rows{{
        {.description = "heartbeats and appends", .leader = "other", .heartbeat_age = millis{100}, .claims = true},
        {.description = "no heartbeat yet", .leader = "other"},
        {.description = "outdated heartbeat", .leader = "other", .heartbeat_age = millis{600}},
        {.description = "no appends", .leader = "other", .heartbeat_age = millis{100}, .leader_log_age = millis{2'600}},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.description);
        CHECK(watch_of(row).accepts_records(start) == row.claims);
    }
}

// Records were refused until the next heartbeat of a leader that had told of an append already.
TEST_CASE("records are relayed to a leader again once it has told of an append") {
    constexpr auto outage = millis{3'000};
    struct row {
        std::string_view name;
        std::uint64_t term;
        bool accepts_records;
    };
    std::array<row, 3u> const rows{
        {{"the leader", 7u, true}, {"an earlier one", 6u, false}, {"a later one", 8u, false}}};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        leader_watch watch{"self", 250u};
        watch.apply_claim({7u, "leader", "address", false}, start);
        watch.record_heartbeat({7u, outage, millis{10}, 250u, timing::heartbeat_interval}, start);
        CHECK_FALSE(watch.accepts_records(start));
        watch.record_leader_append(item.term);
        CHECK(watch.accepts_records(start) == item.accepts_records);
    }
}

TEST_CASE("many entry VMs that detect a stalled leader do not flood a slow log with claims") {
    // Each claim is queued by the log, which processes about ten claims per second when it is slow.
    constexpr auto vms = 32;
    constexpr auto seconds = 5;
    auto claims = 0;
    for(auto vm = 0; vm < vms; ++vm) {
        leader_watch watch{"vm-" + std::to_string(vm), 250u};
        watch.apply_claim({7u, "leader", "address", false}, start);
        for(auto now = start; now < start + std::chrono::seconds{seconds}; now += millis{50}) {
            watch.record_heartbeat({7u, std::chrono::duration_cast<millis>(now - start), millis{400}, 250u}, now);
            if(watch.reason_to_claim(now, now)) {
                ++claims;
                watch.record_failed_claim(now);
            }
        }
    }
    CHECK(claims > 0);
    CHECK(claims <= 10 * seconds);
}

TEST_CASE("claims and heartbeats of earlier terms are ignored") {
    leader_watch watch{"self", 250u};
    CHECK(watch.apply_claim({7u, "new", "address", false}, start));
    CHECK_FALSE(watch.apply_claim({6u, "old", "address", false}, start));
    CHECK(watch.claim().name == "new");
    watch.record_heartbeat({6u, millis{}, millis{}, 250u}, start);
    CHECK_FALSE(watch.has_heartbeats());
    CHECK_FALSE(watch.apply_claim({7u, "new", "address", false}, start));
    CHECK(watch.apply_claim({7u, "new", "address", true}, start));
}

TEST_CASE("the reason for a claim is named") {
    struct reason_row {
        watch_scenario scenario;
        claim_reason reason;
    };
    std::array<reason_row, 6u> const rows{{
        {{.description = "no leader", .leader = "", .record_age = millis{300}}, claim_reason::no_leader},
        {{.description = "resigned", .leader = "other", .resigned = true, .record_age = millis{300}},
            claim_reason::leader_resigned},
        {{.description = "own process", .leader = "self", .record_age = millis{300}}, claim_reason::own_former_process},
        {{.description = "silent", .leader = "other", .record_age = millis{1'100}, .heartbeat_age = millis{1'100}},
            claim_reason::leader_silent},
        {{.description = "this VM appends faster",
             .leader = "other",
             .record_age = millis{1'500},
             .heartbeat_age = millis{100},
             .leader_log_age = millis{1'500},
             .own_append_age = millis{300}},
            claim_reason::appends_faster},
        {{.description = "stalled",
             .leader = "other",
             .record_age = millis{6'600},
             .heartbeat_age = millis{100},
             .leader_log_age = millis{6'600}},
            claim_reason::leader_stalled},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.scenario.description);
        CHECK(watch_of(row.scenario).reason_to_claim(start - millis{100}, start) == row.reason);
        CHECK_FALSE(name_of(row.reason).empty());
    }
}

// An entry VM with infrequent heartbeats does not take each gap between them for a failure of the leader.
TEST_CASE("the limits for the leader's silence and for relays follow the interval of its heartbeats") {
    struct interval_row {
        millis interval;
        millis age;
        bool accepts_records;
        bool claims;
    };
    std::array<interval_row, 6u> const rows{{
        {timing::heartbeat_interval, millis{400}, true, false},
        {timing::heartbeat_interval, millis{600}, false, false},
        {timing::heartbeat_interval, millis{1'100}, false, true},
        {timing::slow_heartbeat_interval, millis{1'100}, true, false},
        {timing::slow_heartbeat_interval, millis{1'400}, false, false},
        {timing::slow_heartbeat_interval, millis{3'300}, false, true},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.interval.count());
        CAPTURE(row.age.count());
        leader_watch watch{"self", 250u};
        watch.apply_claim({7u, "other", "address", false}, start - row.age);
        watch.record_heartbeat({7u, millis{}, millis{10}, 250u, row.interval}, start - row.age);
        CHECK(watch.accepts_records(start) == row.accepts_records);
        CHECK(watch.reason_to_claim(start, start).has_value() == row.claims);
    }
}

// Leaders whose links were full replaced one another every four seconds; each began without the state of its workers.
TEST_CASE("leadership does not move between equally slow VMs") {
    constexpr auto seconds = 60;
    leader_watch watch{"self", 250u};
    auto term = 1u;
    auto led_since = start;
    watch.apply_claim({term, "leader", "address", false}, start);
    auto changes = 0;
    for(auto now = start; now < start + std::chrono::seconds{seconds}; now += millis{50}) {
        // Every leader stalls from its beginning, while small appends of this entry VM are done.
        watch.record_heartbeat({term, now - led_since, millis{1'500}, 250u, timing::heartbeat_interval}, now);
        watch.record_own_append(millis{20}, now);
        if(watch.reason_to_claim(now, now)) {
            ++changes;
            ++term;
            led_since = now;
            watch.apply_claim({term, "leader " + std::to_string(term), "address", false}, now);
        }
    }
    CHECK(changes > 0);
    CHECK(changes <= 6);
}

} // namespace kingcuplink::test
