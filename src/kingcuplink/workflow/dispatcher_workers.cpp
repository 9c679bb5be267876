#include <algorithm>
#include <kingcuplink/workflow/dispatcher.hpp>

namespace kingcuplink {

namespace internal {

/*! Returns true if a failed task of a step may be placed elsewhere without a delay. */
bool is_retried_at_once(step_definition const &step) noexcept {
    // A gang is placed as a whole, and the attempts of a long-running task are not limited.
    return !step.gang && !step.long_running;
}
/*! Number of different jobs with failures on a worker, and no success in between, that causes a quarantine. */
constexpr std::size_t failing_jobs_threshold = 2u;
/*! Duration of the first quarantine; it doubles up to max_quarantine. */
constexpr millis min_quarantine{4'000};
/*! Maximum duration of a quarantine. */
constexpr millis max_quarantine{30'000};
/*! Time for which a record lets the leases of a worker that leaves be extended. */
constexpr millis leaving_lapse{7'000};
/*! Such a record is replaced once it ends within this time, which is longer than a lease there and an append. */
constexpr millis lapse_renewal_margin{5'000};
/*! A record is also replaced if it ends later than needed by more than this time. */
constexpr millis lapse_tolerance{2'000};
/*! Maximum number of changes of such records in a batch: after a pause of the leader, many workers seem silent. */
constexpr std::size_t max_lapse_changes = 64u;

} // namespace internal

void dispatcher::register_worker(worker_registration entry, instant const now) {
    auto const [found, is_new] = state_.worker_ids.try_emplace(entry.name);
    if(is_new) {
        internal::live_worker worker;
        if(auto const former = state_.former_workers.find(entry.name); former != state_.former_workers.end()) {
            worker.boot = former->second.boot;
            worker.command_epoch = former->second.command_epoch;
            worker.raise_lease_expiry(former->second.leases_expire_at);
        }
        worker.registration = std::move(entry);
        worker.known_since = now;
        found->second = state_.workers.emplace(std::move(worker));
        return;
    }
    auto &worker = state_.workers[found->second];
    auto const names_other_boot = entry.boot != worker.boot && entry.boot != worker.registration.boot;
    if(names_other_boot || entry.address != worker.registration.address) {
        // The registration may come from another writer: only the worker itself can report the state of its runs.
        worker.is_reconciled = false;
        worker.registration_mismatch_at = now;
    }
    worker.registration = std::move(entry);
    worker.is_registered = true;
    for(auto const pos: worker.placements) {
        if(auto &run = state_.placements[pos]; run.fills_worker) {
            worker.used -= run.charge;
            run.charge = worker.registration.capacity;
            worker.used += run.charge;
        }
    }
}

void dispatcher::unregister_worker(std::string const &name) {
    if(auto const found = state_.worker_ids.find(name); found != state_.worker_ids.end()) {
        state_.workers[found->second].is_registered = false;
    }
}

void dispatcher::reset_for_boot(worker_id const id, std::uint64_t const boot, instant const now) {
    auto &worker = state_.workers[id];
    worker.boot = boot;
    ++worker.restarts;
    ++worker.command_epoch;
    // Until a command of this epoch arrives, the boot executes late lease extensions that were sent to an earlier one.
    worker.raise_lease_expiry(now + state_.limits.command_delay + state_.limits.longest_lease);
    worker.last_recorded_completion = 0u;
    worker.last_persisted_completion = 0u;
    worker.last_acknowledged_completion = 0u;
    worker.unanswered_acknowledgements = 0u;
    worker.listed_at_ms = 0;
    worker.failing_jobs.clear();
    worker.quarantined_until = {};
    for(auto const pos: worker.placements) {
        // The stop was acknowledged by the earlier boot: a late start may still reach this one.
        auto &run = state_.placements[pos];
        run.first_stop_answer_at.reset();
        run.next_stop_at = {};
        run.is_listed = false;
    }
}

void dispatcher::remove_lost_run(placement_id const id, run_loss const reason, instant const now) {
    if(auto const *run = state_.placements.find(id); run != nullptr) {
        auto const &entry = state_.workers[run->worker].registration;
        lost_.push_back({run->key, entry.name, state_.workers[run->worker].boot, reason});
        remove_run(id, now);
    }
}

void dispatcher::remove_run(placement_id const id, instant const now) {
    auto const *run = state_.placements.find(id);
    if(run == nullptr) {
        return;
    }
    auto const job = run->is_known ? run->job : job_id{};
    auto const step = run->key.step;
    state_.remove_placement(id, now);
    if(auto const *found = state_.jobs.find(job); found != nullptr && !is_final(found->phase)) {
        if(found->definition.steps[step].gang) {
            stop_runs(job, step);
        }
    }
}

void dispatcher::apply_inventory(
    std::string const &name, worker_inventory const &inventory, instant const sent_at, instant const now) {
    auto const found = state_.worker_ids.find(name);
    if(found == state_.worker_ids.end()) {
        return;
    }
    auto const id = found->second;
    auto const known_boot = state_.workers[id].boot;
    auto const answered_poll_sent_at = state_.workers[id].answered_poll_sent_at;
    auto const is_other_boot = known_boot != 0u && inventory.boot != known_boot;
    // Boot numbers are not ordered, since the clock of a worker may go back: the order of the polls decides.
    if(sent_at < answered_poll_sent_at || (is_other_boot && sent_at == answered_poll_sent_at)) {
        return;
    }
    state_.workers[id].answered_poll_sent_at = sent_at;
    if(is_other_boot) {
        reset_for_boot(id, inventory.boot, now);
    } else if(known_boot == 0u) {
        // The boot may have executed a late extension that was meant for an earlier one.
        state_.workers[id].raise_inherited_expiry(now + state_.limits.longest_lease);
    }
    state_.workers[id].boot = inventory.boot;
    for(auto const &end: inventory.ended) {
        if(end.number > state_.workers[id].last_recorded_completion) {
            apply_completion(id, end, now);
            state_.workers[id].last_recorded_completion = end.number;
        }
    }
    reconcile_runs(id, inventory, is_other_boot ? run_loss::other_boot : run_loss::not_listed, sent_at, now);
    auto &worker = state_.workers[id];
    worker.is_reconciled = worker.is_reconciled || sent_at >= worker.registration_mismatch_at;
    worker.seen_at = now;
    if(sent_at > worker.registration_mismatch_at) {
        // After an address change, answers to earlier polls do not confirm the new address.
        worker.answered_address = worker.registration.address;
    }
}

bool dispatcher::worker_replaced(
    std::string const &name, std::string const &address, instant const sent_at, instant const now) {
    auto const found = state_.worker_ids.find(name);
    if(found == state_.worker_ids.end()) {
        return false;
    }
    auto &worker = state_.workers[found->second];
    auto const has_moved = !worker.answered_address.empty() && worker.answered_address != address;
    if(has_moved || address != worker.registration.address || sent_at < worker.answered_poll_sent_at) {
        return false;
    }
    auto const has_changed = worker.is_reconciled || !worker.placements.empty();
    worker.is_reconciled = false;
    // Lists for earlier polls come from the worker that is gone.
    worker.answered_poll_sent_at = sent_at;
    auto const runs = worker.placements;
    for(auto const pos: runs) {
        auto const *run = state_.placements.find(pos);
        if(run == nullptr || run->stage == internal::placement_stage::awaiting_answer ||
            run->may_begin_until > sent_at) {
            continue;
        }
        // A start answered after the poll was sent may have been accepted by a later boot: such a run is kept.
        if(!internal::is_start_concluded(*run) || run->stage_since < sent_at) {
            remove_lost_run(pos, run_loss::other_boot, now);
        }
    }
    return has_changed;
}

void dispatcher::report_late_confirmation(internal::placement const &run, instant const now) {
    auto const is_repeated = run.stage == internal::placement_stage::awaiting_answer && run.sent_at < run.stage_since;
    if(run.stage == internal::placement_stage::unresolved || is_repeated) {
        auto const &host = state_.workers[run.worker];
        late_confirmations_.push_back(
            {run.key, host.registration.name, host.boot, now - run.sent_at, !run.ticket.empty()});
    }
}

void dispatcher::apply_completion(worker_id const worker, listed_completion const &end, instant const now) {
    auto const placed = find_run(worker, end.key);
    auto again_at = now;
    if(!placed.is_null()) {
        report_late_confirmation(state_.placements[placed], now);
    }
    auto const found = state_.job_ids.find(end.key.job);
    if(found != state_.job_ids.end()) {
        auto const id = found->second;
        auto &job = state_.jobs[id];
        auto const is_known = end.key.step < job.steps.size() && end.key.index < job.steps[end.key.step].tasks.size();
        auto *task = is_known ? &job.steps[end.key.step].tasks[end.key.index] : nullptr;
        // An unknown run was given up, but it was alive: its success counts.
        auto const is_unknown_success = !placed.is_null() && !state_.placements[placed].is_known &&
            end.how == run_outcome::done;
        auto const is_current = task != nullptr && !task->done &&
            ((task->run == end.key.run && task->ended_run < end.key.run) ||
                (is_unknown_success && end.key.run <= task->run));
        if(is_current && !is_final(job.phase)) {
            auto &step = job.steps[end.key.step];
            task->ended_run = std::max(task->ended_run, end.key.run);
            state_.mark_running(id);
            if(!end.checkpoint.empty()) {
                task->checkpoint = end.checkpoint;
                step.checkpoint = end.checkpoint;
            }
            update_quarantine(worker, id, end.how, now);
            if(end.how == run_outcome::done && !job.definition.steps[end.key.step].long_running) {
                finish_task(id, end.key);
                if(is_unknown_success) {
                    stop_later_runs(id, end.key);
                }
            } else if(end.how == run_outcome::failed) {
                count_failure(id, end.key, worker);
                task->failed_at = now;
                again_at = internal::is_retried_at_once(job.definition.steps[end.key.step])
                    ? now
                    : now + internal::failure_delay;
            }
            state_.mark_dirty(id);
        }
    }
    if(end.how == run_outcome::done) {
        if(!placed.is_null()) {
            state_.remove_placement(placed, again_at);
        }
    } else {
        remove_run(placed, again_at);
    }
}

void dispatcher::finish_task(job_id const id, run_key const &key) {
    auto &job = state_.jobs[id];
    auto &step = job.steps[key.step];
    auto const finish = [&step](internal::live_task &task) {
        if(task.done) {
            return;
        }
        task.done = true;
        --step.unfinished;
        step.waiting -= task.placement.is_null() ? 1u : 0u;
    };
    if(job.definition.steps[key.step].gang) {
        // The members of a gang succeed together.
        std::for_each(step.tasks.begin(), step.tasks.end(), finish);
    } else {
        finish(step.tasks[key.index]);
    }
    state_.waiting.mark_changed({id, key.step});
    if(step.unfinished == 0u) {
        finish_step(id, key.step);
    }
}

void dispatcher::stop_later_runs(job_id const id, run_key const &key) {
    if(state_.jobs[id].definition.steps[key.step].gang) {
        stop_runs(id, key.step);
    } else if(auto const run = state_.jobs[id].steps[key.step].tasks[key.index].placement;
              state_.placements.contains(run)) {
        state_.request_stop(run);
    }
}

void dispatcher::finish_step(job_id const id, std::uint32_t const step) {
    auto &job = state_.jobs[id];
    for(std::uint32_t pos{step + 1u}; pos < job.steps.size(); ++pos) {
        auto const &after = job.definition.steps[pos].after;
        job.steps[pos].blocked_by -= static_cast<std::uint32_t>(std::count(after.begin(), after.end(), step));
        state_.waiting.mark_changed({id, pos});
    }
    auto const is_finished = std::all_of(
        job.steps.begin(), job.steps.end(), [](auto const &other) { return other.unfinished == 0u; });
    if(is_finished) {
        end_job(id, job_phase::done);
    }
}

void dispatcher::count_failure(job_id const id, run_key const &key, worker_id const worker) {
    auto &job = state_.jobs[id];
    auto &step = job.steps[key.step];
    auto const &definition = job.definition.steps[key.step];
    auto &failed_on = step.tasks[key.index].failed_on;
    // A later boot of a worker may differ in kind, or be healthy again.
    std::erase_if(failed_on, [worker](auto const &other) { return other.worker == worker; });
    failed_on.push_back(state_.boot_of(worker));
    if(definition.gang && key.run <= step.failed_run) {
        return;
    }
    step.failed_run = std::max(step.failed_run, key.run);
    // The failures of a gang are counted at its first member.
    auto &counted = step.tasks[definition.gang ? 0u : key.index];
    ++counted.failures;
    auto const *terms = state_.rules_of(job);
    if(terms != nullptr && counted.failures >= terms->max_attempts && !definition.long_running) {
        end_job(id, job_phase::failed);
    }
}

void dispatcher::update_quarantine(worker_id const id, job_id const job, run_outcome const how, instant const now) {
    auto &worker = state_.workers[id];
    if(how == run_outcome::done) {
        worker.failing_jobs.clear();
        worker.quarantine_duration = {};
        return;
    }
    if(how != run_outcome::failed) {
        return;
    }
    worker.failing_jobs.insert(job);
    if(worker.failing_jobs.size() >= internal::failing_jobs_threshold && worker.quarantined_until <= now) {
        worker.quarantine_duration = std::clamp(
            worker.quarantine_duration * 2, internal::min_quarantine, internal::max_quarantine);
        worker.quarantined_until = now + worker.quarantine_duration;
    }
}

void dispatcher::reconcile_runs(worker_id const id, worker_inventory const &inventory, run_loss const reason,
    instant const sent_at, instant const now) {
    std::map<run_key, listed_run const *> listed;
    for(auto const &run: inventory.running) {
        listed.emplace(run.key, &run);
    }
    auto const placements = state_.workers[id].placements;
    for(auto const pos: placements) {
        auto *run = state_.placements.find(pos);
        if(run == nullptr || run->stage == internal::placement_stage::intended) {
            continue;
        }
        if(auto const found = listed.find(run->key); found != listed.end()) {
            confirm_run(pos, now);
            if(auto *task = state_.task_of(pos); task != nullptr && !found->second->checkpoint.empty()) {
                task->checkpoint = found->second->checkpoint;
                state_.jobs[run->job].steps[run->key.step].checkpoint = found->second->checkpoint;
            }
            listed.erase(found);
            continue;
        }
        auto const is_unresolved = run->stage == internal::placement_stage::unresolved && run->stage_since < sent_at;
        auto const is_gang = run->is_known && state_.jobs[run->job].definition.steps[run->key.step].gang;
        if(run->may_begin_until > sent_at) {
            // A stop or a list binds the present boot only: another one may still execute the start.
            if(is_unresolved && is_gang) {
                stop_runs(run->job, run->key.step);
            }
            continue;
        }
        auto const was_stopped = run->first_stop_answer_at && *run->first_stop_answer_at < sent_at;
        auto const was_known = run->stage == internal::placement_stage::running && run->stage_since < sent_at;
        if(was_stopped || was_known || run->stage == internal::placement_stage::inherited) {
            if(!inventory.has_all_completions) {
                continue;
            }
            remove_lost_run(pos, was_stopped ? run_loss::stopped : reason, now);
        } else if(is_unresolved) {
            // The start may still arrive: only an acknowledged stop rules it out.
            state_.request_stop(pos);
            if(is_gang) {
                stop_runs(run->job, run->key.step);
            }
        }
    }
    add_unknown_runs(id, inventory, listed, now);
}

void dispatcher::confirm_run(placement_id const id, instant const now) {
    auto &run = state_.placements[id];
    auto &worker = state_.workers[run.worker];
    report_late_confirmation(run, now);
    auto const was_started_by_this_boot = run.stage == internal::placement_stage::running &&
        run.sent_to == worker.restarts;
    auto const was_inherited = run.stage == internal::placement_stage::inherited;
    if(run.stage != internal::placement_stage::running) {
        run.stage = internal::placement_stage::running;
        run.stage_since = now;
        state_.mark_running(run.job);
    }
    run.may_begin_until = {};
    if(!std::exchange(run.is_listed, true) && !was_started_by_this_boot) {
        // The run may have begun, with a lease of its own, long after its start was sent.
        auto const expiry = now + state_.limits.longest_lease;
        if(was_inherited) {
            worker.raise_inherited_expiry(expiry);
        } else {
            worker.raise_lease_expiry(expiry);
        }
    }
}

void dispatcher::add_unknown_runs(worker_id const id, worker_inventory const &inventory,
    std::map<run_key, listed_run const *> const &unmatched, instant const now) {
    auto &worker = state_.workers[id];
    if(inventory.listed_at_ms < worker.listed_at_ms) {
        // A newer inventory was applied before this one: runs that ended in between are not unknown.
        return;
    }
    worker.listed_at_ms = inventory.listed_at_ms;
    for(auto const &[key, run]: unmatched) {
        add_unknown_run(id, *run, now);
    }
}

unknown_run dispatcher::describe_unknown_run(worker_id const id, run_key const &key) const {
    auto const &worker = state_.workers[id];
    unknown_run result{key, worker.registration.name, worker.boot, 0u, {}};
    auto const found = state_.job_ids.find(key.job);
    if(found == state_.job_ids.end() || is_final(state_.jobs[found->second].phase)) {
        return result;
    }
    auto const &steps = state_.jobs[found->second].steps;
    if(key.step < steps.size() && key.index < steps[key.step].tasks.size()) {
        auto const &task = steps[key.step].tasks[key.index];
        result.latest_run = task.run;
        if(auto const *other = state_.placements.find(task.placement); other != nullptr) {
            result.other_worker = state_.workers[other->worker].registration.name;
        }
    }
    return result;
}

void dispatcher::add_unknown_run(worker_id const id, listed_run const &run, instant const now) {
    unreported_unknown_runs_.push_back(describe_unknown_run(id, run.key));
    internal::placement placed;
    placed.worker = id;
    placed.key = run.key;
    placed.stage = internal::placement_stage::running;
    placed.is_known = false;
    placed.is_listed = true;
    placed.stop_requested = true;
    auto &worker = state_.workers[id];
    // This leader or an earlier one started the run. If its start was late, its lease may be as young as the list.
    worker.raise_lease_expiry(std::max(state_.inherited_leases_end_at, now + state_.limits.longest_lease));
    placed.stage_since = now;
    // The size is unknown: the worker counts as full until the run is gone, whichever other runs end there.
    placed.charge = worker.registration.capacity;
    placed.fills_worker = true;
    if(auto const found = state_.job_ids.find(run.key.job); found != state_.job_ids.end()) {
        auto const &job = state_.jobs[found->second];
        if(run.key.step < job.definition.steps.size()) {
            placed.charge = job.definition.steps[run.key.step].task_size;
            placed.fills_worker = false;
        }
    }
    state_.add_placement(std::move(placed));
}

void dispatcher::expire_leases(instant const now) {
    auto const ids = std::vector<worker_id>{state_.workers.ids().begin(), state_.workers.ids().end()};
    for(auto const id: ids) {
        auto &worker = state_.workers[id];
        auto const first_lapse = std::min(
            worker.listed_leases_expire_at, worker.inherited_lapse.value_or(instant::max()));
        if(first_lapse < now && !worker.placements.empty()) {
            auto const runs = worker.placements;
            for(auto const pos: runs) {
                auto const *run = state_.placements.find(pos);
                // The lease of a run with a pending start may be requested at any time until the answer arrives.
                auto const may_lapse = run != nullptr && run->stage != internal::placement_stage::intended &&
                    run->stage != internal::placement_stage::awaiting_answer;
                if(may_lapse && state_.lapse_time(*run) < now) {
                    remove_lost_run(pos, run_loss::lapsed, now);
                }
            }
        }
        auto const is_gone = !state_.workers[id].is_registered && state_.workers[id].placements.empty();
        if(is_gone && !state_.workers[id].lapse.may_stand()) {
            auto &gone = state_.workers[id];
            state_.fence_acknowledgements(gone);
            state_.former_workers[gone.registration.name] = {gone.boot, gone.command_epoch, gone.leases_expire_at};
            state_.worker_ids.erase(gone.registration.name);
            state_.workers.erase(id);
        }
    }
}

std::optional<instant> dispatcher::lapse_to_record(internal::live_worker const &worker, instant const now) const {
    auto const has_leases = !internal::is_silent(worker.seen_at, now);
    // A worker that leaves still works: its leases are extended up to the recorded time.
    auto const lapse_after = [&](millis const time) {
        return state_.last_lapse(
            worker, has_leases ? lease_expiry{now + state_.limits.longest_lease + time, now + time} : lease_expiry{});
    };
    auto const needed = lapse_after(internal::lapse_renewal_margin);
    auto const at = lapse_after(internal::leaving_lapse);
    auto const &committed = worker.lapse.committed;
    auto const is_kept = !at || (committed && *needed <= *committed && *committed <= *at + internal::lapse_tolerance);
    return is_kept ? std::nullopt : at;
}

void dispatcher::add_lapse_changes(progress_batch &batch) {
    auto const now = state_.planned_at;
    // A new leader needs this time to hear from the workers.
    auto const knows_workers = internal::is_silent(state_.begun_at, now);
    for(auto const id: state_.workers.ids()) {
        auto &worker = state_.workers[id];
        if(!knows_workers && !worker.is_reconciled) {
            continue;
        }
        auto const is_needed = !worker.placements.empty() &&
            (worker.registration.leaving || internal::is_silent(worker.seen_at, now));
        lapse_change change{id, worker.registration.name};
        if(is_needed) {
            change.at = lapse_to_record(worker, now);
        }
        if(change.at || (!is_needed && worker.lapse.committed)) {
            worker.lapse.batched = change.at;
            worker.lapse.is_batched = true;
            batch.lapses.push_back(std::move(change));
        }
        if(batch.lapses.size() == internal::max_lapse_changes) {
            break;
        }
    }
}

void dispatcher::apply_committed(lapse_change const &change) {
    auto *worker = state_.workers.find(change.worker);
    if(worker == nullptr) {
        return;
    }
    worker->lapse = {change.at};
    if(!change.at) {
        // From now on, leases may be extended, also by a command that a boot executes that no leader has polled.
        worker->inherited_lapse.reset();
    }
}

} // namespace kingcuplink
