#ifndef KINGCUPLINK_GATEWAY_RESPONSES_HPP_INCLUDED
#define KINGCUPLINK_GATEWAY_RESPONSES_HPP_INCLUDED

#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/core/refusal.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <string_view>

namespace kingcuplink {

/*! Names of the headers of the product. */
namespace header {

inline constexpr std::string_view request_id{"Kingcuplink-Request-Id"};
/*! "false" for a request that must not be repeated. */
inline constexpr std::string_view repeatable{"Kingcuplink-Repeatable"};
/*! Time that the caller waits, in milliseconds. */
inline constexpr std::string_view deadline{"Kingcuplink-Deadline-Ms"};
/*! "true" on an answer if the request surely had no effect. */
inline constexpr std::string_view not_run{"Kingcuplink-Not-Run"};
/*! Name of the entry VM that passed the request on. */
inline constexpr std::string_view hop{"Kingcuplink-Hop"};
/*! Teams whose terms an edit may lower, separated by commas. */
inline constexpr std::string_view lower{"Kingcuplink-Lower"};

/*! Submissions of a team with the same value are one job. */
inline constexpr std::string_view idempotency_key{"Idempotency-Key"};

} // namespace header

/*! Returns the value of a header, or an empty text. Thread safe. */
[[nodiscard]] std::string_view header_of(http_request const &request, std::string_view name);

/*! Makes the answer that refuses a request, and counts the refusal. Thread safe. */
[[nodiscard]] http_response refusal_response(problem const &value, std::string_view request_id, counters &stats);

/*! Makes an answer of JSON. Thread safe. */
[[nodiscard]] http_response json_response(unsigned status, boost::json::value const &body);

/*! Makes an answer of plain text. Thread safe. */
[[nodiscard]] http_response text_response(unsigned status, std::string body);

} // namespace kingcuplink

#endif
