#ifndef KINGCUPLINK_SITE_LEADER_LIMITS_HPP_INCLUDED
#define KINGCUPLINK_SITE_LEADER_LIMITS_HPP_INCLUDED

#include <kingcuplink/site/timing.hpp>
#include <kingcuplink/workflow/types.hpp>

namespace kingcuplink {

/*!
 * Returns the limits of the dispatcher of a leader in a site.
 * @param lease_limit Longest lease that workers accept.
 * @param command_delay_limit Longest time between the sending of a command without an answer and its execution.
 */
[[nodiscard]] constexpr dispatch_limits leader_limits(
    millis const lease_limit, millis const command_delay_limit) noexcept {
    return {timing::lease_renewal_limit + lease_limit + timing::worker_timeout,
        timing::lease_renewal_limit + timing::worker_timeout, command_delay_limit, timing::longest_lease(lease_limit)};
}

} // namespace kingcuplink

#endif
