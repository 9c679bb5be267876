#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <charconv>
#include <kingcuplink/admission/key_check.hpp>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/gateway/acceptor.hpp>
#include <kingcuplink/gateway/http_server.hpp>
#include <kingcuplink/gateway/responses.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr millis pump_interval{50};
constexpr millis accept_pause{20};
constexpr std::size_t idle_runner_connections = 8u;
constexpr std::size_t longest_request_id = 128u;

std::vector<std::string> path_parts(std::string_view target) {
    target = target.substr(0u, target.find('?'));
    std::vector<std::string> parts;
    boost::algorithm::split(parts, target, boost::algorithm::is_any_of("/"));
    std::erase(parts, std::string{});
    return parts;
}

std::optional<std::int64_t> parse_number(std::string_view const text) {
    std::int64_t value{};
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() ? std::optional{value} : std::nullopt;
}

std::optional<std::uint64_t> version_in(std::string_view text) {
    if(text.size() >= 2u && text.front() == '"' && text.back() == '"') {
        text = text.substr(1u, text.size() - 2u);
    }
    auto const number = parse_number(text);
    return number && *number >= 0 ? std::optional{static_cast<std::uint64_t>(*number)} : std::nullopt;
}

/*! Waits for a caller's next request; false if there will be none. */
asio::awaitable<bool> wait_for_bytes(boost::beast::tcp_stream &stream) {
    boost::system::error_code error;
    asio::steady_timer limit{stream.get_executor(), config::caller_idle_limit};
    limit.async_wait([&stream](boost::system::error_code const &cancelled) {
        if(!cancelled) {
            stream.cancel();
        }
    });
    co_await stream.socket().async_wait(asio::socket_base::wait_read, asio::redirect_error(asio::use_awaitable, error));
    limit.cancel();
    co_return !error;
}

/*! Tells whether a route takes requests to a queue. */
bool is_queue_route(std::vector<std::string> const &path) {
    return path.size() == 4u && path[0] == "v1" && path[1] == "queues" && path[3] == "requests";
}

/*! Counts a request for as long as it is served. */
class active_count {
public:
    explicit active_count(std::atomic<std::size_t> &count) : count_{count} {
        ++count_;
    }

    ~active_count() {
        --count_;
    }

    active_count(active_count const &) = delete;
    active_count &operator=(active_count const &) = delete;

private:
    std::atomic<std::size_t> &count_;
};

} // namespace internal

http_server::http_server(request_router &router, control_api &control, counters &stats)
    : router_{router}, control_{control}, stats_{stats} {}

http_server::~http_server() {
    stop();
}

bool http_server::start(std::string const &address, std::size_t const threads) {
    for(std::size_t pos{}; pos < threads; ++pos) {
        shards_.push_back(std::make_unique<shard>(stats_, internal::idle_runner_connections));
    }
    auto &first = shards_.front()->context;
    acceptor_ = std::make_unique<internal::asio::ip::tcp::acceptor>(first);
    if(!listen_on(*acceptor_, address)) {
        return false;
    }
    internal::asio::co_spawn(first, accept_loop(), internal::asio::detached);
    for(auto &item: shards_) {
        internal::asio::co_spawn(item->context, maintain(*item), internal::asio::detached);
        item->thread = std::thread{[&context = item->context]() { context.run(); }};
    }
    return true;
}

void http_server::drain() noexcept {
    draining_ = true;
}

void http_server::stop_accepting() {
    closing_ = true;
    if(acceptor_ != nullptr) {
        internal::asio::post(acceptor_->get_executor(), [this]() {
            boost::system::error_code ignored;
            acceptor_->close(ignored);
        });
    }
}

std::size_t http_server::active_requests() const noexcept {
    return active_;
}

std::size_t http_server::connections() const noexcept {
    return connections_;
}

bool http_server::is_draining() const noexcept {
    return draining_;
}

void http_server::stop() {
    for(auto &item: shards_) {
        item->context.stop();
    }
    for(auto &item: shards_) {
        if(item->thread.joinable()) {
            item->thread.join();
        }
    }
}

boost::asio::awaitable<void> http_server::accept_loop() {
    boost::system::error_code error;
    std::size_t turn{};
    while(acceptor_->is_open()) {
        auto &home = *shards_[turn++ % shards_.size()];
        auto socket = co_await acceptor_->async_accept(
            home.context, internal::asio::redirect_error(internal::asio::use_awaitable, error));
        if(error) {
            co_await pause(internal::accept_pause);
            continue;
        }
        stats_.add(event::connection_accepted);
        auto const peer = socket.remote_endpoint(error);
        auto caller = error ? std::string{} : peer.address().to_string();
        internal::asio::co_spawn(
            home.context, session(home, std::move(socket), std::move(caller)), internal::asio::detached);
    }
}

boost::asio::awaitable<void> http_server::maintain(shard &home) {
    internal::asio::steady_timer timer{home.context};
    boost::system::error_code error;
    while(!error) {
        timer.expires_after(internal::pump_interval);
        co_await timer.async_wait(internal::asio::redirect_error(internal::asio::use_awaitable, error));
        home.client.close_expired();
        router_.pump();
    }
}

bool http_server::admit_connection(std::string const &caller) {
    std::lock_guard const lock{callers_mutex_};
    ++connections_;
    return ++callers_[caller] <= config::connections_per_address && connections_ <= config::caller_connections;
}

void http_server::forget_connection(std::string const &caller) {
    std::lock_guard const lock{callers_mutex_};
    --connections_;
    if(auto const found = callers_.find(caller); --found->second == 0u) {
        callers_.erase(found);
    }
}

