#ifndef KINGCUPLINK_SITE_SITE_SETTINGS_HPP_INCLUDED
#define KINGCUPLINK_SITE_SITE_SETTINGS_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <string>

namespace kingcuplink {

/*! Settings of an entry VM whose platform keeps all lasting state. */
struct site_settings {
    std::string name;
    std::string failure_domain;
    /*! Where callers' requests arrive. */
    std::string callers_address;
    /*! Where the platform's balancer asks for readiness. */
    std::string readiness_address;
    /*! Where other entry VMs' messages arrive. */
    std::string peer_address;
    /*! Where metrics are served; empty for nowhere. */
    std::string metrics_address;
    std::string log_address;
    /*! Empty if no queue has an adviser. */
    std::string adviser_address;
    /*! Longest lease that workers grant. */
    millis lease_limit{10'000};
    /*! Time for which the state of an ended job is told. */
    millis status_time{120'000};
    /*! Processor time of this entry VM in thousandths of a core; zero if it is not known. */
    std::uint32_t processor_millicores{};
    /*! Time between SIGTERM and the end of the process. */
    millis shutdown_time{5'000};
};

} // namespace kingcuplink

#endif
