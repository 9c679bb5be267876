#ifndef KINGCUPLINK_PLATFORM_WORKER_CLIENT_HPP_INCLUDED
#define KINGCUPLINK_PLATFORM_WORKER_CLIENT_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/document/job_spec.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <string>
#include <vector>

namespace kingcuplink {

/*! Holder of a worker's lease. */
struct lease_holder {
    std::string name;
    std::uint64_t epoch{};
};

/*! Task in a worker's report. */
struct worker_task {
    std::string job;
    std::int64_t ordinal{};
    std::uint32_t attempt{};
    std::string team;
    /*! One of running, succeeded, failed and stopped. */
    std::string state;
    resources size;
    resources used;
    millis running_for{};
};

/*! Outcome of a lease request. */
enum class lease_outcome : std::uint8_t {
    granted,
    /*! Another holder has the same or a higher epoch. */
    refused,
    /*! No valid answer: the lease may have been granted. */
    unknown
};

/*! Answer to a lease request. */
struct lease_reply {
    lease_outcome outcome{lease_outcome::unknown};
    /*! Epoch of the current holder if the lease was refused. */
    std::uint64_t epoch{};
    /*! Version of the inventory, to be passed to the next request. */
    std::uint64_t version{};
    /*! Tasks that changed since the requested version. */
    std::vector<worker_task> tasks{};
};

/*! Outcome of a command. */
enum class command_outcome : std::uint8_t {
    done,
    /*! Known to have had no effect: another holder has a higher epoch, or the lease has expired. */
    fenced,
    /*! Known to have had no effect: the worker cannot execute it. */
    rejected,
    /*! Known to have had no effect: it was not sent. */
    not_sent,
    /*! No valid answer: it may have taken effect. */
    unknown
};

/*! Answer to a command. */
struct command_reply {
    command_outcome outcome{command_outcome::unknown};
    std::uint64_t epoch{};
};

/*! Command to start a task. */
struct task_start {
    std::string job;
    std::int64_t ordinal{};
    std::uint32_t attempt{};
    job_spec spec;
    resources size;
    millis progress{};
};

/*!
 * Client of the platform's workers; docs/ENDPOINTS.md describes the protocol. Not
 * thread safe: use it only on the thread of the http_client's io_context.
 */
class worker_client {
public:
    /*! Constructs a client. The http_client must outlive it. */
    explicit worker_client(http_client &client);

    /*!
     * Acquires or renews a lease and reads the changes of the inventory.
     * @param since Last known version of the inventory; zero for the complete inventory.
     * @param wait Maximum time that the worker waits for a change before it answers.
     */
    boost::asio::awaitable<lease_reply> lease(
        std::string address, lease_holder holder, std::uint64_t since, millis wait);

    /*! Starts a task. Idempotent for the same attempt. */
    boost::asio::awaitable<command_reply> start(
        std::string address, lease_holder const &holder, task_start const &task);

    /*! Stops a task, optionally after a checkpoint. */
    boost::asio::awaitable<command_reply> stop(
        std::string address, lease_holder const &holder, std::string const &job, std::int64_t ordinal, bool checkpoint);

    /*! Limits a task to its declared size. */
    boost::asio::awaitable<command_reply> throttle(
        std::string address, lease_holder const &holder, std::string const &job, std::int64_t ordinal);

private:
    boost::asio::awaitable<command_reply> command(std::string address, std::string target, boost::json::object body);

    http_client &client_;
};

} // namespace kingcuplink

#endif
