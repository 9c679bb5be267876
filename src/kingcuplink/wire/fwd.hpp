#ifndef KINGCUPLINK_WIRE_FWD_HPP_INCLUDED
#define KINGCUPLINK_WIRE_FWD_HPP_INCLUDED

namespace kingcuplink {

class peer_link;

} // namespace kingcuplink

#endif
