#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/platform/platform_client.hpp>

namespace kingcuplink {

namespace internal {

namespace json = boost::json;
using verb = boost::beast::http::verb;

bool is_success(exchange const &result) {
    return result.outcome == attempt_outcome::answered && result.response.result() == boost::beast::http::status::ok;
}

std::set<std::string> names_in(json::value const &value, std::string_view const state) {
    std::set<std::string> names;
    auto const *list = field_in(value, state);
    if(list != nullptr && list->is_array()) {
        for(auto const &name: list->get_array()) {
            if(name.is_string()) {
                names.emplace(name.get_string());
            }
        }
    }
    return names;
}

} // namespace internal

platform_client::platform_client(http_client &client, std::string address)
    : client_{client}, address_{std::move(address)} {}

boost::asio::awaitable<append_result> platform_client::append(std::string stream, boost::json::value record) {
    if(refused_) {
        co_return append_result{};
    }
    auto const answer = co_await client_.send_json(
        address_, internal::verb::post, "/log/" + stream, std::move(record), config::platform_timeout);
    append_result result{.outcome = answer.first.outcome};
    if(result.is_done()) {
        auto const offset = integer_in(answer.second, "offset");
        result.outcome = internal::is_success(answer.first) && offset ? attempt_outcome::answered
                                                                      : attempt_outcome::may_have_run;
        result.offset = offset.value_or(0u);
    }
    co_return result;
}

boost::asio::awaitable<std::optional<log_page>> platform_client::read(std::string stream, std::uint64_t const from) {
    if(refused_) {
        co_return std::nullopt;
    }
    auto target = "/log/" + stream + "?from=" + std::to_string(from) + "&limit=" + std::to_string(config::log_page);
    auto const answer = co_await client_.send_json(
        address_, internal::verb::get, std::move(target), nullptr, config::platform_timeout);
    auto const first = integer_in(answer.second, "first");
    auto const next = integer_in(answer.second, "next");
    if(!internal::is_success(answer.first) || !first || !next) {
        co_return std::nullopt;
    }
    log_page page{.first = *first, .next = *next, .records = {}};
    if(auto const *records = answer.second.get_object().if_contains("records");
        records != nullptr && records->is_array()) {
        for(auto const &record: records->get_array()) {
            auto const offset = integer_in(record, "offset");
            auto const *body = field_in(record, "body");
            if(offset && body != nullptr) {
                page.records.push_back({*offset, *body});
            }
        }
    }
    co_return page;
}

boost::asio::awaitable<std::optional<vm_list>> platform_client::vms() {
    if(refused_) {
        co_return std::nullopt;
    }
    auto const answer = co_await client_.send_json(
        address_, internal::verb::get, "/vms", nullptr, config::platform_timeout);
    if(!internal::is_success(answer.first) || !answer.second.is_object()) {
        co_return std::nullopt;
    }
    co_return vm_list{
        .live = internal::names_in(answer.second, "live"), .leaving = internal::names_in(answer.second, "leaving")};
}

} // namespace kingcuplink
