#ifndef KINGCUPLINK_PLACEMENT_FWD_HPP_INCLUDED
#define KINGCUPLINK_PLACEMENT_FWD_HPP_INCLUDED

namespace kingcuplink {

class scheduler;

class start_gate;

class worker_index;

struct placement_plan;

} // namespace kingcuplink

#endif
