#include <algorithm>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/placement/state.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 9u> task_state_names{
    "queued", "withheld", "starting", "running", "stopping", "succeeded", "failed", "cancelled", "may_have_run"};
constexpr std::array<std::string_view, 7u> job_state_names{
    "queued", "running", "succeeded", "failed", "cancelled", "may_have_run", "moved"};
constexpr std::array<std::string_view, 6u> stop_reason_names{
    "cancelled", "preempted", "excess_use", "over_ceiling", "domain_out", "gang_broken"};

bool accepts_tasks(worker_record const &worker) {
    return worker.usable && worker.quarantined_until == instant{} && worker.reserved_for.is_null() &&
        !(worker.on_probation && !worker.tasks.empty());
}

bool is_eligible(job_record const &job, instant const now) {
    if(is_final(job.state) || job.cancelled || job.pending.empty() || job.not_before > now) {
        return false;
    }
    auto const is_fully_pending = static_cast<std::int64_t>(job.pending.size()) == job.unfinished;
    return job.spec.kind != job_kind::gang || is_fully_pending || !job.spec.repeatable;
}

queue_position position_of(job_record const &job) {
    return {!job.spec.urgent, job.accepted_at, job.sequence};
}

job_state final_state_of(placement_state const &state, job_record const &job) {
    auto worst = task_state::succeeded;
    for(auto const task: job.tasks) {
        worst = std::max(worst, state.tasks[task].state);
    }
    switch(worst) {
    case task_state::failed:
        return job_state::failed;
    case task_state::cancelled:
        return job_state::cancelled;
    case task_state::may_have_run:
        return job_state::may_have_run;
    default:
        return job_state::succeeded;
    }
}

void erase_oldest_job(placement_state &state) {
    auto const oldest = state.ended_order.front();
    state.ended_order.pop_front();
    auto const *job = state.jobs.find(oldest);
    if(job == nullptr) {
        return;
    }
    for(auto const task: job->tasks) {
        state.tasks.erase(task);
    }
    if(auto const known = state.jobs_by_key.find(job->key);
        known != state.jobs_by_key.end() && known->second == oldest) {
        state.jobs_by_key.erase(known);
    }
    state.jobs.erase(oldest);
}

void end_job(placement_state &state, job_id const id, instant const now) {
    auto &job = state.jobs[id];
    if(!is_final(job.state)) {
        job.state = final_state_of(state, job);
    }
    job.ended_at = now;
    release_reservations(state, id);
    requeue(state, id, now);
    state.ended.push_back(id);
    state.ended_order.push_back(id);
    if(state.ended_order.size() > config::ended_jobs_kept) {
        erase_oldest_job(state);
    }
}

kind_policy const &policy_of(placement_state const &state, job_record const &job) noexcept {
    return state.policies[static_cast<std::size_t>(job.spec.kind)];
}

void reindex(placement_state &state, worker_id const id) {
    auto const &worker = state.workers[id];
    if(accepts_tasks(worker)) {
        state.index.set(id, free_of(worker));
    } else {
        state.index.erase(id);
    }
}

void assign(placement_state &state, task_id const id, worker_id const worker, resources const &charge) {
    auto &task = state.tasks[id];
    auto &job = state.jobs[task.job];
    auto &team = state.teams[job.team];
    task.worker = worker;
    task.charge = charge;
    state.workers[worker].charged += charge;
    state.workers[worker].tasks.push_back(id);
    team.charged += charge;
    if(job.spec.urgent) {
        team.urgent_charged += charge;
    }
    ++job.on_workers;
    reindex(state, worker);
}

void unassign(placement_state &state, task_id const id) {
    auto &task = state.tasks[id];
    auto &job = state.jobs[task.job];
    auto &team = state.teams[job.team];
    auto &worker = state.workers[task.worker];
    worker.charged -= task.charge;
    std::erase(worker.tasks, id);
    team.charged -= task.charge;
    if(job.spec.urgent) {
        team.urgent_charged -= task.charge;
    }
    --job.on_workers;
    task.charge = {};
    reindex(state, task.worker);
}

void requeue(placement_state &state, job_id const id, instant const now) {
    auto &job = state.jobs[id];
    auto const wanted = is_eligible(job, now);
    if(wanted != job.enqueued) {
        auto &queue = state.queues[job.team.index];
        if(wanted) {
            queue.emplace(position_of(job), id);
        } else {
            queue.erase(position_of(job));
        }
        state.teams[job.team].queued_jobs += wanted ? 1 : -1;
        job.enqueued = wanted;
    }
    if(!wanted && !job.pending.empty() && job.not_before > now && !job.cancelled) {
        state.delayed.emplace(job.not_before, id);
    }
}

void finish_task(placement_state &state, task_id const id, task_state const final_state, instant const now) {
    auto &task = state.tasks[id];
    if(is_final(task.state)) {
        return;
    }
    task.state = final_state;
    auto &job = state.jobs[task.job];
    std::erase(job.pending, id);
    if(--job.unfinished == 0) {
        end_job(state, task.job, now);
    }
}

void make_pending(placement_state &state, task_id const id) {
    auto &task = state.tasks[id];
    task.state = task_state::queued;
    task.throttled = false;
    state.jobs[task.job].pending.push_back(id);
}

void request_stop(placement_state &state, task_id const id, stop_reason const reason) {
    auto &task = state.tasks[id];
    if(task.state != task_state::starting && task.state != task_state::running) {
        return;
    }
    task.state = task_state::stopping;
    task.stopped_for = reason;
    state.pending_stops.push_back({id, reason});
}

void release_reservations(placement_state &state, job_id const job) {
    std::erase_if(state.reserved, [&](worker_id const id) {
        auto *worker = state.workers.find(id);
        if(worker != nullptr && worker->reserved_for != job) {
            return false;
        }
        if(worker != nullptr) {
            worker->reserved_for = {};
            reindex(state, id);
        }
        return true;
    });
}

void record_worker_failure(placement_state &state, worker_id const id, job_id const job, instant const now) {
    auto &worker = state.workers[id];
    worker.failing_jobs.insert(job);
    if(worker.quarantined_until != instant{} ||
        (worker.failing_jobs.size() < config::quarantine_jobs && !worker.on_probation)) {
        return;
    }
    worker.quarantine = worker.quarantine.count() == 0 ? config::quarantine_first
                                                       : std::min(2 * worker.quarantine, config::quarantine_limit);
    worker.quarantined_until = now + worker.quarantine;
    state.quarantined.emplace(worker.quarantined_until, id);
    reindex(state, id);
}

void record_worker_success(placement_state &state, worker_id const id) {
    auto &worker = state.workers[id];
    worker.failing_jobs.clear();
    worker.on_probation = false;
    worker.quarantine = {};
    reindex(state, id);
}

double share_target(placement_state const &state, team_id const id) {
    std::int64_t active{};
    for(auto const &team: state.teams.values()) {
        auto const has_work = team.queued_jobs > 0 || team.charged != resources{};
        active += has_work ? team.share : 0;
    }
    return active == 0 ? 1.0 : static_cast<double>(state.teams[id].share) / static_cast<double>(active);
}

} // namespace internal

std::string_view name_of(task_state const state) noexcept {
    return internal::task_state_names[static_cast<std::size_t>(state)];
}

std::string_view name_of(stop_reason const reason) noexcept {
    return internal::stop_reason_names[static_cast<std::size_t>(reason)];
}

std::string_view name_of(job_state const state) noexcept {
    return internal::job_state_names[static_cast<std::size_t>(state)];
}

} // namespace kingcuplink
