#ifndef KINGCUPLINK_CORE_LATENCIES_HPP_INCLUDED
#define KINGCUPLINK_CORE_LATENCIES_HPP_INCLUDED

#include <array>
#include <atomic>
#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <string>

namespace kingcuplink {

/*! Times that are measured. */
enum class latency : std::uint8_t {
    /*! From a submission's arrival until the log has it. */
    acceptance,
    /*! An append to the log that was done. */
    log_append,
    /*! A question to the adviser that was answered. */
    advice,
    /*! An order to start a run, answered or not. */
    task_start,
    /*! From a job's acceptance until its end is on the way to the log. */
    job,
    count
};

/*! Number of times that are measured. */
inline constexpr std::size_t latency_count = static_cast<std::size_t>(latency::count);

/*! Histograms of one process, with buckets that double from 1 ms to 65 s. Thread safe. */
class latencies {
public:
    /*! Adds a measured time; one below zero, from another VM's clock, counts as zero. */
    void add(latency what, millis time) noexcept;

    /*! Returns all histograms in the Prometheus text format, in seconds. */
    [[nodiscard]] std::string prometheus_text() const;

private:
    /*! Bounds of 1, 2, 4, ... 65,536 ms, and one bucket beyond. */
    static constexpr std::size_t bounds = 17u;

    struct histogram {
        std::array<std::atomic<std::uint64_t>, bounds + 1u> buckets{};
        std::atomic<std::uint64_t> sum_ms{};
    };

    std::array<histogram, latency_count> histograms_{};
};

} // namespace kingcuplink

#endif
