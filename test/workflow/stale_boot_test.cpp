#include "fixture.hpp"

#include <doctest/doctest.h>

namespace kingcuplink::test {

namespace {

/*! Tells the leader what a worker runs in a boot. */
void look_at(scripted_fleet &fleet, std::string const &worker, std::uint64_t const boot, std::vector<run_key> runs) {
    worker_inventory inventory;
    inventory.boot = boot;
    for(auto const &key: runs) {
        inventory.running.push_back({key, {}});
    }
    fleet.leader->record_lease_extension(worker, fleet.now + millis{9'000});
    fleet.leader->apply_inventory(worker, inventory, fleet.now, fleet.now);
}

} // namespace

// A worker restarted before a start reached it: the new boot ran it, and the task was started elsewhere as well.
TEST_CASE("a run that the next boot of its worker took on is not started elsewhere beside it") {
    struct row {
        std::string_view name;
        start_answer answer;
        /*! The registration tells of the new boot before the worker does. */
        bool is_registered_first;
    };
    std::array<row, 4u> const rows{{
        {"the start was answered", start_answer::started, false},
        {"the start was not answered", start_answer::unknown, false},
        {"the start was answered, and the registration came first", start_answer::started, true},
        {"the start was not answered, and the registration came first", start_answer::unknown, true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u}};
        look_at(fleet, "w0", 1u, {});
        look_at(fleet, "w1", 1u, {});
        fleet.submit(scripted_fleet::job("a", one_task()));
        auto const first = plan_and_keep(fleet);
        REQUIRE(first.size() == 1u);
        auto const &where = first.front().worker;
        fleet.now += round_length;
        fleet.leader->start_answered(first.front().placement, item.answer, fleet.now);
        fleet.now += round_length;
        std::size_t others{};
        if(item.is_registered_first) {
            auto entry = *fleet.leader->find_worker(where);
            entry.boot = 2u;
            fleet.leader->register_worker(entry, fleet.now);
            others += plan_and_keep(fleet).size();
            fleet.now += round_length;
        }
        look_at(fleet, where, 2u, {first.front().key});
        others += plan_and_keep(fleet).size();
        fleet.now += millis{200};
        others += plan_and_keep(fleet).size();
        CHECK(others == 0u);
    }
}

} // namespace kingcuplink::test
