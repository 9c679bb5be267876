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

/*! Completion handler of a detached coroutine: rethrows its exception, which terminates the process. */
inline constexpr auto fail_fast = [](std::exception_ptr const &error) {
    if(error) {
        std::rethrow_exception(error);
    }
};

/*! Event with a time limit that one coroutine can wait for. Not thread safe. */
class wakeup {
public:
    /*! Constructs an event that is not set; the context must outlive it. */
    explicit wakeup(boost::asio::io_context &context) : timer_{context} {}

    /*! Ends the current wait, or the next one if no coroutine is waiting. */
    void notify() {
        is_set_ = true;
        timer_.cancel();
    }

    /*! Returns whether the next wait ends at once. */
    [[nodiscard]] bool is_set() const noexcept {
        return is_set_;
    }

    /*! Waits until notify() is called, at most for the given time. Only one coroutine may wait. */
    boost::asio::awaitable<void> wait(millis const limit) {
        if(!is_set_) {
            timer_.expires_after(limit);
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
