#include <algorithm>
#include <kingcuplink/site/worker_clocks.hpp>

namespace kingcuplink {

worker_clocks::worker_clocks(millis const lease_limit) noexcept : lease_limit_{lease_limit} {}

void worker_clocks::report(
    std::string const &worker, std::uint64_t const boot, std::int64_t const clock, instant const now) {
    readings_[worker] = {boot, clock, now};
}

std::optional<lease_request> worker_clocks::request(
    std::string const &worker, std::uint64_t const boot, instant const now, millis const lease) const {
    auto const found = readings_.find(worker);
    if(found == readings_.end() || found->second.boot != boot ||
        found->second.received_at + timing::max_clock_age < now) {
        return std::nullopt;
    }
    auto const age = now - found->second.received_at;
    auto const granted = std::min(lease_limit_, lease);
    return lease_request{found->second.clock + (age + granted).count(),
        {timing::lapsed_at(now, lease_limit_), timing::lapsed_at(now, granted)}};
}

} // namespace kingcuplink
