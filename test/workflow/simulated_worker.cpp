#include "simulated_worker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcuplink::test {

namespace {

/*! Most completions in one answer to a poll. */
constexpr std::size_t max_completions_per_answer = 500u;

} // namespace

std::string text_of(run_key const &key) {
    return key.job + "." + std::to_string(key.step) + "." + std::to_string(key.index) + " run " +
        std::to_string(key.run);
}

void invariant_checker::record_intent(run_key const &key, std::string const &worker) {
    intents_.emplace(key, worker);
    assignments_[task_of(key)][key.run].insert(worker);
}

void invariant_checker::define(job_definition const &job, std::uint32_t const max_attempts) {
    max_attempts_[job.id] = max_attempts;
}

void invariant_checker::report(run_key const &key, std::string text) {
    violations_.push_back({key, std::move(text)});
}

void invariant_checker::count_near_misses(std::string const &worker, run_key const &key, instant const now) {
    auto const task = task_of(key);
    auto const &runs = assignments_[task];
    auto const later = runs.lower_bound(key.run);
    if(later == runs.begin()) {
        return;
    }
    ++near_misses_.restarts;
    auto const may_begin = [&](std::uint32_t const run, std::string const &other) {
        auto earlier = key;
        earlier.run = run;
        return other != worker && leased_workers_.contains(other) && !ended_runs_.contains({earlier, other});
    };
    auto const is_near_miss = std::any_of(runs.begin(), later, [&](auto const &row) {
        return std::any_of(
            row.second.begin(), row.second.end(), [&](auto const &other) { return may_begin(row.first, other); });
    });
    near_misses_.restarts_under_live_lease += is_near_miss ? 1u : 0u;
    if(auto const lapsed = lapses_.find(task); lapsed != lapses_.end()) {
        ++near_misses_.restarts_after_lapse;
        near_misses_.shortest_time_after_lapse = std::min(near_misses_.shortest_time_after_lapse, now - lapsed->second);
        lapses_.erase(lapsed);
    }
}

void invariant_checker::reject_start(run_key const &key, start_answer const reason) {
    auto const &runs = assignments_[task_of(key)];
    if(runs.upper_bound(key.run) == runs.end()) {
        return;
    }
    switch(reason) {
    case start_answer::fenced:
        ++near_misses_.stale_starts_fenced;
        break;
    case start_answer::late:
        ++near_misses_.stale_starts_expired;
        break;
    case start_answer::outdated:
        ++near_misses_.stale_starts_outdated;
        break;
    case start_answer::other_boot:
        ++near_misses_.stale_starts_for_former_worker;
        break;
    case start_answer::bad_ticket:
        ++near_misses_.stale_starts_without_ticket;
        break;
    default:
        break;
    }
}

void invariant_checker::begin(std::string const &worker, run_key const &key, instant const now) {
    auto const task = task_of(key);
    count_near_misses(worker, key, now);
    for(auto const &[host, other]: running_runs_[task]) {
        report(key, "concurrent runs: " + text_of(key) + " on " + worker + ", " + text_of(other) + " on " + host);
    }
    if(succeeded_tasks_.contains(task)) {
        report(key, "started after its successful completion was acknowledged: " + text_of(key) + " on " + worker);
    }
    if(shown_done_.contains(key.job)) {
        report(key, "started after its job was shown as done: " + text_of(key) + " on " + worker);
    }
    for(auto &[number, end]: pending_completions_) {
        // A start of the same run is no restart: the members of a gang complete successfully together.
        if(task_of(end.key) == task && end.key.run != key.run) {
            end.was_restarted = true;
        }
    }
    if(acknowledged_failures_[task] >= max_attempts_[key.job]) {
        report(key, "started after its last attempt failed: " + text_of(key) + " on " + worker);
    }
    if(!intents_.contains({key, worker})) {
        report(key, "started without an intent in the log: " + text_of(key) + " on " + worker);
    }
    running_runs_[task][worker] = key;
}

void invariant_checker::record_lost_run(std::string const &worker, run_key const &key) {
    running_runs_[task_of(key)].erase(worker);
}

void invariant_checker::end(std::string const &worker, std::uint64_t const boot, listed_completion const &end,
    bool const is_gang, instant const now) {
    record_lost_run(worker, end.key);
    ended_runs_.emplace(end.key, worker);
    if(end.how == run_outcome::lapsed) {
        lapses_[task_of(end.key)] = now;
    }
    if(end.how == run_outcome::failed) {
        ++failure_counts_[task_of(end.key)];
    }
    if(end.how == run_outcome::failed || end.how == run_outcome::done) {
        pending_completions_[{worker, boot, end.number}] = {end.key, end.how, is_gang, false, false};
    }
}

