#include <boost/asio/co_spawn.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <kingcuplink/cli/server_connection.hpp>

namespace kingcuplink {

namespace internal {

std::uint64_t version_of(std::string_view text) {
    std::uint64_t version{};
    if(text.size() > 2u) {
        std::from_chars(text.data() + 1, text.data() + text.size() - 1, version);
    }
    return version;
}

} // namespace internal

server_connection::server_connection(std::vector<std::string> servers, std::string key)
    : servers_{std::move(servers)}, key_{std::move(key)}, client_{context_, stats_, 1u} {}

server_answer server_connection::send(boost::beast::http::verb const method, std::string const &target,
    std::string const &body, std::map<std::string, std::string> const &headers, millis const timeout) {
    server_answer answer;
    for(auto const &server: servers_) {
        http_request request{method, target, 11};
        request.body() = body;
        for(auto const &[name, value]: headers) {
            request.set(name, value);
        }
        if(!key_.empty()) {
            request.set(boost::beast::http::field::authorization, "Bearer " + key_);
        }
        exchange result;
        exchange_options const options{
            .timeout = timeout, .max_idle_time = config::reuse_idle_limit, .body_limit = config::body_limit};
        boost::asio::co_spawn(context_, client_.send(server, std::move(request), options),
            [&result](std::exception_ptr const &, exchange value) { result = std::move(value); });
        context_.restart();
        context_.run();
        if(result.outcome == attempt_outcome::not_sent) {
            continue;
        }
        answer.answered = result.outcome == attempt_outcome::answered;
        answer.may_have_run = !answer.answered;
        if(!answer.answered) {
            break;
        }
        answer.status = result.response.result_int();
        answer.version = internal::version_of(result.response[boost::beast::http::field::etag]);
        answer.text = result.response.body();
        boost::system::error_code error;
        answer.body = boost::json::parse(answer.text, error);
        break;
    }
    return answer;
}

} // namespace kingcuplink
