#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>
#include <kingcuplink/daemon/domain_leader.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

/*! Number of low bits of an epoch that count acquisitions; the term is in the bits above. */
constexpr unsigned acquisition_bits = 20u;
constexpr millis confirmation_pause{50};

} // namespace internal

void domain_leader::add_workers() {
    auto const *domain = find_domain(*rules_, dependencies_.settings.failure_domain);
    if(domain == nullptr) {
        return;
    }
    for(auto const &worker: domain->workers) {
        auto const [entry, added] = slots_.try_emplace(worker.name);
        entry->second.address = worker.address;
        if(!added) {
            continue;
        }
        entry->second.name = worker.name;
        entry->second.id = scheduler_.add_worker(worker.name, worker.rack, worker.size);
        slot_names_.emplace(entry->second.id.index, worker.name);
        holds_.add(entry->second.id, worker.size);
        boost::asio::co_spawn(
            dependencies_.context, maintain_lease(shared_from_this(), worker.name), boost::asio::detached);
    }
}

std::uint64_t domain_leader::epoch_of(worker_slot const &slot) const noexcept {
    return (term_ << internal::acquisition_bits) + slot.acquisitions;
}

lease_holder domain_leader::holder_of(worker_slot const &slot) const {
    return {.name = holder_id_, .epoch = epoch_of(slot)};
}

boost::asio::awaitable<void> domain_leader::maintain_lease([[maybe_unused]] self_pointer self, std::string name) {
    auto &slot = slots_.at(name);
    while(!ended_) {
        if(slot.held) {
            co_await renew(slot);
        } else if(!co_await acquire(slot)) {
            co_await pause(config::worker_retry_delay);
        }
    }
}

boost::asio::awaitable<bool> domain_leader::acquire(worker_slot &slot) {
    ++slot.acquisitions;
    auto const sent = current_time();
    auto const reply = co_await dependencies_.workers.lease(slot.address, holder_of(slot), 0u, millis{});
    auto const now = current_time();
    if(ended_ || reply.outcome == lease_outcome::unknown || now - sent >= config::pause_threshold) {
        co_return false;
    }
    if(reply.outcome == lease_outcome::refused) {
        refused(slot, reply.epoch);
        co_return false;
    }
    dependencies_.stats.add(event::lease_granted);
    slot.held = true;
    slot.version = reply.version;
    clear_unknown(slot);
    holds_.granted(slot.id, sent, now);
    dependencies_.allotments.request_claim(now);
    apply_inventory(slot, reply);
    slot.accounted = true;
    update_usable(slot);
    plan_requested_ = true;
    co_return true;
}

boost::asio::awaitable<void> domain_leader::renew(worker_slot &slot) {
    auto const epoch = epoch_of(slot);
    auto const wait = holds_.needs_confirmation() ? millis{} : config::lease_renewal;
    auto const sent = current_time();
    auto const since = slot.version;
    auto const reply = co_await dependencies_.workers.lease(slot.address, holder_of(slot), since, wait);
    if(ended_ || epoch != epoch_of(slot) || !slot.held) {
        co_return;
    }
    auto const now = current_time();
    if(reply.outcome == lease_outcome::granted) {
        holds_.confirmed(slot.id, sent);
        // load_ledger() may have requested the whole inventory while this call was in flight.
        slot.version = slot.version == since ? reply.version : 0u;
        if(since == 0u) {
            clear_unknown(slot);
            apply_inventory(slot, reply);
            slot.accounted = true;
        } else {
            apply_changes(slot, reply);
        }
        update_usable(slot);
        if(wait == millis{}) {
            co_await pause(internal::confirmation_pause);
        }
        co_return;
    }
    if(reply.outcome == lease_outcome::refused) {
        invalidate_lease(slot);
        refused(slot, reply.epoch);
        co_return;
    }
    if(!holds_.is_held(slot.id, now)) {
        dependencies_.stats.add(event::lease_lost);
        LOG(WARNING) << "leader: lease expired worker=" << slot.name;
        invalidate_lease(slot);
    }
    co_await pause(config::worker_retry_delay);
}

