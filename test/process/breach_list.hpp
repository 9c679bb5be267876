#ifndef KINGCUPLINK_TEST_PROCESS_BREACH_LIST_HPP_INCLUDED
#define KINGCUPLINK_TEST_PROCESS_BREACH_LIST_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <string>

namespace kingcuplink::test {

/*! Returns the breaches in a stand-in's record, one a line. */
[[nodiscard]] inline std::string breaches_in(boost::json::value const &record) {
    std::string text;
    for(auto const &breach: record.at("breaches").as_array()) {
        text.append(breach.as_string()).append("\n");
    }
    return text;
}

} // namespace kingcuplink::test

#endif
