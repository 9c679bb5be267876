#ifndef KINGCUPLINK_STANDIN_HTTP_SERVICE_HPP_INCLUDED
#define KINGCUPLINK_STANDIN_HTTP_SERVICE_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace kingcuplink::standin {

using request = boost::beast::http::request<boost::beast::http::string_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;

/*! Faults of one address, switched on and off by tests. */
struct faults {
    /*! Every connection is closed at once. */
    bool outage{};
    /*! Requests are read and never handled while set. */
    bool freeze{};
    /*! Requests are handled and their answers thrown away. */
    bool lose_answers{};
    /*! Delay of each answer. */
    std::int64_t slow_ms{};
    /*! Every task that starts fails at once. */
    bool fail_every_start{};
    /*! The next requests are handled in part: the connection closes in mid-answer. */
    bool break_answers{};
};

/*! Reads faults from JSON; fields that are missing stay as they are. */
void read_faults(boost::json::object const &object, faults &value);

/*! Small HTTP server on one address. To be used by the thread of its context alone. */
class http_service : public std::enable_shared_from_this<http_service> {
public:
    using handler = std::function<boost::asio::awaitable<response>(request)>;

    /*! Listens on an address; throws if that fails. */
    http_service(boost::asio::io_context &context, std::string const &address, handler on_request);

    /*! Begins to accept. */
    void start();

    /*! Never again answers on the connections that are open now; new ones work. */
    void silence_open_connections();

    /*! Closes all connections. */
    void close_connections();

    /*! Closes everything and forgets the handler. The context must not run any more. */
    void stop();

    /*! Returns the largest number of connections that were open at once. */
    [[nodiscard]] std::size_t most_connections() const noexcept;

    faults fault;

private:
    struct connection {
        explicit connection(boost::asio::ip::tcp::socket socket) : stream{std::move(socket)} {}

        boost::beast::tcp_stream stream;
        bool silent{};
    };

    boost::asio::awaitable<void> accept_loop(std::shared_ptr<http_service> self);
    boost::asio::awaitable<void> serve(std::shared_ptr<http_service> self, std::shared_ptr<connection> link);

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    handler on_request_;
    std::list<std::shared_ptr<connection>> connections_;
    std::size_t most_connections_{};
};

/*! Makes an answer of JSON. */
[[nodiscard]] response json_answer(unsigned status, boost::json::value const &body);

/*! Suspends the calling coroutine. */
boost::asio::awaitable<void> wait_for(std::int64_t ms);

/*! Returns milliseconds of a clock that never goes back. */
[[nodiscard]] std::int64_t clock_ms();

} // namespace kingcuplink::standin

#endif