void domain_leader::refused(worker_slot &slot, std::uint64_t const epoch) {
    dependencies_.stats.add(event::lease_refused);
    auto const term = epoch >> internal::acquisition_bits;
    if(term > term_ || (term == term_ && epoch >= epoch_of(slot))) {
        on_fenced_(term);
    }
}

void domain_leader::invalidate_lease(worker_slot &slot) {
    slot.held = false;
    holds_.dropped(slot.id);
    update_usable(slot);
}

void domain_leader::handle_pause() {
    LOG(WARNING) << "leader: process was paused; reading all inventories again";
    for(auto &[name, slot]: slots_) {
        invalidate_lease(slot);
    }
}

void domain_leader::update_usable(worker_slot &slot) {
    scheduler_.set_usable(slot.id, slot.held && !slot.leaving && slot.unknown.empty() && accepts_work());
}

void domain_leader::apply_inventory(worker_slot &slot, lease_reply const &reply) {
    apply_changes(slot, reply);
    std::set<std::pair<std::string, std::int64_t>> seen;
    for(auto const &task: reply.tasks) {
        seen.emplace(task.job, task.ordinal);
    }
    auto const recorded = scheduler_.find(slot.id)->tasks;
    for(auto const task: recorded) {
        auto const &record = *scheduler_.find(task);
        auto const &job = *scheduler_.find(record.job);
        if(starts_in_flight_.contains(task) || seen.contains({job.key, record.ordinal})) {
            continue;
        }
        end_task(task, record.state == task_state::starting ? task_outcome::not_started : task_outcome::lost);
    }
}

void domain_leader::apply_changes(worker_slot &slot, lease_reply const &reply) {
    for(auto const &task: reply.tasks) {
        apply_task(slot, task);
    }
}

void domain_leader::apply_task(worker_slot &slot, worker_task const &seen) {
    auto const job = scheduler_.job_of(seen.job);
    if(!job || seen.ordinal < 0 || static_cast<std::size_t>(seen.ordinal) >= scheduler_.find(*job)->tasks.size()) {
        track_unknown(slot, seen);
        return;
    }
    auto const task = scheduler_.find(*job)->tasks[static_cast<std::size_t>(seen.ordinal)];
    if(seen.state == "running") {
        apply_running(slot, task, seen);
    } else {
        apply_ended(task, seen);
    }
}

void domain_leader::apply_running(worker_slot &slot, task_id const task, worker_task const &seen) {
    auto const *record = scheduler_.find(task);
    if(record == nullptr) {
        return;
    }
    if(is_on_worker(record->state)) {
        if(record->worker == slot.id && record->attempt == seen.attempt) {
            if(!starts_in_flight_.contains(task)) {
                scheduler_.start_confirmed(task, current_time() - seen.running_for);
            }
            scheduler_.report_use(task, seen.used);
        }
        return;
    }
    if(is_final(record->state)) {
        boost::asio::co_spawn(dependencies_.context, stop_orphan(shared_from_this(), slot.name, seen.job, seen.ordinal),
            boost::asio::detached);
        return;
    }
    scheduler_.adopt(task, slot.id, seen.size, seen.attempt, current_time() - seen.running_for);
    record_use(task);
}

