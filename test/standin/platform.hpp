#ifndef KINGCUPLINK_STANDIN_PLATFORM_HPP_INCLUDED
#define KINGCUPLINK_STANDIN_PLATFORM_HPP_INCLUDED

#include "http_service.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kingcuplink::standin {

/*! Settings of the stand-in for the platform. */
struct platform_options {
    /*! Records that a stream keeps. */
    std::uint64_t retention{1'000'000};
    /*! Lag of the list of VMs in milliseconds. */
    std::int64_t vm_lag_ms{};
};

/*! Stand-in for the platform's log and list of VMs; README.md gives its routes. */
class platform {
public:
    explicit platform(platform_options options);

    /*! Serves on an address, and the same without faults one port up. */
    void start(boost::asio::io_context &context, std::string const &address);

    /*! Closes everything. The context must not run any more. */
    void stop();

    /*! Sets faults, retention or the list of VMs. */
    response administer(boost::json::object const &body);

    /*! Returns the number of records that a stream ever got. */
    [[nodiscard]] std::uint64_t appended(std::string const &name) const;

private:
    /*! One stream of the log. */
    struct stream {
        std::uint64_t first{1};
        std::deque<boost::json::value> records;
    };

    boost::asio::awaitable<response> handle(request message);
    [[nodiscard]] boost::json::value vms_seen() const;
    response append(std::string const &name, boost::json::value record);
    response read(std::string const &target);

    platform_options options_;
    std::shared_ptr<http_service> service_;
    std::shared_ptr<http_service> admin_;
    std::map<std::string, stream> streams_;
    std::vector<std::pair<std::int64_t, boost::json::value>> vm_history_;
    std::uint64_t appends_{};
};

} // namespace kingcuplink::standin

#endif
