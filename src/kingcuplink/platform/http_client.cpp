#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <ctime>
#include <kingcuplink/platform/http_client.hpp>
#include <sys/socket.h>

namespace kingcuplink {

namespace internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/*! Returns true if the peer closed the connection or sent unsolicited data. */
bool is_stale(boost::beast::tcp_stream &stream) {
    char byte{};
    auto const received = ::recv(stream.socket().native_handle(), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/*! Returns the time since the VM's boot; unlike the steady clock it includes suspensions. */
millis time_since_boot() {
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<millis>(
        std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec});
}

} // namespace internal

http_client::http_client(boost::asio::io_context &context, counters &stats, std::size_t const idle_per_address)
    : context_{context}, stats_{stats}, idle_per_address_{idle_per_address} {}

boost::asio::awaitable<exchange> http_client::send(
    std::string address, http_request request, exchange_options const options) {
    exchange result;
    boost::system::error_code error;
    auto token = boost::asio::redirect_error(boost::asio::use_awaitable, error);
    auto stream = take_idle(address, options);
    result.reused = stream.has_value();
    if(!stream) {
        auto const endpoint = parse_endpoint(address);
        if(!endpoint) {
            co_return result;
        }
        stream.emplace(context_);
        stream->expires_after(std::min(options.timeout, config::connect_timeout));
        co_await stream->async_connect(*endpoint, token);
        if(error) {
            co_return result;
        }
        stream->socket().set_option(boost::asio::ip::tcp::no_delay{true}, error);
    }
    result.outcome = attempt_outcome::may_have_run;
    request.set(internal::http::field::host, address);
    request.prepare_payload();
    stream->expires_after(options.timeout);
    auto const sent = co_await internal::http::async_write(*stream, request, token);
    stats_.add(event::control_bytes_sent, sent);
    stats_.add(options.purpose, sent, 0u);
    if(error) {
        stats_.add(event::connection_discarded);
        discard_idle(address);
        co_return result;
    }
    boost::beast::flat_buffer buffer;
    internal::http::response_parser<internal::http::string_body> parser;
    parser.body_limit(options.body_limit);
    parser.header_limit(config::header_limit);
    auto const received = co_await internal::http::async_read(*stream, buffer, parser, token);
    stats_.add(event::control_bytes_received, received);
    stats_.add(options.purpose, 0u, received);
    if(error) {
        stats_.add(event::connection_discarded);
        if(result.reused) {
            discard_idle(address);
        }
        co_return result;
    }
    result.outcome = attempt_outcome::answered;
    result.response = parser.release();
    if(result.response.keep_alive()) {
        add_idle(address, std::move(*stream));
    }
    co_return result;
}

boost::asio::awaitable<std::pair<exchange, boost::json::value>> http_client::send_json(std::string address,
    boost::beast::http::verb const verb, std::string target, boost::json::value body, millis const timeout) {
    http_request request{verb, target, 11};
    exchange_options const options{.timeout = timeout};
    co_return co_await send_json(std::move(address), std::move(request), std::move(body), options);
}

boost::asio::awaitable<std::pair<exchange, boost::json::value>> http_client::send_json(
    std::string address, http_request request, boost::json::value body, exchange_options const options) {
    if(!body.is_null()) {
        request.set(internal::http::field::content_type, "application/json");
        request.body() = boost::json::serialize(body);
    }
    std::pair<exchange, boost::json::value> result;
    result.first = co_await send(std::move(address), std::move(request), options);
    if(result.first.outcome == attempt_outcome::answered) {
        boost::system::error_code error;
        result.second = boost::json::parse(result.first.response.body(), error);
        if(error) {
            result.second = nullptr;
        }
    }
    co_return result;
}

std::optional<boost::beast::tcp_stream> http_client::take_idle(
    std::string const &address, exchange_options const &options) {
    auto const found = idle_.find(address);
    if(found == idle_.end()) {
        return std::nullopt;
    }
    auto const oldest = std::max(current_time() - options.max_idle_time, options.distrust_before);
    auto &list = found->second;
    while(!list.empty() && list.back().since > oldest) {
        auto stream = std::move(list.back().stream);
        list.pop_back();
        if(!internal::is_stale(stream)) {
            return stream;
        }
        stats_.add(event::connection_discarded);
    }
    return std::nullopt;
}

void http_client::add_idle(std::string const &address, boost::beast::tcp_stream stream) {
    auto &list = idle_[address];
    stream.expires_never();
    if(list.size() >= idle_per_address_) {
        list.pop_front();
    }
    list.push_back({std::move(stream), current_time()});
}

void http_client::discard_idle(std::string const &address) {
    if(auto const found = idle_.find(address); found != idle_.end()) {
        stats_.add(event::connection_discarded, found->second.size());
        idle_.erase(found);
    }
}

void http_client::close_expired() {
    auto const oldest = current_time() - config::idle_limit;
    for(auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [&](auto const &connection) { return connection.since < oldest; });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view const address) {
    auto const colon = address.rfind(':');
    if(colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint16_t port{};
    auto const digits = address.substr(colon + 1u);
    auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(address.substr(0u, colon), error);
    if(error || parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size() || port == 0u) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint{ip, port};
}

instant current_time() {
    static auto const wall_at_start = std::chrono::time_point_cast<millis>(std::chrono::system_clock::now());
    static auto const boot_time_at_start = internal::time_since_boot();
    return wall_at_start + (internal::time_since_boot() - boot_time_at_start);
}

} // namespace kingcuplink
