#ifndef KINGCUPLINK_ADMISSION_KEY_CHECK_HPP_INCLUDED
#define KINGCUPLINK_ADMISSION_KEY_CHECK_HPP_INCLUDED

#include <kingcuplink/core/result.hpp>
#include <kingcuplink/document/document.hpp>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Returns the key in an Authorization header, or an empty text if it holds none. Thread safe. */
[[nodiscard]] std::string_view bearer_key(std::string_view header) noexcept;

/*! Returns the team of a key. Refuses missing, unknown and withdrawn keys. Thread safe. */
[[nodiscard]] result<std::string> team_of_key(document const &rules, std::string_view key);

/*! Where a request is charged. */
struct admitted_request {
    std::string team;
    bool open{};
};

/*!
 * Checks a request's key against its queue. Thread safe.
 * @param cut_off True while neither the log nor a peer can be reached.
 */
[[nodiscard]] result<admitted_request> admit_request(
    document const &rules, std::string_view queue, std::string_view key, bool cut_off);

} // namespace kingcuplink

#endif
