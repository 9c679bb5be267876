#ifndef KINGCUPLINK_ROUTING_SLOT_SHARE_HPP_INCLUDED
#define KINGCUPLINK_ROUTING_SLOT_SHARE_HPP_INCLUDED

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace kingcuplink {

/*!
 * Returns the number of slots of a runner that are assigned to an entry VM. The slots
 * are divided evenly; the remainder goes to the first entry VMs in rendezvous order,
 * one slot each. Returns all slots if no entry VM is live. Thread safe.
 * @param runner Name of the runner.
 * @param slots Number of slots of the runner.
 * @param live_vms Live entry VMs of the failure domain, including this one.
 * @param self Name of this entry VM.
 */
[[nodiscard]] std::int64_t slot_share(
    std::string_view runner, std::int64_t slots, std::span<std::string const> live_vms, std::string_view self);

} // namespace kingcuplink

#endif
