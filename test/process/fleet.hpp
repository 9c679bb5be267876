#ifndef KINGCUPLINK_TEST_PROCESS_FLEET_HPP_INCLUDED
#define KINGCUPLINK_TEST_PROCESS_FLEET_HPP_INCLUDED

#include "process_set.hpp"

#include <boost/json/value.hpp>
#include <functional>
#include <kingcuplink/cli/server_connection.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <map>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! Size and terms of a test fleet. */
struct fleet_options {
    /*! Entry VMs of each failure domain; the domains are called a, b, c. */
    std::vector<std::size_t> entry_vms{2u, 2u};
    std::size_t workers{4};
    std::size_t runners{2};
    /*! Cores of the ceiling of team red; blue may use all. */
    std::int64_t red_cores{1'000};
    std::int64_t request_ceiling{400};
};

/*! Real processes on this machine: stand-ins and entry VMs. Ends just what it started. */
class fleet {
public:
    /*! Starts all processes and waits until every failure domain has a leader. */
    explicit fleet(fleet_options options = {});

    /*! Starts an entry VM. */
    void start(std::string const &entry_vm);

    /*! Sends a signal to a process: an entry VM, "platform" or "endpoints". */
    void signal(std::string const &name, int number);

    /*! Kills an entry VM and waits for its end. */
    void kill(std::string const &entry_vm);

    /*! Stops an entry VM gracefully; returns its exit code. */
    int stop(std::string const &entry_vm);

    /*! Sends a request to an entry VM. */
    [[nodiscard]] server_answer send(std::string const &entry_vm, boost::beast::http::verb method,
        std::string const &target, std::string body = {}, std::string const &key = {},
        std::map<std::string, std::string> const &headers = {}, millis timeout = millis{10'000}) const;

    /*! Submits a job for a team; returns its key, or an empty text. */
    [[nodiscard]] std::string submit(
        std::string const &entry_vm, std::string const &team, boost::json::object job) const;

    /*! Returns the state of a job as an entry VM tells it. */
    [[nodiscard]] std::string job_state(std::string const &entry_vm, std::string const &job) const;

    /*! Reads, changes and puts a section as the operator; returns the answer. */
    server_answer edit(std::string const &entry_vm, std::string const &section,
        std::function<void(boost::json::value &)> const &change, std::string const &lower = {}) const;

    /*! Sets the state of a failure domain. */
    server_answer set_domain(std::string const &entry_vm, std::string const &domain, std::string const &state) const;

    /*! Sets faults of the platform. */
    void platform_fault(boost::json::object fault) const;

    /*! Sets faults of endpoints. */
    void endpoint_fault(boost::json::object fault) const;

    /*! Cuts a failure domain off from all others and from the platform, or heals it. */
    void cut_off(std::string const &domain, bool cut) const;

    /*! Returns what the endpoints really did. */
    [[nodiscard]] boost::json::value record() const;

    /*! Returns the breaches of what must always hold, one a line. */
    [[nodiscard]] std::string breaches() const;

    /*! Returns the leader of a failure domain as its members tell it, or an empty text. */
    [[nodiscard]] std::string leader(std::string const &domain) const;

    /*! Returns the entry VMs of a failure domain. */
    [[nodiscard]] std::vector<std::string> members(std::string const &domain) const;

    /*! Returns all entry VMs. */
    [[nodiscard]] std::vector<std::string> entry_vms() const;

    /*! Returns the addresses and the name of the failure domain of an entry VM. */
    [[nodiscard]] std::string http_address(std::string const &entry_vm) const;

    /*! Returns the status of an entry VM. */
    [[nodiscard]] boost::json::value status(std::string const &entry_vm) const;

private:
    struct entry {
        std::string domain;
        std::string http;
        std::string peer;
    };

    [[nodiscard]] boost::json::value make_document();

    fleet_options options_;
    process_set processes_;
    std::string platform_;
    std::string platform_admin_;
    std::string endpoints_;
    std::map<std::string, entry> entries_;
};

/*! Returns a batch job of one core a task. */
[[nodiscard]] boost::json::object batch_job(std::string const &name, std::int64_t count, std::int64_t run_ms);

/*! Path of the requests to the queue that needs a key. */
inline std::string const queue_target{"/v1/queues/keyed/requests"};

/*! Returns the headers of a request to a queue. */
[[nodiscard]] std::map<std::string, std::string> headers_of(
    std::string const &id, bool repeatable, std::int64_t deadline_ms = 5'000);

/*! Returns the kind of the error in an answer, or an empty text. */
[[nodiscard]] std::string error_kind(server_answer const &answer);

} // namespace kingcuplink::test

#endif
