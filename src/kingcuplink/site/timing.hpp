#ifndef KINGCUPLINK_SITE_TIMING_HPP_INCLUDED
#define KINGCUPLINK_SITE_TIMING_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>

/*! Intervals and time limits of an entry VM in a site, where the platform persists all state. */
namespace kingcuplink::timing {

/*! Longest lease requested from workers; it outlasts a change of leaders, which takes about 4 s. */
inline constexpr millis max_lease{8'000};
/*! Lease requested from workers that leave: the tasks of one that has left start again once its lease has expired. */
inline constexpr millis leaving_worker_lease{3'000};
/*! Time between the leader's heartbeats to other entry VMs. */
inline constexpr millis heartbeat_interval{200};
/*! Number of entry VMs that receive a heartbeat in every interval, at most 1 KB/s each. */
inline constexpr std::size_t max_frequent_heartbeats{64u};
/*!
 * Every how many intervals the other entry VMs receive a heartbeat. They relay records to the leader, but detect its
 * failure from the log.
 */
inline constexpr std::uint64_t slow_heartbeat_rounds{5u};
inline constexpr millis slow_heartbeat_interval{heartbeat_interval * slow_heartbeat_rounds};
/*! Time without heartbeats and records after which an entry VM claims leadership; four heartbeats. */
inline constexpr millis heartbeat_timeout{800};
/*! Time without the leader's records after which an entry VM that receives no heartbeats claims leadership. */
inline constexpr millis leader_record_timeout{3'000};
/*! Time without an append after which a leader that sends heartbeats is replaced by a VM that can read the log. */
inline constexpr millis stalled_leader_timeout{2'500};
/*! Durations of the leader's latest append by which that time is extended. */
inline constexpr int stalled_leader_appends = 2;
/*! Factor of claim_spread for such claims: many entry VMs detect the condition at the same time. */
inline constexpr int stalled_claim_spread_factor = 20;
/*! Delay after a failed claim before the next one; each failure doubles it, up to max_claim_backoff. */
inline constexpr millis claim_backoff{1'000};
inline constexpr millis max_claim_backoff{4'000};
/*!
 * Time without an append after which the leader is replaced by an entry VM whose own appends succeed;
 * longer than leader_record_interval.
 */
inline constexpr millis replaceable_leader_timeout{1'000};
/*!
 * Time without an append of the leader after which entry VMs that may lead next append probes; two times
 * leader_record_interval and a margin, so that an idle leader causes none.
 */
inline constexpr millis probed_leader_timeout{1'500};
static_assert(probed_leader_timeout > replaceable_leader_timeout);
/*! Time between an entry VM's probes, or between another append of its own and the next probe. */
inline constexpr millis probe_interval{400};
/*! Most entry VMs that append probes at a time. */
inline constexpr std::size_t max_probing_candidates{4u};
/*! Time after a failed append during which an entry VM tells the leader that it should not lead. */
inline constexpr millis append_doubt_time{10'000};
/*!
 * Time after a stalled leader was replaced before its successor may be replaced for the same reason; it doubles with
 * each such change, since a successor that does no better shows that leaders are not the cause.
 */
inline constexpr millis replacement_backoff{2'000};
inline constexpr millis max_replacement_backoff{16'000};
/*! Age of an own append up to which an entry VM takes the log as reachable for itself, if not for the leader. */
inline constexpr millis own_append_age{800};
static_assert(probe_interval < own_append_age);
/*! Age of the latest read, in addition to its wait, up to which an entry VM may claim leadership. */
inline constexpr millis claim_freshness{400};
/*! Range of the delays before claims; it makes simultaneous claims unlikely. */
inline constexpr millis claim_spread{200};
/*! Additional delay of claims by entry VMs with little processor time; two times claim_spread. */
inline constexpr millis small_vm_claim_delay{400};
/*!
 * Longest time for which an entry VM with little processor time lets larger ones read the jobs first, after its start
 * and while no leader sends it heartbeats. Larger ones take about half of it to read and to claim.
 */
inline constexpr millis small_vm_read_delay{1'000};
/*! Time after which a leader may yield to an entry VM with at least twice the processor time. */
inline constexpr millis min_leadership_time{1'000};
/*! Longest time between the leader's records: if there is nothing else to append, it repeats its claim. */
inline constexpr millis leader_record_interval{700};
/*! Time without a successful append after which a leader no longer extends leases. */
inline constexpr millis lease_renewal_limit{6'000};
/*! Delay of the leader's appends, during which further records join the batch. */
inline constexpr millis append_batch_delay{20};
/*! Delay of appends of callers' records, during which further records join the batch. */
inline constexpr millis caller_batch_delay{10};
/*!
 * Shortest time limit for the leader to append records that another entry VM relayed; an append of half that time may
 * be in progress.
 */
inline constexpr millis relay_timeout{1'300};
/*!
 * Time limit of a relayed record, in durations of the leader's latest append: one append may be in progress
 * and one is needed for the record.
 */
inline constexpr int relay_appends = 3;
/*! Time between checks that the leader still accepts relayed records. */
inline constexpr millis relay_check_interval{100};
/*! Age of the leader's latest heartbeat up to which callers' records are relayed to it. */
inline constexpr millis relay_heartbeat_age{500};
/*! Duration of an append above which it is logged. */
inline constexpr millis slow_append{400};
/*! Longest time between checks for callers' records. */
inline constexpr millis caller_check_interval{400};
/*! Time limit of an append; its callers wait for 2 s at most. */
inline constexpr millis append_timeout{1'200};
/*!
 * Time limit of an append of the leader. The log refuses an append that would wait for more than 2 s, so an answer that
 * is late by more than that was lost.
 */
inline constexpr millis leader_append_timeout{2'500};
/*! Time without an answer after which the leader sends a copy of its append, and the most copies in flight. */
inline constexpr millis append_copy_interval{500};
inline constexpr std::size_t max_append_copies{5u};
static_assert(append_copy_interval * static_cast<int>(max_append_copies) >= leader_append_timeout);
/*! Number of attempts to append after which callers are refused whose records are surely not in the log. */
inline constexpr unsigned caller_append_attempts = 2u;
/*! Delay before a failed append or read is retried; it doubles for appends of callers' records. */
inline constexpr millis log_retry{150};
inline constexpr millis max_log_retry{1'200};
/*!
 * Time after which an append without an answer is no longer executed by the log. Jobs and cancellations are retained at
 * least as long: a submission that is executed after their removal would run again.
 */
inline constexpr millis late_append_limit{15'000};
/*!
 * Time for which an entry VM notifies leaders of cancellations that it appended itself: as long as the submission of
 * such a job may reach the log. Later, leaders learn of them from the log only.
 */
inline constexpr millis notice_lifetime{late_append_limit};
/*! Time after which a notice is repeated that the leader did not confirm; it doubles each time. */
inline constexpr millis notice_repeat{500};
/*! Time between checks for notices that are due, while there are any. */
inline constexpr millis notice_check_interval{100};
/*! Number of such cancellations that an entry VM keeps, and that one message holds; about 50 bytes each. */
inline constexpr std::size_t max_notices = 512u;
inline constexpr std::size_t max_notices_per_message = 128u;
/*! Duration above which a read of the stream of jobs is logged; longer than any wait for the first record. */
inline constexpr millis slow_read{700};
/*! Longest time that the log waits for a record of rules or registrations; each read is billed. */
inline constexpr millis log_wait{1'500};
/*!
 * Longest time that the log waits for a record of jobs. An entry VM that loses its connection to the log
 * detects it after this time and the duration of a read.
 */
inline constexpr millis jobs_wait{500};
/*!
 * Time between reads of the stream of jobs by the leader, which appended most of its records itself; each read
 * is billed.
 */
inline constexpr millis leader_read_spacing{100};
/*! Time between checks and reads of an entry VM that waits for its own claim in the log. */
inline constexpr millis claimant_read_spacing{5};
/*! Time between reads of the stream of jobs by other entry VMs. */
inline constexpr millis follower_read_spacing{150};
/*! Time between reads of the workers' registrations, which change continually. */
inline constexpr millis worker_read_spacing{300};
/*! Age of the latest read of the log up to which an entry VM answers how many jobs of a queue are pending. */
inline constexpr millis max_pending_age{2'500};
/*! Time limit for reading the log to its end before a job counts as unknown; callers wait about 3 s. */
inline constexpr millis catch_up_limit{1'500};
/*! Time limit for the leader's answer to the question for a job that this entry VM has not read yet. */
inline constexpr millis job_question_timeout{400};
/*! Time between checks that the end of the log was reached. */
inline constexpr millis catch_up_check_interval{10};
/*! Longest time that a worker may delay its answer to a poll until a run ends. */
inline constexpr millis poll_wait{1'000};
/*! Time between polls of a worker; each poll is billed. */
inline constexpr millis poll_spacing{60};
/*! Time between polls of a worker with ended runs that are not persisted yet: it answers at once then. */
inline constexpr millis unpersisted_poll_spacing{300};
/*! Time limit for a worker's answer to a poll, in addition to the wait. */
inline constexpr millis worker_timeout{1'200};
/*! Time limit for a worker's answer to a command, which takes about 5 ms. */
inline constexpr millis command_timeout{500};
/*!
 * Time limit for the answer to a start that can be sent again afterwards; a leader with little processor time may take
 * 100 ms to read an answer.
 */
inline constexpr millis start_attempt_timeout{250};
static_assert(start_attempt_timeout <= command_timeout);
/*! Most attempts to send a start, however long its ticket is valid. */
inline constexpr std::uint32_t max_start_attempts{8u};
/*! Delay before a worker that did not answer is polled again. */
inline constexpr millis poll_retry_delay{300};
/*! Time between introductions of an entry VM to the leader. */
inline constexpr millis introduction_interval{1'000};
/*! Time between introductions until the leader's first heartbeat arrives. */
inline constexpr millis first_introduction_interval{100};
/*! Most entry VMs that the leader names as its possible successors; about 40 bytes each. */
inline constexpr std::size_t max_leader_candidates = 16u;
/*! Time between introductions of an entry VM without log and leader to the possible leaders. */
inline constexpr millis candidate_introduction_interval{500};
/*! Time without an introduction after which the leader sends an entry VM no more requests. */
inline constexpr millis peer_silence{3'200};
/*!
 * Time without a message after which a connection to another entry VM is closed: it was removed, or neither of the two
 * leads any more.
 */
inline constexpr millis idle_peer_time{10'000};
static_assert(idle_peer_time > peer_silence + introduction_interval);
/*! Age of the latest introduction up to which an entry VM relays starts. */
inline constexpr millis relay_clock_age{2'200};
/*! Time after the leader's decision for which an entry VM may send a relayed start. */
inline constexpr millis start_relay_lifetime{300};
/*! Time for which an entry VM that did not answer a relayed start, or declined it, relays no others. */
inline constexpr millis failed_relay_pause{2'000};
/*! Longest time that a worker that leaves may delay its answer to a poll. */
inline constexpr millis leaving_poll_wait{250};
static_assert(2 * (leaving_poll_wait + poll_spacing) + worker_timeout + poll_retry_delay < leaving_worker_lease,
    "the leases of a worker that leaves are extended in time although one poll fails");
/*! Time limit for an adviser's answer, in addition to its expected duration. */
inline constexpr millis advice_slack{1'500};
/*! Time limit for the answer to a relayed start, in addition to the times that the entry VM has to send it. */
inline constexpr millis start_relay_slack{100};
static_assert(start_relay_lifetime + command_timeout <= worker_timeout,
    "a successor assumes that starts are sent for lease_renewal_limit and worker_timeout at most");
/*! Time between lines about the leader's load in the decision log. */
inline constexpr millis load_report_interval{5'000};
/*! Time between planning rounds if no event triggers one. */
inline constexpr millis plan_interval{100};
/*! Shortest pause between planning rounds. */
inline constexpr millis plan_spacing{10};
/*!
 * Pause after a planning round, as a multiple of its duration: planning takes at most a quarter of the
 * control thread's time.
 */
inline constexpr int plan_pause_factor = 3;
/*! Upper bound of the rate error of a worker's clock in percent, including a margin. */
inline constexpr std::int64_t clock_error_percent{3};
/*! Safety margin added to the expiry of a lease. */
inline constexpr millis lapse_margin{150};
/*!
 * Age of a worker's clock reading up to which lease expiries are derived from it; its error stays within the
 * margins until then.
 */
inline constexpr millis max_clock_age{4'000};
static_assert(max_clock_age * 2 / 100 + max_lease * 2 / 100 < max_lease * clock_error_percent / 100 + lapse_margin);
/*! Time between writes of buffered log lines. */
inline constexpr millis flush_interval{100};
/*! Size of the largest record of a job in bytes; the platform accepts 256 KiB, including the key. */
inline constexpr std::size_t max_record_bytes{250'000u};
/*! Size of one append in bytes, above which records go into the next one; the platform accepts 2 MiB. */
inline constexpr std::uint64_t append_bytes{1u << 20u};

/*! Returns the time limit of an entry VM for a worker's answer to a start that it relays. */
[[nodiscard]] constexpr millis relayed_answer_timeout(bool const has_ticket) noexcept {
    // The leader sends a start with a ticket again.
    return has_ticket ? start_attempt_timeout : command_timeout;
}

/*!
 * Returns the time limit for the answer to a relayed start: once it has passed, the entry VM has surely sent the start,
 * or will not send it.
 */
[[nodiscard]] constexpr millis start_relay_timeout(bool const has_ticket) noexcept {
    return start_relay_lifetime + relayed_answer_timeout(has_ticket) + start_relay_slack;
}

/*! Returns the time for which a lease lasts at most by any worker's clock. */
[[nodiscard]] constexpr millis longest_lease(millis const lease) noexcept {
    return lease + lease * clock_error_percent / 100 + lapse_margin;
}

/*!
 * Returns the time by which a lease requested now has expired according to any worker's clock.
 * @param lease Longest lease that workers accept: a boot that the leader does not know yet may interpret an expiry in
 * the previous boot's clock as a later time.
 */
[[nodiscard]] constexpr instant lapsed_at(instant const now, millis const lease) noexcept {
    return now + longest_lease(lease);
}

} // namespace kingcuplink::timing

#endif