void domain_leader::apply_ended(task_id const task, worker_task const &seen) {
    auto const *record = scheduler_.find(task);
    if(record == nullptr) {
        return;
    }
    if(record->state == task_state::withheld && seen.state == "succeeded" &&
        scheduler_.find(record->job)->spec.kind != job_kind::service) {
        auto const key = scheduler_.find(record->job)->key;
        scheduler_.resolve_task(task, task_state::succeeded, current_time());
        dependencies_.jobs.record({.kind = job_event_kind::task_final,
            .job = key,
            .ordinal = seen.ordinal,
            .state = std::string{name_of(task_state::succeeded)}});
        return;
    }
    auto const is_recorded = is_on_worker(record->state) && record->attempt == seen.attempt;
    if(!is_recorded) {
        return;
    }
    auto const outcome = seen.state == "succeeded" ? task_outcome::succeeded
        : seen.state == "failed"                   ? task_outcome::failed
                                                   : task_outcome::stopped;
    end_task(task, outcome);
}

void domain_leader::track_unknown(worker_slot &slot, worker_task const &seen) {
    std::pair const key{seen.job, seen.ordinal};
    auto const known = slot.unknown.find(key);
    if(seen.state == "running" && known == slot.unknown.end()) {
        task_use const use{slot.id, scheduler_.set_team(seen.team, 1), seen.size};
        slot.unknown.emplace(key, use);
        holds_.add_use(use.worker, use.team, use.amount);
        boost::asio::co_spawn(dependencies_.context, stop_orphan(shared_from_this(), slot.name, seen.job, seen.ordinal),
            boost::asio::detached);
    } else if(seen.state != "running" && known != slot.unknown.end()) {
        holds_.remove_use(known->second.worker, known->second.team, known->second.amount);
        slot.unknown.erase(known);
    }
}

void domain_leader::clear_unknown(worker_slot &slot) {
    for(auto const &[key, use]: slot.unknown) {
        holds_.remove_use(use.worker, use.team, use.amount);
    }
    slot.unknown.clear();
}

boost::asio::awaitable<void> domain_leader::stop_orphan(
    [[maybe_unused]] self_pointer self, std::string worker, std::string job, std::int64_t const ordinal) {
    // Each inventory lists the task again while the journal is not read.
    auto const orphan = std::tuple{worker, job, ordinal};
    if(!orphan_stops_.insert(orphan).second) {
        co_return;
    }
    while(!ended_ && !journal_read_) {
        co_await pause(config::worker_retry_delay);
    }
    auto const &slot = slots_.at(worker);
    auto const known = scheduler_.job_of(job);
    auto const is_wanted = known && !is_final(scheduler_.find(*known)->state);
    if(!ended_ && slot.held && !is_wanted) {
        LOG(WARNING) << "leader: stopping task without a live job job=" << job << " task=" << ordinal
                     << " worker=" << worker;
        co_await dependencies_.workers.stop(slot.address, holder_of(slot), job, ordinal, false);
    }
    orphan_stops_.erase(orphan);
}

bool domain_leader::is_lease_known_expired(worker_slot const &slot, instant const now) const {
    auto const own_end = std::max(holds_.lease_end(slot.id), started_at_ + config::lease_length);
    if(now < own_end) {
        return false;
    }
    if(slot.missing_since != instant{} && now - slot.missing_since >= config::lease_length) {
        return true;
    }
    auto const *domain = find_domain(*rules_, dependencies_.settings.failure_domain);
    return domain != nullptr && std::all_of(domain->entry_vms.begin(), domain->entry_vms.end(), [&](auto const &vm) {
        if(vm.name == dependencies_.settings.name) {
            return true;
        }
        auto const idle_since = std::max(dependencies_.leadership_state.idle_since(vm.name, now), started_at_);
        return idle_since != instant::max() && now - idle_since >= config::lease_length;
    });
}

void domain_leader::end_expired_tasks(instant const now) {
    for(auto &[name, slot]: slots_) {
        if(slot.held || !is_lease_known_expired(slot, now)) {
            continue;
        }
        slot.accounted = true;
        auto const tasks = scheduler_.find(slot.id)->tasks;
        for(auto const task: tasks) {
            if(!starts_in_flight_.contains(task)) {
                end_task(task, task_outcome::lost);
            }
        }
    }
}

} // namespace kingcuplink
