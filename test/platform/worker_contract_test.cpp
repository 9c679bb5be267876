#include "contract.hpp"
#include "worker.hpp"

#include <doctest/doctest.h>
#include <kingcuplink/platform/worker_client.hpp>

using namespace kingcuplink;
using namespace kingcuplink::test;

namespace {

lease_holder const old_leader{.name = "old", .epoch = 5u};
lease_holder const new_leader{.name = "new", .epoch = 6u};

struct worker_fixture : client_fixture {
    worker_fixture()
        : endpoint{std::make_shared<standin::worker>(context, "a",
              worker_entry{.name = "w", .address = address, .rack = "r", .size = {8'000, 8'192, 0}}, record)} {
        endpoint->start();
    }

    ~worker_fixture() {
        endpoint->service->stop();
    }

    lease_reply lease(lease_holder const &holder, std::uint64_t const since = 0u, millis const wait = millis{}) {
        return run(context, workers.lease(address, holder, since, wait));
    }

    command_outcome start(lease_holder const &holder, std::uint32_t const attempt = 1u, millis const run_time = hour) {
        task_start const command{.job = "a.1",
            .ordinal = 0,
            .attempt = attempt,
            .spec = {.name = "n",
                .team = "red",
                .kind = job_kind::batch,
                .task_size = {1'000, 100, 0},
                .run_time = run_time},
            .size = {1'000, 100, 0}};
        return run(context, workers.start(address, holder, command)).outcome;
    }

    command_outcome stop(lease_holder const &holder) {
        return run(context, workers.stop(address, holder, "a.1", 0, false)).outcome;
    }

    void set_fault(boost::json::object const &fault) const {
        standin::read_faults(fault, endpoint->service->fault);
    }

    std::int64_t starts() const {
        return record.to_json().at("starts").as_int64();
    }

    static constexpr millis hour{3'600'000};
    std::string address{addresses.take_address()};
    standin::endpoint_record record;
    std::shared_ptr<standin::worker> endpoint;
    worker_client workers{client};
};

} // namespace

TEST_CASE("worker - only the holder with the highest epoch is obeyed") {
    struct row {
        std::string_view name;
        lease_holder first;
        lease_holder second;
        lease_outcome expected;
    };
    using enum lease_outcome;
    std::vector<row> const rows{
        {"the same holder renews", old_leader, old_leader, granted},
        {"a higher epoch takes over", old_leader, new_leader, granted},
        {"a lower epoch is refused", new_leader, old_leader, refused},
        {"another holder of the same epoch is refused", old_leader, {.name = "other", .epoch = 5u}, refused},
        {"a holder that restarted is another holder", old_leader, {.name = "old/2", .epoch = 5u}, refused},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        worker_fixture fixture;
        CHECK(fixture.lease(row.first).outcome == granted);
        auto const reply = fixture.lease(row.second);
        CHECK(reply.outcome == row.expected);
        CHECK(reply.epoch == (row.expected == refused ? row.first.epoch : 0u));
        auto const &holder = row.expected == granted ? row.second : row.first;
        auto const &other_holder = row.expected == granted ? row.first : row.second;
        CHECK(fixture.start(holder) == command_outcome::done);
        if(other_holder.name != holder.name || other_holder.epoch != holder.epoch) {
            CHECK(fixture.start(other_holder, 2u) == command_outcome::fenced);
            CHECK(fixture.stop(other_holder) == command_outcome::fenced);
        }
        CHECK(fixture.starts() == 1);
    }
}

TEST_CASE("worker - the outcome of a start matches the runs") {
    struct row {
        std::string_view name;
        boost::json::object fault;
        std::set<command_outcome> expected;
        bool may_run;
    };
    auto const too_long = 2 * config::command_timeout.count();
    using enum command_outcome;
    std::vector<row> const rows{
        {"no fault", {}, {done}, true},
        {"slow", {{"slow_ms", 50}}, {done}, true},
        {"slower than the time limit", {{"slow_ms", too_long}}, {unknown}, true},
        {"down", {{"outage", true}}, {not_sent, unknown}, false},
        {"answer lost after the effect", {{"lose_answers", true}}, {unknown}, true},
        {"answer cut in the middle", {{"break_answers", true}}, {unknown}, true},
        {"frozen temporarily", {{"freeze", true}}, {unknown}, true},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        worker_fixture fixture;
        CHECK(fixture.lease(old_leader).outcome == lease_outcome::granted);
        fixture.set_fault(row.fault);
        CHECK(row.expected.contains(fixture.start(old_leader)));
        fixture.endpoint->service->fault = {};
        // The inventory of a new epoch lists all running tasks, and no earlier command starts a task later.
        auto const reply = fixture.lease(new_leader);
        REQUIRE(reply.outcome == lease_outcome::granted);
        auto const started = fixture.starts();
        CHECK(static_cast<std::int64_t>(reply.tasks.size()) == started);
        CHECK(started <= (row.may_run ? 1 : 0));
        run_context_for(fixture.context, millis{100});
        CHECK(fixture.starts() == started);
    }
}

TEST_CASE("worker - sequences of commands") {
    struct row {
        std::string_view name;
        void (*steps)(worker_fixture &);
        std::int64_t starts;
    };
    using enum command_outcome;
    std::vector<row> const rows{
        {"without a lease nothing starts", [](worker_fixture &fixture) { CHECK(fixture.start(old_leader) == fenced); },
            0},
        {"the same attempt twice starts once",
            [](worker_fixture &fixture) {
                CHECK(fixture.lease(old_leader).outcome == lease_outcome::granted);
                CHECK(fixture.start(old_leader) == done);
                CHECK(fixture.start(old_leader) == done);
            },
            1},
        {"a later attempt does not start beside an earlier one",
            [](worker_fixture &fixture) {
                CHECK(fixture.lease(old_leader).outcome == lease_outcome::granted);
                CHECK(fixture.start(old_leader) == done);
                CHECK(fixture.start(old_leader, 2u) == rejected);
            },
            1},
        {"an earlier attempt does not start after a later one",
            [](worker_fixture &fixture) {
                CHECK(fixture.lease(old_leader).outcome == lease_outcome::granted);
                CHECK(fixture.start(old_leader, 2u) == done);
                CHECK(fixture.stop(old_leader) == done);
                CHECK(fixture.start(old_leader, 1u) == rejected);
            },
            1},
        {"stopping is idempotent",
            [](worker_fixture &fixture) {
                CHECK(fixture.lease(old_leader).outcome == lease_outcome::granted);
                CHECK(fixture.start(old_leader) == done);
                CHECK(fixture.stop(old_leader) == done);
                CHECK(fixture.stop(old_leader) == done);
            },
            1},
        {"stopping an unknown task is rejected",
            [](worker_fixture &fixture) {
                CHECK(fixture.lease(old_leader).outcome == lease_outcome::granted);
                CHECK(fixture.stop(old_leader) == rejected);
            },
            0},
        {"a lease that expired while its holder was paused",
            [](worker_fixture &fixture) {
                CHECK(fixture.lease(old_leader).outcome == lease_outcome::granted);
                CHECK(fixture.start(old_leader) == done);
                fixture.endpoint->lapse();
                run_context_for(fixture.context, millis{200});
                CHECK(fixture.start(old_leader, 2u) == fenced);
                auto const reply = fixture.lease(old_leader);
                CHECK(reply.outcome == lease_outcome::granted);
                REQUIRE(reply.tasks.size() == 1u);
                CHECK(reply.tasks[0].state == "stopped");
            },
            1},
        {"a restarted worker has neither lease nor tasks",
            [](worker_fixture &fixture) {
                CHECK(fixture.lease(old_leader).outcome == lease_outcome::granted);
                CHECK(fixture.start(old_leader) == done);
                fixture.endpoint->restart();
                CHECK(fixture.start(old_leader) != done);
                CHECK(fixture.lease(old_leader).tasks.empty());
            },
            1},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        worker_fixture fixture;
        row.steps(fixture);
        CHECK(fixture.starts() == row.starts);
        CHECK(fixture.record.to_json().at("breaches").as_array().empty());
    }
}

TEST_CASE("worker - an inventory holds the changes since a version and waits for a change") {
    worker_fixture fixture;
    auto const first = fixture.lease(old_leader);
    CHECK(first.tasks.empty());
    CHECK(fixture.start(old_leader, 1u, millis{300}) == command_outcome::done);
    auto const second = fixture.lease(old_leader, first.version, millis{1'000});
    REQUIRE(second.tasks.size() == 1u);
    CHECK(second.tasks[0].state == "running");
    CHECK(second.tasks[0].team == "red");
    CHECK(second.tasks[0].size == resources{1'000, 100, 0});
    auto const third = fixture.lease(old_leader, second.version, millis{10'000});
    REQUIRE(third.tasks.size() == 1u);
    CHECK(third.tasks[0].state == "succeeded");
    auto const unchanged = fixture.lease(old_leader, third.version, millis{50});
    CHECK(unchanged.tasks.empty());
    CHECK(unchanged.version == third.version);
    // Without a known version, a lease with a higher epoch returns the complete inventory.
    auto const complete = fixture.lease(new_leader);
    CHECK(complete.tasks.size() == 1u);
}

TEST_CASE("worker - a malformed answer counts as no answer") {
    for(std::string_view const body: {"", "nonsense", "[]", "{}", R"({"version": "x"})",
            R"({"version": 1, "tasks": 5})", R"({"version": 1, "tasks": [{"job": 5}]})"}) {
        CAPTURE(body);
        client_fixture fixture;
        auto const address = fixture.addresses.take_address();
        auto const service = std::make_shared<standin::http_service>(
            fixture.context, address, [body](standin::request) -> boost::asio::awaitable<standin::response> {
                standin::response answer{boost::beast::http::status::ok, 11};
                answer.body() = std::string{body};
                co_return answer;
            });
        service->start();
        worker_client workers{fixture.client};
        CHECK(run(fixture.context, workers.lease(address, old_leader, 0u, millis{})).outcome == lease_outcome::unknown);
        service->stop();
    }
}
