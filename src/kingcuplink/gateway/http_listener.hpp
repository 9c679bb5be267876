#ifndef KINGCUPLINK_GATEWAY_HTTP_LISTENER_HPP_INCLUDED
#define KINGCUPLINK_GATEWAY_HTTP_LISTENER_HPP_INCLUDED

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <string>

namespace kingcuplink {

/*!
 * Serves HTTP on one address by a function. To be used by the thread of its
 * context, unless stated otherwise; it must outlive the context's run.
 */
class http_listener {
public:
    /*! Answers one request; must not throw. */
    using handler = std::function<boost::asio::awaitable<http_response>(http_request)>;

    /*! What a listener allows. */
    struct limits {
        std::uint64_t body_bytes{config::control_body_limit};
        std::size_t connections{config::caller_connections};
    };

    /*! Constructs a listener; context and counters must outlive it. */
    http_listener(boost::asio::io_context &context, counters &stats, handler serve, limits allowed);

    /*!
     * Begins to listen.
     * @param address IP number and port.
     * @return False if the address is malformed or taken.
     */
    [[nodiscard]] bool start(std::string const &address);

    /*! Answers go out with the wish to close the connection. Thread safe. */
    void drain() noexcept {
        draining_ = true;
    }

    /*! Takes no more connections. Thread safe. */
    void stop_accepting();

    /*! Returns the number of requests under way. Thread safe. */
    [[nodiscard]] std::size_t active_requests() const noexcept {
        return active_;
    }

private:
    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> session(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &context_;
    counters &stats_;
    handler serve_;
    limits limits_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> draining_{};
    std::atomic<std::size_t> active_{};
    std::size_t connections_{};
};

} // namespace kingcuplink

#endif
