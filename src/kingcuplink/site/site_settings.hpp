#ifndef KINGCUPLINK_SITE_SITE_SETTINGS_HPP_INCLUDED
#define KINGCUPLINK_SITE_SITE_SETTINGS_HPP_INCLUDED

#include <algorithm>
#include <cstdint>
#include <kingcuplink/site/timing.hpp>
#include <string>

namespace kingcuplink {

/*! Settings of an entry VM in a site, where the platform persists all state. */
struct site_settings {
    std::string name;
    std::string failure_domain;
    /*! Address that accepts callers' requests. */
    std::string callers_address;
    /*! Address of the readiness endpoint for the platform's load balancer. */
    std::string readiness_address;
    /*! Address that receives messages of other entry VMs. */
    std::string peer_address;
    /*! Address of the metrics endpoint; empty to disable it. */
    std::string metrics_address;
    std::string log_address;
    /*! Address of the adviser; empty if no queue has one. */
    std::string adviser_address;
    /*! Longest lease that workers accept. */
    millis lease_limit{10'000};
    /*! Longest time between the sending of a command that has no answer and its execution by a worker. */
    millis command_delay_limit{12'500};
    /*! Time for which the state of an ended job can be queried. */
    millis status_time{120'000};
    /*! Processor time of this entry VM in thousandths of a core; zero if unknown. */
    std::uint32_t processor_millicores{};
    /*! Speed of this entry VM's link in Mbit/s; zero if unknown. */
    std::uint32_t link_mbps{};
    /*! Time between SIGTERM and the end of the process. */
    millis shutdown_time{5'000};
};

/*! Returns the time for which the log retains the records of an ended job, or the cancellation of an unknown one. */
[[nodiscard]] constexpr millis retention_of(site_settings const &settings) noexcept {
    return std::max(settings.status_time, timing::late_append_limit);
}

} // namespace kingcuplink

#endif
