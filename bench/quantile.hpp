#ifndef KINGCUPLINK_BENCH_QUANTILE_HPP_INCLUDED
#define KINGCUPLINK_BENCH_QUANTILE_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <vector>

namespace kingcuplink::bench {

/*! Returns a quantile of values, 0 to 1; zero if there are none. */
[[nodiscard]] inline double quantile(std::vector<double> values, double const part) {
    if(values.empty()) {
        return 0.0;
    }
    auto const position = static_cast<std::ptrdiff_t>(part * static_cast<double>(values.size() - 1u));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

} // namespace kingcuplink::bench

#endif
