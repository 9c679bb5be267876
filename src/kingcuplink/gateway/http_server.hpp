#ifndef KINGCUPLINK_GATEWAY_HTTP_SERVER_HPP_INCLUDED
#define KINGCUPLINK_GATEWAY_HTTP_SERVER_HPP_INCLUDED

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/gateway/control_api.hpp>
#include <kingcuplink/gateway/request_router.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace kingcuplink {

/*!
 * HTTP server of an entry VM. Traffic threads share the connections; requests to
 * queues are served there, all others by the control thread. start(), drain() and
 * stop() are to be called by one thread.
 */
class http_server {
public:
    /*! Constructs a server; all references must outlive it. */
    http_server(request_router &router, control_api &control, counters &stats);

    /*! Stops the server. */
    ~http_server();

    http_server(http_server const &) = delete;
    http_server &operator=(http_server const &) = delete;

    /*!
     * Begins to listen.
     * @param address IP number and port.
     * @param threads Number of traffic threads, at least one.
     * @return False if the address is malformed or taken.
     */
    [[nodiscard]] bool start(std::string const &address, std::size_t threads);

    /*! Makes readiness false; requests are served as before. Thread safe. */
    void drain() noexcept;

    /*! Takes no more connections; requests under way are served, others refused. Thread safe. */
    void stop_accepting();

    /*! Returns the number of requests that are being served. Thread safe. */
    [[nodiscard]] std::size_t active_requests() const noexcept;

    /*! Returns the number of open connections. Thread safe. */
    [[nodiscard]] std::size_t connections() const noexcept;

    /*! Tells whether drain() was called. Thread safe. */
    [[nodiscard]] bool is_draining() const noexcept;

    /*! Closes everything and joins the threads. */
    void stop();

private:
    /*! One traffic thread with its connections to runners. */
    struct shard {
        shard(counters &stats, std::size_t idle_per_address)
            : work{context.get_executor()}, client{context, stats, idle_per_address} {}

        boost::asio::io_context context{1};
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
        http_client client;
        std::thread thread{};
    };

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> maintain(shard &home);
    boost::asio::awaitable<void> session(shard &home, boost::asio::ip::tcp::socket socket, std::string caller);
    boost::asio::awaitable<http_response> answer(shard &home, http_request request);
    boost::asio::awaitable<http_response> answer_queue(
        shard &home, http_request request, std::string queue, std::string request_id);
    boost::asio::awaitable<http_response> answer_control(
        http_request request, std::vector<std::string> path, std::string request_id);
    [[nodiscard]] bool admit_connection(std::string const &caller);
    void forget_connection(std::string const &caller);

    request_router &router_;
    control_api &control_;
    counters &stats_;
    std::vector<std::unique_ptr<shard>> shards_;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::atomic<bool> draining_{};
    std::atomic<bool> closing_{};
    std::atomic<std::size_t> active_{};
    std::atomic<std::size_t> connections_{};
    std::atomic<std::uint64_t> next_request_{};
    std::mutex callers_mutex_;
    std::map<std::string, std::size_t> callers_;
};

} // namespace kingcuplink

#endif
