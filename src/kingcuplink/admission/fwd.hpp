#ifndef KINGCUPLINK_ADMISSION_FWD_HPP_INCLUDED
#define KINGCUPLINK_ADMISSION_FWD_HPP_INCLUDED

namespace kingcuplink {

class fair_queue;

} // namespace kingcuplink

#endif
