#ifndef KINGCUPLINK_GATEWAY_FWD_HPP_INCLUDED
#define KINGCUPLINK_GATEWAY_FWD_HPP_INCLUDED

namespace kingcuplink {

struct fleet_view;

class control_api;

class request_router;

class http_server;

} // namespace kingcuplink

#endif
