#ifndef KINGCUPLINK_ROUTING_ATTEMPT_HPP_INCLUDED
#define KINGCUPLINK_ROUTING_ATTEMPT_HPP_INCLUDED

#include <cstdint>

namespace kingcuplink {

/*! Outcome of an attempt to run a request on an endpoint. */
enum class attempt_outcome : std::uint8_t {
    /*! A complete answer was received. */
    answered,
    /*! The endpoint reported that it did not run the request because it is at capacity. */
    busy,
    /*! No part of the request was sent. */
    not_sent,
    /*! The request was sent at least partially, and no complete answer was received. */
    may_have_run
};

/*! Checks whether the request is known to have had no effect. */
[[nodiscard]] constexpr bool is_known_not_run(attempt_outcome const outcome) noexcept {
    return outcome == attempt_outcome::busy || outcome == attempt_outcome::not_sent;
}

/*! Checks whether a retry is safe: the request did not run, or it is repeatable. */
[[nodiscard]] constexpr bool may_retry(attempt_outcome const outcome, bool const repeatable) noexcept {
    return is_known_not_run(outcome) || (repeatable && outcome == attempt_outcome::may_have_run);
}

} // namespace kingcuplink

#endif
