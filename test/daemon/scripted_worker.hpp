#ifndef KINGCUPLINK_TEST_DAEMON_SCRIPTED_WORKER_HPP_INCLUDED
#define KINGCUPLINK_TEST_DAEMON_SCRIPTED_WORKER_HPP_INCLUDED

#include "http_service.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! Task in the inventory of a scripted worker. */
struct scripted_task {
    std::string job;
    std::int64_t ordinal{};
    std::int64_t attempt{};
    std::string state{"running"};
    /*! Inventory version of its last change. */
    std::int64_t version{};
};

/*!
 * Worker with scripted answers. By default it grants every lease and adds each started
 * task to its inventory; tasks change only through set_task().
 */
class scripted_worker {
public:
    scripted_worker(boost::asio::io_context &context, std::string const &address);
    ~scripted_worker();

    scripted_worker(scripted_worker const &) = delete;
    scripted_worker &operator=(scripted_worker const &) = delete;

    /*! Adds a task to the inventory or updates it. */
    void set_task(std::string const &job, std::int64_t ordinal, std::int64_t attempt, std::string const &state);

    /*! HTTP status of answers to start commands; 0 to answer only after the command timeout. */
    unsigned start_status{200};
    /*! True to add started tasks to the inventory. */
    bool executes_starts{true};
    /*! Epoch returned with refused leases; 0 to grant leases. */
    std::int64_t refused_lease_epoch{};
    /*! True to leave lease requests unanswered. */
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
