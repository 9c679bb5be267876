#ifndef KINGCUPLINK_TEST_SITE_SCRIPTED_SITE_HPP_INCLUDED
#define KINGCUPLINK_TEST_SITE_SCRIPTED_SITE_HPP_INCLUDED

#include "process_set.hpp"

#include <boost/asio/co_spawn.hpp>
#include <functional>
#include <kingcuplink/site/site_node.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace kingcuplink::test {

/*! Runs a coroutine to completion and returns its result. */
template<typename Type>
Type run_to_end(boost::asio::io_context &context, boost::asio::awaitable<Type> task) {
    std::optional<Type> result;
    boost::asio::co_spawn(context, std::move(task), [&result](std::exception_ptr const &error, Type value) {
        if(error) {
            std::rethrow_exception(error);
        }
        result = std::move(value);
    });
    context.restart();
    while(!result) {
        context.run_one();
    }
    return std::move(*result);
}

/*! Payload size of submitted jobs in bytes. */
inline constexpr std::size_t payload_bytes = 2'000u;

/*! In-memory log. */
class memory_log : public keyed_log {
public:
    explicit memory_log(boost::asio::io_context &context) : context_{context} {}

    boost::asio::awaitable<append_answer> append(log_stream stream, std::vector<keyed_record> records,
        std::optional<log_writer> writer, millis timeout) override;
    boost::asio::awaitable<read_answer> read(log_stream stream, std::uint64_t from, millis wait) override;
    boost::asio::awaitable<std::optional<std::uint64_t>> end(log_stream stream, std::uint64_t from) override;
    boost::asio::awaitable<newest_page> newest(log_stream stream, std::string after) override;

    /*! Appends a record to a stream. */
    void add(keyed_record record, log_stream stream = log_stream::jobs);

    /*! Removes the records before an offset from the stream of jobs, but retains the latest record of each key. */
    void compact_before(std::uint64_t offset);

    [[nodiscard]] std::uint64_t end_offset(log_stream stream = log_stream::jobs);

    /*! Returns the records of fenced appends to the stream of jobs, each with the number of its append. */
    [[nodiscard]] std::vector<std::pair<std::size_t, keyed_record>> const &records_by_append() const noexcept {
        return records_by_append_;
    }

    /*! Times between the execution of an append and the arrival of the next fenced one. */
    std::vector<millis> append_gaps;
    bool is_up{true};
    /*! Executes no append for a time, as if others were waiting; only while appends wait for one another. */
    void occupy(millis time);

    /*! Duration of each append. */
    millis append_time{};
    /*! Appends wait for one another; those that would wait longer are refused. Nothing if they are concurrent. */
    std::optional<millis> max_append_wait;
    /*! Longest time that an append waited for others, and number of appends refused for that reason. */
    millis longest_append_wait{};
    std::size_t refused_appends{};
    /*! Largest number of records that one read returns. */
    std::size_t max_records_per_read{1'000};

private:
    struct stream_state {
        std::vector<keyed_record> records;
        std::map<std::string, keyed_record> newest;
        std::uint64_t first{};
        std::uint64_t epoch{};
        std::uint64_t sequence{};
        /*! Offsets of the latest appends of the writer of the epoch, by sequence number. */
        std::map<std::uint64_t, std::uint64_t> recent_appends;
    };

    append_answer execute(log_stream stream, std::vector<keyed_record> records, std::optional<log_writer> writer);
    boost::asio::awaitable<void> execute_later(
        log_stream stream, std::vector<keyed_record> records, std::optional<log_writer> writer, millis delay);

    boost::asio::io_context &context_;
    std::map<log_stream, stream_state> streams_;
    instant executed_at_{};
    std::size_t fenced_appends_{};
    std::vector<std::pair<std::size_t, keyed_record>> records_by_append_;
    /*! Time at which all appends that wait will have been executed. */
    instant free_at_{};
};

/*! One entry VM's connection to the log; it can be cut. */
class gated_log : public keyed_log {
public:
    explicit gated_log(memory_log &log) : log_{log} {}

