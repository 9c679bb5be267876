#ifndef KINGCUPLINK_TEST_WORKFLOW_FLEET_SIMULATION_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_FLEET_SIMULATION_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink::test {

/*! Kinds of faults that a simulation can inject. */
enum class fleet_fault : std::uint8_t {
    /*! A worker crashes and restarts under the same name with a new boot. */
    worker_restart,
    /*! Requests to workers get no answer and may be executed seconds later. */
    late_commands,
    /*! The network between a worker and some or all entry VMs fails in one or both directions. */
    worker_partition,
    /*! The process of an entry VM, usually of the leader, is paused. */
    node_pause,
    /*! The process of an entry VM ends and restarts. */
    node_restart,
    /*! The log loses answers, executes appends late, rejects them, or is unreachable from entry VMs. */
    log_failure
};

/*! All kinds of faults. */
inline constexpr std::array<fleet_fault, 6u> fleet_faults{fleet_fault::worker_restart, fleet_fault::late_commands,
    fleet_fault::worker_partition, fleet_fault::node_pause, fleet_fault::node_restart, fleet_fault::log_failure};

/*! Returns the name of a kind of fault. */
[[nodiscard]] std::string_view name_of(fleet_fault fault) noexcept;

/*! Parameters of a simulation. */
struct simulation_setup {
    std::uint64_t seed{1u};
    /*! True if commands name the boot that they are meant for; otherwise every boot of the worker executes them. */
    bool commands_name_boot{true};
    /*! True if other work of the leader may run between the commit of an intent and its start command. */
    bool defers_starts{};
    /*! True if the registration of a restarted worker is delayed, as in real deployments. */
    bool delays_registrations{true};
    std::set<fleet_fault> faults{fleet_faults.begin(), fleet_faults.end()};
    /*! Upper bound of the number of injected faults; the lower bound is three. */
    std::int64_t max_faults{12};
    /*! True to record the timeline. */
    bool records_timeline{};
};

/*! Result of a simulation. */
struct simulation_result {
    /*! Descriptions of the violated rules. */
    std::vector<std::string> violations;
    /*! Events that concern the job of the first violation, each with its virtual time; empty unless recorded. */
    std::vector<std::string> timeline;
    std::size_t starts{};
    std::size_t terms{};
    std::size_t jobs_ended{};
    std::size_t faults{};
};

/*!
 * Runs the dispatcher against injected faults in virtual time. The fleet consists of
 * entry VMs that read one log and become leader one after another, and of workers that
 * follow the worker protocol. Deterministic: equal setups give equal results.
 */
[[nodiscard]] simulation_result simulate_fleet(simulation_setup const &setup);

} // namespace kingcuplink::test

#endif
