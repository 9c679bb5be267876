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

/*! The users' metadata store in memory: topics of one partition, over HTTP. One thread. */
class site_store {
public:
    /*! Listens on an address; throws if that fails. */
    site_store(boost::asio::io_context &context, std::string const &address);

    /*! Writes a record as an operator or a worker does; without a value the key is dropped. */
    void put(std::string const &topic, std::string key, std::optional<std::string> value);

    /*! Drops all records but the newest of each key. */
    void compact();

    /*! Returns the faults of the address. */
    [[nodiscard]] faults &fault() noexcept {
        return service_->fault;
    }

    /*! Closes all connections. */
    void close_connections() {
        service_->close_connections();
    }

private:
    /*! What is known of one producer. */
    struct producer_state {
        std::uint64_t epoch{};
        std::uint64_t sequence{};
        /*! Offsets of the latest appends, by sequence number: repetitions get them again. */
        std::deque<std::pair<std::uint64_t, std::uint64_t>> recent_appends;
    };

    struct topic_state {
        /*! Offset of the first record that is held. */
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
