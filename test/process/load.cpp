#include "load.hpp"

#include <boost/json/serialize.hpp>
#include <kingcuplink/core/hash.hpp>
#include <random>

namespace kingcuplink::test {

namespace {

using verb = boost::beast::http::verb;

constexpr auto job_pause = std::chrono::milliseconds{60};
constexpr millis request_timeout{12'000};

} // namespace

load::load(fleet const &target, std::size_t const request_callers, std::size_t const job_callers) : target_{target} {
    for(std::size_t caller{}; caller < request_callers; ++caller) {
        threads_.emplace_back([this, caller]() { send_requests(caller); });
    }
    for(std::size_t caller{}; caller < job_callers; ++caller) {
        threads_.emplace_back([this, caller]() { submit_jobs(caller); });
    }
}

load::~load() {
    stop();
}

void load::stop() {
    stopping_ = true;
    for(auto &thread: threads_) {
        thread.join();
    }
    threads_.clear();
}

void load::send_requests(std::size_t const caller) {
    std::mt19937_64 random{caller + 1u};
    auto const entry_vms = target_.entry_vms();
    for(std::size_t count{}; !stopping_; ++count) {
        auto const id = "c" + std::to_string(caller) + "-" + std::to_string(count);
        auto const &entry_vm = entry_vms[random() % entry_vms.size()];
        auto const body = "work_ms=" + std::to_string(random() % 20u) +
            " answer_bytes=" + std::to_string(random() % 20'000u);
        told result{.repeatable = random() % 2u == 0u};
        std::map<std::string, std::string> const headers{{"Kingcuplink-Request-Id", id},
            {"Kingcuplink-Repeatable", result.repeatable ? "true" : "false"}, {"Kingcuplink-Deadline-Ms", "5000"}};
        auto const answer = target_.send(entry_vm, verb::post, "/v1/queues/keyed/requests", body,
            random() % 2u == 0u ? "key-red" : "key-blue", headers, request_timeout);
        result.status = answer.status;
        result.not_run = (!answer.answered && !answer.may_have_run) ||
            answer.text.find("\"not_run\":true") != std::string::npos;
        if(answer.status == 200u) {
            result.answered_right = answer.text.starts_with(id + " " + sha256_hex(body));
            result.answered_wrong = !result.answered_right;
            ++answered_;
        }
        if(!answer.answered) {
            std::this_thread::sleep_for(job_pause);
        }
        std::lock_guard const lock{mutex_};
        requests_.emplace(id, result);
    }
}

void load::submit_jobs(std::size_t const caller) {
    std::mt19937_64 random{caller + 1'001u};
    auto const entry_vms = target_.entry_vms();
    for(std::size_t count{}; !stopping_; ++count) {
        auto job = batch_job("load" + std::to_string(caller) + "-" + std::to_string(count),
            static_cast<std::int64_t>(1u + random() % 4u), static_cast<std::int64_t>(100u + random() % 900u));
        if(random() % 5u == 0u) {
            job["kind"] = "gang";
        }
        job["repeatable"] = random() % 2u == 0u;
        auto key = target_.submit(
            entry_vms[random() % entry_vms.size()], random() % 2u == 0u ? "red" : "blue", std::move(job));
        if(!key.empty()) {
            std::lock_guard const lock{mutex_};
            jobs_.push_back(std::move(key));
        }
        std::this_thread::sleep_for(job_pause);
    }
}

std::size_t load::answered() const noexcept {
    return answered_;
}

std::size_t load::jobs() const {
    std::lock_guard const lock{mutex_};
    return jobs_.size();
}

std::string load::verdict(std::chrono::milliseconds const limit) {
    stop();
    std::string text;
    auto const entry_vm = target_.entry_vms().front();
    for(auto const &job: jobs_) {
        std::string state;
        auto const ended = comes_true(
            [&]() {
                state = target_.job_state(entry_vm, job);
                return state == "succeeded" || state == "may_have_run" || state == "failed" || state == "cancelled";
            },
            limit);
        if(!ended || state == "failed" || state == "cancelled") {
            auto const known = target_.send(entry_vm, verb::get, "/v1/jobs/" + job, {}, "operator").text;
            text.append("accepted job " + job + " is " + state + ": " + known);
        }
    }
    auto const record = target_.record();
    auto const &runs = record.at("request_runs").as_object();
    for(auto const &[id, result]: requests_) {
        auto const *count = runs.if_contains(id);
        auto const ran = count == nullptr ? 0 : count->as_int64();
        if(result.answered_wrong) {
            text.append("request " + id + " got an answer that is not its own\n");
        }
        if(result.answered_right && ran == 0) {
            text.append("request " + id + " was answered and never ran\n");
        }
        if(!result.repeatable && ran > 1) {
            text.append("request " + id + " ran " + std::to_string(ran) + " times\n");
        }
        if(result.not_run && ran > 0) {
            text.append(
                "request " + id + " ran although it was told not run (status " + std::to_string(result.status) + ")\n");
        }
    }
    return text + target_.breaches();
}

} // namespace kingcuplink::test
