#include "scripted_worker.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <kingcuplink/core/config.hpp>

namespace kingcuplink::test {

namespace {

constexpr std::int64_t max_wait_ms = 200;

} // namespace

scripted_worker::scripted_worker(boost::asio::io_context &context, std::string const &address)
    : service_{std::make_shared<standin::http_service>(
          context, address, [this](standin::request message) { return handle(std::move(message)); })} {
    service_->start();
}

scripted_worker::~scripted_worker() {
    service_->stop();
}

void scripted_worker::set_task(
    std::string const &job, std::int64_t const ordinal, std::int64_t const attempt, std::string const &state) {
    std::erase_if(tasks, [&](auto const &task) { return task.job == job && task.ordinal == ordinal; });
    tasks.push_back({job, ordinal, attempt, state, ++version_});
}

boost::asio::awaitable<standin::response> scripted_worker::handle(standin::request message) {
    auto body = boost::json::parse(message.body()).as_object();
    if(message.target() == "/v1/lease") {
        co_return co_await lease(std::move(body));
    }
    if(message.target() == "/v1/start") {
        co_return co_await start_task(std::move(body));
    }
    stops += message.target() == "/v1/stop" ? 1 : 0;
    co_return standin::json_answer(200, boost::json::object{});
}

boost::asio::awaitable<standin::response> scripted_worker::lease(boost::json::object body) {
    ++leases;
    while(ignores_lease_requests) {
        co_await standin::wait_for(max_wait_ms);
    }
    if(refused_lease_epoch > 0) {
        co_return standin::json_answer(409, boost::json::object{{"epoch", refused_lease_epoch}});
    }
    auto const since = body.at("since").as_int64();
    auto const wait_ms = std::min(body.at("wait_ms").as_int64(), max_wait_ms);
    if(wait_ms > 0 && version_ <= since) {
        co_await standin::wait_for(wait_ms);
    }
    boost::json::array list;
    for(auto const &task: tasks) {
        if(task.version > since) {
            list.push_back(boost::json::object{{"job", task.job}, {"ordinal", task.ordinal}, {"attempt", task.attempt},
                {"team", "red"}, {"state", task.state}, {"size", boost::json::object{{"millicores", 1'000}}}});
        }
    }
    co_return standin::json_answer(200, boost::json::object{{"version", version_}, {"tasks", std::move(list)}});
}

boost::asio::awaitable<standin::response> scripted_worker::start_task(boost::json::object body) {
    ++starts;
    auto const status = start_status;
    if(executes_starts) {
        set_task(std::string{body.at("job").as_string()}, body.at("ordinal").as_int64(), body.at("attempt").as_int64(),
            "running");
    }
    if(status == 0u) {
        co_await standin::wait_for(2 * config::command_timeout.count());
    }
    co_return standin::json_answer(status == 0u ? 200u : status, boost::json::object{{"epoch", 1}});
}

} // namespace kingcuplink::test
