#ifndef KINGCUPLINK_DAEMON_PAUSE_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_PAUSE_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <kingcuplink/core/time.hpp>

namespace kingcuplink {

/*! Suspends the calling coroutine for a time. */
inline boost::asio::awaitable<void> pause(boost::asio::io_context &context, millis const time) {
    boost::asio::steady_timer timer{context, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

} // namespace kingcuplink

#endif
