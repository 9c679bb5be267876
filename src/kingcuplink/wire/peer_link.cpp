#include <cerrno>
#include <glog/logging.h>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/wire/peer_link.hpp>

namespace kingcuplink {

namespace internal {

constexpr int probe_interval_ms = 2'000;
constexpr int probe_timeout_ms = 5'000;
constexpr int reconnect_ms = 200;
constexpr int max_reconnect_ms = 2'000;
constexpr int no_linger = 0;
/*! Time between warnings about peers that cannot be connected, in seconds. */
constexpr int warning_interval_s = 10;

void set_common_options(zmq::socket_t &socket) {
    socket.set(zmq::sockopt::linger, no_linger);
    socket.set(zmq::sockopt::sndhwm, config::peer_queue_length);
    socket.set(zmq::sockopt::rcvhwm, config::peer_queue_length);
    socket.set(zmq::sockopt::maxmsgsize, static_cast<std::int64_t>(config::control_body_limit));
    socket.set(zmq::sockopt::heartbeat_ivl, probe_interval_ms);
    socket.set(zmq::sockopt::heartbeat_timeout, probe_timeout_ms);
}

} // namespace internal

peer_link::peer_link(std::string self, std::string const &address, counters &stats, receiver on_message)
    : self_{std::move(self)},
      stats_{stats},
      on_message_{std::move(on_message)},
      context_{1},
      inbox_{context_, zmq::socket_type::pull} {
    internal::set_common_options(inbox_);
    inbox_.bind("tcp://" + address);
    thread_ = std::thread{[this]() { receive_loop(); }};
}

peer_link::~peer_link() {
    peers_.clear();
    context_.shutdown();
    thread_.join();
    inbox_.close();
}

zmq::socket_t peer_link::open_socket(std::string const &address) {
    zmq::socket_t socket{context_, zmq::socket_type::push};
    internal::set_common_options(socket);
    socket.set(zmq::sockopt::immediate, true);
    socket.set(zmq::sockopt::reconnect_ivl, internal::reconnect_ms);
    socket.set(zmq::sockopt::reconnect_ivl_max, internal::max_reconnect_ms);
    socket.connect("tcp://" + address);
    return socket;
}

void peer_link::connect(std::string const &peer, std::string const &address) {
    auto const now = std::chrono::steady_clock::now();
    if(auto const known = peers_.find(peer); known != peers_.end()) {
        if(known->second.address == address) {
            known->second.used_at = now;
            return;
        }
        peers_.erase(known);
    }
    try {
        peers_.emplace(peer, connection{address, open_socket(address), now});
    } catch(zmq::error_t const &error) {
        // Peers name themselves and their addresses in messages: neither must end this process.
        auto const is_limit_reached = error.num() == EMFILE;
        stats_.add(is_limit_reached ? event::peer_connection_failed : event::peer_address_malformed);
        LOG_EVERY_T(WARNING, internal::warning_interval_s)
            << "peers: cannot connect to " << printable(peer) << " at '" << printable(address) << "': " << error.what()
            << "; its messages are dropped until "
            << (is_limit_reached ? "other connections are closed" : "it names another address");
    }
}

void peer_link::disconnect_idle(millis const time) {
    auto const limit = std::chrono::steady_clock::now() - time;
    auto const closed = std::erase_if(peers_, [limit](auto const &entry) { return entry.second.used_at < limit; });
    stats_.add(event::peer_connection_idle, closed);
}

void peer_link::disconnect(std::string const &peer) {
    peers_.erase(peer);
}

bool peer_link::send(std::string const &peer, wire::envelope &message) {
    auto const found = peers_.find(peer);
    if(found == peers_.end()) {
        stats_.add(event::peer_message_dropped);
        return false;
    }
    found->second.used_at = std::chrono::steady_clock::now();
    message.set_version(config::wire_version);
    message.set_sender(self_);
    auto const text = message.SerializeAsString();
    auto const sent = found->second.socket.send(zmq::buffer(text), zmq::send_flags::dontwait);
    if(!sent) {
        stats_.add(event::peer_message_dropped);
        return false;
    }
    stats_.add(event::peer_message_sent);
    stats_.add(event::peer_bytes_sent, text.size());
    return true;
}

void peer_link::receive_loop() {
    zmq::message_t frame;
    while(true) {
        try {
            if(inbox_.recv(frame)) {
                handle(frame);
            }
        } catch(zmq::error_t const &) {
            return;
        }
    }
}

void peer_link::handle(zmq::message_t const &frame) {
    wire::envelope message;
    auto const parsed = message.ParseFromArray(frame.data(), static_cast<int>(frame.size()));
    auto const is_valid = parsed && message.version() == config::wire_version && !message.sender().empty() &&
        message.body_case() != wire::envelope::BODY_NOT_SET;
    if(!is_valid) {
        stats_.add(event::peer_message_malformed);
        return;
    }
    stats_.add(event::peer_message_received);
    stats_.add(event::peer_bytes_received, frame.size());
    on_message_(std::move(message));
}

} // namespace kingcuplink
