#include "fixture.hpp"

#include <doctest/doctest.h>

namespace kingcuplink::test {

namespace {

/*! Reports to the leader the runs of a worker in the given boot. */
void report_inventory(
    scripted_fleet &fleet, std::string const &worker, std::uint64_t const boot, std::vector<run_key> runs) {
    worker_inventory inventory;
    inventory.boot = boot;
    for(auto const &key: runs) {
        inventory.running.push_back({key, {}});
    }
    fleet.leader->record_lease_extension(worker, lease_expiry::at(fleet.now + millis{9'000}));
    fleet.leader->apply_inventory(worker, inventory, fleet.now, fleet.now);
}

} // namespace

// A worker restarted before a start command reached it. The new boot accepted the command, and the task was also
// started on another worker.
TEST_CASE("a task whose start was accepted by the next boot of its worker is not started on another worker") {
    struct row {
        std::string_view name;
        start_answer answer;
        /*! True if the registration of the new boot arrives before the first poll of it. */
        bool is_registered_first;
    };
    std::array<row, 4u> const rows{{
        {"the start was answered", start_answer::started, false},
        {"the start was not answered", start_answer::unknown, false},
        {"the start was answered and the registration arrived first", start_answer::started, true},
        {"the start was not answered and the registration arrived first", start_answer::unknown, true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u}};
        report_inventory(fleet, "w0", 1u, {});
        report_inventory(fleet, "w1", 1u, {});
        fleet.submit(scripted_fleet::job("a", single_task_step()));
        auto const first = plan_and_commit(fleet);
        REQUIRE(first.size() == 1u);
        auto const &host = first.front().worker;
        fleet.now += round_interval;
        fleet.leader->start_answered(first.front().placement, item.answer, fleet.now);
        fleet.now += round_interval;
        std::size_t duplicate_starts{};
        if(item.is_registered_first) {
            auto entry = *fleet.leader->find_worker(host);
            entry.boot = 2u;
            fleet.leader->register_worker(entry, fleet.now);
            duplicate_starts += plan_and_commit(fleet).size();
            fleet.now += round_interval;
        }
        report_inventory(fleet, host, 2u, {first.front().key});
        duplicate_starts += plan_and_commit(fleet).size();
        fleet.now += millis{200};
        duplicate_starts += plan_and_commit(fleet).size();
        CHECK(duplicate_starts == 0u);
    }
}

} // namespace kingcuplink::test
