#ifndef KINGCUPLINK_WORKFLOW_OBJECTIVE_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_OBJECTIVE_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <kingcuplink/workflow/site_rules.hpp>
#include <kingcuplink/workflow/types.hpp>
#include <span>
#include <vector>

namespace kingcuplink {

/*! How well a waiting step can still be served; lower values go first. */
enum class service_tier : std::uint8_t {
    /*! Can end within the objective. */
    in_time,
    /*! Can end within three times the objective, where it still has a part of its worth. */
    late,
    /*! Cannot. */
    too_late,
    /*! Beyond the usual rate of its client account. */
    excess
};

/*! Times that a job is held to. */
struct job_objective {
    /*! Time for which a job that ends within it has its whole worth. */
    instant in_time{};
    /*! Time after which it has none. */
    instant late{};
    /*! True if its queue comes before all others. */
    bool is_top_priority{};
    /*! Time by which the job goes ahead of others that have to start as late: room for gangs has to be gathered. */
    millis gang_lead_time{};
    /*! For each step, the longest chain of estimated work from its start to the job's end. */
    std::vector<millis> remaining;
};

/*! Place of a step in the order of waiting. */
struct service_rank {
    service_tier tier{service_tier::in_time};
    /*! False for queues that operators put before all others. */
    bool is_ordinary{true};
    /*! Latest start with which the objective of its tier can be met. */
    instant latest_start{};

    friend auto operator<=>(service_rank const &, service_rank const &) noexcept = default;
};

/*! Works out the objective of a job. */
[[nodiscard]] job_objective objective_of(job_definition const &job, queue_rules const &queue);

/*! Returns the rank of a step. */
[[nodiscard]] service_rank rank_of(
    job_objective const &objective, std::uint32_t step, bool is_excess, instant now) noexcept;

/*! Tells whether steps only name earlier ones, so that all can be reached. */
[[nodiscard]] bool is_topologically_ordered(std::span<step_definition const> steps) noexcept;

/*!
 * Usual rate of a client account: jobs beyond it are served after all others. The
 * bucket holds one second's worth.
 */
class account_meter {
public:
    /*! Takes a job into account; true if it is beyond the rate. */
    [[nodiscard]] bool is_excess(double per_second, instant accepted_at) noexcept;

private:
    double tokens_{};
    instant filled_at_{};
};

} // namespace kingcuplink

#endif
