#include <algorithm>
#include <array>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <kingcuplink/workflow/dispatch_planner.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <kingcuplink/workflow/progress_parts.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 10u> answer_names{
    "started", "fenced", "outdated", "late", "no_room", "bad_ticket", "unwell", "other_boot", "not_sent", "unknown"};

constexpr std::array<std::string_view, hold_reason_count> hold_reason_names{"not_due", "no_capacity",
    "no_approved_capacity", "failed_on_workers", "ceiling", "gang_capacity", "query_pending", "query_delayed",
    "first_query_limit", "short_query_limit", "long_query_limit", "round_limit"};

/*! Delay before a task is placed again after a rejected start. */
constexpr millis restart_delay{50};
/*! Delay before a worker is used again after it could not accept a start. */
constexpr millis unhealthy_retry_delay{1'000};
/*! Delay before a stop is sent again. */
constexpr millis stop_retry_delay{500};
/*! Delay before a failed advice query is repeated. */
constexpr millis advice_retry_delay{100};
/*! Deducted from the validity of a ticket to allow for the latency of the start. */
constexpr millis ticket_margin{150};

void build_steps(live_job &job) {
    for(auto const &definition: job.definition.steps) {
        live_step step;
        step.tasks.resize(definition.count);
        step.unfinished = definition.count;
        step.waiting = definition.count;
        step.blocked_by = static_cast<std::uint32_t>(definition.after.size());
        job.steps.push_back(std::move(step));
    }
}

/*! Returns the statistics of the tasks of a rank. */
tier_statistics &tier_of(dispatch_statistics &figures, service_rank const &rank) noexcept {
    return figures.tiers[static_cast<std::size_t>(rank.tier)][rank.is_ordinary ? 1u : 0u];
}

/*! Returns the progress of all started tasks, by part. */
std::vector<std::vector<task_progress>> parts_of(live_job const &job, dispatch_state const &state) {
    progress_parts const map{job.definition.steps};
    std::vector<std::vector<task_progress>> parts{map.count()};
    for(std::uint32_t step{}; step < job.steps.size(); ++step) {
        auto const &tasks = job.steps[step].tasks;
        for(std::uint32_t index{}; index < tasks.size(); ++index) {
            auto const &task = tasks[index];
            if(task.run == 0u) {
                continue;
            }
            task_progress row{step, index, task.run, task.failures, index == 0u ? job.steps[step].failed_run : 0u,
                task.done, {}, task.checkpoint};
            if(task.done) {
                row.checkpoint = {};
            }
            // A run with a recorded completion does not exist on any worker, whichever worker listed it.
            auto const *run = state.placements.find(task.placement);
            if(run != nullptr && task.ended_run < task.run) {
                row.worker = state.workers[run->worker].registration.name;
            }
            parts[map.part_of(step, index)].push_back(std::move(row));
        }
    }
    return parts;
}

/*! Adds the progress of a job to a batch, as far as it differs from what the log holds. */
void add_progress(live_job &job, dispatch_state const &state, progress_batch &batch) {
    auto const &id = job.definition.id;
    if(is_final(job.phase)) {
        // Tasks of an ended job are never resumed, and workers list its remaining runs.
        batch.records.emplace_back(id, job_progress{job.phase, {}});
        for(std::uint32_t part{}; part < job.persisted_parts.size(); ++part) {
            if(!job.persisted_parts[part].empty()) {
                batch.obsolete_parts.emplace_back(id, part);
            }
        }
        return;
    }
    auto parts = parts_of(job, state);
    auto is_phase_persisted = job.phase == job.persisted_phase;
    for(std::uint32_t part{}; part < parts.size(); ++part) {
        if(needs_update(job.persisted_parts[part], parts[part])) {
            batch.records.emplace_back(id, job_progress{job.phase, parts[part], part});
            is_phase_persisted = true;
        }
    }
    if(!is_phase_persisted) {
        batch.records.emplace_back(id, job_progress{job.phase, parts.front(), 0u});
    }
    job.persisted_parts = std::move(parts);
    job.persisted_phase = job.phase;
}

} // namespace internal

