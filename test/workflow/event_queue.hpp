#ifndef KINGCUPLINK_TEST_WORKFLOW_EVENT_QUEUE_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_EVENT_QUEUE_HPP_INCLUDED

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <kingcuplink/core/time.hpp>
#include <map>
#include <utility>

namespace kingcuplink::test {

/*! Runs actions in order of virtual time. Not thread-safe. */
class event_queue {
public:
    using action = std::function<void()>;

    [[nodiscard]] instant now() const noexcept {
        return now_;
    }

    /*! Schedules an action after a delay; actions due at the same time run in the order of their submission. */
    void after(millis const delay, action callback) {
        events_.emplace(std::pair{now_ + std::max(millis{}, delay), next_++}, std::move(callback));
    }

    /*! Runs the actions that are due up to the given time, then sets the clock to that time. */
    void run_until(instant const end) {
        while(!events_.empty() && events_.begin()->first.first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key().first;
            event.mapped()();
        }
        now_ = end;
    }

private:
    instant now_{instant{} + std::chrono::hours{1}};
    std::uint64_t next_{};
    std::map<std::pair<instant, std::uint64_t>, action> events_;
};

} // namespace kingcuplink::test

#endif
