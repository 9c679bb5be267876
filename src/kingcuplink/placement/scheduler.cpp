#include <algorithm>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/placement/planner.hpp>
#include <kingcuplink/placement/scheduler.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::uint32_t max_backoff_exponent = 6u;

millis backoff_after(std::uint32_t const failures) {
    auto const step = std::min(failures, max_backoff_exponent);
    return std::min(config::task_backoff_first * (std::int64_t{1} << step), config::task_backoff_limit);
}

bool is_starting_or_running(task_state const state) {
    return state == task_state::starting || state == task_state::running;
}

} // namespace internal

scheduler::scheduler(scheduler_options const options) : options_{options} {
    state_.policies[static_cast<std::size_t>(job_kind::batch)].preemptible = true;
}

void scheduler::set_policies(std::span<kind_policy const, job_kind_count> const policies) {
    std::copy(policies.begin(), policies.end(), state_.policies.begin());
}

worker_id scheduler::add_worker(std::string_view const name, std::string_view const rack, resources const &size) {
    std::string const key{name};
    if(auto const known = state_.workers_by_name.find(key); known != state_.workers_by_name.end()) {
        return known->second;
    }
    auto const [entry, added] = state_.racks_by_name.try_emplace(std::string{rack});
    if(added) {
        entry->second = state_.racks.emplace(internal::rack_record{.name = std::string{rack}});
    }
    auto const id = state_.workers.emplace(worker_record{.name = key, .rack = entry->second, .size = size});
    state_.racks[entry->second].workers.push_back(id);
    state_.workers_by_name.emplace(key, id);
    return id;
}

void scheduler::set_usable(worker_id const id, bool const usable) {
    auto *worker = state_.workers.find(id);
    if(worker == nullptr || worker->usable == usable) {
        return;
    }
    worker->usable = usable;
    if(usable) {
        state_.total += worker->size;
    } else {
        state_.total -= worker->size;
        worker->reserved_for = {};
        std::erase(state_.reserved, id);
    }
    internal::reindex(state_, id);
}

team_id scheduler::set_team(std::string_view const name, std::int64_t const share) {
    std::string const key{name};
    auto const [entry, added] = state_.teams_by_name.try_emplace(key);
    if(added) {
        entry->second = state_.teams.emplace(team_record{.name = key});
        state_.queues.resize(std::max<std::size_t>(state_.queues.size(), entry->second.index + 1u));
    }
    state_.teams[entry->second].share = share;
    return entry->second;
}

job_id scheduler::submit(std::string key, job_spec const &spec, instant const accepted_at, bool const withheld) {
    if(auto const known = state_.jobs_by_key.find(key); known != state_.jobs_by_key.end()) {
        if(state_.jobs[known->second].state != job_state::moved) {
            return known->second;
        }
        state_.jobs_by_key.erase(known);
    }
    auto const team = state_.teams_by_name.contains(spec.team) ? state_.teams_by_name.at(spec.team)
                                                               : set_team(spec.team, 1);
    auto const id = state_.jobs.emplace(job_record{.key = key,
        .spec = spec,
        .team = team,
        .accepted_at = accepted_at,
        .sequence = ++state_.next_sequence,
        .unfinished = spec.count});
    auto &job = state_.jobs[id];
    job.task_charge = options_.learn_from_history ? state_.history.expected_size(spec.team, spec.name, spec.task_size)
                                                  : spec.task_size;
    for(std::int64_t ordinal{}; ordinal < spec.count; ++ordinal) {
        job.tasks.push_back(state_.tasks.emplace(
            task_record{.job = id, .ordinal = ordinal, .state = withheld ? task_state::withheld : task_state::queued}));
    }
    if(!withheld) {
        job.pending.assign(job.tasks.rbegin(), job.tasks.rend());
    }
    state_.jobs_by_key.emplace(std::move(key), id);
    internal::requeue(state_, id, accepted_at);
    return id;
}

