#include <algorithm>
#include <kingcuplink/core/hash.hpp>
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

bool is_in_force(site_rules const &rules, std::string_view const queue) noexcept {
    auto const *found = find_queue(rules, queue);
    return found != nullptr && !found->retired;
}

std::uint32_t path_hash_of(queue_rules const &queue) noexcept {
    auto const hash = static_cast<std::uint32_t>(stable_hash(queue.path_prefix, stable_hash(queue.host)));
    return std::max<std::uint32_t>(1u, hash);
}

std::shared_ptr<job_terms const> terms_of_job(
    site_rules const &rules, std::string_view const queue, std::optional<job_terms> const &accepted) {
    auto const *found = find_queue(rules, queue);
    if(!accepted) {
        return found != nullptr ? std::make_shared<job_terms const>(*found) : nullptr;
    }
    auto terms = std::make_shared<job_terms>(*accepted);
    if(found != nullptr && !found->retired) {
        terms->service = found->service;
        terms->advice = found->advice;
    }
    return terms;
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
