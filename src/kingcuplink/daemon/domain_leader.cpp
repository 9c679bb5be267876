#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>
#include <kingcuplink/daemon/domain_leader.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

constexpr millis gather_timeout{1'500};
constexpr millis persist_timeout{2'000};
constexpr millis recovery_poll_interval{20};
constexpr millis journal_retry_interval{2'000};
/*! Number of attempt numbers reserved for each term, so that attempts of different terms differ. */
constexpr std::uint32_t attempts_per_term = 10'000u;

task_state parse_final_state(std::string_view const name) {
    for(auto const state:
        {task_state::succeeded, task_state::failed, task_state::cancelled, task_state::may_have_run}) {
        if(name_of(state) == name) {
            return state;
        }
    }
    return task_state::may_have_run;
}

/*! Returns true if a job was never accepted because no second place confirmed it. */
bool was_not_accepted(ledger_entry const &entry) {
    return !entry.accepted || (entry.ended == name_of(job_state::cancelled) && !entry.cancel_requested);
}

} // namespace internal

domain_leader::domain_leader(leader_dependencies dependencies, std::uint64_t const term,
    std::shared_ptr<document const> rules, fenced_listener on_fenced)
    : dependencies_{dependencies},
      term_{term},
      rules_{std::move(rules)},
      on_fenced_{std::move(on_fenced)},
      started_at_{current_time()},
      holder_id_{dependencies.settings.name + "/" + std::to_string(started_at_.time_since_epoch().count())},
      scheduler_{{.first_attempt = static_cast<std::uint32_t>(term) * internal::attempts_per_term}} {}

void domain_leader::start() {
    LOG(INFO) << "leader: leadership begins domain=" << dependencies_.settings.failure_domain << " term=" << term_;
    update(rules_);
    load_ledger();
    boost::asio::co_spawn(dependencies_.context, recover(shared_from_this()), boost::asio::detached);
    boost::asio::co_spawn(dependencies_.context, run_planner(shared_from_this()), boost::asio::detached);
    boost::asio::co_spawn(dependencies_.context, run_maintenance(shared_from_this()), boost::asio::detached);
    boost::asio::co_spawn(dependencies_.context, run_adoption(shared_from_this()), boost::asio::detached);
}

void domain_leader::end() noexcept {
    ended_ = true;
}

void domain_leader::update(std::shared_ptr<document const> rules) {
    rules_ = std::move(rules);
    for(auto const &team: rules_->teams) {
        scheduler_.set_team(team.name, team.share);
    }
    scheduler_.set_policies(rules_->policies);
    add_workers();
    for(auto &[name, slot]: slots_) {
        update_usable(slot);
    }
    plan_requested_ = true;
}

void domain_leader::update(vm_list const &vms, instant const now) {
    for(auto &[name, slot]: slots_) {
        auto const is_leaving = vms.leaving.contains(name);
        if(is_leaving && !slot.leaving) {
            scheduler_.drain(slot.id);
        }
        slot.leaving = is_leaving;
        auto const is_gone = !is_leaving && !vms.live.empty() && !vms.live.contains(name);
        slot.missing_since = !is_gone ? instant{} : slot.missing_since == instant{} ? now : slot.missing_since;
        update_usable(slot);
    }
}

bool domain_leader::accepts_work() const {
    auto const *domain = find_domain(*rules_, dependencies_.settings.failure_domain);
    return domain != nullptr && domain->state == domain_state::in;
}

boost::asio::awaitable<void> domain_leader::recover([[maybe_unused]] self_pointer self) {
    auto const gather_end = current_time() + internal::gather_timeout;
    auto const complete = std::make_shared<std::optional<bool>>();
    boost::asio::co_spawn(
        dependencies_.context,
        [self, complete]() -> boost::asio::awaitable<void> {
            *complete = co_await self->dependencies_.jobs.recover_ledger();
        },
        boost::asio::detached);
    while(!complete->has_value() && current_time() < gather_end) {
        co_await pause(internal::recovery_poll_interval);
    }
    load_ledger();
    recovered_ = true;
    plan_requested_ = true;
    while(!ended_ && !complete->value_or(false)) {
        if(complete->has_value()) {
            co_await pause(internal::journal_retry_interval);
            *complete = co_await dependencies_.jobs.recover_ledger();
        } else {
            co_await pause(internal::recovery_poll_interval);
        }
    }
    if(!ended_) {
        load_ledger();
        journal_read_ = true;
        plan_requested_ = true;
    }
}

void domain_leader::load_ledger() {
    if(ended_) {
        return;
    }
    for(auto const &[key, entry]: dependencies_.jobs.ledger().entries()) {
        if(!pending_submissions_.contains(key)) {
            load_entry(key, entry);
        }
    }
    for(auto &[name, slot]: slots_) {
        if(!slot.unknown.empty()) {
            slot.accounted = false;
            slot.version = 0u;
        }
    }
}

void domain_leader::load_entry(std::string const &key, ledger_entry const &entry) {
    auto const now = current_time();
    auto const is_over = !entry.ended.empty() || !entry.moved_to.empty();
    auto const known = scheduler_.job_of(key);
    if(!entry.accepted || (is_over && !known)) {
        if(!entry.moved_to.empty() && entry.ended.empty()) {
            begin_handover(key, entry.moved_to, entry.generation);
        }
        return;
    }
    auto const is_new = !known || scheduler_.find(*known)->state == job_state::moved;
    if(is_new && is_over) {
        return;
    }
    auto const job = is_new ? scheduler_.submit(key, entry.spec, entry.accepted_at, true) : *known;
    has_withheld_tasks_ = has_withheld_tasks_ || is_new;
    auto const tasks = scheduler_.find(job)->tasks;
    for(auto const task: tasks) {
        auto const *record = scheduler_.find(task);
        if(record == nullptr || record->state != task_state::withheld) {
            continue;
        }
        auto const recorded = entry.tasks.find(record->ordinal);
        if(recorded != entry.tasks.end() && !recorded->second.final_state.empty()) {
            scheduler_.resolve_task(task, internal::parse_final_state(recorded->second.final_state), now);
        } else if(!entry.ended.empty()) {
            scheduler_.resolve_task(task, task_state::cancelled, now);
        }
    }
    if(entry.cancel_requested && scheduler_.find(job) != nullptr) {
        scheduler_.cancel(job, now);
    }
}

void domain_leader::release_withheld() {
    auto const all_accounted = std::all_of(
        slots_.begin(), slots_.end(), [](auto const &item) { return item.second.accounted; });
    if(!has_withheld_tasks_ || !recovered_ || !all_accounted) {
        return;
    }
    has_withheld_tasks_ = false;
    std::vector<job_id> const jobs(scheduler_.jobs().begin(), scheduler_.jobs().end());
    for(auto const job: jobs) {
        auto const *record = scheduler_.find(job);
        if(record == nullptr || is_final(record->state)) {
            continue;
        }
        if(!record->spec.repeatable && !journal_read_) {
            has_withheld_tasks_ = true;
            continue;
        }
        auto const tasks = record->tasks;
        std::for_each(
            tasks.begin(), tasks.end(), [this](auto const task) { release_task(task, may_have_started(task)); });
    }
}

bool domain_leader::has_intent(task_id const task) const {
    auto const *record = scheduler_.find(task);
    auto const *entry = record == nullptr ? nullptr
                                          : dependencies_.jobs.ledger().find(scheduler_.find(record->job)->key);
    if(entry == nullptr) {
        return false;
    }
    auto const recorded = entry->tasks.find(record->ordinal);
    return recorded != entry->tasks.end() && recorded->second.attempt > 0u;
}

bool domain_leader::may_have_started(task_id const task) const {
    return !dependencies_.jobs.was_standby() || has_intent(task);
}

void domain_leader::release_task(task_id const task, bool const may_have_run) {
    auto const *record = scheduler_.find(task);
    if(record == nullptr || record->state != task_state::withheld) {
        return;
    }
    auto const key = scheduler_.find(record->job)->key;
    scheduler_.release_withheld(task, may_have_run, current_time());
    if(auto const *after = scheduler_.find(task); after != nullptr && is_final(after->state)) {
        dependencies_.jobs.record({.kind = job_event_kind::task_final,
            .job = key,
            .ordinal = after->ordinal,
            .state = std::string{name_of(after->state)}});
    }
}

void domain_leader::record_job_end(job_id const job) {
    auto const *record = scheduler_.find(job);
    if(record == nullptr || record->state == job_state::moved) {
        return;
    }
    dependencies_.jobs.record(
        {.kind = job_event_kind::job_ended, .job = record->key, .state = std::string{name_of(record->state)}});
    LOG(INFO) << "leader: job ended job=" << record->key << " state=" << name_of(record->state);
}

std::optional<api_answer> domain_leader::find_known_job(std::string const &key, job_spec const &spec) const {
    if(pending_submissions_.contains(key)) {
        return api_answer{.refused = problem{refusal::outcome_unknown, "job " + key + " is being accepted"}};
    }
    auto const *entry = dependencies_.jobs.ledger().find(key);
    if(entry == nullptr || entry->spec.team != spec.team || internal::was_not_accepted(*entry)) {
        return std::nullopt;
    }
    if(to_json(entry->spec) != to_json(spec)) {
        return api_answer{.refused = problem{refusal::idempotency_mismatch, "job " + key}};
    }
    return describe(key);
}

api_answer domain_leader::find_submitted(std::string const &name, job_spec const &spec) const {
    for(auto const &domain: rules_->failure_domains) {
        if(auto answer = find_known_job(domain.name + "." + name, spec); answer) {
            return *answer;
        }
    }
    return {.refused = problem{refusal::job_unknown, name}};
}

boost::asio::awaitable<api_answer> domain_leader::submit(std::string key, job_spec spec, submission_rule const rule) {
    auto const self = shared_from_this();
    if(rule == submission_rule::once) {
        if(auto const known = find_known_job(key, spec); known) {
            co_return *known;
        }
        if(!journal_read_) {
            co_return api_answer{.refused = problem{refusal::no_leader, "the leader has not read its journal yet"}};
        }
    }
    if(auto const refused = problem_of([&]() { return check_job(spec, *rules_); }); refused) {
        co_return api_answer{.refused = refused};
    }
    auto const team = scheduler_.team_of(spec.team);
    if(team && static_cast<std::size_t>(scheduler_.find(*team)->queued_jobs) >= config::queued_jobs_per_team) {
        co_return api_answer{.refused = problem{refusal::jobs_full, "team " + spec.team}};
    }
    if(!dependencies_.jobs.has_replica()) {
        co_return api_answer{
            .refused = problem{refusal::not_durable, "neither the log nor another entry VM can store the job"}};
    }
    auto const now = current_time();
    pending_submissions_.insert(key);
    auto const *earlier = dependencies_.jobs.ledger().find(key);
    auto const generation = earlier == nullptr ? 0u : earlier->generation + 1u;
    job_event accepted{.kind = job_event_kind::accepted, .job = key, .spec = spec, .at = now, .generation = generation};
    auto const sequence = dependencies_.jobs.record(std::move(accepted));
    auto const place = co_await dependencies_.jobs.wait_durable(
        sequence, durability::any_replica, internal::persist_timeout);
    pending_submissions_.erase(key);
    if(ended_ || place.empty()) {
        if(!ended_) {
            dependencies_.jobs.record(
                {.kind = job_event_kind::job_ended, .job = key, .state = std::string{name_of(job_state::cancelled)}});
        }
        co_return api_answer{
            .refused = problem{refusal::outcome_unknown, "job " + key + " was not confirmed by a second place"}};
    }
    scheduler_.submit(key, spec, now);
    dependencies_.stats.add(event::job_accepted);
    plan_requested_ = true;
    co_return api_answer{.status = 201,
        .body = boost::json::object{
            {"job", key}, {"failure_domain", dependencies_.settings.failure_domain}, {"kept_by", place}}};
}

boost::asio::awaitable<api_answer> domain_leader::take_over_job(
    boost::json::value events, takeover_origin const origin) {
    auto const self = shared_from_this();
    std::uint64_t sequence{};
    std::string key;
    auto const refused = problem_of([&]() -> result<void> {
        if(!events.is_array() || events.get_array().empty()) {
            return refuse(refusal::job_malformed, "events");
        }
        std::vector<job_event> parsed;
        for(auto const &value: events.get_array()) {
            BOOST_LEAF_AUTO(item, parse_job_event(value));
            parsed.push_back(std::move(item));
        }
        key = parsed.front().job;
        pending_submissions_.insert(key);
        for(auto const &item: parsed) {
            sequence = dependencies_.jobs.record(item);
        }
        return {};
    });
    if(refused) {
        co_return api_answer{.refused = refused};
    }
    auto const place = co_await dependencies_.jobs.wait_durable(
        sequence, durability::any_replica, internal::persist_timeout);
    pending_submissions_.erase(key);
    if(ended_ || place.empty()) {
        co_return api_answer{.refused = problem{refusal::outcome_unknown, "job " + key}};
    }
    dependencies_.stats.add(event::handover_received);
    auto const known = scheduler_.job_of(key);
    auto const is_new = !known || scheduler_.find(*known)->state == job_state::moved;
    load_entry(key, dependencies_.jobs.ledger().entries().at(key));
    // A repeated handover does not show whether an earlier leader of this domain started the tasks.
    if(auto const job = scheduler_.job_of(key); job && is_new) {
        auto const tasks = scheduler_.find(*job)->tasks;
        for(auto const task: tasks) {
            release_task(task, origin == takeover_origin::adopted && has_intent(task));
        }
    }
    plan_requested_ = true;
    co_return api_answer{.body = boost::json::object{{"job", key}}};
}

boost::asio::awaitable<api_answer> domain_leader::cancel(std::string key) {
    auto const self = shared_from_this();
    auto const job = scheduler_.job_of(key);
    if(!job) {
        co_return api_answer{.refused = problem{refusal::job_unknown, key}};
    }
    if(scheduler_.cancel(*job, current_time())) {
        job_event event{.kind = job_event_kind::cancel_requested, .job = key};
        auto const sequence = dependencies_.jobs.record(std::move(event));
        plan_requested_ = true;
        auto const place = co_await dependencies_.jobs.wait_durable(
            sequence, durability::any_replica, internal::persist_timeout);
        if(place.empty()) {
            co_return api_answer{.refused = problem{refusal::outcome_unknown, "job " + key}};
        }
    }
    co_return describe(key);
}

} // namespace kingcuplink
