#ifndef KINGCUPLINK_TEST_PLATFORM_CONTRACT_HPP_INCLUDED
#define KINGCUPLINK_TEST_PLATFORM_CONTRACT_HPP_INCLUDED

#include "address_pool.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <optional>

namespace kingcuplink::test {

/*! Runs a coroutine to completion on a shared context and returns its result. */
template<typename Type>
Type run(boost::asio::io_context &context, boost::asio::awaitable<Type> task) {
    std::optional<Type> result;
    boost::asio::co_spawn(context, std::move(task), [&](std::exception_ptr const &error, Type value) {
        if(error) {
            std::rethrow_exception(error);
        }
        result = std::move(value);
    });
    while(!result) {
        context.run_one();
    }
    return std::move(*result);
}

/*! Runs a context for a time. */
inline void run_context_for(boost::asio::io_context &context, millis const time) {
    context.run_for(time);
}

/*! HTTP client with its context and counters. */
struct client_fixture {
    address_pool addresses;
    boost::asio::io_context context{1};
    counters stats;
    http_client client{context, stats, 8u};
};

} // namespace kingcuplink::test

#endif
