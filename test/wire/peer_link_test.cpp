#include "address_pool.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <string>
#include <thread>

using namespace kingcuplink;
using namespace kingcuplink::test;
using namespace std::chrono_literals;

namespace {

constexpr auto wait_limit = 10s;

template<typename Func>
bool eventually(Func condition) {
    auto const deadline = std::chrono::steady_clock::now() + wait_limit;
    while(!condition() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

} // namespace

TEST_CASE("messages are delivered, malformed ones are counted and dropped, unreachable peers do not block") {
    address_pool addresses;
    auto const receiver_address = addresses.take_address();
    counters stats;
    std::atomic<int> received_count{};
    peer_link receiver{"b", receiver_address, stats, [&](wire::envelope const &message) {
                           CHECK(message.sender() == "a");
                           received_count += message.heartbeat().leads() ? 1 : 0;
                       }};
    counters sender_stats;
    peer_link sender{"a", addresses.take_address(), sender_stats, [](wire::envelope const &) {}};
    sender.connect("b", receiver_address);
    sender.connect("nobody", addresses.take_address());
    wire::envelope message;
    message.mutable_heartbeat()->set_leads(true);
    CHECK(eventually([&]() { return sender.send("b", message); }));
    CHECK(eventually([&]() { return received_count > 0; }));
    CHECK_FALSE(sender.send("nobody", message));
    CHECK_FALSE(sender.send("unknown", message));
    CHECK(sender_stats.value(event::peer_message_dropped) >= 2u);

    zmq::context_t context;
    zmq::socket_t raw{context, zmq::socket_type::push};
    raw.set(zmq::sockopt::linger, 1'000);
    raw.connect("tcp://" + receiver_address);
    raw.send(zmq::str_buffer("not a message"), zmq::send_flags::none);
    wire::envelope newer;
    newer.set_version(config::wire_version + 1u);
    newer.set_sender("a");
    newer.mutable_heartbeat();
    raw.send(zmq::buffer(newer.SerializeAsString()), zmq::send_flags::none);
    wire::envelope empty;
    empty.set_version(config::wire_version);
    empty.set_sender("a");
    raw.send(zmq::buffer(empty.SerializeAsString()), zmq::send_flags::none);
    CHECK(eventually([&]() { return stats.value(event::peer_message_malformed) == 3u; }));
}

// An address that cannot be parsed ended the process: peers name each other's addresses in messages.
TEST_CASE("a peer at a malformed address is not connected, and sending to it fails") {
    struct row {
        std::string address;
        /*! False if the library accepts the address and takes a part of it. */
        bool is_malformed;
    };
    std::array<row, 6u> const rows{{{"", true}, {"no port", true}, {"10.0.0.1", true}, {"10.0.0.1:port", true},
        {"10.0.0.1:99999999", false}, {":::", true}}};
    for(auto const &item: rows) {
        CAPTURE(item.address);
        address_pool addresses;
        counters stats;
        peer_link link{"a", addresses.take_address(), stats, [](wire::envelope const &) {}};
        // The earlier connection to the peer does not stay.
        link.connect("b", addresses.take_address());
        link.connect("b", item.address);
        CHECK(stats.value(event::peer_address_malformed) == (item.is_malformed ? 1u : 0u));
        wire::envelope message;
        message.mutable_heartbeat();
        CHECK_FALSE(link.send("b", message));
    }
}

// The process ended when the 1,023rd entry VM introduced itself: connections to those that were replaced stayed open.
TEST_CASE("connections to peers that are gone are closed, and those in use stay open") {
    constexpr auto peers = 1'200;
    constexpr auto peers_at_a_time = 100;
    address_pool addresses;
    counters stats;
    peer_link link{"a", addresses.take_address(), stats, [](wire::envelope const &) {}};
    auto const gone_address = addresses.take_address();
    // The library frees closed sockets on a thread of its own.
    auto const connects = [&](std::string const &peer, std::string const &address) {
        auto const failed = stats.value(event::peer_connection_failed);
        link.connect(peer, address);
        return stats.value(event::peer_connection_failed) == failed;
    };
    for(auto pos = 0; pos < peers; ++pos) {
        REQUIRE(eventually([&]() { return connects("gone-" + std::to_string(pos), gone_address); }));
        if((pos + 1) % peers_at_a_time == 0) {
            link.disconnect_idle(0ms);
        }
    }
    CHECK(stats.value(event::peer_connection_idle) == peers);

    std::atomic<int> received_count{};
    auto const used_address = addresses.take_address();
    peer_link used{"used", used_address, stats, [&](wire::envelope const &) { ++received_count; }};
    REQUIRE(eventually([&]() { return connects("used", used_address); }));
    wire::envelope message;
    message.mutable_heartbeat();
    CHECK(eventually([&]() { return link.send("used", message); }));
    CHECK(eventually([&]() { return received_count > 0; }));
    link.disconnect_idle(2 * wait_limit);
    CHECK(stats.value(event::peer_connection_idle) == peers);
    CHECK(link.send("used", message));
}

TEST_CASE("a peer beyond the largest number of connections is not connected until others are closed") {
    constexpr auto peers = 1'200;
    address_pool addresses;
    counters stats;
    std::atomic<int> received_count{};
    auto const last_address = addresses.take_address();
    peer_link last{"last", last_address, stats, [&](wire::envelope const &) { ++received_count; }};
    peer_link link{"a", addresses.take_address(), stats, [](wire::envelope const &) {}};
    auto const gone_address = addresses.take_address();
    for(auto pos = 0; pos < peers; ++pos) {
        link.connect("gone-" + std::to_string(pos), gone_address);
    }
    CHECK(stats.value(event::peer_connection_failed) > 0u);
    CHECK(stats.value(event::peer_address_malformed) == 0u);
    wire::envelope message;
    message.mutable_heartbeat();
    link.connect("last", last_address);
    CHECK_FALSE(link.send("last", message));
    link.disconnect_idle(millis{});
    CHECK(eventually([&]() {
        link.connect("last", last_address);
        return link.send("last", message);
    }));
    CHECK(eventually([&]() { return received_count > 0; }));
}
