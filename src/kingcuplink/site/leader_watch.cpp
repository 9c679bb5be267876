#include <algorithm>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

leader_watch::leader_watch(std::string own_name, std::uint32_t const own_millicores)
    : own_name_{std::move(own_name)}, own_millicores_{own_millicores} {}

bool leader_watch::apply_claim(leader_claim claim, instant const now) {
    leader_record_at_ = now;
    if(claim.term < claim_.term) {
        return false;
    }
    auto const is_change = claim.term > claim_.term || claim.resigned != claim_.resigned;
    claim_ = std::move(claim);
    claim_backoff_ = is_change ? millis{} : claim_backoff_;
    return is_change;
}

void leader_watch::record_leader_activity(instant const now) noexcept {
    leader_record_at_ = now;
}

void leader_watch::record_heartbeat(leader_heartbeat_info const &heartbeat, instant const now) noexcept {
    if(heartbeat.term >= claim_.term) {
        heartbeat_ = heartbeat;
        heartbeat_received_at_ = now;
    }
}

void leader_watch::record_own_append(millis const took, instant const now) noexcept {
    own_append_at_ = now;
    own_append_took_ = took;
}

void leader_watch::record_failed_claim(instant const now) noexcept {
    claim_backoff_ = std::clamp(claim_backoff_ * 2, timing::claim_backoff, timing::max_claim_backoff);
    next_claim_at_ = now + claim_backoff_ + claim_delay();
}

millis leader_watch::relay_time_limit() const noexcept {
    return std::max(timing::relay_timeout, heartbeat_.append_time * timing::relay_appends);
}

millis leader_watch::silence(instant const now) const noexcept {
    return now - leader_record_at_;
}

bool leader_watch::accepts_records(instant const now) const noexcept {
    return has_heartbeats() && heartbeat_received_at_ + timing::relay_heartbeat_age > now &&
        heartbeat_.log_age < timing::stalled_leader_timeout;
}

bool has_twice_the_processor(std::uint32_t const millicores, std::uint32_t const other) noexcept {
    return other > 0u && millicores / 2u >= other;
}

bool leader_watch::should_claim(instant const read_at, instant const now) const noexcept {
    // Unread records may contain the claim of a new leader.
    auto const is_behind = read_at + timing::jobs_wait + timing::claim_freshness <= now;
    if(is_behind || now < next_claim_at_) {
        return false;
    }
    if(claim_.term == 0u || claim_.resigned || claim_.name == own_name_) {
        // There is no leader, or the leader was an earlier process of this entry VM.
        return leader_record_at_ + claim_delay() < now;
    }
    auto const silence_limit = has_heartbeats() ? timing::heartbeat_timeout : timing::leader_record_timeout;
    if(std::max(leader_record_at_, heartbeat_received_at_) + silence_limit + claim_delay() < now) {
        return true;
    }
    return is_leader_stalled();
}

bool leader_watch::is_leader_stalled() const noexcept {
    if(!has_heartbeats()) {
        return false;
    }
    // A log that is slow for this entry VM too does not justify replacing the leader.
    auto const can_append_instead = own_append_at_ + timing::own_append_age > heartbeat_received_at_ &&
        heartbeat_.log_age > timing::replaceable_leader_timeout + own_append_took_ * timing::relay_appends;
    return can_append_instead ||
        heartbeat_.log_age > timing::stalled_leader_timeout + claim_delay() * timing::stalled_claim_spread_factor;
}

millis leader_watch::claim_delay() const noexcept {
    auto const hash = stable_hash(own_name_, claim_.term);
    auto const spread = millis{
        static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(timing::claim_spread.count()))};
    return has_twice_the_processor(heartbeat_.most_millicores, own_millicores_) ? spread + timing::small_vm_claim_delay
                                                                                : spread;
}

} // namespace kingcuplink
