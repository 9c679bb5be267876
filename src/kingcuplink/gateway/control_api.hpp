#ifndef KINGCUPLINK_GATEWAY_CONTROL_API_HPP_INCLUDED
#define KINGCUPLINK_GATEWAY_CONTROL_API_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <kingcuplink/core/refusal.hpp>
#include <optional>
#include <string>
#include <vector>

namespace kingcuplink {

/*! Request of a caller or operator to the control thread. */
struct api_request {
    boost::beast::http::verb method{};
    /*! Parts of the path after /v1. */
    std::vector<std::string> path;
    std::string key;
    std::string body;
    /*! Version in If-Match. */
    std::optional<std::uint64_t> if_match;
    /*! Teams in Kingcuplink-Lower. */
    std::vector<std::string> lower;
    std::string request_id;
    /*! Value of Idempotency-Key; empty for none. */
    std::string idempotency_key;
};

/*! Answer of the control thread. */
struct api_answer {
    /*! Set if the request was refused. */
    std::optional<problem> refused{};
    unsigned status{200};
    boost::json::value body{};
    /*! Version for ETag; zero for none. */
    std::uint64_t version{};
};

/*! What the gateway asks of the control thread. Implemented by the daemon. */
class control_api {
public:
    virtual ~control_api() = default;

    /*! Serves a request. Runs on the control thread. */
    virtual boost::asio::awaitable<api_answer> serve(api_request request) = 0;

    /*! Returns the context of the control thread. Thread safe. */
    [[nodiscard]] virtual boost::asio::io_context &context() noexcept = 0;
};

} // namespace kingcuplink

#endif
