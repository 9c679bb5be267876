#include <bit>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/placement/worker_index.hpp>
#include <limits>

namespace kingcuplink {

namespace internal {

constexpr resources no_capacity{-1, -1, -1};
constexpr std::size_t search_limit = 8u * config::fit_candidates;

} // namespace internal

void worker_index::set(worker_id const worker, resources const &free) {
    erase(worker);
    if(worker.index >= leaves_) {
        grow(std::bit_ceil(static_cast<std::size_t>(worker.index) + 1u));
    }
    entries_[worker.index] = {worker, free, true};
    levels_[free.accelerators].emplace(free.millicores, worker);
    ++size_;
    refresh(worker.index);
}

void worker_index::erase(worker_id const worker) {
    if(worker.index >= leaves_ || !entries_[worker.index].present) {
        return;
    }
    auto &old = entries_[worker.index];
    auto const level = levels_.find(old.free.accelerators);
    level->second.erase({old.free.millicores, old.worker});
    if(level->second.empty()) {
        levels_.erase(level);
    }
    old.present = false;
    --size_;
    refresh(worker.index);
}

std::optional<worker_id> worker_index::tightest(resources const &need) const {
    std::size_t examined{};
    for(auto level = levels_.lower_bound(need.accelerators); level != levels_.end(); ++level) {
        std::optional<worker_id> best;
        std::size_t candidates{};
        auto least_memory = std::numeric_limits<std::int64_t>::max();
        for(auto it = level->second.lower_bound({need.millicores, worker_id{0u, 0u}}); it != level->second.end();
            ++it) {
            auto const &free = entries_[it->second.index].free;
            if(free.memory_mib >= need.memory_mib) {
                ++candidates;
                if(free.memory_mib < least_memory) {
                    least_memory = free.memory_mib;
                    best = it->second;
                }
            }
            if(candidates == config::fit_candidates || ++examined == internal::search_limit) {
                break;
            }
        }
        if(best) {
            return best;
        }
        if(examined >= internal::search_limit) {
            break;
        }
    }
    return first(need);
}

std::optional<worker_id> worker_index::first(resources const &need) const {
    return leaves_ == 0u ? std::nullopt : descend(1u, need);
}

bool worker_index::contains(worker_id const worker) const noexcept {
    return worker.index < leaves_ && entries_[worker.index].present && entries_[worker.index].worker == worker;
}

std::size_t worker_index::size() const noexcept {
    return size_;
}

std::optional<worker_id> worker_index::descend(std::size_t const node, resources const &need) const {
    if(!fits(need, tree_[node])) {
        return std::nullopt;
    }
    if(node >= leaves_) {
        return entries_[node - leaves_].worker;
    }
    auto const left = descend(2u * node, need);
    return left ? left : descend(2u * node + 1u, need);
}

void worker_index::grow(std::size_t const leaves) {
    leaves_ = leaves;
    entries_.resize(leaves);
    tree_.assign(2u * leaves, internal::no_capacity);
    for(std::size_t leaf{}; leaf < leaves; ++leaf) {
        refresh(leaf);
    }
}

void worker_index::refresh(std::size_t const leaf) {
    auto node = leaf + leaves_;
    tree_[node] = entries_[leaf].present ? entries_[leaf].free : internal::no_capacity;
    for(node /= 2u; node > 0u; node /= 2u) {
        tree_[node] = max_of(tree_[2u * node], tree_[2u * node + 1u]);
    }
}

} // namespace kingcuplink
