#ifndef KINGCUPLINK_BENCH_SCENARIOS_HPP_INCLUDED
#define KINGCUPLINK_BENCH_SCENARIOS_HPP_INCLUDED

#include "replay.hpp"

#include <span>
#include <string_view>

namespace kingcuplink::bench {

/*! Size of a fleet and its teams. */
struct fleet_size {
    std::string_view name;
    std::size_t workers;
    std::size_t teams;
};

/*! How a scenario differs from an ordinary day. */
enum class trouble : std::uint8_t {
    none,
    overload,
    rack_lost,
    domain_out,
    failing_workers,
    cancellations,
    wrong_sizes,
    count
};

/*! Returns the name of a trouble. */
[[nodiscard]] std::string_view name_of(trouble what) noexcept;

/*!
 * Makes a scenario.
 * @param size Fleet and teams.
 * @param what How it differs from an ordinary day.
 * @param length Length of the day.
 * @param seed Seed of all random choices.
 */
[[nodiscard]] scenario make_scenario(fleet_size const &size, trouble what, millis length, std::uint64_t seed);

} // namespace kingcuplink::bench

#endif
