#include "fleet_simulation.hpp"

#include <array>
#include <cstdlib>
#include <doctest/doctest.h>
#include <kingcuplink/site/timing.hpp>
#include <string>
#include <vector>

namespace kingcuplink::test {

namespace {

/*! Seeds of a test: a count of consecutive seeds, and seeds that failed before. */
struct seed_range {
    std::uint64_t count{};
    std::vector<std::uint64_t> regression_seeds{};
};

/*!
 * Returns the seeds to run. KINGCUPLINK_FIRST_SEED and KINGCUPLINK_SEEDS override the first consecutive seed and
 * the count; if either is set, the regression seeds are left out.
 */
std::vector<std::uint64_t> select_seeds(seed_range const &range) {
    auto const *first = std::getenv("KINGCUPLINK_FIRST_SEED");
    auto const *count = std::getenv("KINGCUPLINK_SEEDS");
    auto seeds = first == nullptr && count == nullptr ? range.regression_seeds : std::vector<std::uint64_t>{};
    auto const begin = first != nullptr ? std::strtoull(first, nullptr, 10) : 1u;
    auto const end = begin + (count != nullptr ? std::strtoull(count, nullptr, 10) : range.count);
    for(auto seed = begin; seed < end; ++seed) {
        seeds.push_back(seed);
    }
    return seeds;
}

/*! Repeats a simulation and returns the timeline of its first violation. */
std::string format_timeline(simulation_setup setup) {
    setup.records_timeline = true;
    std::string text;
    for(auto const &line: simulate_fleet(setup).timeline) {
        text += line + "\n";
    }
    return text;
}

std::string format_near_misses(near_miss_counters const &counters, std::size_t const starts) {
    auto const text_of = [](std::string_view const name, std::size_t const count) {
        return std::string{name} + "=" + std::to_string(count) + " ";
    };
    auto const refused = counters.stale_starts_without_ticket + counters.starts_for_other_boot_without_ticket;
    auto const tickets = refused + counters.repeated_starts == 0u
        ? std::string{}
        : text_of("stale_ticket", counters.stale_starts_without_ticket) +
            text_of("other_boot_ticket", counters.starts_for_other_boot_without_ticket) +
            text_of("repeated", counters.repeated_starts) + text_of("copies", counters.copies_without_effect);
    return text_of("starts", starts) + text_of("restarts", counters.restarts) +
        text_of("under_live_lease", counters.restarts_under_live_lease) +
        text_of("after_lapse", counters.restarts_after_lapse) + text_of("stale_fenced", counters.stale_starts_fenced) +
        text_of("stale_late", counters.stale_starts_expired) + text_of("stale_old", counters.stale_starts_outdated) +
        text_of("stale_other", counters.stale_starts_for_former_worker) + text_of("unknown", counters.unknown_runs) +
        tickets + "shortest_after_lapse_ms=" +
        (counters.restarts_after_lapse > 0u ? std::to_string(counters.shortest_time_after_lapse.count()) : "none");
}

/*!
 * Runs a simulation for each seed; prints the seeds that violate a rule, and the timeline of the first of them. Returns
 * the near misses of all seeds.
 */
near_miss_counters run_seeds(simulation_setup setup, seed_range const &range) {
    // Prompt registrations exclude failures due to registrations of an earlier boot, to expose other causes.
    setup.delays_registrations = std::getenv("KINGCUPLINK_PROMPT_REGISTRATIONS") == nullptr;
    auto const seeds = select_seeds(range);
    std::size_t starts{};
    std::size_t violating_seeds{};
    near_miss_counters near_misses;
    for(auto const seed: seeds) {
        setup.seed = seed;
        auto const result = simulate_fleet(setup);
        starts += result.starts;
        near_misses += result.near_misses;
        if(!result.violations.empty()) {
            MESSAGE("seed " << seed << ": " << result.violations.front());
            if(++violating_seeds == 1u) {
                MESSAGE(format_timeline(setup));
            }
        }
    }
    MESSAGE(format_near_misses(near_misses, starts));
    CHECK(violating_seeds == 0u);
    CHECK(starts > seeds.size());
    return near_misses;
}

/*! Runs simulations in which starts carry tickets and commands name no boot. */
near_miss_counters run_seeds_with_tickets(
    simulation_setup setup, ticket_terms const &tickets, seed_range const &range) {
    setup.commands_name_boot = false;
    setup.tickets = tickets;
    return run_seeds(setup, range);
}

} // namespace

TEST_CASE("a fleet without faults ends every job and violates no rule") {
    simulation_setup setup;
    setup.faults.clear();
    run_seeds(setup, {20u});
}

TEST_CASE("each kind of fault alone violates no rule") {
    for(auto const fault: fleet_faults) {
        CAPTURE(name_of(fault));
        simulation_setup setup;
        setup.faults = {fault};
        run_seeds(setup, {20u});
    }
}

TEST_CASE("frequent faults of two or three kinds violate no rule") {
    struct row {
        std::set<fleet_fault> faults;
        bool commands_name_boot;
    };
    std::array<row, 6u> const rows{{
        {{fleet_fault::node_pause, fleet_fault::worker_partition}, true},
        {{fleet_fault::late_commands, fleet_fault::worker_partition}, true},
        {{fleet_fault::late_commands, fleet_fault::worker_restart}, true},
        {{fleet_fault::log_failure, fleet_fault::worker_partition}, true},
        {{fleet_fault::log_failure, fleet_fault::node_pause, fleet_fault::worker_partition}, true},
        {{fleet_fault::worker_restart, fleet_fault::worker_partition, fleet_fault::node_restart}, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(name_of(*item.faults.begin()));
        simulation_setup setup;
        setup.commands_name_boot = item.commands_name_boot;
        setup.faults = item.faults;
        setup.max_faults = 16;
        run_seeds(setup, {15u});
    }
}

// Guards against a new leader that drops a run of its predecessor because the registration of the worker still names an
// earlier boot.
TEST_CASE("concurrent faults violate no rule if commands name the boot") {
    run_seeds({}, {150u, {1919u}});
}

// Guards against a start that is executed by the next boot of its worker: the leader lost track of the run, or the run
// outlived its lease.
TEST_CASE("frequent worker restarts and partitions violate no rule if commands name no boot") {
    simulation_setup setup;
    setup.commands_name_boot = false;
    setup.faults = {fleet_fault::worker_restart, fleet_fault::worker_partition};
    setup.max_faults = 24;
    run_seeds(setup, {50u, {434u, 621u, 725u, 760u, 826u, 1211u}});
}

// Guards against an immediate poll that acknowledges completions of the next boot of a worker: a successful completion
// was discarded before any leader had read it.
TEST_CASE("concurrent faults except late commands violate no rule if commands name no boot") {
    simulation_setup setup;
    setup.commands_name_boot = false;
    setup.faults.erase(fleet_fault::late_commands);
    run_seeds(setup, {100u, {40738u}});
}

// Guards against late commands to an earlier boot that a boot executes before it was polled: a start, an extension of a
// lease, or an acknowledgement.
TEST_CASE("concurrent faults, including late commands, violate no rule if commands name no boot") {
    simulation_setup setup;
    setup.commands_name_boot = false;
    run_seeds(setup, {100u, {133u, 203u, 289u, 341u, 363u, 388u, 397u}});
}

// The same failure, if the boot executes the late command before its current leader has polled it.
TEST_CASE("late orders break no rule in a boot that no leader has looked at yet") {
    simulation_setup setup;
    setup.commands_name_boot = false;
    run_seeds(setup,
        {60u,
            {182u, 206u, 327u, 346u, 700021u, 700125u, 700142u, 700175u, 700195u, 700208u, 700221u, 700449u, 700522u,
                701230u, 701366u, 701601u}});
}

// The same with every kind of fault: the platform bounds the delay of commands, also of those that a partition holds.
TEST_CASE("concurrent faults of all kinds violate no rule if commands name no boot") {
    struct row {
        millis lease_limit;
        std::int64_t max_faults;
        double long_step_share;
    };
    std::array<row, 3u> const rows{{
        {millis{12'000}, 12, 0.1},
        {millis{6'000}, 24, 0.1},
        {millis{6'000}, 24, 0.5},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.lease_limit.count());
        CAPTURE(item.long_step_share);
        simulation_setup setup;
        setup.commands_name_boot = false;
        setup.faults = {all_fleet_faults.begin(), all_fleet_faults.end()};
        setup.lease_limit = item.lease_limit;
        setup.max_faults = item.max_faults;
        setup.long_step_share = item.long_step_share;
        setup.max_request_delay = millis{12'000};
        run_seeds(setup, {25u});
    }
}

// Starts carry tickets in the next three tests: a boot rejects a start that was delayed on its way to an earlier one.
// Each test checks that some starts were rejected by another boot only because of their ticket, and that workers
// received copies of starts that were sent again.
TEST_CASE("concurrent faults, including late commands, violate no rule if tickets name the boot") {
    auto const near_misses = run_seeds_with_tickets({}, {millis{1'500}, true}, {60u});
    CHECK(near_misses.starts_for_other_boot_without_ticket > 0u);
    CHECK(near_misses.repeated_starts > 0u);
    CHECK(near_misses.copies_without_effect > 0u);
}

// Here only the age of its ticket gives such a start away.
TEST_CASE("concurrent faults, including late commands, violate no rule if tickets expire before they arrive") {
    auto const near_misses = run_seeds_with_tickets({}, {millis{1'500}, false}, {60u, {803543u, 805513u}});
    CHECK(near_misses.starts_for_other_boot_without_ticket > 0u);
    CHECK(near_misses.repeated_starts > 0u);
    CHECK(near_misses.copies_without_effect > 0u);
}

// Guards against a late poll that was meant for an earlier boot. A boot that the leader has not polled yet executes a
// start at once, by a ticket that was issued for this boot, and the poll acknowledges the end of the run before any
// leader has read it.
TEST_CASE("late polls to an earlier boot discard no end of a run that a ticket allowed") {
    run_seeds_with_tickets({}, {millis{1'500}, true}, {0u, {805513u}});
    simulation_setup setup;
    setup.faults = {fleet_fault::worker_restart, fleet_fault::late_commands, fleet_fault::worker_partition,
        fleet_fault::node_pause};
    setup.max_faults = 30;
    auto const near_misses = run_seeds_with_tickets(setup, {millis{1'500}, true}, {40u, {800738u, 800952u}});
    CHECK(near_misses.starts_for_other_boot_without_ticket > 0u);
    CHECK(near_misses.repeated_starts > 0u);
    CHECK(near_misses.copies_without_effect > 0u);
}

// Guards against a planning round that drops a start which was committed and passed on, but not sent yet.
TEST_CASE("concurrent faults violate no rule if starts wait for other work of the leader") {
    simulation_setup setup;
    setup.defers_starts = true;
    run_seeds(setup, {60u});
}

// Guards against entry VMs that send relayed starts after a pause, when a successor of the leader no longer counts with
// them.
TEST_CASE("concurrent faults of all kinds violate no rule if entry VMs relay starts") {
    struct row {
        bool renames_restarted_workers;
        std::optional<ticket_terms> tickets;
    };
    std::array<row, 4u> const rows{{{true, std::nullopt}, {true, ticket_terms{millis{1'500}, true}},
        {false, std::nullopt}, {false, ticket_terms{millis{1'500}, true}}}};
    for(auto const &item: rows) {
        CAPTURE(item.renames_restarted_workers);
        CAPTURE(item.tickets.has_value());
        simulation_setup setup;
        setup.start_relay_lifetime = timing::start_relay_lifetime;
        setup.renames_restarted_workers = item.renames_restarted_workers;
        setup.commands_name_boot = item.renames_restarted_workers;
        setup.faults = {all_fleet_faults.begin(), all_fleet_faults.end()};
        setup.lease_limit = millis{6'000};
        setup.max_faults = 24;
        setup.max_request_delay = millis{12'000};
        setup.tickets = item.tickets;
        run_seeds(setup, {40u});
    }
}

// Guards against a leader without the log that extends leases for as long as it reaches a worker which its successor
// does not reach: the successor waits for the lease that the last append allowed.
TEST_CASE("a leader without the log extends no lease for longer than its successor waits") {
    simulation_setup setup;
    setup.renames_restarted_workers = true;
    setup.faults = {fleet_fault::fleet_split};
    setup.lease_limit = millis{6'000};
    setup.long_step_share = 0.2;
    setup.longest_step = millis{40'000};
    setup.max_faults = 3;
    run_seeds(setup, {25u, {47u, 86u, 114u, 145u, 164u, 216u, 300u}});
}

// Each boot of a worker has a name of its own from here on, as on the platform: no guard may rely on shared names.

TEST_CASE("each kind of fault alone violates no rule if each boot has a name of its own") {
    for(auto const fault: all_fleet_faults) {
        CAPTURE(name_of(fault));
        simulation_setup setup;
        setup.renames_restarted_workers = true;
        setup.faults = {fault};
        setup.max_faults = 20;
        run_seeds(setup, {10u});
    }
}

// Guards against a leader that extends leases for longer than its successor waits for them, and against conclusions
// from lists that are older than what they are compared with: both need runs that outlast their leases.
TEST_CASE("runs that outlast their leases run once while leaders and workers are cut off") {
    struct row {
        std::string_view name;
        std::set<fleet_fault> faults;
    };
    std::array<row, 5u> const rows{{
        {"leaders pause between two readings of their clock",
            {fleet_fault::midway_pause, fleet_fault::worker_partition}},
        {"leaders lose the log and reach the workers alone", {fleet_fault::log_failure, fleet_fault::worker_partition}},
        {"leaders pause", {fleet_fault::node_pause, fleet_fault::worker_partition}},
        {"commands and appends are held and delivered later",
            {fleet_fault::held_requests, fleet_fault::late_commands, fleet_fault::log_failure}},
        {"registrations are lost beside changes of the leader",
            {fleet_fault::registration_loss, fleet_fault::worker_partition, fleet_fault::node_restart}},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        simulation_setup setup;
        setup.renames_restarted_workers = true;
        setup.faults = item.faults;
        setup.lease_limit = millis{6'000};
        setup.long_step_share = 0.7;
        setup.max_faults = 24;
        run_seeds(setup, {25u, {195u}});
    }
}

TEST_CASE("concurrent faults of all kinds violate no rule if each boot has a name of its own") {
    struct row {
        millis lease_limit;
        std::int64_t max_workers;
        std::int64_t max_nodes;
        std::int64_t max_faults;
        std::uint64_t seeds;
        std::optional<ticket_terms> tickets;
    };
    constexpr ticket_terms tickets{millis{1'500}, true};
    std::array<row, 5u> const rows{{
        {millis{6'000}, 6, 3, 24, 80u, std::nullopt},
        {millis{10'000}, 6, 3, 24, 60u, std::nullopt},
        {millis{6'000}, 24, 6, 60, 15u, std::nullopt},
        {millis{6'000}, 6, 3, 24, 60u, tickets},
        {millis{6'000}, 24, 6, 60, 10u, tickets},
    }};
    near_miss_counters near_misses;
    for(auto const &item: rows) {
        CAPTURE(item.lease_limit.count());
        CAPTURE(item.max_workers);
        simulation_setup setup;
        setup.renames_restarted_workers = true;
        setup.faults = {all_fleet_faults.begin(), all_fleet_faults.end()};
        setup.lease_limit = item.lease_limit;
        setup.max_workers = item.max_workers;
        setup.max_nodes = item.max_nodes;
        setup.max_faults = item.max_faults;
        setup.tickets = item.tickets;
        near_misses += run_seeds(setup, {item.seeds});
    }
    // The faults have to bring the guards into play.
    CHECK(near_misses.restarts_under_live_lease > 0u);
    CHECK(near_misses.restarts_after_lapse > 0u);
    CHECK(near_misses.stale_starts_fenced > 0u);
}

} // namespace kingcuplink::test
