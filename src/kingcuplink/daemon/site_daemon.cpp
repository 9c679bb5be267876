#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <kingcuplink/core/decision_log.hpp>
#include <kingcuplink/daemon/site_daemon.hpp>
#include <kingcuplink/gateway/http_listener.hpp>
#include <kingcuplink/gateway/responses.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <kingcuplink/site/site_node.hpp>
#include <kingcuplink/site/timing.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <platform/advice_client.hpp>
#include <platform/caller_handlers.hpp>
#include <platform/site_reader.hpp>
#include <platform/store_client.hpp>
#include <platform/worker_client.hpp>
#include <thread>
#include <unistd.h>
#include <zmq.hpp>

namespace kingcuplink {

namespace internal {

constexpr int exit_failure = 1;
/*! Maximum idle connections to one address; a worker accepts 64 connections from all entry VMs together. */
constexpr std::size_t idle_connections = 8u;
/*! Maximum body of a caller's request, documented to users as 256 KiB. */
constexpr std::uint64_t max_caller_body = std::uint64_t{256} << 10u;
/*! Interval between checks for active requests during shutdown. */
constexpr millis drain_poll{20};
/*! Time for the load balancer to detect that this entry VM is not ready: two readiness checks and one second. */
constexpr millis balancer_detection_time{3'000};

/*! Periodically flushes the decision log and closes old connections, until the process ends. */
boost::asio::awaitable<void> run_maintenance(decision_log &decisions, http_client &http) {
    while(true) {
        co_await pause(timing::flush_interval);
        decisions.flush();
        http.close_expired();
    }
}

/*! Runs a context on its own thread; the destructor stops the context and joins the thread. */
class context_thread {
public:
    explicit context_thread(boost::asio::io_context &context)
        : context_{context}, work_{context.get_executor()}, thread_{[&context]() { context.run(); }} {}

    ~context_thread() {
        context_.stop();
        thread_.join();
    }

    context_thread(context_thread const &) = delete;
    context_thread &operator=(context_thread const &) = delete;

private:
    boost::asio::io_context &context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/*!
 * Handles signals until the process ends. The first SIGTERM or SIGINT starts the
 * shutdown and later ones are ignored. SIGHUP has no effect, since settings cannot be
 * reloaded; until the shutdown it is recorded in the decision log.
 */
class process_signals {
public:
    explicit process_signals(decision_log &decisions) : decisions_{decisions} {
        wait_for_next();
    }

    /*! Blocks until SIGTERM or SIGINT arrives. */
    void wait_for_end() {
        context_.run();
    }

private:
    void wait_for_next() {
        signals_.async_wait([this](boost::system::error_code const &error, int const number) {
            if(error || number != SIGHUP) {
                context_.stop();
                return;
            }
            decisions_.write(decision::settings_reloaded, {{"outcome", "unchanged"}});
            wait_for_next();
        });
    }

    decision_log &decisions_;
    boost::asio::io_context context_{1};
    boost::asio::signal_set signals_{context_, SIGTERM, SIGINT, SIGHUP};
};

/*! Reports not ready until the load balancer has detected it, then stops accepting and waits for active requests. */
void shut_down(
    site_settings const &settings, site_node &node, http_listener &callers, boost::asio::io_context &control) {
    auto const limit = std::chrono::steady_clock::now() + settings.shutdown_time;
    callers.drain();
    boost::asio::post(control, [&node]() { node.drain(); });
    std::this_thread::sleep_for(std::min(balancer_detection_time, settings.shutdown_time));
    callers.stop_accepting();
    while(callers.active_requests() > 0u && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(drain_poll);
    }
}

} // namespace internal

int run_site_daemon(site_settings const &settings) {
    counters stats;
    latencies times;
    decision_log decisions{STDOUT_FILENO, settings.name};
    boost::asio::io_context control{1};
    boost::asio::io_context traffic{1};
    http_client http{control, stats, internal::idle_connections};
    adapter::store_client log{http, settings.log_address};
    adapter::site_reader reader;
    adapter::worker_client workers{http};
    adapter::advice_client advice{http, settings.adviser_address};
    std::unique_ptr<site_node> node;
    try {
        node = std::make_unique<site_node>(
            node_parts{control, settings, stats, times, decisions, log, reader, workers, advice});
    } catch(zmq::error_t const &failure) {
        std::cerr << "kingcuplinkd: --peer_address '" << settings.peer_address << "' cannot be used: " << failure.what()
                  << ": free the address or name another\n";
        return internal::exit_failure;
    }
    http_listener callers{
        traffic, stats, adapter::caller_handler(control, *node, stats), {.body_bytes = internal::max_caller_body}};
    http_listener readiness{traffic, stats, adapter::readiness_handler(*node), {}};
    http_listener metrics{control, stats,
        [&node](
            http_request) -> boost::asio::awaitable<http_response> { co_return text_response(200u, node->metrics()); },
        {}};
    struct listening {
        std::string_view flag;
        http_listener &listener;
        std::string const &address;
        /*! Whether the process exits if the address cannot be used. */
        bool is_required{};
    };
    for(auto const &item: {listening{"callers_address", callers, settings.callers_address, true},
            listening{"readiness_address", readiness, settings.readiness_address, true},
            listening{"metrics_address", metrics, settings.metrics_address, false}}) {
        if(item.address.empty() || item.listener.start(item.address)) {
            continue;
        }
        std::cerr << "kingcuplinkd: --" << item.flag << " '" << item.address
                  << "' cannot be used: free the address or name another"
                  << (item.is_required ? "\n" : "; continuing without this endpoint\n");
        if(item.is_required) {
            return internal::exit_failure;
        }
    }
    internal::process_signals signals{decisions};
    decisions.write(decision::process_started,
        {{"domain", settings.failure_domain}, {"callers", settings.callers_address}, {"log", settings.log_address},
            {"lease_limit_ms", settings.lease_limit.count()},
            {"command_delay_limit_ms", settings.command_delay_limit.count()}});
    node->start();
    boost::asio::co_spawn(control, internal::run_maintenance(decisions, http), fail_fast);
    {
        internal::context_thread const control_thread{control};
        internal::context_thread const traffic_thread{traffic};
        signals.wait_for_end();
        decisions.write(decision::process_stopping, {{"requests", callers.active_requests()}});
        internal::shut_down(settings, *node, callers, control);
    }
    decisions.flush();
    // Open connections and suspended coroutines refer to objects of this frame, so the process exits without
    // destroying them.
    std::_Exit(0);
}

} // namespace kingcuplink
