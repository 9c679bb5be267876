#ifndef KINGCUPLINK_WIRE_PEER_LINK_HPP_INCLUDED
#define KINGCUPLINK_WIRE_PEER_LINK_HPP_INCLUDED

#include <chrono>
#include <functional>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/wire/generated/messages.pb.h>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <zmq.hpp>

namespace kingcuplink {

/*!
 * Exchanges messages with the other entry VMs over ZeroMQ. Sending never blocks:
 * a message to a peer that is unreachable, or whose queue is full, is counted and
 * dropped. Received messages are validated before they are passed to the receiver.
 *
 * All methods must be called on the same thread. The receiver is called on the
 * link's own thread.
 */
class peer_link {
public:
    using receiver = std::function<void(wire::envelope)>;

    /*!
     * Binds the socket for messages of peers.
     * @param self Name of this entry VM.
     * @param address IP address and port to listen on.
     * @param stats Counters; they must outlive the link.
     * @param on_message Called for each valid message, on the link's own thread.
     * @throw zmq::error_t if the address cannot be bound.
     */
    peer_link(std::string self, std::string const &address, counters &stats, receiver on_message);

    /*! Closes all sockets and joins the thread. */
    ~peer_link();

    peer_link(peer_link const &) = delete;
    peer_link &operator=(peer_link const &) = delete;

    /*!
     * Connects to a peer, or confirms that the connection to this address is needed. If the address is malformed or too
     * many connections are open, this is counted, and the connection to an earlier address is closed all the same.
     */
    void connect(std::string const &peer, std::string const &address);

    /*! Closes the connections for which neither connect() nor send() was called for a time. */
    void disconnect_idle(millis time);

    /*! Closes the connection to a peer. */
    void disconnect(std::string const &peer);

    /*!
     * Sends a message.
     * @param message Message to send; its version and sender are set.
     * @return False if the message was dropped.
     */
    bool send(std::string const &peer, wire::envelope &message);

private:
    struct connection {
        std::string address;
        zmq::socket_t socket;
        /*! Time of the latest call that needed the connection. */
        std::chrono::steady_clock::time_point used_at;
    };

    [[nodiscard]] zmq::socket_t open_socket(std::string const &address);

    void receive_loop();
    void handle(zmq::message_t const &frame);

    std::string self_;
    counters &stats_;
    receiver on_message_;
    zmq::context_t context_;
    zmq::socket_t inbox_;
    std::map<std::string, connection> peers_;
    std::thread thread_;
};

} // namespace kingcuplink

#endif