std::string_view name_of(start_answer const answer) noexcept {
    return internal::answer_names[static_cast<std::size_t>(answer)];
}

std::string_view name_of(hold_reason const reason) noexcept {
    return internal::hold_reason_names[static_cast<std::size_t>(reason)];
}

dispatcher::dispatcher(dispatch_limits const &limits, instant const now) {
    state_.limits = limits;
    state_.begun_at = now;
    state_.inherited_leases_end_at = now + limits.inherited_lease;
    state_.inherited_starts_end_at = now + limits.inherited_sending + limits.command_delay;
}

void dispatcher::set_rules(std::shared_ptr<site_rules const> rules) {
    state_.rules = std::move(rules);
    for(auto const id: state_.jobs.ids()) {
        auto &job = state_.jobs[id];
        job.terms = terms_of_job(*state_.rules, job.definition.queue, job.definition.terms);
        // The queue of a job may have been added or removed.
        state_.mark_steps_changed(id);
    }
}

void dispatcher::set_querying_vms(std::size_t const count) noexcept {
    state_.querying_vms = std::max<std::size_t>(1u, count);
}

void dispatcher::add_job(job_entry const &entry) {
    auto const &definition = entry.definition;
    if(is_final(entry.progress.phase)) {
        return;
    }
    if(auto const known = state_.job_ids.find(definition.id); known != state_.job_ids.end()) {
        // A job may be added before its definition is committed, and its cancellation may precede that in the log.
        adopt_end(known->second, entry);
        return;
    }
    // The definition of an ended job has no steps.
    if(definition.steps.empty()) {
        return;
    }
    internal::live_job job;
    job.definition = definition;
    job.phase = entry.progress.phase;
    job.terms = terms_of_job(*state_.rules, definition.queue, definition.terms);
    job.objective = objective_of(definition, job.terms != nullptr ? *job.terms : job_terms{});
    if(auto const *account = find_account(*state_.rules, definition.account); account != nullptr) {
        job.is_excess = state_.accounts[definition.account].meter.is_excess(account->weight, definition.accepted_at);
    }
    internal::build_steps(job);
    auto const id = state_.jobs.emplace(std::move(job));
    state_.job_ids.emplace(definition.id, id);
    adopt_runs(id, entry);
    state_.mark_steps_changed(id);
    adopt_end(id, entry);
}

void dispatcher::adopt_end(job_id const id, job_entry const &entry) {
    if(is_final(state_.jobs[id].phase)) {
        return;
    }
    if(entry.reported_phase) {
        // The end is committed to the log and was reported to callers, but this process has not read it yet.
        end_job(id, *entry.reported_phase);
    } else if(entry.cancel_requested) {
        end_job(id, job_phase::cancelled);
    }
}

worker_id dispatcher::find_or_add_worker(std::string const &name) {
    if(!state_.worker_ids.contains(name)) {
        worker_registration former;
        former.name = name;
        register_worker(std::move(former), instant{});
        unregister_worker(name);
    }
    return state_.worker_ids.at(name);
}

void dispatcher::adopt_lapse(std::string const &worker, std::optional<instant> const at) {
    auto &entry = state_.workers[find_or_add_worker(worker)];
    entry.lapse.committed = at.value_or(instant::max());
    entry.inherited_lapse = at;
}

bool dispatcher::may_extend_lease(std::string const &worker, lease_expiry const &expiry) const {
    auto const *found = state_.find_worker(worker);
    if(found == nullptr || !found->lapse.may_stand()) {
        return true;
    }
    // Also without runs: an end that is not committed counts only while the lease has not expired.
    auto const last = state_.last_lapse(*found, expiry);
    return last && std::max(*last, expiry.in_known_boot) <= found->lapse.limit();
}

