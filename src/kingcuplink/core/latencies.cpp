#include <algorithm>
#include <kingcuplink/core/latencies.hpp>
#include <string_view>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, latency_count> latency_names{
    "acceptance", "log_append", "log_read", "advice", "task_start", "job", "plan_round", "cancellation"};

/*! Formats milliseconds as seconds with three decimal places. */
std::string seconds_text(std::uint64_t const ms) {
    auto const rest = std::to_string(ms % 1'000u);
    return std::to_string(ms / 1'000u) + "." + std::string(3u - rest.size(), '0') + rest;
}

} // namespace internal

void latencies::add(latency const what, millis const time) noexcept {
    auto const ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
    auto &target = histograms_[static_cast<std::size_t>(what)];
    std::size_t bucket{};
    while(bucket < bounds && ms > (std::uint64_t{1} << bucket)) {
        ++bucket;
    }
    target.buckets[bucket].fetch_add(1u, std::memory_order_relaxed);
    target.sum_ms.fetch_add(ms, std::memory_order_relaxed);
}

std::string latencies::prometheus_text() const {
    std::string text;
    for(std::size_t pos{}; pos < latency_count; ++pos) {
        auto const name = "kingcuplink_" + std::string{internal::latency_names[pos]} + "_seconds";
        auto const &source = histograms_[pos];
        text.append("# TYPE ").append(name).append(" histogram\n");
        std::uint64_t count{};
        for(std::size_t bucket{}; bucket <= bounds; ++bucket) {
            count += source.buckets[bucket].load(std::memory_order_relaxed);
            auto const bound = bucket < bounds ? internal::seconds_text(std::uint64_t{1} << bucket) : "+Inf";
            text.append(name).append("_bucket{le=\"").append(bound).append("\"} ");
            text.append(std::to_string(count)).append("\n");
        }
        auto const sum = internal::seconds_text(source.sum_ms.load(std::memory_order_relaxed));
        text.append(name).append("_sum ").append(sum).append("\n");
        text.append(name).append("_count ").append(std::to_string(count)).append("\n");
    }
    return text;
}

} // namespace kingcuplink
