#include "replay.hpp"

#include "quantile.hpp"

#include <algorithm>
#include <chrono>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/hash.hpp>
#include <queue>
#include <set>

namespace kingcuplink::bench {

namespace {

constexpr resources worker_size{64'000, 256 * 1'024, 0};
constexpr std::int64_t accelerators_per_worker = 8;
constexpr std::size_t workers_per_accelerator_worker = 4u;
constexpr millis share_interval{60'000};
constexpr millis sample_interval{1'000};
constexpr double ms_per_hour = 3'600'000.0;
/*! Part of the largest dimension in use from which the fleet counts as full. */
constexpr double full_part = 0.9;

/*! Keeps each team within its ceiling. */
class ceiling_gate : public start_gate {
public:
    explicit ceiling_gate(std::vector<team_quota> const &teams) {
        for(auto const &team: teams) {
            ceilings_[team.name] = team.ceiling;
        }
    }

    bool permits(team_record const &team, worker_record const &, resources const &charge) override {
        return fits(team.charged + charge, ceilings_.at(team.name));
    }

    void started(team_record const &, worker_record const &, resources const &) override {}

    void undone(team_record const &, worker_record const &, resources const &) override {}

private:
    std::map<std::string, resources> ceilings_;
};

/*! Something due at a time; equal times go in the order they were added. */
struct due_event {
    enum class kind : std::uint8_t { arrival, task_end, task_stopped, change, plan, sample };

    instant at;
    std::uint64_t order;
    kind what;
    std::size_t index;
    task_id task;
    std::uint32_t attempt;

    bool operator>(due_event const &other) const {
        return std::pair{at, order} > std::pair{other.at, other.order};
    }
};

class replay {
public:
    replay(scenario const &what, scheduler_options const &options)
        : scenario_{what}, scheduler_{options}, gate_{what.teams} {}

    replay_result run() {
        build_fleet();
        while(!events_.empty() && events_.top().at <= scenario_.end) {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at;
            (this->*handlers[static_cast<std::size_t>(next.what)])(next);
        }
        finish();
        return std::move(result_);
    }

private:
    using handler = void (replay::*)(due_event const &);

    void build_fleet() {
        for(std::size_t pos{}; pos < scenario_.workers; ++pos) {
            auto size = worker_size;
            size.accelerators = pos % workers_per_accelerator_worker == 0u ? accelerators_per_worker : 0;
            workers_.push_back(scheduler_.add_worker(
                "w" + std::to_string(pos), "r" + std::to_string(pos / scenario_.workers_per_rack), size));
            scheduler_.set_usable(workers_.back(), true);
            failing_.push_back(stable_hash(std::to_string(pos)) % 100u < scenario_.failing_percent);
            up_.push_back(true);
        }
        for(auto const &team: scenario_.teams) {
            scheduler_.set_team(team.name, team.share);
        }
        for(std::size_t pos{}; pos < scenario_.jobs.size(); ++pos) {
            add(scenario_.jobs[pos].arrives, due_event::kind::arrival, pos);
        }
        for(std::size_t pos{}; pos < scenario_.changes.size(); ++pos) {
            add(scenario_.changes[pos].at, due_event::kind::change, pos);
        }
        add(instant{} + sample_interval, due_event::kind::sample, 0u);
    }

    void add(instant const at, due_event::kind const what, std::size_t const index, task_id const task = {},
        std::uint32_t const attempt = 0u) {
        events_.push({at, ++order_, what, index, task, attempt});
    }

    void want_plan() {
        if(!plan_due_) {
            plan_due_ = true;
            add(std::max(now_, last_plan_ + config::plan_spacing), due_event::kind::plan, 0u);
        }
    }

    void arrive(due_event const &due) {
        auto const &job = scenario_.jobs[due.index];
        auto const id = scheduler_.submit("j" + std::to_string(due.index), job.declared, now_);
        jobs_.emplace(id, due.index);
        want_plan();
    }

    void end_task(due_event const &due) {
        auto const *task = scheduler_.find(due.task);
        if(task == nullptr || task->state != task_state::running || task->attempt != due.attempt) {
            return;
        }
        auto const &job = scenario_.jobs[due.index];
        auto const fails = job.always_fails || failing_[position_of(task->worker)];
        leave(due.task);
        if(!fails) {
            result_.work_done_core_hours += core_hours(job, now_ - task->started_at);
        }
        scheduler_.task_ended(due.task, fails ? task_outcome::failed : task_outcome::succeeded, now_);
        want_plan();
    }

    void stop_task(due_event const &due) {
        auto const *task = scheduler_.find(due.task);
        if(task == nullptr || task->state != task_state::stopping || task->attempt != due.attempt) {
            return;
        }
        leave(due.task);
        result_.work_done_core_hours += core_hours(scenario_.jobs[due.index], now_ - task->started_at);
        scheduler_.task_ended(due.task, task_outcome::stopped, now_);
        want_plan();
    }

    void change(due_event const &due) {
        auto const &item = scenario_.changes[due.index];
        switch(item.what) {
        case replay_change::kind::workers_lost:
            lose_workers(item);
            break;
        case replay_change::kind::workers_back:
            for(auto pos = item.first; pos < item.first + item.count; ++pos) {
                up_[pos] = true;
                scheduler_.set_usable(workers_[pos], true);
            }
            break;
        case replay_change::kind::workers_out:
            for(auto pos = item.first; pos < item.first + item.count; ++pos) {
                up_[pos] = false;
                scheduler_.set_usable(workers_[pos], false);
                scheduler_.drain(workers_[pos]);
            }
            break;
        case replay_change::kind::cancel_half:
            cancel_half();
            break;
        }
        want_plan();
    }

    void lose_workers(replay_change const &item) {
        for(auto pos = item.first; pos < item.first + item.count; ++pos) {
            up_[pos] = false;
            scheduler_.set_usable(workers_[pos], false);
            auto const tasks = scheduler_.find(workers_[pos])->tasks;
            for(auto const task: tasks) {
                auto const &record = *scheduler_.find(task);
                result_.lost_core_hours += core_hours(scenario_.jobs[jobs_.at(record.job)], now_ - record.started_at);
                leave(task);
                scheduler_.task_ended(task, task_outcome::lost, now_);
            }
        }
    }

    void cancel_half() {
        std::vector<job_id> const ids(scheduler_.jobs().begin(), scheduler_.jobs().end());
        for(auto const id: ids) {
            auto const *job = scheduler_.find(id);
            if(job != nullptr && job->state == job_state::queued && job->sequence % 2u == 0u) {
                scheduler_.cancel(id, now_);
            }
        }
    }

    void plan(due_event const &) {
        plan_due_ = false;
        last_plan_ = now_;
        auto const began = std::chrono::steady_clock::now();
        scheduler_.plan(now_, gate_, orders_);
        auto const us = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count();
        result_.plan_seconds += us / 1e6;
        if(!orders_.starts.empty()) {
            result_.round_us.push_back(us);
            result_.start_us.push_back(us / static_cast<double>(orders_.starts.size()));
        }
        for(auto const &order: orders_.starts) {
            begin_task(order);
        }
        for(auto const &order: orders_.stops) {
            auto const &task = *scheduler_.find(order.task);
            result_.preemptions += order.reason == stop_reason::preempted ? 1 : 0;
            add(now_ + config::plan_spacing, due_event::kind::task_stopped, jobs_.at(task.job), order.task,
                task.attempt);
        }
        check_gangs();
        if(orders_.starts.size() >= config::starts_per_round) {
            want_plan();
        }
    }

    void begin_task(start_command const &order) {
        auto const &task = *scheduler_.find(order.task);
        auto const &record = *scheduler_.find(task.job);
        auto const index = jobs_.at(task.job);
        auto const &job = scenario_.jobs[index];
        ++result_.starts;
        auto const worker = position_of(order.worker);
        if(!up_[worker]) {
            result_.breaches.push_back("start on a worker that takes no work");
        }
        if(!running_.insert(order.task).second) {
            result_.breaches.push_back("task started twice");
        }
        if(!fits(scheduler_.find(order.worker)->charged, scheduler_.find(order.worker)->size)) {
            result_.breaches.push_back("worker overcommitted");
        }
        auto const &terms = *std::find_if(scenario_.teams.begin(), scenario_.teams.end(),
            [&](auto const &team) { return team.name == job.declared.team; });
        if(!fits(scheduler_.find(record.team)->charged, terms.ceiling)) {
            result_.breaches.push_back("ceiling passed");
        }
        if(record.first_start == now_ && waited_.insert(task.job).second) {
            auto const wait = static_cast<double>((now_ - record.accepted_at).count());
            result_.waits[job.declared.urgent ? "urgent" : std::string{name_of(job.declared.kind)}].push_back(wait);
            result_.waits["team " + job.declared.team].push_back(wait);
        }
        scheduler_.start_confirmed(order.task, now_);
        scheduler_.report_use(order.task, job.true_use);
        if(job.declared.kind != job_kind::service || failing_[worker]) {
            auto const left = failing_[worker] || job.always_fails ? millis{1'000}
                                                                   : std::max(millis{1}, job.true_run - task.progress);
            add(now_ + left, due_event::kind::task_end, index, order.task, task.attempt);
        }
    }

    void check_gangs() {
        for(auto const &order: orders_.starts) {
            auto const &job = *scheduler_.find(scheduler_.find(order.task)->job);
            auto const whole = job.spec.kind != job_kind::gang || job.pending.empty();
            if(!whole) {
                result_.breaches.push_back("gang started in part");
            }
        }
    }

    void leave(task_id const task) {
        running_.erase(task);
    }

    std::size_t position_of(worker_id const worker) const {
        return static_cast<std::size_t>(std::find(workers_.begin(), workers_.end(), worker) - workers_.begin());
    }

    static double core_hours(replay_job const &job, millis const time) {
        return static_cast<double>(job.declared.task_size.millicores) / 1'000.0 * static_cast<double>(time.count()) /
            ms_per_hour;
    }

    void sample(due_event const &) {
        add(now_ + sample_interval, due_event::kind::sample, 0u);
        want_plan();
        auto const total = scheduler_.total();
        if(total.millicores == 0) {
            return;
        }
        resources used;
        auto is_waiting = false;
        for(auto const id: scheduler_.teams()) {
            auto const &team = *scheduler_.find(id);
            used += team.charged;
            is_waiting = is_waiting || team.queued_jobs > 0;
        }
        if(is_waiting) {
            auto const part = [](std::int64_t const amount, std::int64_t const size) {
                return size == 0 ? 0.0 : static_cast<double>(amount) / static_cast<double>(size);
            };
            result_.cores_used += part(used.millicores, total.millicores);
            result_.memory_used += part(used.memory_mib, total.memory_mib);
            result_.accelerators_used += part(used.accelerators, total.accelerators);
            ++waiting_samples_;
        }
        sample_shares(is_waiting && dominant_fraction(used, total) >= full_part);
    }

    double in_use(team_id const team) const {
        return dominant_fraction(scheduler_.find(team)->charged, scheduler_.total());
    }

    /*! Returns what the waiting tasks of each team would take. */
    std::map<team_id, resources> waiting_by_team() const {
        std::map<team_id, resources> waiting;
        for(auto const id: scheduler_.jobs()) {
            auto const &job = *scheduler_.find(id);
            if(job.enqueued) {
                waiting[job.team] += job.task_charge * static_cast<std::int64_t>(job.pending.size());
            }
        }
        return waiting;
    }

    void sample_shares(bool const is_full) {
        if(!is_full) {
            share_samples_ = 0;
            shares_.clear();
            return;
        }
        // What the teams with enough demand have together, by their dominant dimensions, is due to
        // them in proportion to their shares. Teams that could not use their part are left out.
        auto const waiting = waiting_by_team();
        auto demanding = waiting;
        std::int64_t shares{};
        double together{};
        for(auto changed = true; changed;) {
            shares = 0;
            together = 0.0;
            for(auto const &[id, demand]: demanding) {
                shares += scheduler_.find(id)->share;
                together += in_use(id);
            }
            changed = std::erase_if(demanding, [&](auto const &entry) {
                auto const due = together * static_cast<double>(scheduler_.find(entry.first)->share) /
                    static_cast<double>(shares);
                return in_use(entry.first) + dominant_fraction(entry.second, scheduler_.total()) < due;
            }) > 0u;
        }
        std::erase_if(shares_, [&](auto const &entry) { return !demanding.contains(entry.first); });
        for(auto const &[id, demand]: demanding) {
            auto const target = together * static_cast<double>(scheduler_.find(id)->share) /
                static_cast<double>(shares);
            auto &entry = shares_[id];
            entry.first += in_use(id) / target - 1.0;
            ++entry.second;
        }
        ++share_samples_;
        if(share_samples_ * sample_interval < share_interval) {
            return;
        }
        for(auto const &[id, entry]: shares_) {
            if(entry.second == share_samples_) {
                distances_.push_back(std::abs(entry.first / static_cast<double>(entry.second)));
            }
        }
        share_samples_ = 0;
        shares_.clear();
    }

    void finish() {
        auto const samples = std::max<double>(1.0, static_cast<double>(waiting_samples_));
        result_.cores_used /= samples;
        result_.memory_used /= samples;
        result_.accelerators_used /= samples;
        result_.share_distance = quantile(distances_, 0.5);
        result_.share_distance_p95 = quantile(distances_, 0.95);
        for(auto const task: running_) {
            auto const &record = *scheduler_.find(task);
            result_.work_done_core_hours += core_hours(scenario_.jobs[jobs_.at(record.job)], now_ - record.started_at);
        }
        for(auto const &[id, index]: jobs_) {
            auto const *job = scheduler_.find(id);
            auto const state = job == nullptr ? job_state::succeeded : job->state;
            result_.jobs_succeeded += state == job_state::succeeded ? 1 : 0;
            result_.jobs_failed += state == job_state::failed ? 1 : 0;
            result_.jobs_unfinished += is_final(state) ? 0 : 1;
        }
    }

    static constexpr std::array<handler, 6u> handlers{
        &replay::arrive, &replay::end_task, &replay::stop_task, &replay::change, &replay::plan, &replay::sample};

    scenario const &scenario_;
    scheduler scheduler_;
    ceiling_gate gate_;
    replay_result result_;
    placement_plan orders_;
    std::priority_queue<due_event, std::vector<due_event>, std::greater<>> events_;
    std::vector<worker_id> workers_;
    std::vector<bool> failing_;
    std::vector<bool> up_;
    std::map<job_id, std::size_t> jobs_;
    std::set<task_id> running_;
    std::set<job_id> waited_;
    std::map<team_id, std::pair<double, std::int64_t>> shares_;
    std::vector<double> distances_;
    std::int64_t share_samples_{};
    std::int64_t waiting_samples_{};
    instant now_{};
    instant last_plan_{};
    std::uint64_t order_{};
    bool plan_due_{};
};

} // namespace

replay_result run_replay(scenario const &what, scheduler_options const &options) {
    return replay{what, options}.run();
}

} // namespace kingcuplink::bench