bool scheduler::cancel(job_id const id, instant const now) {
    auto *job = state_.jobs.find(id);
    if(job == nullptr || is_final(job->state)) {
        return false;
    }
    job->cancelled = true;
    internal::release_reservations(state_, id);
    internal::requeue(state_, id, now);
    end_tasks(id, task_state::cancelled, now);
    return true;
}

void scheduler::end_tasks(job_id const id, task_state const final_state, instant const now) {
    auto const tasks = state_.jobs[id].tasks;
    for(auto const task: tasks) {
        if(is_on_worker(state_.tasks[task].state)) {
            internal::request_stop(state_, task, stop_reason::cancelled);
        } else {
            internal::finish_task(state_, task, final_state, now);
        }
    }
}

bool scheduler::relinquish(job_id const id, instant const now) {
    auto *job = state_.jobs.find(id);
    if(job == nullptr || is_final(job->state) || job->cancelled ||
        static_cast<std::int64_t>(job->pending.size()) != job->unfinished) {
        return false;
    }
    job->state = job_state::moved;
    auto const tasks = job->tasks;
    for(auto const task: tasks) {
        internal::finish_task(state_, task, task_state::cancelled, now);
    }
    return true;
}

void scheduler::fail_job(job_id const id, std::string reason, instant const now) {
    auto *job = state_.jobs.find(id);
    if(job == nullptr || is_final(job->state)) {
        return;
    }
    job->reason = std::move(reason);
    job->cancelled = true;
    internal::requeue(state_, id, now);
    end_tasks(id, task_state::failed, now);
}

void scheduler::adopt(task_id const id, worker_id const worker, resources const &charge, std::uint32_t const attempt,
    instant const started_at) {
    auto *task = state_.tasks.find(id);
    if(task == nullptr || is_final(task->state) || is_on_worker(task->state) || !state_.workers.contains(worker)) {
        return;
    }
    auto &job = state_.jobs[task->job];
    std::erase(job.pending, id);
    task->state = task_state::running;
    task->attempt = attempt;
    task->started_at = started_at;
    task->expected_end = started_at + job.spec.run_time;
    job.state = job_state::running;
    job.first_start = job.first_start == instant{} ? started_at : job.first_start;
    internal::assign(state_, id, worker, charge);
    internal::requeue(state_, task->job, started_at);
    if(job.cancelled) {
        internal::request_stop(state_, id, stop_reason::cancelled);
    }
}

void scheduler::resolve_task(task_id const id, task_state const final_state, instant const now) {
    auto const *task = state_.tasks.find(id);
    if(task != nullptr && !is_on_worker(task->state)) {
        auto const job = task->job;
        internal::finish_task(state_, id, final_state, now);
        internal::requeue(state_, job, now);
    }
}

void scheduler::release_withheld(task_id const id, bool const may_have_started, instant const now) {
    auto *task = state_.tasks.find(id);
    if(task == nullptr || task->state != task_state::withheld) {
        return;
    }
    auto const job = task->job;
    if(may_have_started && !state_.jobs[job].spec.repeatable) {
        internal::finish_task(state_, id, task_state::may_have_run, now);
        return;
    }
    internal::make_pending(state_, id);
    internal::requeue(state_, job, now);
}

void scheduler::start_confirmed(task_id const id, instant const now) {
    auto *task = state_.tasks.find(id);
    if(task != nullptr && task->state == task_state::starting) {
        task->state = task_state::running;
        task->started_at = now;
    }
}

