#ifndef KINGCUPLINK_CORE_WORK_TIMER_HPP_INCLUDED
#define KINGCUPLINK_CORE_WORK_TIMER_HPP_INCLUDED

#include <chrono>
#include <ctime>
#include <kingcuplink/core/counters.hpp>

namespace kingcuplink {

/*! Returns the processor time of the calling thread since its start. */
[[nodiscard]] inline std::chrono::nanoseconds thread_processor_time() noexcept {
    std::timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

/*!
 * Adds the processor time of a block to the counter of an activity. Blocks must not be nested, nor be suspended by a
 * coroutine. Must be destroyed on the thread that constructed it.
 */
class work_timer {
public:
    work_timer(counters &stats, activity const what) noexcept
        : stats_{stats}, what_{what}, begun_at_{thread_processor_time()} {}

    work_timer(work_timer const &) = delete;
    work_timer &operator=(work_timer const &) = delete;

    ~work_timer() {
        stats_.add(what_, thread_processor_time() - begun_at_);
    }

private:
    counters &stats_;
    activity what_;
    std::chrono::nanoseconds begun_at_;
};

} // namespace kingcuplink

#endif
