#include <algorithm>
#include <kingcuplink/authority/leadership.hpp>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/hash.hpp>

namespace kingcuplink {

leadership::leadership(std::string domain, std::string self, instant const started)
    : domain_{std::move(domain)}, self_{std::move(self)}, silent_since_{started} {}

void leadership::set_members(std::span<std::string const> const names) {
    std::erase_if(
        members_, [&](auto const &entry) { return std::find(names.begin(), names.end(), entry.first) == names.end(); });
    for(auto const &name: names) {
        if(name != self_) {
            members_.try_emplace(name);
        }
    }
}

role_change leadership::heard(
    std::string_view const peer, bool const leads, std::uint64_t const term, instant const now) {
    auto const found = members_.find(peer);
    if(found == members_.end()) {
        return role_change::none;
    }
    auto const was_live = is_live(peer, now);
    found->second.last_heard = now;
    found->second.leads = leads;
    found->second.term = term;
    if(leads) {
        found->second.idle_since = instant::max();
    } else if(!was_live || found->second.idle_since == instant::max()) {
        found->second.idle_since = now;
    }
    if(role_ == authority_role::standby) {
        term_ = std::max(term_, term);
        silent_since_ = leads ? std::max(silent_since_, now) : silent_since_;
        return role_change::none;
    }
    auto const outranked = leads && (term > term_ || (term == term_ && peer < self_));
    if(!outranked) {
        return role_change::none;
    }
    term_ = term;
    step_down(now);
    return role_change::stepped_down;
}

void leadership::left(std::string_view const peer, instant const now) {
    auto const found = members_.find(peer);
    if(found == members_.end()) {
        return;
    }
    if(found->second.leads) {
        silent_since_ = now - config::heartbeat_timeout;
    }
    found->second = {.term = found->second.term};
}

role_change leadership::tick(instant const now) {
    if(role_ == authority_role::leader || resigned_) {
        return role_change::none;
    }
    auto const timeout = config::heartbeat_timeout + rank(now) * (config::heartbeat_timeout / 2);
    if(now - silent_since_ < timeout) {
        return role_change::none;
    }
    role_ = authority_role::leader;
    has_any_grant_ = false;
    ++term_;
    return role_change::took_over;
}

role_change leadership::refused(std::uint64_t const term, instant const now) {
    if(role_ != authority_role::leader || term < term_) {
        return role_change::none;
    }
    auto const rival = std::any_of(members_.begin(), members_.end(),
        [&](auto const &entry) { return entry.second.leads && is_live(entry.first, now); });
    if(!has_any_grant_ && !rival) {
        term_ = term + 1u;
        return role_change::raised_term;
    }
    term_ = term;
    step_down(now + config::lease_length);
    return role_change::stepped_down;
}

void leadership::granted() noexcept {
    has_any_grant_ = true;
}

role_change leadership::resign() noexcept {
    resigned_ = true;
    auto const led = role_ == authority_role::leader;
    role_ = authority_role::standby;
    return led ? role_change::stepped_down : role_change::none;
}

authority_role leadership::role() const noexcept {
    return role_;
}

std::uint64_t leadership::term() const noexcept {
    return term_;
}

std::string leadership::leader(instant const now) const {
    if(role_ == authority_role::leader) {
        return self_;
    }
    std::string name;
    std::uint64_t highest{};
    for(auto const &[peer, value]: members_) {
        if(value.leads && is_live(peer, now) && value.term >= highest) {
            highest = value.term;
            name = peer;
        }
    }
    return name;
}

instant leadership::idle_since(std::string_view const peer, instant const now) const {
    auto const found = members_.find(peer);
    return found == members_.end() || !is_live(peer, now) ? instant::max() : found->second.idle_since;
}

bool leadership::is_live(std::string_view const peer, instant const now) const {
    auto const found = members_.find(peer);
    return found != members_.end() && found->second.last_heard != instant{} &&
        now - found->second.last_heard < config::heartbeat_timeout;
}

std::int64_t leadership::rank(instant const now) const {
    auto const own = rendezvous_weight(domain_, self_);
    return std::count_if(members_.begin(), members_.end(),
        [&](auto const &entry) { return is_live(entry.first, now) && rendezvous_weight(domain_, entry.first) > own; });
}

void leadership::step_down(instant const contest_after) noexcept {
    role_ = authority_role::standby;
    has_any_grant_ = false;
    silent_since_ = contest_after;
}

} // namespace kingcuplink