void scheduler::task_ended(task_id const id, task_outcome const outcome, instant const now) {
    auto *task = state_.tasks.find(id);
    if(task == nullptr || !is_on_worker(task->state)) {
        return;
    }
    auto const job_ref = task->job;
    auto const worker = task->worker;
    internal::unassign(state_, id);
    auto &job = state_.jobs[job_ref];
    switch(outcome) {
    case task_outcome::succeeded:
        internal::record_worker_success(state_, worker);
        if(job.spec.kind == job_kind::service && !job.cancelled) {
            internal::make_pending(state_, id);
            break;
        }
        if(options_.learn_from_history && task->progress.count() == 0) {
            state_.history.record_run(job.spec.team, job.spec.name, job.spec.run_time, now - task->started_at);
        }
        internal::finish_task(state_, id,
            job.cancelled && job.spec.kind == job_kind::service ? task_state::cancelled : task_state::succeeded, now);
        break;
    case task_outcome::failed:
        internal::record_worker_failure(state_, worker, job_ref, now);
        job.failed_on.insert(worker);
        requeue_after_failure(id, now);
        break;
    case task_outcome::not_started:
        internal::record_worker_failure(state_, worker, job_ref, now);
        if(job.cancelled) {
            internal::finish_task(state_, id, task_state::cancelled, now);
        } else {
            job.not_before = std::max(job.not_before, now + config::task_backoff_first);
            internal::make_pending(state_, id);
            break_gang(job_ref);
        }
        break;
    case task_outcome::stopped:
    case task_outcome::lost:
        if(job.cancelled) {
            internal::finish_task(state_, id, task_state::cancelled, now);
        } else if(job.spec.repeatable) {
            task->progress += outcome == task_outcome::stopped ? now - task->started_at : millis{};
            internal::make_pending(state_, id);
            break_gang(job_ref);
        } else {
            internal::finish_task(
                state_, id, outcome == task_outcome::lost ? task_state::may_have_run : task_state::cancelled, now);
        }
        break;
    }
    if(state_.jobs.contains(job_ref)) {
        internal::requeue(state_, job_ref, now);
    }
}

void scheduler::requeue_after_failure(task_id const id, instant const now) {
    auto const job_ref = state_.tasks[id].job;
    auto &job = state_.jobs[job_ref];
    ++job.failures;
    if(job.cancelled) {
        internal::finish_task(state_, id, task_state::cancelled, now);
        return;
    }
    auto const is_job_at_fault = job.failed_on.size() >= config::job_fault_workers ||
        job.failures >= 4u * config::job_fault_workers + static_cast<std::uint32_t>(job.spec.count);
    if(!job.spec.repeatable) {
        internal::finish_task(state_, id, task_state::failed, now);
        return;
    }
    if(is_job_at_fault) {
        job.reason = "failed on " + std::to_string(job.failed_on.size()) + " different workers";
        auto const reason = job.reason;
        internal::finish_task(state_, id, task_state::failed, now);
        fail_job(job_ref, reason, now);
        return;
    }
    job.not_before = now + internal::backoff_after(job.failures);
    internal::make_pending(state_, id);
    break_gang(job_ref);
}

void scheduler::break_gang(job_id const id) {
    auto const &job = state_.jobs[id];
    // The tasks of a non-repeatable gang keep running; the missing task is started later.
    if(job.spec.kind != job_kind::gang || !job.spec.repeatable) {
        return;
    }
    for(auto const task: job.tasks) {
        if(internal::is_starting_or_running(state_.tasks[task].state)) {
            internal::request_stop(state_, task, stop_reason::gang_broken);
        }
    }
}

void scheduler::report_use(task_id const id, resources const &used) {
    auto *task = state_.tasks.find(id);
    if(task == nullptr || task->state != task_state::running) {
        return;
    }
    if(options_.learn_from_history && !task->use_recorded) {
        task->use_recorded = true;
        auto const &spec = state_.jobs[task->job].spec;
        state_.history.record_use(spec.team, spec.name, spec.task_size, used);
    }
    if(fits(used, task->charge)) {
        return;
    }
    auto const raised = max_of(task->charge, used);
    auto const growth = raised - task->charge;
    auto &job = state_.jobs[task->job];
    auto &worker = state_.workers[task->worker];
    if(fits(growth, free_of(worker))) {
        worker.charged += growth;
        state_.teams[job.team].charged += growth;
        if(job.spec.urgent) {
            state_.teams[job.team].urgent_charged += growth;
        }
        task->charge = raised;
        internal::reindex(state_, task->worker);
    } else if(!task->throttled) {
        task->throttled = true;
        state_.pending_throttles.push_back(id);
    } else {
        job.task_charge = max_of(job.task_charge, min_of(raised, worker.size));
        internal::request_stop(state_, id, stop_reason::excess_use);
    }
}

