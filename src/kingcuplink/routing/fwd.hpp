#ifndef KINGCUPLINK_ROUTING_FWD_HPP_INCLUDED
#define KINGCUPLINK_ROUTING_FWD_HPP_INCLUDED

namespace kingcuplink {

class runner_pool;

class retry_budget;

} // namespace kingcuplink

#endif
