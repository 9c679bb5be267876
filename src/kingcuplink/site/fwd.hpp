#ifndef KINGCUPLINK_SITE_FWD_HPP_INCLUDED
#define KINGCUPLINK_SITE_FWD_HPP_INCLUDED

namespace kingcuplink {

struct site_settings;

class keyed_log;

class worker_port;

class advice_port;

class keyed_reader;

class worker_clocks;

class fleet_leader;

class site_node;

} // namespace kingcuplink

#endif
