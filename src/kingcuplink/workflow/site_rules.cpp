#include <algorithm>
#include <kingcuplink/workflow/site_rules.hpp>

namespace kingcuplink {

namespace internal {

template<typename Range, typename Predicate>
auto const *find_if_or_null(Range const &range, Predicate const &predicate) noexcept {
    auto const found = std::find_if(range.begin(), range.end(), predicate);
    return found == range.end() ? nullptr : &*found;
}

} // namespace internal

queue_rules const *find_queue(
    site_rules const &rules, std::string_view const host, std::string_view const path) noexcept {
    queue_rules const *best{};
    for(auto const &queue: rules.queues) {
        auto const matches = !queue.retired && queue.host == host && path.starts_with(queue.path_prefix);
        if(matches && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

queue_rules const *find_queue(site_rules const &rules, std::string_view const name) noexcept {
    return internal::find_if_or_null(rules.queues, [&](auto const &queue) { return queue.name == name; });
}

account_rules const *find_account(site_rules const &rules, std::string_view const name) noexcept {
    return internal::find_if_or_null(rules.accounts, [&](auto const &account) { return account.name == name; });
}

account_rules const *find_account_of_key(site_rules const &rules, std::string_view const key) noexcept {
    return internal::find_if_or_null(rules.accounts, [&](auto const &account) {
        return std::find(account.keys.begin(), account.keys.end(), key) != account.keys.end();
    });
}

void retire_queues(site_rules &rules, site_rules const &earlier) {
    for(auto const &queue: earlier.queues) {
        if(find_queue(rules, queue.name) == nullptr) {
            rules.queues.push_back(queue);
            rules.queues.back().retired = true;
        }
    }
}

} // namespace kingcuplink
