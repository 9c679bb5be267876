#ifndef KINGCUPLINK_WORKFLOW_WAITING_STEPS_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_WAITING_STEPS_HPP_INCLUDED

#include <compare>
#include <cstddef>
#include <cstdint>
#include <kingcuplink/core/ids.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/workflow/objective.hpp>
#include <map>
#include <optional>
#include <queue>
#include <set>
#include <utility>
#include <vector>

namespace kingcuplink::internal {

/*! Step of a live job. */
struct step_key {
    job_id job;
    std::uint32_t step{};

    friend auto operator<=>(step_key const &, step_key const &) noexcept = default;
};

/*! Step with waiting tasks; the order is that of placement. */
struct ranked_step {
    service_rank rank;
    step_key key;

    friend auto operator<=>(ranked_step const &, ranked_step const &) noexcept = default;
};

/*!
 * Steps with waiting tasks in order of rank. Changes are collected and applied before a planning round, so that the
 * cost of a round depends on what has changed and not on what waits. Not thread safe.
 */
class waiting_steps {
public:
    /*! Schedules a step to be evaluated again, because its tasks, its job or its queue have changed. */
    void mark_changed(step_key const &key) {
        changed_.push_back(key);
    }

    /*! Returns the steps to evaluate: those that have changed, and those whose rank changes by a time. */
    [[nodiscard]] std::vector<step_key> take_changes(instant now);

    /*! Inserts a step, or moves it to another rank. */
    void insert(step_key const &key, service_rank const &rank, std::optional<instant> rank_changes_at);

    /*! Removes a step; ignored if it does not wait. */
    void erase(step_key const &key);

    /*! Returns the rank of a step, or nothing if it does not wait. */
    [[nodiscard]] std::optional<service_rank> rank_of(step_key const &key) const {
        auto const found = ranks_.find(key);
        return found == ranks_.end() ? std::nullopt : std::optional{found->second};
    }

    /*! Returns the steps in order of rank. */
    [[nodiscard]] std::set<ranked_step> const &by_rank() const noexcept {
        return by_rank_;
    }

private:
    using rank_change = std::pair<instant, step_key>;

    std::set<ranked_step> by_rank_;
    std::map<step_key, service_rank> ranks_;
    std::vector<step_key> changed_;
    /*! Earliest first; entries of steps that were removed or moved since are evaluated without effect. */
    std::priority_queue<rank_change, std::vector<rank_change>, std::greater<>> rank_changes_;
};

} // namespace kingcuplink::internal

#endif
