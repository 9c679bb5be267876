#include "replay.hpp"

#include "registration.hpp"

#include <algorithm>
#include <deque>

namespace kingcuplink::test {

namespace {

/*! Times of the users' rules. */
constexpr millis checkpoint_interval{500};
constexpr millis restore_time{250};
constexpr millis stop_grace{400};
constexpr millis gang_timeout{3'000};
constexpr millis lease{8'000};
/*! Worth of a job that is late. */
constexpr double late_part = 0.2;

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

/*! Returns the work that a run has done so far, with what it began with. */
millis work_done(replay_run const &run, instant const now) {
    auto const restored = run.saved_before > millis{} ? restore_time : millis{};
    auto const worked = std::max(millis{}, std::chrono::duration_cast<millis>(now - run.began_at) - restored);
    return run.saved_before + worked / run.slowness;
}

/*! Returns the part of a run's work that its latest checkpoint holds. */
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

/*! Policy of the dispatcher; its log keeps every batch at once. */
class dispatcher_policy final : public replay_policy {
public:
    void begin(replay &where) override {
        leader_ = std::make_unique<dispatcher>(millis{}, where.now);
        rules_changed(where);
        for(auto const &item: where.workers) {
            leader_->register_worker(item.entry, where.now);
        }
    }

    void rules_changed(replay &where) override {
        leader_->set_rules(std::make_shared<site_rules const>(where.rules));
    }

    void job_accepted(replay &where, std::size_t const job) override {
        job_entry entry;
        entry.definition = where.jobs[job].job->definition;
        leader_->add_job(entry);
    }

    void job_cancelled(replay &where, std::size_t const job) override {
        leader_->cancel_job(where.jobs[job].job->definition.id);
    }

    void job_failed(replay & /*where*/, std::size_t const /*job*/) override {}

    void decide(replay &where) override {
        look(where);
        while(!unanswered_.empty() && unanswered_.front().second + order_timeout <= where.now) {
            leader_->start_answered(unanswered_.front().first, start_answer::unknown, where.now);
            unanswered_.pop_front();
        }
        dispatch_plan decided;
        leader_->plan(where.now, decided);
        for(auto const &order: decided.stops) {
            auto const worker = index_of(order.worker);
            auto const is_reached = where.workers[worker].is_up;
            if(is_reached) {
                where.stop(worker, order.key);
            }
            leader_->stop_answered(order.placement, is_reached, where.now);
        }
        auto const batch = leader_->next_batch();
        for(auto const &[id, progress]: batch.records) {
            where.tell_phase(id, progress.phase);
        }
        std::vector<run_start> orders;
        leader_->batch_committed(batch, where.now, orders);
        for(auto const &order: orders) {
            auto const worker = index_of(order.worker);
            replay_start const start{where.index_of(order.key.job), order.key.index, order.key.run, worker};
            leader_->record_lease_extension(order.worker, where.now + surely_lapsed);
            if(where.workers[worker].is_up) {
                where.start(start);
                leader_->start_answered(order.placement, start_answer::started, where.now);
            } else {
                where.lose_start(start);
                unanswered_.emplace_back(order.placement, where.now);
            }
        }
    }

private:
    [[nodiscard]] static std::size_t index_of(std::string const &worker) {
        return static_cast<std::size_t>(std::stoul(worker.substr(1u)));
    }

    void look(replay &where) {
        for(auto &item: where.workers) {
            if(!item.is_up) {
                continue;
            }
            worker_inventory inventory;
            inventory.boot = item.entry.boot;
            for(auto const &run: item.runs) {
                auto const saves = step_of(where.jobs[run.job]).checkpointing;
                auto const saved = checkpointed_work(run, where.now);
                inventory.running.push_back({run.key, saves ? checkpoint_text(saved) : std::string{}});
            }
            auto const kept = leader_->kept_end(item.entry.name);
            std::erase_if(item.ends, [kept](auto const &end) { return end.number <= kept; });
            inventory.ended = item.ends;
            leader_->record_lease_extension(item.entry.name, where.now + surely_lapsed);
            leader_->apply_inventory(item.entry.name, inventory, where.now, where.now);
        }
    }

    std::unique_ptr<dispatcher> leader_;
    /*! Starts whose answers do not come, and when they were sent. */
    std::deque<std::pair<placement_id, instant>> unanswered_;
};

class first_come final : public replay_policy {
public:
    void begin(replay & /*where*/) override {}
    void rules_changed(replay & /*where*/) override {}
    void job_accepted(replay & /*where*/, std::size_t const /*job*/) override {}

    void job_cancelled(replay &where, std::size_t const job) override {
        job_failed(where, job);
    }

    void job_failed(replay &where, std::size_t const job) override {
        auto const &state = where.jobs[job];
        for(std::uint32_t index{}; index < state.tasks.size(); ++index) {
            if(auto const &task = state.tasks[index]; task.worker && where.workers[*task.worker].is_up) {
                where.stop(*task.worker, {state.job->definition.id, 0u, index, task.run});
            }
        }
    }

    void decide(replay &where) override {
        for(std::size_t job{}; job < where.jobs.size(); ++job) {
            if(!place(where, job)) {
                return;
            }
        }
    }

private:
    /*! Starts what waits of a job; false if there is no room. */
    static bool place(replay &where, std::size_t const job) {
        auto const &state = where.jobs[job];
        auto const &step = step_of(state);
        std::vector<resources> room;
        std::vector<replay_start> starts;
        for(std::uint32_t index{}; index < state.tasks.size(); ++index) {
            auto const &task = state.tasks[index];
            if(!where.is_waiting(state, task)) {
                if(step.gang && !task.done) {
                    return true;
                }
                continue;
            }
            if(room.empty()) {
                for(auto const &item: where.workers) {
                    room.push_back(item.is_up && !item.is_evacuated ? where.free_room(item) : resources{});
                }
            }
            auto const found = std::find_if(
                room.begin(), room.end(), [&step](auto const &left) { return fits(step.task_size, left); });
            if(found == room.end()) {
                if(!step.gang) {
                    start_all(where, starts);
                }
                return false;
            }
            *found -= step.task_size;
            starts.push_back({job, index, task.run + 1u, static_cast<std::size_t>(found - room.begin())});
        }
        start_all(where, starts);
        return true;
    }

    static void start_all(replay &where, std::vector<replay_start> starts) {
        std::uint32_t run{};
        for(auto const &order: starts) {
            run = std::max(run, order.run);
        }
        for(auto &order: starts) {
            order.run = run;
            where.start(order);
        }
    }
};

} // namespace

std::unique_ptr<replay_policy> present_policy() {
    return std::make_unique<dispatcher_policy>();
}

std::unique_ptr<replay_policy> first_come_policy() {
    return std::make_unique<first_come>();
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
    while(now < load_.ends_at && !is_over()) {
        now += replay_round;
        change_domains();
        end_runs();
        take_jobs();
        cancel_jobs();
        policy_.decide(*this);
        complete_gangs();
        check_books();
        note_idleness();
    }
    return figures();
}

std::size_t replay::index_of(std::string const &job) const {
    return ids_.at(job);
}

bool replay::is_waiting(replay_state const &job, replay_task const &task) const noexcept {
    return !job.ended_at && !task.done && !task.worker;
}

resources replay::free_room(replay_worker const &worker) const {
    auto left = worker.entry.capacity;
    for(auto const &run: worker.runs) {
        left -= run.size;
    }
    return left;
}

void replay::tell_phase(std::string const &job, job_phase const phase) {
    jobs[index_of(job)].phase = phase;
}

void replay::change_domains() {
    for(; next_change_ < load_.changes.size() && load_.changes[next_change_].at <= now; ++next_change_) {
        auto const &change = load_.changes[next_change_];
        for(auto &item: workers) {
            if(item.entry.domain != change.domain) {
                continue;
            }
            switch(change.what) {
            case domain_change::evacuate:
                item.is_evacuated = true;
                rules.evacuated.insert(change.domain);
                break;
            case domain_change::take_back:
                item.is_evacuated = false;
                rules.evacuated.erase(change.domain);
                break;
            case domain_change::lose:
                lose(item);
                break;
            case domain_change::slow_down:
                item.slowness = 3;
                break;
            }
        }
        policy_.rules_changed(*this);
    }
}

void replay::lose(replay_worker &where) {
    where.is_up = false;
    where.lost_at = now;
    where.ends.clear();
    for(auto const &run: where.runs) {
        auto &state = jobs[run.job];
        auto &task = state.tasks[run.key.index];
        task.saved = step_of(state).checkpointing ? checkpointed_work(run, now) : millis{};
        auto const kept = std::max(millis{}, task.saved - run.saved_before) * run.slowness;
        state.thrown_away += core_seconds(run.size, std::chrono::duration_cast<millis>(now - run.began_at) - kept);
    }
    // Its tasks stay with it until its lease has lapsed.
    auto const gone = where.runs;
    where.runs.clear();
    for(auto const &run: gone) {
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
                end_run(item, run, run_outcome::broken);
            }
        }
    }
}

void replay::take_jobs() {
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

void replay::end_runs() {
    for(auto &item: workers) {
        auto const all = item.runs;
        std::erase_if(item.runs,
            [this](auto const &run) { return run.ends_at <= now || (run.stops_at && *run.stops_at <= now); });
        for(auto const &run: all) {
            if(run.ends_at <= now) {
                end_run(item, run, run.how);
            } else if(run.stops_at && *run.stops_at <= now) {
                end_run(item, run, run_outcome::stopped);
            }
        }
        if(!item.is_up && item.lost_at + lease < now) {
            auto const name = static_cast<std::size_t>(&item - workers.data());
            for(auto &state: jobs) {
                for(auto &task: state.tasks) {
                    if(task.worker == name) {
                        task.worker.reset();
                    }
                }
            }
        }
    }
}

void replay::end_run(replay_worker &where, replay_run const &run, run_outcome const how) {
    auto &state = jobs[run.job];
    auto const &step = step_of(state);
    auto &task = state.tasks[run.key.index];
    auto const time = std::chrono::duration_cast<millis>(now - run.began_at);
    task.worker.reset();
    std::string checkpoint;
    if(how == run_outcome::done) {
        task.done = true;
    } else {
        auto const saves = step.checkpointing && how == run_outcome::stopped;
        task.saved = saves ? std::max(run.saved_before, work_done(run, now)) : task.saved;
        auto const kept = saves && !state.ended_at ? (task.saved - run.saved_before) * run.slowness : millis{};
        // What callers cancelled was thrown away by them.
        auto const is_cancelled = state.job->cancelled_at && *state.job->cancelled_at <= now;
        state.thrown_away += is_cancelled ? 0.0 : core_seconds(run.size, time - kept);
        checkpoint = saves ? checkpoint_text(task.saved) : checkpoint;
    }
    where.ends.push_back({where.next_end++, run.key, how, checkpoint});
    if(how == run_outcome::failed) {
        auto &counted = state.tasks[step.gang ? 0u : run.key.index];
        counted.failures += !step.gang || run.key.index == 0u ? 1u : 0u;
        auto const *queue = find_queue(rules, state.job->definition.queue);
        if(counted.failures >= queue->max_attempts && !state.ended_at) {
            state.ended_at = now;
            policy_.job_failed(*this, run.job);
        }
    }
    auto const is_done = std::all_of(state.tasks.begin(), state.tasks.end(), [](auto const &one) { return one.done; });
    if(is_done && !state.ended_at) {
        state.ended_at = now;
    }
    if(state.job->cancelled_at && state.ended_at && *state.ended_at >= *state.job->cancelled_at) {
        result_.longest_cancel = std::max(
            result_.longest_cancel, std::chrono::duration_cast<millis>(now - *state.ended_at));
    }
}

void replay::start(replay_start const &order) {
    auto &state = jobs[order.job];
    auto const &step = step_of(state);
    auto &task = state.tasks[order.index];
    auto &where = workers[order.worker];
    auto const &id = state.job->definition.id;
    if(task.worker || task.done) {
        result_.breaches.push_back("TWICE " + id);
    }
    if(state.ended_at) {
        result_.breaches.push_back("start after the end of " + id);
    }
    if(where.is_evacuated) {
        result_.breaches.push_back("EVAC " + id);
    }
    task.worker = order.worker;
    task.run = order.run;
    state.first_start = state.first_start.value_or(now);
    auto const restored = task.saved > millis{} ? restore_time : millis{};
    replay_run run;
    run.key = {id, 0u, order.index, order.run};
    run.job = order.job;
    run.size = step.task_size;
    run.began_at = now;
    run.saved_before = task.saved;
    run.slowness = where.slowness;
    run.how = state.job->is_hopeless ? run_outcome::failed : run_outcome::done;
    run.ends_at = now + restored + (step.estimate - task.saved) * where.slowness;
    where.runs.push_back(std::move(run));
    if(step.gang && (begun_gangs_.empty() || begun_gangs_.back() != order.job)) {
        begun_gangs_.push_back(order.job);
    }
}

void replay::lose_start(replay_start const &order) {
    auto &where = workers[order.worker];
    where.unanswered_since = where.unanswered_since.value_or(now);
    if(now > *where.unanswered_since + order_timeout) {
        result_.breaches.push_back("start at a worker that does not answer " + jobs[order.job].job->definition.id);
    }
    auto &state = jobs[order.job];
    state.is_unanswered = true;
    state.tasks[order.index].run = order.run;
    state.tasks[order.index].withheld_until = now + surely_lapsed;
}

void replay::stop(std::size_t const worker, run_key const &key) {
    for(auto &run: workers[worker].runs) {
        if(run.key == key && !run.stops_at) {
            run.stops_at = now + stop_grace;
            auto &state = jobs[run.job];
            auto &task = state.tasks[key.index];
            if(!state.ended_at && !step_of(state).checkpointing) {
                result_.breaches.push_back("stopped without a checkpoint " + key.job);
            }
            task.stops += state.ended_at ? 0u : 1u;
            result_.most_stops = std::max(result_.most_stops, task.stops);
        }
    }
}

void replay::complete_gangs() {
    for(auto const job: begun_gangs_) {
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
        if(!is_whole && !jobs[job].is_unanswered) {
            result_.breaches.push_back("GANG " + jobs[job].job->definition.id);
        }
        for(auto *run: members) {
            run->ends_at = is_whole ? last : now + gang_timeout;
            run->how = is_whole ? run->how : run_outcome::alone;
        }
    }
    begun_gangs_.clear();
}

void replay::check_books() {
    for(auto const &item: workers) {
        auto const left = free_room(item);
        if(left.millicores < 0 || left.memory_mib < 0 || left.accelerators < 0) {
            result_.breaches.push_back("LIMIT " + item.entry.name);
        }
    }
}

void replay::note_idleness() {
    auto const waits = [this](replay_state const &state) {
        return std::any_of(state.tasks.begin(), state.tasks.end(),
            [&](auto const &task) { return is_waiting(state, task) && task.withheld_until <= now; });
    };
    auto const a_gang_waits = std::any_of(
        jobs.begin(), jobs.end(), [&](auto const &state) { return step_of(state).gang && waits(state); });
    for(auto &state: jobs) {
        auto const &size = step_of(state).task_size;
        auto const is_idle = !a_gang_waits && waits(state) &&
            std::any_of(workers.begin(), workers.end(),
                [&](auto const &item) { return item.is_up && !item.is_evacuated && fits(size, free_room(item)); });
        if(!is_idle) {
            state.idle_since.reset();
            continue;
        }
        state.idle_since = state.idle_since.value_or(now);
        result_.longest_idle = std::max(
            result_.longest_idle, std::chrono::duration_cast<millis>(now - *state.idle_since));
    }
}

bool replay::is_over() const {
    auto const is_empty = std::all_of(
        workers.begin(), workers.end(), [](auto const &item) { return item.runs.empty(); });
    return next_job_ == load_.jobs.size() && is_empty &&
        std::all_of(jobs.begin(), jobs.end(), [](auto const &state) { return state.ended_at.has_value(); });
}

replay_result replay::figures() {
    std::map<std::string, std::vector<replay_state const *>> kinds;
    for(auto const &state: jobs) {
        kinds[state.job->kind].push_back(&state);
    }
    double earned{};
    double due{};
    for(auto &[kind, all]: kinds) {
        std::stable_sort(all.begin(), all.end(),
            [](auto const *lhs, auto const *rhs) { return work_of(*lhs->job) > work_of(*rhs->job); });
        auto &row = result_.kinds[kind];
        row.jobs = all.size();
        double work{};
        std::vector<replay_state const *> owed;
        for(auto const *state: all) {
            row.thrown_away += state->thrown_away;
            if(state->job->is_owed && !state->job->cancelled_at) {
                owed.push_back(state);
                work += work_of(*state->job);
            }
            auto const has_failed = state->phase == job_phase::failed;
            auto const is_wrong = !state->ended_at || has_failed != state->job->is_hopeless;
            result_.ended_wrongly += is_wrong ? 1u : 0u;
        }
        row.owed = owed.size();
        std::vector<millis> waits;
        std::vector<millis> largest;
        auto const tenth = std::max<std::size_t>(1u, owed.size() / 10u);
        double late{};
        double served{};
        double largest_served{};
        for(std::size_t pos{}; pos < owed.size(); ++pos) {
            auto const &state = *owed[pos];
            auto const objective = objective_of(state.job->definition, *find_queue(rules, state.job->definition.queue));
            auto const end = state.ended_at.value_or(instant::max());
            auto const wait = std::chrono::duration_cast<millis>(
                state.first_start.value_or(now) - state.job->definition.accepted_at);
            waits.push_back(wait);
            auto &most = state.is_unanswered ? row.wait_most_unanswered : row.wait_most;
            most = std::max(most, wait);
            auto const is_served = end <= objective.late;
            late += end > objective.in_time ? 1.0 : 0.0;
            served += is_served ? 1.0 : 0.0;
            if(pos < tenth) {
                largest.push_back(wait);
                largest_served += is_served ? 1.0 : 0.0;
            }
            // A job is worth 0.3 + 0.7 x its work against the mean of its kind, at most 4 times the kind's.
            auto const mean = work / static_cast<double>(owed.size());
            auto const worth = std::min(4.0, 0.3 + 0.7 * work_of(*state.job) / mean) * mean;
            due += worth;
            earned += is_served ? worth * (end <= objective.in_time ? 1.0 : late_part) : 0.0;
        }
        std::sort(waits.begin(), waits.end());
        if(!owed.empty()) {
            auto const count = static_cast<double>(owed.size());
            row.wait_mean = mean_of(waits);
            row.wait_95th = waits[(waits.size() - 1u) * 95u / 100u];
            row.late = late / count;
            row.served = served / count;
            row.largest_served = largest_served / static_cast<double>(tenth);
            row.largest_wait_mean = mean_of(largest);
        }
    }
    result_.worth = due > 0.0 ? earned / due : 1.0;
    return result_;
}

} // namespace kingcuplink::test
