#include "fixture.hpp"

#include <doctest/doctest.h>
#include <kingcuplink/workflow/progress_parts.hpp>

namespace kingcuplink::test {

namespace {

step_definition make_step(std::uint32_t const count, std::int64_t const millicores, bool const gang = false) {
    step_definition step;
    step.count = count;
    step.task_size = {millicores, 1'024, 0};
    step.estimate = millis{1'000};
    step.gang = gang;
    return step;
}

} // namespace

TEST_CASE("the steps of a job run in order and the job ends once") {
    scripted_fleet fleet;
    auto job = scripted_fleet::job("a", make_step(3u, 4'000));
    auto second = make_step(2u, 4'000);
    second.after = {0u};
    job.steps.push_back(second);
    fleet.submit(job);
    fleet.run_for(millis{500});
    CHECK(fleet.run_count("a") == 3u);
    fleet.run_for(millis{1'000});
    CHECK(fleet.run_count("a") == 2u);
    fleet.run_for(millis{1'500});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.starts == 5u);
}

TEST_CASE("the outcome of a run determines the phase of its job") {
    struct row {
        run_outcome outcome;
        std::uint32_t max_attempts;
        job_phase phase;
        std::size_t starts;
    };
    std::array<row, 5u> const rows{{
        {run_outcome::done, 2u, job_phase::done, 1u},
        {run_outcome::failed, 1u, job_phase::failed, 1u},
        {run_outcome::failed, 3u, job_phase::failed, 3u},
        {run_outcome::lapsed, 1u, job_phase::running, 4u},
        {run_outcome::stopped, 1u, job_phase::running, 4u},
    }};
    for(auto const &item: rows) {
        CAPTURE(name_of(item.outcome));
        CAPTURE(item.max_attempts);
        scripted_fleet fleet{{.max_attempts = item.max_attempts}};
        fleet.behaviour["a"] = {millis{1'000}, item.outcome};
        fleet.submit(scripted_fleet::job("a", make_step(1u, 4'000)));
        // Each run takes 1 s plus one or two rounds.
        fleet.run_for(millis{3'900});
        CHECK(fleet.phase_of("a") == item.phase);
        CHECK(fleet.starts == item.starts);
    }
}

TEST_CASE("a failed run that is reported to two leaders counts once") {
    scripted_fleet fleet{{.max_attempts = 2u}};
    fleet.behaviour["a"] = {millis{400}, run_outcome::failed};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 4'000)));
    auto const failures = [&fleet]() {
        auto const &tasks = fleet.table.find("a")->progress.tasks;
        return tasks.empty() ? 0u : tasks.front().failures;
    };
    for(auto round = 0; round < 100 && fleet.starts == 0u; ++round) {
        fleet.run_round();
    }
    REQUIRE(fleet.starts == 1u);
    fleet.behaviour["a"] = {millis{400}, run_outcome::done};
    for(auto round = 0; round < 100 && failures() == 0u; ++round) {
        fleet.run_round();
    }
    REQUIRE(failures() == 1u);
    // The completion is committed to the log but not acknowledged to the worker when another leader begins.
    fleet.change_leader();
    fleet.run_for(millis{1'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

// Two leaders each counted one failed run of a gang, so the job failed before its attempts were used up.
TEST_CASE("a failed run of a gang whose members are polled by two leaders counts once") {
    for(auto const first_seen: {0u, 1u}) {
        CAPTURE(first_seen);
        scripted_fleet fleet{{.workers = 2u, .max_attempts = 2u}};
        fleet.behaviour["a"] = {millis{400}, run_outcome::failed};
        fleet.submit(scripted_fleet::job("a", make_step(2u, 40'000, true)));
        fleet.run_for(millis{200});
        REQUIRE(fleet.starts == 2u);
        for(auto &worker: fleet.workers) {
            worker.reachable = worker.runs.front().key.index == first_seen;
        }
        fleet.run_for(millis{600});
        REQUIRE(fleet.table.find("a")->progress.tasks.front().failures == 1u);
        fleet.behaviour["a"] = {millis{400}, run_outcome::done};
        fleet.change_leader();
        for(auto &worker: fleet.workers) {
            worker.reachable = true;
        }
        fleet.run_for(millis{1'500});
        CHECK(fleet.phase_of("a") == job_phase::done);
    }
}

// A completion reported under another worker's name left the run recorded as present, and the next leader counted it
// again.
TEST_CASE("a run whose completion was recorded is on no worker in the log") {
    scripted_fleet fleet{{.workers = 2u, .max_attempts = 2u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 20'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.starts == 1u);
    auto const assigned = fleet.table.find("a")->progress.tasks.front().worker;
    auto const *other = assigned == "w0" ? "w1" : "w0";
    worker_inventory inventory{1u, {}, {{1u, {"a", 0u, 0u, 1u}, run_outcome::failed, {}}}};
    fleet.leader->apply_inventory(other, inventory, fleet.now, fleet.now);
    auto const batch = fleet.leader->next_batch();
    REQUIRE(batch.records.size() == 1u);
    CHECK(batch.records.front().second.tasks.front().failures == 1u);
    CHECK(batch.records.front().second.tasks.front().worker.empty());
}

// The record of a job held all of its tasks with their checkpoints: it outgrew what the log takes, and each end of a
// task rewrote it, so that the readers of a large fleet fell seconds behind.
TEST_CASE("a change of one task of a wide job rewrites a bounded part of its progress") {
    constexpr std::uint32_t count{160u};
    scripted_fleet fleet{{.workers = 4u}};
    auto step = make_step(count, 500);
    step.checkpointing = true;
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", step));
    fleet.run_for(millis{300});
    REQUIRE(fleet.run_count("a") == count);
    // All workers list checkpoints of 2,000 bytes, and one of them an end.
    run_key ended;
    for(auto &host: fleet.workers) {
        worker_inventory inventory;
        inventory.boot = host.entry.boot;
        for(auto const &run: host.runs) {
            if(ended.job.empty()) {
                ended = run.key;
                inventory.ended.push_back({1u, run.key, run_outcome::done, {}});
            } else {
                inventory.running.push_back({run.key, std::string(2'000u, 'x')});
            }
        }
        fleet.leader->apply_inventory(host.entry.name, inventory, fleet.now, fleet.now);
    }
    auto const batch = fleet.leader->next_batch();
    REQUIRE(batch.records.size() == 1u);
    auto const &progress = batch.records.front().second;
    CHECK(progress.part == ended.index / tasks_per_part);
    CHECK(progress.tasks.size() <= count / 10u);
}

TEST_CASE("a new leader continues a wide job from the parts of its progress, and removes them at its end") {
    scripted_fleet fleet{{.workers = 4u}};
    auto step = make_step(20u, 12'000);
    fleet.submit(scripted_fleet::job("a", step));
    // 20 of 20 tasks fit at once; their runs take 1 s.
    fleet.run_for(millis{600});
    REQUIRE(fleet.run_count("a") == 20u);
    fleet.workers[0].reachable = false;
    fleet.run_for(millis{1'000});
    fleet.change_leader();
    fleet.run_for(millis{200});
    CHECK(fleet.starts == 20u);
    CHECK(fleet.phase_of("a") == job_phase::running);
    fleet.workers[0].reachable = true;
    for(auto &host: fleet.workers) {
        worker_inventory inventory;
        inventory.boot = host.entry.boot;
        inventory.ended = host.completions;
        fleet.leader->apply_inventory(host.entry.name, inventory, fleet.now, fleet.now);
    }
    auto const batch = fleet.leader->next_batch();
    REQUIRE(batch.records.size() == 1u);
    CHECK(batch.records.front().second.phase == job_phase::done);
    CHECK_FALSE(batch.records.front().second.part);
    CHECK(batch.obsolete_parts.size() == 3u);
    CHECK(fleet.starts == 20u);
}

TEST_CASE("no run is started before its intent is committed to the log") {
    scripted_fleet fleet;
    fleet.is_log_available = false;
    fleet.submit(scripted_fleet::job("a", make_step(1u, 4'000)));
    fleet.run_for(millis{500});
    CHECK(fleet.starts == 0u);
    fleet.is_log_available = true;
    fleet.run_for(millis{100});
    CHECK(fleet.starts == 1u);
}

TEST_CASE("a worker discards a completion only after it is committed to the log") {
    scripted_fleet fleet;
    fleet.submit(scripted_fleet::job("a", make_step(1u, 4'000)));
    fleet.run_for(millis{500});
    fleet.is_log_available = false;
    fleet.run_for(millis{1'000});
    CHECK(fleet.workers[0].completions.size() + fleet.workers[1].completions.size() +
            fleet.workers[2].completions.size() + fleet.workers[3].completions.size() ==
        1u);
    fleet.change_leader();
    fleet.is_log_available = true;
    fleet.run_for(millis{200});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.starts == 1u);
}

TEST_CASE("a new leader adopts running tasks and starts none of them twice") {
    scripted_fleet fleet;
    fleet.submit(scripted_fleet::job("a", make_step(6u, 20'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.run_count("a") == 6u);
    fleet.change_leader();
    fleet.run_for(millis{300});
    CHECK(fleet.run_count("a") == 6u);
    fleet.run_for(millis{1'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.starts == 6u);
}

TEST_CASE("a task on an unreachable worker starts on another one only after its lease has expired by any clock") {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 60'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.starts == 1u);
    auto const host = fleet.workers[0].runs.empty() ? 1u : 0u;
    fleet.workers[host].reachable = false;
    SUBCASE("under the same leader") {
        fleet.run_for(millis{8'500});
        CHECK(fleet.starts == 1u);
    }
    SUBCASE("under a new leader") {
        fleet.change_leader();
        fleet.run_for(millis{15'500});
        CHECK(fleet.starts == 1u);
    }
    fleet.run_for(millis{2'000});
    CHECK(fleet.starts == 2u);
}

TEST_CASE("the tasks of a restarted worker are started again") {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 60'000)));
    fleet.run_for(millis{300});
    for(auto &item: fleet.workers) {
        item.runs.clear();
        item.completions.clear();
        item.next_completion = 1u;
        item.entry.boot = 2u;
    }
    fleet.run_for(millis{1'500});
    CHECK(fleet.starts == 2u);
    CHECK(fleet.phase_of("a") == job_phase::done);
}

// Guards against one faulty entry, written under the name of a worker by someone else, that makes a task run twice or
// the worker unusable for good.
TEST_CASE("an inconsistent registration of a worker does not affect its runs") {
    struct row {
        std::string_view name;
        void (*change)(worker_registration &);
    };
    std::array<row, 5u> const rows{{
        {"implausibly high boot", [](worker_registration &entry) { entry.boot = std::uint64_t{1} << 62u; }},
        {"no boot", [](worker_registration &entry) { entry.boot = 0u; }},
        {"lower boot", [](worker_registration &entry) { entry.boot -= 1u; }},
        {"another address", [](worker_registration &entry) { entry.address = "10.0.0.99:1"; }},
        {"unreadable", nullptr},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u, .first_boot = 5u}};
        fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
        fleet.submit(scripted_fleet::job("a", make_step(1u, 20'000)));
        fleet.run_for(millis{300});
        REQUIRE(fleet.starts == 1u);
        for(auto const &worker: fleet.workers) {
            if(worker.runs.empty()) {
                continue;
            }
            if(item.change == nullptr) {
                fleet.leader->unregister_worker(worker.entry.name);
                continue;
            }
            auto faulty = worker.entry;
            item.change(faulty);
            fleet.leader->register_worker(faulty, fleet.now);
        }
        fleet.run_for(millis{500});
        CHECK(fleet.starts == 1u);
        CHECK(fleet.run_count("a") == 1u);
        CHECK(fleet.stops.empty());
        for(auto const &worker: fleet.workers) {
            fleet.leader->register_worker(worker.entry, fleet.now);
        }
        // One task fits beside that of the first job; no worker can take two.
        fleet.submit(scripted_fleet::job("b", make_step(2u, 40'000), millis{800}));
        fleet.run_for(millis{300});
        CHECK(fleet.run_count("b") == 2u);
        CHECK(fleet.run_count("a") == 1u);
    }
}

// Guards against runs that a new leader misses because the first registration that it read was inconsistent.
TEST_CASE("a new leader adopts running tasks although it first reads an inconsistent registration") {
    for(auto const boot: {std::uint64_t{0}, std::uint64_t{4}, std::uint64_t{1} << 62u}) {
        CAPTURE(boot);
        scripted_fleet fleet{{.workers = 2u, .first_boot = 5u}};
        fleet.submit(scripted_fleet::job("a", make_step(1u, 40'000)));
        fleet.run_for(millis{300});
        for(auto &item: fleet.workers) {
            item.entry.boot = boot;
        }
        fleet.change_leader();
        for(auto &item: fleet.workers) {
            item.entry.boot = 5u;
        }
        fleet.run_for(millis{1'500});
        CHECK(fleet.phase_of("a") == job_phase::done);
        CHECK(fleet.starts == 1u);
    }
}

TEST_CASE("a worker whose registration names another boot or address gets no run until that has answered") {
    for(auto const *what: {"boot", "address"}) {
        CAPTURE(what);
        scripted_fleet fleet{{.workers = 1u}};
        fleet.run_for(millis{100});
        fleet.workers[0].reachable = false;
        auto changed = fleet.workers[0].entry;
        if(std::string_view{what} == "boot") {
            changed.boot += 1u;
        } else {
            changed.address = "10.0.0.99:1";
        }
        fleet.leader->register_worker(changed, fleet.now);
        fleet.submit(scripted_fleet::job("a", make_step(1u, 40'000)));
        fleet.run_for(millis{200});
        CHECK(fleet.leader->figures(fleet.now).usable_workers == 0u);
        CHECK(fleet.starts == 0u);
        fleet.workers[0].entry = changed;
        fleet.workers[0].reachable = true;
        fleet.run_for(millis{200});
        CHECK(fleet.run_count("a") == 1u);
    }
}

// Guards against a worker that is ignored forever because its clock went back between two boots.
TEST_CASE("a worker that restarted with a lower boot number is used and its earlier tasks are restarted") {
    for(auto const is_registered_first: {false, true}) {
        CAPTURE(is_registered_first);
        scripted_fleet fleet{{.workers = 1u, .first_boot = 5u}};
        fleet.submit(scripted_fleet::job("a", make_step(1u, 60'000)));
        fleet.run_for(millis{300});
        REQUIRE(fleet.starts == 1u);
        auto &worker = fleet.workers[0];
        worker.runs.clear();
        worker.next_completion = 1u;
        worker.entry.boot = 3u;
        if(is_registered_first) {
            fleet.leader->register_worker(worker.entry, fleet.now);
        }
        fleet.run_for(millis{1'500});
        CHECK(fleet.starts == 2u);
        CHECK(fleet.phase_of("a") == job_phase::done);
    }
}

// A worker that took over the address of a dead one was recorded under both names, and its completions were counted for
// both.
TEST_CASE("tasks of a worker whose address was taken over by another one are restarted") {
    struct row {
        bool has_answered;
        bool has_moved;
        std::size_t starts;
    };
    // An answer from an address other than the one where the worker last answered proves nothing. A new leader knows
    // only the registered address.
    std::array<row, 3u> const rows{{{true, false, 2u}, {true, true, 1u}, {false, false, 2u}}};
    for(auto const &item: rows) {
        CAPTURE(item.has_answered);
        CAPTURE(item.has_moved);
        scripted_fleet fleet{{.workers = 2u}};
        fleet.submit(scripted_fleet::job("a", make_step(1u, 20'000)));
        fleet.run_for(millis{300});
        REQUIRE(fleet.starts == 1u);
        auto const found = std::find_if(
            fleet.workers.begin(), fleet.workers.end(), [](auto const &worker) { return !worker.runs.empty(); });
        found->reachable = false;
        found->runs.clear();
        if(!item.has_answered) {
            fleet.change_leader();
        }
        if(item.has_moved) {
            found->entry.address = "10.0.0.99:1";
            fleet.leader->register_worker(found->entry, fleet.now);
        }
        CHECK(fleet.leader->worker_replaced(found->entry.name, found->entry.address, fleet.now, fleet.now) ==
            !item.has_moved);
        fleet.run_for(millis{300});
        CHECK(fleet.starts == item.starts);
        CHECK_FALSE(fleet.leader->is_reconciled(found->entry.name));
    }
}

// A poll that was pending while its worker restarted was refused by the next boot, and a run of that boot was dropped
// and repeated.
TEST_CASE("a refusal of an earlier poll does not end a run that was confirmed afterwards") {
    for(auto const is_earlier: {true, false}) {
        CAPTURE(is_earlier);
        scripted_fleet fleet{{.workers = 1u}};
        fleet.poll_duration = millis{5};
        fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
        fleet.submit(scripted_fleet::job("a", make_step(1u, 20'000)));
        for(auto count = 0; count < 10 && fleet.starts == 0u; ++count) {
            fleet.run_for(round_interval);
        }
        REQUIRE(fleet.starts == 1u);
        auto const sent_at = fleet.now + millis{is_earlier ? -1 : 1};
        fleet.leader->worker_replaced("w0", fleet.workers[0].entry.address, sent_at, fleet.now);
        fleet.run_for(millis{1'000});
        CHECK(fleet.starts == (is_earlier ? 1u : 2u));
    }
}

// Completions of a new boot were acknowledged by the numbers of the previous boot, without being committed to the log.
TEST_CASE("completions of one boot acknowledge none of the next boot") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 20'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.starts == 1u);
    fleet.leader->apply_inventory(
        "w0", {1u, {}, {{1u, {"a", 0u, 0u, 1u}, run_outcome::failed, {}}}}, fleet.now, fleet.now);
    auto const batch = fleet.leader->next_batch();
    REQUIRE(batch.ends.size() == 1u);
    fleet.now += round_interval;
    fleet.leader->apply_inventory(
        "w0", {2u, {}, {{1u, {"b", 0u, 0u, 1u}, run_outcome::done, {}}}}, fleet.now, fleet.now);
    std::vector<run_start> starts;
    fleet.leader->batch_committed(batch, fleet.now, starts);
    CHECK(fleet.leader->kept_end("w0") == 0u);
    CHECK(fleet.leader->command_epoch_of("w0") == 1u);
}

TEST_CASE("a later boot has a higher fencing token, and a later term a higher one than any boot of an earlier term") {
    CHECK(command_token(7u, 0u) < command_token(7u, 1u));
    CHECK(command_token(7u, 1u) < command_token(8u, 0u));
    CHECK(command_token(7u, std::uint64_t{1} << 40u) < command_token(8u, 0u));
}

// A worker that had been removed for a while was sent the token of its first boot again, and refused it.
TEST_CASE("a worker that registers again keeps its restart count") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.run_for(millis{100});
    fleet.workers[0].entry.boot = 2u;
    fleet.leader->register_worker(fleet.workers[0].entry, fleet.now);
    fleet.run_for(millis{100});
    REQUIRE(fleet.leader->command_epoch_of("w0") == 1u);
    fleet.leader->unregister_worker("w0");
    dispatch_plan decided;
    fleet.leader->plan(fleet.now, decided);
    REQUIRE(fleet.leader->find_worker("w0") == nullptr);
    fleet.leader->register_worker(fleet.workers[0].entry, fleet.now);
    CHECK(fleet.leader->command_epoch_of("w0") == 1u);
    fleet.run_for(millis{100});
    CHECK(fleet.leader->command_epoch_of("w0") == 1u);
}

// A worker lost its runs through an answer from an address that was polled before its correct registration returned.
TEST_CASE("an answer of another worker from an address that is no longer polled is ignored") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.run_for(millis{100});
    CHECK_FALSE(fleet.leader->worker_replaced("w0", "10.0.0.99:1", fleet.now, fleet.now));
    CHECK_FALSE(fleet.leader->worker_replaced("w0", fleet.workers[0].entry.address, instant{}, fleet.now));
    CHECK(fleet.leader->is_reconciled("w0"));
    // The registration names another address while a poll of the correct one is in progress.
    auto faulty = fleet.workers[0].entry;
    faulty.address = "10.0.0.99:1";
    fleet.leader->register_worker(faulty, fleet.now);
    fleet.leader->apply_inventory("w0", {faulty.boot, {}, {}}, fleet.now - millis{1}, fleet.now);
    CHECK_FALSE(fleet.leader->worker_replaced("w0", faulty.address, fleet.now, fleet.now));
}

TEST_CASE("a late answer of an earlier boot is ignored") {
    scripted_fleet fleet{{.workers = 1u, .first_boot = 5u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 60'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.starts == 1u);
    for(auto const age: {millis{0}, millis{20}, millis{500}}) {
        CAPTURE(age.count());
        fleet.leader->apply_inventory("w0", {4u, {}, {}}, fleet.now - age, fleet.now);
        fleet.run_for(millis{100});
        CHECK(fleet.starts == 1u);
        CHECK(fleet.stops.empty());
    }
}

// A worker lists a limited number of completions at a time. A run whose completion was to follow later was in neither
// list, and its task was started again.
TEST_CASE("a run in neither list is lost only if all completions were listed") {
    struct row {
        std::string_view name;
        bool is_new_leader;
        std::uint64_t boot;
        bool has_all_completions;
        std::size_t starts;
    };
    std::array<row, 6u> const rows{{
        {"all completions", false, 1u, true, 2u},
        {"some completions", false, 1u, false, 1u},
        {"all completions, to a new leader", true, 1u, true, 2u},
        {"some completions, to a new leader", true, 1u, false, 1u},
        {"all completions of the next boot", false, 2u, true, 2u},
        {"some completions of the next boot", false, 2u, false, 1u},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 1u}};
        fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
        fleet.submit(scripted_fleet::job("a", make_step(1u, 60'000)));
        fleet.run_for(millis{100});
        REQUIRE(fleet.run_count("a") == 1u);
        auto &worker = fleet.workers[0];
        auto const key = worker.runs.front().key;
        worker.reachable = false;
        if(item.is_new_leader) {
            fleet.change_leader();
        }
        worker_inventory inventory{item.boot, {}, {{1u, {"other", 0u, 0u, 1u}, run_outcome::done, {}}}};
        inventory.has_all_completions = item.has_all_completions;
        fleet.now += round_interval;
        fleet.leader->record_lease_extension("w0", lease_expiry::at(fleet.now + millis{9'000}));
        fleet.leader->apply_inventory("w0", inventory, fleet.now, fleet.now);
        worker.entry.boot = item.boot;
        fleet.leader->register_worker(worker.entry, fleet.now);
        auto const started_again = plan_and_commit(fleet).size();
        CHECK(1u + started_again == item.starts);
        if(!item.has_all_completions) {
            // The run's completion is the next one in the list.
            fleet.now += round_interval;
            worker_inventory const rest{item.boot, {}, {{2u, key, run_outcome::done, {}}}};
            fleet.leader->apply_inventory("w0", rest, fleet.now, fleet.now);
            fleet.run_for(round_interval);
            CHECK(fleet.phase_of("a") == job_phase::done);
        }
    }
}

// An unknown run was removed as expired before its lease was known, and its capacity was given to another run.
TEST_CASE("the capacity of an unknown run stays reserved until its completion is listed") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 60'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.run_count("a") == 1u);
    fleet.table.advance("a", {job_phase::cancelled, {}}, fleet.now);
    fleet.change_leader();
    worker_inventory inventory{1u, {{fleet.workers[0].runs.front().key, {}}}, {}};
    fleet.leader->apply_inventory("w0", inventory, fleet.now, fleet.now);
    fleet.submit(scripted_fleet::job("b", make_step(1u, 60'000)));
    for(auto round = 0; round < 3; ++round) {
        fleet.now += round_interval;
        dispatch_plan decided;
        fleet.leader->plan(fleet.now, decided);
        CHECK(fleet.leader->next_batch().starts.empty());
    }
}

// The first of several unknown runs was charged all the remaining capacity, and the others nothing.
TEST_CASE("capacity stays reserved while any unknown run is listed") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.submit(scripted_fleet::job("a", make_step(2u, 30'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.run_count("a") == 2u);
    fleet.table.advance("a", {job_phase::cancelled, {}}, fleet.now);
    fleet.change_leader();
    run_key const first{"a", 0u, 0u, 1u};
    run_key const second{"a", 0u, 1u, 1u};
    fleet.leader->apply_inventory("w0", {1u, {{first, {}}, {second, {}}}, {}}, fleet.now, fleet.now);
    fleet.now += round_interval;
    fleet.leader->apply_inventory(
        "w0", {1u, {{second, {}}}, {{1u, first, run_outcome::stopped, {}}}}, fleet.now, fleet.now);
    fleet.submit(scripted_fleet::job("b", make_step(1u, 40'000)));
    dispatch_plan decided;
    fleet.leader->plan(fleet.now, decided);
    CHECK(fleet.leader->next_batch().starts.empty());
    fleet.now += round_interval;
    fleet.leader->apply_inventory("w0", {1u, {}, {{2u, second, run_outcome::stopped, {}}}}, fleet.now, fleet.now);
    fleet.leader->plan(fleet.now, decided);
    CHECK(fleet.leader->next_batch().starts.size() == 1u);
}

TEST_CASE("a start without an answer counts as running until the worker reports") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.drops_start_answers = true;
    fleet.submit(scripted_fleet::job("a", make_step(1u, 40'000)));
    fleet.submit(scripted_fleet::job("b", make_step(1u, 40'000)));
    fleet.run_for(millis{500});
    CHECK(fleet.starts == 1u);
    CHECK(fleet.peak_utilization() <= 1.0);
    fleet.run_for(millis{2'500});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.phase_of("b") == job_phase::done);
    CHECK(fleet.starts == 2u);
}

// Starts were sent to a lost worker until it counted as silent, and each had to wait for its lease to expire.
TEST_CASE("a worker that left a start unanswered gets no further start until it answers") {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.run_for(millis{100});
    fleet.workers[0u].reachable = false;
    fleet.submit(scripted_fleet::job("a", make_step(1u, 40'000)));
    fleet.run_for(millis{100});
    REQUIRE(fleet.run_count("a") == 0u);
    fleet.submit(scripted_fleet::job("b", make_step(1u, 20'000)));
    fleet.run_for(millis{100});
    CHECK(fleet.run_count("b") == 1u);
    fleet.workers[0u].reachable = true;
    fleet.workers[1u].reachable = false;
    fleet.submit(scripted_fleet::job("c", make_step(1u, 20'000)));
    fleet.run_for(millis{100});
    CHECK(fleet.run_count("c") == 1u);
}

// Jobs whose starts were not answered were reported as running, so callers saw too few queued jobs.
TEST_CASE("a job stays queued until the start of one of its tasks is confirmed") {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.drops_starts = true;
    fleet.submit(scripted_fleet::job("a", make_step(1u, 20'000)));
    fleet.run_for(millis{400});
    CHECK(fleet.phase_of("a") == job_phase::queued);
    CHECK(fleet.table.pending("queue") == 1u);
    fleet.drops_starts = false;
    fleet.run_for(millis{800});
    CHECK(fleet.phase_of("a") == job_phase::running);
    CHECK(fleet.table.pending("queue") == 0u);
}

TEST_CASE("a gang starts as a whole or not at all") {
    struct row {
        std::string_view name;
        std::uint32_t members;
        std::int64_t millicores;
        bool starts;
    };
    std::array<row, 3u> const rows{{
        {"fits on few workers", 4u, 30'000, true},
        {"takes every worker", 4u, 64'000, true},
        {"is larger than the fleet", 5u, 64'000, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet;
        fleet.submit(scripted_fleet::job("a", make_step(item.members, item.millicores, true)));
        fleet.run_for(millis{500});
        CHECK(fleet.run_count("a") == (item.starts ? item.members : 0u));
    }
}

TEST_CASE("a gang that loses a member is stopped and restarted as a whole") {
    scripted_fleet fleet{{.workers = 4u}};
    fleet.behaviour["a"] = {millis{3'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", make_step(4u, 60'000, true)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.run_count("a") == 4u);
    fleet.workers[0].runs.clear();
    fleet.workers[0].entry.boot = 2u;
    fleet.run_for(millis{1'000});
    CHECK(fleet.run_count("a") == 4u);
    CHECK(fleet.starts == 8u);
    for(auto const &item: fleet.workers) {
        REQUIRE(item.runs.size() == 1u);
        CHECK(item.runs.front().key.run == 2u);
    }
}

// A gang whose worker had left was started again 11 s later, on a mostly idle fleet.
TEST_CASE("a gang that lost a worker is started again once the lease there has expired") {
    struct row {
        std::string_view name;
        /*! Answer to the start of the lost member. */
        start_answer answer;
        /*! Bound on the lease by which the member there counts as gone, in ms after its last extension. */
        millis expected;
    };
    constexpr millis known_boot{3'200};
    constexpr millis any_boot{10'000};
    std::array<row, 2u> const rows{{
        {"the worker started it", start_answer::started, known_boot},
        {"another boot may have started it", start_answer::unknown, any_boot},
    }};
    advice_terms const advice{millis{500}, 7'000, millis{2'000}};
    dispatch_limits const limits{.inherited_lease = inherited_lease, .longest_lease = any_boot};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 4u, .advice = advice, .limits = limits}};
        auto const report = [&fleet](std::string const &worker, std::vector<listed_run> running) {
            fleet.leader->apply_inventory(worker, {1u, std::move(running), {}}, fleet.now, fleet.now);
        };
        auto const plan = [&fleet]() {
            dispatch_plan decided;
            fleet.leader->plan(fleet.now, decided);
            return decided;
        };
        auto const approve = [&fleet](dispatch_plan const &decided) {
            REQUIRE(decided.queries.size() == 1u);
            std::vector<advice_grant> grants;
            for(auto const &name: decided.queries.front().workers) {
                grants.push_back({name, "ticket"});
            }
            fleet.leader->take_advice(decided.queries.front(), grants, fleet.now);
        };
        for(auto const &host: fleet.workers) {
            report(host.entry.name, {});
        }
        // The boots may have got leases from an earlier leader until now.
        fleet.now += any_boot;
        for(auto const &host: fleet.workers) {
            report(host.entry.name, {});
        }
        fleet.submit(scripted_fleet::job("a", make_step(2u, 60'000, true)));
        approve(plan());
        auto const starts = plan_and_commit(fleet);
        REQUIRE(starts.size() == 2u);
        auto const &lost = starts.front();
        auto const &kept = starts.back();
        fleet.leader->start_answered(kept.placement, start_answer::started, fleet.now);
        fleet.leader->start_answered(lost.placement, item.answer, fleet.now);
        fleet.now += round_interval;
        report(kept.worker, {{kept.key, {}}});
        report(lost.worker, {{lost.key, {}}});
        fleet.leader->record_lease_extension(lost.worker, {fleet.now + any_boot, fleet.now + known_boot});
        auto const extended_at = fleet.now;
        // The worker leaves, and the other member breaks.
        fleet.leader->unregister_worker(lost.worker);
        fleet.leader->apply_inventory(
            kept.worker, {1u, {}, {{1u, kept.key, run_outcome::broken, {}}}}, fleet.now, fleet.now);
        auto restarted_at = instant::max();
        std::size_t queries{};
        std::optional<dispatch_plan> pending;
        instant answered_at{};
        while(fleet.now < extended_at + any_boot * 2 && restarted_at == instant::max()) {
            fleet.now += round_interval;
            for(auto const &host: fleet.workers) {
                if(host.entry.name != lost.worker && host.entry.name != kept.worker) {
                    report(host.entry.name, {});
                }
            }
            fleet.leader->apply_inventory(kept.worker, {1u, {}, {}}, fleet.now, fleet.now);
            if(pending && answered_at <= fleet.now) {
                approve(*pending);
                pending.reset();
            }
            if(auto decided = plan(); !decided.queries.empty()) {
                ++queries;
                answered_at = fleet.now + decided.queries.front().duration;
                pending = std::move(decided);
            }
            std::vector<run_start> again;
            fleet.leader->batch_committed(fleet.leader->next_batch(), fleet.now, again);
            restarted_at = again.empty() ? restarted_at : fleet.now;
        }
        CHECK(restarted_at > extended_at + item.expected);
        CHECK(restarted_at <= extended_at + item.expected + 2 * round_interval);
        // The adviser was queried before: its answer is not waited for after the expiry.
        CHECK(queries <= 2u);
    }
}

TEST_CASE("a gang over the ceiling of its account does not keep another gang from advice") {
    advice_terms const advice{millis{500}, 7'000, millis{2'000}};
    scripted_fleet fleet{{.workers = 4u, .advice = advice}};
    account_rules small;
    small.name = "small";
    small.weight = 1'000.0;
    small.ceiling = {10'000, 0, 0};
    fleet.rules->accounts.push_back(small);
    for(auto pos = 0; pos < 10; ++pos) {
        auto job = scripted_fleet::job("blocked" + std::to_string(pos), make_step(4u, 20'000, true));
        job.account = "small";
        fleet.submit(job);
    }
    fleet.run_for(millis{3'000});
    fleet.submit(scripted_fleet::job("free", make_step(4u, 20'000, true), millis{3'000}));
    fleet.run_for(millis{500});
    CHECK(fleet.run_count("free") == 4u);
    for(auto pos = 0; pos < 10; ++pos) {
        CHECK(fleet.run_count("blocked" + std::to_string(pos)) == 0u);
    }
}

TEST_CASE("a lost start is fenced off and repeated") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.drops_starts = true;
    fleet.submit(scripted_fleet::job("a", make_step(2u, 30'000)));
    fleet.run_for(millis{100});
    fleet.drops_starts = false;
    fleet.run_for(millis{2'500});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.starts == 2u);
}

TEST_CASE("a lost start is repeated although polls take longer than the interval between stops") {
    // A poll that was sent after the first of several stops, but before the latest, shows that nothing runs.
    scripted_fleet fleet{{.workers = 1u}};
    fleet.poll_duration = millis{800};
    fleet.drops_starts = true;
    fleet.submit(scripted_fleet::job("a", make_step(2u, 30'000)));
    fleet.run_for(millis{1'000});
    fleet.drops_starts = false;
    fleet.run_for(millis{6'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

TEST_CASE("a job of a priority 0 queue precedes others with a similar latest start time") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.submit(scripted_fleet::job("first", make_step(1u, 60'000)));
    fleet.run_for(millis{300});
    auto urgent = scripted_fleet::job("urgent", make_step(1u, 60'000), millis{300});
    urgent.queue = "urgent";
    fleet.submit(scripted_fleet::job("ordinary", make_step(1u, 60'000), millis{200}));
    fleet.submit(urgent);
    fleet.run_for(millis{4'000});
    REQUIRE(fleet.first_start.contains("ordinary"));
    CHECK(fleet.first_start["urgent"] < fleet.first_start["ordinary"]);
}

TEST_CASE("a wide gang precedes work with a slightly earlier latest start time") {
    queue_rules queue;
    queue.stretch = 3.0;
    struct row {
        std::uint32_t members;
        bool goes_first;
    };
    for(auto const &item: std::array<row, 3u>{{{1u, false}, {2u, false}, {6u, true}}}) {
        CAPTURE(item.members);
        auto const gang = scripted_fleet::job("gang", make_step(item.members, 10'000, true), millis{1'000});
        auto const other = scripted_fleet::job("other", make_step(1u, 10'000));
        auto const now = gang.accepted_at;
        auto const first = rank_of(objective_of(gang, queue), 0u, false, now);
        auto const second = rank_of(objective_of(other, queue), 0u, false, now);
        CHECK((first < second) == item.goes_first);
    }
}

TEST_CASE("a cancelled job loses its runs and stays cancelled") {
    scripted_fleet fleet;
    fleet.submit(scripted_fleet::job("a", make_step(4u, 10'000)));
    fleet.run_for(millis{300});
    fleet.table.cancel("a", fleet.now);
    fleet.leader->cancel_job("a");
    fleet.run_for(millis{300});
    CHECK(fleet.run_count("a") == 0u);
    CHECK(fleet.phase_of("a") == job_phase::cancelled);
    fleet.change_leader();
    fleet.run_for(millis{300});
    CHECK(fleet.starts == 4u);
}

TEST_CASE("the runs of an account stay within its ceiling") {
    scripted_fleet fleet;
    fleet.rules->accounts.front().ceiling = {30'000, 0, 0};
    fleet.submit(scripted_fleet::job("a", make_step(8u, 10'000)));
    fleet.run_for(millis{500});
    CHECK(fleet.run_count("a") == 3u);
    fleet.run_for(millis{4'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

TEST_CASE("a worker gets no new run while it is leaving or evacuated") {
    struct row {
        std::string_view name;
        void (*change)(scripted_fleet &);
    };
    std::array<row, 2u> const rows{{
        {"leaving",
            [](scripted_fleet &fleet) {
                fleet.workers[0].entry.leaving = true;
                fleet.leader->register_worker(fleet.workers[0].entry, fleet.now);
            }},
        {"evacuated", [](scripted_fleet &fleet) { fleet.rules->evacuated.insert("d0"); }},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u, .workers_per_domain = 1u}};
        item.change(fleet);
        fleet.submit(scripted_fleet::job("a", make_step(8u, 10'000)));
        fleet.run_for(millis{500});
        CHECK(fleet.workers[0].runs.empty());
        CHECK(fleet.workers[1].runs.size() == 6u);
    }
}

// A task that had failed on a worker did not run there again until the end of the leadership term, even after the
// worker had restarted.
TEST_CASE("a task may run again on the worker where it failed after that worker has restarted") {
    scripted_fleet fleet{{.workers = 2u, .max_attempts = 3u}};
    fleet.workers[1].reachable = false;
    fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 10'000)));
    fleet.run_for(millis{80});
    REQUIRE(fleet.starts == 1u);
    fleet.behaviour["b"] = {millis{600'000}, run_outcome::done};
    fleet.workers[1].reachable = true;
    fleet.submit(scripted_fleet::job("b", make_step(1u, 60'000)));
    fleet.run_for(millis{500});
    REQUIRE(fleet.run_count("b") == 1u);
    CHECK(fleet.starts == 2u);
    fleet.behaviour["a"] = {millis{100}, run_outcome::done};
    auto &worker = fleet.workers[0];
    worker.completions.clear();
    worker.next_completion = 1u;
    worker.entry.boot = 2u;
    fleet.run_for(millis{500});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

// A task that had failed on every worker that may run it waited until the end of the leadership term.
TEST_CASE("a task that failed on every eligible worker is retried there") {
    struct row {
        std::string_view name;
        std::optional<advice_terms> advice;
        resources other_worker;
        bool is_long_running;
        job_phase phase;
    };
    advice_terms const terms{millis{20}, 1'000, millis{2'000}};
    resources const large{64'000, 262'144, 0};
    resources const small{5'000, 262'144, 0};
    std::array<row, 5u> const rows{{
        {"two workers", std::nullopt, large, false, job_phase::failed},
        {"another worker is too small", std::nullopt, small, false, job_phase::failed},
        {"two workers approved by advice", terms, large, false, job_phase::failed},
        {"another worker is too small, and the other was approved by advice", terms, small, false, job_phase::failed},
        {"a long-running task", std::nullopt, large, true, job_phase::running},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u, .advice = item.advice, .max_attempts = 4u}};
        fleet.workers[1].entry.capacity = item.other_worker;
        fleet.leader->register_worker(fleet.workers[1].entry, fleet.now);
        auto step = make_step(1u, 10'000);
        step.long_running = item.is_long_running;
        fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
        fleet.submit(scripted_fleet::job("a", step));
        fleet.run_for(millis{3'000});
        CHECK(fleet.phase_of("a") == item.phase);
        CHECK(fleet.starts >= 4u);
    }
}

// A task used up its attempts on the worker where it fails while a healthy one was briefly unreachable.
TEST_CASE("a task is not retried where it failed while another worker is briefly unavailable") {
    scripted_fleet fleet{{.workers = 2u, .max_attempts = 4u}};
    fleet.workers[1].reachable = false;
    fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
    fleet.submit(scripted_fleet::job("a", make_step(1u, 10'000)));
    fleet.run_for(millis{6'000});
    CHECK(fleet.starts == 1u);
    fleet.behaviour["a"] = {millis{100}, run_outcome::done};
    fleet.workers[1].reachable = true;
    fleet.run_for(millis{1'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

// Urgent jobs with a failed run were late: each failure cost 100 ms in addition to the append and the next round.
TEST_CASE("a failed run is started again elsewhere at once, and after a delay where that may not help") {
    struct row {
        std::string_view name;
        std::size_t workers;
        std::uint32_t count;
        bool is_gang;
        bool is_long_running;
        bool is_delayed;
    };
    std::array<row, 4u> const rows{{
        {"another worker is free", 2u, 1u, false, false, false},
        {"no other worker", 1u, 1u, false, false, true},
        {"a gang", 2u, 2u, true, false, true},
        {"a long-running task, whose attempts are not limited", 2u, 1u, false, true, true},
    }};
    constexpr millis duration{100};
    constexpr millis delay{100};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = item.workers, .max_attempts = 4u}};
        fleet.behaviour["a"] = {duration, run_outcome::failed};
        auto step = make_step(item.count, 10'000, item.is_gang);
        step.long_running = item.is_long_running;
        fleet.submit(scripted_fleet::job("a", step));
        while(fleet.starts < item.count) {
            fleet.run_round();
        }
        auto const ends_at = fleet.now + duration;
        while(fleet.starts == item.count) {
            fleet.run_round();
        }
        CHECK((fleet.now - ends_at <= 2 * round_interval) == !item.is_delayed);
        CHECK((fleet.now - ends_at >= delay) == item.is_delayed);
    }
}

namespace {

/*! Why the second worker of a fleet takes no task. */
enum class obstacle : std::uint8_t { full, silent, newly_silent, quarantined, no_advice };

/*! Brings a fleet of two workers into the state in which only the first one takes tasks. */
void obstruct_second_worker(scripted_fleet &fleet, obstacle const kind) {
    auto &first = fleet.workers[0];
    auto &second = fleet.workers[1];
    first.reachable = false;
    switch(kind) {
    case obstacle::full:
        fleet.behaviour["filling"] = {millis{600'000}, run_outcome::done};
        fleet.submit(scripted_fleet::job("filling", make_step(1u, 60'000)));
        fleet.run_for(millis{200});
        REQUIRE(fleet.run_count("filling") == 1u);
        break;
    case obstacle::silent:
        fleet.run_for(millis{200});
        second.reachable = false;
        fleet.run_for(millis{12'000});
        break;
    case obstacle::quarantined: {
        auto const failing = {"first", "second"};
        for(auto const *id: failing) {
            fleet.behaviour[id] = {millis{100}, run_outcome::failed};
            fleet.submit(scripted_fleet::job(id, make_step(1u, 10'000)));
        }
        fleet.run_for(millis{300});
        for(auto const *id: failing) {
            fleet.behaviour[id] = {millis{100}, run_outcome::done};
        }
        first.reachable = true;
        fleet.run_for(millis{300});
        REQUIRE(fleet.starts == 4u);
        break;
    }
    case obstacle::newly_silent:
        second.reachable = false;
        break;
    case obstacle::no_advice:
        // It answers once the task has got advice on the first worker.
        second.reachable = false;
        fleet.unadvised = second.entry.name;
        break;
    }
    first.reachable = true;
}

} // namespace

// A task that had failed on all workers with capacity was not tried again for as long as another one was unavailable. A
// long-running task has no limit of attempts, and its users are without service while it does not run.
TEST_CASE("a failed task waits for another worker for a limited time, a long-running one not at all") {
    struct row {
        std::string_view name;
        obstacle other;
        bool is_long_running;
        /*! Capacity of the failing worker that other jobs use. */
        std::int64_t used_millicores;
        /*! Time for which the other worker is waited for. */
        millis wait;
    };
    advice_terms const terms{millis{20}, 1'000, millis{6'000}};
    constexpr millis task_duration{100};
    constexpr millis tolerance{500};
    constexpr millis wait{2'000};
    constexpr millis busy_wait{10'000};
    // From the time at which the worker fell silent, shortly before the failure.
    constexpr millis wait_for_silent{7'600};
    // Without runs for three seconds beside idle capacity, a job counts as lost.
    static_assert(wait + tolerance < millis{3'000});
    std::array<row, 8u> const rows{{
        {"full", obstacle::full, false, 0, wait},
        {"silent for a long time", obstacle::silent, false, 0, wait},
        {"silent for a short time", obstacle::newly_silent, false, 0, wait_for_silent},
        {"quarantined", obstacle::quarantined, false, 0, wait},
        {"queries about it fail", obstacle::no_advice, false, 0, wait},
        {"full, and half of the capacity is in use", obstacle::full, false, 30'000, busy_wait},
        {"full, a long-running task", obstacle::full, true, 0, millis{}},
        {"silent, a long-running task", obstacle::silent, true, 0, millis{}},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto const needs_advice = item.other == obstacle::no_advice;
        scripted_fleet fleet{
            {.workers = 2u, .advice = needs_advice ? std::optional{terms} : std::nullopt, .max_attempts = 4u}};
        obstruct_second_worker(fleet, item.other);
        if(item.used_millicores > 0) {
            fleet.behaviour["beside"] = {millis{600'000}, run_outcome::done};
            fleet.submit(scripted_fleet::job("beside", make_step(1u, item.used_millicores)));
            fleet.run_for(millis{200});
            REQUIRE(fleet.run_count("beside") == 1u);
        }
        auto step = make_step(1u, 10'000);
        step.long_running = item.is_long_running;
        fleet.behaviour["a"] = {task_duration, run_outcome::failed};
        fleet.submit(scripted_fleet::job("a", step));
        while(fleet.run_count("a") == 0u) {
            fleet.run_round();
        }
        auto const starts = fleet.starts;
        auto const failed_at = fleet.now + task_duration;
        fleet.workers[1].reachable = item.other != obstacle::silent && item.other != obstacle::newly_silent;
        while(fleet.starts == starts && fleet.now < failed_at + busy_wait + tolerance) {
            fleet.run_round();
        }
        auto const waited = fleet.now - failed_at;
        CHECK(fleet.starts == starts + 1u);
        CHECK(fleet.workers[0].runs.size() == (item.used_millicores > 0 ? 2u : 1u));
        CHECK(waited >= item.wait);
        CHECK(waited < item.wait + tolerance);
    }
}

// A cancelled job ran to its end: it had been planned before its definition was committed, and the cancellation
// preceded that definition in the log.
TEST_CASE("a job that is known already ends if the log says so when its definition is committed") {
    struct row {
        std::string_view name;
        bool is_cancelled;
        std::optional<job_phase> reported;
        bool is_started;
        job_phase phase;
    };
    std::array<row, 6u> const rows{{
        {"cancelled while its tasks wait", true, std::nullopt, false, job_phase::cancelled},
        {"cancelled while its tasks run", true, std::nullopt, true, job_phase::cancelled},
        {"reported as done", false, job_phase::done, false, job_phase::done},
        {"reported as done and cancelled", true, job_phase::done, false, job_phase::done},
        {"reported as failed", false, job_phase::failed, true, job_phase::failed},
        {"neither", false, std::nullopt, true, job_phase::running},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 1u}};
        fleet.is_log_available = item.is_started;
        fleet.behaviour["a"] = {millis{10'000}, run_outcome::done};
        fleet.submit(scripted_fleet::job("a", make_step(2u, 10'000)));
        fleet.run_for(millis{200});
        REQUIRE(fleet.run_count("a") == (item.is_started ? 2u : 0u));
        job_entry entry = *fleet.table.find("a");
        entry.progress = {};
        entry.cancel_requested = item.is_cancelled;
        entry.reported_phase = item.reported;
        fleet.leader->add_job(entry);
        fleet.is_log_available = true;
        fleet.run_for(millis{1'000});
        CHECK(fleet.phase_of("a") == item.phase);
        CHECK(fleet.run_count("a") == (item.phase == job_phase::running ? 2u : 0u));
        CHECK(fleet.starts == (item.is_started ? 2u : 0u));
    }
}

// A ticket is valid for one boot of its worker. A ticket for an earlier boot was used for the next one, which refused
// the start.
TEST_CASE("advice requested before a worker restarted is not used for its new boot") {
    struct row {
        std::string_view name;
        /*! True if the advice was received before the new boot. */
        bool is_answered_first;
        /*! True if a planning round followed that advice before the new boot. */
        bool is_planned_first;
    };
    std::array<row, 3u> const rows{{
        {"the query was pending", false, false},
        {"it was answered", true, false},
        {"it was answered and the start was planned", true, true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        advice_terms const terms{millis{20}, 1'000, millis{2'000}};
        scripted_fleet fleet{{.workers = 1u, .advice = terms}};
        auto const poll = [&fleet](std::uint64_t const boot) {
            fleet.now += round_interval;
            fleet.leader->record_lease_extension("w0", lease_expiry::at(fleet.now + millis{9'000}));
            fleet.leader->apply_inventory("w0", {boot, {}, {}}, fleet.now, fleet.now);
            auto entry = fleet.workers.front().entry;
            entry.boot = boot;
            fleet.leader->register_worker(entry, fleet.now);
        };
        auto const plan = [&fleet]() {
            dispatch_plan decided;
            fleet.leader->plan(fleet.now, decided);
            return decided.queries;
        };
        std::array<advice_grant, 1u> const early{{{"w0", "early"}}};
        poll(1u);
        fleet.submit(scripted_fleet::job("a", make_step(1u, 10'000)));
        auto const queries = plan();
        REQUIRE(queries.size() == 1u);
        if(item.is_answered_first) {
            fleet.leader->take_advice(queries.front(), early, fleet.now);
        }
        if(item.is_planned_first) {
            REQUIRE(plan().empty());
        }
        poll(2u);
        if(!item.is_answered_first) {
            fleet.leader->take_advice(queries.front(), early, fleet.now);
        }
        CHECK(plan_and_commit(fleet).empty());
        poll(2u);
        // The same query is pending again.
        plan();
        std::array<advice_grant, 1u> const late{{{"w0", "late"}}};
        fleet.leader->take_advice(queries.front(), late, fleet.now);
        auto const starts = plan_and_commit(fleet);
        REQUIRE(starts.size() == 1u);
        CHECK(starts.front().ticket == "late");
    }
}

TEST_CASE("a worker on which several jobs fail is quarantined for a while") {
    scripted_fleet fleet{{.workers = 1u, .max_attempts = 1u}};
    for(auto const *id: {"a", "b"}) {
        fleet.behaviour[id] = {millis{100}, run_outcome::failed};
        fleet.submit(scripted_fleet::job(id, make_step(1u, 10'000)));
    }
    fleet.run_for(millis{500});
    fleet.submit(scripted_fleet::job("c", make_step(1u, 10'000), millis{500}));
    fleet.run_for(millis{500});
    CHECK(fleet.run_count("c") == 0u);
    fleet.run_for(millis{5'000});
    CHECK(fleet.phase_of("c") == job_phase::done);
}

} // namespace kingcuplink::test
