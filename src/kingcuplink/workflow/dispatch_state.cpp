#include <algorithm>
#include <kingcuplink/workflow/dispatch_state.hpp>
#include <utility>

namespace kingcuplink::internal {

namespace {

/*! A worker without an answer for this time gets no new runs; slightly longer than one poll that waits. */
constexpr millis max_poll_age{2'500};

} // namespace

void dispatch_state::mark_steps_changed(job_id const job) {
    for(std::uint32_t step{}; step < jobs[job].steps.size(); ++step) {
        waiting.mark_changed({job, step});
    }
}

void dispatch_state::update_waiting_steps(instant const now) {
    for(auto const &key: waiting.take_changes(now)) {
        auto *job = jobs.find(key.job);
        auto const *step = job != nullptr ? &job->steps[key.step] : nullptr;
        if(step == nullptr || is_final(job->phase) || step->blocked_by > 0u || step->waiting == 0u ||
            rules_of(*job) == nullptr) {
            waiting.erase(key);
            continue;
        }
        waiting.insert(key, rank_of(job->objective, key.step, job->is_excess, now),
            next_rank_change(job->objective, key.step, job->is_excess, now));
    }
}

void dispatch_state::request_stop(placement_id const id) {
    if(!std::exchange(placements[id].stop_requested, true)) {
        requested_stops.push_back(id);
    }
}

void dispatch_state::mark_dirty(job_id const job) {
    if(auto *found = jobs.find(job); found != nullptr && !found->is_dirty) {
        found->is_dirty = true;
        dirty_jobs.push_back(job);
    }
}

void dispatch_state::mark_running(job_id const job) {
    if(auto *found = jobs.find(job); found != nullptr && found->phase == job_phase::queued) {
        found->phase = job_phase::running;
        mark_dirty(job);
    }
}

live_worker const *dispatch_state::find_worker(std::string const &name) const {
    auto const found = worker_ids.find(name);
    return found == worker_ids.end() ? nullptr : workers.find(found->second);
}

live_task *dispatch_state::task_of(placement_id const id) {
    auto const *run = placements.find(id);
    auto *job = run != nullptr && run->is_known ? jobs.find(run->job) : nullptr;
    if(job == nullptr) {
        return nullptr;
    }
    auto &task = job->steps[run->key.step].tasks[run->key.index];
    return task.placement == id ? &task : nullptr;
}

bool dispatch_state::may_have_run_in_other_boot(live_worker const &worker) const {
    return std::any_of(worker.placements.begin(), worker.placements.end(), [&](auto const id) {
        auto const &run = placements[id];
        if(run.is_listed || run.stage == placement_stage::intended) {
            return false;
        }
        auto const excluded_since = std::max(run.stage_since, run.may_begin_until);
        return run.stage == placement_stage::awaiting_answer || excluded_since >= worker.answered_poll_sent_at;
    });
}

void dispatch_state::fence_acknowledgements(live_worker &worker) {
    if(worker.unanswered_acknowledgements > 0u) {
        worker.unanswered_acknowledgements = 0u;
        highest_command_epoch = std::max(highest_command_epoch, ++worker.command_epoch);
    }
}

instant dispatch_state::lapse_time(placement const &run) const {
    auto const &worker = workers[run.worker];
    if(run.stage == placement_stage::inherited && worker.inherited_lapse) {
        return *worker.inherited_lapse;
    }
    return lapse_time(run, {worker.leases_expire_at, worker.listed_leases_expire_at});
}

instant dispatch_state::lapse_time(placement const &run, lease_expiry const &leases) const {
    if(run.is_listed) {
        return leases.in_known_boot;
    }
    if(!run.may_begin_in_other_boot) {
        return leases.in_any_boot;
    }
    // The start, or a lease extension, may be executed late by a boot that no leader has polled.
    return std::max(leases.in_any_boot + limits.command_delay, run.may_begin_until + limits.longest_lease);
}

std::optional<instant> dispatch_state::last_lapse(live_worker const &worker, lease_expiry const &expiry) const {
    lease_expiry const leases{std::max(worker.leases_expire_at, expiry.in_any_boot),
        std::max(worker.listed_leases_expire_at, expiry.in_known_boot)};
    instant last{};
    for(auto const id: worker.placements) {
        auto const &run = placements[id];
        if(run.stage == placement_stage::awaiting_answer) {
            return std::nullopt;
        }
        if(run.stage == placement_stage::inherited && worker.inherited_lapse) {
            last = std::max(last, *worker.inherited_lapse);
        } else if(run.stage != placement_stage::intended) {
            last = std::max(last, lapse_time(run, leases));
        }
    }
    return last;
}

bool dispatch_state::has_unknown_run(live_job const &job, std::uint32_t const step, std::uint32_t const index) const {
    return !unknown_run_counts.empty() && unknown_run_counts.contains({job.definition.id, step, index});
}

placement_id dispatch_state::add_placement(placement value) {
    auto &worker = workers[value.worker];
    worker.used += value.charge;
    auto const id = placements.emplace(std::move(value));
    worker.placements.push_back(id);
    auto const &run = placements[id];
    if(run.stop_requested) {
        requested_stops.push_back(id);
    }
    if(run.is_known) {
        auto &job = jobs[run.job];
        auto &step = job.steps[run.key.step];
        accounts[job.definition.account].used += run.charge;
        step.tasks[run.key.index].placement = id;
        ++job.placements;
        --step.waiting;
        waiting.mark_changed({run.job, run.key.step});
    } else {
        ++unknown_run_counts[{run.key.job, run.key.step, run.key.index}];
    }
    return id;
}

void dispatch_state::remove_placement(placement_id const id, instant const now) {
    auto *task = task_of(id);
    auto const run = placements[id];
    auto &worker = workers[run.worker];
    worker.used -= run.charge;
    std::erase(worker.placements, id);
    placements.erase(id);
    if(!run.is_known) {
        auto const unknown = unknown_run_counts.find({run.key.job, run.key.step, run.key.index});
        if(--unknown->second == 0u) {
            unknown_run_counts.erase(unknown);
        }
    }
    auto *job = run.is_known ? jobs.find(run.job) : nullptr;
    if(job == nullptr) {
        return;
    }
    accounts[job->definition.account].used -= run.charge;
    --job->placements;
    if(task != nullptr) {
        task->placement = {};
        auto &step = job->steps[run.key.step];
        if(!task->done) {
            ++step.waiting;
            waiting.mark_changed({run.job, run.key.step});
            task->not_before = std::max(task->not_before, now);
        }
        if(!is_final(job->phase)) {
            mark_dirty(run.job);
        }
    }
    erase_if_finished(run.job);
}

void dispatch_state::erase_if_finished(job_id const job) {
    auto const *found = jobs.find(job);
    if(found != nullptr && is_final(found->phase) && found->placements == 0u && !found->is_dirty) {
        job_ids.erase(found->definition.id);
        jobs.erase(job);
    }
}

bool has_failed_on(live_task const &task, worker_boot const &worker) {
    return std::find(task.failed_on.begin(), task.failed_on.end(), worker) != task.failed_on.end();
}

bool is_silent(instant const seen_at, instant const now) noexcept {
    return seen_at + max_poll_age <= now;
}

bool is_responsive(live_worker const &worker, instant const now) noexcept {
    return worker.answered_poll_sent_at > std::max(worker.unanswered_start_sent_at, worker.failed_poll_sent_at) &&
        !is_silent(worker.seen_at, now);
}

bool is_usable(live_worker const &worker, site_rules const &rules, instant const now) noexcept {
    return worker.is_described() && worker.is_reconciled && !worker.lapse.may_stand() && !worker.registration.leaving &&
        worker.quarantined_until <= now && is_responsive(worker, now) &&
        !rules.evacuated.contains(worker.registration.domain);
}

} // namespace kingcuplink::internal
