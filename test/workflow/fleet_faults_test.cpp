#include "fleet_simulation.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace kingcuplink::test {

namespace {

/*! Seeds that are played: from the first on, and those that failed once. */
struct seed_range {
    std::uint64_t count{};
    std::vector<std::uint64_t> regression_seeds{};
};

/*! Returns the seeds that KINGCUPLINK_FIRST_SEED and KINGCUPLINK_SEEDS ask for, or the given ones. */
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

/*! Returns what happened to the job of a breach. */
std::string format_timeline(simulation_setup setup) {
    setup.records_timeline = true;
    std::string text;
    for(auto const &line: simulate_fleet(setup).timeline) {
        text += line + "\n";
    }
    return text;
}

/*! Plays seeds; prints each that breaks a rule, and the timeline of the first. */
void run_seeds(simulation_setup setup, seed_range const &range) {
    // Hides what comes of registrations that name an earlier boot, so that other causes show.
    setup.delays_registrations = std::getenv("KINGCUPLINK_PROMPT_REGISTRATIONS") == nullptr;
    auto const seeds = select_seeds(range);
    std::size_t starts{};
    std::size_t broken{};
    for(auto const seed: seeds) {
        setup.seed = seed;
        auto const result = simulate_fleet(setup);
        starts += result.starts;
        if(!result.violations.empty()) {
            MESSAGE("seed " << seed << ": " << result.violations.front());
            if(++broken == 1u) {
                MESSAGE(format_timeline(setup));
            }
        }
    }
    CHECK(broken == 0u);
    CHECK(starts > seeds.size());
}

} // namespace

TEST_CASE("a fleet without faults ends every job and breaks no rule") {
    simulation_setup setup;
    setup.faults.clear();
    run_seeds(setup, {20u});
}

TEST_CASE("each fault by itself breaks no rule") {
    for(auto const fault: fleet_faults) {
        CAPTURE(name_of(fault));
        simulation_setup setup;
        setup.faults = {fault};
        run_seeds(setup, {20u});
    }
}

TEST_CASE("few kinds of faults in quick succession break no rule") {
    struct row {
        std::set<fleet_fault> faults;
        bool commands_name_boot;
    };
    std::array<row, 6u> const rows{{
        {{fleet_fault::node_freeze, fleet_fault::worker_partition}, true},
        {{fleet_fault::late_commands, fleet_fault::worker_partition}, true},
        {{fleet_fault::late_commands, fleet_fault::worker_restart}, true},
        {{fleet_fault::log_failure, fleet_fault::worker_partition}, true},
        {{fleet_fault::log_failure, fleet_fault::node_freeze, fleet_fault::worker_partition}, true},
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

// A new leader dropped a run that it inherited, since the worker's registration named an earlier boot.
TEST_CASE("faults at once break no rule while workers tell their boots apart") {
    run_seeds({}, {150u, {1919u}});
}

// A start that reached the next boot of its worker was lost from the books, or ran beyond its lease there.
TEST_CASE("restarts and cuts in quick succession break no rule while every boot of a worker obeys orders at once") {
    simulation_setup setup;
    setup.commands_name_boot = false;
    setup.faults = {fleet_fault::worker_restart, fleet_fault::worker_partition};
    setup.max_faults = 24;
    run_seeds(setup, {50u, {434u, 621u, 725u, 760u, 826u, 1211u}});
}

// A look at once made the next boot of a worker forget a good end that nobody had read.
TEST_CASE("faults at once break no rule while every boot of a worker obeys orders at once") {
    simulation_setup setup;
    setup.commands_name_boot = false;
    setup.faults.erase(fleet_fault::late_commands);
    run_seeds(setup, {100u, {40738u}});
}

// A boot that nobody had looked at yet carried out a late order to an earlier one.
TEST_CASE("faults at once break no rule while every boot of a worker obeys orders, also late ones") {
    simulation_setup setup;
    setup.commands_name_boot = false;
    run_seeds(setup, {100u, {133u, 203u, 289u, 341u, 363u, 388u, 397u}});
}

// The same, where the boot carries the order out before its leader has looked at it.
TEST_CASE("late orders break no rule in a boot that no leader has looked at yet") {
    simulation_setup setup;
    setup.commands_name_boot = false;
    run_seeds(setup, {0u, {182u, 206u, 327u, 346u}});
}

// A planning round dropped a start that was handed out and not sent yet.
TEST_CASE("faults at once break no rule while a leader's starts wait for its other work") {
    simulation_setup setup;
    setup.defers_starts = true;
    run_seeds(setup, {60u});
}

} // namespace kingcuplink::test
