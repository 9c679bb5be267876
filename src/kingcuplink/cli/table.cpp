#include <algorithm>
#include <boost/json/serialize.hpp>
#include <kingcuplink/cli/table.hpp>
#include <vector>

namespace kingcuplink {

namespace internal {

constexpr std::size_t column_gap = 2u;

std::string cell_text(boost::json::value const &value) {
    return value.is_string() ? std::string{value.get_string()} : boost::json::serialize(value);
}

std::vector<std::string> cells_of(boost::json::value const &row, std::span<std::string_view const> const columns) {
    std::vector<std::string> cells;
    for(auto const column: columns) {
        auto const *object = row.if_object();
        auto const *field = object == nullptr ? nullptr : object->if_contains(column);
        cells.push_back(field == nullptr ? std::string{"-"} : cell_text(*field));
    }
    return cells;
}

} // namespace internal

std::string format_table(boost::json::value const &rows, std::span<std::string_view const> const columns) {
    std::vector<std::vector<std::string>> lines{{columns.begin(), columns.end()}};
    if(auto const *list = rows.if_array(); list != nullptr) {
        std::transform(list->begin(), list->end(), std::back_inserter(lines),
            [&](auto const &row) { return internal::cells_of(row, columns); });
    }
    std::vector<std::size_t> widths(columns.size());
    for(auto const &line: lines) {
        for(std::size_t pos{}; pos < line.size(); ++pos) {
            widths[pos] = std::max(widths[pos], line[pos].size());
        }
    }
    std::string text;
    for(auto const &line: lines) {
        for(std::size_t pos{}; pos < line.size(); ++pos) {
            text.append(line[pos]);
            if(pos + 1u < line.size()) {
                text.append(widths[pos] + internal::column_gap - line[pos].size(), ' ');
            }
        }
        text.append("\n");
    }
    return text;
}

std::string format_fields(boost::json::value const &value, std::size_t const indent) {
    std::string text;
    auto const *object = value.if_object();
    if(object == nullptr) {
        return std::string(indent, ' ') + internal::cell_text(value) + "\n";
    }
    for(auto const &field: *object) {
        text.append(indent, ' ').append(field.key()).append(":");
        if(field.value().is_object()) {
            text.append("\n").append(format_fields(field.value(), indent + 2u));
        } else if(field.value().is_array() && !field.value().get_array().empty() &&
            field.value().get_array().front().is_object()) {
            text.append("\n");
            for(auto const &item: field.value().get_array()) {
                text.append(indent + 2u, ' ').append(boost::json::serialize(item)).append("\n");
            }
        } else {
            text.append(" ").append(internal::cell_text(field.value())).append("\n");
        }
    }
    return text;
}

} // namespace kingcuplink
