#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <kingcuplink/cli/explain.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::size_t time_width = 10u;
constexpr std::size_t vm_width = 24u;
constexpr std::size_t event_width = 24u;

void append_column(std::string &text, std::string value, std::size_t const width) {
    value.resize(std::max(value.size() + 1u, width), ' ');
    text.append(value);
}

} // namespace internal

void collect_decisions(std::istream &log, std::string_view const job, std::vector<explained_line> &lines) {
    for(std::string line; std::getline(log, line);) {
        auto const begin = line.find('{');
        if(begin == std::string::npos || line.find(job) == std::string::npos) {
            continue;
        }
        boost::system::error_code error;
        auto value = boost::json::parse(boost::json::string_view{line}.substr(begin), error);
        if(error || !value.is_object() || text_in(value, "job") != job) {
            continue;
        }
        auto &object = value.as_object();
        explained_line decision;
        decision.time_ms = static_cast<std::int64_t>(integer_in(value, "time_ms").value_or(0u));
        decision.vm = text_in(value, "vm");
        decision.event = text_in(value, "event");
        for(auto const *name: {"time_ms", "vm", "event", "job"}) {
            object.erase(name);
        }
        decision.fields = boost::json::serialize(object);
        lines.push_back(std::move(decision));
    }
}

void sort_decisions(std::vector<explained_line> &lines) {
    std::stable_sort(
        lines.begin(), lines.end(), [](auto const &lhs, auto const &rhs) { return lhs.time_ms < rhs.time_ms; });
}

std::string explain(std::vector<explained_line> const &lines) {
    if(lines.empty()) {
        return "no decision about this job in these logs: it was refused before its identifier was read, or other "
               "entry VMs have its lines\n";
    }
    std::string text;
    std::size_t longest{};
    std::int64_t longest_gap{};
    for(std::size_t pos{}; pos < lines.size(); ++pos) {
        auto const &line = lines[pos];
        internal::append_column(
            text, "+" + std::to_string(line.time_ms - lines.front().time_ms) + "ms", internal::time_width);
        internal::append_column(text, line.vm, internal::vm_width);
        internal::append_column(text, line.event, internal::event_width);
        text.append(line.fields).append("\n");
        auto const gap = pos == 0u ? 0 : line.time_ms - lines[pos - 1u].time_ms;
        if(gap > longest_gap) {
            longest_gap = gap;
            longest = pos;
        }
    }
    if(longest > 0u) {
        text.append("longest gap: ")
            .append(std::to_string(longest_gap))
            .append("ms, from ")
            .append(lines[longest - 1u].event)
            .append(" to ")
            .append(lines[longest].event)
            .append("; docs/OPERATIONS.md tells what can cause it\n");
    }
    return text;
}

} // namespace kingcuplink
