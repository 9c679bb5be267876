#include <chrono>
#include <kingcuplink/site/relay_policy.hpp>
#include <limits>

namespace kingcuplink {

namespace internal {

/*! Starts per second that a leader sends by itself; each takes about 0.2 ms of processor time. */
constexpr std::uint64_t max_direct_starts = 800u;
/*! Part of the link, in percent, that starts sent by the leader itself may take. */
constexpr std::uint64_t direct_link_percent = 10u;
/*! Bytes of a start in addition to its payload. */
constexpr std::uint64_t start_overhead = 500u;
constexpr std::uint64_t bytes_per_megabit = 125'000u;
constexpr std::uint64_t whole_percent = 100u;

std::int64_t second_of(instant const time) noexcept {
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace internal

relay_policy::relay_policy(std::uint32_t const link_mbps) noexcept
    : max_bytes_{link_mbps == 0u
              ? std::numeric_limits<std::uint64_t>::max()
              : link_mbps * internal::bytes_per_megabit * internal::direct_link_percent / internal::whole_percent} {}

void relay_policy::record_start(std::size_t const payload_bytes, instant const now) noexcept {
    auto const second = internal::second_of(now);
    if(second != second_) {
        previous_ = second == second_ + 1 ? current_ : load{};
        current_ = {};
        second_ = second;
    }
    ++current_.starts;
    current_.bytes += payload_bytes + internal::start_overhead;
}

relay_policy::load relay_policy::last_whole_second(instant const now) const noexcept {
    auto const second = internal::second_of(now);
    if(second == second_) {
        return previous_;
    }
    return second == second_ + 1 ? current_ : load{};
}

bool relay_policy::is_relaying(instant const now) const noexcept {
    auto const last = last_whole_second(now);
    return last.starts > internal::max_direct_starts || last.bytes > max_bytes_;
}

} // namespace kingcuplink
