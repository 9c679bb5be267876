#ifndef KINGCUPLINK_CORE_IDS_HPP_INCLUDED
#define KINGCUPLINK_CORE_IDS_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <limits>

namespace kingcuplink {

/*!
 * Generational identifier: the index of a slot and the version of its value.
 * A default constructed identifier is null and refers to no value.
 * @tparam Tag Type that distinguishes identifiers of different containers.
 */
template<typename Tag>
struct basic_id {
    std::uint32_t index{std::numeric_limits<std::uint32_t>::max()};
    std::uint32_t version{};

    [[nodiscard]] constexpr bool is_null() const noexcept {
        return index == std::numeric_limits<std::uint32_t>::max();
    }

    friend constexpr auto operator<=>(basic_id const &, basic_id const &) noexcept = default;
};

using team_id = basic_id<struct team_tag>;
using worker_id = basic_id<struct worker_tag>;
using rack_id = basic_id<struct rack_tag>;
using job_id = basic_id<struct job_tag>;
using task_id = basic_id<struct task_tag>;
using runner_id = basic_id<struct runner_tag>;

} // namespace kingcuplink

#endif
