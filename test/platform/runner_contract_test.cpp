#include "contract.hpp"
#include "runner.hpp"

#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <kingcuplink/core/hash.hpp>

using namespace kingcuplink;
using namespace kingcuplink::test;

namespace {

constexpr millis attempt_time{400};

struct runner_fixture : client_fixture {
    runner_fixture()
        : endpoint{std::make_shared<standin::runner>(
              context, runner_entry{.name = "r", .address = address, .slots = 2}, record)} {
        endpoint->start();
    }

    ~runner_fixture() {
        endpoint->service->stop();
    }

    boost::asio::awaitable<exchange> attempt(std::string id, std::string body, std::string to) {
        http_request request{boost::beast::http::verb::post, "/run/q", 11};
        request.set("Kingcuplink-Request-Id", id);
        request.body() = std::move(body);
        exchange_options const options{.timeout = attempt_time};
        return client.send(std::move(to), std::move(request), options);
    }

    exchange send(std::string const &id, std::string const &body = "work_ms=1") {
        return run(context, attempt(id, body, address));
    }

    std::int64_t runs(std::string const &id) const {
        auto const value = record.to_json();
        auto const *count = value.at("request_runs").as_object().if_contains(id);
        return count == nullptr ? 0 : count->as_int64();
    }

    std::string address{addresses.take_address()};
    standin::endpoint_record record;
    std::shared_ptr<standin::runner> endpoint;
};

} // namespace

TEST_CASE("runner - the outcome of an attempt matches the runs") {
    struct row {
        std::string_view name;
        boost::json::object fault;
        std::set<attempt_outcome> expected;
        std::int64_t max_runs;
    };
    using enum attempt_outcome;
    std::vector<row> const rows{
        {"no fault", {}, {answered}, 1},
        {"slow", {{"slow_ms", 50}}, {answered}, 1},
        {"slower than the time limit", {{"slow_ms", 2 * attempt_time.count()}}, {may_have_run}, 1},
        {"killed before the request", {{"outage", true}}, {not_sent, may_have_run}, 0},
        {"killed before the answer", {{"lose_answers", true}}, {may_have_run}, 1},
        {"killed while sending the answer", {{"break_answers", true}}, {may_have_run}, 1},
        {"frozen", {{"freeze", true}}, {may_have_run}, 0},
    };
    for(auto const &row: rows) {
        for(auto const reused: {false, true}) {
            CAPTURE(row.name);
            CAPTURE(reused);
            runner_fixture fixture;
            if(reused) {
                CHECK(fixture.send("first").outcome == answered);
            }
            standin::read_faults(row.fault, fixture.endpoint->service->fault);
            auto const result = fixture.send("x");
            CHECK(row.expected.contains(result.outcome));
            CHECK(result.reused == reused);
            CHECK(fixture.runs("x") <= row.max_runs);
            if(is_known_not_run(result.outcome)) {
                CHECK(fixture.runs("x") == 0);
            }
            // The connection of a failed attempt is not reused.
            fixture.endpoint->service->fault = {};
            auto const after = fixture.send("y");
            CHECK(after.outcome == answered);
            CHECK(after.reused == (result.outcome == answered));
            CHECK(after.response.body().starts_with("y " + sha256_hex("work_ms=1")));
        }
    }
}

TEST_CASE("runner - an attempt on an address without a listener is not sent") {
    runner_fixture fixture;
    auto const result = run(fixture.context, fixture.attempt("x", "", fixture.addresses.take_address()));
    CHECK(result.outcome == attempt_outcome::not_sent);
}

TEST_CASE("runner - a runner without a free slot reports that it did not run the request") {
    runner_fixture fixture;
    auto const busy_for = std::to_string(attempt_time.count() / 2);
    for(auto const *id: {"a", "b"}) {
        boost::asio::co_spawn(
            fixture.context, fixture.attempt(id, "work_ms=" + busy_for, fixture.address), boost::asio::detached);
    }
    run_context_for(fixture.context, attempt_time / 8);
    auto const result = fixture.send("c");
    CHECK(result.outcome == attempt_outcome::answered);
    CHECK(result.response["Kingcuplink-Not-Run"] == "true");
    CHECK(fixture.runs("c") == 0);
}

TEST_CASE("runner - a connection that stopped responding is not reused and a new one works") {
    runner_fixture fixture;
    CHECK(fixture.send("a").outcome == attempt_outcome::answered);
    fixture.endpoint->service->silence_open_connections();
    auto const lost = fixture.send("b");
    CHECK(lost.reused);
    CHECK(lost.outcome == attempt_outcome::may_have_run);
    auto const next = fixture.send("c");
    CHECK_FALSE(next.reused);
    CHECK(next.outcome == attempt_outcome::answered);
}
