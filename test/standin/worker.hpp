#ifndef KINGCUPLINK_STANDIN_WORKER_HPP_INCLUDED
#define KINGCUPLINK_STANDIN_WORKER_HPP_INCLUDED

#include "endpoint_record.hpp"
#include "http_service.hpp"

#include <kingcuplink/document/document.hpp>
#include <map>
#include <memory>
#include <string>

namespace kingcuplink::standin {

/*! Stand-in for one worker: epoch leases, tasks, inventory. docs/ENDPOINTS.md gives its protocol. */
class worker : public std::enable_shared_from_this<worker> {
public:
    worker(boost::asio::io_context &context, std::string domain, worker_entry const &entry, endpoint_record &record);

    /*! Begins to serve. */
    void start();

    /*! Loses all tasks and its lease, as a VM that restarts. */
    void restart();

    /*! Lets the lease lapse now. */
    void lapse() noexcept;

    std::shared_ptr<http_service> service;

private:
    struct task {
        std::string job;
        std::int64_t ordinal{};
        std::uint32_t attempt{};
        std::string team;
        std::string state;
        resources size;
        std::int64_t started_at{};
        std::uint64_t version{};
    };

    boost::asio::awaitable<response> handle(request message);
    boost::asio::awaitable<response> lease(boost::json::object body);
    boost::asio::awaitable<void> run(
        std::shared_ptr<worker> self, std::string key, std::uint32_t attempt, std::int64_t run_ms);
    boost::asio::awaitable<void> watch_lease(std::shared_ptr<worker> self);
    [[nodiscard]] response start_task(boost::json::object const &body);
    [[nodiscard]] response stop_task(boost::json::object const &body);
    [[nodiscard]] bool commands_from(boost::json::object const &body) const;
    [[nodiscard]] response fenced() const;
    void end_task(task &value, std::string const &how);
    void forget_old();

    boost::asio::io_context &context_;
    std::string domain_;
    worker_entry entry_;
    endpoint_record &record_;
    std::string holder_;
    std::int64_t epoch_{};
    std::int64_t lease_until_{};
    std::uint64_t version_{1};
    resources used_;
    std::map<std::string, task> tasks_;
};

} // namespace kingcuplink::standin

#endif
