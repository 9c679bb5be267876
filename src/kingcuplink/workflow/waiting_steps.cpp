#include <algorithm>
#include <kingcuplink/workflow/waiting_steps.hpp>

namespace kingcuplink::internal {

std::vector<step_key> waiting_steps::take_changes(instant const now) {
    auto result = std::exchange(changed_, {});
    for(; !rank_changes_.empty() && rank_changes_.top().first <= now; rank_changes_.pop()) {
        result.push_back(rank_changes_.top().second);
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

void waiting_steps::insert(
    step_key const &key, service_rank const &rank, std::optional<instant> const rank_changes_at) {
    auto const [found, is_new] = ranks_.try_emplace(key, rank);
    if(!is_new) {
        if(found->second == rank) {
            return;
        }
        by_rank_.erase({found->second, key});
        found->second = rank;
    }
    by_rank_.insert({rank, key});
    if(rank_changes_at) {
        rank_changes_.emplace(*rank_changes_at, key);
    }
}

void waiting_steps::erase(step_key const &key) {
    if(auto const found = ranks_.find(key); found != ranks_.end()) {
        by_rank_.erase({found->second, key});
        ranks_.erase(found);
    }
}

} // namespace kingcuplink::internal
