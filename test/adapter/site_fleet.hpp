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

/*! What a caller was told of a job. */
enum class submit_outcome : std::uint8_t {
    accepted,
    /*! It will never run. */
    refused,
    unknown
};

/*! Size of a site, and how its parts reach each other. */
struct site_options {
    std::size_t entry_vms{3u};
    std::size_t workers{4u};
    /*! Whether starts need a ticket of the adviser. */
    bool uses_adviser{true};
    /*!
     * Returns the address that others use instead of a part's own: a proxy's.
     * @param user Entry VM that uses it; empty for all.
     * @param part "store" or a worker.
     */
    std::function<std::string(std::string const &user, std::string const &part, std::string const &address)> route{};
};

/*! Real processes on this machine: the users' platform as a stand-in, and entry VMs. Not thread safe but for callers'
 * methods. */
class site_fleet {
public:
    /*! Starts all processes and waits until every entry VM is ready. */
    explicit site_fleet(site_options options = {});

    /*! Starts an entry VM. */
    void start(std::string const &vm);

    /*! Returns the processes: entry VMs and "platform". */
    [[nodiscard]] process_set &processes() noexcept {
        return processes_;
    }

    /*! Hands a job in. Thread safe. */
    [[nodiscard]] submit_outcome submit(std::string const &vm, std::string const &queue, std::string const &id,
        std::vector<test_step> const &steps, millis patience = millis{3'000}) const;

    /*! Cancels a job; true if that was acknowledged. Thread safe. */
    [[nodiscard]] bool cancel(std::string const &vm, std::string const &queue, std::string const &id) const;

    /*! Returns the state of a job as an entry VM tells it, "gone", or an empty text. Thread safe. */
    [[nodiscard]] std::string state(std::string const &vm, std::string const &queue, std::string const &id) const;

    /*! Tells whether an entry VM says that it is ready. Thread safe. */
    [[nodiscard]] bool is_ready(std::string const &vm) const;

    /*! Returns the metrics of an entry VM. Thread safe. */
    [[nodiscard]] std::string metrics(std::string const &vm) const;

    /*! Returns where an entry VM serves its metrics. */
    [[nodiscard]] std::string const &metrics_address(std::string const &vm) const {
        return entries_.at(vm).metrics;
    }

    /*! Returns the entry VM that leads, or an empty text. */
    [[nodiscard]] std::string leader() const;

    /*! Changes something at the platform: faults, workers, rules. Thread safe. */
    void change_platform(boost::json::object change) const;

    /*! Returns what really ran. Thread safe. */
    [[nodiscard]] boost::json::value record() const;

    /*! Returns the breaches of what must always hold, one a line. */
    [[nodiscard]] std::string breaches() const;

    /*! Returns the entry VMs. */
    [[nodiscard]] std::vector<std::string> const &entry_vms() const noexcept {
        return names_;
    }

    /*! Returns the workers. */
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
