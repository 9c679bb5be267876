#ifndef KINGCUPLINK_STANDIN_SITE_STORE_HPP_INCLUDED
#define KINGCUPLINK_STANDIN_SITE_STORE_HPP_INCLUDED

#include "http_service.hpp"

#include <deque>
#include <kingcuplink/site/ports.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink::standin {

/*! In-memory stand-in of the users' metadata store over HTTP; each topic has one partition. Not thread safe. */
class site_store {
public:
    /*! Listens on an address; throws if that fails. */
    site_store(boost::asio::io_context &context, std::string const &address);

    /*! Appends a record as operators and workers do; without a value it removes the key. */
    void put(std::string const &topic, std::string key, std::optional<std::string> value);

    /*! Drops the history of all topics and keeps the newest record of each key. */
    void compact();

    /*! Returns the injected faults. */
    [[nodiscard]] faults &fault() noexcept {
        return service_->fault;
    }

    /*! Closes all connections. */
    void close_connections() {
        service_->close_connections();
    }

private:
    /*! State of one producer. */
    struct producer_state {
        std::uint64_t epoch{};
        std::uint64_t sequence{};
        /*! Sequence numbers and offsets of recent appends, with which repeated appends are answered. */
        std::deque<std::pair<std::uint64_t, std::uint64_t>> recent_appends;
    };

    struct topic_state {
        /*! Offset of the first retained record. */
        std::uint64_t first{};
        std::deque<keyed_record> records;
        std::map<std::string, keyed_record> newest;
        std::map<std::string, producer_state> producers;

        [[nodiscard]] std::uint64_t end() const noexcept {
            return first + records.size();
        }
    };

    using query = std::map<std::string, std::string>;

    boost::asio::awaitable<response> handle(request message);
    [[nodiscard]] response append(query const &terms, std::string const &body);
    boost::asio::awaitable<response> read(query terms);
    [[nodiscard]] response newest(query const &terms);
    [[nodiscard]] std::optional<response> check_producer(
        topic_state &topic, query const &terms, producer_state *&producer) const;
    static void add(topic_state &topic, keyed_record record);

    std::map<std::string, topic_state> topics_;
    std::shared_ptr<http_service> service_;
};

} // namespace kingcuplink::standin

#endif
