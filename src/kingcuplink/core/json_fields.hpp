#ifndef KINGCUPLINK_CORE_JSON_FIELDS_HPP_INCLUDED
#define KINGCUPLINK_CORE_JSON_FIELDS_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Returns a field of an object, or null if the value is not an object or has no such field. Thread safe. */
[[nodiscard]] boost::json::value const *field_in(boost::json::value const &value, std::string_view name) noexcept;

/*! Returns a string field, or an empty string if it is missing or not a string. Thread safe. */
[[nodiscard]] std::string text_in(boost::json::value const &value, std::string_view name);

/*! @copydoc text_in */
[[nodiscard]] std::string text_in(boost::json::object const &object, std::string_view name);

/*! Largest integer that is read. */
inline constexpr std::uint64_t max_integer = std::numeric_limits<std::int64_t>::max();

/*! Range of a number, both ends included. */
struct real_range {
    double least{};
    double most{};
};

/*! Returns a value that is an integer from zero to a limit, or nothing. Never throws. Thread safe. */
[[nodiscard]] std::optional<std::uint64_t> integer_of(
    boost::json::value const &value, std::uint64_t limit = max_integer) noexcept;

/*! Returns a field that is an integer from zero to a limit, or nothing. Thread safe. */
[[nodiscard]] std::optional<std::uint64_t> integer_in(
    boost::json::value const &value, std::string_view name, std::uint64_t limit = max_integer) noexcept;

/*! Returns a value that is a number within a range, or nothing. Never throws. Thread safe. */
[[nodiscard]] std::optional<double> double_of(boost::json::value const &value, real_range range) noexcept;

/*! Maximum number of bytes of external text in a log line. */
inline constexpr std::size_t max_log_text = 64u;

/*! Truncates external text for a log line and replaces all but printable ASCII by '?'. Thread safe. */
[[nodiscard]] std::string printable(std::string_view text, std::size_t max_length = max_log_text);

} // namespace kingcuplink

#endif