boost::asio::awaitable<void> http_server::session(
    shard &home, boost::asio::ip::tcp::socket socket, std::string caller) {
    boost::system::error_code error;
    auto token = internal::asio::redirect_error(internal::asio::use_awaitable, error);
    socket.set_option(internal::asio::ip::tcp::no_delay{true}, error);
    boost::beast::tcp_stream stream{std::move(socket)};
    boost::beast::flat_buffer buffer;
    auto const admitted = admit_connection(caller);
    auto goes_on = true;
    while(goes_on) {
        internal::http::request_parser<internal::http::string_body> parser;
        parser.header_limit(config::header_limit);
        parser.body_limit(config::body_limit);
        if(buffer.size() == 0u && !co_await internal::wait_for_bytes(stream)) {
            break;
        }
        stream.expires_after(config::sender_timeout);
        co_await internal::http::async_read(stream, buffer, parser, token);
        if(error == internal::http::error::end_of_stream || error == boost::beast::error::timeout ||
            error == internal::asio::error::operation_aborted || error == internal::asio::error::connection_reset) {
            break;
        }
        internal::active_count const counted{active_};
        http_response response;
        auto keep_alive = false;
        if(error) {
            auto const reason = error == internal::http::error::body_limit ? refusal::body_too_large
                                                                           : refusal::request_malformed;
            response = refusal_response({reason, error.message()}, {}, stats_);
        } else if(!admitted) {
            response = refusal_response({refusal::connections_full, "too many connections"}, {}, stats_);
        } else if(closing_) {
            response = refusal_response({refusal::shutting_down}, {}, stats_);
        } else {
            keep_alive = parser.keep_alive();
            stream.expires_never();
            response = co_await answer(home, parser.release());
        }
        keep_alive = keep_alive && !draining_;
        response.keep_alive(keep_alive);
        response.prepare_payload();
        stream.expires_after(config::sender_timeout);
        error = {};
        co_await internal::http::async_write(stream, response, token);
        goes_on = keep_alive && !error;
    }
    stream.socket().shutdown(internal::asio::ip::tcp::socket::shutdown_send, error);
    forget_connection(caller);
}

boost::asio::awaitable<http_response> http_server::answer(shard &home, http_request request) {
    auto path = internal::path_parts(request.target());
    std::string request_id{header_of(request, header::request_id).substr(0u, internal::longest_request_id)};
    if(request_id.empty()) {
        request_id = "r" +
            std::to_string(stable_hash(std::to_string(++next_request_),
                static_cast<std::uint64_t>(current_time().time_since_epoch().count())));
    }
    http_response response;
    if(internal::is_queue_route(path) && request.method() == internal::http::verb::post) {
        response = co_await answer_queue(home, std::move(request), path[2], request_id);
    } else if(path.size() == 1u && path[0] == "ready") {
        response = text_response(is_draining() ? 503u : 200u, is_draining() ? "draining\n" : "ready\n");
    } else if(path.size() == 1u && path[0] == "metrics") {
        response = text_response(200u, stats_.prometheus_text());
    } else {
        response = co_await answer_control(std::move(request), std::move(path), request_id);
    }
    response.set(header::request_id, request_id);
    co_return response;
}

boost::asio::awaitable<http_response> http_server::answer_queue(
    shard &home, http_request request, std::string queue, std::string request_id) {
    routed_request routed;
    routed.queue = std::move(queue);
    routed.key = bearer_key(header_of(request, "Authorization"));
    routed.request_id = std::move(request_id);
    routed.repeatable = header_of(request, header::repeatable) != "false";
    routed.is_hop = !header_of(request, header::hop).empty();
    if(auto const text = header_of(request, header::deadline); !text.empty()) {
        auto const deadline = internal::parse_number(text);
        if(!deadline || *deadline < 1 || *deadline > config::max_deadline.count()) {
            co_return refusal_response({refusal::request_malformed,
                                           std::string{header::deadline} + " must be a whole number from 1 to " +
                                               std::to_string(config::max_deadline.count())},
                routed.request_id, stats_);
        }
        routed.deadline = millis{*deadline};
    }
    routed.message = std::move(request);
    co_return co_await router_.serve(home.client, std::move(routed));
}

boost::asio::awaitable<http_response> http_server::answer_control(
    http_request request, std::vector<std::string> path, std::string request_id) {
    api_request call;
    call.method = request.method();
    call.key = bearer_key(header_of(request, "Authorization"));
    call.path = std::move(path);
    call.request_id = request_id;
    call.if_match = internal::version_in(header_of(request, "If-Match"));
    if(auto const lower = header_of(request, header::lower); !lower.empty()) {
        boost::algorithm::split(call.lower, lower, boost::algorithm::is_any_of(","));
    }
    call.idempotency_key = header_of(request, header::idempotency_key);
    if(call.idempotency_key.size() > config::max_idempotency_key) {
        co_return refusal_response({refusal::request_malformed,
                                       std::string{header::idempotency_key} + " is longer than " +
                                           std::to_string(config::max_idempotency_key) + " bytes"},
            request_id, stats_);
    }
    if(request.body().size() > config::control_body_limit) {
        co_return refusal_response({refusal::body_too_large}, request_id, stats_);
    }
    call.body = std::move(request.body());
    auto const result = co_await internal::asio::co_spawn(
        control_.context(), control_.serve(std::move(call)), internal::asio::use_awaitable);
    if(result.refused) {
        co_return refusal_response(*result.refused, request_id, stats_);
    }
    auto response = json_response(result.status, result.body);
    if(result.version != 0u) {
        response.set(internal::http::field::etag, "\"" + std::to_string(result.version) + "\"");
    }
    co_return response;
}

} // namespace kingcuplink