    boost::asio::awaitable<append_answer> append(log_stream stream, std::vector<keyed_record> records,
        std::optional<log_writer> writer, millis timeout) override;
    boost::asio::awaitable<read_answer> read(log_stream stream, std::uint64_t from, millis wait) override;
    boost::asio::awaitable<std::optional<std::uint64_t>> end(log_stream stream, std::uint64_t from) override;
    boost::asio::awaitable<newest_page> newest(log_stream stream, std::string after) override;

    /*! False while the log rejects this entry VM's calls. */
    bool is_open{true};
    /*!
     * Reads of the stream of jobs do not get beyond this offset, as if they were slow; reads of its end are not
     * affected. Nothing if they reach the end.
     */
    std::optional<std::uint64_t> jobs_read_limit;
    /*! Number of appends that this entry VM sent. */
    std::size_t appends{};
    /*! Number of records that this entry VM received in reads of the stream of jobs. */
    std::size_t records_read{};
    /*! True once this entry VM has begun to read the newest records of all jobs. */
    bool has_begun_snapshot{};
    /*! True while appends of this entry VM are lost; their outcome is unknown to it. */
    bool loses_appends{};
    /*! True while the log refuses appends of this entry VM; it reads as usual. */
    bool refuses_appends{};
    /*! True while reads of the newest records of all jobs get no answer. */
    bool holds_snapshot{};

private:
    memory_log &log_;
};

/*! What a worker does with a command to start that gets no answer. */
enum class lost_command : std::uint8_t {
    /*! It never executes the command. */
    dropped,
    /*! It executes the command; only the answer is lost. */
    answer_lost,
    /*! It executes the command at the next call of deliver_late_starts(). */
    late
};

/*! In-memory workers. */
class memory_workers : public worker_port {
public:
    boost::asio::awaitable<poll_answer> poll(worker_target target, poll_request request, millis timeout) override;
    boost::asio::awaitable<start_answer> start(
        worker_target target, run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout) override;
    boost::asio::awaitable<bool> stop(worker_target target, run_key run, std::uint64_t token, millis timeout) override;

    /*! Completes all runs successfully. */
    void end_all();

    /*! Executes the oldest commands to start that are late. */
    void deliver_late_starts(std::size_t most);

    /*! Returns the commands to start that were received, by run. */
    [[nodiscard]] std::map<run_key, std::size_t> const &commands() const noexcept {
        return commands_;
    }

    /*! Returns the runs that exist on all workers. */
    [[nodiscard]] std::vector<run_key> running() const;

    /*! Number of commands to start each run that get no answer; later ones are answered. */
    std::size_t unanswered_commands{};
    lost_command lost{lost_command::dropped};

    [[nodiscard]] std::size_t runs() const;

    [[nodiscard]] std::size_t starts() const noexcept {
        return starts_;
    }

    /*! Returns the number of polls answered with ended runs; a worker would delay its answer to the others. */
    [[nodiscard]] std::size_t polls_with_ended_runs() const noexcept {
        return polls_with_ended_runs_;
    }

private:
    struct worker {
        std::uint64_t token{};
        std::uint64_t next_end{1u};
        std::vector<listed_run> running;
        std::vector<listed_completion> ended;
        /*! Highest run of each task, by job, step and index, that was stopped or has ended here. */
        std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::uint32_t> closed;
    };

    /*! Command to start a run that is executed late. */
    struct late_start {
        std::string worker;
        run_key key;
        std::uint64_t token{};
    };

    start_answer execute_start(std::string const &name, run_key const &key, std::uint64_t token);
    static void end(worker &item, run_key const &key, run_outcome how);

    std::map<std::string, worker> workers_;
    std::map<run_key, std::size_t> commands_;
    std::vector<late_start> late_;
    std::size_t starts_{};
    std::size_t polls_with_ended_runs_{};
};

/*! One version of the operators' rules. */
struct scripted_version {
    std::uint64_t number{1u};
    std::vector<queue_rules> queues;
    /*! Services that the version names; registrations for others are rejected, unless accepted jobs need them. */
    std::set<std::string, std::less<>> services{"service"};
};

/*! Decoder that returns a fixed registration for each worker, and rules from a table by the value of their record. */
class plain_decoder : public site_decoder {
public:
    explicit plain_decoder(std::map<std::string, scripted_version> const &versions) : versions_{versions} {}

