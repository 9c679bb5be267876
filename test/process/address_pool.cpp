#include "address_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <fcntl.h>
#include <filesystem>
#include <stdexcept>
#include <sys/file.h>
#include <unistd.h>

namespace kingcuplink::test {

namespace {

constexpr int lowest_port = 10'000;
constexpr int highest_port = 31'000;
constexpr int ports_per_pool = 150;

/*! Locks the ports of a pool for this process; returns the lock's descriptor, or -1 if another has them. */
int lock_ports(int const first) {
    auto const path = std::filesystem::temp_directory_path() / ("kingcuplink-ports-" + std::to_string(first));
    auto const lock = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666);
    if(lock >= 0 && ::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock);
        return -1;
    }
    return lock;
}

/*! Tells whether nobody listens on a port of the loopback interface. */
bool is_free(int const port) {
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor{context, boost::asio::ip::tcp::v4()};
    boost::system::error_code error;
    acceptor.set_option(boost::asio::socket_base::reuse_address{true}, error);
    acceptor.bind({boost::asio::ip::address_v4::loopback(), static_cast<boost::asio::ip::port_type>(port)}, error);
    return !error;
}

} // namespace

address_pool::address_pool() {
    for(auto first = lowest_port; lock_ < 0 && first < highest_port; first += ports_per_pool) {
        lock_ = lock_ports(first);
        first_port_ = first;
    }
    if(lock_ < 0) {
        throw std::runtime_error{"all ports for tests are taken: end other tests"};
    }
    next_port_ = first_port_;
}

address_pool::~address_pool() {
    ::close(lock_);
}

std::string address_pool::take_address() {
    while(!is_free(next_port_)) {
        ++next_port_;
    }
    return "127.0.0.1:" + std::to_string(next_port_++);
}

} // namespace kingcuplink::test