void dispatcher::adopt_runs(job_id const id, job_entry const &entry) {
    progress_parts const parts{entry.definition.steps};
    state_.jobs[id].persisted_parts.resize(parts.count());
    state_.jobs[id].persisted_phase = entry.progress.phase;
    for(auto const &row: entry.progress.tasks) {
        auto &job = state_.jobs[id];
        auto const part = parts.part_of(row.step, row.index);
        if(part == parts.count()) {
            continue;
        }
        job.persisted_parts[part].push_back(row);
        auto &step = job.steps[row.step];
        auto &task = step.tasks[row.index];
        task.run = row.run;
        task.failures = row.failures;
        task.checkpoint = row.checkpoint;
        step.checkpoint = std::max(step.checkpoint, row.checkpoint);
        step.failed_run = std::max(step.failed_run, row.failed_run);
        if(row.done) {
            task.done = true;
            --step.waiting;
            --step.unfinished;
        }
        if(row.worker.empty()) {
            task.ended_run = row.run;
            continue;
        }
        task.ended_run = row.run - 1u;
        // Keep the run until its lease has expired by any clock.
        auto const worker = find_or_add_worker(row.worker);
        if(task.done) {
            continue;
        }
        state_.workers[worker].raise_inherited_expiry(state_.inherited_leases_end_at);
        internal::placement run;
        run.worker = worker;
        run.job = id;
        run.key = {entry.definition.id, row.step, row.index, row.run};
        run.charge = entry.definition.steps[row.step].task_size;
        run.stage = internal::placement_stage::inherited;
        if(auto const *terms = state_.rules_of(job); terms == nullptr || !terms->advice) {
            run.may_begin_in_other_boot = true;
            auto const lapse = state_.workers[worker].inherited_lapse.value_or(instant::max());
            run.may_begin_until = std::min(state_.inherited_starts_end_at, lapse);
        }
        state_.add_placement(std::move(run));
    }
    auto &job = state_.jobs[id];
    for(std::uint32_t pos{}; pos < job.steps.size(); ++pos) {
        auto const &after = job.definition.steps[pos].after;
        job.steps[pos].blocked_by = static_cast<std::uint32_t>(std::count_if(
            after.begin(), after.end(), [&job](auto const before) { return job.steps[before].unfinished > 0u; }));
    }
}

void dispatcher::cancel_job(std::string const &id) {
    if(auto const found = state_.job_ids.find(id); found != state_.job_ids.end()) {
        if(!is_final(state_.jobs[found->second].phase)) {
            end_job(found->second, job_phase::cancelled);
        }
    }
}

void dispatcher::withdraw_job(std::string const &id, instant const now) {
    auto const found = state_.job_ids.find(id);
    if(found == state_.job_ids.end()) {
        return;
    }
    auto const job = found->second;
    // Nothing of a job that ends this way is recorded.
    state_.jobs[job].phase = job_phase::cancelled;
    state_.jobs[job].is_dirty = false;
    state_.mark_steps_changed(job);
    std::vector<placement_id> intended;
    for(auto const &step: state_.jobs[job].steps) {
        for(auto const &task: step.tasks) {
            if(state_.placements.contains(task.placement)) {
                intended.push_back(task.placement);
            }
        }
    }
    for(auto const placement: intended) {
        state_.remove_placement(placement, now);
    }
    state_.erase_if_finished(job);
}

void dispatcher::end_job(job_id const id, job_phase const phase) {
    state_.jobs[id].phase = phase;
    state_.mark_dirty(id);
    state_.mark_steps_changed(id);
    auto const steps = static_cast<std::uint32_t>(phase != job_phase::done ? state_.jobs[id].steps.size() : 0u);
    for(std::uint32_t step{}; step < steps; ++step) {
        stop_runs(id, step);
    }
}

void dispatcher::stop_runs(job_id const id, std::uint32_t const step) {
    for(auto const &task: state_.jobs[id].steps[step].tasks) {
        if(state_.placements.contains(task.placement)) {
            state_.request_stop(task.placement);
        }
    }
}

