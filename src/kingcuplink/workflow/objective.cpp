#include <algorithm>
#include <array>
#include <kingcuplink/workflow/objective.hpp>

namespace kingcuplink {

namespace internal {

/*! Number of workers in the one advice query that the objective allows for each step; set by the users' rules. */
constexpr std::int64_t objective_query_workers = 30;
/*! A job has some value up to this multiple of its objective; set by the users' rules. */
constexpr int late_factor = 3;
/*! Gangs up to this size fit on one or two workers and need no reservation of capacity. */
constexpr std::uint32_t max_small_gang = 2u;
/*! Lead time of a large gang over other steps, during which capacity is reserved for it. */
constexpr millis gang_reservation_time{2'500};
/*! Seconds of usual traffic that may arrive in one burst before it counts as excess. */
constexpr double burst_seconds = 2.0;

constexpr std::array<std::string_view, service_tier_count> tier_names{"in_time", "late", "too_late", "excess"};

millis estimated_duration(step_definition const &step, job_terms const &terms) {
    auto part = step.estimate;
    if(terms.advice) {
        part += terms.advice->base + millis{terms.advice->per_worker_us * objective_query_workers / 1'000};
    }
    return part;
}

} // namespace internal

std::string_view name_of(service_tier const tier) noexcept {
    return internal::tier_names[static_cast<std::size_t>(tier)];
}

job_objective objective_of(job_definition const &job, job_terms const &terms) {
    job_objective result;
    result.is_top_priority = terms.priority == 0;
    result.remaining.assign(job.steps.size(), millis{});
    millis longest{};
    for(auto pos = job.steps.size(); pos-- > 0u;) {
        // Dependent steps come later in the list and have been processed already.
        result.remaining[pos] += internal::estimated_duration(job.steps[pos], terms);
        if(job.steps[pos].gang && job.steps[pos].count > internal::max_small_gang) {
            result.gang_lead_time = std::max(result.gang_lead_time, internal::gang_reservation_time);
        }
        for(auto const before: job.steps[pos].after) {
            result.remaining[before] = std::max(result.remaining[before], result.remaining[pos]);
        }
        longest = std::max(longest, result.remaining[pos]);
    }
    auto const scaled = static_cast<std::int64_t>(terms.stretch * static_cast<double>(longest.count()));
    auto const allowed = millis{scaled} + terms.target;
    result.in_time = job.accepted_at + allowed;
    result.late = job.accepted_at + allowed * internal::late_factor;
    return result;
}

service_rank rank_of(
    job_objective const &objective, std::uint32_t const step, bool const is_excess, instant const now) noexcept {
    auto const remaining = objective.remaining[step];
    auto const in_time = objective.in_time - remaining;
    auto const late = objective.late - remaining;
    if(is_excess) {
        return {service_tier::excess, !objective.is_top_priority, in_time};
    }
    if(now <= in_time) {
        return {service_tier::in_time, !objective.is_top_priority, in_time - objective.gang_lead_time};
    }
    return {now <= late ? service_tier::late : service_tier::too_late, !objective.is_top_priority, late};
}

std::optional<instant> next_rank_change(
    job_objective const &objective, std::uint32_t const step, bool const is_excess, instant const now) noexcept {
    for(auto const deadline: {objective.in_time, objective.late}) {
        if(auto const latest_start = deadline - objective.remaining[step]; !is_excess && now <= latest_start) {
            return latest_start + millis{1};
        }
    }
    return std::nullopt;
}

bool is_topologically_ordered(std::span<step_definition const> const steps) noexcept {
    for(std::size_t pos{}; pos < steps.size(); ++pos) {
        auto const &after = steps[pos].after;
        if(std::any_of(after.begin(), after.end(), [pos](auto const before) { return before >= pos; })) {
            return false;
        }
    }
    return true;
}

bool account_meter::is_excess(double const per_second, instant const accepted_at) noexcept {
    auto const most = per_second * internal::burst_seconds;
    if(filled_at_ == instant{}) {
        tokens_ = most;
        filled_at_ = accepted_at;
    } else if(accepted_at > filled_at_) {
        tokens_ = std::min(
            most, tokens_ + per_second * std::chrono::duration<double>(accepted_at - filled_at_).count());
        filled_at_ = accepted_at;
    }
    tokens_ -= 1.0;
    if(tokens_ < 0.0) {
        tokens_ = 0.0;
        return true;
    }
    return false;
}

} // namespace kingcuplink
