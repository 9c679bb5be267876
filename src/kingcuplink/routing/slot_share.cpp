#include <algorithm>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/routing/slot_share.hpp>

namespace kingcuplink {

std::int64_t slot_share(std::string_view const runner, std::int64_t const slots,
    std::span<std::string const> const live_vms, std::string_view const self) {
    auto const count = static_cast<std::int64_t>(live_vms.size());
    if(count == 0) {
        return slots;
    }
    auto const own = rendezvous_weight(runner, self);
    auto const higher_ranked = std::count_if(live_vms.begin(), live_vms.end(),
        [&](auto const &vm) { return vm != self && rendezvous_weight(runner, vm) > own; });
    return slots / count + (higher_ranked < slots % count ? 1 : 0);
}

} // namespace kingcuplink