void dispatcher::record_lease_extension(std::string const &worker, lease_expiry const expiry) {
    if(auto const found = state_.worker_ids.find(worker); found != state_.worker_ids.end()) {
        auto &entry = state_.workers[found->second];
        entry.leases_expire_at = std::max(entry.leases_expire_at, expiry.in_any_boot);
        entry.listed_leases_expire_at = std::max(entry.listed_leases_expire_at, expiry.in_known_boot);
    }
}

bool dispatcher::is_leaving(std::string const &worker) const {
    auto const *found = state_.find_worker(worker);
    return found != nullptr && found->registration.leaving;
}

std::uint64_t dispatcher::boot_of(std::string const &worker) const {
    auto const *found = state_.find_worker(worker);
    return found == nullptr ? 0u : found->boot;
}

bool dispatcher::is_reconciled(std::string const &worker) const {
    auto const *found = state_.find_worker(worker);
    return found != nullptr && found->is_reconciled;
}

std::uint64_t dispatcher::command_epoch_of(std::string const &worker) const {
    auto const *found = state_.find_worker(worker);
    return found == nullptr ? 0u : found->command_epoch;
}

std::uint64_t dispatcher::kept_end(std::string const &worker) const {
    auto const *found = state_.find_worker(worker);
    return found == nullptr ? 0u : found->last_persisted_completion;
}

completion_acknowledgement dispatcher::begin_poll(std::string const &worker, bool const may_acknowledge) {
    auto const found = state_.worker_ids.find(worker);
    if(found == state_.worker_ids.end()) {
        return {};
    }
    auto &entry = state_.workers[found->second];
    if(may_acknowledge && entry.last_persisted_completion > entry.last_acknowledged_completion &&
        !state_.may_have_run_in_other_boot(entry)) {
        ++entry.unanswered_acknowledgements;
        return {entry.last_persisted_completion, entry.boot, entry.command_epoch};
    }
    state_.fence_acknowledgements(entry);
    return {0u, entry.boot, entry.command_epoch};
}

void dispatcher::poll_answered(std::string const &worker, completion_acknowledgement const &sent) {
    auto const found = state_.worker_ids.find(worker);
    if(found == state_.worker_ids.end() || sent.number == 0u) {
        return;
    }
    auto &entry = state_.workers[found->second];
    if(entry.boot == sent.boot) {
        entry.last_acknowledged_completion = std::max(entry.last_acknowledged_completion, sent.number);
    }
    if(entry.command_epoch == sent.epoch) {
        --entry.unanswered_acknowledgements;
    }
}

void dispatcher::poll_failed(std::string const &worker, instant const sent_at) {
    if(auto const found = state_.worker_ids.find(worker); found != state_.worker_ids.end()) {
        auto &failed_at = state_.workers[found->second].failed_poll_sent_at;
        failed_at = std::max(failed_at, sent_at);
    }
}

bool dispatcher::has_failed_poll(std::string const &worker) const {
    auto const *found = state_.find_worker(worker);
    return found != nullptr && found->failed_poll_sent_at >= found->answered_poll_sent_at;
}

bool dispatcher::withholds_acknowledgement(std::string const &worker) const {
    auto const *found = state_.find_worker(worker);
    return found != nullptr && found->last_persisted_completion > found->last_acknowledged_completion &&
        state_.may_have_run_in_other_boot(*found);
}

std::uint64_t dispatcher::seen_end(std::string const &worker) const {
    auto const *found = state_.find_worker(worker);
    return found == nullptr ? 0u : found->last_recorded_completion;
}

