#include <algorithm>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <kingcuplink/workflow/dispatch_state.hpp>

namespace kingcuplink {

namespace internal {

/*! Time for which an entry VM counts as busy after a call without an answer: about two long calls. */
constexpr millis unanswered_call_delay{2'000};

} // namespace internal

void adviser_pool::add(std::string const &name) {
    members_.try_emplace(name);
}

void adviser_pool::remove(std::string const &name) {
    members_.erase(name);
}

adviser_pool::assignment adviser_pool::assign(millis const duration, instant const now) {
    auto const is_long = duration >= internal::long_query_duration;
    auto const limit = is_long ? long_call_limit(members_.size()) : members_.size();
    auto best = members_.end();
    std::size_t pos{};
    for(auto entry = members_.begin(); entry != members_.end() && pos < limit; ++entry, ++pos) {
        if(best == members_.end() || entry->second.free_at < best->second.free_at) {
            best = entry;
        }
    }
    if(best == members_.end()) {
        return {};
    }
    best->second.free_at = std::max(best->second.free_at, now) + duration;
    ++best->second.calls;
    return {best->first, best->second.free_at};
}

void adviser_pool::release(std::string const &name, bool const answered, instant const now) {
    auto const found = members_.find(name);
    if(found == members_.end() || found->second.calls == 0u) {
        return;
    }
    auto &vm = found->second;
    --vm.calls;
    if(!answered) {
        vm.free_at = std::max(vm.free_at, now + internal::unanswered_call_delay);
    } else if(vm.calls == 0u) {
        vm.free_at = std::min(vm.free_at, now);
    }
}

} // namespace kingcuplink
