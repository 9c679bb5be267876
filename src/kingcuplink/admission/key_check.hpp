#ifndef KINGCUPLINK_ADMISSION_KEY_CHECK_HPP_INCLUDED
#define KINGCUPLINK_ADMISSION_KEY_CHECK_HPP_INCLUDED

#include <kingcuplink/core/result.hpp>
#include <kingcuplink/document/document.hpp>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Returns the bearer key of an Authorization header, or an empty string if there is none. Thread safe. */
[[nodiscard]] std::string_view bearer_key(std::string_view header) noexcept;

/*! Returns the team that owns a key. Refuses missing, unknown and withdrawn keys. Thread safe. */
[[nodiscard]] result<std::string> team_of_key(document const &rules, std::string_view key);

/*! Result of an admission check: the team that is charged for the request. */
struct admitted_request {
    std::string team;
    /*! True if the request was admitted to an open queue without a key. */
    bool open{};
};

/*!
 * Checks whether a request may enter a queue with the given key. Thread safe.
 * @param cut_off True while neither the log nor any peer is reachable.
 * @return The team to charge, or a refusal: queue_unknown, held_while_cut_off, or one of team_of_key().
 */
[[nodiscard]] result<admitted_request> admit_request(
    document const &rules, std::string_view queue, std::string_view key, bool cut_off);

} // namespace kingcuplink

#endif
