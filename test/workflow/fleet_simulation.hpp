#ifndef KINGCUPLINK_TEST_WORKFLOW_FLEET_SIMULATION_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_FLEET_SIMULATION_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <optional>
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
    log_failure,
    /*! The registrations of live workers are removed and return later. */
    registration_loss,
    /*! A worker announces that it leaves, goes earlier or later, and another one takes its address. */
    worker_departure,
    /*! A worker rejects starts although it is up, or its runs make no progress. */
    worker_stall,
    /*! Partitions hold requests and appends, and deliver them when they end. */
    held_requests,
    /*! Entry VMs read an earlier state of the log. */
    stale_reads,
    /*! Entry VMs lose their position in the log and read the newest records by key, page by page. */
    log_compaction,
    /*! The leader resigns. */
    leader_resignation,
    /*! An entry VM is paused between two readings of its clock within one event. */
    midway_pause,
    /*! Callers cancel jobs. */
    job_cancellation,
    /*! The leader loses the log and all workers but one, which the other entry VMs lose. */
    fleet_split
};

/*! Kinds of faults that are injected unless a simulation names others. */
inline constexpr std::array<fleet_fault, 6u> fleet_faults{fleet_fault::worker_restart, fleet_fault::late_commands,
    fleet_fault::worker_partition, fleet_fault::node_pause, fleet_fault::node_restart, fleet_fault::log_failure};

/*! All kinds of faults. */
inline constexpr std::array<fleet_fault, 15u> all_fleet_faults{fleet_fault::worker_restart, fleet_fault::late_commands,
    fleet_fault::worker_partition, fleet_fault::node_pause, fleet_fault::node_restart, fleet_fault::log_failure,
    fleet_fault::registration_loss, fleet_fault::worker_departure, fleet_fault::worker_stall,
    fleet_fault::held_requests, fleet_fault::stale_reads, fleet_fault::log_compaction, fleet_fault::leader_resignation,
    fleet_fault::midway_pause, fleet_fault::job_cancellation};

/*! Returns the name of a kind of fault. */
[[nodiscard]] std::string_view name_of(fleet_fault fault) noexcept;

/*! Tickets without which workers reject starts. */
struct ticket_terms {
    /*! Time from its issue during which a ticket is valid. */
    millis validity{};
    /*! True if a ticket is valid only for the boot of its worker for which it was issued. */
    bool names_boot{true};
};

/*! Parameters of a simulation. */
struct simulation_setup {
    std::uint64_t seed{1u};
    /*! True if commands name the boot that they are meant for; otherwise every boot of the worker executes them. */
    bool commands_name_boot{true};
    /*! True if each boot of a worker has a name of its own and the address of the boot before. */
    bool renames_restarted_workers{};
    /*! Number of workers and of entry VMs: between the lower and the upper bounds. */
    std::int64_t min_workers{4};
    std::int64_t max_workers{6};
    std::int64_t min_nodes{2};
    std::int64_t max_nodes{3};
    /*! Longest lease that workers grant. */
    millis lease_limit{12'000};
    /*! True if other work of the leader may run between the commit of an intent and its start command. */
    bool defers_starts{};
    /*! Time for which an entry VM may send a start that it relays for the leader; none relays if empty. */
    std::optional<millis> start_relay_lifetime{};
    /*! True if the registration of a restarted worker is delayed, as in real deployments. */
    bool delays_registrations{true};
    /*! Longest time after its sending at which a worker executes a request; unlimited if empty. */
    std::optional<millis> max_request_delay{};
    std::set<fleet_fault> faults{fleet_faults.begin(), fleet_faults.end()};
    /*! Share of the steps whose tasks run for longer than a lease. */
    double long_step_share{0.1};
    /*! Longest estimate of such a step. */
    millis longest_step{16'000};
    /*! Upper bound of the number of injected faults; the lower bound is three. */
    std::int64_t max_faults{12};
    /*! Set if starts need tickets of the adviser. */
    std::optional<ticket_terms> tickets{};
    /*! True to record the timeline. */
    bool records_timeline{};
};

/*! Counters of situations in which a guard, and not the order of events, excluded a second run of a task. */
struct near_miss_counters {
    /*! Starts of a task that had been started before. */
    std::size_t restarts{};
    /*!
     * Restarts while another worker, to which the log assigned the task before and which has listed no end of it, is up
     * and holds a lease.
     */
    std::size_t restarts_under_live_lease{};
    /*! Restarts after a run of the task lapsed with the lease of its worker. */
    std::size_t restarts_after_lapse{};
    /*! Shortest time between such a lapse and the restart; the leader may have read of the lapse in a list. */
    millis shortest_time_after_lapse{millis::max()};
    /*! Starts that a worker rejected while a later run of the task was started elsewhere, by the reason. */
    std::size_t stale_starts_fenced{};
    std::size_t stale_starts_expired{};
    std::size_t stale_starts_outdated{};
    std::size_t stale_starts_for_former_worker{};
    std::size_t stale_starts_without_ticket{};
    /*! Starts that another boot of the worker than the intended one rejected for want of a valid ticket only. */
    std::size_t starts_for_other_boot_without_ticket{};
    /*! Runs of unfinished tasks that a worker listed and the leader did not expect there. */
    std::size_t unknown_runs{};
    /*! Starts without an answer that were sent again. */
    std::size_t repeated_starts{};
    /*! Copies of a start that a worker received although the run was there or had ended there. */
    std::size_t copies_without_effect{};

    /*! Adds the counters of another simulation. */
    near_miss_counters &operator+=(near_miss_counters const &other) noexcept;
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
    near_miss_counters near_misses;
};

/*!
 * Runs the dispatcher against injected faults in virtual time. The fleet consists of
 * entry VMs that read one log and become leader one after another, and of workers that
 * follow the worker protocol. Deterministic: equal setups give equal results.
 */
[[nodiscard]] simulation_result simulate_fleet(simulation_setup const &setup);

} // namespace kingcuplink::test

#endif
