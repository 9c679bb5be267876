#ifndef KINGCUPLINK_PLATFORM_HTTP_CLIENT_HPP_INCLUDED
#define KINGCUPLINK_PLATFORM_HTTP_CLIENT_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/routing/attempt.hpp>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink {

using http_request = boost::beast::http::request<boost::beast::http::string_body>;
using http_response = boost::beast::http::response<boost::beast::http::string_body>;

/*! Options of an exchange. */
struct exchange_options {
    millis timeout{config::command_timeout};
    /*! Maximum idle time of a connection to be reused; zero always opens a new connection. */
    millis max_idle_time{config::idle_limit};
    std::uint64_t body_limit{config::control_body_limit};
    /*! Connections that were last used before this time are not reused. */
    instant distrust_before{};
    /*! Counter of the bytes that are sent and received. */
    traffic purpose{traffic::other};
};

/*! Result of an exchange. */
struct exchange {
    attempt_outcome outcome{attempt_outcome::not_sent};
    http_response response{};
    /*! True if an idle connection was reused. */
    bool reused{};
};

/*!
 * HTTP client with a pool of idle connections. A connection on which an exchange
 * failed or timed out is closed and never reused. Not thread safe: use it only on
 * the thread of its io_context.
 */
class http_client {
public:
    /*!
     * Constructs a client.
     * @param context Context of all connections; it must outlive the client.
     * @param stats Counters; they must outlive the client.
     * @param idle_per_address Maximum number of idle connections per address.
     */
    http_client(boost::asio::io_context &context, counters &stats, std::size_t idle_per_address);

    /*!
     * Sends a request and waits for the complete answer.
     * @param address IP address and port.
     * @return Result of the exchange; network failures are reported in it and never thrown.
     */
    boost::asio::awaitable<exchange> send(std::string address, http_request request, exchange_options options);

    /*! Sends JSON and parses the answer as JSON, which is null if there is no valid JSON answer. */
    boost::asio::awaitable<std::pair<exchange, boost::json::value>> send_json(std::string address,
        boost::beast::http::verb verb, std::string target, boost::json::value body, millis timeout);

    /*! Sends JSON as the body of a prepared request and parses the answer like the overload above. */
    boost::asio::awaitable<std::pair<exchange, boost::json::value>> send_json(
        std::string address, http_request request, boost::json::value body, exchange_options options);

    /*! Closes connections that have been idle for longer than config::idle_limit. */
    void close_expired();

private:
    struct idle_connection {
        boost::beast::tcp_stream stream;
        instant since;
    };

    std::optional<boost::beast::tcp_stream> take_idle(std::string const &address, exchange_options const &options);
    void add_idle(std::string const &address, boost::beast::tcp_stream stream);
    void discard_idle(std::string const &address);

    boost::asio::io_context &context_;
    counters &stats_;
    std::size_t idle_per_address_;
    std::map<std::string, std::list<idle_connection>, std::less<>> idle_;
};

/*! Parses an IP address and a port; returns nothing if the text is invalid. */
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

/*! Returns the current time: the wall clock at the first call, advanced by a monotonic clock. Thread safe. */
[[nodiscard]] instant current_time();

} // namespace kingcuplink

#endif
