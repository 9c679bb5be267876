#include "replay.hpp"

#include "registration.hpp"

#include <algorithm>
#include <deque>

namespace kingcuplink::test {

namespace {

/*! Times given by the requirements. */
constexpr millis checkpoint_interval{500};
constexpr millis restore_time{250};
constexpr millis stop_grace{400};
constexpr millis gang_timeout{3'000};
constexpr millis lease{8'000};
/*! Fraction of its value that a late job earns. */
constexpr double late_value_share = 0.2;

double core_seconds(resources const &size, millis const time) {
    return static_cast<double>(size.millicores) / 1e3 * static_cast<double>(time.count()) / 1e3;
}

step_definition const &step_of(replay_state const &state) {
    return state.job->definition.steps.front();
}

double work_of(replay_job const &job) {
    auto const &step = job.definition.steps.front();
    return core_seconds(step.task_size, step.estimate) * step.count;
}

/*! Returns the work done by a run so far, including restored work. */
millis work_done(replay_run const &run, instant const now) {
    auto const restored = run.restored_work > millis{} ? restore_time : millis{};
    auto const worked = std::max(millis{}, std::chrono::duration_cast<millis>(now - run.started_at) - restored);
    return run.restored_work + worked / run.slowdown;
}

/*! Returns the part of a run's work that is saved in its latest checkpoint. */
millis checkpointed_work(replay_run const &run, instant const now) {
    return work_done(run, now) / checkpoint_interval * checkpoint_interval;
}

std::string checkpoint_text(millis const saved) {
    return saved > millis{} ? std::to_string(saved.count()) : std::string{};
}

millis mean_of(std::vector<millis> const &values) {
    millis sum{};
    for(auto const value: values) {
        sum += value;
    }
    return values.empty() ? sum : sum / static_cast<std::int64_t>(values.size());
}

/*! Policy that uses the dispatcher; the log commits every batch immediately. */
class dispatcher_policy final : public replay_policy {
public:
    void begin(replay &simulation) override {
        leader_ = std::make_unique<dispatcher>(dispatch_limits{}, simulation.now);
        rules_changed(simulation);
        for(auto const &item: simulation.workers) {
            leader_->register_worker(item.entry, simulation.now);
        }
    }

    void rules_changed(replay &simulation) override {
        leader_->set_rules(std::make_shared<site_rules const>(simulation.rules));
    }

    void job_accepted(replay &simulation, std::size_t const job) override {
        job_entry entry;
        entry.definition = simulation.jobs[job].job->definition;
        leader_->add_job(entry);
    }

    void job_cancelled(replay &simulation, std::size_t const job) override {
        leader_->cancel_job(simulation.jobs[job].job->definition.id);
    }

    void job_failed(replay & /*simulation*/, std::size_t const /*job*/) override {}

    void decide(replay &simulation) override {
        poll(simulation);
        while(!unanswered_.empty() && unanswered_.front().second + command_timeout <= simulation.now) {
            leader_->start_answered(unanswered_.front().first, start_answer::unknown, simulation.now);
            unanswered_.pop_front();
        }
        dispatch_plan decided;
        leader_->plan(simulation.now, decided);
        for(auto const &command: decided.stops) {
            auto const worker = index_of(command.worker);
            auto const is_reached = simulation.workers[worker].is_up;
            if(is_reached) {
                simulation.stop(worker, command.key);
            }
            leader_->stop_answered(command.placement, is_reached, simulation.now);
        }
        auto const batch = leader_->next_batch();
        for(auto const &[id, progress]: batch.records) {
            simulation.set_phase(id, progress.phase);
        }
        std::vector<run_start> commands;
        leader_->batch_committed(batch, simulation.now, commands);
        for(auto const &command: commands) {
            auto const worker = index_of(command.worker);
            replay_start const start{simulation.index_of(command.key.job), command.key.index, command.key.run, worker};
            leader_->record_lease_extension(command.worker, lease_expiry::at(simulation.now + lease_expiry_bound));
            if(simulation.workers[worker].is_up) {
                simulation.start(start);
                leader_->start_answered(command.placement, start_answer::started, simulation.now);
            } else {
                simulation.record_lost_start(start);
                unanswered_.emplace_back(command.placement, simulation.now);
            }
        }
    }

private:
    [[nodiscard]] static std::size_t index_of(std::string const &worker) {
        return static_cast<std::size_t>(std::stoul(worker.substr(1u)));
    }

    void poll(replay &simulation) {
        for(auto &item: simulation.workers) {
            if(!item.is_up) {
                continue;
            }
            worker_inventory inventory;
            inventory.boot = item.entry.boot;
            for(auto const &run: item.runs) {
                auto const saves_checkpoint = step_of(simulation.jobs[run.job]).checkpointing;
                auto const saved = checkpointed_work(run, simulation.now);
                inventory.running.push_back({run.key, saves_checkpoint ? checkpoint_text(saved) : std::string{}});
            }
            auto const acknowledged = leader_->kept_end(item.entry.name);
            std::erase_if(item.completions, [acknowledged](auto const &end) { return end.number <= acknowledged; });
            inventory.ended = item.completions;
            leader_->record_lease_extension(item.entry.name, lease_expiry::at(simulation.now + lease_expiry_bound));
            leader_->apply_inventory(item.entry.name, inventory, simulation.now, simulation.now);
        }
    }

    std::unique_ptr<dispatcher> leader_;
    /*! Starts that will not be answered, with the time at which they were sent. */
    std::deque<std::pair<placement_id, instant>> unanswered_;
};

class fifo_policy final : public replay_policy {
public:
    void begin(replay & /*simulation*/) override {}
    void rules_changed(replay & /*simulation*/) override {}
    void job_accepted(replay & /*simulation*/, std::size_t const /*job*/) override {}

    void job_cancelled(replay &simulation, std::size_t const job) override {
        job_failed(simulation, job);
    }

    void job_failed(replay &simulation, std::size_t const job) override {
        auto const &state = simulation.jobs[job];
        for(std::uint32_t index{}; index < state.tasks.size(); ++index) {
            if(auto const &task = state.tasks[index]; task.worker && simulation.workers[*task.worker].is_up) {
                simulation.stop(*task.worker, {state.job->definition.id, 0u, index, task.run});
            }
        }
    }

    void decide(replay &simulation) override {
        for(std::size_t job{}; job < simulation.jobs.size(); ++job) {
            if(!place(simulation, job)) {
                return;
            }
        }
    }

private:
    /*! Starts the waiting tasks of a job; returns false if there is not enough free capacity. */
    static bool place(replay &simulation, std::size_t const job) {
        auto const &state = simulation.jobs[job];
        auto const &step = step_of(state);
        std::vector<resources> available;
        std::vector<replay_start> starts;
        for(std::uint32_t index{}; index < state.tasks.size(); ++index) {
            auto const &task = state.tasks[index];
            if(!simulation.is_waiting(state, task)) {
                if(step.gang && !task.done) {
                    return true;
                }
                continue;
            }
            if(available.empty()) {
                for(auto const &item: simulation.workers) {
                    available.push_back(
                        item.is_up && !item.is_evacuated ? simulation.free_capacity(item) : resources{});
                }
            }
            auto const found = std::find_if(available.begin(), available.end(),
                [&step](auto const &remaining) { return fits(step.task_size, remaining); });
            if(found == available.end()) {
                if(!step.gang) {
                    start_all(simulation, starts);
                }
                return false;
            }
            *found -= step.task_size;
            starts.push_back({job, index, task.run + 1u, static_cast<std::size_t>(found - available.begin())});
        }
        start_all(simulation, starts);
        return true;
    }

    static void start_all(replay &simulation, std::vector<replay_start> starts) {
        std::uint32_t run{};
        for(auto const &command: starts) {
            run = std::max(run, command.run);
        }
        for(auto &command: starts) {
            command.run = run;
            simulation.start(command);
        }
    }
};

} // namespace

std::unique_ptr<replay_policy> make_dispatcher_policy() {
    return std::make_unique<dispatcher_policy>();
}

std::unique_ptr<replay_policy> make_fifo_policy() {
    return std::make_unique<fifo_policy>();
}

replay::replay(replay_load const &load, replay_policy &policy)
    : now{load.begins_at}, rules{load.rules}, load_{load}, policy_{policy} {
    for(std::size_t pos{}; pos < load.workers; ++pos) {
        replay_worker item;
        item.entry = registration_of(pos, load.workers_per_domain, load.worker_size);
        workers.push_back(std::move(item));
    }
    jobs.reserve(load.jobs.size());
    policy_.begin(*this);
}

replay_result replay::run() {
    while(now < load_.ends_at && !is_finished()) {
        now += replay_interval;
        change_domains();
        complete_due_runs();
        accept_jobs();
        cancel_jobs();
        policy_.decide(*this);
        synchronize_gangs();
        check_capacity();
        record_idleness();
    }
    return compute_result();
}

std::size_t replay::index_of(std::string const &job) const {
    return ids_.at(job);
}

bool replay::is_waiting(replay_state const &job, replay_task const &task) const noexcept {
    return !job.ended_at && !task.done && !task.worker;
}

resources replay::free_capacity(replay_worker const &worker) const {
    auto remaining = worker.entry.capacity;
    for(auto const &run: worker.runs) {
        remaining -= run.size;
    }
    return remaining;
}

void replay::set_phase(std::string const &job, job_phase const phase) {
    jobs[index_of(job)].phase = phase;
}

void replay::change_domains() {
    for(; next_change_ < load_.changes.size() && load_.changes[next_change_].at <= now; ++next_change_) {
        auto const &change = load_.changes[next_change_];
        for(auto &item: workers) {
            if(item.entry.domain != change.domain) {
                continue;
            }
            switch(change.kind) {
            case domain_change::evacuate:
                item.is_evacuated = true;
                rules.evacuated.insert(change.domain);
                break;
            case domain_change::readmit:
                item.is_evacuated = false;
                rules.evacuated.erase(change.domain);
                break;
            case domain_change::fail:
                fail_worker(item);
                break;
            case domain_change::slow_down:
                item.slowdown = 3;
                break;
            }
        }
        policy_.rules_changed(*this);
    }
}

void replay::fail_worker(replay_worker &worker) {
    worker.is_up = false;
    worker.lost_at = now;
    worker.completions.clear();
    for(auto const &run: worker.runs) {
        auto &state = jobs[run.job];
        auto &task = state.tasks[run.key.index];
        task.saved = step_of(state).checkpointing ? checkpointed_work(run, now) : millis{};
        auto const retained = std::max(millis{}, task.saved - run.restored_work) * run.slowdown;
        state.wasted_core_seconds += core_seconds(
            run.size, std::chrono::duration_cast<millis>(now - run.started_at) - retained);
    }
    // Its tasks stay assigned to it until its lease has expired.
    auto const lost_runs = worker.runs;
    worker.runs.clear();
    for(auto const &run: lost_runs) {
        if(step_of(jobs[run.job]).gang) {
            break_gang(run.job);
        }
    }
}

void replay::break_gang(std::size_t const job) {
    for(auto &item: workers) {
        auto const all = item.runs;
        std::erase_if(item.runs, [job](auto const &run) { return run.job == job; });
        for(auto const &run: all) {
            if(run.job == job) {
                complete_run(item, run, run_outcome::broken);
            }
        }
    }
}

void replay::accept_jobs() {
    for(; next_job_ < load_.jobs.size() && load_.jobs[next_job_].definition.accepted_at <= now; ++next_job_) {
        replay_state state;
        state.job = &load_.jobs[next_job_];
        state.tasks.resize(step_of(state).count);
        ids_.emplace(state.job->definition.id, jobs.size());
        jobs.push_back(std::move(state));
        policy_.job_accepted(*this, jobs.size() - 1u);
    }
}

void replay::cancel_jobs() {
    for(std::size_t pos{}; pos < jobs.size(); ++pos) {
        auto &state = jobs[pos];
        if(!state.ended_at && state.job->cancelled_at && *state.job->cancelled_at <= now) {
            state.ended_at = now;
            policy_.job_cancelled(*this, pos);
        }
    }
}

void replay::complete_due_runs() {
    for(auto &item: workers) {
        auto const all = item.runs;
        std::erase_if(item.runs,
            [this](auto const &run) { return run.ends_at <= now || (run.stops_at && *run.stops_at <= now); });
        for(auto const &run: all) {
            if(run.ends_at <= now) {
                complete_run(item, run, run.outcome);
            } else if(run.stops_at && *run.stops_at <= now) {
                complete_run(item, run, run_outcome::stopped);
            }
        }
        if(!item.is_up && item.lost_at + lease < now) {
            auto const index = static_cast<std::size_t>(&item - workers.data());
            for(auto &state: jobs) {
                for(auto &task: state.tasks) {
                    if(task.worker == index) {
                        task.worker.reset();
                    }
                }
            }
        }
    }
}

void replay::complete_run(replay_worker &worker, replay_run const &run, run_outcome const outcome) {
    auto &state = jobs[run.job];
    auto const &step = step_of(state);
    auto &task = state.tasks[run.key.index];
    auto const time = std::chrono::duration_cast<millis>(now - run.started_at);
    task.worker.reset();
    std::string checkpoint;
    if(outcome == run_outcome::done) {
        task.done = true;
    } else {
        auto const saves_checkpoint = step.checkpointing && outcome == run_outcome::stopped;
        task.saved = saves_checkpoint ? std::max(run.restored_work, work_done(run, now)) : task.saved;
        auto const retained = saves_checkpoint && !state.ended_at ? (task.saved - run.restored_work) * run.slowdown
                                                                  : millis{};
        // Work of a job that was cancelled by its caller does not count as lost.
        auto const is_cancelled = state.job->cancelled_at && *state.job->cancelled_at <= now;
        state.wasted_core_seconds += is_cancelled ? 0.0 : core_seconds(run.size, time - retained);
        checkpoint = saves_checkpoint ? checkpoint_text(task.saved) : checkpoint;
    }
    worker.completions.push_back({worker.next_completion++, run.key, outcome, checkpoint});
    if(outcome == run_outcome::failed) {
        auto &counted = state.tasks[step.gang ? 0u : run.key.index];
        counted.failures += !step.gang || run.key.index == 0u ? 1u : 0u;
        auto const *queue = find_queue(rules, state.job->definition.queue);
        if(counted.failures >= queue->max_attempts && !state.ended_at) {
            state.ended_at = now;
            policy_.job_failed(*this, run.job);
        }
    }
    auto const is_done = std::all_of(
        state.tasks.begin(), state.tasks.end(), [](auto const &item) { return item.done; });
    if(is_done && !state.ended_at) {
        state.ended_at = now;
    }
    if(state.job->cancelled_at && state.ended_at && *state.ended_at >= *state.job->cancelled_at) {
        result_.longest_cancellation = std::max(
            result_.longest_cancellation, std::chrono::duration_cast<millis>(now - *state.ended_at));
    }
}

void replay::start(replay_start const &command) {
    auto &state = jobs[command.job];
    auto const &step = step_of(state);
    auto &task = state.tasks[command.index];
    auto &worker = workers[command.worker];
    auto const &id = state.job->definition.id;
    if(task.worker || task.done) {
        result_.violations.push_back("task started twice: " + id);
    }
    if(state.ended_at) {
        result_.violations.push_back("start after the end of job " + id);
    }
    if(worker.is_evacuated) {
        result_.violations.push_back("start on an evacuated worker: " + id);
    }
    task.worker = command.worker;
    task.run = command.run;
    state.first_start = state.first_start.value_or(now);
    auto const restored = task.saved > millis{} ? restore_time : millis{};
    replay_run run;
    run.key = {id, 0u, command.index, command.run};
    run.job = command.job;
    run.size = step.task_size;
    run.started_at = now;
    run.restored_work = task.saved;
    run.slowdown = worker.slowdown;
    run.outcome = state.job->always_fails ? run_outcome::failed : run_outcome::done;
    run.ends_at = now + restored + (step.estimate - task.saved) * worker.slowdown;
    worker.runs.push_back(std::move(run));
    if(step.gang && (started_gangs_.empty() || started_gangs_.back() != command.job)) {
        started_gangs_.push_back(command.job);
    }
}

void replay::record_lost_start(replay_start const &command) {
    auto &worker = workers[command.worker];
    worker.unanswered_since = worker.unanswered_since.value_or(now);
    if(now > *worker.unanswered_since + command_timeout) {
        result_.violations.push_back("start on a worker that does not answer: " + jobs[command.job].job->definition.id);
    }
    auto &state = jobs[command.job];
    state.has_unanswered_start = true;
    state.tasks[command.index].run = command.run;
    state.tasks[command.index].withheld_until = now + lease_expiry_bound;
}

void replay::stop(std::size_t const worker, run_key const &key) {
    for(auto &run: workers[worker].runs) {
        if(run.key == key && !run.stops_at) {
            run.stops_at = now + stop_grace;
            auto &state = jobs[run.job];
            auto &task = state.tasks[key.index];
            if(!state.ended_at && !step_of(state).checkpointing) {
                result_.violations.push_back("stopped without a checkpoint: " + key.job);
            }
            task.stops += state.ended_at ? 0u : 1u;
            result_.max_stops = std::max(result_.max_stops, task.stops);
        }
    }
}

void replay::synchronize_gangs() {
    for(auto const job: started_gangs_) {
        std::vector<replay_run *> members;
        instant last{};
        for(auto &item: workers) {
            for(auto &run: item.runs) {
                if(run.job == job && run.key.run == jobs[job].tasks.front().run) {
                    members.push_back(&run);
                    last = std::max(last, run.ends_at);
                }
            }
        }
        auto const is_whole = members.size() == jobs[job].tasks.size();
        if(!is_whole && !jobs[job].has_unanswered_start) {
            result_.violations.push_back("gang started incompletely: " + jobs[job].job->definition.id);
        }
        for(auto *run: members) {
            run->ends_at = is_whole ? last : now + gang_timeout;
            run->outcome = is_whole ? run->outcome : run_outcome::alone;
        }
    }
    started_gangs_.clear();
}

void replay::check_capacity() {
    for(auto const &item: workers) {
        auto const remaining = free_capacity(item);
        if(remaining.millicores < 0 || remaining.memory_mib < 0 || remaining.accelerators < 0) {
            result_.violations.push_back("worker overcommitted: " + item.entry.name);
        }
    }
}

void replay::record_idleness() {
    auto const waits = [this](replay_state const &state) {
        return std::any_of(state.tasks.begin(), state.tasks.end(),
            [&](auto const &task) { return is_waiting(state, task) && task.withheld_until <= now; });
    };
    auto const is_gang_waiting = std::any_of(
        jobs.begin(), jobs.end(), [&](auto const &state) { return step_of(state).gang && waits(state); });
    for(auto &state: jobs) {
        auto const &size = step_of(state).task_size;
        auto const is_idle = !is_gang_waiting && waits(state) &&
            std::any_of(workers.begin(), workers.end(),
                [&](auto const &item) { return item.is_up && !item.is_evacuated && fits(size, free_capacity(item)); });
        if(!is_idle) {
            state.idle_since.reset();
            continue;
        }
        state.idle_since = state.idle_since.value_or(now);
        result_.longest_idle = std::max(
            result_.longest_idle, std::chrono::duration_cast<millis>(now - *state.idle_since));
    }
}

bool replay::is_finished() const {
    auto const is_empty = std::all_of(
        workers.begin(), workers.end(), [](auto const &item) { return item.runs.empty(); });
    return next_job_ == load_.jobs.size() && is_empty &&
        std::all_of(jobs.begin(), jobs.end(), [](auto const &state) { return state.ended_at.has_value(); });
}

replay_result replay::compute_result() {
    std::map<std::string, std::vector<replay_state const *>> kinds;
    for(auto const &state: jobs) {
        kinds[state.job->kind].push_back(&state);
    }
    double earned{};
    double total_value{};
    for(auto &[kind, all]: kinds) {
        std::stable_sort(all.begin(), all.end(),
            [](auto const *lhs, auto const *rhs) { return work_of(*lhs->job) > work_of(*rhs->job); });
        auto &row = result_.kinds[kind];
        row.jobs = all.size();
        double work{};
        std::vector<replay_state const *> eligible;
        for(auto const *state: all) {
            row.wasted_core_seconds += state->wasted_core_seconds;
            if(state->job->is_eligible && !state->job->cancelled_at) {
                eligible.push_back(state);
                work += work_of(*state->job);
            }
            auto const has_failed = state->phase == job_phase::failed;
            auto const is_wrong = !state->ended_at || has_failed != state->job->always_fails;
            result_.wrong_outcomes += is_wrong ? 1u : 0u;
        }
        row.eligible = eligible.size();
        std::vector<millis> waits;
        std::vector<millis> largest;
        auto const tenth_size = std::max<std::size_t>(1u, eligible.size() / 10u);
        double late{};
        double served{};
        double largest_served{};
        for(std::size_t pos{}; pos < eligible.size(); ++pos) {
            auto const &state = *eligible[pos];
            auto const objective = objective_of(state.job->definition, *find_queue(rules, state.job->definition.queue));
            auto const end = state.ended_at.value_or(instant::max());
            auto const wait = std::chrono::duration_cast<millis>(
                state.first_start.value_or(now) - state.job->definition.accepted_at);
            waits.push_back(wait);
            auto &longest = state.has_unanswered_start ? row.wait_max_unanswered : row.wait_max;
            longest = std::max(longest, wait);
            auto const is_served = end <= objective.late;
            late += end > objective.in_time ? 1.0 : 0.0;
            served += is_served ? 1.0 : 0.0;
            if(pos < tenth_size) {
                largest.push_back(wait);
                largest_served += is_served ? 1.0 : 0.0;
            }
            // A job's value, relative to the mean work of its kind, is 0.3 + 0.7 x its relative work, limited to 4.
            auto const mean = work / static_cast<double>(eligible.size());
            auto const job_value = std::min(4.0, 0.3 + 0.7 * work_of(*state.job) / mean) * mean;
            total_value += job_value;
            earned += is_served ? job_value * (end <= objective.in_time ? 1.0 : late_value_share) : 0.0;
        }
        std::sort(waits.begin(), waits.end());
        if(!eligible.empty()) {
            auto const count = static_cast<double>(eligible.size());
            row.wait_mean = mean_of(waits);
            row.wait_95th = waits[(waits.size() - 1u) * 95u / 100u];
            row.late = late / count;
            row.served = served / count;
            row.largest_served = largest_served / static_cast<double>(tenth_size);
            row.largest_wait_mean = mean_of(largest);
        }
    }
    result_.earned_value = total_value > 0.0 ? earned / total_value : 1.0;
    return result_;
}

} // namespace kingcuplink::test
