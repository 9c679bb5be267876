#ifndef KINGCUPLINK_SITE_WAKEUP_HPP_INCLUDED
#define KINGCUPLINK_SITE_WAKEUP_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <kingcuplink/core/time.hpp>

namespace kingcuplink {

/*! Completion of a coroutine that nobody waits for: an exception ends the process with its message. */
inline constexpr auto fail_fast = [](std::exception_ptr const &error) {
    if(error) {
        std::rethrow_exception(error);
    }
};

/*! Lets one coroutine wait for a time or until it is told to go on. One thread. */
class wakeup {
public:
    /*! Constructs it; the context must outlive it. */
    explicit wakeup(boost::asio::io_context &context) : timer_{context} {}

    /*! Makes the present or the next wait end. */
    void notify() {
        is_set_ = true;
        timer_.cancel();
    }

    /*! Waits until notify(), at most for a time. Only one coroutine may wait. */
    boost::asio::awaitable<void> wait(millis const most) {
        if(!is_set_) {
            timer_.expires_after(most);
            boost::system::error_code ignored;
            co_await timer_.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        }
        is_set_ = false;
    }

private:
    boost::asio::steady_timer timer_;
    bool is_set_{};
};

} // namespace kingcuplink

#endif
