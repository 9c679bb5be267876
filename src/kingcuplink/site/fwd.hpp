#ifndef KINGCUPLINK_SITE_FWD_HPP_INCLUDED
#define KINGCUPLINK_SITE_FWD_HPP_INCLUDED

namespace kingcuplink {

struct site_settings;

class keyed_log;

class worker_port;

class advice_port;

class job_questions;

class keyed_reader;

class worker_clocks;

class advice_queries;

class caller_records;

class commit_notices;

class leader_peers;

class load_report;

class record_appender;

class relay_policy;

class start_relay;

class fleet_leader;

class site_node;

} // namespace kingcuplink

#endif
