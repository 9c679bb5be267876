#include <algorithm>
#include <boost/json/object.hpp>
#include <kingcuplink/core/json_fields.hpp>

namespace kingcuplink {

boost::json::value const *field_in(boost::json::value const &value, std::string_view const name) noexcept {
    auto const *object = value.if_object();
    return object == nullptr ? nullptr : object->if_contains(name);
}

std::string text_in(boost::json::value const &value, std::string_view const name) {
    auto const *field = field_in(value, name);
    return field == nullptr || !field->is_string() ? std::string{} : std::string{field->get_string()};
}

std::string text_in(boost::json::object const &object, std::string_view const name) {
    auto const *field = object.if_contains(name);
    return field == nullptr || !field->is_string() ? std::string{} : std::string{field->get_string()};
}

std::optional<std::uint64_t> integer_of(boost::json::value const &value, std::uint64_t const limit) noexcept {
    // Parsed numbers are stored as uint64 only if they do not fit into int64.
    auto const *number = value.if_int64();
    if(number == nullptr || *number < 0 || static_cast<std::uint64_t>(*number) > limit) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*number);
}

std::optional<std::uint64_t> integer_in(
    boost::json::value const &value, std::string_view const name, std::uint64_t const limit) noexcept {
    auto const *field = field_in(value, name);
    return field == nullptr ? std::nullopt : integer_of(*field, limit);
}

std::optional<double> double_of(boost::json::value const &value, real_range const range) noexcept {
    std::optional<double> number;
    if(auto const *integer = value.if_int64()) {
        number = static_cast<double>(*integer);
    } else if(auto const *large = value.if_uint64()) {
        number = static_cast<double>(*large);
    } else if(auto const *real = value.if_double()) {
        number = *real;
    }
    // Infinity and NaN fail these comparisons.
    return number && *number >= range.least && *number <= range.most ? number : std::nullopt;
}

std::string printable(std::string_view const text, std::size_t const max_length) {
    std::string result{text.substr(0u, max_length)};
    std::replace_if(
        result.begin(), result.end(), [](char const letter) { return letter < ' ' || letter > '~'; }, '?');
    return result;
}

} // namespace kingcuplink
