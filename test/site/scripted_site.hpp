#ifndef KINGCUPLINK_TEST_SITE_SCRIPTED_SITE_HPP_INCLUDED
#define KINGCUPLINK_TEST_SITE_SCRIPTED_SITE_HPP_INCLUDED

#include "process_set.hpp"

#include <boost/asio/co_spawn.hpp>
#include <functional>
#include <kingcuplink/site/site_node.hpp>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! Runs a coroutine to its end and returns what it returns. */
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

/*! Length of the payload of jobs that are handed in. */
inline constexpr std::size_t payload_bytes = 2'000u;

/*! A log in memory. */
class memory_log : public keyed_log {
public:
    explicit memory_log(boost::asio::io_context &context) : context_{context} {}

    boost::asio::awaitable<append_answer> append(
        log_stream stream, std::vector<keyed_record> records, std::optional<log_writer> writer) override;
    boost::asio::awaitable<read_answer> read(log_stream stream, std::uint64_t from, millis wait) override;
    boost::asio::awaitable<newest_page> newest(log_stream stream, std::string after) override;

    /*! Adds a record to the stream of jobs. */
    void add(keyed_record record, log_stream stream = log_stream::jobs);

    /*! Forgets records before an offset, but not the newest of each key. */
    void forget_before(std::uint64_t offset);

    [[nodiscard]] std::uint64_t end(log_stream stream = log_stream::jobs);

    bool is_up{true};
    /*! Time that each append takes. */
    millis append_time{};
    /*! Records that one read returns. */
    std::size_t most_read{1'000};

private:
    struct stream_state {
        std::vector<keyed_record> records;
        std::map<std::string, keyed_record> newest;
        std::uint64_t first{};
        std::uint64_t epoch{};
        std::uint64_t sequence{};
    };

    boost::asio::io_context &context_;
    std::map<log_stream, stream_state> streams_;
};

/*! A log as one entry VM reaches it. */
class gated_log : public keyed_log {
public:
    explicit gated_log(memory_log &log) : log_{log} {}

    boost::asio::awaitable<append_answer> append(
        log_stream stream, std::vector<keyed_record> records, std::optional<log_writer> writer) override;
    boost::asio::awaitable<read_answer> read(log_stream stream, std::uint64_t from, millis wait) override;
    boost::asio::awaitable<newest_page> newest(log_stream stream, std::string after) override;

    /*! False while the log turns this entry VM away. */
    bool is_open{true};
    /*! Appends that this entry VM sent. */
    std::size_t appends{};

private:
    memory_log &log_;
};

/*! Workers in memory. */
class memory_workers : public worker_port {
public:
    boost::asio::awaitable<look_answer> look(worker_target target, look_request request, millis timeout) override;
    boost::asio::awaitable<start_answer> start(
        worker_target target, run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout) override;
    boost::asio::awaitable<bool> stop(worker_target target, run_key run, std::uint64_t token, millis timeout) override;

    /*! Ends all runs well. */
    void end_all();

    [[nodiscard]] std::size_t runs() const;

    [[nodiscard]] std::size_t starts() const noexcept {
        return starts_;
    }

    /*! Returns how many looks were answered with ends; others would wait for one. */
    [[nodiscard]] std::size_t looks_with_ends() const noexcept {
        return looks_with_ends_;
    }

private:
    struct worker {
        std::uint64_t token{};
        std::uint64_t next_end{1u};
        std::vector<listed_run> running;
        std::vector<listed_completion> ended;
    };

    std::map<std::string, worker> workers_;
    std::size_t starts_{};
    std::size_t looks_with_ends_{};
};

/*! Reads registrations and rules that the tests write. */
class plain_decoder : public site_decoder {
public:
    [[nodiscard]] registration_reading worker(std::string_view key, std::string_view value) override;
    [[nodiscard]] bool apply(keyed_record const &record, site_rules &rules) override;
};

/*! Approves all workers. */
class approving_adviser : public advice_port {
public:
    boost::asio::awaitable<std::optional<std::vector<advice_grant>>> ask(advice_query query, millis timeout) override;
};

/*! Entry VMs over a log and workers in memory; peers talk over the loopback interface. */
class scripted_site {
public:
    /*! Constructs entry VMs; their processor time is not known. */
    explicit scripted_site(std::size_t vms);

    /*! Constructs an entry VM for each amount of processor time, in thousandths of a core. */
    explicit scripted_site(std::span<std::uint32_t const> millicores);

    /*! Starts another entry VM. */
    void add_vm(std::uint32_t millicores = 0u);

    /*! Runs everything until a condition holds, at most for five seconds. */
    void run_until(std::function<bool()> const &condition);

    /*! Lets everything run for a time. */
    void run_for(millis time);

    /*! Serves one request of a caller. */
    caller_answer ask(std::size_t vm, caller_wish wish, std::string const &id, std::string const &host = "host",
        std::string const &key = "key");

    /*! Returns the entry VM that leads, or null. */
    [[nodiscard]] site_node *leader();

    /*! Returns which of two entry VMs does not lead. */
    [[nodiscard]] std::size_t follower() const;

    /*! Ends the leader's process without notice. */
    void kill_leader();

    /*! Returns an entry VM that runs. */
    [[nodiscard]] std::size_t survivor() const;

    /*! Everything of one process; it has a context of its own, so that it can be stopped. */
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

    /*! Names the entry VMs' addresses; no process is started in it. */
    process_set ports;
    boost::asio::io_context log_context{1};
    memory_log log{log_context};
    memory_workers workers;
    std::vector<std::unique_ptr<vm>> vms;
};

} // namespace kingcuplink::test

#endif
