#include <algorithm>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <kingcuplink/workflow/dispatch_planner.hpp>
#include <limits>

namespace kingcuplink::internal {

namespace {

/*! Gangs that may keep room free for themselves at the same time. */
constexpr std::size_t claiming_gangs = 4u;
/*! Waiting gangs for which a first advice is sought at the same time, in the order of waiting. */
constexpr std::size_t advised_gangs = 8u;
/*! Workers in one question; the adviser takes no more. */
constexpr std::size_t query_workers = 100u;
/*! Workers named in a question for each task that waits, and besides. */
constexpr std::size_t query_workers_each = 4u;
constexpr std::size_t query_workers_besides = 8u;
/*! Short questions under way for each entry VM; the adviser refuses beyond 32 waiting calls. */
constexpr std::size_t short_queries_each = 6u;
/*! Time that a run is left alone before it may be stopped for a gang: it restores its checkpoint and writes the next.
 */
constexpr millis settled_time{2'000};
/*! How often a task is stopped for gangs at most, so that it gets done on a fleet full of them. */
constexpr std::uint32_t most_preemptions = 2u;
/*! Time on top of an expected question in which a ticket counts as about to lapse. */
constexpr millis renewal_margin{100};
/*! Added to what a start would leave unused, which is 3 at most: any worker near the data goes first. */
constexpr double distance_penalty = 1'000.0;
/*! Added likewise: any worker on which the task has not failed goes first. */
constexpr double failure_penalty = 1'000'000.0;
constexpr auto no_candidate = std::numeric_limits<std::size_t>::max();

/*! Returns the part of a worker that a start would leave unused, summed over dimensions. */
double leftover(resources const &room, resources const &capacity) noexcept {
    auto const part = [](std::int64_t const left, std::int64_t const all) {
        return all > 0 ? static_cast<double>(left) / static_cast<double>(all) : 0.0;
    };
    return part(room.millicores, capacity.millicores) + part(room.memory_mib, capacity.memory_mib) +
        part(room.accelerators, capacity.accelerators);
}

bool has_label(worker_registration const &worker, std::string const &label) {
    return label.empty() || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

} // namespace

std::uint32_t fit_count(resources const &size, resources const &room) noexcept {
    auto most = std::int64_t{std::numeric_limits<std::uint32_t>::max()};
    auto const limit = [&most](std::int64_t const need, std::int64_t const left) {
        if(need > 0) {
            most = std::min(most, std::max<std::int64_t>(0, left) / need);
        }
    };
    limit(size.millicores, room.millicores);
    limit(size.memory_mib, room.memory_mib);
    limit(size.accelerators, room.accelerators);
    return static_cast<std::uint32_t>(most);
}

dispatch_planner::dispatch_planner(dispatch_state &state, instant const now, dispatch_plan &out)
    : state_{state}, now_{now}, out_{out} {}

void dispatch_planner::run() {
    open_candidates();
    for(auto const &turn: order_steps()) {
        serve(turn);
    }
    order_stops();
}

void dispatch_planner::order_stops() {
    auto const ids = std::vector<placement_id>{state_.placements.ids().begin(), state_.placements.ids().end()};
    for(auto const id: ids) {
        auto *run = state_.placements.find(id);
        if(run == nullptr || !run->stop_wanted || run->stop_in_flight || run->next_stop > now_) {
            continue;
        }
        if(run->stage == placement_stage::intended && !run->is_batched) {
            state_.remove_placement(id, now_);
            continue;
        }
        auto const &worker = state_.workers[run->worker];
        if(was_sent(*run) && worker.is_held) {
            run->stop_in_flight = true;
            out_.stops.push_back({id, worker.entry.name, worker.entry.address, worker.boot, run->key});
        }
    }
}

void dispatch_planner::open_candidates() {
    for(auto const id: state_.workers.ids()) {
        auto &worker = state_.workers[id];
        if(is_usable(worker, *state_.rules, now_)) {
            candidate_at_.resize(std::max<std::size_t>(candidate_at_.size(), id.index + 1u), no_candidate);
            candidate_at_[id.index] = candidates_.size();
            candidates_.push_back({id, &worker, worker.entry.capacity - worker.used});
        }
    }
}

std::vector<dispatch_planner::waiting_step> dispatch_planner::order_steps() const {
    std::vector<waiting_step> turns;
    for(auto const id: state_.jobs.ids()) {
        auto const &job = state_.jobs[id];
        auto const *queue = find_queue(*state_.rules, job.definition.queue);
        if(is_final(job.phase) || queue == nullptr) {
            continue;
        }
        for(std::uint32_t step{}; step < job.steps.size(); ++step) {
            if(job.steps[step].blocked_by == 0u && job.steps[step].waiting > 0u) {
                turns.push_back({rank_of(job.objective, step, job.is_excess, now_), id, step, queue});
            }
        }
    }
    std::sort(turns.begin(), turns.end(), [](auto const &lhs, auto const &rhs) {
        return std::tie(lhs.rank, lhs.job, lhs.step) < std::tie(rhs.rank, rhs.job, rhs.step);
    });
    return turns;
}

resources const &dispatch_planner::most_room() {
    if(!most_room_) {
        most_room_ = resources{};
        for(auto const &item: candidates_) {
            most_room_->millicores = std::max(most_room_->millicores, item.room.millicores);
            most_room_->memory_mib = std::max(most_room_->memory_mib, item.room.memory_mib);
            most_room_->accelerators = std::max(most_room_->accelerators, item.room.accelerators);
        }
    }
    return *most_room_;
}

void dispatch_planner::take_room(candidate &where, resources const &size) {
    where.room -= size;
    most_room_.reset();
}

bool dispatch_planner::can_be_skipped(waiting_step const &turn) {
    auto const &job = state_.jobs[turn.job];
    auto const &definition = job.definition.steps[turn.step];
    if(fits(definition.task_size, most_room())) {
        return false;
    }
    if(!definition.gang) {
        return !turn.queue->advice || steps_ahead_ >= state_.advisers;
    }
    auto const may_be_advised = turn.queue->advice && job.steps[turn.step].advice.asked.empty() &&
        waiting_gangs_ < advised_gangs;
    auto const may_claim = turn.rank.tier < service_tier::hopeless && blocked_gangs_ < claiming_gangs;
    return !may_be_advised && !may_claim;
}

void dispatch_planner::serve(waiting_step const &turn) {
    if(can_be_skipped(turn)) {
        return;
    }
    ++out_.steps_examined;
    auto options = options_for(turn);
    auto const is_gang = state_.jobs[turn.job].definition.steps[turn.step].gang;
    auto const wants_advice = is_gang ? place_gang(turn, options) : place_tasks(turn, options);
    if(wants_advice && may_ask(turn)) {
        add_unknown_options(turn, options);
        seek_advice(turn, options, is_gang);
    }
}

bool dispatch_planner::may_run(
    worker_registration const &worker, queue_rules const &queue, step_definition const &step) {
    return worker.service == queue.service && has_label(worker, step.required_label);
}

std::uint32_t dispatch_planner::slots_in(std::vector<option> const &options, step_definition const &step) {
    std::uint32_t slots{};
    for(auto const &item: options) {
        slots += std::min(step.count, fit_count(step.task_size, item.on->room));
    }
    return slots;
}

std::vector<dispatch_planner::option> dispatch_planner::options_for(waiting_step const &turn) {
    auto const &job = state_.jobs[turn.job];
    auto const &definition = job.definition.steps[turn.step];
    std::vector<option> options;
    if(turn.queue->advice) {
        // Few of a large fleet's workers are approved: the others are not looked at.
        for(auto const &[id, ticket]: job.steps[turn.step].advice.approved) {
            auto const pos = id.index < candidate_at_.size() ? candidate_at_[id.index] : no_candidate;
            // Another worker may have the place of one that is gone.
            auto const is_there = pos != no_candidate && candidates_[pos].id == id;
            if(is_there && may_run(candidates_[pos].worker->entry, *turn.queue, definition)) {
                options.push_back({&candidates_[pos], ticket.until > now_ ? &ticket : nullptr});
            }
        }
        return options;
    }
    static advice_ticket const not_needed{};
    for(auto &item: candidates_) {
        if(may_run(item.worker->entry, *turn.queue, definition)) {
            options.push_back({&item, &not_needed});
        }
    }
    return options;
}

void dispatch_planner::add_unknown_options(waiting_step const &turn, std::vector<option> &options) {
    auto const &job = state_.jobs[turn.job];
    auto const &asked = job.steps[turn.step].advice.asked;
    for(auto &item: candidates_) {
        if(!asked.contains(item.id) && may_run(item.worker->entry, *turn.queue, job.definition.steps[turn.step])) {
            options.push_back({&item, nullptr});
        }
    }
}

bool dispatch_planner::may_ask(waiting_step const &turn) const {
    auto const &advice = state_.jobs[turn.job].steps[turn.step].advice;
    return turn.queue->advice && !advice.in_flight && advice.not_before <= now_;
}

bool dispatch_planner::is_within_ceiling(live_job const &job, resources const &charge) const {
    auto const *rules = find_account(*state_.rules, job.definition.account);
    if(rules == nullptr) {
        return true;
    }
    auto const found = state_.accounts.find(job.definition.account);
    auto const used = (found == state_.accounts.end() ? resources{} : found->second.used) + charge;
    auto const within = [](std::int64_t const amount, std::int64_t const most) { return most <= 0 || amount <= most; };
    return within(used.millicores, rules->ceiling.millicores) && within(used.memory_mib, rules->ceiling.memory_mib) &&
        within(used.accelerators, rules->ceiling.accelerators);
}

std::uint32_t dispatch_planner::tasks_on(live_worker const &worker, job_id const job, std::uint32_t const step) const {
    return static_cast<std::uint32_t>(
        std::count_if(worker.placements.begin(), worker.placements.end(), [&](auto const id) {
            auto const &run = state_.placements[id];
            return run.is_known && run.job == job && run.key.step == step;
        }));
}

void dispatch_planner::start(
    waiting_step const &turn, std::uint32_t const index, std::uint32_t const run, option const &where) {
    auto &job = state_.jobs[turn.job];
    auto &task = job.steps[turn.step].tasks[index];
    task.run = run;
    placement intent;
    intent.worker = where.on->id;
    intent.job = turn.job;
    intent.key = {job.definition.id, turn.step, index, run};
    intent.charge = job.definition.steps[turn.step].task_size;
    intent.ticket = where.ticket->text;
    intent.ticket_until = where.ticket->until;
    intent.since = now_;
    take_room(*where.on, intent.charge);
    state_.add_placement(std::move(intent));
    state_.mark_dirty(turn.job);
}

bool dispatch_planner::may_ever_run(waiting_step const &turn, worker_id const id) const {
    auto const &worker = state_.workers[id];
    auto const &job = state_.jobs[turn.job];
    auto const &definition = job.definition.steps[turn.step];
    auto const &advice = job.steps[turn.step].advice;
    auto const is_refused = turn.queue->advice && advice.asked.contains(id) && !advice.approved.contains(id);
    return worker.is_registered && !worker.entry.leaving && !state_.rules->evacuated.contains(worker.entry.domain) &&
        !is_refused && may_run(worker.entry, *turn.queue, definition) &&
        fits(definition.task_size, worker.entry.capacity);
}

bool dispatch_planner::may_retry_where_it_failed(waiting_step const &turn, live_task const &task) const {
    if(state_.jobs[turn.job].definition.steps[turn.step].long_running) {
        // It may fail anywhere at any time, and is started again however often it does.
        return true;
    }
    auto const &ids = state_.workers.ids();
    return std::none_of(
        ids.begin(), ids.end(), [&](auto const id) { return !has_failed_on(task, id) && may_ever_run(turn, id); });
}

dispatch_planner::option const *dispatch_planner::tightest(
    waiting_step const &turn, std::vector<option> const &options, live_task const &task) const {
    auto const &definition = state_.jobs[turn.job].definition.steps[turn.step];
    auto const may_retry = !task.failed_on.empty() && may_retry_where_it_failed(turn, task);
    option const *best{};
    auto least = std::numeric_limits<double>::max();
    for(auto const &item: options) {
        if(item.ticket == nullptr || !fits(definition.task_size, item.on->room)) {
            continue;
        }
        auto const failed_here = has_failed_on(task, item.on->id);
        if(failed_here && !may_retry) {
            continue;
        }
        if(definition.most_per_worker > 0u &&
            tasks_on(*item.on->worker, turn.job, turn.step) >= definition.most_per_worker) {
            continue;
        }
        auto left = leftover(item.on->room, item.on->worker->entry.capacity);
        if(!definition.data_rack.empty() && !has_label(item.on->worker->entry, definition.data_rack)) {
            left += distance_penalty;
        }
        if(failed_here) {
            left += failure_penalty;
        }
        if(left < least) {
            least = left;
            best = &item;
        }
    }
    return best;
}

bool dispatch_planner::place_tasks(waiting_step const &turn, std::vector<option> const &options) {
    auto const size = state_.jobs[turn.job].definition.steps[turn.step].task_size;
    auto const count = state_.jobs[turn.job].steps[turn.step].tasks.size();
    for(std::uint32_t index{}; index < count; ++index) {
        auto const &job = state_.jobs[turn.job];
        auto const &task = job.steps[turn.step].tasks[index];
        if(task.done || !task.placement.is_null() || task.not_before > now_) {
            continue;
        }
        if(!is_within_ceiling(job, size)) {
            return false;
        }
        auto const *where = tightest(turn, options, task);
        if(where == nullptr) {
            if(task.failed_on.empty()) {
                return true;
            }
            continue;
        }
        start(turn, index, task.run + 1u, *where);
    }
    return state_.jobs[turn.job].steps[turn.step].waiting > 0u;
}

bool dispatch_planner::place_gang(waiting_step const &turn, std::vector<option> &options) {
    auto const &job = state_.jobs[turn.job];
    auto const &step = job.steps[turn.step];
    auto const &definition = job.definition.steps[turn.step];
    std::vector<std::uint32_t> members;
    for(std::uint32_t index{}; index < step.tasks.size(); ++index) {
        auto const &task = step.tasks[index];
        if(!task.placement.is_null() || task.not_before > now_) {
            // Runs of an earlier attempt have to go first.
            return false;
        }
        members.push_back(index);
    }
    if(!is_within_ceiling(job, definition.task_size * definition.count) || place_members(turn, options, members)) {
        return false;
    }
    if(turn.queue->advice && step.advice.asked.empty()) {
        return waiting_gangs_++ < advised_gangs;
    }
    // Tickets lapse soon: they are worth renewing only where the gang could start with them.
    auto const slots = slots_in(options, definition);
    if(turn.rank.tier < service_tier::hopeless && claim_for_gang(turn, options, definition.count)) {
        return true;
    }
    std::vector<option> unknown;
    if(may_ask(turn)) {
        add_unknown_options(turn, unknown);
    }
    return slots + slots_in(unknown, definition) >= definition.count;
}

bool dispatch_planner::place_members(
    waiting_step const &turn, std::vector<option> const &options, std::span<std::uint32_t const> const members) {
    auto const &job = state_.jobs[turn.job];
    auto const &definition = job.definition.steps[turn.step];
    struct share {
        option const *where;
        std::uint32_t slots;
    };
    std::vector<share> shares;
    std::uint32_t slots{};
    for(auto const &item: options) {
        if(item.ticket == nullptr) {
            continue;
        }
        auto fitting = fit_count(definition.task_size, item.on->room);
        if(definition.most_per_worker > 0u) {
            fitting = std::min(fitting, definition.most_per_worker);
        }
        if(fitting > 0u) {
            shares.push_back({&item, fitting});
            slots += std::min(fitting, static_cast<std::uint32_t>(members.size()));
        }
    }
    if(slots < members.size()) {
        return false;
    }
    // Few workers, so that the rest stays whole; a gang that spans few of them also breaks less often.
    std::sort(shares.begin(), shares.end(), [](auto const &lhs, auto const &rhs) { return lhs.slots > rhs.slots; });
    std::uint32_t run{};
    for(auto const index: members) {
        run = std::max(run, job.steps[turn.step].tasks[index].run);
    }
    std::size_t next{};
    for(auto const &part: shares) {
        for(std::uint32_t used{}; used < part.slots && next < members.size(); ++used) {
            start(turn, members[next++], run + 1u, *part.where);
        }
    }
    return true;
}

bool dispatch_planner::is_victim(placement const &run, waiting_step const &turn) const {
    auto const *job = run.is_known ? state_.jobs.find(run.job) : nullptr;
    if(job == nullptr || run.stop_wanted || run.stage != placement_stage::running || run.since + settled_time > now_) {
        return false;
    }
    auto const &definition = job->definition.steps[run.key.step];
    auto const &task = job->steps[run.key.step].tasks[run.key.index];
    return definition.checkpointing && !definition.gang && task.preemptions < most_preemptions &&
        turn.rank < rank_of(job->objective, run.key.step, job->is_excess, now_);
}

std::vector<placement_id> dispatch_planner::victims_for(
    waiting_step const &turn, live_worker const &worker, resources room, resources const &size) const {
    std::vector<placement_id> victims;
    for(auto const id: worker.placements) {
        if(fits(size, room)) {
            break;
        }
        auto const &run = state_.placements[id];
        if(is_victim(run, turn)) {
            victims.push_back(id);
            room += run.charge;
        }
    }
    if(!fits(size, room)) {
        victims.clear();
    }
    return victims;
}

bool dispatch_planner::claim_for_gang(
    waiting_step const &turn, std::vector<option> &options, std::uint32_t const count) {
    if(++blocked_gangs_ > claiming_gangs) {
        return false;
    }
    auto const &size = state_.jobs[turn.job].definition.steps[turn.step].task_size;
    struct claim {
        candidate *on;
        /*! Room once runs that are being stopped are gone; no start may use more than is free now. */
        resources soon;
    };
    std::vector<claim> claims;
    auto missing = count;
    for(auto &item: options) {
        auto soon = item.on->room;
        for(auto const id: item.on->worker->placements) {
            soon += state_.placements[id].stop_wanted ? state_.placements[id].charge : resources{};
        }
        auto const claimed = std::min(missing, fit_count(size, soon));
        take_room(*item.on, size * claimed);
        missing -= claimed;
        claims.push_back({item.on, soon - size * claimed});
    }
    std::vector<placement_id> victims;
    for(auto &item: claims) {
        while(missing > 0u) {
            auto const chosen = victims_for(turn, *item.on->worker, item.soon, size);
            if(chosen.empty()) {
                break;
            }
            for(auto const id: chosen) {
                state_.placements[id].stop_wanted = true;
                item.soon += state_.placements[id].charge;
            }
            item.soon -= size;
            take_room(*item.on, size);
            victims.insert(victims.end(), chosen.begin(), chosen.end());
            --missing;
        }
    }
    // If room is still missing, stopping them would not let the gang start.
    for(auto const id: victims) {
        state_.placements[id].stop_wanted = missing == 0u;
        if(auto *task = state_.task_of(id); task != nullptr && missing == 0u) {
            ++task->preemptions;
        }
    }
    return missing == 0u;
}

void dispatch_planner::seek_advice(waiting_step const &turn, std::vector<option> const &options, bool const is_gang) {
    auto &job = state_.jobs[turn.job];
    auto &step = job.steps[turn.step];
    auto const &terms = *turn.queue->advice;
    auto const duration_of = [&terms](std::size_t const workers) {
        return terms.base + millis{terms.per_worker_us * static_cast<std::int64_t>(workers) / 1'000};
    };
    auto const is_first = step.advice.asked.empty();
    auto const &size = job.definition.steps[turn.step].task_size;
    auto const soon = now_ + duration_of(options.size()) + renewal_margin;
    std::vector<option const *> wanted;
    auto has_room = false;
    for(auto const &item: options) {
        auto const fits_now = fits(size, item.on->room);
        has_room = has_room || fits_now;
        auto const lapses = item.ticket == nullptr || (is_gang && item.ticket->until < soon);
        if(is_first || (lapses && (is_gang || fits_now))) {
            wanted.push_back(&item);
        }
    }
    if(!is_gang && !has_room && steps_ahead_++ >= state_.advisers) {
        return;
    }
    if(wanted.empty()) {
        return;
    }
    std::sort(wanted.begin(), wanted.end(),
        [](auto const *lhs, auto const *rhs) { return lhs->on->room.millicores > rhs->on->room.millicores; });
    auto const most = is_gang ? query_workers
                              : std::min(query_workers, query_workers_each * step.waiting + query_workers_besides);
    wanted.resize(std::min(wanted.size(), most));
    advice_query query{job.definition.id, turn.step, {}, duration_of(wanted.size())};
    auto &under_way = queries_like(state_, query.duration);
    auto const limit = query.duration >= long_query ? adviser_pool::long_capable(state_.advisers)
                                                    : short_queries_each * state_.advisers;
    if(under_way >= limit) {
        return;
    }
    ++under_way;
    for(auto const *item: wanted) {
        query.workers.push_back(item->on->worker->entry.name);
    }
    step.advice.in_flight = true;
    out_.queries.push_back(std::move(query));
}

} // namespace kingcuplink::internal
