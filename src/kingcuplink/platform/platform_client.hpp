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

/*! One record of a stream of the log. */
struct log_record {
    std::uint64_t offset{};
    boost::json::value body;
};

/*! Part of a stream of the log. */
struct log_page {
    /*! Offset of the oldest record that is still kept. */
    std::uint64_t first{};
    /*! Offset of the next append. */
    std::uint64_t next{};
    std::vector<log_record> records;
};

/*! What became of an append. */
struct append_result {
    attempt_outcome outcome{attempt_outcome::not_sent};
    /*! Offset of the record, if the log answered. */
    std::uint64_t offset{};

    /*! Tells whether the record is surely in the log. */
    [[nodiscard]] bool is_done() const noexcept {
        return outcome == attempt_outcome::answered;
    }
};

/*! What the platform knows of VMs; it lags. */
struct vm_list {
    std::set<std::string> live;
    std::set<std::string> leaving;
};

/*!
 * Client of the platform's log and list of VMs. An append without an answer may
 * have taken effect: read the stream to find out. To be used by the thread of the
 * http_client's io_context alone.
 */
class platform_client {
public:
    /*!
     * Constructs a client.
     * @param client Must outlive this object.
     * @param address IP number and port of the platform's service.
     */
    platform_client(http_client &client, std::string address);

    /*! Appends a record. */
    boost::asio::awaitable<append_result> append(std::string stream, boost::json::value record);

    /*! Reads records from an offset on; nothing if no answer came. */
    boost::asio::awaitable<std::optional<log_page>> read(std::string stream, std::uint64_t from);

    /*! Reads the list of VMs; nothing if no answer came. */
    boost::asio::awaitable<std::optional<vm_list>> vms();

    /*! Makes every call fail at once while set; a fault for tests. */
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
