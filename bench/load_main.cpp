// Open-loop load through one entry VM, paired with the same load straight to a runner's address.
#include "quantile.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdio>
#include <kingcuplink/platform/http_client.hpp>
#include <random>

ABSL_FLAG(std::string, address, "127.0.0.1:8080", "Address of the entry VM, or of a runner with --target=/run/QUEUE.");
ABSL_FLAG(std::string, target, "/v1/queues/notices/requests", "Path of the requests.");
ABSL_FLAG(std::string, key, "", "Team's key.");
ABSL_FLAG(int, rate, 200, "Requests a second.");
ABSL_FLAG(int, seconds, 10, "Length of the load.");
ABSL_FLAG(int, work_ms, 5, "Work of each request in milliseconds.");
ABSL_FLAG(int, deadline_ms, 2000, "Deadline of each request.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the times between requests.");

namespace {

namespace acc = boost::accumulators;
using clock_type = std::chrono::steady_clock;

struct results {
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>> latency;
    std::vector<double> latencies_ms;
    std::size_t refused{};
    std::size_t failed{};
};

boost::asio::awaitable<void> send_one(
    kingcuplink::http_client &client, results &all, clock_type::time_point const due, std::size_t const number) {
    kingcuplink::http_request request{boost::beast::http::verb::post, absl::GetFlag(FLAGS_target), 11};
    request.set(
        "Kingcuplink-Request-Id", "load-" + std::to_string(absl::GetFlag(FLAGS_seed)) + "-" + std::to_string(number));
    request.set("Kingcuplink-Deadline-Ms", std::to_string(absl::GetFlag(FLAGS_deadline_ms)));
    request.set(boost::beast::http::field::authorization, "Bearer " + absl::GetFlag(FLAGS_key));
    request.body() = "work_ms=" + std::to_string(absl::GetFlag(FLAGS_work_ms));
    kingcuplink::exchange_options const options{
        .timeout = kingcuplink::millis{absl::GetFlag(FLAGS_deadline_ms) + 1'000},
        .max_idle_time = kingcuplink::config::reuse_idle_limit};
    auto const result = co_await client.send(absl::GetFlag(FLAGS_address), std::move(request), options);
    if(result.outcome != kingcuplink::attempt_outcome::answered) {
        ++all.failed;
    } else if(result.response.result() != boost::beast::http::status::ok) {
        ++all.refused;
    } else {
        // From the time the request was due, so that a slow answer does not hide the next ones.
        auto const ms = std::chrono::duration<double, std::milli>(clock_type::now() - due).count();
        all.latency(ms);
        all.latencies_ms.push_back(ms);
    }
}

boost::asio::awaitable<void> send_all(
    boost::asio::io_context &context, kingcuplink::http_client &client, results &all) {
    std::mt19937_64 random{absl::GetFlag(FLAGS_seed)};
    std::exponential_distribution<double> pause{static_cast<double>(absl::GetFlag(FLAGS_rate))};
    boost::asio::steady_timer timer{context};
    auto due = clock_type::now();
    auto const end = due + std::chrono::seconds{absl::GetFlag(FLAGS_seconds)};
    for(std::size_t number{}; due < end; ++number) {
        due += std::chrono::duration_cast<clock_type::duration>(std::chrono::duration<double>{pause(random)});
        timer.expires_at(due);
        boost::system::error_code ignored;
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        boost::asio::co_spawn(context, send_one(client, all, due, number), boost::asio::detached);
    }
}

} // namespace

int main(int argc, char **argv) {
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context{1};
    kingcuplink::counters stats;
    kingcuplink::http_client client{context, stats, 1'024u};
    results all;
    boost::asio::co_spawn(context, send_all(context, client, all), boost::asio::detached);
    context.run();
    auto const seconds = static_cast<double>(absl::GetFlag(FLAGS_seconds));
    std::printf("rate,answered_per_second,refused,failed,mean_ms,p50_ms,p90_ms,p99_ms,p999_ms\n%d,%.1f,%zu,%zu,%.3f,%."
                "3f,%.3f,%.3f,%.3f\n",
        absl::GetFlag(FLAGS_rate), static_cast<double>(all.latencies_ms.size()) / seconds, all.refused, all.failed,
        acc::mean(all.latency), kingcuplink::bench::quantile(all.latencies_ms, 0.5),
        kingcuplink::bench::quantile(all.latencies_ms, 0.9), kingcuplink::bench::quantile(all.latencies_ms, 0.99),
        kingcuplink::bench::quantile(all.latencies_ms, 0.999));
    return 0;
}
