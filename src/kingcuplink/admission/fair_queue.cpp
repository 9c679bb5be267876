#include <algorithm>
#include <cmath>
#include <kingcuplink/admission/fair_queue.hpp>
#include <kingcuplink/core/config.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr double latest_run_weight = 0.05;
/*! Mean deviations of the run time that a queued request needs before its deadline, on top of the average run time. */
constexpr double required_deviations = 2.0;
/*! Upper limit of this margin as a fraction of the average run time. */
constexpr double max_deviation_fraction = 0.25;

} // namespace internal

void fair_queue::set_limits(std::vector<team_limits> const &limits) {
    for(auto &[name, team]: teams_) {
        team.max_running = 0;
    }
    for(auto const &item: limits) {
        auto &team = teams_[item.name];
        team.share = item.share;
        team.max_running = item.max_running;
    }
}

result<fair_queue::ticket> fair_queue::push(std::string_view const name, instant const deadline, instant const now) {
    auto const found = teams_.find(name);
    if(found == teams_.end() || found->second.max_running == 0) {
        return refuse(refusal::ceiling_reached, "team " + std::string{name} + " may run no request on this entry VM");
    }
    auto &team = found->second;
    if(team.requests.size() >= config::queued_requests_per_team) {
        return refuse(
            refusal::queue_full, std::to_string(team.requests.size()) + " requests of team " + found->first + " wait");
    }
    auto const wait = expected_wait(name);
    auto const run = wait > millis{} ? millis{static_cast<std::int64_t>(required_run_ms())} : millis{};
    if(now + wait + run >= deadline) {
        return refuse(refusal::deadline_too_short, "expected wait is " + std::to_string(wait.count()) + " ms");
    }
    if(team.requests.empty()) {
        team.virtual_time = std::max(team.virtual_time, virtual_time_);
    }
    auto const id = ++next_ticket_;
    team.requests.push_back({id, deadline, now});
    tickets_.emplace(id, found->first);
    return id;
}

fair_queue::team_queue *fair_queue::next_team() {
    team_queue *best = nullptr;
    for(auto &[name, team]: teams_) {
        auto const is_open = !team.requests.empty() && team.running < team.max_running;
        if(is_open && (best == nullptr || team.virtual_time < best->virtual_time)) {
            best = &team;
        }
    }
    return best;
}

std::optional<fair_queue::ticket> fair_queue::pop(instant const now) {
    for(auto *team = next_team(); team != nullptr; team = next_team()) {
        auto const request = team->requests.front();
        team->requests.pop_front();
        tickets_.erase(request.id);
        if(!can_meet_deadline(request, now)) {
            dropped_.push_back(request.id);
            continue;
        }
        virtual_time_ = team->virtual_time;
        team->virtual_time += 1.0 / static_cast<double>(team->share);
        ++team->running;
        ++running_;
        return request.id;
    }
    return std::nullopt;
}

bool fair_queue::can_meet_deadline(queued_request const &request, instant const now) const {
    auto const has_waited = now > request.queued_at;
    auto const required = has_waited ? required_run_ms() : 0.0;
    return request.deadline > now + millis{static_cast<std::int64_t>(required)};
}

double fair_queue::required_run_ms() const noexcept {
    return run_ms_ +
        std::min(internal::required_deviations * run_deviation_ms_, internal::max_deviation_fraction * run_ms_);
}

std::vector<fair_queue::ticket> fair_queue::take_dropped() {
    return std::exchange(dropped_, {});
}

bool fair_queue::erase(ticket const value) {
    auto const found = tickets_.find(value);
    if(found == tickets_.end()) {
        return false;
    }
    std::erase_if(
        teams_.find(found->second)->second.requests, [&](auto const &request) { return request.id == value; });
    tickets_.erase(found);
    return true;
}

void fair_queue::finished(std::string_view const name, millis const took) {
    auto const found = teams_.find(name);
    if(found == teams_.end()) {
        return;
    }
    --found->second.running;
    --running_;
    auto const ms = static_cast<double>(took.count());
    auto const difference = run_ms_ == 0.0 ? 0.0 : ms - run_ms_;
    run_ms_ = run_ms_ == 0.0 ? ms : run_ms_ + internal::latest_run_weight * difference;
    run_deviation_ms_ += internal::latest_run_weight * (std::abs(difference) - run_deviation_ms_);
}

std::size_t fair_queue::waiting() const noexcept {
    return tickets_.size();
}

std::int64_t fair_queue::running() const noexcept {
    return running_;
}

millis fair_queue::expected_wait(std::string_view const name) const {
    auto const found = teams_.find(name);
    if(found == teams_.end() || found->second.requests.empty()) {
        return millis{};
    }
    std::int64_t active{};
    for(auto const &[other, team]: teams_) {
        active += team.requests.empty() ? 0 : team.share;
    }
    auto const part = static_cast<double>(found->second.share) / static_cast<double>(std::max<std::int64_t>(active, 1));
    auto const concurrency = static_cast<double>(std::max<std::int64_t>(running_, 1)) * part;
    return millis{
        static_cast<std::int64_t>(static_cast<double>(found->second.requests.size()) * run_ms_ / concurrency)};
}

} // namespace kingcuplink
