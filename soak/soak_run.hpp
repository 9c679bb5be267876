#ifndef KINGCUPLINK_SOAK_SOAK_RUN_HPP_INCLUDED
#define KINGCUPLINK_SOAK_SOAK_RUN_HPP_INCLUDED

#include "caller_load.hpp"
#include "fault_proxy.hpp"
#include "site_fleet.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace kingcuplink::soak {

/*! Kinds of faults beside those that every seed draws; without them, a seed draws what it always drew. */
struct soak_options {
    /*! Another writer puts odd entries under the names of workers. */
    bool odd_entries{};
    /*! Calls are held and then carried out, also by later boots; answers are lost; leaders freeze. */
    bool late_orders{};
    /*! Boots under one id do not refuse what was sent to an earlier one. */
    bool shared_ids{};
    /*! Whether starts need tickets; by default they do, except with late orders. */
    std::optional<bool> tickets{};
    /*! Tickets are valid in the boot that they were issued in. */
    bool boot_tickets{};
    /*! Calls that are held are lost when their worker restarts. */
    bool drop_late_calls{};
    /*! Range of the times for which late orders hold a call. */
    std::int64_t shortest_hold_ms{2'000};
    std::int64_t longest_hold_ms{12'000};
    /*! Longest time for which a worker that restarts is down, with late orders. */
    std::uint32_t longest_down_ms{1'500};
};

/*! What one seed showed. */
struct soak_result {
    std::vector<std::string> breaches;
    std::size_t jobs{};
    std::size_t accepted{};
    std::size_t starts{};
    std::size_t faults{};
    /*! Where the processes' output is. */
    std::string folder;
};

/*!
 * Real processes under faults that a seed draws, in series and overlapping, while
 * callers check what they are told. It ends only processes that it started.
 */
class soak_run {
public:
    /*! Starts a site. */
    soak_run(std::uint64_t seed, soak_options options);

    ~soak_run();

    soak_run(soak_run const &) = delete;
    soak_run &operator=(soak_run const &) = delete;

    /*! Plays faults for a time, heals everything, and checks what became of all jobs. */
    [[nodiscard]] soak_result play(std::chrono::seconds time);

private:
    using clock = std::chrono::steady_clock;

    /*! A fault that goes on, and how it is healed. */
    struct open_fault {
        clock::time_point until;
        std::string what;
        std::function<void()> heal;
    };

    /*! Begins a fault on something that has none; returns how it is healed, or nothing. */
    using fault_maker = std::optional<open_fault> (soak_run::*)();

    [[nodiscard]] std::optional<open_fault> end_vm();
    [[nodiscard]] std::optional<open_fault> freeze_vm();
    [[nodiscard]] std::optional<open_fault> reload_vm();
    [[nodiscard]] std::optional<open_fault> harm_store();
    [[nodiscard]] std::optional<open_fault> harm_link();
    [[nodiscard]] std::optional<open_fault> harm_worker();
    [[nodiscard]] std::optional<open_fault> change_rules();
    [[nodiscard]] std::optional<open_fault> write_odd_entry();
    [[nodiscard]] std::optional<open_fault> hold_calls();
    [[nodiscard]] std::optional<open_fault> restart_worker();
    [[nodiscard]] std::optional<open_fault> lose_answers();
    [[nodiscard]] std::optional<open_fault> freeze_leader();

    [[nodiscard]] std::optional<open_fault> freeze(std::string const &vm);
    /*! Returns a restart of a worker under its id or another, at a time of day that may jump. */
    [[nodiscard]] boost::json::object any_restart(std::string const &worker);
    void begin_fault();
    void heal_due(clock::time_point now);
    void heal_all();
    void check_jobs(caller_load const &load);
    void check_processes();
    [[nodiscard]] std::size_t draw(std::size_t count);
    [[nodiscard]] std::string route(std::string const &user, std::string const &part, std::string const &address);
    void note(std::string const &text) const;

    std::mt19937_64 random_;
    std::uint64_t seed_;
    soak_options options_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{context_.get_executor()};
    /*! Names the proxies' addresses; no process is started in it. */
    test::process_set ports_;
    std::map<std::string, std::shared_ptr<fault_proxy>> proxies_;
    std::thread proxy_thread_;
    std::unique_ptr<test::site_fleet> site_;
    clock::time_point begun_at_{clock::now()};
    std::vector<open_fault> open_;
    /*! Parts that have a fault. */
    std::set<std::string> harmed_;
    soak_result result_;
};

} // namespace kingcuplink::soak

#endif
