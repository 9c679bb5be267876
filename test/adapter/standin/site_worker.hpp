#ifndef KINGCUPLINK_STANDIN_SITE_WORKER_HPP_INCLUDED
#define KINGCUPLINK_STANDIN_SITE_WORKER_HPP_INCLUDED

#include "http_service.hpp"
#include "site_record.hpp"
#include "site_store.hpp"

#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuplink::standin {

/*! Gang members that are present on any worker. Not thread safe. */
class gang_registry {
public:
    /*! Adds a member; returns whether the gang has started. */
    bool join(run_key const &member, std::uint32_t count);

    /*! Removes a member, which breaks its gang if the gang had started. */
    void leave(run_key const &member);

    /*! Returns when the gang of a member started; nothing while members are missing. */
    [[nodiscard]] std::optional<std::int64_t> gang_started_at(run_key const &member) const;

    /*! Returns whether the gang of a member lost a member after its start. */
    [[nodiscard]] bool is_broken(run_key const &member) const;

private:
    struct gang {
        std::set<std::uint32_t> present;
        std::optional<std::int64_t> gang_started_at;
        bool is_broken{};
    };

    [[nodiscard]] static run_key gang_of(run_key member);

    std::map<run_key, gang> gangs_;
};

/*! State that all stand-in workers share. */
struct site_shared {
    boost::asio::io_context &context;
    site_store &store;
    site_record &record;
    gang_registry &gangs;
    /*! Whether starts need tickets. */
    bool needs_tickets{};
};

/*! Stand-in of a worker over HTTP: it runs tasks on command while its lease holds. Not thread safe. */
class site_worker : public std::enable_shared_from_this<site_worker> {
public:
    /*!
     * Constructs a worker. Precondition: the shared state outlives it.
     * @param address Address at which it listens.
     * @param announced Address that it registers.
     */
    site_worker(site_shared shared, std::string name, std::string address, std::string announced, std::string domain);

    /*! Listens, registers the worker and starts its clock. */
    void start();

    /*! Manner in which a worker restarts. */
    struct restart_options {
        std::int64_t down_ms{};
        /*! Whether the boot gets a new id; the registration of the previous boot then stays for some time. */
        bool has_new_id{};
        /*! Offset of its wall clock from the true time. */
        std::int64_t clock_shift_ms{};
    };

    /*! Loses all runs and state, and returns at the same address after the down time. */
    void restart(restart_options next);

    /*! Registers the worker as draining or as ready. */
    void set_leaving(bool leaving);

    /*! Returns the injected faults. */
    [[nodiscard]] faults &fault() noexcept {
        return service_->fault;
    }

    /*! Closes all connections. */
    void close_connections() {
        service_->close_connections();
    }

    /*! Percentage of starts and stops that are executed and answered two seconds late. */
    std::int64_t late_command_percent{};

    /*! Which calls are delayed, and for how long. */
    struct hold_options {
        std::int64_t percent{};
        /*! Seed of the random choice of calls and delays. */
        std::uint32_t seed{1u};
        std::int64_t shortest_ms{2'000};
        std::int64_t longest_ms{12'000};
    };

    /*! Delays a percentage of all calls before they are executed; some of their callers lose their connection. */
    void hold_calls(hold_options options);

    /*! Whether a boot answers 421 to calls that arrived in an earlier boot under the same id. */
    bool rejects_stale_boots{true};

    /*! Whether calls that are delayed are lost when the worker restarts. */
    bool drops_late_calls{};

    /*! Whether a boot rejects tickets of an earlier boot; otherwise these stay valid for their time. */
    bool binds_tickets{};

    /*! True while runs make no progress. */
    bool is_stuck{};

    /*! True while the run lists contain rows with invalid numbers. */
    bool lists_malformed_rows{};

    /*! Registers the worker with some fields replaced, as another writer under its name would. */
    void register_with(boost::json::object const &fields);

    /*! Returns the address that it registers. */
    [[nodiscard]] std::string const &announced() const noexcept {
        return announced_;
    }

    /*! Registers the worker with its true fields. */
    void register_self();

    /*! Returns the start of the latest boot, in Unix milliseconds of its own clock. */
    [[nodiscard]] std::uint64_t born() const noexcept {
        return born_;
    }

private:
    struct run {
        run_key key;
        scripted_step step;
        std::int64_t started_at{};
        /*! Execution time up to the latest update. */
        std::int64_t executed_ms{};
        std::int64_t updated_at{};
    };

    struct ended_run {
        std::uint64_t number{};
        run_key key;
        run_outcome how{run_outcome::done};
        /*! Whether the lease expired after the end: by the rules it then no longer counts as acknowledged. */
        bool is_lease_expired{};
    };

    boost::asio::awaitable<response> handle(request message);
    boost::asio::awaitable<response> execute(std::string target, boost::json::value body, std::int64_t arrived_at);
    /*! Delays a call as configured; returns whether it was held. */
    boost::asio::awaitable<bool> delay(std::string target);
    boost::asio::awaitable<response> hold(boost::json::value body);
    [[nodiscard]] response start_run(boost::json::value const &body, run_key const &key, std::int64_t arrived_at);
    [[nodiscard]] response stop_run(run_key const &key);
    /*! Marks all listed ended runs as no longer acknowledgeable. Precondition: the lease has expired. */
    void mark_ended_runs_expired();
    [[nodiscard]] bool accept_token(boost::json::value const &body);
    [[nodiscard]] bool has_ticket(boost::json::value const &body, run_key const &key) const;
    [[nodiscard]] response rejected_answer(std::string_view reason) const;
    [[nodiscard]] response list_runs() const;
    void extend_lease(boost::json::value const &body);
    boost::asio::awaitable<void> run_clock(std::shared_ptr<site_worker> self);
    void advance(std::int64_t now);
    void end(std::list<run>::iterator item, run_outcome how);
    [[nodiscard]] std::int64_t worker_clock() const;

    site_shared shared_;
    std::string machine_;
    /*! Id of the current boot. */
    std::string name_;
    std::string address_;
    std::string announced_;
    std::string domain_;
    std::shared_ptr<http_service> service_;
    std::uint64_t born_{};
    /*! Number of restarts. */
    std::uint64_t boot_{};
    std::int64_t clock_start_{};
    std::int64_t lease_until_{};
    std::uint64_t token_{};
    std::uint64_t next_end_{1u};
    std::list<run> runs_;
    std::vector<ended_run> ended_;
    /*! Highest run number of each task that was stopped or ended here. */
    std::map<scripted_task, std::uint32_t> closed_;
    bool is_leaving_{};
    hold_options held_;
};

/*! Returns a ticket that allows a step to start on a worker, issued in the boot with a start time. */
[[nodiscard]] std::string make_ticket(std::string const &step, std::string const &worker, std::uint64_t born);

/*! Returns the machine of a worker: ids of all boots of a machine share the part before the hyphen. */
[[nodiscard]] std::string machine_of(std::string const &worker);

/*! Returns whether a step may run on a worker. The result is the same for every call. */
[[nodiscard]] bool is_allowed(std::string const &step, std::string const &worker);

} // namespace kingcuplink::standin

#endif
