#include "fixture.hpp"

#include <doctest/doctest.h>

namespace kingcuplink::test {

namespace {

/*! Looks at all workers without extending a lease, as a first look does. */
void look_without_lease(scripted_fleet &fleet) {
    for(auto const &item: fleet.workers) {
        worker_inventory inventory;
        inventory.boot = item.entry.boot;
        fleet.leader->apply_inventory(item.entry.name, inventory, fleet.now, fleet.now);
    }
}

} // namespace

// A start that was handed out and not sent yet was dropped as lapsed, and its task started elsewhere as well.
TEST_CASE("a task whose start was handed out is not started again before that start is answered") {
    struct row {
        std::string_view name;
        /*! Lease that the worker was told of before the start. */
        std::optional<millis> lease;
        /*! Time between handing the start out and the next planning round: the leader stands still. */
        millis pause;
    };
    std::array<row, 3u> const rows{{
        {"no lease was asked for yet", std::nullopt, round_length},
        {"leases were not extended for long", millis{10}, round_length},
        {"the leader stood still longer than a lease", millis{8'000}, millis{9'000}},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u}};
        look_without_lease(fleet);
        if(item.lease) {
            for(auto const &worker: fleet.workers) {
                fleet.leader->record_lease_extension(worker.entry.name, fleet.now + *item.lease);
            }
        }
        fleet.submit(scripted_fleet::job("a", one_task()));
        auto const first = plan_and_keep(fleet);
        REQUIRE(first.size() == 1u);
        fleet.now += item.pause;
        look_without_lease(fleet);
        CHECK(plan_and_keep(fleet).empty());
    }
}

} // namespace kingcuplink::test
