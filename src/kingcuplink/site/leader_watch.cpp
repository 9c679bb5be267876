#include <algorithm>
#include <array>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 6u> claim_reason_names{
    "no_leader", "leader_resigned", "own_former_process", "leader_silent", "appends_faster", "leader_stalled"};

} // namespace internal

std::string_view name_of(claim_reason const reason) noexcept {
    return internal::claim_reason_names[static_cast<std::size_t>(reason)];
}

leader_watch::leader_watch(std::string own_name, std::uint32_t const own_millicores)
    : own_name_{std::move(own_name)}, own_millicores_{own_millicores} {}

bool leader_watch::apply_claim(leader_claim claim, instant const now) {
    leader_record_at_ = now;
    if(claim.term < claim_.term) {
        return false;
    }
    if(claim.term > claim_.term) {
        count_replacement(now);
    }
    auto const is_change = claim.term > claim_.term || claim.resigned != claim_.resigned;
    claim_ = std::move(claim);
    claim_backoff_ = is_change ? millis{} : claim_backoff_;
    return is_change;
}

void leader_watch::count_replacement(instant const now) noexcept {
    auto const was_stalled = hears_leader(now) && heartbeat_.log_age > timing::replaceable_leader_timeout;
    if(!was_stalled) {
        replacement_backoff_ = {};
    } else if(claim_applied_at_ + timing::max_replacement_backoff < now) {
        replacement_backoff_ = timing::replacement_backoff;
    } else {
        replacement_backoff_ = std::clamp(
            replacement_backoff_ * 2, timing::replacement_backoff, timing::max_replacement_backoff);
    }
    claim_applied_at_ = now;
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

void leader_watch::record_leader_append(std::uint64_t const term) noexcept {
    if(term == heartbeat_.term) {
        heartbeat_.log_age = std::min(heartbeat_.log_age, heartbeat_.append_time);
    }
}

void leader_watch::record_own_append(millis const took, instant const now) noexcept {
    own_append_at_ = now;
    own_append_took_ = took;
}

void leader_watch::record_log_reachability(bool const is_reached, instant const now) noexcept {
    if(is_reached && !is_log_reached_) {
        log_answers_since_ = now;
    }
    is_log_reached_ = is_reached;
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
    auto const extra_interval = std::max(millis{}, heartbeat_.interval - timing::heartbeat_interval);
    return has_heartbeats() && heartbeat_received_at_ + timing::relay_heartbeat_age + extra_interval > now &&
        heartbeat_.log_age < timing::stalled_leader_timeout;
}

bool has_twice_the_processor(std::uint32_t const millicores, std::uint32_t const other) noexcept {
    return other > 0u && millicores / 2u >= other;
}

millis leader_watch::silence_limit() const noexcept {
    auto const has_frequent_heartbeats = has_heartbeats() && heartbeat_.interval <= timing::heartbeat_interval;
    return has_frequent_heartbeats ? timing::heartbeat_timeout : timing::leader_record_timeout;
}

std::optional<claim_reason> leader_watch::reason_to_claim(instant const read_at, instant const now) const noexcept {
    // Unread records may contain the claim of a new leader.
    auto const is_behind = read_at + timing::jobs_wait + timing::claim_freshness <= now;
    if(is_behind || now < next_claim_at_) {
        return std::nullopt;
    }
    if(claim_.term == 0u || claim_.resigned || claim_.name == own_name_) {
        if(leader_record_at_ + claim_delay() >= now) {
            return std::nullopt;
        }
        return claim_.term == 0u ? claim_reason::no_leader
            : claim_.resigned    ? claim_reason::leader_resigned
                                 : claim_reason::own_former_process;
    }
    if(std::max(leader_record_at_, heartbeat_received_at_) + silence_limit() + claim_delay() < now) {
        return claim_reason::leader_silent;
    }
    return reason_to_replace(now);
}

std::optional<claim_reason> leader_watch::reason_to_replace(instant const now) const noexcept {
    if(!has_heartbeats() || claim_applied_at_ + replacement_backoff_ > now) {
        return std::nullopt;
    }
    auto const failing_for = failing_time(now);
    // A log that is slow for this entry VM too does not justify replacing the leader.
    auto const can_append_instead = own_append_at_ + timing::own_append_age > heartbeat_received_at_ &&
        failing_for > timing::replaceable_leader_timeout + own_append_took_ * timing::relay_appends + claim_delay();
    if(can_append_instead) {
        return claim_reason::appends_faster;
    }
    // One append may be in progress and one be done, both as slow as the latest.
    auto const is_stalled = failing_for > timing::stalled_leader_timeout +
            heartbeat_.append_time * timing::stalled_leader_appends +
            claim_delay() * timing::stalled_claim_spread_factor;
    return is_stalled ? std::optional{claim_reason::leader_stalled} : std::nullopt;
}

bool leader_watch::needs_probe(instant const now) const noexcept {
    // Appends of a slow log are in progress for longer without a failure of the leader.
    auto const limit = timing::probed_leader_timeout + heartbeat_.append_time * timing::relay_appends;
    return hears_leader(now) && is_log_reached_ && failing_time(now) > limit &&
        own_append_at_ + timing::probe_interval <= now;
}

bool leader_watch::hears_leader(instant const now) const noexcept {
    return has_heartbeats() && !claim_.resigned &&
        heartbeat_received_at_ + heartbeat_.interval + timing::heartbeat_timeout > now;
}

millis leader_watch::failing_time(instant const now) const noexcept {
    return std::min(heartbeat_.log_age, std::chrono::duration_cast<millis>(now - log_answers_since_));
}

millis leader_watch::claim_delay() const noexcept {
    auto const hash = stable_hash(own_name_, claim_.term);
    auto const spread = millis{
        static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(timing::claim_spread.count()))};
    return has_twice_the_processor(heartbeat_.most_millicores, own_millicores_) ? spread + timing::small_vm_claim_delay
                                                                                : spread;
}

} // namespace kingcuplink
