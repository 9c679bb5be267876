#ifndef KINGCUPLINK_SITE_NODE_PARTS_HPP_INCLUDED
#define KINGCUPLINK_SITE_NODE_PARTS_HPP_INCLUDED

#include <boost/asio/io_context.hpp>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/core/decision_log.hpp>
#include <kingcuplink/core/latencies.hpp>
#include <kingcuplink/site/ports.hpp>
#include <kingcuplink/site/site_settings.hpp>

namespace kingcuplink {

/*! Dependencies of an entry VM's control; all references must outlive it. */
struct node_parts {
    boost::asio::io_context &context;
    site_settings const &settings;
    counters &stats;
    latencies &times;
    decision_log &decisions;
    keyed_log &log;
    site_decoder &decoder;
    worker_port &workers;
    advice_port &advice;
};

} // namespace kingcuplink

#endif