bool dispatcher::may_repeat_start(run_start const &sent, instant const now) const {
    auto const *run = state_.placements.find(sent.placement);
    // Without a ticket, a later boot may execute a copy after the success of the run.
    if(run == nullptr || run->stage != internal::placement_stage::awaiting_answer || run->stop_requested ||
        run->may_begin_in_other_boot || run->ticket.empty() || run->ticket_until <= now) {
        return false;
    }
    auto const &worker = state_.workers[run->worker];
    auto const &entry = worker.registration;
    auto const accepts_runs = worker.is_described() && worker.is_reconciled && !worker.lapse.may_stand() &&
        !entry.leaving && !state_.rules->evacuated.contains(entry.domain);
    auto const *job = state_.jobs.find(run->job);
    return accepts_runs && worker.boot == sent.boot && entry.address == sent.address && job != nullptr &&
        !is_final(job->phase) && !state_.has_unknown_run(*job, run->key.step, run->key.index);
}

void dispatcher::start_repeated(placement_id const id, instant const now) {
    auto *run = state_.placements.find(id);
    if(run != nullptr && run->stage == internal::placement_stage::awaiting_answer) {
        auto const sent_at = std::exchange(run->stage_since, now);
        state_.workers[run->worker].unanswered_start_sent_at = std::max(
            state_.workers[run->worker].unanswered_start_sent_at, sent_at);
    }
}

void dispatcher::start_answered(placement_id const id, start_answer const answer, instant const now) {
    auto *run = state_.placements.find(id);
    if(run == nullptr || run->stage != internal::placement_stage::awaiting_answer) {
        return;
    }
    auto const sent_at = std::exchange(run->stage_since, now);
    run->may_begin_until = {};
    switch(answer) {
    case start_answer::started: {
        run->stage = internal::placement_stage::running;
        state_.mark_running(run->job);
        auto &worker = state_.workers[run->worker];
        if(worker.unanswered_start_sent_at < sent_at) {
            // The worker answers again.
            worker.unanswered_start_sent_at = {};
        }
        return;
    }
    case start_answer::unknown:
        state_.workers[run->worker].unanswered_start_sent_at = std::max(
            state_.workers[run->worker].unanswered_start_sent_at, sent_at);
        run->stage = internal::placement_stage::unresolved;
        if(run->may_begin_in_other_boot) {
            run->may_begin_until = now + state_.limits.command_delay;
        }
        return;
    case start_answer::fenced:
        run->stage = internal::placement_stage::unresolved;
        return;
    case start_answer::bad_ticket:
        if(auto *job = state_.jobs.find(run->job); job != nullptr) {
            auto &approved = job->steps[run->key.step].advice.approved;
            if(auto const found = approved.find(run->worker); found != approved.end()) {
                found->second.until = {};
            }
        }
        break;
    case start_answer::unhealthy:
    case start_answer::other_boot:
    case start_answer::not_sent:
    case start_answer::no_capacity: {
        auto &worker = state_.workers[run->worker];
        worker.quarantined_until = std::max(worker.quarantined_until, now + internal::unhealthy_retry_delay);
        break;
    }
    case start_answer::outdated:
    case start_answer::late:
        break;
    }
    remove_lost_run(id, run_loss::refused, now + internal::restart_delay);
}

void dispatcher::stop_answered(placement_id const id, bool const answered, instant const now) {
    auto *run = state_.placements.find(id);
    if(run == nullptr) {
        return;
    }
    run->stop_in_flight = false;
    run->next_stop_at = now + internal::stop_retry_delay;
    if(answered && !run->first_stop_answer_at) {
        // The first acknowledgement rules out a later start. A later time would invalidate polls in flight.
        run->first_stop_answer_at = now;
    }
}

void dispatcher::settle_query(advice_query const &query) {
    --internal::query_counter(state_, query.duration);
    state_.promised[query.service] -= query.demand;
    auto const share = internal::demand_per_worker(query);
    for(auto const &name: query.workers) {
        if(auto const found = state_.worker_ids.find(name); found != state_.worker_ids.end()) {
            // A worker that was registered again begins with no demand.
            auto &demand = state_.workers[found->second].queried_millicores;
            demand = std::max<std::int64_t>(0, demand - share);
        }
    }
}

