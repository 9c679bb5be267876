#include <algorithm>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

leader_watch::leader_watch(std::string own_name, std::uint32_t const own_millicores)
    : own_name_{std::move(own_name)}, own_millicores_{own_millicores} {}

bool leader_watch::note_claim(leader_claim claim, instant const now) {
    seen_at_ = now;
    if(claim.term < claim_.term) {
        return false;
    }
    auto const is_change = claim.term > claim_.term || claim.resigned != claim_.resigned;
    claim_ = std::move(claim);
    claim_rest_ = is_change ? millis{} : claim_rest_;
    return is_change;
}

void leader_watch::note_record(instant const now) noexcept {
    seen_at_ = now;
}

void leader_watch::note_beat(leader_beat const &beat, instant const now) noexcept {
    if(beat.term >= claim_.term) {
        beat_ = beat;
        beat_at_ = now;
    }
}

void leader_watch::note_own_append(millis const took, instant const now) noexcept {
    own_append_at_ = now;
    own_append_took_ = took;
}

void leader_watch::note_failed_claim(instant const now) noexcept {
    claim_rest_ = std::clamp(claim_rest_ * 2, timing::claim_rest, timing::longest_claim_rest);
    no_claim_before_ = now + claim_rest_ + deference();
}

millis leader_watch::relay_time() const noexcept {
    return std::max(timing::relay_timeout, beat_.append_time * timing::relay_appends);
}

millis leader_watch::silence(instant const now) const noexcept {
    return now - seen_at_;
}

bool leader_watch::takes_records(instant const now) const noexcept {
    return has_beats() && beat_at_ + timing::relay_beat_age > now && beat_.log_age < timing::useless_leader;
}

bool has_much_more(std::uint32_t const millicores, std::uint32_t const than) noexcept {
    return than > 0u && millicores / 2u >= than;
}

bool leader_watch::should_claim(instant const read_at, instant const now) const noexcept {
    // Whoever leads may be in records that were not read.
    auto const is_behind = read_at + timing::jobs_wait + timing::claim_freshness <= now;
    if(is_behind || now < no_claim_before_) {
        return false;
    }
    if(claim_.term == 0u || claim_.resigned || claim_.name == own_name_) {
        // Nobody leads, or an earlier process of this entry VM did.
        return seen_at_ + deference() < now;
    }
    auto const longest = has_beats() ? timing::beat_silence : timing::log_silence;
    if(std::max(seen_at_, beat_at_) + longest + deference() < now) {
        return true;
    }
    return is_useless();
}

bool leader_watch::is_useless() const noexcept {
    if(!has_beats()) {
        return false;
    }
    // A log that is slow for all of them is no reason to replace a leader.
    auto const outdone = own_append_at_ + timing::own_append_age > beat_at_ &&
        beat_.log_age > timing::outdone_leader + own_append_took_ * timing::relay_appends;
    return outdone || beat_.log_age > timing::useless_leader + deference() * timing::useless_spread;
}

millis leader_watch::deference() const noexcept {
    auto const hash = stable_hash(own_name_, claim_.term);
    auto const spread = millis{
        static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(timing::claim_spread.count()))};
    return has_much_more(beat_.most_millicores, own_millicores_) ? spread + timing::small_claim_delay : spread;
}

} // namespace kingcuplink
