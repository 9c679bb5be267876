#include "http_service.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::uint64_t body_limit = 64u * 1024u * 1024u;
constexpr std::int64_t freeze_poll_ms = 20;

void read_flag(boost::json::object const &object, std::string_view const name, bool &value) {
    if(auto const *field = object.if_contains(name); field != nullptr && field->is_bool()) {
        value = field->get_bool();
    }
}

} // namespace

void read_faults(boost::json::object const &object, faults &value) {
    read_flag(object, "outage", value.outage);
    read_flag(object, "freeze", value.freeze);
    read_flag(object, "lose_answers", value.lose_answers);
    read_flag(object, "fail_every_start", value.fail_every_start);
    read_flag(object, "break_answers", value.break_answers);
    if(auto const *field = object.if_contains("slow_ms"); field != nullptr && field->is_int64()) {
        value.slow_ms = field->get_int64();
    }
}

http_service::http_service(asio::io_context &context, std::string const &address, handler on_request)
    : context_{context}, acceptor_{context, *parse_endpoint(address)}, on_request_{std::move(on_request)} {}

void http_service::start() {
    asio::co_spawn(context_, accept_loop(shared_from_this()), asio::detached);
}

void http_service::silence_open_connections() {
    for(auto &link: connections_) {
        link->silent = true;
    }
}

void http_service::close_connections() {
    boost::system::error_code ignored;
    for(auto &link: connections_) {
        link->stream.socket().close(ignored);
    }
}

void http_service::stop() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    connections_.clear();
    on_request_ = {};
}

std::size_t http_service::most_connections() const noexcept {
    return most_connections_;
}

asio::awaitable<void> http_service::accept_loop([[maybe_unused]] std::shared_ptr<http_service> self) {
    boost::system::error_code error;
    while(true) {
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if(error) {
            co_return;
        }
        if(fault.outage) {
            continue;
        }
        socket.set_option(asio::ip::tcp::no_delay{true}, error);
        auto const link = std::make_shared<connection>(std::move(socket));
        connections_.push_back(link);
        most_connections_ = std::max(most_connections_, connections_.size());
        asio::co_spawn(context_, serve(shared_from_this(), link), asio::detached);
    }
}

asio::awaitable<void> http_service::serve(
    [[maybe_unused]] std::shared_ptr<http_service> self, std::shared_ptr<connection> link) {
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    auto goes_on = true;
    while(goes_on) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(body_limit);
        co_await http::async_read(link->stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if(error || fault.outage) {
            break;
        }
        while(link->silent || fault.freeze) {
            co_await wait_for(freeze_poll_ms);
            if(!link->stream.socket().is_open()) {
                connections_.remove(link);
                co_return;
            }
        }
        auto message = parser.release();
        auto const keep_alive = message.keep_alive();
        auto const handled_with = fault;
        auto answer = co_await on_request_(std::move(message));
        if(handled_with.slow_ms > 0) {
            co_await wait_for(handled_with.slow_ms);
        }
        if(handled_with.lose_answers || fault.outage) {
            break;
        }
        while(link->silent) {
            co_await wait_for(freeze_poll_ms);
        }
        answer.keep_alive(keep_alive);
        answer.prepare_payload();
        if(handled_with.break_answers) {
            auto const half = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf";
            co_await asio::async_write(
                link->stream, asio::buffer(std::string_view{half}), asio::redirect_error(asio::use_awaitable, error));
            break;
        }
        co_await http::async_write(link->stream, answer, asio::redirect_error(asio::use_awaitable, error));
        goes_on = keep_alive && !error;
    }
    link->stream.socket().close(error);
    connections_.remove(link);
}

response json_answer(unsigned const status, boost::json::value const &body) {
    response answer{static_cast<http::status>(status), 11};
    answer.set(http::field::content_type, "application/json");
    answer.body() = boost::json::serialize(body);
    return answer;
}

asio::awaitable<void> wait_for(std::int64_t const ms) {
    co_await pause(millis{ms});
}

std::int64_t clock_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace kingcuplink::standin
