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

std::optional<std::uint64_t> integer_of(boost::json::value const &value, std::uint64_t const most) noexcept {
    // What fits into 64 bits with a sign is never held as a number without one.
    auto const *number = value.if_int64();
    if(number == nullptr || *number < 0 || static_cast<std::uint64_t>(*number) > most) {
        return std::nullopt;
    }
    return static_cast<std::uint64_t>(*number);
}

std::optional<std::uint64_t> integer_in(
    boost::json::value const &value, std::string_view const name, std::uint64_t const most) noexcept {
    auto const *field = field_in(value, name);
    return field == nullptr ? std::nullopt : integer_of(*field, most);
}

std::optional<double> double_of(boost::json::value const &value, real_range const range) noexcept {
    std::optional<double> number;
    if(auto const *whole = value.if_int64()) {
        number = static_cast<double>(*whole);
    } else if(auto const *large = value.if_uint64()) {
        number = static_cast<double>(*large);
    } else if(auto const *real = value.if_double()) {
        number = *real;
    }
    // Infinity and what is no number fail these comparisons.
    return number && *number >= range.least && *number <= range.most ? number : std::nullopt;
}

std::string printable(std::string_view const text, std::size_t const most) {
    std::string result{text.substr(0u, most)};
    std::replace_if(
        result.begin(), result.end(), [](char const letter) { return letter < ' ' || letter > '~'; }, '?');
    return result;
}

} // namespace kingcuplink
