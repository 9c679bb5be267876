#ifndef KINGCUPLINK_ROUTING_RETRY_BUDGET_HPP_INCLUDED
#define KINGCUPLINK_ROUTING_RETRY_BUDGET_HPP_INCLUDED

#include <algorithm>
#include <cstdint>
#include <kingcuplink/core/config.hpp>

namespace kingcuplink {

/*! Limits retries to a fraction of the requests, so that retries do not amplify an overload. Not thread safe. */
class retry_budget {
public:
    /*! Records a request, which adds a fraction of a retry to the budget. */
    void deposit() noexcept {
        credit_ = std::min(credit_ + config::retry_budget_percent, limit);
    }

    /*! Withdraws one retry from the budget. Returns false if the budget is exhausted. */
    [[nodiscard]] bool withdraw() noexcept {
        if(credit_ < percent_per_retry) {
            return false;
        }
        credit_ -= percent_per_retry;
        return true;
    }

private:
    static constexpr std::int64_t percent_per_retry = 100;
    static constexpr std::int64_t limit = config::retry_budget_burst * percent_per_retry;

    std::int64_t credit_{limit};
};

} // namespace kingcuplink

#endif
