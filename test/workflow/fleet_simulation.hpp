#ifndef KINGCUPLINK_TEST_WORKFLOW_FLEET_SIMULATION_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_FLEET_SIMULATION_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink::test {

/*! What a simulation may draw from its seed. */
enum class fleet_fault : std::uint8_t {
    /*! A worker crashes and starts again under its name. */
    worker_restart,
    /*! Orders get no answer and are carried out seconds later. */
    late_commands,
    /*! A worker is cut off from some or all entry VMs, one way or both. */
    worker_partition,
    /*! An entry VM stands still, mostly the leader. */
    node_freeze,
    /*! An entry VM's process ends and starts again. */
    node_restart,
    /*! The log loses answers, carries appends out late, refuses them, or cannot be reached by an entry VM. */
    log_failure
};

/*! All faults. */
inline constexpr std::array<fleet_fault, 6u> fleet_faults{fleet_fault::worker_restart, fleet_fault::late_commands,
    fleet_fault::worker_partition, fleet_fault::node_freeze, fleet_fault::node_restart, fleet_fault::log_failure};

/*! Returns the name of a fault. */
[[nodiscard]] std::string_view name_of(fleet_fault fault) noexcept;

/*! What is played. */
struct simulation_setup {
    std::uint64_t seed{1u};
    /*! True if a worker tells which boot an order is meant for; otherwise all its boots carry it out. */
    bool commands_name_boot{true};
    /*! True if other work of the leader may run between the log's answer and the sending of a start. */
    bool defers_starts{};
    /*! True if the registration of a worker that restarted comes late, as it does. */
    bool delays_registrations{true};
    std::set<fleet_fault> faults{fleet_faults.begin(), fleet_faults.end()};
    /*! Most faults that are drawn; there are three at least. */
    std::int64_t max_faults{12};
    /*! True to keep the timeline. */
    bool records_timeline{};
};

/*! What came of it. */
struct simulation_result {
    /*! Rules that were broken, with the time. */
    std::vector<std::string> violations;
    /*! Who did what to the job of the first breach, if the timeline was kept. */
    std::vector<std::string> timeline;
    std::size_t starts{};
    std::size_t terms{};
    std::size_t jobs_ended{};
    std::size_t faults{};
};

/*!
 * Plays faults in virtual time against the dispatcher: entry VMs that fold one log and
 * lead in turn, and workers that obey as their interface says. The same setup gives the
 * same result.
 */
[[nodiscard]] simulation_result simulate_fleet(simulation_setup const &setup);

} // namespace kingcuplink::test

#endif
