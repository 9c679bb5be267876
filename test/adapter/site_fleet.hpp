#ifndef KINGCUPLINK_TEST_ADAPTER_SITE_FLEET_HPP_INCLUDED
#define KINGCUPLINK_TEST_ADAPTER_SITE_FLEET_HPP_INCLUDED

#include "process_set.hpp"

#include <boost/json/value.hpp>
#include <functional>
#include <kingcuplink/cli/server_connection.hpp>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! One step of a test job. */
struct test_step {
    std::uint32_t count{1u};
    std::int64_t millicores{1'000};
    std::int64_t run_ms{300};
    bool gang{};
    std::vector<std::uint32_t> after{};
};

/*! Outcome of a submission, as the caller sees it. */
enum class submit_outcome : std::uint8_t {
    accepted,
    /*! The job will never run. */
    refused,
    unknown
};

/*! Size of a site, and the addresses at which its parts reach each other. */
struct site_options {
    std::size_t entry_vms{3u};
    std::size_t workers{4u};
    /*! Whether starts need a ticket from the adviser. */
    bool uses_adviser{true};
    /*!
     * Returns the address of a proxy that is used instead of a part's own address.
     * @param user Entry VM that uses the address; empty for all.
     * @param part "store" or the name of a worker.
     */
    std::function<std::string(std::string const &user, std::string const &part, std::string const &address)> route{};
};

/*!
 * Entry VMs and a stand-in of the users' platform, as processes on this machine. Only methods that say so are thread
 * safe.
 */
class site_fleet {
public:
    /*! Starts all processes and waits until every entry VM is ready. Throws if the site does not become ready. */
    explicit site_fleet(site_options options = {});

    /*! Starts an entry VM. */
    void start(std::string const &vm);

    /*! Returns the processes: the entry VMs and "platform". */
    [[nodiscard]] process_set &processes() noexcept {
        return processes_;
    }

    /*! Submits a job. Thread safe. */
    [[nodiscard]] submit_outcome submit(std::string const &vm, std::string const &queue, std::string const &id,
        std::vector<test_step> const &steps, millis time_limit = millis{3'000}) const;

    /*! Cancels a job; returns whether the cancellation was acknowledged. Thread safe. */
    [[nodiscard]] bool cancel(std::string const &vm, std::string const &queue, std::string const &id) const;

    /*! Returns the state of a job as an entry VM reports it, "gone", or an empty string. Thread safe. */
    [[nodiscard]] std::string state(std::string const &vm, std::string const &queue, std::string const &id) const;

    /*! Returns whether an entry VM reports that it is ready. Thread safe. */
    [[nodiscard]] bool is_ready(std::string const &vm) const;

    /*! Returns the metrics of an entry VM. Thread safe. */
    [[nodiscard]] std::string metrics(std::string const &vm) const;

    /*! Returns the address at which an entry VM serves its metrics. */
    [[nodiscard]] std::string const &metrics_address(std::string const &vm) const {
        return entries_.at(vm).metrics;
    }

    /*! Returns the entry VM that leads, or an empty string. */
    [[nodiscard]] std::string leader() const;

    /*! Changes faults, workers or rules of the platform. Thread safe. */
    void change_platform(boost::json::object change) const;

    /*! Returns the record of the runs that the workers executed. Thread safe. */
    [[nodiscard]] boost::json::value record() const;

    /*! Returns the breaches of invariants, one per line. */
    [[nodiscard]] std::string breaches() const;

    /*! Returns the names of the entry VMs. */
    [[nodiscard]] std::vector<std::string> const &entry_vms() const noexcept {
        return names_;
    }

    /*! Returns the names of the workers. */
    [[nodiscard]] std::vector<std::string> const &workers() const noexcept {
        return workers_;
    }

private:
    struct entry {
        std::string callers;
        std::string readiness;
        std::string peer;
        std::string metrics;
        std::string store;
    };

    site_options options_;
    process_set processes_;
    std::string store_;
    std::string adviser_;
    std::string admin_;
    std::vector<std::string> names_;
    std::vector<std::string> workers_;
    std::map<std::string, entry> entries_;
};

} // namespace kingcuplink::test

#endif
