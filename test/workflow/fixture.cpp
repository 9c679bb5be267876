#include "fixture.hpp"

#include "registration.hpp"

#include <algorithm>
#include <utility>

namespace kingcuplink::test {

scripted_fleet::scripted_fleet(scripted_fleet_options const given) : options{given} {
    rules->version = 1u;
    queue_rules queue;
    queue.name = "queue";
    queue.service = "service";
    queue.max_attempts = options.max_attempts;
    queue.stretch = 2.0;
    queue.target = millis{1'000};
    queue.advice = options.advice;
    rules->queues.push_back(queue);
    queue.name = "patient";
    queue.stretch = 4.0;
    queue.target = millis{3'000};
    rules->queues.push_back(queue);
    queue.name = "urgent";
    queue.stretch = 2.0;
    queue.target = millis{1'000};
    queue.priority = 0;
    rules->queues.push_back(queue);
    account_rules account;
    account.name = "account";
    account.weight = 1'000.0;
    rules->accounts.push_back(account);
    for(std::size_t pos{}; pos < options.workers; ++pos) {
        worker item;
        item.entry = registration_of(pos, options.workers_per_domain, options.worker_size, options.first_boot);
        workers.push_back(item);
    }
    change_leader();
}

void scripted_fleet::change_leader() {
    pending_batch.reset();
    leader = std::make_unique<dispatcher>(options.limits, now);
    leader->set_rules(rules);
    for(auto const &[name, at]: lapses) {
        leader->adopt_lapse(name, at);
    }
    for(auto const &[id, entry]: table.jobs()) {
        leader->add_job(entry);
    }
    for(auto &item: workers) {
        leader->register_worker(item.entry, now);
        item.registered_boot = item.entry.boot;
    }
}

void scripted_fleet::submit(job_definition job) {
    auto const id = job.id;
    table.define(std::move(job));
    leader->add_job(*table.find(id));
}

job_definition scripted_fleet::job(std::string id, step_definition step, millis const accepted_after) {
    job_definition result;
    result.id = std::move(id);
    result.queue = "queue";
    result.account = "account";
    result.steps.push_back(std::move(step));
    result.accepted_at = instant{} + std::chrono::hours{1} + accepted_after;
    return result;
}

job_phase scripted_fleet::phase_of(std::string const &id) const {
    return table.find(id)->progress.phase;
}

std::size_t scripted_fleet::run_count(std::string const &id) const {
    std::size_t count{};
    for(auto const &item: workers) {
        count += static_cast<std::size_t>(
            std::count_if(item.runs.begin(), item.runs.end(), [&id](auto const &run) { return run.key.job == id; }));
    }
    return count;
}

double scripted_fleet::peak_utilization() const {
    double most{};
    for(auto const &item: workers) {
        resources used;
        for(auto const &run: item.runs) {
            used += run.size;
        }
        most = std::max(most, dominant_fraction(used, item.entry.capacity));
    }
    return most;
}

scripted_fleet::worker *scripted_fleet::find(std::string const &name) {
    auto const found = std::find_if(
        workers.begin(), workers.end(), [&name](auto const &item) { return item.entry.name == name; });
    return found == workers.end() ? nullptr : &*found;
}

void scripted_fleet::complete_due_runs(worker &host) {
    std::erase_if(host.runs, [&](auto const &run) {
        if(run.ends_at > now) {
            return false;
        }
        host.completions.push_back({host.next_completion++, run.key, run.outcome, {}});
        return true;
    });
}

void scripted_fleet::poll_workers() {
    for(auto &item: workers) {
        complete_due_runs(item);
        if(!item.reachable) {
            continue;
        }
        worker_inventory inventory;
        inventory.boot = item.entry.boot;
        for(auto const &run: item.runs) {
            inventory.running.push_back({run.key, {}});
        }
        auto const acknowledged = leader->kept_end(item.entry.name);
        std::erase_if(item.completions, [acknowledged](auto const &end) { return end.number <= acknowledged; });
        inventory.ended = item.completions;
        auto const lease = leader->is_leaving(item.entry.name) ? millis{3'250} : millis{9'000};
        if(auto const expiry = lease_expiry::at(now + lease); leader->may_extend_lease(item.entry.name, expiry)) {
            leader->record_lease_extension(item.entry.name, expiry);
        }
        leader->apply_inventory(item.entry.name, inventory, now - poll_duration, now);
        if(std::exchange(item.registered_boot, item.entry.boot) != item.entry.boot) {
            leader->register_worker(item.entry, now);
        }
    }
}

void scripted_fleet::commit_batch() {
    if(!pending_batch || pending_batch->empty()) {
        pending_batch = leader->next_batch();
    }
    if(!is_log_available) {
        return;
    }
    auto const batch = std::move(*pending_batch);
    pending_batch.reset();
    for(auto const &[id, progress]: batch.records) {
        table.advance(id, progress, now);
        if(is_final(progress.phase)) {
            ended_at.try_emplace(id, now);
        }
    }
    for(auto const &change: batch.lapses) {
        if(change.at) {
            lapses[change.name] = *change.at;
        } else {
            lapses.erase(change.name);
        }
    }
    std::vector<run_start> commands;
    leader->batch_committed(batch, now, commands);
    for(auto const &command: commands) {
        start_run(command);
    }
}

void scripted_fleet::start_run(run_start const &command) {
    auto *host = find(command.worker);
    if(host == nullptr || !host->reachable || drops_starts) {
        leader->start_answered(command.placement, start_answer::unknown, now);
        return;
    }
    ++starts;
    first_start.try_emplace(command.key.job, now);
    auto const found = behaviour.find(command.key.job);
    auto const [duration, outcome] = found == behaviour.end() ? std::pair{millis{1'000}, run_outcome::done}
                                                              : found->second;
    auto const &steps = table.find(command.key.job)->definition.steps;
    host->runs.push_back({command.key, steps[command.key.step].task_size, now + duration, outcome});
    leader->start_answered(command.placement, drops_start_answers ? start_answer::unknown : start_answer::started, now);
}

void scripted_fleet::stop_run(run_stop const &command) {
    ++stops[{command.key.job, command.key.step, command.key.index}];
    auto *host = find(command.worker);
    auto const is_reached = host != nullptr && host->reachable;
    if(is_reached) {
        std::erase_if(host->runs, [&](auto const &run) {
            if(run.key != command.key) {
                return false;
            }
            host->completions.push_back({host->next_completion++, run.key, run_outcome::stopped, {}});
            return true;
        });
    }
    leader->stop_answered(command.placement, is_reached, now);
}

void scripted_fleet::run_round() {
    now += round_interval;
    poll_workers();
    dispatch_plan decided;
    leader->plan(now, decided);
    max_steps_examined = std::max(max_steps_examined, decided.steps_examined);
    for(auto const &stop: decided.stops) {
        stop_run(stop);
    }
    for(auto const &query: decided.queries) {
        ++queries;
        if(std::find(query.workers.begin(), query.workers.end(), unadvised) != query.workers.end()) {
            leader->advice_failed(query, now);
            continue;
        }
        std::vector<advice_grant> grants;
        for(auto const &name: query.workers) {
            grants.push_back({name, "ticket"});
        }
        leader->take_advice(query, grants, now);
    }
    commit_batch();
}

void scripted_fleet::run_for(millis const time) {
    for(millis passed{}; passed < time; passed += round_interval) {
        run_round();
    }
}

std::vector<run_start> plan_and_commit(scripted_fleet &fleet) {
    dispatch_plan decided;
    fleet.leader->plan(fleet.now, decided);
    std::vector<run_start> starts;
    fleet.leader->batch_committed(fleet.leader->next_batch(), fleet.now, starts);
    return starts;
}

step_definition single_task_step() {
    step_definition step;
    step.task_size = {10'000, 1'024, 0};
    step.estimate = millis{1'000};
    return step;
}

} // namespace kingcuplink::test
