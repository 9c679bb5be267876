#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/gateway/acceptor.hpp>
#include <kingcuplink/gateway/http_listener.hpp>
#include <kingcuplink/gateway/responses.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <optional>
#include <utility>

namespace kingcuplink {

namespace internal {

/*! Pause after a failure to accept, such as for want of descriptors. */
constexpr millis accept_retry{20};

/*! Returns why a request that cannot be read is refused; nothing if the connection has ended. */
std::optional<refusal> refusal_of(boost::system::error_code const &error) {
    namespace http = boost::beast::http;
    if(error == http::error::body_limit) {
        return refusal::body_too_large;
    }
    auto const is_protocol = error.category() == http::make_error_code(http::error::bad_target).category();
    if(!is_protocol || error == http::error::end_of_stream || error == http::error::partial_message) {
        return std::nullopt;
    }
    return refusal::request_malformed;
}

} // namespace internal

http_listener::http_listener(boost::asio::io_context &context, counters &stats, handler serve, limits const allowed)
    : context_{context}, stats_{stats}, serve_{std::move(serve)}, limits_{allowed}, acceptor_{context} {}

bool http_listener::start(std::string const &address) {
    if(!listen_on(acceptor_, address)) {
        return false;
    }
    boost::asio::co_spawn(context_, accept_loop(), boost::asio::detached);
    return true;
}

void http_listener::stop_accepting() {
    boost::asio::post(context_, [this]() {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

boost::asio::awaitable<void> http_listener::accept_loop() {
    boost::system::error_code error;
    while(acceptor_.is_open()) {
        auto socket = co_await acceptor_.async_accept(boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if(!error) {
            stats_.add(event::connection_accepted);
            boost::asio::co_spawn(context_, session(std::move(socket)), boost::asio::detached);
            continue;
        }
        co_await pause(internal::accept_retry);
    }
}

boost::asio::awaitable<void> http_listener::session(boost::asio::ip::tcp::socket socket) {
    boost::system::error_code error;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
    socket.set_option(boost::asio::ip::tcp::no_delay{true}, error);
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    auto const is_admitted = ++connections_ <= limits_.connections;
    for(auto goes_on = true; goes_on;) {
        boost::beast::http::request_parser<boost::beast::http::string_body> parser;
        parser.header_limit(config::header_limit);
        parser.body_limit(limits_.body_bytes);
        stream.expires_after(config::caller_idle_limit);
        co_await boost::beast::http::async_read(stream, buffer, parser, token);
        auto const fault = error ? internal::refusal_of(error) : std::nullopt;
        if(error && !fault) {
            break;
        }
        ++active_;
        http_response response;
        auto keep_alive = false;
        if(fault) {
            response = refusal_response({*fault, error.message()}, {}, stats_);
        } else if(!is_admitted) {
            response = refusal_response({refusal::connections_full, "too many connections"}, {}, stats_);
        } else {
            keep_alive = parser.keep_alive();
            stream.expires_never();
            response = co_await serve_(parser.release());
        }
        keep_alive = keep_alive && !draining_;
        response.keep_alive(keep_alive);
        response.prepare_payload();
        stream.expires_after(config::sender_timeout);
        co_await boost::beast::http::async_write(stream, response, token);
        --active_;
        goes_on = keep_alive && !error;
    }
    stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    --connections_;
}

} // namespace kingcuplink
