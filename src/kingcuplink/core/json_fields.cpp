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

std::optional<std::uint64_t> whole_in(boost::json::value const &value, std::string_view const name) noexcept {
    auto const *field = field_in(value, name);
    auto const *number = field == nullptr ? nullptr : field->if_int64();
    return number == nullptr || *number < 0 ? std::nullopt : std::optional{static_cast<std::uint64_t>(*number)};
}

} // namespace kingcuplink
