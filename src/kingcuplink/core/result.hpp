#ifndef KINGCUPLINK_CORE_RESULT_HPP_INCLUDED
#define KINGCUPLINK_CORE_RESULT_HPP_INCLUDED

#include <boost/leaf.hpp>
#include <kingcuplink/core/refusal.hpp>
#include <optional>
#include <utility>

namespace kingcuplink {

namespace leaf = boost::leaf;

/*! Result of a function that may fail with a problem. */
template<typename Type>
using result = leaf::result<Type>;

/*! Returns an error that carries a problem. */
[[nodiscard]] inline leaf::error_id refuse(refusal const reason, std::string detail = {}) {
    return leaf::new_error(problem{reason, std::move(detail)});
}

namespace internal {

template<typename>
struct result_value;

template<typename Type>
struct result_value<result<Type>> {
    using type = Type;
};

} // namespace internal

/*!
 * Calls a function that returns result<void>.
 * @return The problem with which it failed, or nothing.
 */
template<typename Func>
[[nodiscard]] std::optional<problem> problem_of(Func &&func) {
    return leaf::try_handle_all(
        [&]() -> result<std::optional<problem>> {
            BOOST_LEAF_CHECK(func());
            return std::optional<problem>{};
        },
        [](problem const &value) { return std::optional<problem>{value}; },
        []() {
            return std::optional<problem>{problem{refusal::request_malformed, "unexpected error"}};
        });
}

/*!
 * Calls a function that returns a result.
 * @param failure Receives the problem if the function fails.
 * @return The value, or nothing.
 */
template<typename Func>
[[nodiscard]] auto value_of(Func &&func, problem &failure) {
    std::optional<typename internal::result_value<decltype(func())>::type> value;
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(value, func());
        return {};
    });
    if(refused) {
        failure = *refused;
    }
    return value;
}

} // namespace kingcuplink

#endif
