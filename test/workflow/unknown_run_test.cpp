#include "fixture.hpp"

#include <doctest/doctest.h>

namespace kingcuplink::test {

namespace {

/*! Reports the runs of a worker to the leader. */
void report_runs(scripted_fleet &fleet, std::size_t const worker, std::vector<run_key> const &runs) {
    worker_inventory inventory;
    inventory.boot = fleet.workers[worker].entry.boot;
    for(auto const &key: runs) {
        inventory.running.push_back({key, {}});
    }
    fleet.leader->apply_inventory(fleet.workers[worker].entry.name, inventory, fleet.now, fleet.now);
}

/*! Makes the log name a latest run of the first task of a job, without a worker. */
void forget_run(scripted_fleet &fleet, std::string const &job, std::uint32_t const run) {
    job_progress progress{job_phase::running, {}};
    progress.tasks.push_back({0u, 0u, run, 0u, 0u, false, {}, {}});
    fleet.table.advance(job, progress, fleet.now);
    fleet.change_leader();
}

step_definition gang_step() {
    auto step = single_task_step();
    step.count = 2u;
    step.gang = true;
    return step;
}

} // namespace

// A run that the log had given up was alive on its worker, and its task was started on another worker as well.
TEST_CASE("a task is not started while a worker lists an unknown run of it") {
    struct row {
        std::string_view name;
        step_definition step;
        /*! Run that the worker lists; the log names run 2 as the latest. */
        std::uint32_t listed_run;
        std::size_t expected_starts;
    };
    std::array<row, 3u> const rows{{
        {"the latest run", single_task_step(), 2u, 1u},
        {"an earlier run", single_task_step(), 1u, 1u},
        {"a member of a gang", gang_step(), 2u, 2u},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u}};
        fleet.submit(scripted_fleet::job("a", item.step));
        forget_run(fleet, "a", 2u);
        fleet.now += round_interval;
        run_key const key{"a", 0u, 0u, item.listed_run};
        report_runs(fleet, 0u, {key});
        report_runs(fleet, 1u, {});
        CHECK(plan_and_commit(fleet).empty());
        auto const unknown = fleet.leader->take_unknown_runs();
        REQUIRE(unknown.size() == 1u);
        CHECK(unknown.front().key == key);
        CHECK(unknown.front().latest_run == 2u);
        CHECK(unknown.front().other_worker.empty());

        fleet.now += round_interval;
        report_runs(fleet, 0u, {});
        report_runs(fleet, 1u, {});
        CHECK(plan_and_commit(fleet).size() == item.expected_starts);
    }
}

// The success of a run that had been given up was acknowledged and not counted: its task was started again.
TEST_CASE("the success of an unknown run ends its task") {
    struct row {
        std::string_view name;
        step_definition step;
        std::uint32_t run;
        run_outcome how;
        bool is_done;
    };
    std::array<row, 5u> const rows{{
        {"the latest run", single_task_step(), 2u, run_outcome::done, true},
        {"an earlier run", single_task_step(), 1u, run_outcome::done, true},
        {"a member of a gang", gang_step(), 1u, run_outcome::done, true},
        {"an earlier run that failed", single_task_step(), 1u, run_outcome::failed, false},
        {"an earlier run that was stopped", single_task_step(), 1u, run_outcome::stopped, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u}};
        fleet.submit(scripted_fleet::job("a", item.step));
        forget_run(fleet, "a", 2u);
        fleet.now += round_interval;
        run_key const key{"a", 0u, 0u, item.run};
        report_runs(fleet, 0u, {key});
        report_runs(fleet, 1u, {});
        REQUIRE(plan_and_commit(fleet).empty());
        fleet.now += round_interval;
        worker_inventory inventory;
        inventory.boot = fleet.workers[0].entry.boot;
        inventory.ended.push_back({1u, key, item.how, {}});
        fleet.leader->apply_inventory(fleet.workers[0].entry.name, inventory, fleet.now, fleet.now);
        report_runs(fleet, 1u, {});
        CHECK(plan_and_commit(fleet).empty() == item.is_done);
        CHECK((fleet.leader->figures(fleet.now).jobs == 0u) == item.is_done);
    }
}

// A worker that had been removed for a while lost the time of its leases: an unknown run there counted as lapsed.
TEST_CASE("an unknown run on a worker that registers again is not taken for lapsed") {
    scripted_fleet fleet{{.workers = 2u}};
    report_runs(fleet, 0u, {});
    auto const &entry = fleet.workers[0].entry;
    fleet.leader->record_lease_extension(entry.name, lease_expiry::at(fleet.now + millis{60'000}));
    fleet.now += inherited_lease + round_interval;
    fleet.leader->unregister_worker(entry.name);
    dispatch_plan decided;
    fleet.leader->plan(fleet.now, decided);
    REQUIRE(fleet.leader->find_worker(entry.name) == nullptr);
    fleet.submit(scripted_fleet::job("a", single_task_step()));
    fleet.leader->register_worker(entry, fleet.now);
    report_runs(fleet, 0u, {{"a", 0u, 0u, 1u}});
    report_runs(fleet, 1u, {});
    CHECK(plan_and_commit(fleet).empty());
}

// A list that was answered to an earlier poll arrived after another worker had answered at the address: the worker that
// was gone counted as present.
TEST_CASE("an answer to an earlier poll does not bring back a worker that was replaced") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.run_for(millis{100});
    auto const &entry = fleet.workers[0].entry;
    auto const sent_at = fleet.now;
    fleet.now += round_interval;
    REQUIRE(fleet.leader->worker_replaced(entry.name, entry.address, fleet.now, fleet.now));
    fleet.leader->apply_inventory(entry.name, {entry.boot, {}, {}}, sent_at, fleet.now);
    CHECK_FALSE(fleet.leader->is_reconciled(entry.name));
}

// A long poll may be answered before a poll that was sent later, with newer lists: a run that ended in between was
// taken for an unknown one, stopped, and charged with the whole worker if its job was over.
TEST_CASE("a run that older lists still name is not unknown") {
    struct row {
        std::string_view name;
        std::uint64_t boot;
        std::int64_t listed_at_ms;
        std::size_t expected_unknown;
    };
    std::array<row, 4u> const rows{{
        {"older lists", 1u, 900, 0u},
        {"newer lists", 1u, 1'100, 1u},
        {"lists of the same time", 1u, 1'000, 1u},
        {"lists of another boot, whose clock started anew", 2u, 900, 1u},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 1u}};
        auto const &name = fleet.workers.front().entry.name;
        fleet.leader->apply_inventory(name, {1u, {}, {}, true, 1'000}, fleet.now, fleet.now);
        fleet.now += round_interval;
        worker_inventory const late{item.boot, {{{"ended", 0u, 0u, 1u}, {}}}, {}, true, item.listed_at_ms};
        fleet.leader->apply_inventory(name, late, fleet.now, fleet.now);
        CHECK(fleet.leader->take_unknown_runs().size() == item.expected_unknown);
    }
}

} // namespace kingcuplink::test
