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
    return is_change;
}

void leader_watch::note_record(instant const now) noexcept {
    seen_at_ = now;
}

void leader_watch::note_beat(
    std::uint64_t const term, millis const log_age, std::uint32_t const most_millicores, instant const now) noexcept {
    if(term >= claim_.term) {
        most_millicores_ = most_millicores;
        beat_term_ = term;
        beat_at_ = now;
        beat_log_age_ = log_age;
    }
}

void leader_watch::note_own_append(instant const now) noexcept {
    own_append_at_ = now;
}

millis leader_watch::silence(instant const now) const noexcept {
    return std::chrono::duration_cast<millis>(now - seen_at_);
}

bool leader_watch::takes_records(instant const now) const noexcept {
    return has_beats() && beat_at_ + timing::relay_beat_age > now && beat_log_age_ < timing::useless_leader;
}

bool has_much_more(std::uint32_t const millicores, std::uint32_t const than) noexcept {
    return than > 0u && millicores / 2u >= than;
}

bool leader_watch::should_claim(instant const read_at, instant const now) const noexcept {
    if(read_at + timing::log_wait + timing::claim_freshness <= now) {
        // Whoever leads may be in records that were not read.
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
    auto const takes_own = own_append_at_ + timing::own_append_age > now;
    return has_beats() && beat_log_age_ > (takes_own ? timing::outdone_leader : timing::useless_leader);
}

millis leader_watch::deference() const noexcept {
    auto const hash = stable_hash(own_name_, claim_.term);
    auto const spread = millis{
        static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(timing::claim_spread.count()))};
    return has_much_more(most_millicores_, own_millicores_) ? spread + timing::small_claim_delay : spread;
}

} // namespace kingcuplink
