#include "process_set.hpp"
#include "site_worker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <platform/worker_client.hpp>

namespace kingcuplink::test {

namespace {

/*! Polls a stand-in worker named "w1" under a given name, and returns the answer. */
poll_answer poll_worker_as(std::string const &name) {
    process_set ports;
    boost::asio::io_context context{1};
    standin::site_store store{context, ports.take_address()};
    standin::site_record record;
    standin::gang_registry gangs;
    auto const address = ports.take_address();
    auto const worker = std::make_shared<standin::site_worker>(
        standin::site_shared{context, store, record, gangs}, "w1", address, address, "domain");
    worker->start();
    counters stats;
    http_client http{context, stats, 1u};
    adapter::worker_client client{http};
    std::optional<poll_answer> answer;
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            worker_target const target{name, address};
            poll_request const request{.token = 1u};
            answer = co_await client.poll(target, request, millis{1'000});
        },
        boost::asio::detached);
    while(!answer) {
        context.run_one();
    }
    return *answer;
}

} // namespace

// A poll that named no worker was answered by whichever worker had the address, which was then registered twice.
TEST_CASE("a poll is answered only by the worker that it names") {
    CHECK(poll_worker_as("w1").outcome == poll_outcome::answered);
    CHECK(poll_worker_as("w0").outcome == poll_outcome::other_worker);
}

} // namespace kingcuplink::test
