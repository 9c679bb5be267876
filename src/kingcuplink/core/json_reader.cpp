#include <algorithm>
#include <kingcuplink/core/json_reader.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::size_t max_text_length = 256u;

std::string excerpt_of(boost::json::value const *value) {
    if(value == nullptr) {
        return "missing";
    }
    auto text = boost::json::serialize(*value);
    if(text.size() > 80u) {
        text.resize(77u);
        text.append("...");
    }
    return text;
}

} // namespace internal

json_reader::json_reader(boost::json::object const &object, std::string path, refusal const reason)
    : object_{&object}, path_{std::move(path)}, reason_{reason} {}

result<json_reader> json_reader::open(boost::json::value const &value, std::string path, refusal const reason) {
    if(auto const *object = value.if_object(); object != nullptr) {
        return json_reader{*object, std::move(path), reason};
    }
    return refuse(reason, path + " is " + internal::excerpt_of(&value) + ", must be an object");
}

std::string json_reader::path_of(std::string_view const name) const {
    return path_.empty() ? std::string{name} : path_ + "." + std::string{name};
}

leaf::error_id json_reader::field_error(std::string_view const name, std::string_view const allowed) const {
    return refuse(
        reason_, path_of(name) + " is " + internal::excerpt_of(find(name)) + ", must be " + std::string{allowed});
}

boost::json::value const *json_reader::find(std::string_view const name) const noexcept {
    return object_->if_contains(name);
}

result<std::string> json_reader::text(std::string_view const name) const {
    auto const *value = find(name);
    if(value == nullptr || !value->is_string() || value->get_string().empty() ||
        value->get_string().size() > internal::max_text_length) {
        return field_error(name, "a text of 1 to 256 characters");
    }
    return std::string{value->get_string()};
}

result<std::string> json_reader::text_or(std::string_view const name, std::string_view const fallback) const {
    if(find(name) == nullptr) {
        return std::string{fallback};
    }
    return text(name);
}

result<std::int64_t> json_reader::number(std::string_view const name, number_range const range) const {
    auto const *value = find(name);
    boost::system::error_code error;
    auto const integer = value != nullptr && (value->is_int64() || value->is_uint64())
        ? value->to_number<std::int64_t>(error)
        : std::int64_t{};
    if(value == nullptr || !(value->is_int64() || value->is_uint64()) || error || integer < range.least ||
        integer > range.most) {
        return field_error(
            name, "a whole number from " + std::to_string(range.least) + " to " + std::to_string(range.most));
    }
    return integer;
}

result<std::int64_t> json_reader::number_or(
    std::string_view const name, number_range const range, std::int64_t const fallback) const {
    if(find(name) == nullptr) {
        return fallback;
    }
    return number(name, range);
}

result<bool> json_reader::flag_or(std::string_view const name, bool const fallback) const {
    auto const *value = find(name);
    if(value == nullptr) {
        return fallback;
    }
    if(!value->is_bool()) {
        return field_error(name, "true or false");
    }
    return value->get_bool();
}

result<boost::json::array const *> json_reader::array_or_empty(std::string_view const name) const {
    static boost::json::array const empty;
    auto const *value = find(name);
    if(value == nullptr) {
        return &empty;
    }
    if(!value->is_array()) {
        return field_error(name, "an array");
    }
    return &value->get_array();
}

result<void> json_reader::check_field_names(std::initializer_list<std::string_view> const names) const {
    for(auto const &entry: *object_) {
        if(std::find(names.begin(), names.end(), std::string_view{entry.key()}) == names.end()) {
            return field_error(entry.key(), "left out: there is no such field");
        }
    }
    return {};
}

result<boost::json::value> parse_json(std::string_view const text, refusal const reason) {
    boost::system::error_code error;
    auto value = boost::json::parse(text, error);
    if(error) {
        return refuse(reason, "the body is not JSON: " + error.message());
    }
    return value;
}

} // namespace kingcuplink
