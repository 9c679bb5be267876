#ifndef KINGCUPLINK_CORE_CONFIG_HPP_INCLUDED
#define KINGCUPLINK_CORE_CONFIG_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <kingcuplink/core/time.hpp>

/*! System-wide constants. Lengths of time are in milliseconds. */
namespace kingcuplink::config {

/*! Duration of a worker's lease. */
inline constexpr millis lease_length{12'000};
/*! Interval at which a lease is renewed if no other request renews it. */
inline constexpr millis lease_renewal{3'000};
/*! Smallest jump of the clock that indicates that the process was paused. */
inline constexpr millis pause_threshold{lease_length / 2};
/*! Time limit for a worker's answer to a command. */
inline constexpr millis command_timeout{1'500};
/*! Delay before the inventory of a worker is requested again after a request without an answer. */
inline constexpr millis worker_retry_delay{500};

/*! Interval of heartbeats to entry VMs of the same failure domain. */
inline constexpr millis heartbeat_interval{400};
/*! Interval of heartbeats to entry VMs of other failure domains. */
inline constexpr millis remote_heartbeat_interval{2'000};
/*! Time without a heartbeat after which an entry VM of the same failure domain is considered down. */
inline constexpr millis heartbeat_timeout{1'600};
/*! Time without a heartbeat after which an entry VM of another failure domain is considered down. */
inline constexpr millis remote_heartbeat_timeout{6'000};
/*! Time without a heartbeat after which the runner slots of an entry VM are taken over. */
inline constexpr millis slot_takeover_delay{3'000};
/*! Time limit for another entry VM's answer to a request of the internal protocol. */
inline constexpr millis peer_timeout{2'500};

/*! Interval at which the log's streams are read. */
inline constexpr millis log_poll{1'000};
/*! Interval at which the list of VMs is read. */
inline constexpr millis vm_list_poll{1'000};
/*! Time limit for an answer of the platform. */
inline constexpr millis platform_timeout{2'000};
/*! Maximum number of records in one answer of the log. */
inline constexpr std::size_t log_page{512};
/*! Number of records since the newest snapshot at which another one is appended. */
inline constexpr std::uint64_t snapshot_records{200};
/*! Age of the newest snapshot at which another one is appended. */
inline constexpr millis snapshot_age{600'000};
/*! Interval of appends to the journal of a failure domain. */
inline constexpr millis journal_interval{100};
/*! Age of a live job's journal record at which the job is written to the journal again. */
inline constexpr millis journal_refresh{900'000};

/*! Interval of planning rounds without a triggering event. */
inline constexpr millis plan_interval{200};
/*! Minimum time between two planning rounds. */
inline constexpr millis plan_spacing{10};
/*! Maximum number of starts in one planning round. */
inline constexpr std::size_t starts_per_round{256};
/*! Maximum number of a team's queued jobs that one round examines after the first that does not fit. */
inline constexpr std::size_t backfill_depth{48};
/*! Number of workers that are compared to find the best fit. */
inline constexpr std::size_t fit_candidates{6};
/*! Age at which a waiting gang gets a reservation. */
inline constexpr millis gang_reservation_age{10'000};
/*! Percentage of a failure domain that one team's urgent work may use ahead of fair-share order. */
inline constexpr std::int64_t urgent_reserve_percent{20};
/*! Maximum number of pre-emptions in one planning round. */
inline constexpr std::size_t preemptions_per_round{8};
/*! Number of different jobs that must fail on a worker, with none succeeding, before it is quarantined. */
inline constexpr std::size_t quarantine_jobs{3};
/*! Duration of a worker's first quarantine; it doubles up to the limit. */
inline constexpr millis quarantine_first{30'000};
/*! Maximum duration of a quarantine. */
inline constexpr millis quarantine_limit{600'000};
/*! Number of different workers on which a job must fail before the job itself fails. */
inline constexpr std::size_t job_fault_workers{4};
/*! First delay after a failed task; it doubles up to the limit. */
inline constexpr millis task_backoff_first{500};
/*! Maximum delay after a failed task. */
inline constexpr millis task_backoff_limit{30'000};
/*! Maximum number of ended jobs that are kept for status queries. */
inline constexpr std::size_t ended_jobs_kept{4'096};
/*! Maximum number of one team's queued jobs in one failure domain. */
inline constexpr std::size_t queued_jobs_per_team{20'000};
/*! Maximum length of an Idempotency-Key, in bytes. */
inline constexpr std::size_t max_idempotency_key{256};
/*! Maximum number of tasks of one job. */
inline constexpr std::int64_t tasks_per_job{4'096};

/*! Maximum number of one team's requests that wait in one entry VM. */
inline constexpr std::size_t queued_requests_per_team{256};
/*! Deadline of a request that specifies none. */
inline constexpr millis default_deadline{30'000};
/*! Maximum deadline of a request. */
inline constexpr millis max_deadline{600'000};
/*! Time limit for connecting to an endpoint. */
inline constexpr millis connect_timeout{500};
/*! Idle time after which a connection to a runner is no longer used for requests. */
inline constexpr millis reuse_idle_limit{1'000};
/*! Idle time after which a connection is closed. */
inline constexpr millis idle_limit{20'000};
/*! Maximum retries as a percentage of the requests. */
inline constexpr std::int64_t retry_budget_percent{10};
/*! Maximum number of unused retries that the retry budget accumulates. */
inline constexpr std::int64_t retry_budget_burst{20};
/*! Number of consecutive failures after which a runner is sidelined. */
inline constexpr std::uint32_t sideline_failures{3};
/*! Time before a sidelined runner is probed with one request. */
inline constexpr millis sideline_time{2'000};
/*! Maximum size of the body of a request or an answer, in bytes. */
inline constexpr std::uint64_t body_limit{std::uint64_t{16} << 20u};
/*! Maximum size of the body of a job, section or control message, in bytes. */
inline constexpr std::uint64_t control_body_limit{std::uint64_t{8} << 20u};
/*! Maximum size of the header of an HTTP message, in bytes. */
inline constexpr std::uint32_t header_limit{16u * 1024u};
/*! Time limit for receiving a caller's message after its first byte. */
inline constexpr millis sender_timeout{15'000};
/*! Maximum idle time of a caller's connection. */
inline constexpr millis caller_idle_limit{60'000};
/*! Maximum number of callers' connections to one entry VM. */
inline constexpr std::size_t caller_connections{4'096};
/*! Maximum number of connections from one caller's address to one entry VM. */
inline constexpr std::size_t connections_per_address{1'024};

/*! Maximum number of messages that wait to be sent to one peer. */
inline constexpr int peer_queue_length{4'096};
/*! Version of the internal protocol. */
inline constexpr std::uint32_t wire_version{1};

} // namespace kingcuplink::config

#endif
