#include "fixture.hpp"

#include <doctest/doctest.h>

namespace kingcuplink::test {

namespace {

step_definition step_of(std::uint32_t const count, std::int64_t const millicores, bool const gang = false) {
    step_definition step;
    step.count = count;
    step.task_size = {millicores, 1'024, 0};
    step.estimate = millis{1'000};
    step.gang = gang;
    return step;
}

} // namespace

TEST_CASE("a job of steps runs them in order and ends once") {
    scripted_fleet fleet;
    auto job = scripted_fleet::job("a", step_of(3u, 4'000));
    auto second = step_of(2u, 4'000);
    second.after = {0u};
    job.steps.push_back(second);
    fleet.submit(job);
    fleet.run_for(millis{500});
    CHECK(fleet.runs_of("a") == 3u);
    fleet.run_for(millis{1'000});
    CHECK(fleet.runs_of("a") == 2u);
    fleet.run_for(millis{1'500});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.starts == 5u);
}

TEST_CASE("the end of a run decides what becomes of its job") {
    struct row {
        run_outcome how;
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
        CAPTURE(name_of(item.how));
        CAPTURE(item.max_attempts);
        scripted_fleet fleet{{.max_attempts = item.max_attempts}};
        fleet.behaviour["a"] = {millis{1'000}, item.how};
        fleet.submit(scripted_fleet::job("a", step_of(1u, 4'000)));
        // Each run takes 1 s and a round or two.
        fleet.run_for(millis{3'900});
        CHECK(fleet.phase_of("a") == item.phase);
        CHECK(fleet.starts == item.starts);
    }
}

TEST_CASE("a failed end that is listed to two leaders counts once") {
    scripted_fleet fleet{{.max_attempts = 2u}};
    fleet.behaviour["a"] = {millis{400}, run_outcome::failed};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 4'000)));
    auto const failures = [&fleet]() {
        auto const &tasks = fleet.table.find("a")->progress.tasks;
        return tasks.empty() ? 0u : tasks.front().failures;
    };
    for(auto round = 0; round < 100 && failures() == 0u; ++round) {
        fleet.step();
    }
    REQUIRE(failures() == 1u);
    // The log has the end, the worker has not been told so, and another leader begins.
    fleet.behaviour["a"] = {millis{400}, run_outcome::done};
    fleet.change_leader();
    fleet.run_for(millis{1'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

// A job was shown as failed before a task had failed so often: two leaders counted one failed run of a gang.
TEST_CASE("a failed run of a gang whose members are seen by two leaders counts once") {
    for(auto const first_seen: {0u, 1u}) {
        CAPTURE(first_seen);
        scripted_fleet fleet{{.workers = 2u, .max_attempts = 2u}};
        fleet.behaviour["a"] = {millis{400}, run_outcome::failed};
        fleet.submit(scripted_fleet::job("a", step_of(2u, 40'000, true)));
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

// An end that was listed under another worker's name left the run on the books, and the next leader counted it again.
TEST_CASE("a run whose end was taken note of is on no worker in the log") {
    scripted_fleet fleet{{.workers = 2u, .max_attempts = 2u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 20'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.starts == 1u);
    auto const where = fleet.table.find("a")->progress.tasks.front().worker;
    auto const *other = where == "w0" ? "w1" : "w0";
    worker_inventory inventory{1u, {}, {{1u, {"a", 0u, 0u, 1u}, run_outcome::failed, {}}}};
    fleet.leader->apply_inventory(other, inventory, fleet.now, fleet.now);
    auto const batch = fleet.leader->next_batch();
    REQUIRE(batch.records.size() == 1u);
    CHECK(batch.records.front().second.tasks.front().failures == 1u);
    CHECK(batch.records.front().second.tasks.front().worker.empty());
}

TEST_CASE("nothing is started before the log has the intent") {
    scripted_fleet fleet;
    fleet.log_is_up = false;
    fleet.submit(scripted_fleet::job("a", step_of(1u, 4'000)));
    fleet.run_for(millis{500});
    CHECK(fleet.starts == 0u);
    fleet.log_is_up = true;
    fleet.run_for(millis{100});
    CHECK(fleet.starts == 1u);
}

TEST_CASE("an end is forgotten by the worker only once the log has it") {
    scripted_fleet fleet;
    fleet.submit(scripted_fleet::job("a", step_of(1u, 4'000)));
    fleet.run_for(millis{500});
    fleet.log_is_up = false;
    fleet.run_for(millis{1'000});
    CHECK(fleet.workers[0].ends.size() + fleet.workers[1].ends.size() + fleet.workers[2].ends.size() +
            fleet.workers[3].ends.size() ==
        1u);
    fleet.change_leader();
    fleet.log_is_up = true;
    fleet.run_for(millis{200});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.starts == 1u);
}

TEST_CASE("a new leader adopts what runs and starts nothing twice") {
    scripted_fleet fleet;
    fleet.submit(scripted_fleet::job("a", step_of(6u, 20'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.runs_of("a") == 6u);
    fleet.change_leader();
    fleet.run_for(millis{300});
    CHECK(fleet.runs_of("a") == 6u);
    fleet.run_for(millis{1'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.starts == 6u);
}

TEST_CASE("a task on a worker that cannot be asked starts elsewhere only when its lease has surely lapsed") {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 60'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.starts == 1u);
    auto const where = fleet.workers[0].runs.empty() ? 1u : 0u;
    fleet.workers[where].reachable = false;
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

TEST_CASE("a worker that started anew holds nothing of before") {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 60'000)));
    fleet.run_for(millis{300});
    for(auto &item: fleet.workers) {
        item.runs.clear();
        item.ends.clear();
        item.next_end = 1u;
        item.entry.boot = 2u;
    }
    fleet.run_for(millis{1'500});
    CHECK(fleet.starts == 2u);
    CHECK(fleet.phase_of("a") == job_phase::done);
}

// Guards against a task in two places, and a worker that is lost for good, after one entry of another writer.
TEST_CASE("an odd entry under the name of a worker changes nothing for its runs") {
    struct row {
        std::string_view name;
        void (*change)(worker_registration &);
    };
    std::array<row, 5u> const rows{{
        {"absurdly high boot", [](worker_registration &entry) { entry.boot = std::uint64_t{1} << 62u; }},
        {"no boot", [](worker_registration &entry) { entry.boot = 0u; }},
        {"lower boot", [](worker_registration &entry) { entry.boot -= 1u; }},
        {"another address", [](worker_registration &entry) { entry.address = "10.0.0.99:1"; }},
        {"unreadable", nullptr},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u, .first_boot = 5u}};
        fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
        fleet.submit(scripted_fleet::job("a", step_of(1u, 20'000)));
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
            auto odd = worker.entry;
            item.change(odd);
            fleet.leader->register_worker(odd, fleet.now);
        }
        fleet.run_for(millis{500});
        CHECK(fleet.starts == 1u);
        CHECK(fleet.runs_of("a") == 1u);
        CHECK(fleet.stops.empty());
        for(auto const &worker: fleet.workers) {
            fleet.leader->register_worker(worker.entry, fleet.now);
        }
        // One task fits beside the first job's, and two fit on no worker.
        fleet.submit(scripted_fleet::job("b", step_of(2u, 40'000), millis{800}));
        fleet.run_for(millis{300});
        CHECK(fleet.runs_of("b") == 2u);
        CHECK(fleet.runs_of("a") == 1u);
    }
}

// Guards against runs that a new leader does not find because the entry that it read first was odd.
TEST_CASE("a new leader that reads an odd entry first adopts what runs") {
    for(auto const boot: {std::uint64_t{0}, std::uint64_t{4}, std::uint64_t{1} << 62u}) {
        CAPTURE(boot);
        scripted_fleet fleet{{.workers = 2u, .first_boot = 5u}};
        fleet.submit(scripted_fleet::job("a", step_of(1u, 40'000)));
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

TEST_CASE("a worker whose entry tells of another boot or place gets no run until it has answered") {
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
        fleet.submit(scripted_fleet::job("a", step_of(1u, 40'000)));
        fleet.run_for(millis{200});
        CHECK(fleet.leader->figures(fleet.now).usable_workers == 0u);
        CHECK(fleet.starts == 0u);
        fleet.workers[0].reachable = true;
        fleet.run_for(millis{200});
        CHECK(fleet.runs_of("a") == 1u);
    }
}

// Guards against a worker that is ignored for ever because its time of day went back between two starts.
TEST_CASE("a worker that started anew with a lower boot is used, and its earlier runs start again") {
    for(auto const is_registered: {false, true}) {
        CAPTURE(is_registered);
        scripted_fleet fleet{{.workers = 1u, .first_boot = 5u}};
        fleet.submit(scripted_fleet::job("a", step_of(1u, 60'000)));
        fleet.run_for(millis{300});
        REQUIRE(fleet.starts == 1u);
        auto &worker = fleet.workers[0];
        worker.runs.clear();
        worker.next_end = 1u;
        worker.entry.boot = 3u;
        if(is_registered) {
            fleet.leader->register_worker(worker.entry, fleet.now);
        }
        fleet.run_for(millis{1'500});
        CHECK(fleet.starts == 2u);
        CHECK(fleet.phase_of("a") == job_phase::done);
    }
}

// A worker that took a dead one's address was booked under both names, and its ends were counted for both.
TEST_CASE("runs of a worker whose address another one took start again") {
    struct row {
        bool has_answered;
        bool has_moved;
        std::size_t starts;
    };
    // A place other than where the worker last answered proves nothing; a new leader knows the registered one alone.
    std::array<row, 3u> const rows{{{true, false, 2u}, {true, true, 1u}, {false, false, 2u}}};
    for(auto const &item: rows) {
        CAPTURE(item.has_answered);
        CAPTURE(item.has_moved);
        scripted_fleet fleet{{.workers = 2u}};
        fleet.submit(scripted_fleet::job("a", step_of(1u, 20'000)));
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

// A look that was held while its worker started anew was refused by the next boot, whose run was given up and repeated.
TEST_CASE("a refusal of an earlier look does not end a run that was confirmed since") {
    for(auto const is_earlier: {true, false}) {
        CAPTURE(is_earlier);
        scripted_fleet fleet{{.workers = 1u}};
        fleet.look_time = millis{5};
        fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
        fleet.submit(scripted_fleet::job("a", step_of(1u, 20'000)));
        for(auto count = 0; count < 10 && fleet.starts == 0u; ++count) {
            fleet.run_for(round_length);
        }
        REQUIRE(fleet.starts == 1u);
        auto const sent_at = fleet.now + millis{is_earlier ? -1 : 1};
        fleet.leader->worker_replaced("w0", fleet.workers[0].entry.address, sent_at, fleet.now);
        fleet.run_for(millis{1'000});
        CHECK(fleet.starts == (is_earlier ? 1u : 2u));
    }
}

// Ends of a new boot were acknowledged by the numbers of the one before, without a record of them in the log.
TEST_CASE("ends of one boot account for none of the next") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 20'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.starts == 1u);
    fleet.leader->apply_inventory(
        "w0", {1u, {}, {{1u, {"a", 0u, 0u, 1u}, run_outcome::failed, {}}}}, fleet.now, fleet.now);
    auto const batch = fleet.leader->next_batch();
    REQUIRE(batch.ends.size() == 1u);
    fleet.now += round_length;
    fleet.leader->apply_inventory(
        "w0", {2u, {}, {{1u, {"b", 0u, 0u, 1u}, run_outcome::done, {}}}}, fleet.now, fleet.now);
    std::vector<run_start> starts;
    fleet.leader->batch_committed(batch, fleet.now, starts);
    CHECK(fleet.leader->kept_end("w0") == 0u);
    CHECK(fleet.leader->restarts_of("w0") == 1u);
}

TEST_CASE("the token of a worker's later boot is above, and that of a later term above all") {
    CHECK(command_token(7u, 0u) < command_token(7u, 1u));
    CHECK(command_token(7u, 1u) < command_token(8u, 0u));
    CHECK(command_token(7u, std::uint64_t{1} << 40u) < command_token(8u, 0u));
}

// A worker that was off the books for a while began with the token of its first boot, and refused it.
TEST_CASE("a worker that comes back keeps the count of its boots") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.run_for(millis{100});
    fleet.workers[0].entry.boot = 2u;
    fleet.leader->register_worker(fleet.workers[0].entry, fleet.now);
    fleet.run_for(millis{100});
    REQUIRE(fleet.leader->restarts_of("w0") == 1u);
    fleet.leader->unregister_worker("w0");
    dispatch_plan decided;
    fleet.leader->plan(fleet.now, decided);
    REQUIRE(fleet.leader->find_worker("w0") == nullptr);
    fleet.leader->register_worker(fleet.workers[0].entry, fleet.now);
    CHECK(fleet.leader->restarts_of("w0") == 1u);
    fleet.run_for(millis{100});
    CHECK(fleet.leader->restarts_of("w0") == 1u);
}

// An answer from a place that was asked before the true entry came back cost a worker its runs.
TEST_CASE("another worker's answer from a place that is not asked any more changes nothing") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.run_for(millis{100});
    CHECK_FALSE(fleet.leader->worker_replaced("w0", "10.0.0.99:1", fleet.now, fleet.now));
    CHECK_FALSE(fleet.leader->worker_replaced("w0", fleet.workers[0].entry.address, instant{}, fleet.now));
    CHECK(fleet.leader->is_reconciled("w0"));
    // The entry names another place while a question to the true one is on its way.
    auto odd = fleet.workers[0].entry;
    odd.address = "10.0.0.99:1";
    fleet.leader->register_worker(odd, fleet.now);
    fleet.leader->apply_inventory("w0", {odd.boot, {}, {}}, fleet.now - millis{1}, fleet.now);
    CHECK_FALSE(fleet.leader->worker_replaced("w0", odd.address, fleet.now, fleet.now));
}

TEST_CASE("an answer of an earlier boot that comes late changes nothing") {
    scripted_fleet fleet{{.workers = 1u, .first_boot = 5u}};
    fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 60'000)));
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

// A worker lists no more than so many ends at a time: a run whose end came later was in neither list, and started
// again.
TEST_CASE("a run in neither list is gone only if all ends were listed") {
    struct row {
        std::string_view name;
        bool is_new_leader;
        std::uint64_t boot;
        bool has_all_completions;
        std::size_t starts;
    };
    std::array<row, 6u> const rows{{
        {"all ends", false, 1u, true, 2u},
        {"some ends", false, 1u, false, 1u},
        {"all ends, to a new leader", true, 1u, true, 2u},
        {"some ends, to a new leader", true, 1u, false, 1u},
        {"all ends of the next boot", false, 2u, true, 2u},
        {"some ends of the next boot", false, 2u, false, 1u},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 1u}};
        fleet.behaviour["a"] = {millis{600'000}, run_outcome::done};
        fleet.submit(scripted_fleet::job("a", step_of(1u, 60'000)));
        fleet.run_for(millis{100});
        REQUIRE(fleet.runs_of("a") == 1u);
        auto &worker = fleet.workers[0];
        auto const key = worker.runs.front().key;
        worker.reachable = false;
        if(item.is_new_leader) {
            fleet.change_leader();
        }
        worker_inventory inventory{item.boot, {}, {{1u, {"other", 0u, 0u, 1u}, run_outcome::done, {}}}};
        inventory.has_all_completions = item.has_all_completions;
        fleet.now += round_length;
        fleet.leader->record_lease_extension("w0", fleet.now + millis{9'000});
        fleet.leader->apply_inventory("w0", inventory, fleet.now, fleet.now);
        auto const started_again = plan_and_keep(fleet).size();
        CHECK(1u + started_again == item.starts);
        if(!item.has_all_completions) {
            // The end of the run was the next one.
            fleet.now += round_length;
            worker_inventory const rest{item.boot, {}, {{2u, key, run_outcome::done, {}}}};
            fleet.leader->apply_inventory("w0", rest, fleet.now, fleet.now);
            fleet.run_for(round_length);
            CHECK(fleet.phase_of("a") == job_phase::done);
        }
    }
}

// A run that nothing explains was taken off the books as lapsed before its lease was known, and its room given away.
TEST_CASE("room of a run that nothing explains stays taken until its end is listed") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 60'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.runs_of("a") == 1u);
    fleet.table.advance("a", {job_phase::cancelled, {}}, fleet.now);
    fleet.change_leader();
    worker_inventory inventory{1u, {{fleet.workers[0].runs.front().key, {}}}, {}};
    fleet.leader->apply_inventory("w0", inventory, fleet.now, fleet.now);
    fleet.submit(scripted_fleet::job("b", step_of(1u, 60'000)));
    for(auto round = 0; round < 3; ++round) {
        fleet.now += round_length;
        dispatch_plan decided;
        fleet.leader->plan(fleet.now, decided);
        CHECK(fleet.leader->next_batch().starts.empty());
    }
}

// The first of several runs that nothing explains was charged all room that was left, the others nothing.
TEST_CASE("room stays taken while any run that nothing explains is listed") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.submit(scripted_fleet::job("a", step_of(2u, 30'000)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.runs_of("a") == 2u);
    fleet.table.advance("a", {job_phase::cancelled, {}}, fleet.now);
    fleet.change_leader();
    run_key const first{"a", 0u, 0u, 1u};
    run_key const second{"a", 0u, 1u, 1u};
    fleet.leader->apply_inventory("w0", {1u, {{first, {}}, {second, {}}}, {}}, fleet.now, fleet.now);
    fleet.now += round_length;
    fleet.leader->apply_inventory(
        "w0", {1u, {{second, {}}}, {{1u, first, run_outcome::stopped, {}}}}, fleet.now, fleet.now);
    fleet.submit(scripted_fleet::job("b", step_of(1u, 40'000)));
    dispatch_plan decided;
    fleet.leader->plan(fleet.now, decided);
    CHECK(fleet.leader->next_batch().starts.empty());
    fleet.now += round_length;
    fleet.leader->apply_inventory("w0", {1u, {}, {{2u, second, run_outcome::stopped, {}}}}, fleet.now, fleet.now);
    fleet.leader->plan(fleet.now, decided);
    CHECK(fleet.leader->next_batch().starts.size() == 1u);
}

TEST_CASE("a start without an answer counts until the worker has told") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.starts_are_unanswered = true;
    fleet.submit(scripted_fleet::job("a", step_of(1u, 40'000)));
    fleet.submit(scripted_fleet::job("b", step_of(1u, 40'000)));
    fleet.run_for(millis{500});
    CHECK(fleet.starts == 1u);
    CHECK(fleet.fullest() <= 1.0);
    fleet.run_for(millis{2'500});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.phase_of("b") == job_phase::done);
    CHECK(fleet.starts == 2u);
}

// Starts went to a lost worker until its silence counted, and each waited there for the lease to lapse.
TEST_CASE("a worker that left a start unanswered gets no more until it answers") {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.run_for(millis{100});
    fleet.workers[0u].reachable = false;
    fleet.submit(scripted_fleet::job("a", step_of(1u, 40'000)));
    fleet.run_for(millis{100});
    REQUIRE(fleet.runs_of("a") == 0u);
    fleet.submit(scripted_fleet::job("b", step_of(1u, 20'000)));
    fleet.run_for(millis{100});
    CHECK(fleet.runs_of("b") == 1u);
    fleet.workers[0u].reachable = true;
    fleet.workers[1u].reachable = false;
    fleet.submit(scripted_fleet::job("c", step_of(1u, 20'000)));
    fleet.run_for(millis{100});
    CHECK(fleet.runs_of("c") == 1u);
}

// Jobs whose starts got no answer were told as begun, so that callers were told too few waiting ones.
TEST_CASE("a job waits until one of its tasks has surely begun") {
    scripted_fleet fleet{{.workers = 2u}};
    fleet.starts_are_lost = true;
    fleet.submit(scripted_fleet::job("a", step_of(1u, 20'000)));
    fleet.run_for(millis{400});
    CHECK(fleet.phase_of("a") == job_phase::queued);
    CHECK(fleet.table.pending("queue") == 1u);
    fleet.starts_are_lost = false;
    fleet.run_for(millis{800});
    CHECK(fleet.phase_of("a") == job_phase::running);
    CHECK(fleet.table.pending("queue") == 0u);
}

TEST_CASE("a gang starts whole or not at all") {
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
        fleet.submit(scripted_fleet::job("a", step_of(item.members, item.millicores, true)));
        fleet.run_for(millis{500});
        CHECK(fleet.runs_of("a") == (item.starts ? item.members : 0u));
    }
}

TEST_CASE("a gang that loses a member is stopped and started again as a whole") {
    scripted_fleet fleet{{.workers = 4u}};
    fleet.behaviour["a"] = {millis{3'000}, run_outcome::done};
    fleet.submit(scripted_fleet::job("a", step_of(4u, 60'000, true)));
    fleet.run_for(millis{300});
    REQUIRE(fleet.runs_of("a") == 4u);
    fleet.workers[0].runs.clear();
    fleet.workers[0].entry.boot = 2u;
    fleet.run_for(millis{1'000});
    CHECK(fleet.runs_of("a") == 4u);
    CHECK(fleet.starts == 8u);
    for(auto const &item: fleet.workers) {
        REQUIRE(item.runs.size() == 1u);
        CHECK(item.runs.front().key.run == 2u);
    }
}

TEST_CASE("a gang that is over its account's ceiling keeps no other gang from advice") {
    advice_terms const advice{millis{500}, 7'000, millis{2'000}};
    scripted_fleet fleet{{.workers = 4u, .advice = advice}};
    account_rules small;
    small.name = "small";
    small.weight = 1'000.0;
    small.ceiling = {10'000, 0, 0};
    fleet.rules->accounts.push_back(small);
    for(auto pos = 0; pos < 10; ++pos) {
        auto job = scripted_fleet::job("blocked" + std::to_string(pos), step_of(4u, 20'000, true));
        job.account = "small";
        fleet.submit(job);
    }
    fleet.run_for(millis{3'000});
    fleet.submit(scripted_fleet::job("free", step_of(4u, 20'000, true), millis{3'000}));
    fleet.run_for(millis{500});
    CHECK(fleet.runs_of("free") == 4u);
    for(auto pos = 0; pos < 10; ++pos) {
        CHECK(fleet.runs_of("blocked" + std::to_string(pos)) == 0u);
    }
}

TEST_CASE("a start that was lost is kept out and made again") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.starts_are_lost = true;
    fleet.submit(scripted_fleet::job("a", step_of(2u, 30'000)));
    fleet.run_for(millis{100});
    fleet.starts_are_lost = false;
    fleet.run_for(millis{2'500});
    CHECK(fleet.phase_of("a") == job_phase::done);
    CHECK(fleet.starts == 2u);
}

TEST_CASE("a start that was lost is made again although looks take longer than stops are repeated") {
    // A look that was sent before the latest of several stops, but after the first, shows that nothing runs.
    scripted_fleet fleet{{.workers = 1u}};
    fleet.look_time = millis{800};
    fleet.starts_are_lost = true;
    fleet.submit(scripted_fleet::job("a", step_of(2u, 30'000)));
    fleet.run_for(millis{1'000});
    fleet.starts_are_lost = false;
    fleet.run_for(millis{6'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

TEST_CASE("a queue of priority 0 goes before others that have to start as early") {
    scripted_fleet fleet{{.workers = 1u}};
    fleet.submit(scripted_fleet::job("first", step_of(1u, 60'000)));
    fleet.run_for(millis{300});
    auto urgent = scripted_fleet::job("urgent", step_of(1u, 60'000), millis{300});
    urgent.queue = "urgent";
    fleet.submit(scripted_fleet::job("ordinary", step_of(1u, 60'000), millis{200}));
    fleet.submit(urgent);
    fleet.run_for(millis{4'000});
    REQUIRE(fleet.first_start.contains("ordinary"));
    CHECK(fleet.first_start["urgent"] < fleet.first_start["ordinary"]);
}

TEST_CASE("a wide gang goes before work that has to start somewhat earlier") {
    queue_rules queue;
    queue.stretch = 3.0;
    struct row {
        std::uint32_t members;
        bool goes_first;
    };
    for(auto const &item: std::array<row, 3u>{{{1u, false}, {2u, false}, {6u, true}}}) {
        CAPTURE(item.members);
        auto const gang = scripted_fleet::job("gang", step_of(item.members, 10'000, true), millis{1'000});
        auto const other = scripted_fleet::job("other", step_of(1u, 10'000));
        auto const now = gang.accepted_at;
        auto const first = rank_of(objective_of(gang, queue), 0u, false, now);
        auto const second = rank_of(objective_of(other, queue), 0u, false, now);
        CHECK((first < second) == item.goes_first);
    }
}

TEST_CASE("a cancelled job has no runs and stays cancelled") {
    scripted_fleet fleet;
    fleet.submit(scripted_fleet::job("a", step_of(4u, 10'000)));
    fleet.run_for(millis{300});
    fleet.table.cancel("a");
    fleet.leader->cancel_job("a");
    fleet.run_for(millis{300});
    CHECK(fleet.runs_of("a") == 0u);
    CHECK(fleet.phase_of("a") == job_phase::cancelled);
    fleet.change_leader();
    fleet.run_for(millis{300});
    CHECK(fleet.starts == 4u);
}

TEST_CASE("an account stays within its ceiling") {
    scripted_fleet fleet;
    fleet.rules->accounts.front().ceiling = {30'000, 0, 0};
    fleet.submit(scripted_fleet::job("a", step_of(8u, 10'000)));
    fleet.run_for(millis{500});
    CHECK(fleet.runs_of("a") == 3u);
    fleet.run_for(millis{4'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

TEST_CASE("a worker gets no new run while it is leaving, evacuated or failing") {
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
        fleet.submit(scripted_fleet::job("a", step_of(8u, 10'000)));
        fleet.run_for(millis{500});
        CHECK(fleet.workers[0].runs.empty());
        CHECK(fleet.workers[1].runs.size() == 6u);
    }
}

// A task that had failed on a worker did not run there again until the end of the reign, whatever started there anew.
TEST_CASE("a task may run again where it failed once the worker has started anew") {
    scripted_fleet fleet{{.workers = 2u, .max_attempts = 3u}};
    fleet.workers[1].reachable = false;
    fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 10'000)));
    fleet.run_for(millis{80});
    REQUIRE(fleet.starts == 1u);
    fleet.behaviour["b"] = {millis{600'000}, run_outcome::done};
    fleet.workers[1].reachable = true;
    fleet.submit(scripted_fleet::job("b", step_of(1u, 60'000)));
    fleet.run_for(millis{500});
    REQUIRE(fleet.runs_of("b") == 1u);
    CHECK(fleet.starts == 2u);
    fleet.behaviour["a"] = {millis{100}, run_outcome::done};
    auto &worker = fleet.workers[0];
    worker.ends.clear();
    worker.next_end = 1u;
    worker.entry.boot = 2u;
    fleet.run_for(millis{500});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

// A task that had failed on every worker that may run it waited until the end of the reign.
TEST_CASE("a task that failed wherever it may run is tried there again") {
    struct row {
        std::string_view name;
        std::optional<advice_terms> advice;
        resources other_worker;
        bool is_lasting;
        job_phase phase;
    };
    advice_terms const terms{millis{20}, 1'000, millis{2'000}};
    resources const large{64'000, 262'144, 0};
    resources const small{5'000, 262'144, 0};
    std::array<row, 5u> const rows{{
        {"two workers", std::nullopt, large, false, job_phase::failed},
        {"another worker is too small", std::nullopt, small, false, job_phase::failed},
        {"two workers that were advised", terms, large, false, job_phase::failed},
        {"another worker is too small, and the other was advised", terms, small, false, job_phase::failed},
        {"a task that lasts", std::nullopt, large, true, job_phase::running},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{{.workers = 2u, .advice = item.advice, .max_attempts = 4u}};
        fleet.workers[1].entry.capacity = item.other_worker;
        fleet.leader->register_worker(fleet.workers[1].entry, fleet.now);
        auto step = step_of(1u, 10'000);
        step.long_running = item.is_lasting;
        fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
        fleet.submit(scripted_fleet::job("a", step));
        fleet.run_for(millis{3'000});
        CHECK(fleet.phase_of("a") == item.phase);
        CHECK(fleet.starts >= 4u);
    }
}

// A task spent its attempts on the worker where it fails while a sound one was out for a moment.
TEST_CASE("a task does not go back to where it failed while another worker takes no starts for a moment") {
    scripted_fleet fleet{{.workers = 2u, .max_attempts = 4u}};
    fleet.workers[1].reachable = false;
    fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
    fleet.submit(scripted_fleet::job("a", step_of(1u, 10'000)));
    fleet.run_for(millis{6'000});
    CHECK(fleet.starts == 1u);
    fleet.behaviour["a"] = {millis{100}, run_outcome::done};
    fleet.workers[1].reachable = true;
    fleet.run_for(millis{1'000});
    CHECK(fleet.phase_of("a") == job_phase::done);
}

// A task that lasts has no attempts to lose, and its users wait while it is nowhere.
TEST_CASE("a task that lasts goes back to where it failed while other workers are full") {
    for(auto const is_lasting: {true, false}) {
        CAPTURE(is_lasting);
        scripted_fleet fleet{{.workers = 2u, .max_attempts = 4u}};
        fleet.workers[1].reachable = false;
        auto step = step_of(1u, 10'000);
        step.long_running = is_lasting;
        fleet.behaviour["a"] = {millis{100}, run_outcome::failed};
        fleet.submit(scripted_fleet::job("a", step));
        fleet.run_for(millis{80});
        REQUIRE(fleet.starts == 1u);
        fleet.behaviour["b"] = {millis{600'000}, run_outcome::done};
        fleet.workers[1].reachable = true;
        fleet.submit(scripted_fleet::job("b", step_of(1u, 60'000)));
        fleet.run_for(millis{1'000});
        REQUIRE(fleet.runs_of("b") == 1u);
        CHECK((fleet.starts > 2u) == is_lasting);
    }
}

// A ticket holds for one life of its worker: one of an earlier life was booked for the next, and the start refused.
TEST_CASE("advice that was asked before a worker started anew is not used for its new boot") {
    struct row {
        std::string_view name;
        /*! What came before the new boot. */
        bool is_answered_first;
        bool is_planned_first;
    };
    std::array<row, 3u> const rows{{
        {"the question was under way", false, false},
        {"it was answered", true, false},
        {"it was answered, and the start was due", true, true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        advice_terms const terms{millis{20}, 1'000, millis{2'000}};
        scripted_fleet fleet{{.workers = 1u, .advice = terms}};
        auto const look = [&fleet](std::uint64_t const boot) {
            fleet.now += round_length;
            fleet.leader->record_lease_extension("w0", fleet.now + millis{9'000});
            fleet.leader->apply_inventory("w0", {boot, {}, {}}, fleet.now, fleet.now);
        };
        auto const plan = [&fleet]() {
            dispatch_plan decided;
            fleet.leader->plan(fleet.now, decided);
            return decided.queries;
        };
        std::array<advice_grant, 1u> const early{{{"w0", "early"}}};
        look(1u);
        fleet.submit(scripted_fleet::job("a", step_of(1u, 10'000)));
        auto const asked = plan();
        REQUIRE(asked.size() == 1u);
        if(item.is_answered_first) {
            fleet.leader->take_advice(asked.front(), early, fleet.now);
        }
        if(item.is_planned_first) {
            REQUIRE(plan().empty());
        }
        look(2u);
        if(!item.is_answered_first) {
            fleet.leader->take_advice(asked.front(), early, fleet.now);
        }
        CHECK(plan_and_keep(fleet).empty());
        look(2u);
        // The same question is under way again.
        plan();
        std::array<advice_grant, 1u> const late{{{"w0", "late"}}};
        fleet.leader->take_advice(asked.front(), late, fleet.now);
        auto const starts = plan_and_keep(fleet);
        REQUIRE(starts.size() == 1u);
        CHECK(starts.front().ticket == "late");
    }
}

TEST_CASE("a worker that fails several jobs is left alone for a while") {
    scripted_fleet fleet{{.workers = 1u, .max_attempts = 1u}};
    for(auto const *id: {"a", "b"}) {
        fleet.behaviour[id] = {millis{100}, run_outcome::failed};
        fleet.submit(scripted_fleet::job(id, step_of(1u, 10'000)));
    }
    fleet.run_for(millis{500});
    fleet.submit(scripted_fleet::job("c", step_of(1u, 10'000), millis{500}));
    fleet.run_for(millis{500});
    CHECK(fleet.runs_of("c") == 0u);
    fleet.run_for(millis{5'000});
    CHECK(fleet.phase_of("c") == job_phase::done);
}

} // namespace kingcuplink::test