void dispatcher::take_advice(advice_query const &query, std::span<advice_grant const> const grants, instant const now) {
    settle_query(query);
    auto const found = state_.job_ids.find(query.job);
    if(found == state_.job_ids.end()) {
        return;
    }
    auto &job = state_.jobs[found->second];
    auto &advice = job.steps[query.step].advice;
    advice.in_flight = false;
    advice.is_answer_unused = true;
    state_.answered_steps.push_back({found->second, query.step});
    auto const queried = std::exchange(advice.queried, {});
    auto const *terms = state_.rules_of(job);
    auto const valid = terms != nullptr && terms->advice ? terms->advice->valid : millis{};
    advice.valid_until = now + valid - internal::ticket_margin;
    for(auto const &worker: queried) {
        if(state_.is_present(worker)) {
            advice.asked[worker.worker] = worker.number;
        }
    }
    for(auto const &grant: grants) {
        auto const worker = state_.worker_ids.find(grant.worker);
        if(worker == state_.worker_ids.end()) {
            continue;
        }
        auto const boot = state_.boot_of(worker->second);
        if(std::find(queried.begin(), queried.end(), boot) != queried.end()) {
            advice.approved[boot.worker] = {grant.ticket, advice.valid_until, boot.number};
        }
    }
}

void dispatcher::advice_failed(advice_query const &query, instant const now) {
    settle_query(query);
    if(auto const found = state_.job_ids.find(query.job); found != state_.job_ids.end()) {
        auto &advice = state_.jobs[found->second].steps[query.step].advice;
        advice.in_flight = false;
        advice.queried.clear();
        advice.not_before = now + internal::advice_retry_delay;
    }
}

void dispatcher::plan(instant const now, dispatch_plan &out) {
    expire_leases(now);
    state_.planned_at = now;
    internal::dispatch_planner{state_, now, out}.run();
}

progress_batch dispatcher::next_batch() {
    progress_batch batch;
    for(auto const id: state_.dirty_jobs) {
        auto *job = state_.jobs.find(id);
        if(job == nullptr) {
            continue;
        }
        job->is_dirty = false;
        internal::add_progress(*job, state_, batch);
        if(is_final(job->phase)) {
            auto const &ended = job->definition;
            batch.ended_jobs.push_back(
                {ended.id, ended.queue, ended.account, {}, {}, ended.accepted_at, {}, ended.path_hash});
        }
        for(auto const &step: job->steps) {
            for(auto const &task: step.tasks) {
                auto *run = state_.placements.find(task.placement);
                if(run != nullptr && run->stage == internal::placement_stage::intended && !run->is_batched) {
                    run->is_batched = true;
                    batch.starts.push_back(task.placement);
                }
            }
        }
    }
    for(auto const id: state_.dirty_jobs) {
        state_.erase_if_finished(id);
    }
    state_.dirty_jobs.clear();
    add_lapse_changes(batch);
    for(auto const id: state_.workers.ids()) {
        auto const &worker = state_.workers[id];
        if(worker.last_recorded_completion > worker.last_persisted_completion) {
            batch.ends.push_back({id, worker.boot, worker.last_recorded_completion});
        }
    }
    return batch;
}

bool dispatcher::may_still_start(internal::placement const &run, instant const now) const {
    auto const &job = state_.jobs[run.job];
    auto const *terms = state_.rules_of(job);
    auto const has_ticket = terms != nullptr && (!terms->advice || run.ticket_until > now);
    auto const &worker = state_.workers[run.worker];
    // Another boot may be of another kind, and a ticket is not valid there.
    return !run.stop_requested && !is_final(job.phase) && has_ticket && run.planned_for == worker.restarts &&
        !state_.has_unknown_run(job, run.key.step, run.key.index) && internal::is_usable(worker, *state_.rules, now);
}

