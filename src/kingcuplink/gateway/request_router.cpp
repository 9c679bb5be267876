#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <kingcuplink/admission/key_check.hpp>
#include <kingcuplink/gateway/request_router.hpp>
#include <kingcuplink/gateway/responses.hpp>

namespace kingcuplink {

namespace internal {

using field = boost::beast::http::field;

constexpr std::size_t spill_tries = 2u;
constexpr millis least_attempt_time{5};

retry_reason reason_of(attempt_outcome const outcome, bool const reused) {
    switch(outcome) {
    case attempt_outcome::busy:
        return retry_reason::runner_busy;
    case attempt_outcome::not_sent:
        return retry_reason::connect_failed;
    default:
        return reused ? retry_reason::idle_connection_closed : retry_reason::repeatable_attempt_failed;
    }
}

} // namespace internal

request_router::request_router(std::string self, counters &stats, std::uint64_t const seed)
    : self_{std::move(self)}, stats_{stats}, pool_{seed}, random_{seed + 1u} {}

void request_router::publish(std::shared_ptr<fleet_view const> view) {
    std::lock_guard const lock{mutex_};
    view_ = std::move(view);
    queue_.set_limits(view_->limits);
    pool_.assign(view_->runners);
    pump_locked(current_time());
}

std::shared_ptr<fleet_view const> request_router::view() {
    std::lock_guard const lock{mutex_};
    return view_;
}

void request_router::pump() {
    std::lock_guard const lock{mutex_};
    pump_locked(current_time());
}

traffic_gauges request_router::gauges() {
    std::lock_guard const lock{mutex_};
    auto const now = current_time();
    return {.waiting = queue_.waiting(),
        .running = queue_.running(),
        .free_slots = std::max<std::int64_t>(0, pool_.free_slots(now) - static_cast<std::int64_t>(queue_.waiting())),
        .usable_slots = pool_.usable_slots(),
        .sidelined = pool_.sidelined(now)};
}

void request_router::pump_locked(instant const now) {
    while(queue_.waiting() > 0u) {
        auto const runner = pool_.acquire(now);
        if(!runner) {
            return;
        }
        auto const ticket = queue_.pop(now);
        for(auto const dropped: queue_.take_dropped()) {
            wake(waiters_.at(dropped));
        }
        if(!ticket) {
            pool_.release(*runner, attempt_outcome::busy, false, now);
            return;
        }
        auto const found = waiters_.find(*ticket);
        auto const waiting = found->second;
        waiters_.erase(found);
        waiting->granted = *runner;
        wake(waiting);
    }
}

void request_router::wake(std::shared_ptr<waiter> const &waiting) {
    boost::asio::post(waiting->timer.get_executor(), [waiting]() { waiting->timer.cancel(); });
}

boost::asio::awaitable<http_response> request_router::serve(http_client &client, routed_request request) {
    auto const known = view();
    if(known == nullptr || known->rules == nullptr) {
        co_return refusal_response({refusal::no_configuration}, request.request_id, stats_);
    }
    problem failure;
    auto const admitted = value_of(
        [&]() { return admit_request(*known->rules, request.queue, request.key, known->cut_off); }, failure);
    if(!admitted) {
        co_return refusal_response(failure, request.request_id, stats_);
    }
    auto const deadline = current_time() + request.deadline;
    if(!request.is_hop && !has_room_at_home()) {
        if(auto answer = co_await spill(client, request, deadline); answer) {
            co_return std::move(*answer);
        }
    }
    runner_id runner;
    auto const refused = co_await wait_for_runner(admitted->team, deadline, runner);
    if(refused) {
        co_return refuse_request(request, *refused);
    }
    auto const began = current_time();
    auto answer = co_await run(client, std::move(request), deadline, runner);
    finish(admitted->team, current_time() - began);
    co_return answer;
}

bool request_router::has_room_at_home() {
    std::lock_guard const lock{mutex_};
    auto const usable = pool_.usable_slots();
    return usable > 0 && static_cast<std::int64_t>(queue_.waiting()) < usable;
}

boost::asio::awaitable<std::optional<problem>> request_router::wait_for_runner(
    std::string team, instant const deadline, runner_id &granted) {
    auto const waiting = std::make_shared<waiter>(co_await boost::asio::this_coro::executor);
    auto const now = current_time();
    fair_queue::ticket ticket{};
    {
        std::lock_guard const lock{mutex_};
        if(pool_.usable_slots() == 0) {
            co_return problem{refusal::no_runner, "no usable runner in this failure domain"};
        }
        problem failure;
        auto const pushed = value_of([&]() { return queue_.push(team, deadline, now); }, failure);
        if(!pushed) {
            co_return failure;
        }
        ticket = *pushed;
        waiters_.emplace(ticket, waiting);
        waiting->timer.expires_after(deadline - now);
        pump_locked(now);
        if(!waiting->granted.is_null()) {
            granted = waiting->granted;
            co_return std::nullopt;
        }
    }
    boost::system::error_code error;
    co_await waiting->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, error));
    std::lock_guard const lock{mutex_};
    if(waiting->granted.is_null()) {
        queue_.erase(ticket);
        waiters_.erase(ticket);
        co_return problem{refusal::deadline_passed, "no runner became free in time"};
    }
    granted = waiting->granted;
    co_return std::nullopt;
}

