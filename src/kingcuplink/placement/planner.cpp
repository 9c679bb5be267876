#include <algorithm>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/placement/planner.hpp>
#include <limits>

namespace kingcuplink::internal {

constexpr std::size_t max_unplaceable_sizes = 16u;
constexpr std::size_t max_stops_per_round = 512u;
constexpr std::size_t max_workers_avoided = 4u;
constexpr millis reservation_limit{120'000};

planner::planner(
    placement_state &state, scheduler_options const &options, start_gate &gate, placement_plan &plan, instant const now)
    : state_{state}, options_{options}, gate_{gate}, plan_{plan}, now_{now} {}

void planner::run() {
    wake_delayed();
    end_quarantines();
    expire_reservations();
    if(options_.urgent_first) {
        fill(phase::urgent);
    }
    fill(phase::all);
    if(options_.preemption) {
        preempt_for_blocked();
    }
    if(options_.reservations) {
        reserve_for_blocked();
    }
    take_pending_commands();
}

void planner::take_pending_commands() {
    while(!state_.pending_stops.empty() && plan_.stops.size() < max_stops_per_round) {
        plan_.stops.push_back(state_.pending_stops.front());
        state_.pending_stops.pop_front();
    }
    plan_.throttles.swap(state_.pending_throttles);
    plan_.ended.swap(state_.ended);
}

void planner::wake_delayed() {
    while(!state_.delayed.empty() && state_.delayed.begin()->first <= now_) {
        auto const job = state_.delayed.begin()->second;
        state_.delayed.erase(state_.delayed.begin());
        if(state_.jobs.contains(job)) {
            requeue(state_, job, now_);
        }
    }
}

void planner::end_quarantines() {
    while(!state_.quarantined.empty() && state_.quarantined.begin()->first <= now_) {
        auto const id = state_.quarantined.begin()->second;
        state_.quarantined.erase(state_.quarantined.begin());
        if(auto *worker = state_.workers.find(id); worker != nullptr) {
            worker->quarantined_until = {};
            worker->failing_jobs.clear();
            worker->on_probation = true;
            reindex(state_, id);
        }
    }
}

void planner::expire_reservations() {
    std::erase_if(state_.reserved, [&](worker_id const id) {
        auto &worker = state_.workers[id];
        if(now_ - worker.reserved_at < reservation_limit) {
            return false;
        }
        worker.reserved_for = {};
        reindex(state_, id);
        return true;
    });
}

bool planner::is_within_urgent_reserve(team_record const &team) const {
    return dominant_fraction(team.urgent_charged, state_.total) * 100.0 <
        static_cast<double>(config::urgent_reserve_percent);
}

std::vector<planner::cursor> planner::open_cursors(phase const which) {
    std::vector<cursor> cursors;
    for(auto const team: state_.teams.ids()) {
        auto &queue = state_.queues[team.index];
        auto const has_urgent = !queue.empty() && !queue.begin()->first.normal;
        if(which == phase::urgent ? has_urgent && is_within_urgent_reserve(state_.teams[team]) : !queue.empty()) {
            cursors.push_back({.team = team, .next = queue.begin()});
        }
    }
    return cursors;
}

double planner::cursor_key(cursor const &position, phase const which) const {
    auto const &team = state_.teams[position.team];
    if(!options_.fair_order) {
        return static_cast<double>(position.next->first.accepted_at.time_since_epoch().count());
    }
    auto const &charged = which == phase::urgent ? team.urgent_charged : team.charged;
    return dominant_fraction(charged, state_.total) / static_cast<double>(team.share);
}

planner::cursor *planner::next_cursor(std::vector<cursor> &cursors, phase const which) {
    cursor *best = nullptr;
    auto least = std::numeric_limits<double>::max();
    for(auto &position: cursors) {
        if(position.closed) {
            continue;
        }
        if(auto const key = cursor_key(position, which); key < least) {
            least = key;
            best = &position;
        }
    }
    return best;
}

void planner::fill(phase const which) {
    auto cursors = open_cursors(which);
    while(plan_.starts.size() < config::starts_per_round) {
        auto *position = next_cursor(cursors, which);
        if(position == nullptr) {
            return;
        }
        // A failed attempt changes no usage, so the same team remains first in the order.
        while(!position->closed && !place_next(*position, which)) {
        }
    }
}

bool planner::place_next(cursor &position, phase const which) {
    auto const id = position.next->second;
    auto const following = std::next(position.next);
    auto const placed = place_job(id);
    if(!placed) {
        ++position.failed_attempts;
        if(position.failed_attempts == 1u && std::find(blocked_.begin(), blocked_.end(), id) == blocked_.end()) {
            blocked_.push_back(id);
        }
    }
    auto const &job = state_.jobs[id];
    if(!placed || !job.enqueued) {
        position.next = following;
    }
    auto const &queue = state_.queues[position.team.index];
    auto const may_go_on = placed ||
        (options_.backfill && policy_of(state_, job).backfill && position.failed_attempts < config::backfill_depth);
    position.closed = !may_go_on || position.next == queue.end();
    if(!position.closed && which == phase::urgent) {
        position.closed = position.next->first.normal || !is_within_urgent_reserve(state_.teams[position.team]);
    }
    return placed;
}

bool planner::is_known_unplaceable(resources const &need) const {
    return std::any_of(
        unplaceable_sizes_.begin(), unplaceable_sizes_.end(), [&](auto const &size) { return fits(size, need); });
}

bool planner::place_job(job_id const id) {
    if(state_.jobs[id].spec.kind == job_kind::gang) {
        return place_gang(id);
    }
    auto const task = state_.jobs[id].pending.back();
    auto const need = state_.jobs[id].task_charge;
    auto const worker = find_worker(id, need);
    if(!worker || !gate_.permits(state_.teams[state_.jobs[id].team], state_.workers[*worker], need)) {
        return false;
    }
    start(task, *worker, need);
    release_reservations(state_, id);
    requeue(state_, id, now_);
    return true;
}

bool planner::place_gang(job_id const id) {
    auto const first = plan_.starts.size();
    auto const unplaceable_count = unplaceable_sizes_.size();
    auto const tasks = state_.jobs[id].pending;
    auto const need = state_.jobs[id].task_charge;
    for(auto const task: tasks) {
        auto const worker = find_worker(id, need);
        if(!worker || !gate_.permits(state_.teams[state_.jobs[id].team], state_.workers[*worker], need)) {
            undo(std::span{plan_.starts}.subspan(first));
            plan_.starts.resize(first);
            unplaceable_sizes_.resize(std::min(unplaceable_count, unplaceable_sizes_.size()));
            return false;
        }
        start(task, *worker, need);
    }
    release_reservations(state_, id);
    requeue(state_, id, now_);
    return true;
}

void planner::start(task_id const id, worker_id const worker, resources const &charge) {
    auto &task = state_.tasks[id];
    auto &job = state_.jobs[task.job];
    gate_.started(state_.teams[job.team], state_.workers[worker], charge);
    std::erase(job.pending, id);
    assign(state_, id, worker, charge);
    task.attempt = std::max(task.attempt, options_.first_attempt) + 1u;
    task.state = task_state::starting;
    task.started_at = now_;
    auto const run_time = options_.learn_from_history
        ? state_.history.expected_run(job.spec.team, job.spec.name, job.spec.run_time)
        : job.spec.run_time;
    task.expected_end = job.spec.kind == job_kind::service ? instant::max()
                                                           : now_ + std::max(millis{1}, run_time - task.progress);
    job.state = job_state::running;
    job.first_start = job.first_start == instant{} ? now_ : job.first_start;
    plan_.starts.push_back({id, worker});
}

void planner::undo(std::span<start_command const> const starts) {
    for(auto command = starts.rbegin(); command != starts.rend(); ++command) {
        auto &task = state_.tasks[command->task];
        auto &job = state_.jobs[task.job];
        gate_.undone(state_.teams[job.team], state_.workers[command->worker], task.charge);
        unassign(state_, command->task);
        --task.attempt;
        make_pending(state_, command->task);
        job.state = job.on_workers > 0 ? job.state : job_state::queued;
        job.first_start = job.first_start == now_ ? instant{} : job.first_start;
    }
}

std::optional<worker_id> planner::find_worker(job_id const id, resources const &need) {
    if(auto const reserved = find_reserved(id, need); reserved) {
        return reserved;
    }
    auto const &job = state_.jobs[id];
    if(is_known_unplaceable(need)) {
        return find_backfill(job, need);
    }
    auto const found = find_in_index(job, need);
    if(found) {
        return found;
    }
    if(unplaceable_sizes_.size() < max_unplaceable_sizes && job.failed_on.empty()) {
        unplaceable_sizes_.push_back(need);
    }
    return find_backfill(job, need);
}

std::optional<worker_id> planner::find_in_index(job_record const &job, resources const &need) {
    std::vector<worker_id> avoided;
    std::optional<worker_id> found;
    for(std::size_t tries{}; tries <= max_workers_avoided; ++tries) {
        found = job.spec.kind == job_kind::service ? find_spread(job, need)
            : options_.tight_fit                   ? state_.index.tightest(need)
                                                   : state_.index.first(need);
        if(!found || !job.failed_on.contains(*found) || job.failed_on.size() >= state_.workers.size()) {
            break;
        }
        avoided.push_back(*found);
        state_.index.erase(*found);
        found.reset();
    }
    for(auto const worker: avoided) {
        reindex(state_, worker);
    }
    return found;
}

std::optional<worker_id> planner::find_spread(job_record const &job, resources const &need) const {
    std::map<rack_id, std::int64_t> in_rack;
    for(auto const task: job.tasks) {
        if(auto const &record = state_.tasks[task]; is_on_worker(record.state)) {
            ++in_rack[state_.workers[record.worker].rack];
        }
    }
    std::optional<worker_id> best;
    auto least = std::pair{std::numeric_limits<std::int64_t>::max(), std::numeric_limits<std::int64_t>::max()};
    for(auto const rack: state_.racks.ids()) {
        auto const known = in_rack.find(rack);
        auto const count = known == in_rack.end() ? 0 : known->second;
        if(count > least.first) {
            continue;
        }
        for(auto const id: state_.racks[rack].workers) {
            auto const &worker = state_.workers[id];
            auto const rest = free_of(worker) - need;
            auto const key = std::pair{count, rest.millicores + rest.accelerators * worker.size.millicores};
            if(state_.index.contains(id) && fits(need, free_of(worker)) && key < least) {
                least = key;
                best = id;
            }
        }
    }
    return best;
}

std::optional<worker_id> planner::find_reserved(job_id const job, resources const &need) const {
    for(auto const id: state_.reserved) {
        auto const &worker = state_.workers[id];
        if(worker.reserved_for == job && worker.usable && fits(need, free_of(worker))) {
            return id;
        }
    }
    return std::nullopt;
}

std::optional<worker_id> planner::find_backfill(job_record const &job, resources const &need) const {
    if(!options_.backfill || state_.reserved.empty() || job.spec.kind != job_kind::batch) {
        return std::nullopt;
    }
    auto const run_time = state_.history.expected_run(job.spec.team, job.spec.name, job.spec.run_time);
    for(auto const id: state_.reserved) {
        auto const &worker = state_.workers[id];
        if(worker.usable && now_ + run_time <= worker.reserved_until && fits(need, free_of(worker))) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace kingcuplink::internal
