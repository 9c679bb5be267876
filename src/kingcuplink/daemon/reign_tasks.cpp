#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>
#include <kingcuplink/daemon/domain_reign.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

constexpr millis duty_interval{500};
constexpr millis intent_wait{300};
constexpr millis intent_limit{5'000};
constexpr millis stop_retry{1'000};
constexpr millis handover_retry{1'000};
constexpr int start_tries = 3;
/*! Starts' worth of a ceiling that is asked for at a time. */
constexpr std::int64_t allotment_batch = 8;

} // namespace internal

bool domain_reign::permits(team_record const &team, worker_record const &worker, resources const &charge) {
    auto const *terms = find_team(*rules_, team.name);
    auto const id = scheduler_.worker_of(worker.name);
    auto const team_ref = scheduler_.team_of(team.name);
    if(terms == nullptr || !id || !team_ref) {
        return false;
    }
    auto const limit = parts_.allotments.limit(*rules_, *terms, holds_.hold_began(*id));
    if(holds_.may_start(*team_ref, *id, charge, limit, current_time())) {
        return true;
    }
    denied_[team.name] = max_of(denied_[team.name], charge * internal::allotment_batch);
    return false;
}

void domain_reign::started(team_record const &team, worker_record const &worker, resources const &charge) {
    holds_.add_use(*scheduler_.worker_of(worker.name), *scheduler_.team_of(team.name), charge);
}

void domain_reign::undone(team_record const &team, worker_record const &worker, resources const &charge) {
    holds_.remove_use(*scheduler_.worker_of(worker.name), *scheduler_.team_of(team.name), charge);
}

void domain_reign::count_use(task_id const task) {
    auto const &record = *scheduler_.find(task);
    auto const team = scheduler_.find(record.job)->team;
    if(uses_.emplace(task, counted_use{record.worker, team, record.charge}).second) {
        holds_.add_use(record.worker, team, record.charge);
    }
}

void domain_reign::end_task(task_id const task, task_outcome const outcome) {
    auto const *record = scheduler_.find(task);
    if(record == nullptr || !is_on_worker(record->state)) {
        return;
    }
    auto const ordinal = record->ordinal;
    auto const key = scheduler_.find(record->job)->key;
    if(auto const use = uses_.find(task); use != uses_.end()) {
        holds_.remove_use(use->second.worker, use->second.team, use->second.amount);
        uses_.erase(use);
    }
    scheduler_.task_ended(task, outcome, current_time());
    parts_.stats.add(outcome == task_outcome::lost ? event::task_lost : event::task_ended);
    auto const *after = scheduler_.find(task);
    if(after != nullptr && is_final(after->state)) {
        parts_.jobs.record({.kind = job_event_kind::task_final,
            .job = key,
            .ordinal = ordinal,
            .state = std::string{name_of(after->state)}});
    } else {
        parts_.stats.add(event::task_requeued);
    }
    kicked_ = true;
}

boost::asio::awaitable<void> domain_reign::run_planner([[maybe_unused]] self_pointer self) {
    auto last = current_time();
    while(!over_) {
        co_await pause(config::plan_spacing);
        auto const now = current_time();
        if(!over_ && (kicked_ || now - last >= config::plan_interval)) {
            kicked_ = false;
            last = now;
            release_withheld();
            plan();
        }
    }
}

void domain_reign::plan() {
    placement_plan orders;
    scheduler_.plan(current_time(), *this, orders);
    for(auto const &order: orders.starts) {
        auto const &record = *scheduler_.find(order.task);
        uses_.emplace(order.task, counted_use{record.worker, scheduler_.find(record.job)->team, record.charge});
        starts_in_flight_.insert(order.task);
        boost::asio::co_spawn(parts_.context, start_task(shared_from_this(), order.task), boost::asio::detached);
    }
    for(auto const &order: orders.stops) {
        if(order.reason == stop_reason::preempted) {
            parts_.stats.add(event::task_preempted);
        }
        boost::asio::co_spawn(parts_.context, stop_task(shared_from_this(), order), boost::asio::detached);
    }
    for(auto const task: orders.throttles) {
        boost::asio::co_spawn(parts_.context, throttle_task(shared_from_this(), task), boost::asio::detached);
    }
    for(auto const job: orders.ended) {
        record_end(job);
    }
    kicked_ = kicked_ || orders.starts.size() >= config::starts_per_round;
}

boost::asio::awaitable<bool> domain_reign::keep_intent(std::uint64_t const sequence, bool const repeatable) {
    if(repeatable) {
        if(parts_.jobs.has_standby()) {
            co_await parts_.jobs.wait_durable(sequence, durability::any_replica, internal::intent_wait);
        }
        co_return true;
    }
    co_return !(co_await parts_.jobs.wait_durable(sequence, durability::all_successors, internal::intent_limit))
        .empty();
}

boost::asio::awaitable<void> domain_reign::start_task([[maybe_unused]] self_pointer self, task_id const task) {
    auto const record = *scheduler_.find(task);
    auto const job = *scheduler_.find(record.job);
    auto &slot = slots_.at(slot_names_.at(record.worker.index));
    auto const epoch = epoch_of(slot);
    auto const sequence = parts_.jobs.record({.kind = job_event_kind::start_intended,
        .job = job.key,
        .ordinal = record.ordinal,
        .attempt = record.attempt,
        .place = slot.name});
    auto const kept = co_await keep_intent(sequence, job.spec.repeatable);
    command_reply reply{.outcome = command_outcome::not_sent};
    for(auto tries = 0; tries < internal::start_tries && reply.outcome == command_outcome::not_sent; ++tries) {
        auto const *now_record = scheduler_.find(task);
        auto const is_wanted = now_record != nullptr && now_record->state == task_state::starting;
        if(over_ || !kept || !is_wanted || epoch != epoch_of(slot) || !holds_.is_held(slot.id, current_time()) ||
            !takes_work()) {
            break;
        }
        parts_.stats.add(event::task_start_sent);
        task_start order{.job = job.key,
            .ordinal = record.ordinal,
            .attempt = record.attempt,
            .spec = job.spec,
            .size = record.charge,
            .progress = record.progress};
        reply = co_await parts_.workers.start(slot.address, holder_of(slot), order);
    }
    starts_in_flight_.erase(task);
    if(over_) {
        co_return;
    }
    switch(reply.outcome) {
    case command_outcome::done:
        parts_.stats.add(event::task_start_confirmed);
        scheduler_.start_confirmed(task, current_time());
        break;
    case command_outcome::unknown:
        parts_.stats.add(event::task_start_unknown);
        LOG(WARNING) << "leader: start without an answer job=" << job.key << " task=" << record.ordinal
                     << " worker=" << slot.name;
        drop(slot);
        break;
    case command_outcome::fenced:
        parts_.stats.add(event::task_start_refused);
        end_task(task, task_outcome::not_started);
        drop(slot);
        break;
    default:
        parts_.stats.add(event::task_start_refused);
        end_task(task, task_outcome::not_started);
        break;
    }
}

boost::asio::awaitable<void> domain_reign::stop_task([[maybe_unused]] self_pointer self, stop_command const order) {
    auto const checkpoint = order.reason != stop_reason::cancelled;
    while(!over_) {
        auto const *record = scheduler_.find(order.task);
        if(record == nullptr || record->state != task_state::stopping) {
            co_return;
        }
        auto const key = scheduler_.find(record->job)->key;
        auto &slot = slots_.at(slot_names_.at(record->worker.index));
        if(slot.held && !starts_in_flight_.contains(order.task)) {
            parts_.stats.add(event::task_stop_sent);
            co_await parts_.workers.stop(slot.address, holder_of(slot), key, record->ordinal, checkpoint);
        }
        co_await pause(internal::stop_retry);
    }
}

boost::asio::awaitable<void> domain_reign::throttle_task([[maybe_unused]] self_pointer self, task_id const task) {
    auto const *record = scheduler_.find(task);
    if(record == nullptr || record->state != task_state::running) {
        co_return;
    }
    auto const key = scheduler_.find(record->job)->key;
    auto const &slot = slots_.at(slot_names_.at(record->worker.index));
    co_await parts_.workers.throttle(slot.address, holder_of(slot), key, record->ordinal);
}

void domain_reign::shed_excess() {
    for(auto const &team: rules_->teams) {
        auto const id = scheduler_.team_of(team.name);
        if(id) {
            auto const limit = parts_.allotments.limit(*rules_, team, began_);
            auto const floor = allotment_fold::floor_of(*rules_, team, parts_.settings.failure_domain);
            scheduler_.shed(
                *id, recovered_ && parts_.allotments.has_claim(began_) ? limit : max_of(floor, team.ceiling));
        }
    }
}

boost::asio::awaitable<void> domain_reign::run_duties([[maybe_unused]] self_pointer self) {
    while(!over_) {
        co_await pause(internal::duty_interval);
        if(over_) {
            co_return;
        }
        check_lapsed(current_time());
        shed_excess();
        if(!takes_work()) {
            scheduler_.drain();
            co_await move_jobs(self);
        }
        auto const denied = std::exchange(denied_, {});
        for(auto const &[team, wanted]: denied) {
            if(asking_.insert(team).second) {
                boost::asio::co_spawn(parts_.context, ask_for_allotment(self, team, wanted), boost::asio::detached);
            }
        }
    }
}

std::string domain_reign::other_domain_for_jobs() const {
    auto const now = current_time();
    for(auto const &domain: rules_->failure_domains) {
        if(domain.name != parts_.settings.failure_domain && domain.state == domain_state::in &&
            !parts_.peers.leader_of(domain.name, now).empty()) {
            return domain.name;
        }
    }
    return {};
}

boost::asio::awaitable<void> domain_reign::move_jobs([[maybe_unused]] self_pointer self) {
    auto const to = other_domain_for_jobs();
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
        hand_over(key, to, parts_.jobs.ledger().entries().at(key).generation);
    }
}

void domain_reign::hand_over(std::string const &key, std::string const &to, std::uint32_t const generation) {
    handover const what{key, to, generation};
    if(!handovers_.insert(what).second) {
        return;
    }
    auto const sequence = parts_.jobs.record(
        {.kind = job_event_kind::moved, .job = key, .place = to, .generation = generation});
    boost::asio::co_spawn(parts_.context, send_handover(shared_from_this(), what, sequence), boost::asio::detached);
}

bool domain_reign::is_under_way(handover const &what) const {
    auto const *entry = parts_.jobs.ledger().find(what.job);
    return !over_ && entry != nullptr && entry->ended.empty() && entry->moved_to == what.to &&
        entry->generation == what.generation;
}

boost::asio::awaitable<void> domain_reign::send_handover(
    [[maybe_unused]] self_pointer self, handover what, std::uint64_t const sequence) {
    auto entry = parts_.jobs.ledger().entries().at(what.job);
    entry.moved_to.clear();
    ++entry.generation;
    boost::json::array events;
    for(auto const &item: job_ledger::events_of(what.job, entry)) {
        events.push_back(to_json(item));
    }
    // A successor that did not know of the move would start the job here.
    std::string place;
    while(is_under_way(what) && place.empty()) {
        place = co_await parts_.jobs.wait_durable(sequence, durability::all_successors, config::peer_timeout);
    }
    while(is_under_way(what)) {
        auto const leader = parts_.peers.leader_of(what.to, current_time());
        if(!leader.empty()) {
            parts_.stats.add(event::handover_sent);
            auto const answer = co_await parts_.peers.call(
                leader, wire::CALL_JOB_HANDOVER, events, config::peer_timeout);
            if(!answer.refused && is_under_way(what)) {
                parts_.jobs.record({.kind = job_event_kind::job_ended,
                    .job = what.job,
                    .state = std::string{name_of(job_state::moved)}});
                break;
            }
        }
        co_await pause(internal::handover_retry);
    }
    handovers_.erase(what);
}

boost::asio::awaitable<void> domain_reign::ask_for_allotment(
    [[maybe_unused]] self_pointer self, std::string team, resources const wanted) {
    auto const now = current_time();
    auto const rules = rules_;
    for(auto const &domain: rules->failure_domains) {
        auto const leader = domain.name == parts_.settings.failure_domain ? std::string{}
                                                                          : parts_.peers.leader_of(domain.name, now);
        if(leader.empty()) {
            continue;
        }
        boost::json::object body{{"team", team}, {"to", parts_.settings.failure_domain}, {"wanted", to_json(wanted)}};
        auto const answer = co_await parts_.peers.call(
            leader, wire::CALL_ALLOTMENT, std::move(body), config::peer_timeout);
        if(!answer.refused) {
            co_await parts_.allotments.read();
            kicked_ = true;
            break;
        }
    }
    asking_.erase(team);
}

boost::asio::awaitable<api_answer> domain_reign::donate(std::string team, std::string to, resources const wanted) {
    auto const self = shared_from_this();
    auto const now = current_time();
    auto const *terms = find_team(*rules_, team);
    auto const id = scheduler_.team_of(team);
    auto const holds_all = std::all_of(
        slots_.begin(), slots_.end(), [&](auto const &item) { return holds_.is_held(item.second.id, now); });
    api_answer const refused{
        .refused = problem{refusal::ceiling_reached, "no part of the ceiling of team " + team + " is free here"}};
    if(terms == nullptr || !id || !holds_all || withheld_left_) {
        co_return refused;
    }
    auto const limit = parts_.allotments.limit(*rules_, *terms, began_);
    auto const spare = limit - holds_.known_use(*id);
    auto const rules = rules_;
    auto const given = co_await parts_.allotments.donate(*rules, *terms, std::move(to), wanted, spare);
    if(given == resources{}) {
        co_return refused;
    }
    co_return api_answer{.body = to_json(given)};
}

} // namespace kingcuplink
