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

/*! Members of gangs that are present on any worker. One thread. */
class gang_registry {
public:
    /*! Notes that a member came; returns true if all are present now. */
    bool join(run_key const &member, std::uint32_t count);

    /*! Notes that a member is gone; its gang is broken if it had begun to work. */
    void leave(run_key const &member);

    /*! Returns when the gang of a member began to work; nothing while members are missing. */
    [[nodiscard]] std::optional<std::int64_t> gang_started_at(run_key const &member) const;

    /*! Tells whether the gang of a member lost one after it had begun. */
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

/*! What all stand-ins of workers share. */
struct site_shared {
    boost::asio::io_context &context;
    site_store &store;
    site_record &record;
    gang_registry &gangs;
    /*! Whether starts need tickets. */
    bool needs_tickets{};
};

/*! A worker of the users' platform over HTTP: it starts whatever it is told to, on leases. One thread. */
class site_worker : public std::enable_shared_from_this<site_worker> {
public:
    /*!
     * Constructs a worker; what it shares must outlive it.
     * @param address Where it listens.
     * @param announced Address that it registers.
     */
    site_worker(site_shared shared, std::string name, std::string address, std::string announced, std::string domain);

    /*! Registers and begins to work. */
    void start();

    /*! How a worker starts again. */
    struct restart_options {
        std::int64_t down_ms{};
        /*! Whether it gets an id of its own; the entry of the boot before stays for some time. */
        bool has_new_id{};
        /*! Difference of its time of day to the true one. */
        std::int64_t clock_shift_ms{};
    };

    /*! Loses everything that it held; it is back at its address after a time. */
    void restart(restart_options next);

    /*! Registers as one that takes no new work, or takes it again. */
    void set_leaving(bool leaving);

    /*! Returns the faults of the address. */
    [[nodiscard]] faults &fault() noexcept {
        return service_->fault;
    }

    /*! Closes all connections. */
    void close_connections() {
        service_->close_connections();
    }

    /*! Part of the orders, in percent, that get no answer and are carried out two seconds later. */
    std::int64_t late_command_percent{};

    /*!
     * Holds a part of all calls for 2 to 12 s before they are carried out; callers get no answer in time, or their
     * connection breaks.
     * @param seed Draws the calls and times.
     */
    void hold_calls(std::int64_t percent, std::uint32_t seed);

    /*! True if a boot answers 421 to calls that were sent to an earlier boot under the same id. */
    bool rejects_stale_boots{true};

    /*! True while no run gets any further. */
    bool is_stuck{};

    /*! True while its lists hold rows with numbers that no worker means. */
    bool lists_malformed_rows{};

    /*! Registers as another writer would under its name: with other fields than its own. */
    void register_with(boost::json::object const &fields);

    /*! Returns the address under which it registers. */
    [[nodiscard]] std::string const &announced() const noexcept {
        return announced_;
    }

    /*! Registers as it is. */
    void register_self();

private:
    struct run {
        run_key key;
        scripted_step step;
        std::int64_t started_at{};
        /*! Time that was worked, at the latest look at it. */
        std::int64_t executed_ms{};
        std::int64_t updated_at{};
    };

    struct ended_run {
        std::uint64_t number{};
        run_key key;
        run_end how{run_end::done};
        /*! Whether the lease has lapsed since: by the rules it can no longer be taken note of. */
        bool is_lease_expired{};
    };

    boost::asio::awaitable<response> handle(request message);
    boost::asio::awaitable<response> execute(std::string target, boost::json::value body, std::int64_t arrived_at);
    /*! Delays a call as faults tell; returns whether it was held. */
    boost::asio::awaitable<bool> delay(std::string target);
    boost::asio::awaitable<response> hold(boost::json::value body);
    [[nodiscard]] response start_run(boost::json::value const &body, run_key const &key, std::int64_t arrived_at);
    [[nodiscard]] response stop_run(run_key const &key);
    /*! Marks the ends that are listed as no longer to be taken note of. Precondition: the lease has lapsed. */
    void mark_ended_runs_expired();
    [[nodiscard]] bool accept_token(boost::json::value const &body);
    [[nodiscard]] bool has_ticket(boost::json::value const &body, run_key const &key) const;
    [[nodiscard]] response rejected_answer(std::string_view reason) const;
    [[nodiscard]] response list_runs() const;
    void extend_lease(boost::json::value const &body);
    boost::asio::awaitable<void> run_clock(std::shared_ptr<site_worker> self);
    void advance(std::int64_t now);
    void end(std::list<run>::iterator item, run_end how);
    [[nodiscard]] std::int64_t worker_clock() const;

    site_shared shared_;
    std::string machine_;
    /*! Id of the present boot. */
    std::string name_;
    std::string address_;
    std::string announced_;
    std::string domain_;
    std::shared_ptr<http_service> service_;
    std::uint64_t born_{};
    /*! Counts the boots. */
    std::uint64_t boot_{};
    std::int64_t clock_start_{};
    std::int64_t lease_until_{};
    std::uint64_t token_{};
    std::uint64_t next_end_{1u};
    std::list<run> runs_;
    std::vector<ended_run> ended_;
    /*! Highest run of each task that was stopped or has ended here. */
    std::map<scripted_task, std::uint32_t> closed_;
    bool is_leaving_{};
    std::int64_t held_percent_{};
};

/*! Returns a ticket with which a step may start on a worker. */
[[nodiscard]] std::string make_ticket(std::string const &step, std::string const &worker);

/*! Tells whether a step may run on a worker; it never changes. */
[[nodiscard]] bool is_allowed(std::string const &step, std::string const &worker);

} // namespace kingcuplink::standin

#endif
