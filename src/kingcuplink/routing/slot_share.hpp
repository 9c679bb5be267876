#ifndef KINGCUPLINK_ROUTING_SLOT_SHARE_HPP_INCLUDED
#define KINGCUPLINK_ROUTING_SLOT_SHARE_HPP_INCLUDED

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace kingcuplink {

/*!
 * Returns an entry VM's part of a runner's slots. They are divided evenly; what
 * does not divide goes to the first in rendezvous order. Thread safe.
 * @param runner Name of the runner.
 * @param slots Number of its slots.
 * @param live_vms Live entry VMs of the failure domain, this one included.
 * @param self Name of this entry VM.
 */
[[nodiscard]] std::int64_t slot_share(
    std::string_view runner, std::int64_t slots, std::span<std::string const> live_vms, std::string_view self);

} // namespace kingcuplink

#endif
