#include <algorithm>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/placement/planner.hpp>

namespace kingcuplink::internal {

constexpr std::size_t max_workers_examined = 64u;
constexpr std::size_t max_reserved_jobs = 4u;
constexpr millis min_preemption_age{2'000};
constexpr millis reservation_interval{1'000};

std::int64_t tasks_fitting(resources const &free, resources const &need) {
    std::int64_t count{};
    for(auto rest = free - need; fits(resources{}, rest); rest -= need) {
        ++count;
    }
    return count;
}

std::int64_t tasks_wanted(job_record const &job) {
    return job.spec.kind == job_kind::gang ? static_cast<std::int64_t>(job.pending.size()) : 1;
}

bool has_reservation(placement_state const &state, job_id const job) {
    return std::any_of(state.reserved.begin(), state.reserved.end(),
        [&](auto const id) { return state.workers[id].reserved_for == job; });
}

void reserve(placement_state &state, worker_id const id, job_id const job, instant const now, instant const until) {
    auto &worker = state.workers[id];
    worker.reserved_for = job;
    worker.reserved_at = now;
    worker.reserved_until = until;
    state.reserved.push_back(id);
    reindex(state, id);
}

bool planner::may_preempt(job_record const &job) const {
    auto const &team = state_.teams[job.team];
    if(job.spec.urgent && is_within_urgent_reserve(team)) {
        return true;
    }
    auto const wanted = team.charged + job.task_charge * tasks_wanted(job);
    return now_ - job.accepted_at >= min_preemption_age &&
        dominant_fraction(wanted, state_.total) <= share_target(state_, job.team);
}

bool planner::is_victim(task_record const &task, job_record const &claimant) const {
    auto const &job = state_.jobs[task.job];
    if(task.state != task_state::running || job.spec.urgent || !job.spec.repeatable ||
        !policy_of(state_, job).preemptible) {
        return false;
    }
    auto const rest = state_.teams[job.team].charged - task.charge;
    return claimant.spec.urgent ||
        (job.team != claimant.team && dominant_fraction(rest, state_.total) >= share_target(state_, job.team));
}

std::vector<task_id> planner::victims_on(
    worker_record const &worker, job_record const &claimant, std::int64_t const wanted) const {
    std::vector<task_id> victims;
    std::vector<task_id> candidates;
    std::copy_if(worker.tasks.begin(), worker.tasks.end(), std::back_inserter(candidates),
        [&](auto const id) { return is_victim(state_.tasks[id], claimant); });
    std::sort(candidates.begin(), candidates.end(),
        [&](auto const lhs, auto const rhs) { return state_.tasks[lhs].started_at > state_.tasks[rhs].started_at; });
    auto free = free_of(worker);
    for(auto const id: candidates) {
        if(tasks_fitting(free, claimant.task_charge) >= wanted) {
            break;
        }
        free += state_.tasks[id].charge;
        victims.push_back(id);
    }
    if(tasks_fitting(free, claimant.task_charge) == 0) {
        victims.clear();
    }
    return victims;
}

bool planner::preempt_for(job_id const id) {
    auto const &job = state_.jobs[id];
    auto wanted = tasks_wanted(job);
    std::vector<std::pair<worker_id, std::vector<task_id>>> chosen;
    auto const workers = state_.workers.ids();
    auto const examined = wanted == 1 ? std::min(max_workers_examined, workers.size()) : workers.size();
    for(std::size_t pos{}; pos < examined && wanted > 0; ++pos) {
        auto const worker_ref = workers[(state_.preemption_cursor + pos) % workers.size()];
        auto const &worker = state_.workers[worker_ref];
        if(!state_.index.contains(worker_ref) || !gate_.permits(state_.teams[job.team], worker, job.task_charge)) {
            continue;
        }
        auto victims = victims_on(worker, job, wanted);
        auto freed = free_of(worker);
        for(auto const victim: victims) {
            freed += state_.tasks[victim].charge;
        }
        auto const fitting = tasks_fitting(freed, job.task_charge);
        if(fitting == 0) {
            continue;
        }
        if(job.spec.kind != job_kind::gang && !chosen.empty()) {
            if(victims.size() < chosen.front().second.size()) {
                chosen.front() = {worker_ref, std::move(victims)};
            }
            continue;
        }
        chosen.emplace_back(worker_ref, std::move(victims));
        wanted -= job.spec.kind == job_kind::gang ? fitting : 0;
    }
    state_.preemption_cursor += examined;
    if(chosen.empty() || (job.spec.kind == job_kind::gang && wanted > 0)) {
        return false;
    }
    for(auto const &[worker, victims]: chosen) {
        reserve(state_, worker, id, now_, now_);
        for(auto const victim: victims) {
            request_stop(state_, victim, stop_reason::preempted);
            ++preemptions_;
        }
    }
    return true;
}

void planner::preempt_for_blocked() {
    auto const is_urgent = [&](job_id const id) { return state_.jobs[id].spec.urgent; };
    std::stable_partition(blocked_.begin(), blocked_.end(), is_urgent);
    for(auto const id: blocked_) {
        if(preemptions_ >= config::preemptions_per_round) {
            return;
        }
        auto const &job = state_.jobs[id];
        if(job.enqueued && !has_reservation(state_, id) && may_preempt(job)) {
            preempt_for(id);
        }
    }
}

bool planner::needs_reservation(job_record const &job) const {
    auto const &team = state_.teams[job.team];
    auto const is_below_share = dominant_fraction(team.charged, state_.total) <= share_target(state_, job.team);
    return now_ - job.accepted_at >= config::gang_reservation_age && is_below_share && state_.workers.size() > 0u &&
        gate_.permits(team, state_.workers.values().front(), job.task_charge * tasks_wanted(job));
}

bool planner::reserve_for(job_id const id) {
    struct offer {
        instant ready;
        worker_id worker;
        std::int64_t tasks;
    };
    auto const &job = state_.jobs[id];
    std::vector<offer> offers;
    std::vector<task_id> ending;
    for(auto const worker_ref: state_.workers.ids()) {
        auto const &worker = state_.workers[worker_ref];
        if(!state_.index.contains(worker_ref)) {
            continue;
        }
        ending = worker.tasks;
        std::sort(ending.begin(), ending.end(), [&](auto const lhs, auto const rhs) {
            return state_.tasks[lhs].expected_end < state_.tasks[rhs].expected_end;
        });
        auto free = free_of(worker);
        auto ready = now_;
        for(auto task = ending.begin();
            task != ending.end() && !fits(job.task_charge, free) && state_.tasks[*task].expected_end != instant::max();
            ++task) {
            free += state_.tasks[*task].charge;
            ready = std::max(ready, state_.tasks[*task].expected_end);
        }
        if(auto const fitting = tasks_fitting(free, job.task_charge); fitting > 0) {
            offers.push_back({ready, worker_ref, fitting});
        }
    }
    std::sort(offers.begin(), offers.end(), [](auto const &lhs, auto const &rhs) { return lhs.ready < rhs.ready; });
    auto wanted = tasks_wanted(job);
    auto last = offers.begin();
    for(; last != offers.end() && wanted > 0; ++last) {
        wanted -= last->tasks;
    }
    if(wanted > 0) {
        return false;
    }
    auto const until = std::prev(last)->ready;
    std::for_each(offers.begin(), last, [&](auto const &value) { reserve(state_, value.worker, id, now_, until); });
    return true;
}

void planner::reserve_for_blocked() {
    if(now_ < state_.next_reservation) {
        return;
    }
    std::set<job_id> reserved;
    for(auto const id: state_.reserved) {
        reserved.insert(state_.workers[id].reserved_for);
    }
    for(auto const id: blocked_) {
        if(reserved.size() >= max_reserved_jobs) {
            return;
        }
        auto const &job = state_.jobs[id];
        if(!job.enqueued || reserved.contains(id) || !needs_reservation(job)) {
            continue;
        }
        state_.next_reservation = now_ + reservation_interval;
        if(reserve_for(id)) {
            reserved.insert(id);
        }
    }
}

} // namespace kingcuplink::internal
