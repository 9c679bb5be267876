#ifndef KINGCUPLINK_CLI_EXPLAIN_HPP_INCLUDED
#define KINGCUPLINK_CLI_EXPLAIN_HPP_INCLUDED

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! One decision about a job. */
struct explained_line {
    std::int64_t time_ms{};
    std::string vm;
    std::string event;
    /*! The other fields, as JSON. */
    std::string fields;
};

/*!
 * Adds the decisions about a job from a process's log. What a collector put before
 * the JSON of a line is passed over, and so are lines that are not decisions.
 */
void collect_decisions(std::istream &log, std::string_view job, std::vector<explained_line> &lines);

/*! Puts decisions in order of time. Clocks of entry VMs differ by milliseconds. */
void sort_decisions(std::vector<explained_line> &lines);

/*!
 * Returns the decisions as a table with the time since the first one, and names the
 * longest gap, which is where a late job lost its time.
 */
[[nodiscard]] std::string explain(std::vector<explained_line> const &lines);

} // namespace kingcuplink

#endif