boost::asio::awaitable<http_response> request_router::run(
    http_client &client, routed_request request, instant const deadline, runner_id runner) {
    {
        std::lock_guard const lock{mutex_};
        budget_.deposit();
    }
    while(true) {
        std::string address;
        instant distrust_before;
        {
            std::lock_guard const lock{mutex_};
            address = pool_.address_of(runner);
            distrust_before = pool_.distrust_before(runner);
        }
        auto result = co_await try_once(
            client, request, address, "/run/" + request.queue, deadline, distrust_before, false);
        auto const now = current_time();
        {
            std::lock_guard const lock{mutex_};
            pool_.release(runner, result.outcome, result.reused, now);
        }
        if(result.outcome == attempt_outcome::answered) {
            stats_.add(event::request_answered);
            co_return std::move(result.response);
        }
        auto const has_time = now + internal::least_attempt_time < deadline;
        auto const next = has_time && may_retry(result.outcome, request.repeatable) ? next_runner(runner)
                                                                                    : std::nullopt;
        if(!next) {
            break;
        }
        stats_.add(internal::reason_of(result.outcome, result.reused));
        runner = *next;
    }
    auto const reason = current_time() + internal::least_attempt_time < deadline ? refusal::no_runner
                                                                                 : refusal::deadline_passed;
    co_return refuse_request(request, {reason, "no runner took the request"});
}

http_response request_router::refuse_request(routed_request const &request, problem const &value) {
    if(!request.may_have_run) {
        return refusal_response(value, request.request_id, stats_);
    }
    stats_.add(event::request_may_have_run);
    return refusal_response({refusal::may_have_run, "no whole answer came back"}, request.request_id, stats_);
}

boost::asio::awaitable<request_router::attempt> request_router::try_once(http_client &client, routed_request &request,
    std::string address, std::string target, instant const deadline, instant const distrust_before,
    bool const passed_on) {
    auto const left = deadline - current_time();
    if(left < internal::least_attempt_time) {
        co_return attempt{};
    }
    http_request message{boost::beast::http::verb::post, target, 11};
    message.set(header::request_id, request.request_id);
    message.set(header::deadline, std::to_string(left.count()));
    if(auto const type = request.message.find(internal::field::content_type); type != request.message.end()) {
        message.set(internal::field::content_type, type->value());
    }
    if(passed_on) {
        message.set(header::hop, self_);
        message.set(header::repeatable, request.repeatable ? "true" : "false");
        if(!request.key.empty()) {
            message.set(internal::field::authorization, "Bearer " + request.key);
        }
    }
    message.body() = request.message.body();
    exchange_options const options{.timeout = left,
        .max_idle_time = config::reuse_idle_limit,
        .body_limit = config::body_limit,
        .distrust_before = distrust_before};
    auto sent = co_await client.send(std::move(address), std::move(message), options);
    attempt result{.outcome = sent.outcome, .response = std::move(sent.response), .reused = sent.reused};
    if(result.outcome == attempt_outcome::answered && result.response[header::not_run] == "true") {
        result.outcome = attempt_outcome::busy;
    }
    request.may_have_run = request.may_have_run || result.outcome == attempt_outcome::may_have_run;
    co_return result;
}

boost::asio::awaitable<std::optional<http_response>> request_router::spill(
    http_client &client, routed_request &request, instant const deadline) {
    auto const known = view();
    auto targets = known->spill_targets;
    std::erase_if(targets, [](auto const &target) { return target.free_slots <= 0; });
    {
        std::lock_guard const lock{mutex_};
        std::shuffle(targets.begin(), targets.end(), random_);
    }
    for(std::size_t pos{}; pos < std::min(targets.size(), internal::spill_tries); ++pos) {
        auto result = co_await try_once(client, request, targets[pos].http_address,
            "/v1/queues/" + request.queue + "/requests", deadline, {}, true);
        if(result.outcome == attempt_outcome::answered) {
            stats_.add(retry_reason::spilled);
            co_return std::move(result.response);
        }
        if(request.may_have_run && !request.repeatable) {
            co_return refuse_request(request, {refusal::may_have_run});
        }
    }
    co_return std::nullopt;
}

std::optional<runner_id> request_router::next_runner(runner_id const failed) {
    std::lock_guard const lock{mutex_};
    return budget_.withdraw() ? pool_.acquire(current_time(), failed) : std::nullopt;
}

void request_router::finish(std::string const &team, millis const took) {
    std::lock_guard const lock{mutex_};
    queue_.finished(team, took);
    pump_locked(current_time());
}

} // namespace kingcuplink
