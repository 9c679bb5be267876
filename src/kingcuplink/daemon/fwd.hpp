#ifndef KINGCUPLINK_DAEMON_FWD_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_FWD_HPP_INCLUDED

namespace kingcuplink {

struct daemon_settings;

class peer_directory;

class document_replicator;

class job_replicator;

class allotment_manager;

class domain_leader;

class control_plane;

} // namespace kingcuplink

#endif
