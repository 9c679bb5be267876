#ifndef KINGCUPLINK_CORE_RESOURCES_HPP_INCLUDED
#define KINGCUPLINK_CORE_RESOURCES_HPP_INCLUDED

#include <algorithm>
#include <cstdint>

namespace kingcuplink {

/*! Amount of resources that a worker offers or a task uses. */
struct resources {
    std::int64_t millicores{};
    std::int64_t memory_mib{};
    std::int64_t accelerators{};

    friend constexpr bool operator==(resources const &, resources const &) noexcept = default;

    constexpr resources &operator+=(resources const &other) noexcept {
        millicores += other.millicores;
        memory_mib += other.memory_mib;
        accelerators += other.accelerators;
        return *this;
    }

    constexpr resources &operator-=(resources const &other) noexcept {
        millicores -= other.millicores;
        memory_mib -= other.memory_mib;
        accelerators -= other.accelerators;
        return *this;
    }

    friend constexpr resources operator+(resources lhs, resources const &rhs) noexcept {
        return lhs += rhs;
    }

    friend constexpr resources operator-(resources lhs, resources const &rhs) noexcept {
        return lhs -= rhs;
    }

    friend constexpr resources operator*(resources lhs, std::int64_t const count) noexcept {
        return {lhs.millicores * count, lhs.memory_mib * count, lhs.accelerators * count};
    }
};

/*! Returns true if an amount is within a limit in every dimension. */
[[nodiscard]] constexpr bool fits(resources const &amount, resources const &limit) noexcept {
    return amount.millicores <= limit.millicores && amount.memory_mib <= limit.memory_mib &&
        amount.accelerators <= limit.accelerators;
}

/*! Returns the larger amount of each dimension. */
[[nodiscard]] constexpr resources max_of(resources const &lhs, resources const &rhs) noexcept {
    return {std::max(lhs.millicores, rhs.millicores), std::max(lhs.memory_mib, rhs.memory_mib),
        std::max(lhs.accelerators, rhs.accelerators)};
}

/*! Returns the smaller amount of each dimension. */
[[nodiscard]] constexpr resources min_of(resources const &lhs, resources const &rhs) noexcept {
    return {std::min(lhs.millicores, rhs.millicores), std::min(lhs.memory_mib, rhs.memory_mib),
        std::min(lhs.accelerators, rhs.accelerators)};
}

/*! Returns the largest fraction that an amount takes of a total; dimensions with a total of zero are ignored. */
[[nodiscard]] constexpr double dominant_fraction(resources const &amount, resources const &total) noexcept {
    auto const part = [](std::int64_t const used, std::int64_t const size) {
        return size > 0 ? static_cast<double>(used) / static_cast<double>(size) : 0.0;
    };
    return std::max({part(amount.millicores, total.millicores), part(amount.memory_mib, total.memory_mib),
        part(amount.accelerators, total.accelerators)});
}

} // namespace kingcuplink

#endif
