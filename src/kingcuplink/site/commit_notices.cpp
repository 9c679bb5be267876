#include <algorithm>
#include <kingcuplink/site/commit_notices.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

bool commit_notices::add(keyed_record record, instant const now) {
    auto const has_key = [&record](auto const &entry) { return entry.record.key == record.key; };
    if(std::any_of(notices_.begin(), notices_.end(), has_key)) {
        return false;
    }
    if(notices_.size() == timing::max_notices) {
        notices_.pop_front();
    }
    notices_.push_back({std::move(record), now});
    return true;
}

bool commit_notices::is_due(notice const &entry, std::uint64_t const term, instant const now) noexcept {
    auto const is_alive = entry.added_at + timing::notice_lifetime > now;
    auto const is_repeated = entry.term != term || entry.sent_at + entry.repeat <= now;
    return is_alive && is_repeated && entry.confirmed_term != term;
}

bool commit_notices::is_due(std::uint64_t const term, instant const now) const {
    return std::any_of(notices_.begin(), notices_.end(), [&](auto const &entry) { return is_due(entry, term, now); });
}

std::vector<keyed_record> commit_notices::next(
    std::uint64_t const message, std::uint64_t const term, instant const now) {
    std::vector<keyed_record> records;
    for(auto &entry: notices_) {
        if(records.size() == timing::max_notices_per_message) {
            break;
        }
        if(is_due(entry, term, now)) {
            entry.repeat = entry.term == term ? entry.repeat * 2 : timing::notice_repeat;
            entry.message = message;
            entry.term = term;
            entry.sent_at = now;
            records.push_back(entry.record);
        }
    }
    return records;
}

void commit_notices::withdraw(std::uint64_t const message) noexcept {
    for(auto &entry: notices_) {
        if(entry.message == message) {
            entry.term = 0u;
        }
    }
}

void commit_notices::confirm(std::uint64_t const message) noexcept {
    for(auto &entry: notices_) {
        if(entry.message == message) {
            entry.confirmed_term = entry.term;
        }
    }
}

void commit_notices::remove_expired(instant const now) {
    std::erase_if(notices_, [now](auto const &entry) { return entry.added_at + timing::notice_lifetime <= now; });
}

} // namespace kingcuplink
