#ifndef KINGCUPLINK_CLI_DOCUMENT_DIFF_HPP_INCLUDED
#define KINGCUPLINK_CLI_DOCUMENT_DIFF_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace kingcuplink {

/*!
 * Returns a line for each difference between two values: its path, the value
 * before and after. Items of arrays that have a name or a hash are matched by it.
 */
[[nodiscard]] std::vector<std::string> diff_json(boost::json::value const &before, boost::json::value const &after);

} // namespace kingcuplink

#endif
