#ifndef KINGCUPLINK_CORE_FLAG_ENVIRONMENT_HPP_INCLUDED
#define KINGCUPLINK_CORE_FLAG_ENVIRONMENT_HPP_INCLUDED

#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink {

/*!
 * Returns the value of a flag's environment variable, named KINGCUPLINK_ followed by
 * the flag's name in capitals, or nothing if it is not set. Not thread safe while the
 * environment is being modified.
 */
[[nodiscard]] inline std::optional<std::string> flag_from_environment(std::string_view const flag) {
    std::string name{"KINGCUPLINK_"};
    for(auto const letter: flag) {
        name.push_back(letter >= 'a' && letter <= 'z' ? static_cast<char>(letter - 'a' + 'A') : letter);
    }
    auto const *value = std::getenv(name.c_str());
    return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

} // namespace kingcuplink

#endif
