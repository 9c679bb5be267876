#ifndef KINGCUPLINK_TEST_DAEMON_SCRIPTED_WORKER_HPP_INCLUDED
#define KINGCUPLINK_TEST_DAEMON_SCRIPTED_WORKER_HPP_INCLUDED

#include "http_service.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! Task that a scripted worker reports. */
struct scripted_task {
    std::string job;
    std::int64_t ordinal{};
    std::int64_t attempt{};
    std::string state{"running"};
    /*! Version of the inventory in which it last changed. */
    std::int64_t version{};
};

/*!
 * Worker whose answers a test sets. It grants every lease and keeps what it is told
 * to start; nothing ends or stops by itself.
 */
class scripted_worker {
public:
    scripted_worker(boost::asio::io_context &context, std::string const &address);
    ~scripted_worker();

    scripted_worker(scripted_worker const &) = delete;
    scripted_worker &operator=(scripted_worker const &) = delete;

    /*! Adds a task to the inventory, or changes it. */
    void set_task(std::string const &job, std::int64_t ordinal, std::int64_t attempt, std::string const &state);

    /*! Status of the answers to starts; 0 for none in time. */
    unsigned start_status{200};
    /*! True to keep what is started in the inventory. */
    bool executes_starts{true};
    /*! Epoch that is told with refused leases; 0 to grant. */
    std::int64_t refused_lease_epoch{};
    /*! True to give no answer to requests for a lease. */
    bool ignores_lease_requests{};
    std::int64_t starts{};
    std::int64_t stops{};
    std::int64_t leases{};
    std::vector<scripted_task> tasks;

private:
    boost::asio::awaitable<standin::response> handle(standin::request message);
    boost::asio::awaitable<standin::response> lease(boost::json::object body);
    boost::asio::awaitable<standin::response> start_task(boost::json::object body);

    std::int64_t version_{1};
    std::shared_ptr<standin::http_service> service_;
};

} // namespace kingcuplink::test

#endif
