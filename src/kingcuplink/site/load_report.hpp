#ifndef KINGCUPLINK_SITE_LOAD_REPORT_HPP_INCLUDED
#define KINGCUPLINK_SITE_LOAD_REPORT_HPP_INCLUDED

#include <array>
#include <boost/json/object.hpp>
#include <cstdint>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/core/time.hpp>

namespace kingcuplink {

/*! Bytes per second of an entry VM by purpose, between two reports. Performs no I/O and reads no clock. */
class load_report {
public:
    /*! Begins the first interval with the current values of the counters. */
    load_report(counters const &stats, instant now);

    /*! Returns whether the next report is due. */
    [[nodiscard]] bool is_due(instant now) const noexcept;

    /*! Returns the bytes per second since the latest report and begins the next interval. */
    [[nodiscard]] boost::json::object next(counters const &stats, instant now);

private:
    struct totals {
        std::array<std::uint64_t, traffic_count> sent{};
        std::array<std::uint64_t, traffic_count> received{};
        std::uint64_t peers_sent{};
        std::uint64_t peers_received{};
    };

    [[nodiscard]] static totals read(counters const &stats);

    totals reported_;
    instant reported_at_;
};

} // namespace kingcuplink

#endif
