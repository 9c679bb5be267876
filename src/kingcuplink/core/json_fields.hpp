#ifndef KINGCUPLINK_CORE_JSON_FIELDS_HPP_INCLUDED
#define KINGCUPLINK_CORE_JSON_FIELDS_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
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

/*! Returns a field that is a whole number of at least zero, or nothing. Thread safe. */
[[nodiscard]] std::optional<std::uint64_t> whole_in(boost::json::value const &value, std::string_view name) noexcept;

} // namespace kingcuplink

#endif