void scheduler::shed(team_id const id, resources const &limit) {
    auto const *team = state_.teams.find(id);
    if(team == nullptr || fits(team->charged, limit)) {
        return;
    }
    std::vector<task_id> running;
    resources staying{};
    for(auto const task_ref: state_.tasks.ids()) {
        auto const &task = state_.tasks[task_ref];
        if(internal::is_starting_or_running(task.state) && state_.jobs[task.job].team == id) {
            running.push_back(task_ref);
            staying += task.charge;
        }
    }
    std::sort(running.begin(), running.end(),
        [&](auto const lhs, auto const rhs) { return state_.tasks[lhs].started_at > state_.tasks[rhs].started_at; });
    for(auto const task: running) {
        if(fits(staying, limit)) {
            return;
        }
        staying -= state_.tasks[task].charge;
        internal::request_stop(state_, task, stop_reason::over_ceiling);
    }
}

void scheduler::drain() {
    for(auto const id: state_.tasks.ids()) {
        auto const &task = state_.tasks[id];
        if(internal::is_starting_or_running(task.state) && state_.jobs[task.job].spec.repeatable) {
            internal::request_stop(state_, id, stop_reason::domain_out);
        }
    }
}

void scheduler::drain(worker_id const id) {
    auto const *worker = state_.workers.find(id);
    if(worker == nullptr) {
        return;
    }
    for(auto const task: worker->tasks) {
        if(internal::is_starting_or_running(state_.tasks[task].state) &&
            state_.jobs[state_.tasks[task].job].spec.repeatable) {
            internal::request_stop(state_, task, stop_reason::domain_out);
        }
    }
}

void scheduler::plan(instant const now, start_gate &gate, placement_plan &plan) {
    plan.clear();
    internal::planner{state_, options_, gate, plan, now}.run();
}

job_record const *scheduler::find(job_id const job) const noexcept {
    return state_.jobs.find(job);
}

task_record const *scheduler::find(task_id const task) const noexcept {
    return state_.tasks.find(task);
}

worker_record const *scheduler::find(worker_id const worker) const noexcept {
    return state_.workers.find(worker);
}

team_record const *scheduler::find(team_id const team) const noexcept {
    return state_.teams.find(team);
}

std::optional<job_id> scheduler::job_of(std::string const &key) const {
    auto const found = state_.jobs_by_key.find(key);
    return found == state_.jobs_by_key.end() ? std::nullopt : std::optional{found->second};
}

std::optional<worker_id> scheduler::worker_of(std::string const &name) const {
    auto const found = state_.workers_by_name.find(name);
    return found == state_.workers_by_name.end() ? std::nullopt : std::optional{found->second};
}

std::optional<team_id> scheduler::team_of(std::string const &name) const {
    auto const found = state_.teams_by_name.find(name);
    return found == state_.teams_by_name.end() ? std::nullopt : std::optional{found->second};
}

std::span<job_id const> scheduler::jobs() const noexcept {
    return state_.jobs.ids();
}

std::span<worker_id const> scheduler::workers() const noexcept {
    return state_.workers.ids();
}

std::span<team_id const> scheduler::teams() const noexcept {
    return state_.teams.ids();
}

resources scheduler::total() const noexcept {
    return state_.total;
}

} // namespace kingcuplink
