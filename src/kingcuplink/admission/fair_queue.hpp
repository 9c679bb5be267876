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

/*! Terms of a team in one entry VM. */
struct team_limits {
    std::string name;
    std::int64_t share{1};
    /*! The most requests of the team that may run at once through this entry VM. */
    std::int64_t max_running{};
};

/*!
 * Requests that wait for a runner: a bounded queue for each team, served in
 * turns weighted by share. Requests that cannot be served before their deadline
 * are refused at once. No I/O, no clock. Not thread safe.
 */
class fair_queue {
public:
    using ticket = std::uint64_t;

    /*! Replaces the terms of all teams; what waits or runs stays. */
    void set_limits(std::vector<team_limits> const &limits);

    /*!
     * Lets a request wait.
     * @param deadline Time by which its answer is due.
     * @return Its ticket. Refuses if the team's queue is full or the wait would pass the deadline.
     */
    [[nodiscard]] result<ticket> push(std::string_view team, instant deadline, instant now);

    /*!
     * Takes the request whose turn it is, and counts it as running. Requests that waited and
     * can hardly end in time are passed over: they are not worth a runner's slot.
     */
    [[nodiscard]] std::optional<ticket> pop(instant now);

    /*! Removes a request that still waits; false if it does not wait. */
    bool erase(ticket value);

    /*!
     * Notes that a request that pop() took has ended.
     * @param took Time since it was taken.
     */
    void finished(std::string_view team, millis took);

    /*! Returns the number of requests that wait. */
    [[nodiscard]] std::size_t waiting() const noexcept;

    /*! Returns the requests that pop() passed over since the last call, since they could not end in time. */
    [[nodiscard]] std::vector<ticket> take_dropped();

    /*! Returns the number of requests that run. */
    [[nodiscard]] std::int64_t running() const noexcept;

    /*! Returns the wait that a new request of a team can expect. */
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
    /*! Moving average of the time that a request runs, in milliseconds; zero before the first. */
    double run_ms_{};
    /*! Moving average of the distance from it. */
    double run_deviation_ms_{};
    std::vector<ticket> dropped_{};
};

} // namespace kingcuplink

#endif