void invariant_checker::record_lease(std::string const &worker) {
    leased_workers_.insert(worker);
}

void invariant_checker::record_lease_expiry(std::string const &worker) {
    leased_workers_.erase(worker);
    for(auto &[number, end]: pending_completions_) {
        end.lease_expired = end.lease_expired || std::get<0>(number) == worker;
    }
}

void invariant_checker::acknowledge(std::string const &worker, std::uint64_t const boot, std::uint64_t const number) {
    auto const first = pending_completions_.lower_bound({worker, boot, 0u});
    auto const last = pending_completions_.upper_bound({worker, boot, number});
    for(auto pos = first; pos != last; pos = pending_completions_.erase(pos)) {
        auto const &end = pos->second;
        if(end.lease_expired) {
            continue;
        }
        auto const task = task_of(end.key);
        if(end.how == run_outcome::failed) {
            ++acknowledged_failures_[task];
            continue;
        }
        if(end.was_restarted) {
            report(end.key,
                "a successful completion was acknowledged after a later start: " + text_of(end.key) + " on " + worker);
        }
        succeeded_tasks_.insert(task);
    }
}

std::uint32_t invariant_checker::failures(task_key const &task) const {
    auto const found = failure_counts_.find(task);
    return found == failure_counts_.end() ? 0u : found->second;
}

simulated_worker::simulated_worker(std::string name, resources const capacity, double const clock_rate,
    millis const lease_limit, invariant_checker &checker, instant const now)
    : name_{std::move(name)},
      address_{name_},
      capacity_{capacity},
      clock_rate_{clock_rate},
      lease_limit_{lease_limit},
      checker_{checker},
      booted_at_{now} {}

std::int64_t simulated_worker::clock(instant const now) const {
    return static_cast<std::int64_t>(std::floor(static_cast<double>((now - booted_at_).count()) * clock_rate_));
}

worker_registration simulated_worker::registration() const {
    worker_registration entry;
    entry.name = name_;
    entry.address = address_;
    entry.service = "service";
    entry.domain = "domain";
    entry.capacity = capacity_;
    entry.boot = boot_;
    entry.leaving = is_leaving_;
    return entry;
}

void simulated_worker::crash() {
    is_up_ = false;
    for(auto const &[key, run]: runs_) {
        checker_.record_lost_run(name_, key);
    }
    checker_.record_lease_expiry(name_);
    runs_.clear();
    completions_.clear();
    latest_finished_runs_.clear();
    for(auto const &item: std::exchange(waiters_, {})) {
        item.reply(nullptr);
    }
}

void simulated_worker::restart(instant const now, std::optional<std::string> name) {
    name_ = std::move(name).value_or(name_);
    is_up_ = true;
    is_leaving_ = false;
    rejects_starts_until_ = {};
    ++boot_;
    booted_at_ = now;
    highest_token_ = 0u;
    lease_expires_at_ = 0;
    lease_expired_ = true;
    next_completion_ = 1u;
}

void simulated_worker::stall(millis const time) {
    for(auto &[key, run]: runs_) {
        run.ends_at += run.is_gang ? millis{} : time;
    }
}

resources simulated_worker::used() const {
    resources sum;
    for(auto const &[key, run]: runs_) {
        sum += run.size;
    }
    return sum;
}

void simulated_worker::extend(std::int64_t const expires_at, instant const now) {
    lease_expires_at_ = std::max(lease_expires_at_, std::min(expires_at, clock(now) + lease_limit_.count()));
    lease_expired_ = lease_expired_ && lease_expires_at_ <= clock(now);
    if(!lease_expired_) {
        checker_.record_lease(name_);
    }
}

start_answer simulated_worker::start(run_key const &key, live_run run, std::uint64_t const token,
    std::int64_t const expires_at, bool const has_ticket, instant const now) {
    advance(now);
    if(token < highest_token_) {
        return start_answer::fenced;
    }
    if(rejects_starts_until_ > now) {
        return start_answer::unhealthy;
    }
    highest_token_ = token;
    if(expires_at <= clock(now)) {
        return start_answer::late;
    }
    auto const is_running = runs_.contains(key);
    auto const finished = latest_finished_runs_.find(task_of(key));
    auto const is_outdated = finished != latest_finished_runs_.end() && key.run <= finished->second;
    if(!is_running && !is_outdated && !has_ticket) {
        // Such a start does not extend the lease.
        return start_answer::bad_ticket;
    }
    extend(expires_at, now);
    if(is_running) {
        return start_answer::started;
    }
    if(is_outdated) {
        return start_answer::outdated;
    }
    checker_.begin(name_, key, now);
    if(!fits(used() + run.size, capacity_)) {
        checker_.report(key, "exceeds the capacity of its worker: " + text_of(key) + " on " + name_);
    }
    runs_.emplace(key, std::move(run));
    return start_answer::started;
}

