#ifndef KINGCUPLINK_PLATFORM_PLATFORM_CLIENT_HPP_INCLUDED
#define KINGCUPLINK_PLATFORM_PLATFORM_CLIENT_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <kingcuplink/platform/http_client.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuplink {

/*! Record of a log stream. */
struct log_record {
    std::uint64_t offset{};
    boost::json::value body;
};

/*! Page of a log stream. */
struct log_page {
    /*! Offset of the oldest retained record. */
    std::uint64_t first{};
    /*! Offset of the next append. */
    std::uint64_t next{};
    std::vector<log_record> records;
};

/*! Result of an append. */
struct append_result {
    attempt_outcome outcome{attempt_outcome::not_sent};
    /*! Offset of the record, if the log answered. */
    std::uint64_t offset{};

    /*! Returns true if the record is known to be in the log. */
    [[nodiscard]] bool is_done() const noexcept {
        return outcome == attempt_outcome::answered;
    }
};

/*! State of the VMs according to the platform; it may be outdated. */
struct vm_list {
    std::set<std::string> live;
    std::set<std::string> leaving;
};

/*!
 * Client of the platform's log and list of VMs. An append without an answer may
 * have taken effect: read the stream to find out. Not thread safe: use it only on
 * the thread of the http_client's io_context.
 */
class platform_client {
public:
    /*!
     * Constructs a client.
     * @param client HTTP client; it must outlive this object.
     * @param address IP address and port of the platform's service.
     */
    platform_client(http_client &client, std::string address);

    /*! Appends a record to a stream. */
    boost::asio::awaitable<append_result> append(std::string stream, boost::json::value record);

    /*! Reads a page of records from an offset; returns nothing if there is no valid answer. */
    boost::asio::awaitable<std::optional<log_page>> read(std::string stream, std::uint64_t from);

    /*! Reads the list of VMs; returns nothing if there is no valid answer. */
    boost::asio::awaitable<std::optional<vm_list>> vms();

    /*! Makes every call fail immediately while set. Fault injection for tests. */
    void set_refused(bool refused) noexcept {
        refused_ = refused;
    }

private:
    http_client &client_;
    std::string address_;
    bool refused_{};
};

} // namespace kingcuplink

#endif
