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

/*! Returns the settings of a fleet of one worker. */
scripted_fleet_options options_with(bool const has_advice) {
    scripted_fleet_options options{.workers = 1u};
    if(has_advice) {
        options.advice = advice_terms{millis{10}, 0, millis{2'000}};
    }
    return options;
}

/*! Plans one round, in which the adviser approves all workers, and returns its batch for the log. */
progress_batch plan_intent(scripted_fleet &fleet) {
    // A step with advice is queried in the first pass and placed in the second.
    for(auto pass = 0; pass < 2; ++pass) {
        dispatch_plan plan;
        fleet.leader->plan(fleet.now, plan);
        for(auto const &query: plan.queries) {
            std::vector<advice_grant> grants;
            for(auto const &worker: query.workers) {
                grants.push_back({worker, "ticket"});
            }
            fleet.leader->take_advice(query, grants, fleet.now);
        }
    }
    return fleet.leader->next_batch();
}

/*! Plans one round with its batch committed immediately, and returns the number of starts. */
std::size_t count_starts(scripted_fleet &fleet) {
    std::vector<run_start> starts;
    fleet.leader->batch_committed(plan_intent(fleet), fleet.now, starts);
    return starts.size();
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

// Workers came back under their names as another kind, and got tasks by the registration of the boot before.
TEST_CASE("a boot of a worker gets no tasks by the registration of another boot") {
    struct row {
        std::string_view name;
        /*! Registers the boot that answers as a worker that may not run the task. */
        void (*change)(worker_registration &);
        /*! True if the queue needs advice. */
        bool has_advice;
        /*! True if the leader knew the earlier boot; false if it began after the restart. */
        bool knew_earlier_boot;
    };
    std::array<row, 9u> const rows{{
        {"label", [](auto &entry) { entry.labels = {"other"}; }, false, true},
        {"capacity",
            [](auto &entry) {
                entry.capacity = {5'000, 65'536, 0};
            },
            false, true},
        {"service", [](auto &entry) { entry.service = "other"; }, false, true},
        {"failure domain", [](auto &entry) { entry.domain = "evacuated"; }, false, true},
        {"label, with advice", [](auto &entry) { entry.labels = {"other"}; }, true, true},
        {"label, new leader", [](auto &entry) { entry.labels = {"other"}; }, false, false},
        {"capacity, new leader",
            [](auto &entry) {
                entry.capacity = {5'000, 65'536, 0};
            },
            false, false},
        {"service, new leader", [](auto &entry) { entry.service = "other"; }, false, false},
        {"label, with advice, new leader", [](auto &entry) { entry.labels = {"other"}; }, true, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{options_with(item.has_advice)};
        fleet.rules->evacuated.insert("evacuated");
        auto entry = fleet.workers.front().entry;
        entry.labels = {"kind"};
        fleet.leader->register_worker(entry, fleet.now);
        if(item.knew_earlier_boot) {
            report_inventory(fleet, "w0", 1u, {});
            fleet.now += round_interval;
        }
        report_inventory(fleet, "w0", 2u, {});
        auto step = single_task_step();
        step.required_label = "kind";
        fleet.submit(scripted_fleet::job("a", step));
        CHECK(count_starts(fleet) == 0u);

        // The registration of the boot that answers decides, whichever it is.
        auto other = entry;
        other.boot = 2u;
        item.change(other);
        fleet.leader->register_worker(other, fleet.now);
        report_inventory(fleet, "w0", 2u, {});
        CHECK(count_starts(fleet) == 0u);

        entry.boot = 2u;
        fleet.leader->register_worker(entry, fleet.now);
        report_inventory(fleet, "w0", 2u, {});
        CHECK(count_starts(fleet) == 1u);
    }
}

// A start that waited for its record in the log was sent to the next boot of the worker, which was of another kind.
TEST_CASE("a start that was planned for a boot of a worker is not sent to the next one") {
    struct row {
        std::string_view name;
        bool has_advice;
        /*! True if the registration of the new boot arrives before the first poll of it. */
        bool is_registered_first;
        bool is_other_kind;
    };
    std::array<row, 5u> const rows{{
        {"other kind", false, false, true},
        {"other kind, registered first", false, true, true},
        {"other kind, with advice", true, false, true},
        {"same kind", false, false, false},
        {"same kind, registered first", false, true, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{options_with(item.has_advice)};
        auto entry = fleet.workers.front().entry;
        entry.labels = {"kind"};
        fleet.leader->register_worker(entry, fleet.now);
        report_inventory(fleet, "w0", 1u, {});
        auto step = single_task_step();
        step.required_label = "kind";
        fleet.submit(scripted_fleet::job("a", step));
        auto const batch = plan_intent(fleet);
        REQUIRE(batch.starts.size() == 1u);

        fleet.now += round_interval;
        entry.boot = 2u;
        entry.labels = {item.is_other_kind ? "other" : "kind"};
        if(item.is_registered_first) {
            fleet.leader->register_worker(entry, fleet.now);
        }
        report_inventory(fleet, "w0", 2u, {});
        if(!item.is_registered_first) {
            fleet.leader->register_worker(entry, fleet.now);
            report_inventory(fleet, "w0", 2u, {});
        }
        std::vector<run_start> starts;
        fleet.leader->batch_committed(batch, fleet.now, starts);
        CHECK(starts.empty());

        fleet.now += round_interval;
        report_inventory(fleet, "w0", 2u, {});
        CHECK(count_starts(fleet) == (item.is_other_kind ? 0u : 1u));
    }
}

// A worker crashed and came back as another kind. Its poll had failed, but it counted as responsive for 2.5 s after its
// last answer, and the new boot executed a start before a poll had shown it.
TEST_CASE("a worker gets no tasks after a poll without an answer until it has answered a later one") {
    struct row {
        std::string_view name;
        bool has_advice;
        /*! Time at which the answered poll was sent, relative to the failed one. */
        millis answered_after;
        bool is_used;
    };
    std::array<row, 5u> const rows{{
        {"no answer", false, millis{-round_interval}, false},
        {"no answer, with advice", true, millis{-round_interval}, false},
        {"an answer to a poll that was sent at the same time", false, millis{}, false},
        {"an answer to a later poll", false, millis{1}, true},
        {"an answer to a later poll, with advice", true, millis{1}, true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_fleet fleet{options_with(item.has_advice)};
        report_inventory(fleet, "w0", 1u, {});
        fleet.now += round_interval;
        auto const sent_at = fleet.now;
        fleet.now += round_interval;
        fleet.leader->poll_failed("w0", sent_at);
        CHECK(fleet.leader->has_failed_poll("w0"));
        fleet.leader->apply_inventory("w0", {1u, {}, {}}, sent_at + item.answered_after, fleet.now);
        CHECK(fleet.leader->has_failed_poll("w0") != item.is_used);
        fleet.submit(scripted_fleet::job("a", single_task_step()));
        CHECK(count_starts(fleet) == (item.is_used ? 1u : 0u));
    }
}

// A run whose size is not known was charged the capacity of the boot before, and the worker was filled beside it.
TEST_CASE("a worker with a run of unknown size stays full when its registration changes") {
    scripted_fleet fleet{{.workers = 1u}};
    auto entry = fleet.workers.front().entry;
    report_inventory(fleet, "w0", 1u, {});
    fleet.now += round_interval;
    report_inventory(fleet, "w0", 2u, {{"unknown", 0u, 0u, 1u}});
    fleet.now += round_interval;
    entry.boot = 2u;
    entry.capacity = entry.capacity * 2;
    fleet.leader->register_worker(entry, fleet.now);
    report_inventory(fleet, "w0", 2u, {{"unknown", 0u, 0u, 1u}});
    fleet.submit(scripted_fleet::job("a", single_task_step()));
    CHECK(count_starts(fleet) == 0u);

    fleet.now += round_interval;
    report_inventory(fleet, "w0", 2u, {});
    CHECK(count_starts(fleet) == 1u);
}

} // namespace kingcuplink::test
