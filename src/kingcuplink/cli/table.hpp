#ifndef KINGCUPLINK_CLI_TABLE_HPP_INCLUDED
#define KINGCUPLINK_CLI_TABLE_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <span>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Returns a table with a header and a line for each object of an array; missing fields show as "-". */
[[nodiscard]] std::string format_table(boost::json::value const &rows, std::span<std::string_view const> columns);

/*! Returns a line "name: value" for each field of an object; arrays and objects are indented. */
[[nodiscard]] std::string format_fields(boost::json::value const &value, std::size_t indent = 0u);

} // namespace kingcuplink

#endif
