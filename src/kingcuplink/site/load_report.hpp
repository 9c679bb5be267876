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

/*!
 * Load of a leader between two reports: bytes per second by purpose, time of the control thread, and planning. Uses no
 * I/O and reads no clock.
 */
class load_report {
public:
    /*!
     * Begins the first interval with the current values of the counters.
     * @param thread_time Processor time of the control thread.
     */
    load_report(counters const &stats, std::chrono::nanoseconds thread_time, instant now);

    /*! Returns whether the next report is due. */
    [[nodiscard]] bool is_due(instant now) const noexcept;

    /*! Records a planning round of the given duration. */
    void record_round(dispatch_plan const &plan, std::chrono::microseconds duration) noexcept;

    /*! Records how much later than requested the control thread continued after a pause. */
    void record_timer_delay(millis delay) noexcept;

    /*!
     * Returns the bytes per second, the time of the control thread and the planning rounds since the latest report, and
     * begins the next interval. Held steps are those of the latest round. The times of the control thread, in ms, add
     * up to the interval: processor time by activity, `other` processor time, and `waiting`.
     * @param thread_time Processor time of the control thread.
     */
    [[nodiscard]] boost::json::object next(counters const &stats, std::chrono::nanoseconds thread_time, instant now);

private:
    struct totals {
        std::array<std::uint64_t, traffic_count> sent{};
        std::array<std::uint64_t, traffic_count> received{};
        std::uint64_t peers_sent{};
        std::uint64_t peers_received{};
        std::array<std::chrono::nanoseconds, activity_count> activities{};
        std::chrono::nanoseconds thread{};
    };

    [[nodiscard]] static totals read(counters const &stats, std::chrono::nanoseconds thread_time);

    struct planning {
        std::uint64_t rounds{};
        std::uint64_t steps_examined{};
        std::uint64_t queries{};
        std::uint64_t unused_answers{};
        std::chrono::microseconds total{};
        std::chrono::microseconds longest{};
        std::array<std::size_t, hold_reason_count> held_steps{};
    };

    struct timer_delays {
        std::uint64_t count{};
        millis total{};
        millis longest{};
    };

    [[nodiscard]] static boost::json::object describe(planning const &figures);
    /*! Describes the time of the control thread between two readings. */
    [[nodiscard]] boost::json::object describe_thread(totals const &current, millis interval);

    totals reported_;
    instant reported_at_;
    planning planning_;
    timer_delays timer_delays_;
};

} // namespace kingcuplink

#endif
