#include <boost/json/serialize.hpp>
#include <kingcuplink/cli/document_diff.hpp>
#include <map>
#include <set>

namespace kingcuplink {

namespace internal {

namespace json = boost::json;

/*! Returns what identifies an item of an array. */
std::string item_key(json::value const &item, std::size_t const position) {
    if(auto const *object = item.if_object(); object != nullptr) {
        for(auto const *name: {"name", "sha256"}) {
            if(auto const *field = object->if_contains(name); field != nullptr && field->is_string()) {
                return std::string{field->get_string()};
            }
        }
    }
    return std::to_string(position);
}

std::map<std::string, json::value const *> children_of(json::value const &value) {
    std::map<std::string, json::value const *> children;
    if(auto const *object = value.if_object(); object != nullptr) {
        for(auto const &field: *object) {
            children.emplace(field.key(), &field.value());
        }
    } else if(auto const *array = value.if_array(); array != nullptr) {
        for(std::size_t pos{}; pos < array->size(); ++pos) {
            children.emplace(item_key((*array)[pos], pos), &(*array)[pos]);
        }
    }
    return children;
}

std::string child_path(std::string const &path, std::string const &name) {
    std::string text{path};
    if(!text.empty()) {
        text.append(".");
    }
    return text.append(name);
}

void diff_into(
    std::vector<std::string> &lines, std::string const &path, json::value const *before, json::value const *after) {
    if(before != nullptr && after != nullptr && *before == *after) {
        return;
    }
    auto const is_tree = [](json::value const *value) {
        return value != nullptr && (value->is_object() || value->is_array());
    };
    if(!is_tree(before) || !is_tree(after)) {
        auto const text = [](json::value const *value) {
            return value == nullptr ? std::string{"(nothing)"} : json::serialize(*value);
        };
        lines.push_back(path + ": " + text(before) + " -> " + text(after));
        return;
    }
    auto const old_children = children_of(*before);
    auto const new_children = children_of(*after);
    std::set<std::string> names;
    for(auto const &[name, child]: old_children) {
        names.insert(name);
    }
    for(auto const &[name, child]: new_children) {
        names.insert(name);
    }
    for(auto const &name: names) {
        auto const old_child = old_children.find(name);
        auto const new_child = new_children.find(name);
        diff_into(lines, child_path(path, name), old_child == old_children.end() ? nullptr : old_child->second,
            new_child == new_children.end() ? nullptr : new_child->second);
    }
}

} // namespace internal

std::vector<std::string> diff_json(boost::json::value const &before, boost::json::value const &after) {
    std::vector<std::string> lines;
    internal::diff_into(lines, {}, &before, &after);
    return lines;
}

} // namespace kingcuplink
