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

/*! How one exchange is made. */
struct exchange_options {
    millis timeout{config::command_timeout};
    /*! Longest idle time of a connection that may be used; zero for a new one. */
    millis max_idle_time{config::idle_limit};
    std::uint64_t body_limit{config::control_body_limit};
    /*! Connections that were last used before this time are closed instead of used. */
    instant distrust_before{};
};

/*! What became of an exchange. */
struct exchange {
    attempt_outcome outcome{attempt_outcome::not_sent};
    http_response response{};
    /*! True if the connection had been used before. */
    bool reused{};
};

/*!
 * HTTP client that keeps idle connections. A connection on which an exchange
 * failed or timed out is closed, never used again. To be used by the thread of
 * its io_context alone.
 */
class http_client {
public:
    /*!
     * Constructs a client.
     * @param context Must outlive the client.
     * @param stats Counters; they must outlive the client.
     * @param idle_per_address Idle connections that are kept for one address.
     */
    http_client(boost::asio::io_context &context, counters &stats, std::size_t idle_per_address);

    /*!
     * Sends a request and waits for the whole answer.
     * @param address IP number and port.
     * @return What became of it; never throws for failures of the network.
     */
    boost::asio::awaitable<exchange> send(std::string address, http_request request, exchange_options options);

    /*! Sends JSON and reads JSON; the body of the answer is null unless it is JSON. */
    boost::asio::awaitable<std::pair<exchange, boost::json::value>> send_json(std::string address,
        boost::beast::http::verb verb, std::string target, boost::json::value body, millis timeout);

    /*! Sends JSON in a request that is prepared but for its body, and reads JSON as above. */
    boost::asio::awaitable<std::pair<exchange, boost::json::value>> send_json(
        std::string address, http_request request, boost::json::value body, millis timeout);

    /*! Closes idle connections that are older than the limit. */
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

/*! Reads an IP number and a port. */
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view address);

/*! Returns the current time as decisions see it: it follows the wall clock at start and never goes back. */
[[nodiscard]] instant current_time();

} // namespace kingcuplink

#endif
