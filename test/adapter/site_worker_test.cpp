#include "process_set.hpp"
#include "site_worker.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/value.hpp>
#include <doctest/doctest.h>
#include <platform/worker_client.hpp>

namespace kingcuplink::test {

namespace {

constexpr std::int64_t held_ms = 300;
/*! Time after which a call is held and the restart has not happened yet. */
constexpr std::int64_t arrival_ms = 100;
/*! Time after which a call that was held has been executed. */
constexpr std::int64_t settle_ms = 500;

/*! What a stand-in worker plays while a start is held. */
struct late_start {
    std::string_view what;
    bool needs_ticket{};
    bool binds_tickets{};
    bool drops_late_calls{};
    bool rejects_stale_boots{};
    /*! Time for which the worker is down during the hold; 0 if it does not restart. */
    std::int64_t down_ms{};
    std::size_t starts{};
};

/*! Returns how many runs a stand-in worker started on a start that it held. */
std::size_t starts_of(late_start const &play) {
    process_set ports;
    boost::asio::io_context context{1};
    standin::site_store store{context, ports.take_address()};
    standin::site_record record;
    standin::gang_registry gangs;
    auto const address = ports.take_address();
    auto const worker = std::make_shared<standin::site_worker>(
        standin::site_shared{context, store, record, gangs, play.needs_ticket}, "w1", address, address, "domain");
    worker->binds_tickets = play.binds_tickets;
    worker->drops_late_calls = play.drops_late_calls;
    worker->rejects_stale_boots = play.rejects_stale_boots;
    worker->hold_calls({.percent = 100, .shortest_ms = held_ms, .longest_ms = held_ms});
    worker->start();
    counters stats;
    http_client http{context, stats, 1u};
    adapter::worker_client client{http};
    auto const send = [&]() -> boost::asio::awaitable<void> {
        run_start run;
        run.key.job = "0000000000000001";
        run.key.run = 1u;
        run.payload = R"([{"count":1,"millicores":1,"run_ms":1,"gang":false,"after":[]}])";
        run.ticket = standin::make_ticket(run.key.job + ".0.0", "w1", worker->born());
        worker_target const target{"w1", address};
        co_await client.start(target, run, 1u, 6'000, millis{1'000});
    };
    auto is_over = false;
    auto const act = [&]() -> boost::asio::awaitable<void> {
        co_await standin::wait_for(arrival_ms);
        if(play.down_ms > 0) {
            worker->restart({.down_ms = play.down_ms});
        }
        co_await standin::wait_for(settle_ms);
        is_over = true;
    };
    boost::asio::co_spawn(context, send(), boost::asio::detached);
    boost::asio::co_spawn(context, act(), boost::asio::detached);
    while(!is_over) {
        context.run_one();
    }
    return record.as_json().at("starts").to_number<std::size_t>();
}

} // namespace

TEST_CASE("a start that is held begins in the boots that the switches allow") {
    std::array<late_start, 9u> const plays{{
        {.what = "the same boot", .starts = 1u},
        {.what = "the same boot, with a bound ticket", .needs_ticket = true, .binds_tickets = true, .starts = 1u},
        {.what = "the same boot, late calls are dropped at restarts", .drops_late_calls = true, .starts = 1u},
        {.what = "the next boot, without a ticket", .down_ms = 50, .starts = 1u},
        {.what = "the next boot, with a ticket", .needs_ticket = true, .down_ms = 50, .starts = 1u},
        {.what = "the next boot, with a bound ticket", .needs_ticket = true, .binds_tickets = true, .down_ms = 50},
        {.what = "the next boot, late calls are dropped", .drops_late_calls = true, .down_ms = 50},
        {.what = "the next boot, stale boots are rejected", .rejects_stale_boots = true, .down_ms = 50},
        {.what = "down until after the hold", .down_ms = 400},
    }};
    for(auto const &play: plays) {
        CAPTURE(play.what);
        CHECK(starts_of(play) == play.starts);
    }
}

} // namespace kingcuplink::test
