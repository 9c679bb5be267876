#ifndef KINGCUPLINK_CLI_SERVER_CONNECTION_HPP_INCLUDED
#define KINGCUPLINK_CLI_SERVER_CONNECTION_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <map>
#include <string>
#include <vector>

namespace kingcuplink {

/*! Answer of a server, as the tool sees it. */
struct server_answer {
    /*! False if no server answered. */
    bool answered{};
    /*! True if the request may have had an effect although no answer came. */
    bool may_have_run{};
    /*! Zero unless a server answered. */
    unsigned status{};
    std::uint64_t version{};
    std::string text{};
    boost::json::value body{};
};

/*! Blocking client for the tool. Not thread safe. */
class server_connection {
public:
    /*!
     * Constructs a client.
     * @param servers Addresses, tried in order while nothing could be sent.
     * @param key Key that is sent with each request; empty for none.
     */
    server_connection(std::vector<std::string> servers, std::string key);

    /*! Sends a request and waits for its answer. */
    [[nodiscard]] server_answer send(boost::beast::http::verb method, std::string const &target,
        std::string const &body, std::map<std::string, std::string> const &headers = {},
        millis timeout = millis{30'000});

private:
    std::vector<std::string> servers_;
    std::string key_;
    boost::asio::io_context context_{1};
    counters stats_;
    http_client client_;
};

} // namespace kingcuplink

#endif
