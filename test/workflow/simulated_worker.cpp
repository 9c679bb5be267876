#include "simulated_worker.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kingcuplink::test {

namespace {

/*! Ends in one answer. */
constexpr std::size_t most_ends = 500u;

} // namespace

std::string text_of(run_key const &key) {
    return key.job + "." + std::to_string(key.step) + "." + std::to_string(key.index) + " run " +
        std::to_string(key.run);
}

void run_judge::note_intent(run_key const &key, std::string const &worker) {
    intents_.emplace(key, worker);
}

void run_judge::define(job_definition const &job, std::uint32_t const max_attempts) {
    attempts_[job.id] = max_attempts;
}

void run_judge::report(run_key const &key, std::string text) {
    breaches_.push_back({key, std::move(text)});
}

void run_judge::begin(std::string const &worker, run_key const &key) {
    auto const task = task_of(key);
    for(auto const &[where, other]: live_[task]) {
        report(key, "two runs at once: " + text_of(key) + " on " + worker + ", " + text_of(other) + " on " + where);
    }
    if(done_.contains(task)) {
        report(key, "started after its good end was acknowledged: " + text_of(key) + " on " + worker);
    }
    for(auto &[number, end]: open_ends_) {
        // Members of a gang that end well do so together: the same run does not begin again.
        if(task_of(end.key) == task && end.key.run != key.run) {
            end.was_started_again = true;
        }
    }
    if(kept_failures_[task] >= attempts_[key.job]) {
        report(key, "started after its last attempt failed: " + text_of(key) + " on " + worker);
    }
    if(!intents_.contains({key, worker})) {
        report(key, "started without a record: " + text_of(key) + " on " + worker);
    }
    live_[task][worker] = key;
}

void run_judge::vanish(std::string const &worker, run_key const &key) {
    live_[task_of(key)].erase(worker);
}

void run_judge::end(
    std::string const &worker, std::uint64_t const boot, listed_completion const &end, bool const is_gang) {
    vanish(worker, end.key);
    if(end.how == run_outcome::failed) {
        ++failed_[task_of(end.key)];
    }
    if(end.how == run_outcome::failed || end.how == run_outcome::done) {
        open_ends_[{worker, boot, end.number}] = {end.key, end.how, is_gang, false, false};
    }
}

void run_judge::lapse(std::string const &worker) {
    for(auto &[number, end]: open_ends_) {
        end.has_lapsed = end.has_lapsed || std::get<0>(number) == worker;
    }
}

void run_judge::acknowledge(std::string const &worker, std::uint64_t const boot, std::uint64_t const number) {
    auto const first = open_ends_.lower_bound({worker, boot, 0u});
    auto const last = open_ends_.upper_bound({worker, boot, number});
    for(auto pos = first; pos != last; pos = open_ends_.erase(pos)) {
        auto const &end = pos->second;
        if(end.has_lapsed) {
            continue;
        }
        auto const task = task_of(end.key);
        if(end.how == run_outcome::failed) {
            ++kept_failures_[task];
            continue;
        }
        if(end.was_started_again) {
            report(end.key, "a good end was acknowledged after a later start: " + text_of(end.key) + " on " + worker);
        }
        done_.insert(task);
    }
}

std::uint32_t run_judge::failures(task_name const &task) const {
    auto const found = failed_.find(task);
    return found == failed_.end() ? 0u : found->second;
}

simulated_worker::simulated_worker(
    std::string name, resources const capacity, double const clock_rate, run_judge &judge, instant const now)
    : name_{std::move(name)}, capacity_{capacity}, clock_rate_{clock_rate}, judge_{judge}, booted_at_{now} {}

std::int64_t simulated_worker::clock(instant const now) const {
    return static_cast<std::int64_t>(std::floor(static_cast<double>((now - booted_at_).count()) * clock_rate_));
}

worker_registration simulated_worker::registration() const {
    worker_registration entry;
    entry.name = name_;
    entry.address = name_;
    entry.service = "service";
    entry.domain = "domain";
    entry.capacity = capacity_;
    entry.boot = boot_;
    return entry;
}

void simulated_worker::crash() {
    is_up_ = false;
    for(auto const &[key, run]: runs_) {
        judge_.vanish(name_, key);
    }
    judge_.lapse(name_);
    runs_.clear();
    ends_.clear();
    over_.clear();
    for(auto const &item: std::exchange(waiters_, {})) {
        item.reply(nullptr);
    }
}

void simulated_worker::start_again(instant const now) {
    is_up_ = true;
    ++boot_;
    booted_at_ = now;
    token_ = 0u;
    lease_until_ = 0;
    has_lapsed_ = true;
    next_end_ = 1u;
}

resources simulated_worker::used() const {
    resources sum;
    for(auto const &[key, run]: runs_) {
        sum += run.size;
    }
    return sum;
}