bool simulated_worker::stop(run_key const &key, std::uint64_t const token, millis const grace, instant const now) {
    advance(now);
    if(token < highest_token_) {
        return false;
    }
    highest_token_ = token;
    auto &latest = latest_finished_runs_[task_of(key)];
    latest = std::max(latest, key.run);
    if(auto const found = runs_.find(key); found != runs_.end() && !found->second.stops_at) {
        found->second.stops_at = now + grace;
    }
    return true;
}

poll_answer simulated_worker::answer(instant const now) const {
    poll_answer result;
    result.clock = clock(now);
    result.inventory.boot = boot_;
    result.inventory.listed_at_ms = result.clock;
    for(auto const &[key, run]: runs_) {
        result.inventory.running.push_back({key, {}});
    }
    auto const count = std::min(completions_.size(), max_completions_per_answer);
    result.inventory.ended.assign(completions_.begin(), completions_.begin() + static_cast<std::ptrdiff_t>(count));
    result.inventory.has_all_completions = count < max_completions_per_answer;
    return result;
}

void simulated_worker::poll(std::uint64_t const token, std::uint64_t const kept_end,
    std::optional<std::int64_t> const expires_at, millis const wait, poll_reply reply, instant const now) {
    advance(now);
    if(token < highest_token_) {
        poll_answer const refused{true, false, clock(now), {}};
        reply(&refused);
        return;
    }
    highest_token_ = token;
    if(expires_at) {
        extend(*expires_at, now);
    }
    checker_.acknowledge(name_, boot_, kept_end);
    std::erase_if(completions_, [kept_end](auto const &end) { return end.number <= kept_end; });
    if(wait > millis{} && completions_.empty()) {
        waiters_.push_back({std::move(reply), now + wait});
        return;
    }
    auto const current = answer(now);
    reply(&current);
}

void simulated_worker::end_run(run_key const &key, run_outcome const how, instant const now) {
    auto const found = runs_.find(key);
    if(found == runs_.end()) {
        return;
    }
    auto const is_gang = found->second.is_gang;
    runs_.erase(found);
    auto &latest = latest_finished_runs_[task_of(key)];
    latest = std::max(latest, key.run);
    completions_.push_back({next_completion_++, key, how, {}});
    checker_.end(name_, boot_, completions_.back(), is_gang, now);
    answer_waiters(now, true);
}

void simulated_worker::answer_waiters(instant const now, bool const all) {
    auto const current = answer(now);
    std::erase_if(waiters_, [&](auto const &item) {
        if(!all && item.until > now) {
            return false;
        }
        item.reply(&current);
        return true;
    });
}

void simulated_worker::advance(instant const now) {
    if(!is_up_) {
        return;
    }
    std::vector<std::pair<run_key, run_outcome>> ended;
    auto const is_expired = lease_expires_at_ <= clock(now);
    for(auto const &[key, run]: runs_) {
        if(is_expired) {
            ended.emplace_back(key, run_outcome::lapsed);
        } else if(run.stops_at && *run.stops_at <= now) {
            ended.emplace_back(key, run_outcome::stopped);
        } else if(!run.is_gang && run.ends_at <= now) {
            ended.emplace_back(key, run.how);
        }
    }
    for(auto const &[key, how]: ended) {
        end_run(key, how, now);
    }
    if(is_expired && !lease_expired_) {
        lease_expired_ = true;
        checker_.record_lease_expiry(name_);
    }
    answer_waiters(now, false);
}

instant simulated_worker::next_event(instant const now) const {
    auto const lease_end = millis{
        static_cast<std::int64_t>(std::ceil(static_cast<double>(lease_expires_at_) / clock_rate_))};
    auto next = now + millis{1'000};
    auto const limit_to = [&next, now](instant const at) { next = std::min(next, std::max(at, now + millis{1})); };
    if(!lease_expired_) {
        limit_to(booted_at_ + lease_end);
    }
    for(auto const &[key, run]: runs_) {
        if(run.stops_at) {
            limit_to(*run.stops_at);
        }
        if(!run.is_gang) {
            limit_to(run.ends_at);
        }
    }
    for(auto const &item: waiters_) {
        limit_to(item.until);
    }
    return next;
}

} // namespace kingcuplink::test
