#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/authority/hold_table.hpp>
#include <kingcuplink/core/config.hpp>
#include <map>
#include <random>
#include <vector>

using namespace kingcuplink;

namespace {

constexpr instant start{millis{1'000'000}};
constexpr team_id team{0u, 0u};
constexpr worker_id w1{0u, 0u};
constexpr worker_id w2{1u, 0u};
constexpr resources worker_size{10, 10, 0};
constexpr resources limit{10, 10, 0};

hold_table make_table() {
    hold_table table;
    table.add(w1, worker_size);
    table.add(w2, worker_size);
    return table;
}

} // namespace

TEST_CASE("a worker that was never held is charged with its full size") {
    auto table = make_table();
    table.granted(w1, start, start);
    CHECK(table.charge_before_start(team, w1) == worker_size);
    CHECK_FALSE(table.may_start(team, w1, {1, 1, 0}, limit, start));
    table.granted(w2, start + millis{1}, start + millis{2});
    CHECK(table.may_start(team, w1, limit, limit, start + millis{2}));
}

TEST_CASE("a hold without a later confirmation is charged with the full size") {
    // Leader P holds w1, leader Q acquires it, and P acquires w2 while it still assumes that it holds w1.
    auto table = make_table();
    table.granted(w1, start, start);
    table.add_use(w1, team, {3, 3, 0});
    auto const later = start + millis{100};
    table.granted(w2, later, later);
    CHECK(table.charge_before_start(team, w2) == worker_size);
    CHECK_FALSE(table.may_start(team, w2, {1, 1, 0}, limit, later));
    // A confirmation of a renewal sent before the hold on w2 began is not sufficient.
    table.confirmed(w1, later);
    CHECK(table.charge_before_start(team, w2) == worker_size);
    // A confirmation of a renewal sent afterwards is.
    table.confirmed(w1, later + millis{1});
    CHECK(table.charge_before_start(team, w2) == resources{3, 3, 0});
    CHECK(table.may_start(team, w2, {7, 7, 0}, limit, later + millis{1}));
    CHECK_FALSE(table.may_start(team, w2, {8, 7, 0}, limit, later + millis{1}));
}

TEST_CASE("a sole leader keeps its exact charges when a worker becomes unreachable") {
    auto table = make_table();
    table.granted(w1, start, start);
    table.granted(w2, start + millis{1}, start + millis{1});
    table.confirmed(w1, start + millis{2});
    table.add_use(w1, team, {4, 4, 0});
    table.dropped(w1);
    CHECK(table.charge_before_start(team, w2) == resources{4, 4, 0});
    CHECK_FALSE(table.is_held(w1, start + millis{3}));
}

TEST_CASE("a lease expires relative to the send time of its request") {
    auto table = make_table();
    table.granted(w1, start, start + millis{900});
    CHECK(table.is_held(w1, start + config::lease_length - millis{1}));
    CHECK_FALSE(table.is_held(w1, start + config::lease_length));
    CHECK(table.lease_end(w1) == start + config::lease_length);
    table.confirmed(w1, start + millis{1'000});
    CHECK(table.is_held(w1, start + config::lease_length));
}

TEST_CASE("two leaders that acquire the same workers stay within the limit") {
    // Each worker obeys the leader that acquired it last. Messages are answered immediately; the state
    // of a leader becomes stale when the other leader acquires a worker.
    constexpr auto seeds = 400u;
    for(std::uint64_t seed{1}; seed <= seeds; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        constexpr std::size_t workers = 3u;
        std::array<hold_table, 2u> tables;
        std::array<std::int64_t, workers> actual_use{};
        std::array<std::size_t, workers> obeyed_leader{2u, 2u, 2u};
        std::array<std::array<std::int64_t, workers>, 2u> known_use{};
        for(auto &table: tables) {
            for(std::uint32_t w{}; w < workers; ++w) {
                table.add({w, 0u}, worker_size);
            }
        }
        auto now = start;
        for(auto step = 0; step < 300; ++step) {
            now += millis{1};
            auto const leader = random() % 2u;
            auto const w = static_cast<std::uint32_t>(random() % workers);
            worker_id const worker{w, 0u};
            auto &table = tables[leader];
            auto const update_known_use = [&]() {
                table.remove_use(worker, team, {known_use[leader][w], known_use[leader][w], 0});
                known_use[leader][w] = actual_use[w];
                table.add_use(worker, team, {actual_use[w], actual_use[w], 0});
            };
            switch(random() % 5u) {
            case 0u:
                obeyed_leader[w] = leader;
                table.granted(worker, now, now);
                update_known_use();
                break;
            case 1u:
                if(obeyed_leader[w] == leader) {
                    table.confirmed(worker, now);
                }
                break;
            case 2u:
                if(obeyed_leader[w] == leader && actual_use[w] > 0) {
                    --actual_use[w];
                    update_known_use();
                }
                break;
            default:
                if(actual_use[w] < worker_size.millicores && table.may_start(team, worker, {1, 1, 0}, limit, now) &&
                    obeyed_leader[w] == leader) {
                    ++actual_use[w];
                    update_known_use();
                }
                break;
            }
            std::int64_t sum{};
            for(auto const amount: actual_use) {
                sum += amount;
            }
            REQUIRE(sum <= limit.millicores);
        }
    }
}
