#ifndef KINGCUPLINK_CORE_JSON_FIELDS_HPP_INCLUDED
#define KINGCUPLINK_CORE_JSON_FIELDS_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Returns a field of an object, or null if the value is no object or has no such field. Thread safe. */
[[nodiscard]] boost::json::value const *field_in(boost::json::value const &value, std::string_view name) noexcept;

/*! Returns a text field, or an empty text if there is none. Thread safe. */
[[nodiscard]] std::string text_in(boost::json::value const &value, std::string_view name);

/*! @copydoc text_in */
[[nodiscard]] std::string text_in(boost::json::object const &object, std::string_view name);

/*! Largest whole number that is read. */
inline constexpr std::uint64_t max_integer = std::numeric_limits<std::int64_t>::max();

/*! Limits of a number; both belong to it. */
struct real_range {
    double least{};
    double most{};
};

/*!
 * Returns a value that is a whole number from zero to a limit, or nothing. Never throws, whatever the number.
 * Thread safe.
 */
[[nodiscard]] std::optional<std::uint64_t> integer_of(
    boost::json::value const &value, std::uint64_t most = max_integer) noexcept;

/*! Returns a field that is a whole number from zero to a limit, or nothing. Thread safe. */
[[nodiscard]] std::optional<std::uint64_t> integer_in(
    boost::json::value const &value, std::string_view name, std::uint64_t most = max_integer) noexcept;

/*! Returns a value that is a number within limits, or nothing. Never throws, whatever the number. Thread safe. */
[[nodiscard]] std::optional<double> double_of(boost::json::value const &value, real_range range) noexcept;

/*! Letters of a text of others that a log line shows. */
inline constexpr std::size_t max_log_text = 64u;

/*! Returns the beginning of a text of others for a log line: what is not printable ASCII becomes '?'. Thread safe. */
[[nodiscard]] std::string printable(std::string_view text, std::size_t most = max_log_text);

} // namespace kingcuplink

#endif
