#ifndef KINGCUPLINK_CORE_LATENCIES_HPP_INCLUDED
#define KINGCUPLINK_CORE_LATENCIES_HPP_INCLUDED

#include <array>
#include <atomic>
#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <string>

namespace kingcuplink {

/*! Measured latencies. */
enum class latency : std::uint8_t {
    /*! From the arrival of a submission until it is committed to the log. */
    acceptance,
    /*! Duration of a successful append to the log. */
    log_append,
    /*! Duration of a read of the stream of jobs that returned records, including the wait for the first one. */
    log_read,
    /*! Duration of an answered query to the adviser. */
    advice,
    /*! Duration of a command to start a run, answered or not. */
    task_start,
    /*! From a job's acceptance until its completion is sent to the log. */
    job,
    /*! Duration of a planning round of the leader. */
    plan_round,
    /*! From a caller's request to cancel a job until the leader applies the cancellation. */
    cancellation,
    count
};

/*! Number of measured latencies. */
inline constexpr std::size_t latency_count = static_cast<std::size_t>(latency::count);

/*! Latency histograms of a process, with bucket bounds that double from 1 ms to 65 s. Thread safe. */
class latencies {
public:
    /*! Records a latency. Negative values, caused by clock differences between VMs, count as zero. */
    void add(latency what, millis time) noexcept;

    /*! Returns all histograms in the Prometheus text format, in seconds. */
    [[nodiscard]] std::string prometheus_text() const;

private:
    /*! Number of bucket bounds: 1, 2, 4, ... 65,536 ms. One more bucket holds larger values. */
    static constexpr std::size_t bounds = 17u;

    struct histogram {
        std::array<std::atomic<std::uint64_t>, bounds + 1u> buckets{};
        std::atomic<std::uint64_t> sum_ms{};
    };

    std::array<histogram, latency_count> histograms_{};
};

} // namespace kingcuplink

#endif
