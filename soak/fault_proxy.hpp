#ifndef KINGCUPLINK_SOAK_FAULT_PROXY_HPP_INCLUDED
#define KINGCUPLINK_SOAK_FAULT_PROXY_HPP_INCLUDED

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>

namespace kingcuplink::soak {

/*! What a proxy does to the connections through it. */
enum class link_fault : std::uint8_t {
    none,
    /*! Bytes pass after a delay. */
    delayed,
    /*! Connections are reset, new ones as well. */
    reset,
    /*! Bytes of the connecting side do not pass; answers do. */
    cut_forward,
    /*! Answers do not pass. */
    cut_back,
    /*! Answers are dropped, and all later ones of their connections. */
    lose_answers,
    /*! Nothing passes on connections that were open when it began; new ones work. */
    silent
};

/*! Returns the name of a fault. */
[[nodiscard]] std::string_view name_of(link_fault fault) noexcept;

/*! Passes connections on to an address, with faults. set() is thread safe; all else belongs to the context's thread. */
class fault_proxy : public std::enable_shared_from_this<fault_proxy> {
public:
    /*! Listens on an address; throws if that fails. */
    fault_proxy(boost::asio::io_context &context, std::string const &address, std::string target);

    /*! Begins to accept. */
    void start();

    /*! Sets the fault of all connections. */
    void set(link_fault fault);

private:
    struct link {
        explicit link(boost::asio::ip::tcp::socket accepted) : near{std::move(accepted)}, far{near.get_executor()} {}

        boost::asio::ip::tcp::socket near;
        boost::asio::ip::tcp::socket far;
        bool is_silent{};
        bool loses_answers{};
    };

    using link_pointer = std::shared_ptr<link>;

    boost::asio::awaitable<void> accept_all(std::shared_ptr<fault_proxy> self);
    boost::asio::awaitable<void> connect(std::shared_ptr<fault_proxy> self, link_pointer item);
    boost::asio::awaitable<void> pass(std::shared_ptr<fault_proxy> self, link_pointer item, bool forward);
    [[nodiscard]] bool holds_back(link const &item, bool forward) const noexcept;
    void reset_all();

    boost::asio::io_context &context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string target_;
    std::atomic<link_fault> fault_{link_fault::none};
    std::list<std::weak_ptr<link>> links_;
};

} // namespace kingcuplink::soak

#endif