void dispatcher::batch_committed(progress_batch const &batch, instant const now, std::vector<run_start> &out) {
    for(auto const &cursor: batch.ends) {
        // Completion numbers start again with each boot.
        if(auto *worker = state_.workers.find(cursor.worker); worker != nullptr && worker->boot == cursor.boot) {
            worker->last_persisted_completion = std::max(worker->last_persisted_completion, cursor.number);
        }
    }
    for(auto const &change: batch.lapses) {
        apply_committed(change);
    }
    for(auto const id: batch.starts) {
        auto *run = state_.placements.find(id);
        if(run == nullptr || run->stage != internal::placement_stage::intended) {
            continue;
        }
        if(!may_still_start(*run, now)) {
            remove_lost_run(id, run_loss::not_sent, now);
            continue;
        }
        run->stage = internal::placement_stage::awaiting_answer;
        run->stage_since = now;
        run->sent_at = now;
        run->sent_to = state_.workers[run->worker].restarts;
    }
    // If a member of a gang was dropped, the other members are not started.
    for(auto const id: batch.starts) {
        auto *run = state_.placements.find(id);
        if(run == nullptr || run->stage != internal::placement_stage::awaiting_answer) {
            continue;
        }
        if(run->stop_requested) {
            state_.remove_placement(id, now);
            continue;
        }
        if(run->may_begin_in_other_boot) {
            run->may_begin_until = instant::max();
        }
        auto &host = state_.workers[run->worker];
        state_.fence_acknowledgements(host);
        auto const &worker = host.registration;
        auto const &job = state_.jobs[run->job];
        auto const &step = job.steps[run->key.step];
        auto const &task = step.tasks[run->key.index];
        auto const is_gang = job.definition.steps[run->key.step].gang;
        out.push_back({id, worker.name, worker.address, host.boot, run->key, job.definition.payload,
            is_gang ? step.checkpoint : task.checkpoint, run->ticket,
            run->may_begin_in_other_boot ? instant{} : run->ticket_until});
    }
}

std::vector<lost_run> dispatcher::take_lost_runs() {
    return std::exchange(lost_, {});
}

std::vector<unknown_run> dispatcher::take_unknown_runs() {
    return std::exchange(unreported_unknown_runs_, {});
}

std::vector<late_confirmation> dispatcher::take_late_confirmations() {
    return std::exchange(late_confirmations_, {});
}

dispatch_statistics dispatcher::figures(instant const now) const {
    dispatch_statistics result;
    result.jobs = state_.jobs.size();
    result.runs = state_.placements.size();
    result.workers = state_.workers.size();
    result.short_queries = state_.short_queries;
    result.short_query_limit = internal::short_query_limit(state_.querying_vms);
    result.long_queries = state_.long_queries;
    result.long_query_limit = adviser_pool::long_call_limit(state_.querying_vms);
    for(auto const &job: state_.jobs.values()) {
        for(std::uint32_t pos{}; pos < job.steps.size(); ++pos) {
            auto const &step = job.steps[pos];
            if(step.blocked_by == 0u && !is_final(job.phase)) {
                result.waiting_tasks += step.waiting;
                internal::tier_of(result, rank_of(job.objective, pos, job.is_excess, now)).waiting += step.waiting;
            }
        }
    }
    for(auto const &run: state_.placements.values()) {
        if(auto const *job = run.is_known ? state_.jobs.find(run.job) : nullptr; job != nullptr) {
            auto &tier = internal::tier_of(result, rank_of(job->objective, run.key.step, job->is_excess, now));
            ++tier.running;
            tier.used += run.charge;
        }
    }
    for(auto const &worker: state_.workers.values()) {
        if(internal::is_usable(worker, *state_.rules, now)) {
            ++result.usable_workers;
            result.usable += worker.registration.capacity;
            result.available += worker.registration.capacity - worker.used;
        }
    }
    return result;
}

worker_registration const *dispatcher::find_worker(std::string const &name) const {
    auto const *worker = state_.find_worker(name);
    return worker != nullptr ? &worker->registration : nullptr;
}

placement_id dispatcher::find_run(worker_id const worker, run_key const &key) const {
    for(auto const id: state_.workers[worker].placements) {
        if(state_.placements[id].key == key) {
            return id;
        }
    }
    return {};
}

} // namespace kingcuplink
