#include <algorithm>
#include <kingcuplink/authority/hold_table.hpp>
#include <kingcuplink/core/config.hpp>

namespace kingcuplink {

void hold_table::add(worker_id const worker, resources const &size) {
    if(find(worker) != nullptr) {
        return;
    }
    if(worker.index >= holds_.size()) {
        holds_.resize(worker.index + 1u);
    }
    holds_[worker.index] = hold{.worker = worker, .size = size};
    by_confirmation_.emplace(instant{}, worker);
}

void hold_table::granted(worker_id const worker, instant const sent_at, instant const now) {
    auto *entry = find(worker);
    if(entry == nullptr) {
        return;
    }
    by_hold_start_.erase({entry->began, worker});
    entry->held = true;
    entry->began = now;
    by_hold_start_.emplace(now, worker);
    set_confirmed(*entry, sent_at);
}

void hold_table::confirmed(worker_id const worker, instant const sent_at) {
    auto *entry = find(worker);
    if(entry != nullptr && entry->held && sent_at > entry->confirmed) {
        set_confirmed(*entry, sent_at);
    }
}

void hold_table::set_confirmed(hold &entry, instant const sent_at) {
    by_confirmation_.erase({entry.confirmed, entry.worker});
    entry.confirmed = sent_at;
    entry.last_granted_until = std::max(entry.last_granted_until, sent_at + config::lease_length);
    by_confirmation_.emplace(sent_at, entry.worker);
}

void hold_table::dropped(worker_id const worker) {
    auto *entry = find(worker);
    if(entry == nullptr || !entry->held) {
        return;
    }
    by_hold_start_.erase({entry->began, worker});
    entry->held = false;
}

void hold_table::drop_all() {
    for(auto &entry: holds_) {
        dropped(entry.worker);
    }
}

bool hold_table::is_held(worker_id const worker, instant const now) const {
    auto const *entry = find(worker);
    return entry != nullptr && entry->held && now < entry->confirmed + config::lease_length;
}

instant hold_table::hold_began(worker_id const worker) const {
    auto const *entry = find(worker);
    return entry == nullptr || !entry->held ? instant{} : entry->began;
}

instant hold_table::lease_end(worker_id const worker) const {
    auto const *entry = find(worker);
    return entry == nullptr ? instant{} : entry->last_granted_until;
}

bool hold_table::needs_confirmation() const {
    if(by_hold_start_.empty()) {
        return false;
    }
    auto const newest_hold = by_hold_start_.rbegin()->first;
    return std::any_of(by_hold_start_.begin(), by_hold_start_.end(),
        [&](auto const &item) { return find(item.second)->confirmed <= newest_hold; });
}

void hold_table::add_use(worker_id const worker, team_id const team, resources const &amount) {
    if(auto *entry = find(worker); entry != nullptr) {
        entry->use[team] += amount;
        known_[team] += amount;
    }
}

void hold_table::remove_use(worker_id const worker, team_id const team, resources const &amount) {
    if(auto *entry = find(worker); entry != nullptr) {
        entry->use[team] -= amount;
        known_[team] -= amount;
    }
}

resources hold_table::charge_before_start(team_id const team, worker_id const worker) const {
    auto charge = known_use(team);
    auto const *target = find(worker);
    auto const began = target == nullptr ? instant::max() : target->began;
    for(auto const &[confirmed, other]: by_confirmation_) {
        if(confirmed > began) {
            break;
        }
        if(other != worker) {
            auto const *entry = find(other);
            auto const use = entry->use.find(team);
            auto const known = use == entry->use.end() ? resources{} : use->second;
            charge += max_of(entry->size, known) - known;
        }
    }
    return charge;
}

bool hold_table::may_start(team_id const team, worker_id const worker, resources const &amount, resources const &limit,
    instant const now) const {
    return is_held(worker, now) && fits(charge_before_start(team, worker) + amount, limit);
}

resources hold_table::known_use(team_id const team) const {
    auto const found = known_.find(team);
    return found == known_.end() ? resources{} : found->second;
}

hold_table::hold *hold_table::find(worker_id const worker) {
    return worker.index < holds_.size() && holds_[worker.index].worker == worker ? &holds_[worker.index] : nullptr;
}

hold_table::hold const *hold_table::find(worker_id const worker) const {
    return worker.index < holds_.size() && holds_[worker.index].worker == worker ? &holds_[worker.index] : nullptr;
}

} // namespace kingcuplink
