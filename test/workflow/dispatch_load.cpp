#include "dispatch_load.hpp"

#include "registration.hpp"

#include <algorithm>

namespace kingcuplink::test {

namespace {

constexpr std::size_t workers_per_domain = 50u;
/*! Leases granted by a poll. */
constexpr millis lease_time{9'000};

std::size_t number_in(std::string const &name) {
    return std::stoul(name.substr(1u));
}

/*! Returns well-distributed bits of a pair of numbers; the same on every machine. */
std::uint64_t mixed(std::uint64_t const lhs, std::uint64_t const rhs) noexcept {
    auto bits = (lhs << 32u) + rhs + 0x9e3779b97f4a7c15u;
    bits = (bits ^ (bits >> 30u)) * 0xbf58476d1ce4e5b9u;
    bits = (bits ^ (bits >> 27u)) * 0x94d049bb133111ebu;
    return bits ^ (bits >> 31u);
}

queue_rules rules_of(load_kind const &kind) {
    queue_rules queue;
    queue.name = kind.queue;
    queue.service = "service";
    queue.priority = kind.priority;
    queue.max_attempts = 2u;
    queue.stretch = kind.stretch;
    queue.target = kind.target;
    queue.advice = advice_terms{kind.advice_base, kind.advice_per_worker_us, load_ticket_time};
    return queue;
}

} // namespace

dispatch_load::dispatch_load(dispatch_load_options options)
    : options_{std::move(options)}, leader_{{.inherited_lease = lease_time}, events_.now()} {
    rules_->version = 1u;
    for(auto const *kind: load_kinds) {
        rules_->queues.push_back(rules_of(*kind));
    }
    account_rules account;
    account.name = "account";
    account.weight = 1e9;
    rules_->accounts.push_back(account);
    leader_.set_rules(rules_);
    leader_.set_querying_vms(options_.entry_vms);
    for(std::size_t pos{}; pos < options_.entry_vms; ++pos) {
        auto const name = "vm" + std::to_string(1'000u + pos);
        advisers_.add(name);
        vms_.emplace(name, entry_vm{});
    }
    for(std::size_t pos{}; pos < options_.workers; ++pos) {
        worker host;
        host.entry = registration_of(pos, workers_per_domain, load_worker_size);
        leader_.register_worker(host.entry, now());
        workers_.push_back(std::move(host));
    }
}

std::size_t dispatch_load::submit(load_kind const &kind, millis const waited, std::uint32_t const tasks) {
    auto const number = jobs_.size();
    auto const count = tasks > 0u ? tasks : kind.tasks;
    step_definition step;
    step.count = count;
    step.task_size = {kind.millicores, 1'024, 0};
    step.estimate = kind.run_time;
    step.gang = kind.gang;
    job_entry entry;
    entry.definition.id = "j" + std::to_string(number);
    entry.definition.queue = kind.queue;
    entry.definition.account = "account";
    entry.definition.steps.push_back(step);
    entry.definition.accepted_at = now() - waited;
    job added{.kind = &kind, .submitted_at = now(), .started = std::vector<bool>(count), .unfinished = count};
    added.idle_since = now();
    jobs_.push_back(std::move(added));
    unfinished_jobs_.push_back(number);
    waiting_tasks_ += count;
    measure([&] { leader_.add_job(entry); });
    return number;
}

void dispatch_load::submit_tasks(load_kind const &kind, std::size_t const tasks) {
    for(std::size_t left{tasks}; left > 0u;) {
        auto const count = std::min<std::size_t>(left, kind.tasks);
        submit(kind, {}, static_cast<std::uint32_t>(count));
        left -= count;
    }
}

void dispatch_load::run_round() {
    events_.run_until(now() + load_round_interval);
    poll_workers();
    dispatch_plan decided;
    auto const took = measure([&] { leader_.plan(now(), decided); });
    if(options_.processor_clock) {
        figures_.round_times.push_back(took);
    }
    figures_.max_steps_examined = std::max(figures_.max_steps_examined, decided.steps_examined);
    for(auto const &stop: decided.stops) {
        events_.after(load_call_time, [this, stop] { stop_run(stop); });
    }
    for(auto &query: decided.queries) {
        ask_adviser(std::move(query));
    }
    if(!is_batch_pending_) {
        take_batch();
    }
    count_losses();
    find_stranded_jobs();
}

void dispatch_load::run_for(millis const time) {
    for(auto const end = now() + time; now() < end;) {
        run_round();
    }
}

bool dispatch_load::run_until_started(millis const limit) {
    for(auto const end = now() + limit; waiting_tasks_ > 0u && now() < end;) {
        run_round();
    }
    return waiting_tasks_ == 0u;
}

void dispatch_load::poll_workers() {
    constexpr auto rounds_per_poll = static_cast<std::size_t>(load_poll_time / load_round_interval);
    ++round_;
    for(std::size_t pos{}; pos < workers_.size(); ++pos) {
        if(workers_[pos].answers_poll || (round_ + pos) % rounds_per_poll == 0u) {
            poll(workers_[pos]);
        }
    }
}

void dispatch_load::poll(worker &host) {
    host.answers_poll = false;
    worker_inventory inventory;
    inventory.boot = host.entry.boot;
    for(auto const &run: host.runs) {
        inventory.running.push_back({run.key, {}});
    }
    auto const acknowledged = leader_.boot_of(host.entry.name) == host.entry.boot ? leader_.kept_end(host.entry.name)
                                                                                  : 0u;
    std::erase_if(host.completions, [acknowledged](auto const &end) { return end.number <= acknowledged; });
    inventory.ended = host.completions;
    measure([&] {
        leader_.record_lease_extension(host.entry.name, lease_expiry::at(now() + lease_time));
        leader_.apply_inventory(host.entry.name, inventory, now(), now());
    });
}

void dispatch_load::restart_worker(std::size_t const pos) {
    auto &host = workers_[pos];
    auto const runs = std::exchange(host.runs, {});
    for(auto const &run: runs) {
        host.used -= run.size;
        used_millicores_ -= run.size.millicores;
        auto &owner = jobs_[run.job];
        if(--owner.running == 0u) {
            owner.idle_since = now();
        }
        count_interruption(run.job, run.key.index);
        end_gang(run.job, run.key.run, run_outcome::broken);
    }
    host.completions.clear();
    host.next_completion = 1u;
    host.answers_poll = true;
    ++host.entry.boot;
    measure([&] { leader_.register_worker(host.entry, now()); });
}

std::size_t &dispatch_load::queries_in_flight(millis const duration) noexcept {
    return duration >= internal::long_query_duration ? long_queries_ : short_queries_;
}

void dispatch_load::ask_adviser(advice_query query) {
    ++figures_.queries;
    ++queries_in_flight(query.duration);
    figures_.peak_long_queries = std::max(figures_.peak_long_queries, long_queries_);
    figures_.peak_short_queries = std::max(figures_.peak_short_queries, short_queries_);
    if(!options_.answers_advice) {
        return;
    }
    auto const vm = advisers_.assign(query.duration, now()).name;
    auto &asker = vms_.at(vm);
    if(asker.waiting_calls >= load_waiting_calls) {
        ++figures_.rejected_queries;
        --queries_in_flight(query.duration);
        advisers_.release(vm, false, now());
        measure([&] { leader_.advice_failed(query, now()); });
        return;
    }
    ++asker.waiting_calls;
    auto const &kind = *jobs_[number_in(query.job)].kind;
    asker.free_at = std::max(asker.free_at, now()) + kind.advice_time(query.workers.size());
    events_.after(asker.free_at - now(), [this, vm, moved = std::move(query)] { answer_advice(moved, vm); });
}

void dispatch_load::answer_advice(advice_query const &query, std::string const &vm) {
    ++figures_.answers;
    --queries_in_flight(query.duration);
    --vms_.at(vm).waiting_calls;
    advisers_.release(vm, true, now());
    auto const number = number_in(query.job);
    std::vector<advice_grant> grants;
    for(auto const &name: query.workers) {
        auto const host = number_in(name);
        if(mixed(number, host) % 100u < jobs_[number].kind->approved_percent) {
            grants.push_back({name, std::to_string(tickets_.size())});
            tickets_.push_back({number, host, workers_[host].entry.boot, now()});
        }
    }
    measure([&] { leader_.take_advice(query, grants, now()); });
}

void dispatch_load::take_batch() {
    progress_batch batch;
    measure([&] { batch = leader_.next_batch(); });
    if(!batch.empty()) {
        is_batch_pending_ = true;
        events_.after(load_commit_time, [this, moved = std::move(batch)] { commit_batch(moved); });
    }
}

void dispatch_load::commit_batch(progress_batch const &batch) {
    is_batch_pending_ = false;
    std::vector<run_start> commands;
    measure([&] { leader_.batch_committed(batch, now(), commands); });
    for(auto &command: commands) {
        events_.after(load_call_time, [this, moved = std::move(command)] { start_run(moved); });
    }
}

start_answer dispatch_load::answer_start(run_start const &command) {
    auto const &host = workers_[number_in(command.worker)];
    auto const &approved = tickets_[std::stoul(command.ticket)];
    auto const &owner = jobs_[number_in(command.key.job)];
    if(command.boot != host.entry.boot) {
        ++figures_.starts_for_other_boot;
        return start_answer::other_boot;
    }
    auto const is_valid = approved.job == number_in(command.key.job) && approved.worker == number_in(command.worker) &&
        approved.boot == host.entry.boot && approved.issued_at + load_ticket_time > now();
    if(!is_valid) {
        ++figures_.lapsed_tickets;
        return start_answer::bad_ticket;
    }
    if(!fits(resources{owner.kind->millicores, 1'024, 0}, host.entry.capacity - host.used)) {
        ++figures_.starts_without_room;
        return start_answer::no_capacity;
    }
    return start_answer::started;
}

void dispatch_load::start_run(run_start const &command) {
    auto const answer = answer_start(command);
    if(answer == start_answer::started) {
        auto const number = number_in(command.key.job);
        auto const pos = number_in(command.worker);
        auto &owner = jobs_[number];
        auto &host = workers_[pos];
        resources const size{owner.kind->millicores, 1'024, 0};
        ++figures_.starts;
        ++owner.running;
        host.used += size;
        used_millicores_ += size.millicores;
        host.runs.push_back({command.key, number, size});
        if(!owner.kind->gang) {
            count_start(number, command.key.index);
            events_.after(
                owner.kind->run_time, [this, pos, key = command.key] { end_run(pos, key, run_outcome::done); });
        } else {
            auto &members = gangs_[{number, command.key.run}];
            members.emplace_back(command.key.index, pos);
            if(members.size() == owner.started.size()) {
                for(auto const &member: members) {
                    count_start(number, member.first);
                }
                events_.after(owner.kind->run_time,
                    [this, number, run = command.key.run] { end_gang(number, run, run_outcome::done); });
            }
        }
    }
    measure([&] { leader_.start_answered(command.placement, answer, now()); });
}

void dispatch_load::count_start(std::size_t const number, std::uint32_t const index) {
    auto &owner = jobs_[number];
    if(!owner.first_start) {
        owner.first_start = now();
    }
    if(!owner.started[index]) {
        owner.started[index] = true;
        --waiting_tasks_;
    }
}

void dispatch_load::count_interruption(std::size_t const number, std::uint32_t const index) {
    ++figures_.interrupted_runs;
    if(auto &owner = jobs_[number]; owner.started[index]) {
        owner.started[index] = false;
        ++waiting_tasks_;
    }
}

void dispatch_load::end_run(std::size_t const pos, run_key const &key, run_outcome const how) {
    auto &host = workers_[pos];
    auto const found = std::find_if(
        host.runs.begin(), host.runs.end(), [&key](auto const &run) { return run.key == key; });
    if(found == host.runs.end()) {
        return;
    }
    auto &owner = jobs_[found->job];
    host.used -= found->size;
    used_millicores_ -= found->size.millicores;
    if(--owner.running == 0u) {
        owner.idle_since = now();
    }
    if(how == run_outcome::done) {
        --owner.unfinished;
    } else {
        count_interruption(found->job, key.index);
    }
    host.completions.push_back({host.next_completion++, key, how, {}});
    host.answers_poll = true;
    host.runs.erase(found);
}

void dispatch_load::end_gang(std::size_t const number, std::uint32_t const run, run_outcome const how) {
    auto const found = gangs_.find({number, run});
    if(found == gangs_.end()) {
        return;
    }
    auto const members = std::move(found->second);
    gangs_.erase(found);
    for(auto const &[index, host]: members) {
        end_run(host, {"j" + std::to_string(number), 0u, index, run}, how);
    }
}

void dispatch_load::stop_run(run_stop const &command) {
    auto const pos = number_in(command.worker);
    auto const is_known_boot = command.boot == workers_[pos].entry.boot;
    if(is_known_boot) {
        auto const number = number_in(command.key.job);
        end_run(pos, command.key, run_outcome::stopped);
        end_gang(number, command.key.run, run_outcome::broken);
    }
    measure([&] { leader_.stop_answered(command.placement, is_known_boot, now()); });
}

void dispatch_load::count_losses() {
    for(auto const &lost: leader_.take_lost_runs()) {
        figures_.dropped_starts += lost.reason == run_loss::not_sent ? 1u : 0u;
    }
}

bool dispatch_load::has_room_twice(load_kind const &kind, std::size_t const tasks) const {
    std::int64_t slots{};
    for(auto const &host: workers_) {
        slots += (host.entry.capacity.millicores - host.used.millicores) / kind.millicores;
    }
    return slots >= static_cast<std::int64_t>(2u * tasks);
}

void dispatch_load::find_stranded_jobs() {
    if(utilization() >= 0.5) {
        mostly_idle_since_.reset();
        return;
    }
    if(!mostly_idle_since_) {
        mostly_idle_since_ = now();
    }
    // While all entry VMs that may put a kind of query wait for answers, its jobs wait for the adviser.
    if(long_queries_ >= adviser_pool::long_call_limit(vms_.size())) {
        long_calls_busy_at_ = now();
    }
    if(std::none_of(vms_.begin(), vms_.end(), [](auto const &vm) { return vm.second.waiting_calls == 0u; })) {
        all_vms_busy_at_ = now();
    }
    if(now() - *mostly_idle_since_ <= load_longest_wait) {
        return;
    }
    std::erase_if(unfinished_jobs_, [&](auto const number) { return jobs_[number].unfinished == 0u; });
    for(auto const number: unfinished_jobs_) {
        auto &owner = jobs_[number];
        auto const is_long = owner.kind->advice_time(load_call_workers) >= internal::long_query_duration;
        auto const waits_since = std::max(owner.idle_since, is_long ? long_calls_busy_at_ : all_vms_busy_at_);
        auto const is_waiting = owner.running == 0u && now() - waits_since > load_longest_wait;
        if(is_waiting && !owner.is_stranded) {
            owner.is_stranded = has_room_twice(*owner.kind, owner.started.size());
        }
    }
}

std::size_t dispatch_load::stranded_jobs() const {
    return static_cast<std::size_t>(
        std::count_if(jobs_.begin(), jobs_.end(), [](auto const &item) { return item.is_stranded; }));
}

std::size_t dispatch_load::waiting_tasks(load_kind const &kind) const {
    std::size_t result{};
    for(auto const &item: jobs_) {
        if(item.kind == &kind) {
            result += static_cast<std::size_t>(std::count(item.started.begin(), item.started.end(), false));
        }
    }
    return result;
}

millis dispatch_load::start_delay(std::size_t const number) const {
    auto const &item = jobs_[number];
    return item.first_start ? *item.first_start - item.submitted_at : millis::max();
}

std::int64_t dispatch_load::total_millicores() const noexcept {
    return load_worker_size.millicores * static_cast<std::int64_t>(workers_.size());
}

double dispatch_load::utilization() const {
    return static_cast<double>(used_millicores_) / static_cast<double>(total_millicores());
}

} // namespace kingcuplink::test
