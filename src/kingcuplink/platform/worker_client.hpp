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

/*! Who commands a worker. */
struct lease_holder {
    std::string name;
    std::uint64_t epoch{};
};

/*! One task as a worker reports it. */
struct worker_task {
    std::string job;
    std::int64_t ordinal{};
    std::uint32_t attempt{};
    std::string team;
    /*! running, succeeded, failed or stopped. */
    std::string state;
    resources size;
    resources used;
    millis running_for{};
};

/*! What became of a request for a lease. */
enum class lease_outcome : std::uint8_t {
    granted,
    /*! Another holder has an epoch at least as high. */
    refused,
    /*! No answer: the lease may have been granted. */
    unknown
};

/*! Answer to a request for a lease. */
struct lease_reply {
    lease_outcome outcome{lease_outcome::unknown};
    /*! Epoch that the worker obeys, if it refused. */
    std::uint64_t epoch{};
    /*! Version of the inventory; pass it with the next request. */
    std::uint64_t version{};
    /*! Tasks that changed since the version that was asked for. */
    std::vector<worker_task> tasks{};
};

/*! What became of a command. */
enum class command_outcome : std::uint8_t {
    done,
    /*! Surely without effect: another holder has a higher epoch, or the lease has lapsed. */
    fenced,
    /*! Surely without effect: the worker cannot do it. */
    rejected,
    /*! Surely without effect: nothing was sent. */
    not_sent,
    /*! No answer: it may have taken effect. */
    unknown
};

/*! Answer to a command. */
struct command_reply {
    command_outcome outcome{command_outcome::unknown};
    std::uint64_t epoch{};
};

/*! What a worker is told to run. */
struct task_start {
    std::string job;
    std::int64_t ordinal{};
    std::uint32_t attempt{};
    job_spec spec;
    resources size;
    millis progress{};
};

/*!
 * Client of the platform's workers; docs/ENDPOINTS.md gives the protocol. To be
 * used by the thread of the http_client's io_context alone.
 */
class worker_client {
public:
    /*! Constructs a client; the http_client must outlive it. */
    explicit worker_client(http_client &client);

    /*!
     * Acquires or renews a lease and reads what changed.
     * @param since Version of the inventory that is known; zero for all of it.
     * @param wait Time that the worker may wait for a change before it answers.
     */
    boost::asio::awaitable<lease_reply> lease(
        std::string address, lease_holder holder, std::uint64_t since, millis wait);

    /*! Starts a task. Starting the same attempt twice has the effect of one start. */
    boost::asio::awaitable<command_reply> start(
        std::string address, lease_holder const &holder, task_start const &task);

    /*! Stops a task, after a checkpoint if one is wanted. */
    boost::asio::awaitable<command_reply> stop(
        std::string address, lease_holder const &holder, std::string const &job, std::int64_t ordinal, bool checkpoint);

    /*! Keeps a task to its declared size. */
    boost::asio::awaitable<command_reply> throttle(
        std::string address, lease_holder const &holder, std::string const &job, std::int64_t ordinal);

private:
    boost::asio::awaitable<command_reply> command(std::string address, std::string target, boost::json::object body);

    http_client &client_;
};

} // namespace kingcuplink

#endif
