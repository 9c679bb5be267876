#include "fixture.hpp"

#include <doctest/doctest.h>

namespace kingcuplink::test {

namespace {

/*! Polls all workers without extending their leases, like the first poll of a leader. */
void poll_without_lease(scripted_fleet &fleet) {
    for(auto const &item: fleet.workers) {
        worker_inventory inventory;
        inventory.boot = item.entry.boot;
        fleet.leader->apply_inventory(item.entry.name, inventory, fleet.now, fleet.now);
    }
}

} // namespace

// A start that was issued but not yet sent was treated as expired, and its task was started on another worker as well.
TEST_CASE("a task whose start was issued is not started again before that start is answered") {
    struct row {
        std::string_view name;
        /*! Lease that the worker was granted before the start, if any. */
        std::optional<millis> lease;
        /*! Time between issuing the start and the next planning round, during which the leader is paused. */
        millis pause;
    };
    std::array<row, 3u> const rows{{
        {"no lease was requested yet", std::nullopt, round_interval},
        {"the lease expired before the next round", millis{10}, round_interval},
        {"the leader was paused longer than a lease", millis{8'000}, millis{9'000}},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u}};
        poll_without_lease(fleet);
        if(item.lease) {
            for(auto const &worker: fleet.workers) {
                fleet.leader->record_lease_extension(worker.entry.name, lease_expiry::at(fleet.now + *item.lease));
            }
        }
        fleet.submit(scripted_fleet::job("a", single_task_step()));
        auto const first = plan_and_commit(fleet);
        REQUIRE(first.size() == 1u);
        fleet.now += item.pause;
        poll_without_lease(fleet);
        CHECK(plan_and_commit(fleet).empty());
    }
}

} // namespace kingcuplink::test
