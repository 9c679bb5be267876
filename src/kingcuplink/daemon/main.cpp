#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <glog/logging.h>
#include <iostream>
#include <kingcuplink/core/file_limit.hpp>
#include <kingcuplink/daemon/control_plane.hpp>
#include <kingcuplink/daemon/settings.hpp>
#include <kingcuplink/daemon/site_daemon.hpp>
#include <kingcuplink/gateway/http_server.hpp>
#include <kingcuplink/gateway/request_router.hpp>
#include <random>
#include <thread>
#include <zmq.hpp>

namespace {

using namespace std::chrono_literals;

constexpr int exit_failure = 1;
constexpr int exit_wrong_setting = 2;
constexpr auto drain_poll = 20ms;
constexpr auto idle_grace = 1s;

/*! Drains active requests up to the time limit, then stops the server. */
void shut_down(kingcuplink::daemon_settings const &settings, kingcuplink::http_server &server,
    kingcuplink::control_plane &control, boost::asio::io_context &context) {
    LOG(INFO) << "daemon: draining grace_ms=" << settings.drain_grace.count();
    server.drain();
    boost::asio::post(context, [&control]() { control.resign(); });
    std::this_thread::sleep_for(settings.drain_grace);
    server.stop_accepting();
    auto const limit = std::chrono::steady_clock::now() + settings.drain_limit;
    while(server.active_requests() > 0u && std::chrono::steady_clock::now() < limit) {
        std::this_thread::sleep_for(drain_poll);
    }
    // Requests that arrive on open connections after the listener closed are refused before these connections end.
    auto const idle_limit = std::min(limit, std::chrono::steady_clock::now() + idle_grace);
    while(server.connections() > 0u && std::chrono::steady_clock::now() < idle_limit) {
        std::this_thread::sleep_for(drain_poll);
    }
    LOG(INFO) << "daemon: stopping requests_left=" << server.active_requests();
    server.stop();
}

} // namespace

int main(int argc, char **argv) {
    std::string error;
    auto const settings = kingcuplink::read_settings(argc, argv, error);
    if(!settings) {
        std::cerr << "kingcuplinkd: " << error << "\n";
        return exit_wrong_setting;
    }
    // Keep running when the terminal or the session that started this process ends.
    std::signal(SIGHUP, SIG_IGN);
    FLAGS_logtostderr = true;
    google::InitGoogleLogging("kingcuplinkd");
    auto const file_limit = kingcuplink::raise_file_limit();
    if(settings->platform == kingcuplink::platform_kind::store) {
        return kingcuplink::run_site_daemon(settings->site);
    }
    kingcuplink::counters stats;
    kingcuplink::request_router router{settings->name, stats, std::random_device{}()};
    boost::asio::io_context control_context{1};
    std::unique_ptr<kingcuplink::control_plane> control;
    try {
        control = std::make_unique<kingcuplink::control_plane>(control_context, *settings, router, stats);
    } catch(zmq::error_t const &failure) {
        std::cerr << "kingcuplinkd: --peer_address '" << settings->peer_address
                  << "' cannot be used: " << failure.what() << ": free the address or name another\n";
        return exit_failure;
    }
    kingcuplink::http_server server{router, *control, stats};
    if(!server.start(settings->http_address, settings->traffic_threads)) {
        std::cerr << "kingcuplinkd: --http_address '" << settings->http_address
                  << "' cannot be used: free the address or name another\n";
        return exit_failure;
    }
    control->start();
    boost::asio::io_context signal_context{1};
    boost::asio::signal_set signals{signal_context, SIGTERM, SIGINT};
    signals.async_wait([&signal_context](boost::system::error_code const &, int) { signal_context.stop(); });
    std::thread control_thread{[&control_context]() { control_context.run(); }};
    LOG(INFO) << "daemon: serving name=" << settings->name << " domain=" << settings->failure_domain
              << " http=" << settings->http_address << " most_files=" << file_limit;
    signal_context.run();
    shut_down(*settings, server, *control, control_context);
    control_context.stop();
    control_thread.join();
    return 0;
}
