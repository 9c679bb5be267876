#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>
#include <kingcuplink/daemon/domain_leader.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

constexpr millis maintenance_interval{500};
constexpr millis repeatable_intent_timeout{300};
constexpr millis intent_timeout{5'000};
constexpr millis stop_retry_interval{1'000};
constexpr millis handover_retry_interval{1'000};
constexpr int max_start_attempts = 3;
/*! Size of an allotment request, as a multiple of the charge of the denied start. */
constexpr std::int64_t allotment_request_starts = 8;

} // namespace internal

bool domain_leader::permits(team_record const &team, worker_record const &worker, resources const &charge) {
    auto const *team_rules = find_team(*rules_, team.name);
    auto const id = scheduler_.worker_of(worker.name);
    auto const team_ref = scheduler_.team_of(team.name);
    if(team_rules == nullptr || !id || !team_ref) {
        return false;
    }
    auto const limit = dependencies_.allotments.limit(*rules_, *team_rules, holds_.hold_began(*id));
    if(holds_.may_start(*team_ref, *id, charge, limit, current_time())) {
        return true;
    }
    denied_charges_[team.name] = max_of(denied_charges_[team.name], charge * internal::allotment_request_starts);
    return false;
}

void domain_leader::started(team_record const &team, worker_record const &worker, resources const &charge) {
    holds_.add_use(*scheduler_.worker_of(worker.name), *scheduler_.team_of(team.name), charge);
}

void domain_leader::undone(team_record const &team, worker_record const &worker, resources const &charge) {
    holds_.remove_use(*scheduler_.worker_of(worker.name), *scheduler_.team_of(team.name), charge);
}

void domain_leader::record_use(task_id const task) {
    auto const &record = *scheduler_.find(task);
    auto const team = scheduler_.find(record.job)->team;
    if(task_uses_.emplace(task, task_use{record.worker, team, record.charge}).second) {
        holds_.add_use(record.worker, team, record.charge);
    }
}

void domain_leader::end_task(task_id const task, task_outcome const outcome) {
    auto const *record = scheduler_.find(task);
    if(record == nullptr || !is_on_worker(record->state)) {
        return;
    }
    auto const ordinal = record->ordinal;
    auto const key = scheduler_.find(record->job)->key;
    if(auto const use = task_uses_.find(task); use != task_uses_.end()) {
        holds_.remove_use(use->second.worker, use->second.team, use->second.amount);
        task_uses_.erase(use);
    }
    scheduler_.task_ended(task, outcome, current_time());
    dependencies_.stats.add(outcome == task_outcome::lost ? event::task_lost : event::task_ended);
    auto const *after = scheduler_.find(task);
    if(after != nullptr && is_final(after->state)) {
        dependencies_.jobs.record({.kind = job_event_kind::task_final,
            .job = key,
            .ordinal = ordinal,
            .state = std::string{name_of(after->state)}});
    } else {
        dependencies_.stats.add(event::task_requeued);
    }
    plan_requested_ = true;
}

boost::asio::awaitable<void> domain_leader::run_planner([[maybe_unused]] self_pointer self) {
    auto last = current_time();
    while(!ended_) {
        co_await pause(config::plan_spacing);
        auto const now = current_time();
        if(!ended_ && (plan_requested_ || now - last >= config::plan_interval)) {
            plan_requested_ = false;
            last = now;
            release_withheld();
            plan();
        }
    }
}

void domain_leader::plan() {
    placement_plan commands;
    scheduler_.plan(current_time(), *this, commands);
    for(auto const &command: commands.starts) {
        auto const &record = *scheduler_.find(command.task);
        task_uses_.emplace(command.task, task_use{record.worker, scheduler_.find(record.job)->team, record.charge});
        starts_in_flight_.insert(command.task);
        boost::asio::co_spawn(
            dependencies_.context, start_task(shared_from_this(), command.task), boost::asio::detached);
    }
    for(auto const &command: commands.stops) {
        if(command.reason == stop_reason::preempted) {
            dependencies_.stats.add(event::task_preempted);
        }
        boost::asio::co_spawn(dependencies_.context, stop_task(shared_from_this(), command), boost::asio::detached);
    }
    for(auto const task: commands.throttles) {
        boost::asio::co_spawn(dependencies_.context, throttle_task(shared_from_this(), task), boost::asio::detached);
    }
    for(auto const job: commands.ended) {
        record_job_end(job);
    }
    plan_requested_ = plan_requested_ || commands.starts.size() >= config::starts_per_round;
}

boost::asio::awaitable<bool> domain_leader::persist_intent(std::uint64_t const sequence, bool const repeatable) {
    if(repeatable) {
        if(dependencies_.jobs.has_standby()) {
            co_await dependencies_.jobs.wait_durable(
                sequence, durability::any_replica, internal::repeatable_intent_timeout);
        }
        co_return true;
    }
    co_return !(
        co_await dependencies_.jobs.wait_durable(sequence, durability::all_successors, internal::intent_timeout))
        .empty();
}

boost::asio::awaitable<void> domain_leader::start_task([[maybe_unused]] self_pointer self, task_id const task) {
    auto const record = *scheduler_.find(task);
    auto const job = *scheduler_.find(record.job);
    auto &slot = slots_.at(slot_names_.at(record.worker.index));
    auto const epoch = epoch_of(slot);
    auto const sequence = dependencies_.jobs.record({.kind = job_event_kind::start_intended,
        .job = job.key,
        .ordinal = record.ordinal,
        .attempt = record.attempt,
        .place = slot.name});
    auto const kept = co_await persist_intent(sequence, job.spec.repeatable);
    command_reply reply{.outcome = command_outcome::not_sent};
    for(auto attempts = 0; attempts < internal::max_start_attempts && reply.outcome == command_outcome::not_sent;
        ++attempts) {
        auto const *now_record = scheduler_.find(task);
        auto const is_wanted = now_record != nullptr && now_record->state == task_state::starting;
        if(ended_ || !kept || !is_wanted || epoch != epoch_of(slot) || !holds_.is_held(slot.id, current_time()) ||
            !accepts_work()) {
            break;
        }
        dependencies_.stats.add(event::task_start_sent);
        task_start command{.job = job.key,
            .ordinal = record.ordinal,
            .attempt = record.attempt,
            .spec = job.spec,
            .size = record.charge,
            .progress = record.progress};
        reply = co_await dependencies_.workers.start(slot.address, holder_of(slot), command);
    }
    starts_in_flight_.erase(task);
    if(ended_) {
        co_return;
    }
    switch(reply.outcome) {
    case command_outcome::done:
        dependencies_.stats.add(event::task_start_confirmed);
        scheduler_.start_confirmed(task, current_time());
        break;
    case command_outcome::unknown:
        dependencies_.stats.add(event::task_start_unknown);
        LOG(WARNING) << "leader: no answer to start command job=" << job.key << " task=" << record.ordinal
                     << " worker=" << slot.name;
        invalidate_lease(slot);
        break;
    case command_outcome::fenced:
        dependencies_.stats.add(event::task_start_refused);
        end_task(task, task_outcome::not_started);
        invalidate_lease(slot);
        break;
    default:
        dependencies_.stats.add(event::task_start_refused);
        end_task(task, task_outcome::not_started);
        break;
    }
}

boost::asio::awaitable<void> domain_leader::stop_task([[maybe_unused]] self_pointer self, stop_command const command) {
    auto const checkpoint = command.reason != stop_reason::cancelled;
    while(!ended_) {
        auto const *record = scheduler_.find(command.task);
        if(record == nullptr || record->state != task_state::stopping) {
            co_return;
        }
        auto const key = scheduler_.find(record->job)->key;
        auto &slot = slots_.at(slot_names_.at(record->worker.index));
        if(slot.held && !starts_in_flight_.contains(command.task)) {
            dependencies_.stats.add(event::task_stop_sent);
            co_await dependencies_.workers.stop(slot.address, holder_of(slot), key, record->ordinal, checkpoint);
        }
        co_await pause(internal::stop_retry_interval);
    }
}

boost::asio::awaitable<void> domain_leader::throttle_task([[maybe_unused]] self_pointer self, task_id const task) {
    auto const *record = scheduler_.find(task);
    if(record == nullptr || record->state != task_state::running) {
        co_return;
    }
    auto const key = scheduler_.find(record->job)->key;
    auto const &slot = slots_.at(slot_names_.at(record->worker.index));
    co_await dependencies_.workers.throttle(slot.address, holder_of(slot), key, record->ordinal);
}

void domain_leader::shed_excess() {
    for(auto const &team: rules_->teams) {
        auto const id = scheduler_.team_of(team.name);
        if(id) {
            auto const limit = dependencies_.allotments.limit(*rules_, team, started_at_);
            auto const floor = allotment_fold::floor_of(*rules_, team, dependencies_.settings.failure_domain);
            scheduler_.shed(*id,
                recovered_ && dependencies_.allotments.has_claim(started_at_) ? limit : max_of(floor, team.ceiling));
        }
    }
}

boost::asio::awaitable<void> domain_leader::run_maintenance([[maybe_unused]] self_pointer self) {
    while(!ended_) {
        co_await pause(internal::maintenance_interval);
        if(ended_) {
            co_return;
        }
        end_expired_tasks(current_time());
        shed_excess();
        if(!accepts_work()) {
            scheduler_.drain();
            co_await move_jobs(self);
        }
        auto const denied = std::exchange(denied_charges_, {});
        for(auto const &[team, wanted]: denied) {
            if(pending_allotment_requests_.insert(team).second) {
                boost::asio::co_spawn(
                    dependencies_.context, request_allotment(self, team, wanted), boost::asio::detached);
            }
        }
    }
}

std::string domain_leader::handover_target() const {
    auto const now = current_time();
    for(auto const &domain: rules_->failure_domains) {
        if(domain.name != dependencies_.settings.failure_domain && domain.state == domain_state::in &&
            !dependencies_.peers.leader_of(domain.name, now).empty()) {
            return domain.name;
        }
    }
    return {};
}

boost::asio::awaitable<void> domain_leader::move_jobs([[maybe_unused]] self_pointer self) {
    auto const to = handover_target();
    if(to.empty() || !recovered_) {
        co_return;
    }
    std::vector<job_id> const jobs(scheduler_.jobs().begin(), scheduler_.jobs().end());
    for(auto const job: jobs) {
        auto const *record = scheduler_.find(job);
        if(record == nullptr || !scheduler_.relinquish(job, current_time())) {
            continue;
        }
        auto const key = record->key;
        begin_handover(key, to, dependencies_.jobs.ledger().entries().at(key).generation);
    }
}

void domain_leader::begin_handover(std::string const &key, std::string const &to, std::uint32_t const generation) {
    handover const what{key, to, generation};
    if(!handovers_.insert(what).second) {
        return;
    }
    auto const sequence = dependencies_.jobs.record(
        {.kind = job_event_kind::moved, .job = key, .place = to, .generation = generation});
    boost::asio::co_spawn(
        dependencies_.context, send_handover(shared_from_this(), what, sequence), boost::asio::detached);
}

bool domain_leader::is_handover_pending(handover const &what) const {
    auto const *entry = dependencies_.jobs.ledger().find(what.job);
    return !ended_ && entry != nullptr && entry->ended.empty() && entry->moved_to == what.to &&
        entry->generation == what.generation;
}

boost::asio::awaitable<void> domain_leader::send_handover(
    [[maybe_unused]] self_pointer self, handover what, std::uint64_t const sequence) {
    auto entry = dependencies_.jobs.ledger().entries().at(what.job);
    entry.moved_to.clear();
    ++entry.generation;
    boost::json::array events;
    for(auto const &item: job_ledger::events_of(what.job, entry)) {
        events.push_back(to_json(item));
    }
    // A successor without the record of the move would start the job in this domain.
    std::string place;
    while(is_handover_pending(what) && place.empty()) {
        place = co_await dependencies_.jobs.wait_durable(sequence, durability::all_successors, config::peer_timeout);
    }
    while(is_handover_pending(what)) {
        auto const leader = dependencies_.peers.leader_of(what.to, current_time());
        if(!leader.empty()) {
            dependencies_.stats.add(event::handover_sent);
            auto const answer = co_await dependencies_.peers.call(
                leader, wire::CALL_JOB_HANDOVER, events, config::peer_timeout);
            if(!answer.refused && is_handover_pending(what)) {
                dependencies_.jobs.record({.kind = job_event_kind::job_ended,
                    .job = what.job,
                    .state = std::string{name_of(job_state::moved)}});
                break;
            }
        }
        co_await pause(internal::handover_retry_interval);
    }
    handovers_.erase(what);
}

boost::asio::awaitable<void> domain_leader::request_allotment(
    [[maybe_unused]] self_pointer self, std::string team, resources const wanted) {
    auto const now = current_time();
    auto const rules = rules_;
    for(auto const &domain: rules->failure_domains) {
        auto const leader = domain.name == dependencies_.settings.failure_domain
            ? std::string{}
            : dependencies_.peers.leader_of(domain.name, now);
        if(leader.empty()) {
            continue;
        }
        boost::json::object body{
            {"team", team}, {"to", dependencies_.settings.failure_domain}, {"wanted", to_json(wanted)}};
        auto const answer = co_await dependencies_.peers.call(
            leader, wire::CALL_ALLOTMENT, std::move(body), config::peer_timeout);
        if(!answer.refused) {
            co_await dependencies_.allotments.read();
            plan_requested_ = true;
            break;
        }
    }
    pending_allotment_requests_.erase(team);
}

boost::asio::awaitable<api_answer> domain_leader::donate(std::string team, std::string to, resources const wanted) {
    auto const self = shared_from_this();
    auto const now = current_time();
    auto const *team_rules = find_team(*rules_, team);
    auto const id = scheduler_.team_of(team);
    auto const holds_all = std::all_of(
        slots_.begin(), slots_.end(), [&](auto const &item) { return holds_.is_held(item.second.id, now); });
    api_answer const refused{
        .refused = problem{refusal::ceiling_reached, "no part of the ceiling of team " + team + " is available here"}};
    if(team_rules == nullptr || !id || !holds_all || has_withheld_tasks_) {
        co_return refused;
    }
    auto const limit = dependencies_.allotments.limit(*rules_, *team_rules, started_at_);
    auto const spare = limit - holds_.known_use(*id);
    auto const rules = rules_;
    auto const given = co_await dependencies_.allotments.donate(*rules, *team_rules, std::move(to), wanted, spare);
    if(given == resources{}) {
        co_return refused;
    }
    co_return api_answer{.body = to_json(given)};
}

} // namespace kingcuplink
