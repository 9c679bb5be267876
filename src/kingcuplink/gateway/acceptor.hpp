#ifndef KINGCUPLINK_GATEWAY_ACCEPTOR_HPP_INCLUDED
#define KINGCUPLINK_GATEWAY_ACCEPTOR_HPP_INCLUDED

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace kingcuplink {

/*!
 * Makes an acceptor listen on an address that an earlier process may just have left.
 * @param address IP number and port.
 * @return False if the address is malformed or taken.
 */
[[nodiscard]] bool listen_on(boost::asio::ip::tcp::acceptor &acceptor, std::string const &address);

} // namespace kingcuplink

#endif
