#include "worker.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <kingcuplink/document/job_spec.hpp>

namespace kingcuplink::standin {

namespace {

constexpr std::int64_t poll_ms = 5;
constexpr std::size_t ended_kept = 256u;

std::int64_t number(boost::json::object const &body, std::string_view const name) {
    auto const *field = body.if_contains(name);
    return field != nullptr && field->is_int64() ? field->get_int64() : 0;
}

std::string text(boost::json::object const &body, std::string_view const name) {
    auto const *field = body.if_contains(name);
    return field != nullptr && field->is_string() ? std::string{field->get_string()} : std::string{};
}

std::string key_of(boost::json::object const &body) {
    return text(body, "job") + "/" + std::to_string(number(body, "ordinal"));
}

} // namespace

worker::worker(boost::asio::io_context &context, std::string domain, worker_entry const &entry, endpoint_record &record)
    : context_{context}, domain_{std::move(domain)}, entry_{entry}, record_{record} {}

void worker::start() {
    service = std::make_shared<http_service>(context_, entry_.address,
        [self = shared_from_this()](request message) { return self->handle(std::move(message)); });
    service->start();
    boost::asio::co_spawn(context_, watch_lease(shared_from_this()), boost::asio::detached);
}

void worker::restart() {
    for(auto &[key, value]: tasks_) {
        if(value.state == "running") {
            end_task(value, "restart");
        }
    }
    tasks_.clear();
    lease_until_ = 0;
    holder_.clear();
    service->close_connections();
}

void worker::lapse() noexcept {
    lease_until_ = 0;
}

boost::asio::awaitable<response> worker::handle(request message) {
    boost::system::error_code error;
    auto const body = boost::json::parse(message.body(), error);
    if(error || !body.is_object()) {
        co_return json_answer(400, nullptr);
    }
    if(message.target() == "/v1/lease") {
        co_return co_await lease(body.get_object());
    }
    if(!commands_from(body.get_object())) {
        co_return fenced();
    }
    if(message.target() == "/v1/start") {
        co_return start_task(body.get_object());
    }
    if(message.target() == "/v1/stop") {
        co_return stop_task(body.get_object());
    }
    co_return json_answer(message.target() == "/v1/throttle" ? 200 : 404, boost::json::object{});
}

bool worker::commands_from(boost::json::object const &body) const {
    return number(body, "epoch") == epoch_ && text(body, "holder") == holder_ && clock_ms() < lease_until_;
}

response worker::fenced() const {
    return json_answer(409, boost::json::object{{"epoch", epoch_}, {"holder", holder_}});
}

boost::asio::awaitable<response> worker::lease(boost::json::object body) {
    auto const epoch = number(body, "epoch");
    auto const holder = text(body, "holder");
    auto const since = static_cast<std::uint64_t>(number(body, "since"));
    if(epoch < epoch_ || (epoch == epoch_ && holder != holder_)) {
        co_return fenced();
    }
    epoch_ = epoch;
    holder_ = holder;
    lease_until_ = clock_ms() + number(body, "lease_ms");
    auto const wait_until = clock_ms() + number(body, "wait_ms");
    while(version_ <= since && clock_ms() < wait_until && epoch_ == epoch) {
        co_await wait_for(poll_ms);
    }
    if(epoch_ != epoch) {
        co_return fenced();
    }
    boost::json::array tasks;
    for(auto const &[key, value]: tasks_) {
        if(value.version > since) {
            tasks.push_back(boost::json::object{{"job", value.job}, {"ordinal", value.ordinal},
                {"attempt", value.attempt}, {"team", value.team}, {"state", value.state}, {"size", to_json(value.size)},
                {"used", to_json(value.size)}, {"running_for_ms", clock_ms() - value.started_at}});
        }
    }
    co_return json_answer(
        200, boost::json::object{{"version", static_cast<std::int64_t>(version_)}, {"tasks", std::move(tasks)}});
}

response worker::start_task(boost::json::object const &body) {
    auto const key = key_of(body);
    auto const attempt = static_cast<std::uint32_t>(number(body, "attempt"));
    if(auto const known = tasks_.find(key);
        known != tasks_.end() && (known->second.state == "running" || known->second.attempt >= attempt)) {
        return json_answer(known->second.attempt == attempt ? 200 : 422, boost::json::object{});
    }
    auto const *size_field = body.if_contains("size");
    auto const size = size_field != nullptr && size_field->is_object() ? resources_from_json(size_field->get_object())
                                                                       : resources{};
    used_ += size;
    record_.task_started(domain_, entry_.name, entry_.size, used_, key, attempt, text(body, "team"), size);
    tasks_[key] = task{text(body, "job"), number(body, "ordinal"), attempt, text(body, "team"), "running", size,
        clock_ms(), ++version_};
    auto const run_ms = std::max<std::int64_t>(0, number(body, "run_time_ms") - number(body, "progress_ms"));
    if(service->fault.fail_every_start) {
        end_task(tasks_[key], "failed");
    } else if(text(body, "kind") != name_of(job_kind::service)) {
        boost::asio::co_spawn(context_, run(shared_from_this(), key, attempt, run_ms), boost::asio::detached);
    }
    return json_answer(200, boost::json::object{});
}

response worker::stop_task(boost::json::object const &body) {
    auto const known = tasks_.find(key_of(body));
    if(known == tasks_.end()) {
        return json_answer(404, boost::json::object{});
    }
    if(known->second.state == "running") {
        end_task(known->second, "stopped");
    }
    return json_answer(200, boost::json::object{});
}

boost::asio::awaitable<void> worker::run([[maybe_unused]] std::shared_ptr<worker> self, std::string key,
    std::uint32_t const attempt, std::int64_t const run_ms) {
    co_await wait_for(run_ms);
    if(auto const known = tasks_.find(key);
        known != tasks_.end() && known->second.attempt == attempt && known->second.state == "running") {
        end_task(known->second, "succeeded");
    }
}

boost::asio::awaitable<void> worker::watch_lease([[maybe_unused]] std::shared_ptr<worker> self) {
    while(true) {
        co_await wait_for(poll_ms * 4);
        if(clock_ms() < lease_until_) {
            continue;
        }
        for(auto &[key, value]: tasks_) {
            if(value.state == "running") {
                end_task(value, "lease lapsed");
            }
        }
    }
}

void worker::end_task(task &value, std::string const &how) {
    used_ -= value.size;
    value.state = how == "succeeded" || how == "failed" ? how : "stopped";
    value.version = ++version_;
    record_.task_ended(entry_.name, value.job + "/" + std::to_string(value.ordinal), value.team, value.size, how);
    forget_old();
}

void worker::forget_old() {
    while(tasks_.size() > ended_kept) {
        auto oldest = tasks_.end();
        for(auto entry = tasks_.begin(); entry != tasks_.end(); ++entry) {
            if(entry->second.state != "running" &&
                (oldest == tasks_.end() || entry->second.version < oldest->second.version)) {
                oldest = entry;
            }
        }
        if(oldest == tasks_.end()) {
            return;
        }
        tasks_.erase(oldest);
    }
}

} // namespace kingcuplink::standin
