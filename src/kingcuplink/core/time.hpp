#ifndef KINGCUPLINK_CORE_TIME_HPP_INCLUDED
#define KINGCUPLINK_CORE_TIME_HPP_INCLUDED

#include <chrono>

namespace kingcuplink {

/*! Unit of durations. */
using millis = std::chrono::milliseconds;

/*!
 * Point in time. Within a process it is monotonic; between processes it differs by
 * as much as the wall clocks of their VMs.
 */
using instant = std::chrono::sys_time<millis>;

} // namespace kingcuplink

#endif
