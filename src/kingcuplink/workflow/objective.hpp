#ifndef KINGCUPLINK_WORKFLOW_OBJECTIVE_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_OBJECTIVE_HPP_INCLUDED

#include <compare>
#include <cstddef>
#include <cstdint>
#include <kingcuplink/workflow/site_rules.hpp>
#include <kingcuplink/workflow/types.hpp>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! Degree to which a waiting step can still meet its objective; lower values are placed first. */
enum class service_tier : std::uint8_t {
    /*! The job can end within its objective. */
    in_time,
    /*! The job can end within three times its objective, where it still has part of its value. */
    late,
    /*! The job cannot end within three times its objective. */
    too_late,
    /*! The job exceeds the usual rate of its client account. */
    excess,
    count
};

/*! Number of tiers. */
inline constexpr std::size_t service_tier_count = static_cast<std::size_t>(service_tier::count);

/*! Returns the name of a tier. */
[[nodiscard]] std::string_view name_of(service_tier tier) noexcept;

/*! Deadlines of a job, and the estimates they are based on. */
struct job_objective {
    /*! Latest end at which the job has its full value. */
    instant in_time{};
    /*! Latest end at which the job has any value. */
    instant late{};
    /*! True if the queue of the job has precedence over all others. */
    bool is_top_priority{};
    /*! Subtracted from the latest start of the job, because reserving capacity for a large gang takes time. */
    millis gang_lead_time{};
    /*! For each step, the length of the longest chain of estimated work from its start to the end of the job. */
    std::vector<millis> remaining;
};

/*! Sort key of a waiting step; lower ranks are placed first. */
struct service_rank {
    service_tier tier{service_tier::in_time};
    /*! False for queues with precedence over all others. */
    bool is_ordinary{true};
    /*! Latest start that meets the deadline of the tier. */
    instant latest_start{};

    friend auto operator<=>(service_rank const &, service_rank const &) noexcept = default;
};

/*! Computes the objective of a job under its terms. Precondition: every step depends on earlier steps only. */
[[nodiscard]] job_objective objective_of(job_definition const &job, job_terms const &terms);

/*! Returns the rank of a step. */
[[nodiscard]] service_rank rank_of(
    job_objective const &objective, std::uint32_t step, bool is_excess, instant now) noexcept;

/*! Returns the time at which the rank of a step changes next, or nothing if it does not change any more. */
[[nodiscard]] std::optional<instant> next_rank_change(
    job_objective const &objective, std::uint32_t step, bool is_excess, instant now) noexcept;

/*! Returns true if every step depends on earlier steps only, which rules out cycles. */
[[nodiscard]] bool is_topologically_ordered(std::span<step_definition const> steps) noexcept;

/*!
 * Token bucket for the usual job rate of a client account. Jobs beyond that rate are placed after all others. The
 * bucket holds two seconds of traffic at the usual rate.
 */
class account_meter {
public:
    /*!
     * Counts a job. Returns true if the job exceeds the usual rate.
     * @param per_second Usual rate of the account, in jobs per second.
     */
    [[nodiscard]] bool is_excess(double per_second, instant accepted_at) noexcept;

private:
    double tokens_{};
    instant filled_at_{};
};

} // namespace kingcuplink

#endif
