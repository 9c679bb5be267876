#ifndef KINGCUPLINK_GATEWAY_REQUEST_ROUTER_HPP_INCLUDED
#define KINGCUPLINK_GATEWAY_REQUEST_ROUTER_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/gateway/fleet_view.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/routing/retry_budget.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>

namespace kingcuplink {

/*! Request of a caller to a queue, as far as it is read from HTTP. */
struct routed_request {
    std::string queue;
    std::string key;
    std::string request_id;
    bool repeatable{true};
    millis deadline{config::default_deadline};
    /*! True if another entry VM passed it on. */
    bool is_hop{};
    /*! True once an attempt was made that may have had an effect. */
    bool may_have_run{};
    http_request message;
};

/*! Gauges of the request path. */
struct traffic_gauges {
    std::size_t waiting{};
    std::int64_t running{};
    std::int64_t free_slots{};
    std::int64_t usable_slots{};
    std::int64_t sidelined{};
};

/*!
 * Serves requests to queues: admits them, lets them wait their turn, chooses a
 * runner, and tries again where that is safe. Thread safe.
 */
class request_router {
public:
    /*!
     * Constructs a router that knows no runners.
     * @param self Name of this entry VM.
     * @param stats Counters; they must outlive the router.
     * @param seed Seed of random choices.
     */
    request_router(std::string self, counters &stats, std::uint64_t seed);

    /*! Replaces what is known of the fleet. */
    void publish(std::shared_ptr<fleet_view const> view);

    /*!
     * Serves one request.
     * @param client Client of the calling thread.
     * @return The runner's whole answer, or a refusal.
     */
    boost::asio::awaitable<http_response> serve(http_client &client, routed_request request);

    /*! Lets requests go on that wait for a runner which became free by the passing of time. */
    void pump();

    /*! Returns the gauges. */
    [[nodiscard]] traffic_gauges gauges();

private:
    /*! One request that waits for a runner. */
    struct waiter {
        explicit waiter(boost::asio::any_io_executor const &executor) : timer{executor} {}

        boost::asio::steady_timer timer;
        runner_id granted{};
    };

    /*! Result of one attempt, with the answer if there is one. */
    struct attempt {
        attempt_outcome outcome{attempt_outcome::not_sent};
        http_response response{};
        bool reused{};
    };

    [[nodiscard]] std::shared_ptr<fleet_view const> view();
    void pump_locked(instant now);
    static void wake(std::shared_ptr<waiter> const &waiting);
    boost::asio::awaitable<std::optional<problem>> wait_for_runner(
        std::string team, instant deadline, runner_id &granted);
    boost::asio::awaitable<http_response> run(
        http_client &client, routed_request request, instant deadline, runner_id runner);
    [[nodiscard]] http_response refuse_request(routed_request const &request, problem const &value);
    boost::asio::awaitable<attempt> try_once(http_client &client, routed_request &request, std::string address,
        std::string target, instant deadline, instant distrust_before, bool passed_on);
    boost::asio::awaitable<std::optional<http_response>> spill(
        http_client &client, routed_request &request, instant deadline);
    [[nodiscard]] bool has_room_at_home();
    [[nodiscard]] std::optional<runner_id> next_runner(runner_id failed);
    void finish(std::string const &team, millis took);

    std::string self_;
    counters &stats_;
    std::mutex mutex_;
    std::shared_ptr<fleet_view const> view_;
    fair_queue queue_;
    runner_pool pool_;
    retry_budget budget_;
    std::mt19937_64 random_;
    std::map<fair_queue::ticket, std::shared_ptr<waiter>> waiters_;
};

} // namespace kingcuplink

#endif
