#ifndef KINGCUPLINK_SITE_TIMING_HPP_INCLUDED
#define KINGCUPLINK_SITE_TIMING_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>

/*! Times of an entry VM whose platform keeps all lasting state. */
namespace kingcuplink::timing {

/*! Longest lease that is asked for; it bridges a change of leaders, which takes about 4 s. */
inline constexpr millis max_lease{8'000};
/*! Time between the leader's beats to other entry VMs. */
inline constexpr millis heartbeat_interval{200};
/*! Entry VMs that get beats, 1 KB/s each at most; the others go by the log. */
inline constexpr std::size_t max_heartbeat_receivers{64u};
/*! Silence of a leader's beats and records after which another entry VM claims leadership: four beats. */
inline constexpr millis heartbeat_timeout{800};
/*! Silence of a leader in the log after which an entry VM that gets no beats claims leadership. */
inline constexpr millis leader_record_timeout{3'000};
/*! Time without an append after which a leader that lives is replaced by an entry VM that can read the log. */
inline constexpr millis stalled_leader_timeout{2'500};
/*! By how much more than usual such claims are spread: many entry VMs see the same. */
inline constexpr int stalled_claim_spread_factor = 20;
/*! Time after a claim that the log did not take in which no other is tried; it doubles up to the limit. */
inline constexpr millis claim_backoff{1'000};
inline constexpr millis max_claim_backoff{4'000};
/*! The same for an entry VM whose own appends are done meanwhile; above the leader's heartbeat. */
inline constexpr millis replaceable_leader_timeout{1'000};
/*! Age of an own append up to which an entry VM knows that the log takes its records, if not the leader's. */
inline constexpr millis own_append_age{800};
/*! Age of the last read, on top of the time it may wait, up to which an entry VM may claim leadership. */
inline constexpr millis claim_freshness{400};
/*! Spread of claims, so that one entry VM is mostly first. */
inline constexpr millis claim_spread{200};
/*! Time for which an entry VM with little processor time lets others claim leadership; two spreads. */
inline constexpr millis small_vm_claim_delay{400};
/*! Age of a reign from which on it is handed to an entry VM with much more processor time. */
inline constexpr millis min_leadership_time{1'000};
/*! Time between the leader's records if nothing else is to be recorded. */
inline constexpr millis leader_record_interval{700};
/*! Time without a successful append after which a leader no longer extends leases. */
inline constexpr millis lease_renewal_limit{6'000};
/*! Delay of an append in which more records can join it. */
inline constexpr millis append_batch_delay{20};
/*! Delay of a caller's append in which others can join it. */
inline constexpr millis caller_batch_delay{10};
/*! Least time that another entry VM has to append a caller's record. */
inline constexpr millis relay_timeout{1'000};
/*! Appends of the leader that are waited for at most; one may be under way, one is needed. */
inline constexpr int relay_appends = 3;
/*! Time between looks whether the leader that was asked still lives. */
inline constexpr millis relay_check_interval{100};
/*! Age of the leader's latest beat up to which callers' records go through it. */
inline constexpr millis relay_heartbeat_age{500};
/*! Age of an append from which on another one may be sent beside it. */
inline constexpr millis slow_append{400};
/*! Delay before an append or read that failed is tried again; it doubles for an append of a caller's record. */
inline constexpr millis log_retry{150};
inline constexpr millis max_log_retry{1'200};
/*! Time that the log waits for a record of rules or registrations; each read is paid for. */
inline constexpr millis log_wait{1'500};
/*! The same for jobs: an entry VM that is cut off from the log finds out after this and the time of a read. */
inline constexpr millis jobs_wait{500};
/*! Time between reads of the stream of jobs by the leader, which appends most of it; each is paid for. */
inline constexpr millis leader_read_spacing{100};
/*! Time between reads of an entry VM that has claimed leadership and waits for its own record. */
inline constexpr millis claimant_read_spacing{5};
/*! Time between reads of the stream of jobs by other entry VMs. */
inline constexpr millis follower_read_spacing{150};
/*! Time between reads of the workers' registrations, which change all the time. */
inline constexpr millis worker_read_spacing{300};
/*! Age up to which an entry VM tells how many jobs of a queue wait. */
inline constexpr millis max_pending_age{2'500};
/*! Time for reading what the log has before a job counts as unknown; callers wait about 3 s. */
inline constexpr millis catch_up_limit{1'500};
/*! Time between looks whether it was read. */
inline constexpr millis catch_up_check_interval{10};
/*! Time that a worker may wait for an end before it answers a look. */
inline constexpr millis poll_wait{1'000};
/*! Time between looks at a worker; each is paid for. */
inline constexpr millis poll_spacing{60};
/*! Time between looks at a worker that lists ends which the log does not have yet: it never waits then. */
inline constexpr millis unpersisted_poll_spacing{300};
/*! Time that a worker has to answer, on top of the time it may wait. */
inline constexpr millis worker_timeout{1'200};
/*! Time that a worker has to answer an order; it takes some 5 ms. */
inline constexpr millis command_timeout{500};
/*! Delay before a worker that did not answer is asked again. */
inline constexpr millis poll_retry_delay{300};
/*! Time between introductions of an entry VM to the leader. */
inline constexpr millis introduction_interval{1'000};
/*! Time between introductions until the leader has sent a beat. */
inline constexpr millis first_introduction_interval{100};
/*! Silence after which an entry VM is no longer asked to seek advice. */
inline constexpr millis adviser_silence{3'200};
/*! Time that an adviser has on top of what it is expected to take. */
inline constexpr millis advice_slack{1'500};
/*! Time between planning rounds that nothing caused. */
inline constexpr millis plan_interval{100};
/*! Least time between planning rounds. */
inline constexpr millis plan_spacing{10};
/*! Rest after a planning round, in lengths of it: planning takes a quarter of the control thread at most. */
inline constexpr int plan_pause_factor = 3;
/*! Part by which a worker's clock may be slow, in percent, with a margin. */
inline constexpr std::int64_t clock_error_percent{3};
/*! Additional time after which a lease has surely lapsed. */
inline constexpr millis lapse_margin{150};
/*! Age of a worker's clock up to which leases are reckoned by it; its error stays within the margins then. */
inline constexpr millis max_clock_age{4'000};
static_assert(max_clock_age * 2 / 100 + max_lease * 2 / 100 < max_lease * clock_error_percent / 100 + lapse_margin);
/*! Time between writes of collected log lines. */
inline constexpr millis flush_interval{100};
/*! Bytes of records in one append; the platform takes 2 MiB. */
inline constexpr std::uint64_t append_bytes{1u << 20u};

/*!
 * Returns when a lease that is asked for now has lapsed by any clock.
 * @param lease Longest lease that workers grant: a boot that the leader does not know yet may take an expiry by the
 * clock of the one before for a later time.
 */
[[nodiscard]] constexpr instant lapsed_at(instant const now, millis const lease) noexcept {
    return now + lease + lease * clock_error_percent / 100 + lapse_margin;
}

} // namespace kingcuplink::timing

#endif
