#include <algorithm>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <kingcuplink/workflow/dispatch_planner.hpp>
#include <limits>
#include <utility>

namespace kingcuplink::internal {

namespace {

/*! Maximum number of gangs with a capacity reservation in one round. */
constexpr std::size_t max_reserving_gangs = 4u;
/*! Time for which capacity of a mostly idle fleet may be reserved for a gang. */
constexpr millis idle_reservation_limit{3'000};
/*! Time for which the result of a check whether capacity may be reserved for a gang is used. */
constexpr millis reservation_check_interval{250};
/*! Work of a round, in visits of candidates, after which no further step is processed in order of rank. */
constexpr std::size_t max_ranked_work = 30'000u;
/*! Work on other steps that have got an answer of the adviser: their tickets are valid for a short time. */
constexpr std::size_t max_work_on_answers = 10'000u;
/*! Work on the steps that are processed in turn in a round. */
constexpr std::size_t max_work_in_turn = 10'000u;
/*! Work of a visit to a waiting step. */
constexpr std::size_t step_visit_work = 10u;
/*! Maximum number of gangs, in order of rank, that query the adviser although the fleet has no capacity for them. */
constexpr std::size_t max_first_advice_gangs = 8u;
/*! Number of other steps per entry VM, in order of rank, that may do so. */
constexpr std::size_t steps_without_capacity_per_vm = 4u;
/*! Maximum number of workers in one query; a limit of the adviser. */
constexpr std::size_t max_query_workers = 100u;
/*! A query names this many workers for each waiting task, plus extra_query_workers. */
constexpr std::size_t query_workers_per_task = 4u;
constexpr std::size_t extra_query_workers = 8u;
/*! Maximum number of short queries in flight per entry VM; the adviser rejects calls beyond 32 waiting ones. */
constexpr std::size_t short_queries_per_vm = 6u;
/*! Minimum run time before a preemption: the run restores its checkpoint and writes the next one. */
constexpr millis preemption_grace_time{2'000};
/*! Maximum number of preemptions of a task, so that it completes on a fleet that is full of gangs. */
constexpr std::uint32_t max_preemptions = 2u;
/*! The ticket of a gang is renewed if it expires within the expected duration of a query plus this margin. */
constexpr millis renewal_margin{100};
/*! Added to the score of a worker away from the data. Exceeds any unused fraction, which is 3 at most. */
constexpr double distance_penalty = 1'000.0;
/*! Time after a failure for which a task waits for a worker where it has not failed. */
constexpr millis other_worker_wait{2'000};
/*! The same while half of the capacity or more is in use: other workers become free, and attempts are limited. */
constexpr millis busy_other_worker_wait{10'000};
/*! A worker that has been silent for less than this time is expected to answer again, and is waited for as long. */
constexpr millis brief_silence{8'000};
constexpr auto no_candidate = std::numeric_limits<std::size_t>::max();

/*! Returns the unused fraction of a worker, summed over the dimensions of its capacity. */
double unused_fraction(resources const &available, resources const &capacity) noexcept {
    auto const fraction = [](std::int64_t const left, std::int64_t const all) {
        return all > 0 ? static_cast<double>(left) / static_cast<double>(all) : 0.0;
    };
    return fraction(available.millicores, capacity.millicores) + fraction(available.memory_mib, capacity.memory_mib) +
        fraction(available.accelerators, capacity.accelerators);
}

bool has_label(worker_registration const &worker, std::string const &label) {
    return label.empty() || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end();
}

} // namespace

std::int64_t demand_per_worker(advice_query const &query) noexcept {
    return query.workers.empty() ? 0 : query.demand.millicores / static_cast<std::int64_t>(query.workers.size());
}

std::size_t short_query_limit(std::size_t const querying_vms) noexcept {
    return short_queries_per_vm * querying_vms;
}

std::uint32_t fit_count(resources const &size, resources const &available) noexcept {
    auto most = std::int64_t{std::numeric_limits<std::uint32_t>::max()};
    auto const limit = [&most](std::int64_t const need, std::int64_t const left) {
        if(need > 0) {
            most = std::min(most, std::max<std::int64_t>(0, left) / need);
        }
    };
    limit(size.millicores, available.millicores);
    limit(size.memory_mib, available.memory_mib);
    limit(size.accelerators, available.accelerators);
    return static_cast<std::uint32_t>(most);
}

dispatch_planner::dispatch_planner(dispatch_state &state, instant const now, dispatch_plan &out)
    : state_{state}, now_{now}, out_{out} {}

void dispatch_planner::run() {
    state_.update_waiting_steps(now_);
    collect_candidates();
    process_waiting_steps();
    plan_stops();
}

void dispatch_planner::process_waiting_steps() {
    auto const &steps = state_.waiting.by_rank();
    std::size_t processed{};
    auto next = steps.begin();
    for(; next != steps.end() && work_ < max_ranked_work; ++next, ++processed) {
        process_step(*next);
    }
    auto const answered = std::exchange(state_.answered_steps, {});
    if(next == steps.end()) {
        return;
    }
    processed += process_answered(answered, *next);
    processed += process_in_turn(*next);
    out_.held_steps[static_cast<std::size_t>(hold_reason::round_limit)] += steps.size() -
        std::min(steps.size(), processed);
}

std::size_t dispatch_planner::process_answered(std::span<step_key const> const answered, ranked_step const &first) {
    auto const work_limit = work_ + max_work_on_answers;
    std::size_t processed{};
    for(auto const &key: answered) {
        auto const rank = state_.waiting.rank_of(key);
        if(!rank || ranked_step{*rank, key} < first) {
            continue;
        }
        if(work_ >= work_limit) {
            state_.answered_steps.push_back(key);
            continue;
        }
        process_step({*rank, key});
        ++processed;
    }
    return processed;
}

std::size_t dispatch_planner::process_in_turn(ranked_step const &first) {
    auto const &steps = state_.waiting.by_rank();
    auto &turn = state_.turn;
    if(turn.last < first || turn.end < turn.last) {
        // Steps that are added during a pass wait for the next one.
        turn = {first, *steps.rbegin()};
    }
    auto next = turn.last == first ? steps.find(first) : steps.upper_bound(turn.last);
    std::size_t processed{};
    auto const work_limit = work_ + max_work_in_turn;
    for(; next != steps.end() && !(turn.end < *next) && work_ < work_limit; ++next, ++processed) {
        process_step(*next);
        turn.last = *next;
    }
    if(next == steps.end() || turn.end < *next) {
        turn = {};
    }
    return processed;
}

void dispatch_planner::plan_stops() {
    std::erase_if(state_.requested_stops, [this](auto const id) { return !state_.placements.contains(id); });
    for(auto const id: state_.requested_stops) {
        auto *run = state_.placements.find(id);
        if(run == nullptr || run->stop_in_flight || run->next_stop_at > now_) {
            continue;
        }
        if(run->stage == placement_stage::intended && !run->is_batched) {
            state_.remove_placement(id, now_);
            continue;
        }
        if(run->first_stop_answer_at && run->may_begin_until > now_) {
            // The boot that acknowledged the stop needs no other one while a later boot may execute the start.
            continue;
        }
        auto const &worker = state_.workers[run->worker];
        if(is_start_concluded(*run) && worker.is_reconciled) {
            run->stop_in_flight = true;
            out_.stops.push_back({id, worker.registration.name, worker.registration.address, worker.boot, run->key});
        }
    }
}

void dispatch_planner::collect_candidates() {
    std::string const *service{};
    service_capacity *of_service{};
    for(auto const id: state_.workers.ids()) {
        auto &worker = state_.workers[id];
        if(!is_usable(worker, *state_.rules, now_)) {
            continue;
        }
        if(service == nullptr || *service != worker.registration.service) {
            service = &worker.registration.service;
            of_service = &services_[*service];
        }
        candidate_at_.resize(std::max<std::size_t>(candidate_at_.size(), id.index + 1u), no_candidate);
        candidate_at_[id.index] = candidates_.size();
        candidates_.push_back({id, &worker, worker.registration.capacity - worker.used, of_service});
        of_service->available += candidates_.back().available;
    }
}

bool dispatch_planner::has_unpromised_capacity(std::string const &service, resources const &size) const {
    auto const found = services_.find(service);
    if(found == services_.end()) {
        return false;
    }
    auto const &available = found->second.available;
    auto const promised = state_.promised.find(service);
    return fits(size, promised == state_.promised.end() ? available : available - promised->second);
}

bool dispatch_planner::take_place_without_capacity(waiting_step const &current) {
    auto const &job = state_.jobs[current.job];
    if(job.definition.steps[current.step].gang) {
        return (std::exchange(is_counted_, true) ? first_advice_gangs_ : ++first_advice_gangs_) <=
            max_first_advice_gangs;
    }
    auto const limit = steps_without_capacity_per_vm * state_.querying_vms;
    return (std::exchange(is_counted_, true) ? steps_without_capacity_ : ++steps_without_capacity_) <= limit;
}

resources const &dispatch_planner::max_available(std::string const &service) {
    auto &capacity = services_[service];
    if(!capacity.largest) {
        work_ += candidates_.size();
        auto &largest = capacity.largest.emplace();
        for(auto const &item: candidates_) {
            if(item.of_service == &capacity) {
                largest.millicores = std::max(largest.millicores, item.available.millicores);
                largest.memory_mib = std::max(largest.memory_mib, item.available.memory_mib);
                largest.accelerators = std::max(largest.accelerators, item.available.accelerators);
            }
        }
    }
    return *capacity.largest;
}

void dispatch_planner::reserve(candidate &target, resources const &size) {
    auto &service = *target.of_service;
    auto const is_largest = service.largest &&
        (target.available.millicores >= service.largest->millicores ||
            target.available.memory_mib >= service.largest->memory_mib ||
            target.available.accelerators >= service.largest->accelerators);
    target.available -= size;
    service.available -= size;
    if(is_largest) {
        service.largest.reset();
    }
}

std::optional<hold_reason> dispatch_planner::reason_to_skip(waiting_step const &current) {
    auto const &job = state_.jobs[current.job];
    auto const &definition = job.definition.steps[current.step];
    auto const &advice = job.steps[current.step].advice;
    auto const has_advice = !current.queue->advice || !advice.asked.empty();
    auto const is_reservation_possible = definition.gang && current.rank.tier < service_tier::too_late &&
        reserving_gangs_ < max_reserving_gangs && has_advice;
    if(advice.in_flight && advice.is_speculative) {
        take_place_without_capacity(current);
    }
    if(!fits(definition.task_size, max_available(current.queue->service))) {
        auto const may_query = current.queue->advice && (!definition.gang || advice.asked.empty()) &&
            take_place_without_capacity(current);
        if(!may_query && !is_reservation_possible) {
            return hold_reason::no_capacity;
        }
    }
    if(!current.queue->advice || is_reservation_possible || advice.valid_until > now_) {
        return std::nullopt;
    }
    // Without a valid ticket, the step can only query the adviser.
    return reason_not_to_query(current);
}

void dispatch_planner::process_step(ranked_step const &step) {
    work_ += step_visit_work;
    auto &job = state_.jobs[step.key.job];
    waiting_step const current{step.rank, step.key.job, step.key.step, state_.rules_of(job)};
    held_by_ = hold_reason::not_due;
    is_counted_ = false;
    if(auto const reason = reason_to_skip(current)) {
        held_by_ = *reason;
    } else {
        place_step(current);
    }
    if(job.steps[current.step].waiting > 0u) {
        ++out_.held_steps[static_cast<std::size_t>(held_by_)];
    }
}

void dispatch_planner::place_step(waiting_step const &current) {
    ++out_.steps_examined;
    auto options = options_for(current);
    auto const is_gang = state_.jobs[current.job].definition.steps[current.step].gang;
    auto const needs_advice = is_gang ? place_gang(current, options) : place_tasks(current, options);
    if(!needs_advice || !current.queue->advice) {
        return;
    }
    if(auto const reason = reason_not_to_query(current)) {
        held_by_ = *reason;
        return;
    }
    add_unqueried_options(current, options);
    request_advice(current, options);
}

bool dispatch_planner::may_run(worker_registration const &worker, job_terms const &queue, step_definition const &step) {
    return worker.service == queue.service && has_label(worker, step.required_label);
}

std::uint32_t dispatch_planner::slots_on_worker(step_definition const &step, resources const &capacity) noexcept {
    auto const fitting = std::min(step.count, fit_count(step.task_size, capacity));
    return step.most_per_worker > 0u ? std::min(step.most_per_worker, fitting) : fitting;
}

std::uint32_t dispatch_planner::slots_in(std::vector<option> const &options, step_definition const &step) {
    std::uint32_t slots{};
    for(auto const &item: options) {
        slots += slots_on_worker(step, item.on->available);
    }
    return slots;
}

std::vector<dispatch_planner::option> dispatch_planner::options_for(waiting_step const &current) {
    auto const &job = state_.jobs[current.job];
    auto const &definition = job.definition.steps[current.step];
    std::vector<option> options;
    if(current.queue->advice) {
        // Only a few workers of a large fleet are approved; iterating over these is cheaper than over all candidates.
        auto const &approved = job.steps[current.step].advice.approved;
        work_ += approved.size();
        for(auto const &[id, ticket]: approved) {
            auto const pos = id.index < candidate_at_.size() ? candidate_at_[id.index] : no_candidate;
            // The index may have been reused for another worker.
            auto const is_same_worker = pos != no_candidate && candidates_[pos].id == id;
            if(is_same_worker && ticket.boot == candidates_[pos].worker->restarts &&
                may_run(candidates_[pos].worker->registration, *current.queue, definition)) {
                options.push_back({&candidates_[pos], ticket.until > now_ ? &ticket : nullptr});
            }
        }
        return options;
    }
    static advice_ticket const not_needed{};
    work_ += candidates_.size();
    for(auto &item: candidates_) {
        if(may_run(item.worker->registration, *current.queue, definition)) {
            options.push_back({&item, &not_needed});
        }
    }
    return options;
}

void dispatch_planner::add_unqueried_options(waiting_step const &current, std::vector<option> &options) {
    auto const &job = state_.jobs[current.job];
    auto const &advice = job.steps[current.step].advice;
    work_ += candidates_.size();
    for(auto &item: candidates_) {
        if(!advice.has_answer_for({item.id, item.worker->restarts}) &&
            may_run(item.worker->registration, *current.queue, job.definition.steps[current.step])) {
            options.push_back({&item, nullptr});
        }
    }
}

millis dispatch_planner::query_duration(advice_terms const &terms, std::size_t const workers) noexcept {
    return terms.base + millis{terms.per_worker_us * static_cast<std::int64_t>(workers) / 1'000};
}

std::size_t dispatch_planner::max_workers_to_query(live_job const &job, std::uint32_t const step) noexcept {
    return job.definition.steps[step].gang
        ? max_query_workers
        : std::min(max_query_workers, query_workers_per_task * job.steps[step].waiting + extra_query_workers);
}

std::optional<hold_reason> dispatch_planner::limit_on_query(millis const duration) const {
    auto const is_long = duration >= long_query_duration;
    auto const limit = is_long ? adviser_pool::long_call_limit(state_.querying_vms)
                               : short_query_limit(state_.querying_vms);
    if(query_counter(state_, duration) < limit) {
        return std::nullopt;
    }
    return is_long ? hold_reason::long_query_limit : hold_reason::short_query_limit;
}

std::optional<hold_reason> dispatch_planner::reason_not_to_query(waiting_step const &current) const {
    auto const &job = state_.jobs[current.job];
    auto const &advice = job.steps[current.step].advice;
    if(advice.in_flight) {
        return hold_reason::query_pending;
    }
    if(advice.not_before > now_) {
        return hold_reason::query_delayed;
    }
    auto const workers = std::min(candidates_.size(), max_workers_to_query(job, current.step));
    return limit_on_query(query_duration(*current.queue->advice, workers));
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

void dispatch_planner::add_intent(
    waiting_step const &current, std::uint32_t const index, std::uint32_t const run, option const &target) {
    auto &job = state_.jobs[current.job];
    auto &task = job.steps[current.step].tasks[index];
    task.run = run;
    placement intent;
    intent.worker = target.on->id;
    intent.job = current.job;
    intent.key = {job.definition.id, current.step, index, run};
    intent.planned_for = target.on->worker->restarts;
    intent.charge = job.definition.steps[current.step].task_size;
    intent.ticket = target.ticket->text;
    intent.ticket_until = target.ticket->until;
    intent.stage_since = now_;
    intent.may_begin_in_other_boot = !current.queue->advice;
    reserve(*target.on, intent.charge);
    job.steps[current.step].advice.is_answer_unused = false;
    state_.add_placement(std::move(intent));
    state_.mark_dirty(current.job);
}

bool dispatch_planner::is_startable(live_job const &job, std::uint32_t const step, std::uint32_t const index) const {
    auto const &task = job.steps[step].tasks[index];
    // An unknown run may be one that was given up too early: its task waits until the run is gone.
    return task.placement.is_null() && task.not_before <= now_ && !state_.has_unknown_run(job, step, index);
}

bool dispatch_planner::is_startable_by(
    live_job const &job, std::uint32_t const step, std::uint32_t const index, instant const at) const {
    auto const &task = job.steps[step].tasks[index];
    if(task.not_before > at || state_.has_unknown_run(job, step, index)) {
        return false;
    }
    auto const *run = state_.placements.find(task.placement);
    if(run == nullptr) {
        return true;
    }
    if(run->stage == placement_stage::intended || run->stage == placement_stage::awaiting_answer) {
        return false;
    }
    auto const &worker = state_.workers[run->worker];
    // The stop of a run takes less time than a query.
    auto const is_stopping = run->stop_requested && worker.is_registered && is_responsive(worker, now_);
    return is_stopping || state_.lapse_time(*run) < at;
}

bool dispatch_planner::may_ever_run(waiting_step const &current, worker_id const id) const {
    auto const &worker = state_.workers[id];
    auto const &job = state_.jobs[current.job];
    auto const &definition = job.definition.steps[current.step];
    auto const &advice = job.steps[current.step].advice;
    auto const boot = state_.boot_of(id);
    auto const is_refused = current.queue->advice && advice.has_answer_for(boot) && advice.ticket_for(boot) == nullptr;
    return worker.is_registered && !worker.registration.leaving &&
        !state_.rules->evacuated.contains(worker.registration.domain) && !is_refused &&
        may_run(worker.registration, *current.queue, definition) &&
        fits(definition.task_size, worker.registration.capacity);
}

bool dispatch_planner::is_briefly_silent(live_worker const &worker) const {
    return !is_responsive(worker, now_) && std::max(worker.known_since, worker.seen_at) + brief_silence > now_;
}

bool dispatch_planner::may_retry_on_failed_workers(waiting_step const &current, live_task const &task) {
    if(task.failed_at + failure_delay > now_) {
        return false;
    }
    if(state_.jobs[current.job].definition.steps[current.step].long_running) {
        // A long-running task may fail on any worker and is restarted without limit.
        return true;
    }
    auto const wait = is_mostly_idle(current.queue->service) ? other_worker_wait : busy_other_worker_wait;
    auto const has_waited = task.failed_at + wait <= now_;
    if(has_waited && task.failed_at + brief_silence <= now_) {
        return true;
    }
    auto const &ids = state_.workers.ids();
    work_ += ids.size();
    return std::none_of(ids.begin(), ids.end(), [&](auto const id) {
        return (!has_waited || is_briefly_silent(state_.workers[id])) && !has_failed_on(task, state_.boot_of(id)) &&
            may_ever_run(current, id);
    });
}

dispatch_planner::option const *dispatch_planner::best_fit(
    waiting_step const &current, std::vector<option> const &options, live_task const &task) {
    auto const &definition = state_.jobs[current.job].definition.steps[current.step];
    work_ += options.size();
    struct choice {
        option const *target{};
        double score{std::numeric_limits<double>::max()};
    };
    choice best;
    choice best_where_failed;
    for(auto const &item: options) {
        if(item.ticket == nullptr || !fits(definition.task_size, item.on->available)) {
            continue;
        }
        if(definition.most_per_worker > 0u &&
            tasks_on(*item.on->worker, current.job, current.step) >= definition.most_per_worker) {
            continue;
        }
        auto score = unused_fraction(item.on->available, item.on->worker->registration.capacity);
        if(!definition.data_rack.empty() && !has_label(item.on->worker->registration, definition.data_rack)) {
            score += distance_penalty;
        }
        auto &chosen = has_failed_on(task, state_.boot_of(item.on->id)) ? best_where_failed : best;
        if(score < chosen.score) {
            chosen = {&item, score};
        }
    }
    if(best.target == nullptr && best_where_failed.target != nullptr && may_retry_on_failed_workers(current, task)) {
        ++out_.retries_where_failed;
        return best_where_failed.target;
    }
    return best.target;
}

bool dispatch_planner::place_tasks(waiting_step const &current, std::vector<option> const &options) {
    auto const size = state_.jobs[current.job].definition.steps[current.step].task_size;
    auto const count = state_.jobs[current.job].steps[current.step].tasks.size();
    for(std::uint32_t index{}; index < count; ++index) {
        auto const &job = state_.jobs[current.job];
        auto const &task = job.steps[current.step].tasks[index];
        if(task.done || !is_startable(job, current.step, index)) {
            continue;
        }
        if(!is_within_ceiling(job, size)) {
            held_by_ = hold_reason::ceiling;
            return false;
        }
        auto const *target = best_fit(current, options, task);
        if(target == nullptr) {
            if(task.failed_on.empty()) {
                held_by_ = hold_reason::no_approved_capacity;
                return true;
            }
            held_by_ = hold_reason::failed_on_workers;
            continue;
        }
        add_intent(current, index, task.run + 1u, *target);
    }
    return state_.jobs[current.job].steps[current.step].waiting > 0u;
}

bool dispatch_planner::place_gang(waiting_step const &current, std::vector<option> &options) {
    auto const &job = state_.jobs[current.job];
    auto const &step = job.steps[current.step];
    auto const &definition = job.definition.steps[current.step];
    auto const readiness = readiness_of_gang(current);
    if(readiness == gang_readiness::blocked) {
        // Runs of an earlier attempt have to be removed first.
        return false;
    }
    auto const is_ready = readiness == gang_readiness::ready;
    if(!is_within_ceiling(job, definition.task_size * definition.count)) {
        held_by_ = hold_reason::ceiling;
        return false;
    }
    if(is_ready && place_members(current, options)) {
        return false;
    }
    if(current.queue->advice && step.advice.asked.empty()) {
        held_by_ = hold_reason::first_query_limit;
        return has_unpromised_capacity(current.queue->service, definition.task_size * definition.count) ||
            take_place_without_capacity(current);
    }
    held_by_ = hold_reason::gang_capacity;
    // Tickets are short-lived: they are renewed only if the gang could start with them.
    auto const slots = slots_in(options, definition);
    if(is_ready && current.rank.tier < service_tier::too_late && reserving_gangs_ < max_reserving_gangs &&
        may_reserve_for_gang(current, options) && reserve_for_gang(current, options)) {
        return true;
    }
    if(!current.queue->advice) {
        return false;
    }
    if(auto const reason = reason_not_to_query(current)) {
        held_by_ = *reason;
        return false;
    }
    std::vector<option> unqueried;
    add_unqueried_options(current, unqueried);
    return slots + slots_in(unqueried, definition) >= definition.count;
}

dispatch_planner::gang_readiness dispatch_planner::readiness_of_gang(waiting_step const &current) const {
    auto const &job = state_.jobs[current.job];
    auto const &tasks = job.steps[current.step].tasks;
    auto const &advice = current.queue->advice;
    auto const next_answer_at = now_ + (advice ? query_duration(*advice, max_query_workers) : millis{});
    auto result = gang_readiness::ready;
    for(std::uint32_t index{}; index < tasks.size(); ++index) {
        if(is_startable(job, current.step, index)) {
            continue;
        }
        if(!advice || !is_startable_by(job, current.step, index, next_answer_at)) {
            return gang_readiness::blocked;
        }
        result = gang_readiness::ready_soon;
    }
    return result;
}

bool dispatch_planner::place_members(waiting_step const &current, std::vector<option> const &options) {
    auto const &job = state_.jobs[current.job];
    auto const members = static_cast<std::uint32_t>(job.steps[current.step].tasks.size());
    auto const &definition = job.definition.steps[current.step];
    struct allocation {
        option const *target;
        std::uint32_t slots;
    };
    std::vector<allocation> allocations;
    std::uint32_t slots{};
    for(auto const &item: options) {
        if(item.ticket == nullptr) {
            continue;
        }
        if(auto const fitting = slots_on_worker(definition, item.on->available); fitting > 0u) {
            allocations.push_back({&item, fitting});
            slots += fitting;
        }
    }
    if(slots < members) {
        return false;
    }
    // Use as few workers as possible: this limits fragmentation, and a gang on fewer workers breaks less often.
    std::sort(
        allocations.begin(), allocations.end(), [](auto const &lhs, auto const &rhs) { return lhs.slots > rhs.slots; });
    std::uint32_t run{};
    for(auto const &task: job.steps[current.step].tasks) {
        run = std::max(run, task.run);
    }
    std::uint32_t next{};
    for(auto const &item: allocations) {
        for(std::uint32_t used{}; used < item.slots && next < members; ++used) {
            add_intent(current, next++, run + 1u, *item.target);
        }
    }
    return true;
}

bool dispatch_planner::is_victim(placement const &run, waiting_step const &current) const {
    auto const *job = run.is_known ? state_.jobs.find(run.job) : nullptr;
    if(job == nullptr || run.stop_requested || run.stage != placement_stage::running ||
        run.stage_since + preemption_grace_time > now_) {
        return false;
    }
    auto const &definition = job->definition.steps[run.key.step];
    auto const &task = job->steps[run.key.step].tasks[run.key.index];
    return definition.checkpointing && !definition.gang && task.preemptions < max_preemptions &&
        current.rank < rank_of(job->objective, run.key.step, job->is_excess, now_);
}

std::vector<placement_id> dispatch_planner::victims_for(
    waiting_step const &current, live_worker const &worker, resources available, resources const &size) const {
    std::vector<placement_id> victims;
    for(auto const id: worker.placements) {
        if(fits(size, available)) {
            break;
        }
        auto const &run = state_.placements[id];
        if(is_victim(run, current)) {
            victims.push_back(id);
            available += run.charge;
        }
    }
    if(!fits(size, available)) {
        victims.clear();
    }
    return victims;
}

instant dispatch_planner::expected_end(placement const &run) const {
    auto const *job = run.is_known ? state_.jobs.find(run.job) : nullptr;
    if(job == nullptr || run.stop_requested) {
        return now_;
    }
    auto const &definition = job->definition.steps[run.key.step];
    if(definition.long_running) {
        return instant::max();
    }
    // A run that has exceeded its estimate is expected to take twice as long as it has taken so far.
    auto const elapsed = now_ - run.stage_since;
    return run.stage_since + (elapsed < definition.estimate ? definition.estimate : elapsed * 2);
}

resources dispatch_planner::expected_capacity(live_worker const &worker, instant const at) const {
    auto capacity = worker.registration.capacity;
    for(auto const id: worker.placements) {
        auto const &run = state_.placements[id];
        capacity -= expected_end(run) > at ? run.charge : resources{};
    }
    return capacity;
}

bool dispatch_planner::is_mostly_idle(std::string const &service) {
    auto const [found, inserted] = mostly_idle_.try_emplace(service);
    if(inserted) {
        resources used;
        resources capacity;
        for(auto const &worker: state_.workers.values()) {
            if(worker.is_registered && worker.registration.service == service) {
                used += worker.used;
                capacity += worker.registration.capacity;
            }
        }
        found->second = dominant_fraction(used, capacity) < 0.5;
    }
    return found->second;
}

bool dispatch_planner::may_reserve_for_gang(waiting_step const &current, std::vector<option> const &options) {
    auto &step = state_.jobs[current.job].steps[current.step];
    if(step.reservation_checked_at + reservation_check_interval <= now_) {
        step.reservation_checked_at = now_;
        step.may_hold_capacity = is_expected_to_start(current, options);
    }
    return step.may_hold_capacity;
}

bool dispatch_planner::is_expected_to_start(waiting_step const &current, std::vector<option> const &options) {
    auto const &job = state_.jobs[current.job];
    auto const &definition = job.definition.steps[current.step];
    auto latest_start = job.objective.late - job.objective.remaining[current.step];
    if(is_mostly_idle(current.queue->service)) {
        latest_start = std::min(latest_start, now_ + idle_reservation_limit);
    }
    auto possible = options;
    if(current.queue->advice) {
        // The adviser may still approve the others.
        add_unqueried_options(current, possible);
    }
    std::uint32_t slots{};
    for(auto const &item: possible) {
        work_ += item.on->worker->placements.size() + 1u;
        slots += slots_on_worker(definition, expected_capacity(*item.on->worker, latest_start));
        if(slots >= definition.count) {
            return true;
        }
    }
    return false;
}

bool dispatch_planner::reserve_for_gang(waiting_step const &current, std::vector<option> &options) {
    ++reserving_gangs_;
    auto const &definition = state_.jobs[current.job].definition.steps[current.step];
    auto const &size = definition.task_size;
    struct reservation {
        candidate *on;
        /*! Capacity available after pending stops; starts are limited to the capacity available now. */
        resources available_after_stops;
        /*! Number of members that the worker may take in addition. */
        std::uint32_t remaining_slots;
    };
    std::vector<reservation> reservations;
    auto missing = definition.count;
    for(auto &item: options) {
        auto available_after_stops = item.on->available;
        for(auto const id: item.on->worker->placements) {
            available_after_stops += state_.placements[id].stop_requested ? state_.placements[id].charge : resources{};
        }
        auto const most = definition.most_per_worker > 0u ? definition.most_per_worker : definition.count;
        auto const reserved = std::min(missing, slots_on_worker(definition, available_after_stops));
        reserve(*item.on, size * reserved);
        missing -= reserved;
        reservations.push_back({item.on, available_after_stops - size * reserved, most - reserved});
    }
    std::vector<placement_id> victims;
    for(auto &item: reservations) {
        for(; missing > 0u && item.remaining_slots > 0u; --item.remaining_slots) {
            auto const chosen = victims_for(current, *item.on->worker, item.available_after_stops, size);
            if(chosen.empty()) {
                break;
            }
            for(auto const id: chosen) {
                // is_victim() does not choose a run twice.
                state_.placements[id].stop_requested = true;
                item.available_after_stops += state_.placements[id].charge;
            }
            item.available_after_stops -= size;
            reserve(*item.on, size);
            victims.insert(victims.end(), chosen.begin(), chosen.end());
            --missing;
        }
    }
    // Do not preempt any run if the capacity would still not suffice for the gang.
    for(auto const id: victims) {
        state_.placements[id].stop_requested = false;
        if(missing == 0u) {
            state_.request_stop(id);
        }
        if(auto *task = state_.task_of(id); task != nullptr && missing == 0u) {
            ++task->preemptions;
        }
    }
    return missing == 0u;
}

std::vector<dispatch_planner::option const *> dispatch_planner::workers_to_query(
    waiting_step const &current, std::vector<option> const &options) const {
    auto const &job = state_.jobs[current.job];
    auto const &definition = job.definition.steps[current.step];
    auto const is_first = job.steps[current.step].advice.asked.empty();
    auto const most = max_workers_to_query(job, current.step);
    auto const renewal_deadline = now_ + query_duration(*current.queue->advice, std::min(options.size(), most)) +
        renewal_margin;
    std::vector<option const *> result;
    for(auto const &item: options) {
        auto const needs_renewal = item.ticket == nullptr || (definition.gang && item.ticket->until < renewal_deadline);
        if(is_first || (needs_renewal && (definition.gang || fits(definition.task_size, item.on->available)))) {
            result.push_back(&item);
        }
    }
    auto const unqueried_millicores = [](auto const *item) {
        return item->on->available.millicores - item->on->worker->queried_millicores;
    };
    auto const precedes = [&](auto const *lhs, auto const *rhs) {
        return unqueried_millicores(lhs) > unqueried_millicores(rhs);
    };
    auto const count = std::min(result.size(), most);
    std::partial_sort(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(count), result.end(), precedes);
    result.resize(count);
    return result;
}

void dispatch_planner::request_advice(waiting_step const &current, std::vector<option> const &options) {
    auto &job = state_.jobs[current.job];
    auto &step = job.steps[current.step];
    auto const &definition = job.definition.steps[current.step];
    auto const has_capacity = has_unpromised_capacity(current.queue->service,
                                  definition.task_size * (definition.gang ? definition.count : 1u)) &&
        std::any_of(options.begin(), options.end(),
            [&](auto const &item) { return fits(definition.task_size, item.on->available); });
    if(!definition.gang && !has_capacity && !take_place_without_capacity(current)) {
        held_by_ = hold_reason::no_capacity;
        return;
    }
    auto const workers = workers_to_query(current, options);
    if(workers.empty()) {
        return;
    }
    std::uint32_t slots{};
    for(auto const *item: workers) {
        slots += slots_on_worker(definition, item->on->worker->registration.capacity);
    }
    advice_query query{job.definition.id, current.step, {}, query_duration(*current.queue->advice, workers.size()),
        current.queue->service, definition.task_size * std::min(step.waiting, slots)};
    if(auto const reason = limit_on_query(query.duration)) {
        held_by_ = *reason;
        return;
    }
    for(auto const *item: workers) {
        query.workers.push_back(item->on->worker->registration.name);
        step.advice.queried.push_back(state_.boot_of(item->on->id));
    }
    for(auto const *item: workers) {
        item->on->worker->queried_millicores += demand_per_worker(query);
    }
    ++query_counter(state_, query.duration);
    state_.promised[query.service] += query.demand;
    held_by_ = hold_reason::query_pending;
    out_.unused_answers += step.advice.is_answer_unused ? 1u : 0u;
    step.advice.in_flight = true;
    step.advice.is_speculative = !has_capacity;
    out_.queries.push_back(std::move(query));
}

} // namespace kingcuplink::internal
