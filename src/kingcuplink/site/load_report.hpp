#ifndef KINGCUPLINK_SITE_LOAD_REPORT_HPP_INCLUDED
#define KINGCUPLINK_SITE_LOAD_REPORT_HPP_INCLUDED

#include <array>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>

namespace kingcuplink {

/*! Load of a leader between two reports: bytes per second by purpose, and planning. Uses no I/O and reads no clock. */
class load_report {
public:
    /*! Begins the first interval with the current values of the counters. */
    load_report(counters const &stats, instant now);

    /*! Returns whether the next report is due. */
    [[nodiscard]] bool is_due(instant now) const noexcept;

    /*! Records a planning round of the given duration. */
    void record_round(dispatch_plan const &plan, std::chrono::microseconds duration) noexcept;

    /*!
     * Returns the bytes per second and the planning rounds since the latest report, and begins the next interval. Held
     * steps are those of the latest round.
     */
    [[nodiscard]] boost::json::object next(counters const &stats, instant now);

private:
    struct totals {
        std::array<std::uint64_t, traffic_count> sent{};
        std::array<std::uint64_t, traffic_count> received{};
        std::uint64_t peers_sent{};
        std::uint64_t peers_received{};
    };

    [[nodiscard]] static totals read(counters const &stats);

    struct planning {
        std::uint64_t rounds{};
        std::uint64_t steps_examined{};
        std::uint64_t queries{};
        std::uint64_t unused_answers{};
        std::chrono::microseconds total{};
        std::chrono::microseconds longest{};
        std::array<std::size_t, hold_reason_count> held_steps{};
    };

    [[nodiscard]] static boost::json::object describe(planning const &figures);

    totals reported_;
    instant reported_at_;
    planning planning_;
};

} // namespace kingcuplink

#endif
