#include "fixture.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>

namespace kingcuplink::test {

namespace {

/*! Longest lease that the scripted workers are given. */
constexpr millis scripted_lease{9'000};
/*! Time in which a task whose run is over is started again. */
constexpr millis restart_time{300};

/*! Returns a fleet with a run of job "a", which lasts for longer than each test, on some worker. */
scripted_fleet fleet_with_run() {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", single_task_step()));
    fleet.run_for(millis{500});
    return fleet;
}

/*! Returns the worker that has the run. */
scripted_fleet::worker &host_of(scripted_fleet &fleet) {
    return *std::find_if(
        fleet.workers.begin(), fleet.workers.end(), [](auto const &item) { return !item.runs.empty(); });
}

/*! Removes the worker that has the run, with its registration. */
void remove_host(scripted_fleet &fleet) {
    auto const name = host_of(fleet).entry.name;
    fleet.leader->unregister_worker(name);
    std::erase_if(fleet.workers, [&name](auto const &item) { return item.entry.name == name; });
}

} // namespace

// Each new leader counted the leases on workers that were gone from its own beginning: while leaders changed, their
// tasks waited on an idle fleet.
TEST_CASE("tasks of a worker that is gone wait for its leases once, however often the leader changes") {
    struct row {
        std::string_view name;
        /*! True if the worker announces that it leaves, 1.5 s before it is gone. */
        bool is_announced;
        /*! True if the leader changes just before, and the new one hears from the worker once. */
        bool is_heard_again;
        /*! Time from the removal of the worker to the next change of leaders. */
        millis first_change;
        /*! Longest time from the removal to the second run. */
        millis limit;
    };
    constexpr millis change_interval{7'000};
    std::array<row, 6u> const rows{{
        {"the first leader saw it silent for long enough", false, false, millis{4'000}, scripted_lease},
        {"the first leader ended with it", false, false, millis{}, inherited_lease},
        {"it had announced that it leaves", true, false, millis{}, scripted_lease},
        {"it had announced that it leaves, and the first leader stayed", true, false, millis{4'000}, scripted_lease},
        {"it had announced that it leaves, and the next leader heard from it", true, true, millis{7'000},
            scripted_lease},
        {"it had announced that it leaves, the next leader heard from it and ended with it", true, true, millis{},
            scripted_lease},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto fleet = fleet_with_run();
        REQUIRE(fleet.starts == 1u);
        if(item.is_announced) {
            fleet.run_for(millis{3'000});
            auto &entry = host_of(fleet).entry;
            entry.leaving = true;
            fleet.leader->register_worker(entry, fleet.now);
            fleet.run_for(millis{1'500});
        } else {
            fleet.run_for(millis{3'000});
        }
        if(item.is_heard_again) {
            fleet.change_leader();
            fleet.run_round();
        }
        remove_host(fleet);
        auto const removed_at = fleet.now;
        auto next_change = fleet.now + item.first_change;
        while(fleet.starts == 1u && fleet.now < removed_at + millis{40'000}) {
            if(fleet.now >= next_change) {
                fleet.change_leader();
                next_change += change_interval;
            }
            fleet.run_round();
        }
        CHECK(fleet.now - removed_at <= item.limit + restart_time);
        CHECK(fleet.now - removed_at > millis{5'000});
        CHECK(fleet.run_count("a") == 1u);
    }
}

// Guards against a run that goes on after the recorded time, or ended before it and is acknowledged after it, while a
// later leader starts its task again.
TEST_CASE("no lease is extended and no run is started beyond the time in the log until the record is removed") {
    struct row {
        bool changes_leader;
        /*! True if the run has ended when the worker is heard again. */
        bool has_ended;
    };
    std::array<row, 4u> const rows{{{false, false}, {true, false}, {false, true}, {true, true}}};
    for(auto const &[changes_leader, has_ended]: rows) {
        CAPTURE(changes_leader);
        CAPTURE(has_ended);
        auto fleet = fleet_with_run();
        fleet.run_for(millis{3'000});
        auto &host = host_of(fleet);
        auto const name = host.entry.name;
        host.reachable = false;
        fleet.run_for(millis{2'000});
        CHECK(fleet.lapses.empty());
        fleet.run_for(millis{1'000});
        REQUIRE(fleet.lapses.contains(name));
        auto const recorded = fleet.lapses.at(name);
        CHECK(recorded <= fleet.now + scripted_lease);
        if(changes_leader) {
            fleet.change_leader();
        }
        // The worker is back, but the log cannot be told.
        fleet.is_log_available = false;
        host.reachable = true;
        if(has_ended) {
            host.runs.front().ends_at = fleet.now;
        }
        fleet.submit(scripted_fleet::job("b", single_task_step()));
        for(auto &other: fleet.workers) {
            if(other.entry.name != name) {
                fleet.leader->unregister_worker(other.entry.name);
            }
        }
        fleet.run_for(millis{500});
        CHECK(fleet.run_count("a") == (has_ended ? 0u : 1u));
        CHECK_FALSE(fleet.leader->may_extend_lease(name, lease_expiry::at(recorded + millis{1})));
        CHECK(fleet.leader->figures(fleet.now).usable_workers == 0u);
        fleet.is_log_available = true;
        fleet.run_for(millis{500});
        CHECK_FALSE(fleet.lapses.contains(name));
        CHECK(fleet.leader->may_extend_lease(name, lease_expiry::at(recorded + millis{60'000})));
        CHECK(fleet.run_count("a") == (has_ended ? 0u : 1u));
        CHECK(fleet.run_count("b") == 1u);
        CHECK(fleet.starts == 2u);
    }
}

// Guards against a worker that loses its runs before it is gone, because the recorded time is not moved.
TEST_CASE("the leases of a worker that leaves are extended for as long as it answers") {
    for(auto const changes_leader: {false, true}) {
        CAPTURE(changes_leader);
        auto fleet = fleet_with_run();
        fleet.run_for(millis{3'000});
        auto &host = host_of(fleet);
        host.entry.leaving = true;
        fleet.leader->register_worker(host.entry, fleet.now);
        auto const until = fleet.now + millis{30'000};
        while(fleet.now < until) {
            fleet.run_round();
            CHECK(fleet.leader->may_extend_lease(host.entry.name, lease_expiry::at(fleet.now + millis{3'250})));
            if(changes_leader && fleet.now == until - millis{15'000}) {
                fleet.change_leader();
            }
        }
        CHECK(fleet.starts == 1u);
        CHECK(fleet.lapses.size() == 1u);
    }
}

// Guards against a burst of records after a pause of the leader, when all workers seem silent.
TEST_CASE("a batch changes the records of a limited number of workers") {
    scripted_fleet fleet{{.workers = 100u}};
    auto step = single_task_step();
    step.count = 100u;
    step.task_size = fleet.options.worker_size;
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", step));
    fleet.run_for(millis{3'000});
    REQUIRE(fleet.run_count("a") == 100u);
    for(auto &item: fleet.workers) {
        item.reachable = false;
    }
    fleet.now += millis{3'000};
    fleet.run_round();
    CHECK(fleet.lapses.size() == 64u);
    for(auto &item: fleet.workers) {
        item.reachable = true;
    }
    fleet.run_for(millis{200});
    CHECK(fleet.lapses.empty());
    CHECK(fleet.run_count("a") == 100u);
}

} // namespace kingcuplink::test
