#include "fault_proxy.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink::soak {

namespace {

namespace asio = boost::asio;

constexpr std::size_t buffer_bytes = 64u * 1024u;
constexpr auto delay = std::chrono::milliseconds{300};
/*! Time between looks whether a link that is held back may go on. */
constexpr auto hold_poll = std::chrono::milliseconds{20};

constexpr std::array<std::string_view, 7u> fault_names{
    "none", "delayed", "reset", "cut_forward", "cut_back", "lose_answers", "silent"};

void reset(asio::ip::tcp::socket &socket) {
    boost::system::error_code ignored;
    // With no time to linger a close resets the connection.
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

std::string_view name_of(link_fault const fault) noexcept {
    return fault_names[static_cast<std::size_t>(fault)];
}

fault_proxy::fault_proxy(asio::io_context &context, std::string const &address, std::string target)
    : context_{context}, acceptor_{context, *parse_endpoint(address)}, target_{std::move(target)} {}

void fault_proxy::start() {
    asio::co_spawn(context_, accept_all(shared_from_this()), asio::detached);
}

void fault_proxy::set(link_fault const fault) {
    fault_ = fault;
    asio::post(context_, [self = shared_from_this(), fault]() {
        if(fault == link_fault::reset) {
            self->reset_all();
        }
        for(auto const &item: self->links_) {
            if(auto const open = item.lock(); open && fault == link_fault::silent) {
                open->is_silent = true;
            }
        }
    });
}

void fault_proxy::reset_all() {
    for(auto const &item: links_) {
        if(auto const open = item.lock()) {
            reset(open->near);
            reset(open->far);
        }
    }
    links_.clear();
}

asio::awaitable<void> fault_proxy::accept_all([[maybe_unused]] std::shared_ptr<fault_proxy> self) {
    while(true) {
        boost::system::error_code error;
        auto socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if(error) {
            co_return;
        }
        if(fault_ == link_fault::reset) {
            reset(socket);
            continue;
        }
        auto const item = std::make_shared<link>(std::move(socket));
        std::erase_if(links_, [](auto const &known) { return known.expired(); });
        links_.push_back(item);
        asio::co_spawn(context_, connect(shared_from_this(), item), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::connect([[maybe_unused]] std::shared_ptr<fault_proxy> self, link_pointer item) {
    boost::system::error_code error;
    auto const where = *parse_endpoint(target_);
    co_await item->far.async_connect(where, asio::redirect_error(asio::use_awaitable, error));
    if(error) {
        reset(item->near);
        co_return;
    }
    boost::system::error_code ignored;
    item->near.set_option(asio::ip::tcp::no_delay{true}, ignored);
    item->far.set_option(asio::ip::tcp::no_delay{true}, ignored);
    asio::co_spawn(context_, pass(shared_from_this(), item, true), asio::detached);
    asio::co_spawn(context_, pass(shared_from_this(), item, false), asio::detached);
}

bool fault_proxy::holds_back(link const &item, bool const forward) const noexcept {
    auto const fault = fault_.load();
    return item.is_silent || (fault == link_fault::cut_forward && forward) ||
        (fault == link_fault::cut_back && !forward);
}

asio::awaitable<void> fault_proxy::pass(
    [[maybe_unused]] std::shared_ptr<fault_proxy> self, link_pointer item, bool const forward) {
    auto &from = forward ? item->near : item->far;
    auto &to = forward ? item->far : item->near;
    std::array<char, buffer_bytes> bytes{};
    boost::system::error_code error;
    while(!error) {
        auto const buffer = asio::buffer(bytes);
        auto const count = co_await from.async_read_some(buffer, asio::redirect_error(asio::use_awaitable, error));
        if(error) {
            break;
        }
        if(fault_ == link_fault::delayed) {
            co_await pause(delay);
        }
        while(holds_back(*item, forward) && to.is_open()) {
            co_await pause(hold_poll);
        }
        if(!forward && (item->loses_answers || fault_ == link_fault::lose_answers)) {
            item->loses_answers = true;
            continue;
        }
        auto const part = asio::buffer(bytes, count);
        co_await asio::async_write(to, part, asio::redirect_error(asio::use_awaitable, error));
    }
    boost::system::error_code ignored;
    item->near.close(ignored);
    item->far.close(ignored);
}

} // namespace kingcuplink::soak
