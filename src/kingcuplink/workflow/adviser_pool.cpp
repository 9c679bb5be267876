#include <algorithm>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <kingcuplink/workflow/dispatch_state.hpp>

namespace kingcuplink {

void adviser_pool::add(std::string const &name) {
    members_.try_emplace(name);
}

void adviser_pool::remove(std::string const &name) {
    members_.erase(name);
}

std::string adviser_pool::book(millis const duration, instant const now) {
    auto const is_long = duration >= internal::long_query;
    auto const limit = long_capable(members_.size());
    auto best = members_.end();
    std::size_t pos{};
    for(auto entry = members_.begin(); entry != members_.end(); ++entry, ++pos) {
        if(is_long && pos >= limit) {
            break;
        }
        if(best == members_.end() || std::max(entry->second.free_at, now) <= std::max(best->second.free_at, now)) {
            best = entry;
        }
    }
    if(best == members_.end()) {
        return {};
    }
    best->second.free_at = std::max(best->second.free_at, now) + duration;
    ++best->second.calls;
    return best->first;
}

void adviser_pool::release(std::string const &name, instant const now) {
    auto const found = members_.find(name);
    if(found == members_.end() || found->second.calls == 0u) {
        return;
    }
    if(--found->second.calls == 0u) {
        found->second.free_at = now;
    }
}

} // namespace kingcuplink
