#ifndef KINGCUPLINK_CORE_TIME_HPP_INCLUDED
#define KINGCUPLINK_CORE_TIME_HPP_INCLUDED

#include <chrono>

namespace kingcuplink {

/*! Duration unit of every decision. */
using millis = std::chrono::milliseconds;

/*!
 * Point in time handed to decisions. Within one process it never goes back;
 * between processes it is as close as the VMs' wall clocks are.
 */
using instant = std::chrono::sys_time<millis>;

} // namespace kingcuplink

#endif
