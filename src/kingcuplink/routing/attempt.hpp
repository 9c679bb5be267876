#ifndef KINGCUPLINK_ROUTING_ATTEMPT_HPP_INCLUDED
#define KINGCUPLINK_ROUTING_ATTEMPT_HPP_INCLUDED

#include <cstdint>

namespace kingcuplink {

/*! What is known of an attempt to have a request run. */
enum class attempt_outcome : std::uint8_t {
    /*! A whole answer came back. */
    answered,
    /*! The endpoint said that it did not run the request, for want of room. */
    busy,
    /*! Nothing of the request was sent. */
    not_sent,
    /*! The request was sent in part or whole, and no whole answer came back. */
    may_have_run
};

/*! Tells whether the request surely had no effect. */
[[nodiscard]] constexpr bool is_known_not_run(attempt_outcome const outcome) noexcept {
    return outcome == attempt_outcome::busy || outcome == attempt_outcome::not_sent;
}

/*! Tells whether another attempt cannot make the request run twice against its caller's wish. */
[[nodiscard]] constexpr bool may_retry(attempt_outcome const outcome, bool const repeatable) noexcept {
    return is_known_not_run(outcome) || (repeatable && outcome == attempt_outcome::may_have_run);
}

} // namespace kingcuplink

#endif
