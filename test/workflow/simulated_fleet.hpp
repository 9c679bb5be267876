#ifndef KINGCUPLINK_TEST_WORKFLOW_SIMULATED_FLEET_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_SIMULATED_FLEET_HPP_INCLUDED

#include "event_queue.hpp"
#include "fleet_simulation.hpp"
#include "simulated_adviser.hpp"
#include "simulated_leader.hpp"

#include <functional>
#include <kingcuplink/site/leader_watch.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace kingcuplink::test {

/*! Period in which jobs are submitted and faults are injected. */
inline constexpr millis fault_window{32'000};
inline constexpr std::uint32_t max_attempts = 3u;
/*! Network delay in one direction. */
inline constexpr millis min_network_delay{1};
inline constexpr millis max_network_delay{5};

/*! Snapshot of the log that an entry VM reads page by page, in the order of the keys. */
struct log_snapshot {
    std::map<std::string, log_record> records;
    /*! Key after which the next page begins. */
    std::string after;
    /*! Number of records in the log when the first page was read. */
    std::size_t offset{};
};

/*! State of an entry VM. */
struct simulated_node {
    std::string name;
    std::uint64_t incarnation{1u};
    bool is_up{true};
    instant paused_until{};
    /*! Length of a pause that begins with one of the next readings of the clock, and the number of readings until then.
     */
    millis midway_pause{};
    std::uint32_t readings_until_pause{};
    job_table table;
    /*! Times at which all runs on workers will have ended, as recorded in the log. */
    std::map<std::string, instant> lapses;
    /*! Number of records of the log that are applied. */
    std::size_t offset{};
    /*! Time at which the last successful read of the log was sent. */
    instant read_at{};
    /*! Set while the entry VM reads a snapshot of the log. */
    std::optional<log_snapshot> snapshot;
    leader_watch watch{"", 0u};
    /*! True while a claim of the leadership is pending. */
    bool is_claiming{};
    /*! Set while the entry VM leads. */
    std::shared_ptr<simulated_leader> leader_role;
};

/*! Partition between entry VMs and a worker. */
struct worker_partition {
    std::size_t worker{};
    /*! Affected entry VM; all if empty. */
    std::optional<std::size_t> node;
    bool blocks_requests{};
    bool blocks_answers{};
    instant until{};
    /*! True if requests are not lost but delivered when the partition ends. */
    bool holds_requests{};
};

/*! Kinds of failures of the log. From rejections on, reads of the log and of the registrations fail too. */
enum class log_failure_kind : std::uint8_t {
    lost_answers,
    late_appends,
    rejections,
    unreachable,
    one_way_partition,
    /*! Appends are executed when the failure ends. */
    held_appends
};

/*! Failure of the log as seen by one or all entry VMs. */
struct log_failure {
    log_failure_kind kind{};
    /*! Affected entry VM; all if empty. */
    std::optional<std::size_t> node;
    /*! Probability that a call is affected. */
    double probability{};
    instant until{};
};

/*! Period in which an entry VM reads an earlier state of the log. */
struct stale_read_period {
    /*! Affected entry VM; all if empty. */
    std::optional<std::size_t> node;
    millis lag{};
    instant until{};
};

class simulated_fleet;

/*! Environment of the leader on one entry VM. */
class node_host final : public leader_host {
public:
    node_host(simulated_fleet &fleet, std::size_t const node) : fleet_{fleet}, node_{node} {}

    [[nodiscard]] instant now() override;
    void after(millis delay, action callback) override;
    void post(action callback) override;
    void append(
        std::vector<log_record> records, append_writer writer, std::function<void(append_result)> done) override;
    void read_registrations(std::function<void(std::optional<std::vector<worker_registration>>)> done) override;
    void poll(call_target target, poll_request request, millis timeout,
        std::function<void(poll_answer const *)> done) override;
    void start(run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout,
        std::function<void(start_answer)> done) override;
    void stop(run_stop stop, std::uint64_t token, millis timeout, std::function<void(bool)> done) override;
    void ask_adviser(advice_query query, advice_callback done) override;
    void show_end(std::string const &job, job_phase phase) override;
    void send_heartbeat(std::uint64_t term, millis log_age, millis append_time) override;
    void trace(std::string const &job, std::string const &text) override;
    void report_unknown_run(unknown_run const &run) override;
    void report_repeated_start() override;
    void fenced() override;

private:
    /*! Sends a start from an entry VM, which need not be this one. */
    void start_from(std::size_t node, run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout,
        std::function<void(start_answer)> done);
    /*! Has another entry VM send a start, as start_relay does. */
    void relay_start(run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout,
        std::function<void(start_answer)> done);

    simulated_fleet &fleet_;
    std::size_t node_;
};

/*! State of one simulation. */
class simulated_fleet {
public:
    explicit simulated_fleet(simulation_setup const &setup);

    simulation_result run();

private:
    friend class node_host;

    using action = event_queue::action;
    /*! Returns the answer to the caller; it is empty if the worker crashed. */
    template<typename Answer>
    using reply = std::function<void(std::optional<Answer>)>;

    template<typename Answer>
    struct outcome {
        std::optional<Answer> answer;
        /*! True if the connection failed before the request was sent. */
        bool not_sent{};
        /*! True if another boot of the worker received the request, or another worker. */
        bool is_other_boot{};
        bool is_other_worker{};
    };

    [[nodiscard]] std::int64_t draw(std::int64_t lower, std::int64_t upper) {
        return std::uniform_int_distribution<std::int64_t>{lower, upper}(random_);
    }

    [[nodiscard]] millis draw(millis const lower, millis const upper) {
        return millis{draw(lower.count(), upper.count())};
    }

    [[nodiscard]] bool chance(double const probability) {
        return std::bernoulli_distribution{probability}(random_);
    }

    [[nodiscard]] millis delay() {
        return draw(min_network_delay, max_network_delay);
    }

    [[nodiscard]] bool has(fleet_fault const fault) const {
        return setup_.faults.contains(fault);
    }

    void trace(std::string const &job, std::string const &text);
    /*! Returns a time as in the timeline. */
    [[nodiscard]] static std::string format_time(instant const at) {
        return std::to_string((at - (instant{} + std::chrono::hours{1})).count());
    }
    /*! Runs a callback on an entry VM after a delay; deferred while it is paused, dropped if it has restarted. */
    void on_node(std::size_t node, millis delay, action callback);
    void deliver(std::size_t node, std::uint64_t incarnation, action const &callback);

    // Requests to workers.
    template<typename Answer>
    void call(std::size_t node, call_target const &target, millis timeout,
        std::function<void(simulated_worker &, reply<Answer>)> execute, std::function<void(outcome<Answer>)> done);
    template<typename Answer>
    void deliver_request(std::size_t node, std::size_t worker, call_target const &target, instant deadline,
        std::function<void(simulated_worker &, reply<Answer>)> const &execute,
        std::function<void(outcome<Answer>)> const &finish);
    /*! Returns a partition that blocks requests to a worker, or its answers, or null. */
    [[nodiscard]] worker_partition const *partition_at(std::size_t node, std::size_t worker, bool is_request) const;
    /*! Returns true if a worker executes the requests for a target. */
    [[nodiscard]] bool accepts(simulated_worker const &worker, call_target const &target) const;
    /*! Returns the index of the worker at an address. */
    [[nodiscard]] std::size_t index_of(std::string const &address) const;
    start_answer execute_start(
        simulated_worker &worker, run_start const &run, std::uint64_t token, std::int64_t expires_at);
    void schedule_worker_wakeup(std::size_t worker);
    void schedule_gang_completion(std::string const &job, std::uint32_t step);
    void end_incomplete_gangs(std::size_t worker);
    void finish_gang(std::string const &job, std::uint32_t step, std::uint32_t run);

    // The adviser.
    void ask_adviser(std::size_t node, advice_query const &query, leader_host::advice_callback done);
    /*! Returns true if a query that an entry VM sends now gets no answer. */
    [[nodiscard]] bool is_query_lost(std::size_t node);
    [[nodiscard]] std::vector<advice_grant> answer_query(advice_query const &query);
    /*! Returns true if a worker needs no ticket to start a run, or accepts the one that the start carries. */
    [[nodiscard]] bool has_ticket(simulated_worker const &worker, run_start const &run);

    // The log.
    void append(std::size_t node, std::vector<log_record> records, append_writer writer,
        std::function<void(simulated_log::answer)> done);
    simulated_log::answer execute_append(
        std::size_t node, std::vector<log_record> const &records, std::optional<append_writer> writer);
    [[nodiscard]] log_failure const *log_failure_at(std::size_t node) const;
    /*! Returns the number of records that a read of an entry VM returns at most. */
    [[nodiscard]] std::size_t readable_records(std::size_t node) const;
    void read_log(std::size_t node);
    void read_snapshot_page(std::size_t node);
    void apply(std::size_t node, log_record const &record);

    // Leaders.
    void watch_leader(std::size_t node);
    void claim(std::size_t node);
    void append_claim(std::size_t node, std::uint64_t term, std::uint64_t sequence, instant claimed_at);
    void begin_leadership(
        std::size_t node, std::uint64_t term, std::uint64_t sequence, instant claimed_at, std::size_t offset);
    void start_node(std::size_t node);

    // Jobs and faults.
    void submit(std::size_t number);
    void inject_fault(fleet_fault fault);
    void restart_worker();
    void delay_commands();
    void partition_worker(std::size_t worker);
    void pause_node();
    /*! Partitions a random worker from all entry VMs except one. */
    void partition_from_other_nodes(std::size_t node);
    void restart_node();
    void split_fleet();
    void inject_log_failure();
    void lose_registrations();
    void retire_worker();
    void stall_worker();
    void delay_reads();
    void compact_log();
    void resign_leader();
    void pause_node_midway();
    /*! May lose the further answers of a worker that is called by an event in which its entry VM was paused. */
    void lose_answers_after_pause(std::size_t node, std::size_t worker);
    void cancel_job();
    /*! Starts the next boot of a worker after a delay. */
    void boot_worker(std::size_t worker, millis delay);
    [[nodiscard]] std::size_t pick_worker() {
        return static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(workers_.size()) - 1));
    }
    /*! Returns the leader with the given probability, otherwise a random entry VM. */
    [[nodiscard]] std::size_t pick_node(double leader_probability);
    void schedule_registration(std::size_t worker);

    void report(simulation_result &result) const;

    simulation_setup setup_;
    std::mt19937_64 random_;
    event_queue queue_;
    invariant_checker checker_;
    simulated_log log_;
    /*! Times at which the records of the log were committed. */
    std::vector<instant> commit_times_;
    std::vector<stale_read_period> stale_reads_;
    std::shared_ptr<site_rules> rules_{std::make_shared<site_rules>()};
    /*! Set if starts need tickets. */
    std::optional<simulated_adviser> adviser_;
    std::vector<simulated_worker> workers_;
    std::vector<instant> next_wakeups_;
    std::vector<simulated_node> nodes_;
    std::vector<std::unique_ptr<node_host>> hosts_;
    /*! Registrations that the platform returns. */
    std::map<std::string, worker_registration> registry_;
    std::map<std::string, job_definition> jobs_;
    /*! Completion times of fully assembled gangs by job, step and run. */
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, instant> running_gangs_;
    std::map<std::string, job_phase> ended_;
    std::vector<worker_partition> partitions_;
    std::vector<log_failure> log_failures_;
    instant commands_delayed_until_{};
    double command_delay_probability_{};
    std::size_t starts_{};
    std::size_t terms_{};
    std::size_t faults_{};
    struct timeline_entry {
        instant at;
        std::string job;
        std::string text;
    };
    std::vector<timeline_entry> timeline_;
};

} // namespace kingcuplink::test

#endif
