#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/site/leader_peers.hpp>
#include <kingcuplink/site/timing.hpp>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace kingcuplink::test {

namespace {

constexpr instant start{millis{1'000'000}};

peer_introduction introduction_of(std::string domain, std::uint32_t const millicores = 120u) {
    return {std::move(domain), millicores, 7u, 500};
}

} // namespace

// Entry VMs beyond the 64 largest learned of the leader only from the log and appended callers' records by themselves:
// their jobs started seconds later than those of the others.
TEST_CASE("every entry VM of a large fleet receives heartbeats, the largest ones most often") {
    constexpr std::size_t vms = 147u;
    constexpr std::size_t large_vms = 15u;
    leader_peers peers;
    for(std::size_t pos{}; pos < vms; ++pos) {
        peers.introduce("vm" + std::to_string(pos), introduction_of("d", pos < large_vms ? 500u : 120u), start);
    }
    std::map<std::string, std::size_t> received;
    std::size_t most_per_round{};
    for(std::uint64_t round{}; round < timing::slow_heartbeat_rounds; ++round) {
        auto const receivers = peers.next_heartbeat_receivers();
        most_per_round = std::max(most_per_round, receivers.size());
        for(auto const &item: receivers) {
            auto const is_frequent = item.interval == timing::heartbeat_interval;
            CHECK((is_frequent || item.interval == timing::slow_heartbeat_interval));
            ++received[std::string{item.name}];
        }
    }
    CHECK(received.size() == vms);
    for(std::size_t pos{}; pos < large_vms; ++pos) {
        CHECK(received["vm" + std::to_string(pos)] == timing::slow_heartbeat_rounds);
    }
    auto const others = (vms - timing::max_frequent_heartbeats) / timing::slow_heartbeat_rounds + 1u;
    CHECK(most_per_round <= timing::max_frequent_heartbeats + others);
}

// While entry VMs were restarted one after another, others missed heartbeats and appended callers' records themselves.
TEST_CASE("an entry VM receives its heartbeats in time while others come and go") {
    constexpr std::size_t vms = 147u;
    constexpr std::uint64_t rounds = 300u;
    constexpr std::uint64_t rounds_between_restarts = 2u;
    // Long enough for the leader to notice.
    constexpr std::uint64_t absence = timing::peer_silence / timing::heartbeat_interval + 5u;
    leader_peers peers;
    std::map<std::string, std::uint64_t, std::less<>> latest;
    std::uint64_t longest_gap{};
    for(std::uint64_t round{}; round < rounds; ++round) {
        auto const now = start + round * timing::heartbeat_interval;
        for(std::size_t pos{}; pos < vms; ++pos) {
            auto const stopped_in = pos * rounds_between_restarts;
            if(round < stopped_in || round >= stopped_in + absence) {
                peers.introduce("vm" + std::to_string(pos), introduction_of("d"), now);
            }
        }
        for(auto const &name: peers.remove_silent(now)) {
            latest.erase(name);
        }
        for(auto const &item: peers.next_heartbeat_receivers()) {
            if(auto const found = latest.find(item.name); found != latest.end()) {
                longest_gap = std::max(longest_gap, round - found->second);
            }
            latest.insert_or_assign(std::string{item.name}, round);
        }
    }
    CHECK(longest_gap <= timing::slow_heartbeat_rounds);
}

TEST_CASE("a start is relayed by an entry VM of the worker's failure domain that was introduced lately") {
    struct row {
        std::string_view name;
        std::string_view domain;
        millis age;
        bool has_failed;
        bool is_relayed;
    };
    std::array<row, 5u> const rows{{
        {"in the worker's domain", "d1", millis{500}, false, true},
        {"in another domain", "d2", millis{500}, false, false},
        {"introduction too old", "d1", timing::relay_clock_age, false, false},
        {"latest relay failed", "d1", millis{500}, true, false},
        {"introduction nearly too old", "d1", timing::relay_clock_age - millis{1}, false, true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        leader_peers peers;
        peers.introduce("vm", introduction_of(std::string{item.domain}), start - item.age);
        if(item.has_failed) {
            peers.record_failed_relay("vm", start - millis{1});
        }
        auto const grant = peers.relay_for("w1", "d1", start);
        CHECK(grant.has_value() == item.is_relayed);
        if(grant) {
            CHECK(grant->peer == "vm");
            CHECK(grant->process == 7u);
            // The clock of the process showed 500 when the introduction was sent, at the age of the introduction or
            // earlier.
            CHECK(grant->send_before == 500 + item.age.count() + timing::start_relay_lifetime.count());
        }
    }
}

TEST_CASE("a worker's starts are relayed by one entry VM, and those of all workers by all of a domain") {
    leader_peers peers;
    constexpr std::size_t vms = 8u;
    for(std::size_t pos{}; pos < vms; ++pos) {
        peers.introduce("vm" + std::to_string(pos), introduction_of("d1"), start);
    }
    std::set<std::string> used;
    for(auto pos = 0; pos < 200; ++pos) {
        auto const worker = "w" + std::to_string(pos);
        auto const grant = peers.relay_for(worker, "d1", start);
        REQUIRE(grant);
        CHECK(peers.relay_for(worker, "d1", start)->peer == grant->peer);
        used.insert(grant->peer);
    }
    CHECK(used.size() == vms);
}

TEST_CASE("an entry VM that failed to relay a start does so again after a pause, or once it has restarted") {
    leader_peers peers;
    peers.introduce("vm", introduction_of("d1"), start);
    peers.record_failed_relay("vm", start);
    CHECK_FALSE(peers.relay_for("w1", "d1", start + millis{1}));
    auto const later = start + timing::failed_relay_pause;
    peers.introduce("vm", introduction_of("d1"), later);
    CHECK(peers.relay_for("w1", "d1", later));
    peers.record_failed_relay("vm", later);
    auto restarted = introduction_of("d1");
    restarted.process = 8u;
    peers.introduce("vm", restarted, later);
    CHECK(peers.relay_for("w1", "d1", later));
}

// Each successor of a leader that the log turned away resigned for it: it was the largest, and introduced itself.
TEST_CASE("the largest entry VM counts only while it reaches the log") {
    leader_peers peers;
    auto large = introduction_of("d1", 500u);
    peers.introduce("large", large, start);
    peers.introduce("small", introduction_of("d1", 120u), start);
    CHECK(peers.most_millicores() == 500u);
    CHECK(peers.candidates().front().name == "large");
    large.misses_log = true;
    peers.introduce("large", large, start);
    CHECK(peers.most_millicores() == 120u);
    CHECK(peers.candidates().front().name == "small");
    CHECK(peers.candidates().size() == 2u);
    large.misses_log = false;
    peers.introduce("large", large, start);
    CHECK(peers.most_millicores() == 500u);
    CHECK(peers.candidates().front().name == "large");
}

TEST_CASE("an entry VM without introductions is removed") {
    leader_peers peers;
    CHECK(peers.introduce("vm", introduction_of("d1", 500u), start));
    CHECK_FALSE(peers.introduce("vm", introduction_of("d1", 500u), start + millis{1}));
    CHECK(peers.most_millicores() == 500u);
    CHECK(peers.remove_silent(start + timing::peer_silence).empty());
    CHECK(peers.remove_silent(start + timing::peer_silence + millis{1}).size() == 1u);
    CHECK(peers.most_millicores() == 0u);
    CHECK(peers.names().empty());
}

} // namespace kingcuplink::test