    [[nodiscard]] registration_reading worker(std::string_view key, std::string_view value) override;
    [[nodiscard]] bool apply(keyed_record const &record, site_rules &rules) override;
    void admit_service(std::string_view service) override;

private:
    std::map<std::string, scripted_version> const &versions_;
    std::set<std::string, std::less<>> services_;
    std::set<std::string, std::less<>> admitted_services_;
};

/*! Adviser that approves all workers. */
class approving_adviser : public advice_port {
public:
    boost::asio::awaitable<std::optional<std::vector<advice_grant>>> ask(advice_query query, millis timeout) override;
};

/*! Entry VMs with an in-memory log and workers; peers communicate over the loopback interface. */
class scripted_site {
public:
    /*! Constructs entry VMs whose processor time is unknown. */
    explicit scripted_site(std::size_t vms);

    /*! Constructs one entry VM per element; the elements are processor times in thousandths of a core. */
    explicit scripted_site(std::span<std::uint32_t const> millicores);

    /*! Starts another entry VM; its processor time is in thousandths of a core, zero if unknown. */
    void add_vm(std::uint32_t millicores = 0u);

    /*! Runs all live entry VMs until a condition holds, for at most five seconds. */
    void run_until(std::function<bool()> const &condition);

    /*! Runs all live entry VMs for a time, at most five seconds. */
    void run_for(millis time);

    /*! Sends a caller's request to an entry VM and returns its answer. */
    caller_answer ask(std::size_t vm, caller_operation operation, std::string const &id,
        std::string const &host = "host", std::string const &key = "key", std::string const &path_prefix = "/p/");

    /*! Submits a job to an entry VM and returns its answer. */
    caller_answer submit(std::size_t vm, job_definition job);

    /*! Sends a caller's request to an entry VM without waiting for the answer. */
    void begin(std::size_t vm, caller_request request, std::function<void(caller_answer)> on_answer);

    /*! Returns the request that submits a job. */
    [[nodiscard]] static caller_request submission(job_definition job);

    /*! Puts a version of the operators' rules in force, and runs all live entry VMs until they have applied it. */
    void change_rules(scripted_version version);

    /*! Starts as many entry VMs as there are, and kills those there were: the log alone tells them of jobs. */
    void replace_all_vms();

    /*! Kills an entry VM and starts it again under its name and address. */
    void restart_vm(std::size_t vm);

    /*! Returns the queue "queue" of the first version, at the path prefix "/p/". */
    [[nodiscard]] static queue_rules queue();

    /*! Returns the definition of a job as an entry VM accepts it. */
    [[nodiscard]] static job_definition job(std::string id);

    /*! Returns the leader, or null if there is none. */
    [[nodiscard]] site_node *leader();

    /*! Returns the index of the leader. Precondition: there is one. */
    [[nodiscard]] std::size_t leading() const;

    /*! Cuts the way of messages from a leader to an entry VM; the way back stays open. */
    void cut_messages_to(std::size_t vm);

    /*! Keeps the jobs' records that are appended from now on from the reads of an entry VM. */
    void stop_reads_of(std::size_t vm);

    /*! Returns the index of the entry VM that does not lead, of two. */
    [[nodiscard]] std::size_t follower() const;

    /*! Stops the leader without a resignation. */
    void kill_leader();

    /*! Returns the index of the first live entry VM. */
    [[nodiscard]] std::size_t survivor() const;

    /*! State of one process, with a context of its own so that it can be stopped. */
    struct vm {
        vm(scripted_site &site, std::string name, std::string peer_address, std::uint32_t millicores);

        boost::asio::io_context context{1};
        site_settings settings;
        counters stats;
        latencies times;
        decision_log decisions;
        gated_log log;
        approving_adviser adviser;
        plain_decoder decoder;
        std::unique_ptr<site_node> node;
        bool is_alive{true};
    };

    /*! Allocates the addresses of the entry VMs; no process is started in it. */
    process_set ports;
    boost::asio::io_context log_context{1};
    memory_log log{log_context};
    memory_workers workers;
    /*! Versions of the rules, by the value of their record. */
    std::map<std::string, scripted_version> versions;
    std::vector<std::unique_ptr<vm>> vms;

private:
    caller_answer serve(std::size_t vm, caller_request request);
};

} // namespace kingcuplink::test

#endif
