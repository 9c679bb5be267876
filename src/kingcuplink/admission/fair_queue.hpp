#ifndef KINGCUPLINK_ADMISSION_FAIR_QUEUE_HPP_INCLUDED
#define KINGCUPLINK_ADMISSION_FAIR_QUEUE_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <kingcuplink/core/result.hpp>
#include <kingcuplink/core/time.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! Limits of a team on one entry VM. */
struct team_limits {
    std::string name;
    std::int64_t share{1};
    /*! Maximum number of concurrent requests of the team through this entry VM. */
    std::int64_t max_running{};
};

/*!
 * Queue of requests that wait for a runner. Consists of one bounded queue per team;
 * teams are served in proportion to their shares. Requests that cannot be served
 * before their deadline are refused immediately.
 * Performs no I/O and reads no clock. Not thread safe.
 */
class fair_queue {
public:
    using ticket = std::uint64_t;

    /*! Replaces the limits of all teams. Queued and running requests are kept. */
    void set_limits(std::vector<team_limits> const &limits);

    /*!
     * Adds a request to the queue of its team.
     * @param deadline Time by which the answer is due.
     * @return The ticket of the request, or a refusal: ceiling_reached if the team may run no requests, queue_full if
     * its queue is full, deadline_too_short if the expected wait, plus the run time if there is a wait, would pass the
     * deadline.
     */
    [[nodiscard]] result<ticket> push(std::string_view team, instant deadline, instant now);

    /*!
     * Removes the next request from the queue and counts it as running. Queued requests that are unlikely to finish
     * before their deadline are dropped instead of occupying a slot of a runner.
     * @return The ticket of the request, or `std::nullopt` if no request may run.
     */
    [[nodiscard]] std::optional<ticket> pop(instant now);

    /*! Removes a queued request. Returns false if it is not queued. */
    bool erase(ticket value);

    /*!
     * Records the end of a request that pop() returned.
     * @param took Time since pop() returned it.
     */
    void finished(std::string_view team, millis took);

    /*! Returns the number of queued requests. */
    [[nodiscard]] std::size_t waiting() const noexcept;

    /*! Returns the requests that pop() has dropped since the last call, because they could not meet their deadline. */
    [[nodiscard]] std::vector<ticket> take_dropped();

    /*! Returns the number of running requests. */
    [[nodiscard]] std::int64_t running() const noexcept;

    /*! Returns the expected wait of a new request of a team. */
    [[nodiscard]] millis expected_wait(std::string_view team) const;

private:
    struct queued_request {
        ticket id;
        instant deadline;
        instant queued_at;
    };

    struct team_queue {
        std::int64_t share{1};
        std::int64_t max_running{};
        std::int64_t running{};
        double virtual_time{};
        std::deque<queued_request> requests{};
    };

    [[nodiscard]] team_queue *next_team();
    [[nodiscard]] bool can_meet_deadline(queued_request const &request, instant now) const;
    [[nodiscard]] double required_run_ms() const noexcept;

    std::map<std::string, team_queue, std::less<>> teams_;
    std::map<ticket, std::string> tickets_;
    ticket next_ticket_{};
    double virtual_time_{};
    std::int64_t running_{};
    /*! Moving average of the request run time in milliseconds; zero before the first request ended. */
    double run_ms_{};
    /*! Moving average of the absolute deviation from the average run time, in milliseconds. */
    double run_deviation_ms_{};
    std::vector<ticket> dropped_{};
};

} // namespace kingcuplink

#endif
