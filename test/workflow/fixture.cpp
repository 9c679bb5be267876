#include "fixture.hpp"

#include "registration.hpp"

#include <algorithm>

namespace kingcuplink::test {

scripted_fleet::scripted_fleet(fleet_shape const given) : shape{given} {
    rules->version = 1u;
    queue_rules queue;
    queue.name = "queue";
    queue.service = "service";
    queue.max_attempts = shape.max_attempts;
    queue.stretch = 2.0;
    queue.target = millis{1'000};
    queue.advice = shape.advice;
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
    for(std::size_t pos{}; pos < shape.workers; ++pos) {
        worker item;
        item.entry = registration_of(pos, shape.workers_per_domain, shape.worker_size, shape.first_boot);
        workers.push_back(item);
    }
    change_leader();
}

void scripted_fleet::change_leader() {
    batch_under_way.reset();
    leader = std::make_unique<dispatcher>(inherited_lease, now);
    leader->set_rules(rules);
    for(auto const &[id, entry]: table.jobs()) {
        leader->add_job(entry);
    }
    for(auto const &item: workers) {
        leader->register_worker(item.entry, now);
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

std::size_t scripted_fleet::runs_of(std::string const &id) const {
    std::size_t count{};
    for(auto const &item: workers) {
        count += static_cast<std::size_t>(
            std::count_if(item.runs.begin(), item.runs.end(), [&id](auto const &run) { return run.key.job == id; }));
    }
    return count;
}

double scripted_fleet::fullest() const {
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

void scripted_fleet::end_runs(worker &where) {
    std::erase_if(where.runs, [&](auto const &run) {
        if(run.ends_at > now) {
            return false;
        }
        where.ends.push_back({where.next_end++, run.key, run.how, {}});
        return true;
    });
}

void scripted_fleet::look_at_workers() {
    for(auto &item: workers) {
        end_runs(item);
        if(!item.reachable) {
            continue;
        }
        worker_inventory inventory;
        inventory.boot = item.entry.boot;
        for(auto const &run: item.runs) {
            inventory.running.push_back({run.key, {}});
        }
        auto const kept = leader->kept_end(item.entry.name);
        std::erase_if(item.ends, [kept](auto const &end) { return end.number <= kept; });
        inventory.ended = item.ends;
        leader->record_lease_extension(item.entry.name, now + millis{9'000});
        leader->apply_inventory(item.entry.name, inventory, now - look_time, now);
    }
}

void scripted_fleet::keep_batch() {
    if(!batch_under_way || batch_under_way->empty()) {
        batch_under_way = leader->next_batch();
    }
    if(!log_is_up) {
        return;
    }
    auto const batch = std::move(*batch_under_way);
    batch_under_way.reset();
    for(auto const &[id, progress]: batch.records) {
        table.advance(id, progress, now);
        if(is_final(progress.phase)) {
            ended_at.try_emplace(id, now);
        }
    }
    std::vector<run_start> orders;
    leader->batch_committed(batch, now, orders);
    for(auto const &order: orders) {
        begin(order);
    }
}

void scripted_fleet::begin(run_start const &order) {
    auto *where = find(order.worker);
    if(where == nullptr || !where->reachable || starts_are_lost) {
        leader->start_answered(order.placement, start_answer::unknown, now);
        return;
    }
    ++starts;
    first_start.try_emplace(order.key.job, now);
    auto const found = behaviour.find(order.key.job);
    auto const [length, how] = found == behaviour.end() ? std::pair{millis{1'000}, run_outcome::done} : found->second;
    auto const &steps = table.find(order.key.job)->definition.steps;
    where->runs.push_back({order.key, steps[order.key.step].task_size, now + length, how});
    leader->start_answered(order.placement, starts_are_unanswered ? start_answer::unknown : start_answer::started, now);
}

void scripted_fleet::obey(run_stop const &order) {
    ++stops[{order.key.job, order.key.step, order.key.index}];
    auto *where = find(order.worker);
    auto const is_reached = where != nullptr && where->reachable;
    if(is_reached) {
        std::erase_if(where->runs, [&](auto const &run) {
            if(run.key != order.key) {
                return false;
            }
            where->ends.push_back({where->next_end++, run.key, run_outcome::stopped, {}});
            return true;
        });
    }
    leader->stop_answered(order.placement, is_reached, now);
}

void scripted_fleet::step() {
    now += round_length;
    look_at_workers();
    dispatch_plan decided;
    leader->plan(now, decided);
    most_steps_examined = std::max(most_steps_examined, decided.steps_examined);
    for(auto const &stop: decided.stops) {
        obey(stop);
    }
    for(auto const &query: decided.queries) {
        ++queries;
        std::vector<advice_grant> grants;
        for(auto const &name: query.workers) {
            grants.push_back({name, "ticket"});
        }
        leader->take_advice(query, grants, now);
    }
    keep_batch();
}

void scripted_fleet::run_for(millis const time) {
    for(millis passed{}; passed < time; passed += round_length) {
        step();
    }
}

std::vector<run_start> plan_and_keep(scripted_fleet &fleet) {
    dispatch_plan decided;
    fleet.leader->plan(fleet.now, decided);
    std::vector<run_start> starts;
    fleet.leader->batch_committed(fleet.leader->next_batch(), fleet.now, starts);
    return starts;
}

step_definition one_task() {
    step_definition step;
    step.task_size = {10'000, 1'024, 0};
    step.estimate = millis{1'000};
    return step;
}

} // namespace kingcuplink::test
