#include <boost/beast/http/field.hpp>
#include <boost/json/serialize.hpp>
#include <kingcuplink/gateway/responses.hpp>

namespace kingcuplink {

namespace internal {

using field = boost::beast::http::field;

http_response make_response(unsigned const status, std::string_view const type, std::string body) {
    http_response response{static_cast<boost::beast::http::status>(status), 11};
    response.set(field::content_type, type);
    response.body() = std::move(body);
    return response;
}

} // namespace internal

std::string_view header_of(http_request const &request, std::string_view const name) {
    auto const found = request.find(name);
    return found == request.end() ? std::string_view{} : std::string_view{found->value()};
}

http_response refusal_response(problem const &value, std::string_view const request_id, counters &stats) {
    auto const &row = row_of(value.reason);
    stats.add(value.reason);
    boost::json::object const error{{"kind", row.kind}, {"detail", value.detail}, {"not_run", row.not_run},
        {"retry_after_ms", row.retry_after.count()}, {"remedy", row.remedy}, {"request_id", request_id}};
    auto response = json_response(row.status, boost::json::object{{"error", error}});
    response.set(header::not_run, row.not_run ? "true" : "false");
    if(row.retry_after.count() > 0) {
        response.set(internal::field::retry_after, std::to_string((row.retry_after.count() + 999) / 1'000));
    }
    return response;
}

http_response json_response(unsigned const status, boost::json::value const &body) {
    return internal::make_response(status, "application/json", boost::json::serialize(body) + "\n");
}

http_response text_response(unsigned const status, std::string body) {
    return internal::make_response(status, "text/plain; version=0.0.4", std::move(body));
}

} // namespace kingcuplink
