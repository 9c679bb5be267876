#ifndef KINGCUPLINK_PLATFORM_PAUSE_HPP_INCLUDED
#define KINGCUPLINK_PLATFORM_PAUSE_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <kingcuplink/core/time.hpp>

namespace kingcuplink {

/*! Suspends the calling coroutine for a time; it is resumed on its executor. */
inline boost::asio::awaitable<void> pause(millis const time) {
    boost::asio::steady_timer timer{co_await boost::asio::this_coro::executor, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace kingcuplink

#endif