void simulated_worker::extend(std::int64_t const expires_at, instant const now) {
    lease_until_ = std::max(lease_until_, std::min(expires_at, clock(now) + longest_hold.count()));
    has_lapsed_ = has_lapsed_ && lease_until_ <= clock(now);
}

start_answer simulated_worker::start(
    run_key const &key, live_run run, std::uint64_t const token, std::int64_t const expires_at, instant const now) {
    advance(now);
    if(token < token_) {
        return start_answer::fenced;
    }
    token_ = token;
    if(expires_at <= clock(now)) {
        return start_answer::late;
    }
    extend(expires_at, now);
    if(runs_.contains(key)) {
        return start_answer::started;
    }
    if(auto const found = over_.find(task_of(key)); found != over_.end() && key.run <= found->second) {
        return start_answer::outdated;
    }
    judge_.begin(name_, key);
    if(!fits(used() + run.size, capacity_)) {
        judge_.report(key, "overcommitted: " + text_of(key) + " on " + name_);
    }
    runs_.emplace(key, std::move(run));
    return start_answer::started;
}

bool simulated_worker::stop(run_key const &key, std::uint64_t const token, millis const grace, instant const now) {
    advance(now);
    if(token < token_) {
        return false;
    }
    token_ = token;
    auto &least = over_[task_of(key)];
    least = std::max(least, key.run);
    if(auto const found = runs_.find(key); found != runs_.end() && !found->second.stops_at) {
        found->second.stops_at = now + grace;
    }
    return true;
}

hold_answer simulated_worker::answer(instant const now) const {
    hold_answer result;
    result.clock = clock(now);
    result.inventory.boot = boot_;
    for(auto const &[key, run]: runs_) {
        result.inventory.running.push_back({key, {}});
    }
    auto const count = std::min(ends_.size(), most_ends);
    result.inventory.ended.assign(ends_.begin(), ends_.begin() + static_cast<std::ptrdiff_t>(count));
    result.inventory.has_all_completions = count < most_ends;
    return result;
}

void simulated_worker::hold(std::uint64_t const token, std::uint64_t const kept_end,
    std::optional<std::int64_t> const expires_at, millis const wait, hold_reply reply, instant const now) {
    advance(now);
    if(token < token_) {
        hold_answer const refused{true, clock(now), {}};
        reply(&refused);
        return;
    }
    token_ = token;
    if(expires_at) {
        extend(*expires_at, now);
    }
    judge_.acknowledge(name_, boot_, kept_end);
    std::erase_if(ends_, [kept_end](auto const &end) { return end.number <= kept_end; });
    if(wait > millis{} && ends_.empty()) {
        waiters_.push_back({std::move(reply), now + wait});
        return;
    }
    auto const told = answer(now);
    reply(&told);
}

void simulated_worker::end_run(run_key const &key, run_outcome const how, instant const now) {
    auto const found = runs_.find(key);
    if(found == runs_.end()) {
        return;
    }
    auto const is_gang = found->second.is_gang;
    runs_.erase(found);
    auto &least = over_[task_of(key)];
    least = std::max(least, key.run);
    ends_.push_back({next_end_++, key, how, {}});
    judge_.end(name_, boot_, ends_.back(), is_gang);
    answer_waiters(now, true);
}

void simulated_worker::answer_waiters(instant const now, bool const all) {
    auto const told = answer(now);
    std::erase_if(waiters_, [&](auto const &item) {
        if(!all && item.until > now) {
            return false;
        }
        item.reply(&told);
        return true;
    });
}

void simulated_worker::advance(instant const now) {
    if(!is_up_) {
        return;
    }
    std::vector<std::pair<run_key, run_outcome>> over;
    auto const is_lapsed = lease_until_ <= clock(now);
    for(auto const &[key, run]: runs_) {
        if(is_lapsed) {
            over.emplace_back(key, run_outcome::lapsed);
        } else if(run.stops_at && *run.stops_at <= now) {
            over.emplace_back(key, run_outcome::stopped);
        } else if(!run.is_gang && run.ends_at <= now) {
            over.emplace_back(key, run.how);
        }
    }
    for(auto const &[key, how]: over) {
        end_run(key, how, now);
    }
    if(is_lapsed && !has_lapsed_) {
        has_lapsed_ = true;
        judge_.lapse(name_);
    }
    answer_waiters(now, false);
}

instant simulated_worker::next_event(instant const now) const {
    auto const lapse = millis{static_cast<std::int64_t>(std::ceil(static_cast<double>(lease_until_) / clock_rate_))};
    auto next = now + millis{1'000};
    auto const consider = [&next, now](instant const at) { next = std::min(next, std::max(at, now + millis{1})); };
    if(!has_lapsed_) {
        consider(booted_at_ + lapse);
    }
    for(auto const &[key, run]: runs_) {
        if(run.stops_at) {
            consider(*run.stops_at);
        }
        if(!run.is_gang) {
            consider(run.ends_at);
        }
    }
    for(auto const &item: waiters_) {
        consider(item.until);
    }
    return next;
}

} // namespace kingcuplink::test
