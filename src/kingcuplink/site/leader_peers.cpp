#include <algorithm>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/site/leader_peers.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

bool leader_peers::introduce(std::string const &name, peer_introduction introduction, instant const now) {
    auto const [found, is_new] = peers_.try_emplace(name);
    auto &entry = found->second;
    if(entry.introduction.process != introduction.process) {
        entry.relays_from = {};
    }
    entry.introduction = std::move(introduction);
    entry.introduced_at = now;
    if(is_new) {
        entry.latest_heartbeat = ++heartbeats_;
    }
    return is_new;
}

std::vector<std::string> leader_peers::remove_silent(instant const now) {
    std::vector<std::string> removed;
    std::erase_if(peers_, [&](auto const &entry) {
        auto const is_silent = entry.second.introduced_at + timing::peer_silence <= now;
        if(is_silent) {
            removed.push_back(entry.first);
        }
        return is_silent;
    });
    return removed;
}

std::uint32_t leader_peers::most_millicores() const noexcept {
    std::uint32_t most{};
    for(auto const &[name, entry]: peers_) {
        if(!entry.introduction.misses_log) {
            most = std::max(most, entry.introduction.processor_millicores);
        }
    }
    return most;
}

template<typename Peers>
auto leader_peers::by_size(Peers &peers) {
    std::vector<decltype(peers.begin())> order;
    for(auto entry = peers.begin(); entry != peers.end(); ++entry) {
        order.push_back(entry);
    }
    std::stable_sort(order.begin(), order.end(), [](auto const lhs, auto const rhs) {
        return lhs->second.introduction.processor_millicores > rhs->second.introduction.processor_millicores;
    });
    return order;
}

std::vector<leader_candidate> leader_peers::candidates() const {
    std::vector<leader_candidate> result;
    auto order = by_size(peers_);
    std::stable_partition(
        order.begin(), order.end(), [](auto const entry) { return !entry->second.introduction.misses_log; });
    for(auto const entry: order) {
        if(result.size() == timing::max_leader_candidates) {
            break;
        }
        result.push_back({entry->first, entry->second.introduction.peer_address});
    }
    return result;
}

std::vector<heartbeat_receiver> leader_peers::next_heartbeat_receivers() {
    auto order = by_size(peers_);
    auto const frequent = std::min(order.size(), timing::max_frequent_heartbeats);
    auto const others = order.begin() + static_cast<std::ptrdiff_t>(frequent);
    // Those that have waited longest come first, so that nobody waits longer because others come and go.
    std::stable_sort(others, order.end(),
        [](auto const lhs, auto const rhs) { return lhs->second.latest_heartbeat < rhs->second.latest_heartbeat; });
    auto const turns = (order.size() - frequent + timing::slow_heartbeat_rounds - 1u) / timing::slow_heartbeat_rounds;
    order.resize(frequent + turns);
    std::vector<heartbeat_receiver> receivers;
    for(std::size_t pos{}; pos < order.size(); ++pos) {
        order[pos]->second.latest_heartbeat = ++heartbeats_;
        receivers.push_back(
            {order[pos]->first, pos < frequent ? timing::heartbeat_interval : timing::slow_heartbeat_interval});
    }
    return receivers;
}

std::optional<relay_grant> leader_peers::relay_for(
    std::string_view const worker, std::string_view const failure_domain, instant const now) const {
    auto best = peers_.end();
    std::uint64_t best_weight{};
    for(auto entry = peers_.begin(); entry != peers_.end(); ++entry) {
        auto const &[name, candidate] = *entry;
        auto const is_usable = candidate.introduction.failure_domain == failure_domain &&
            candidate.introduced_at + timing::relay_clock_age > now && candidate.relays_from <= now;
        if(!is_usable) {
            continue;
        }
        auto const weight = rendezvous_weight(worker, name);
        if(best == peers_.end() || weight > best_weight) {
            best = entry;
            best_weight = weight;
        }
    }
    if(best == peers_.end()) {
        return std::nullopt;
    }
    // The introduction may have been on its way for a while, so the clock of the process is at least at this time.
    auto const &chosen = best->second;
    auto const clock = chosen.introduction.clock + (now - chosen.introduced_at).count();
    return relay_grant{best->first, chosen.introduction.process, clock + timing::start_relay_lifetime.count()};
}

void leader_peers::record_failed_relay(std::string const &name, instant const now) {
    if(auto const found = peers_.find(name); found != peers_.end()) {
        found->second.relays_from = now + timing::failed_relay_pause;
    }
}

std::vector<std::string> leader_peers::names() const {
    std::vector<std::string> result;
    result.reserve(peers_.size());
    for(auto const &[name, entry]: peers_) {
        result.push_back(name);
    }
    return result;
}

} // namespace kingcuplink
