#include <kingcuplink/gateway/acceptor.hpp>
#include <kingcuplink/platform/http_client.hpp>

namespace kingcuplink {

bool listen_on(boost::asio::ip::tcp::acceptor &acceptor, std::string const &address) {
    auto const endpoint = parse_endpoint(address);
    if(!endpoint) {
        return false;
    }
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(boost::asio::socket_base::reuse_address{true}, error);
    acceptor.bind(*endpoint, error);
    if(!error) {
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    }
    return !error;
}

} // namespace kingcuplink
