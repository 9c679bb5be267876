#include <algorithm>
#include <array>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/routing/runner_pool.hpp>
#include <set>

namespace kingcuplink {

runner_pool::runner_pool(std::uint64_t const seed, selection const strategy) : random_{seed} {
    constexpr std::array<chooser, 3u> choosers{
        &runner_pool::choose_least_of_two, &runner_pool::choose_round_robin, &runner_pool::choose_least_outstanding};
    choose_ = choosers[static_cast<std::size_t>(strategy)];
}

void runner_pool::assign(std::span<runner_slots const> const runners) {
    std::set<std::string_view> listed;
    for(auto const &item: runners) {
        listed.insert(item.name);
        auto const [entry, added] = by_name_.try_emplace(item.name);
        if(added) {
            entry->second = runners_.emplace(runner{.description = item});
        } else {
            runners_[entry->second].description = item;
        }
    }
    for(auto entry = by_name_.begin(); entry != by_name_.end();) {
        auto &known = runners_[entry->second];
        known.listed = listed.contains(entry->first);
        if(!known.listed && known.outstanding == 0) {
            runners_.erase(entry->second);
            entry = by_name_.erase(entry);
        } else {
            ++entry;
        }
    }
}

bool runner_pool::has_free_slot(runner const &value, instant const now) const {
    if(!value.listed || !value.description.usable || value.outstanding >= value.description.slots) {
        return false;
    }
    auto const is_suspect = value.failures >= config::sideline_failures;
    return !is_suspect || (now >= value.sidelined_until && value.outstanding == 0);
}

std::optional<runner_id> runner_pool::acquire(instant const now, runner_id const avoid) {
    auto chosen = (this->*choose_)(now, avoid);
    if(!chosen && !avoid.is_null()) {
        chosen = (this->*choose_)(now, {});
    }
    if(chosen) {
        ++runners_[*chosen].outstanding;
    }
    return chosen;
}

std::optional<runner_id> runner_pool::choose_least_of_two(instant const now, runner_id const avoid) {
    auto const ids = runners_.ids();
    if(ids.empty()) {
        return std::nullopt;
    }
    std::optional<runner_id> best;
    std::uniform_int_distribution<std::size_t> pick{0u, ids.size() - 1u};
    for(auto tries = 0; tries < 2; ++tries) {
        auto const id = ids[pick(random_)];
        if(id != avoid && has_free_slot(runners_[id], now) &&
            (!best || runners_[id].outstanding < runners_[*best].outstanding)) {
            best = id;
        }
    }
    return best ? best : choose_least_outstanding(now, avoid);
}

std::optional<runner_id> runner_pool::choose_round_robin(instant const now, runner_id const avoid) {
    auto const ids = runners_.ids();
    for(std::size_t step{}; step < ids.size(); ++step) {
        auto const id = ids[++next_index_ % ids.size()];
        if(id != avoid && has_free_slot(runners_[id], now)) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<runner_id> runner_pool::choose_least_outstanding(instant const now, runner_id const avoid) {
    auto const ids = runners_.ids();
    if(ids.empty()) {
        return std::nullopt;
    }
    // Starts at a random runner, so that entry VMs with the same view do not all choose the same runner.
    auto const first = std::uniform_int_distribution<std::size_t>{0u, ids.size() - 1u}(random_);
    std::optional<runner_id> best;
    for(std::size_t step{}; step < ids.size(); ++step) {
        auto const id = ids[(first + step) % ids.size()];
        if(id != avoid && has_free_slot(runners_[id], now) &&
            (!best || runners_[id].outstanding < runners_[*best].outstanding)) {
            best = id;
        }
    }
    return best;
}

instant runner_pool::distrust_before(runner_id const id) const {
    auto const *value = runners_.find(id);
    return value == nullptr ? instant{} : value->distrust_before;
}

void runner_pool::release(runner_id const id, attempt_outcome const outcome, bool const reused, instant const now) {
    auto *value = runners_.find(id);
    if(value == nullptr) {
        return;
    }
    --value->outstanding;
    if(outcome == attempt_outcome::answered) {
        value->failures = 0u;
        value->sidelined_until = {};
    } else if(outcome == attempt_outcome::may_have_run && reused) {
        value->distrust_before = now;
    } else if(outcome != attempt_outcome::busy) {
        ++value->failures;
        value->sidelined_until = now + config::sideline_time;
    }
}

std::string runner_pool::address_of(runner_id const id) const {
    auto const *value = runners_.find(id);
    return value == nullptr ? std::string{} : value->description.address;
}

std::int64_t runner_pool::free_slots(instant const now) const {
    std::int64_t count{};
    for(auto const &value: runners_.values()) {
        count += has_free_slot(value, now) ? value.description.slots - value.outstanding : 0;
    }
    return count;
}

std::int64_t runner_pool::usable_slots() const {
    std::int64_t count{};
    for(auto const &value: runners_.values()) {
        count += value.listed && value.description.usable ? value.description.slots : 0;
    }
    return count;
}

std::int64_t runner_pool::sidelined(instant const now) const {
    return std::count_if(runners_.values().begin(), runners_.values().end(),
        [&](auto const &value) { return value.failures >= config::sideline_failures && now < value.sidelined_until; });
}

} // namespace kingcuplink
