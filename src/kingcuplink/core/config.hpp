#ifndef KINGCUPLINK_CORE_CONFIG_HPP_INCLUDED
#define KINGCUPLINK_CORE_CONFIG_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <kingcuplink/core/time.hpp>

/*! Constants of the whole system, with their units. */
namespace kingcuplink::config {

/*! Length of a worker's lease. */
inline constexpr millis lease_length{12'000};
/*! Time between renewals of a lease that nothing else renews. */
inline constexpr millis lease_renewal{3'000};
/*! A jump of the clock of this size means that the process was paused. */
inline constexpr millis pause_threshold{lease_length / 2};
/*! Time that a worker has to answer a command. */
inline constexpr millis command_timeout{1'500};
/*! Time after which a command whose answer was lost is followed by an inventory. */
inline constexpr millis worker_retry_delay{500};

/*! Time between heartbeats to entry VMs of the own failure domain. */
inline constexpr millis heartbeat_interval{400};
/*! Time between heartbeats to entry VMs of other failure domains. */
inline constexpr millis remote_heartbeat_interval{2'000};
/*! Silence after which an entry VM of the own failure domain counts as gone. */
inline constexpr millis heartbeat_timeout{1'600};
/*! Silence after which an entry VM of another failure domain counts as gone. */
inline constexpr millis remote_heartbeat_timeout{6'000};
/*! Silence after which the runner slots of an entry VM are taken over. */
inline constexpr millis slot_takeover_delay{3'000};
/*! Time that another entry VM has to answer a request of the inner protocol. */
inline constexpr millis peer_timeout{2'500};

/*! Time between reads of the log's streams. */
inline constexpr millis log_poll{1'000};
/*! Time between reads of the list of VMs. */
inline constexpr millis vm_list_poll{1'000};
/*! Time that the platform has to answer. */
inline constexpr millis platform_timeout{2'000};
/*! Records in one answer of the log. */
inline constexpr std::size_t log_page{512};
/*! Age of the newest snapshot, in records, at which another one is appended. */
inline constexpr std::uint64_t snapshot_records{200};
/*! Age of the newest snapshot at which another one is appended. */
inline constexpr millis snapshot_age{600'000};
/*! Time between two appends to the journal of a failure domain. */
inline constexpr millis journal_interval{100};
/*! Age of a journal record at which a live job is journalled again. */
inline constexpr millis journal_refresh{900'000};

/*! Time between two planning rounds that no event caused. */
inline constexpr millis plan_interval{200};
/*! Least time between two planning rounds. */
inline constexpr millis plan_spacing{10};
/*! Starts in one planning round. */
inline constexpr std::size_t starts_per_round{256};
/*! Queued jobs of a team looked at in one round after its first one that does not fit. */
inline constexpr std::size_t backfill_depth{48};
/*! Workers compared before the tightest fit is taken. */
inline constexpr std::size_t fit_candidates{6};
/*! Age at which a waiting gang gets a reservation. */
inline constexpr millis gang_reservation_age{10'000};
/*! Part of a failure domain, in percent, that one team's urgent work may take ahead of its turn. */
inline constexpr std::int64_t urgent_reserve_percent{20};
/*! Pre-emptions in one planning round. */
inline constexpr std::size_t preemptions_per_round{8};
/*! Different jobs that must fail on a worker, with none succeeding, before it is quarantined. */
inline constexpr std::size_t quarantine_jobs{3};
/*! First length of a worker's quarantine; it doubles up to the limit. */
inline constexpr millis quarantine_first{30'000};
/*! Longest quarantine. */
inline constexpr millis quarantine_limit{600'000};
/*! Different workers on which a job fails before it is given up. */
inline constexpr std::size_t job_fault_workers{4};
/*! First delay after a failed task; it doubles up to the limit. */
inline constexpr millis task_backoff_first{500};
/*! Longest delay after a failed task. */
inline constexpr millis task_backoff_limit{30'000};
/*! Ended jobs that are kept for status questions. */
inline constexpr std::size_t ended_jobs_kept{4'096};
/*! Queued jobs that one failure domain keeps for one team. */
inline constexpr std::size_t queued_jobs_per_team{20'000};
/*! Longest Idempotency-Key, in bytes. */
inline constexpr std::size_t max_idempotency_key{256};
/*! Tasks of one job. */
inline constexpr std::int64_t tasks_per_job{4'096};

/*! Requests of one team that wait in one entry VM. */
inline constexpr std::size_t queued_requests_per_team{256};
/*! Deadline of a request that names none. */
inline constexpr millis default_deadline{30'000};
/*! Longest deadline of a request. */
inline constexpr millis max_deadline{600'000};
/*! Time to connect to an endpoint. */
inline constexpr millis connect_timeout{500};
/*! Idle time after which a connection to a runner is not trusted with a request. */
inline constexpr millis reuse_idle_limit{1'000};
/*! Idle time after which a connection is closed. */
inline constexpr millis idle_limit{20'000};
/*! Part of the requests, in percent, that may be attempted again. */
inline constexpr std::int64_t retry_budget_percent{10};
/*! Attempts in reserve in the retry budget. */
inline constexpr std::int64_t retry_budget_burst{20};
/*! Failures in a row that sideline a runner. */
inline constexpr std::uint32_t sideline_failures{3};
/*! Time before a sidelined runner is probed with one request. */
inline constexpr millis sideline_time{2'000};
/*! Largest body of a request or an answer, in bytes. */
inline constexpr std::uint64_t body_limit{std::uint64_t{16} << 20u};
/*! Largest body of a job, section or control message, in bytes. */
inline constexpr std::uint64_t control_body_limit{std::uint64_t{8} << 20u};
/*! Largest header of an HTTP message, in bytes. */
inline constexpr std::uint32_t header_limit{16u * 1024u};
/*! Time that a caller has to send a message once it began. */
inline constexpr millis sender_timeout{15'000};
/*! Time that a caller's connection may be idle. */
inline constexpr millis caller_idle_limit{60'000};
/*! Connections of callers to one entry VM. */
inline constexpr std::size_t caller_connections{4'096};
/*! Connections of one caller's address to one entry VM. */
inline constexpr std::size_t connections_per_address{1'024};

/*! Messages that wait for one peer. */
inline constexpr int peer_queue_length{4'096};
/*! Version of the inner protocol. */
inline constexpr std::uint32_t wire_version{1};

} // namespace kingcuplink::config

#endif
