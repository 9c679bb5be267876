#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <functional>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/core/work_timer.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <kingcuplink/site/fleet_leader.hpp>
#include <kingcuplink/site/leader_limits.hpp>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/log_appends.hpp>
#include <kingcuplink/site/record_codec.hpp>
#include <kingcuplink/site/timing.hpp>
#include <kingcuplink/workflow/progress_parts.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

/*! Number of keys whose rejected registrations are logged; further ones are only counted. */
constexpr std::size_t max_rejected_registrations = 256u;
constexpr std::int64_t millicores_per_core = 1'000;

std::string task_name(run_key const &key) {
    return std::to_string(key.step) + "." + std::to_string(key.index);
}

boost::json::object run_fields(run_key const &key, std::string const &worker, std::uint64_t const boot) {
    return {{"job", key.job}, {"task", task_name(key)}, {"run", key.run}, {"worker", worker}, {"boot", boot}};
}

boost::json::object tier_fields(dispatch_statistics const &figures) {
    boost::json::object result;
    for(std::size_t tier{}; tier < service_tier_count; ++tier) {
        for(auto const is_ordinary: {false, true}) {
            auto const &row = figures.tiers[tier][is_ordinary ? 1u : 0u];
            if(row.waiting > 0u || row.running > 0u) {
                auto const name = std::string{name_of(static_cast<service_tier>(tier))} +
                    (is_ordinary ? "" : "_urgent");
                result[name] = {{"waiting", row.waiting}, {"running", row.running},
                    {"cores", row.used.millicores / millicores_per_core}};
            }
        }
    }
    return result;
}

} // namespace internal

fleet_leader::fleet_leader(node_parts const parts, peer_link &peers, std::uint64_t const term,
    std::uint64_t const sequence, instant const claimed_at, fenced_listener on_fenced, commit_listener on_commit)
    : parts_{parts},
      peers_{peers},
      term_{term},
      sequence_{sequence},
      on_fenced_{std::move(on_fenced)},
      on_commit_{std::move(on_commit)},
      dispatcher_{leader_limits(parts.settings.lease_limit, parts.settings.command_delay_limit), current_time()},
      registrations_{parts.log, log_stream::workers},
      queries_{parts, peers, term,
          [this](std::string const &asker, advice_query const &query, advice_queries::grants const &grants) {
              settle_question(asker, query, grants);
          }},
      relay_{parts, peers, known_peers_, term},
      load_{parts.stats, thread_processor_time(), current_time()},
      clocks_{parts.settings.lease_limit},
      caller_records_{parts.context},
      plan_wakeup_{parts.context},
      append_wakeup_{parts.context},
      leader_since_{current_time()},
      appended_at_{claimed_at} {}

void fleet_leader::start() {
    auto const self = shared_from_this();
    parts_.decisions.write(
        decision::leadership_begun, {{"term", term_}, {"jobs", dispatcher_.figures(current_time()).jobs}});
    boost::asio::co_spawn(parts_.context, follow_workers(self), fail_fast);
    boost::asio::co_spawn(parts_.context, run_planner(self), fail_fast);
    boost::asio::co_spawn(parts_.context, run_appender(self), fail_fast);
    boost::asio::co_spawn(parts_.context, run_heartbeats(self), fail_fast);
}

void fleet_leader::end() noexcept {
    ended_ = true;
    caller_records::settle(caller_records_.take_all(), append_outcome::refused);
    plan_wakeup_.notify();
    append_wakeup_.notify();
}

std::optional<std::string_view> fleet_leader::reason_to_resign(instant const now) const noexcept {
    if(dispatcher_.needs_new_term()) {
        return "a worker has used half of its epochs";
    }
    auto const has_larger_peer = leader_since_ + timing::min_leadership_time <= now &&
        has_twice_the_processor(most_millicores(), parts_.settings.processor_millicores);
    return has_larger_peer ? std::optional<std::string_view>{"another entry VM has at least twice the processor time"}
                           : std::nullopt;
}

bool fleet_leader::has_stalled(instant const now) const noexcept {
    return appended_at_ + timing::replaceable_leader_timeout < now;
}

boost::asio::awaitable<void> fleet_leader::resign(std::string_view const reason) {
    auto const self = shared_from_this();
    end();
    std::vector<keyed_record> records;
    records.push_back(own_claim(true));
    // Not retried: if it fails, the other entry VMs claim leadership after their time-outs.
    co_await append_to_jobs(parts_, append_purpose::resignation, std::move(records), log_writer{term_, ++sequence_});
    parts_.decisions.write(decision::leadership_ended, {{"term", term_}, {"reason", reason}});
}

void fleet_leader::set_rules(std::shared_ptr<site_rules const> rules) {
    dispatcher_.set_rules(std::move(rules));
    plan_wakeup_.notify();
}

void fleet_leader::adopt_lapse(std::string const &worker, std::optional<instant> const at) {
    dispatcher_.adopt_lapse(worker, at);
}

void fleet_leader::add_job(job_entry const &entry) {
    uncommitted_jobs_.erase(entry.definition.id);
    dispatcher_.add_job(entry);
    plan_wakeup_.notify();
}

void fleet_leader::cancel_job(std::string const &id) {
    dispatcher_.cancel_job(id);
    plan_wakeup_.notify();
    append_wakeup_.notify();
}

boost::asio::awaitable<append_outcome> fleet_leader::append(
    std::vector<caller_record> records, std::vector<job_definition> jobs) {
    auto const self = shared_from_this();
    if(ended_) {
        co_return append_outcome::refused;
    }
    auto const group = caller_records_.add(std::move(records));
    for(auto &job: jobs) {
        uncommitted_jobs_.insert(job.id);
        job_entry entry;
        entry.definition = std::move(job);
        dispatcher_.add_job(entry);
    }
    plan_wakeup_.notify();
    append_wakeup_.notify();
    co_return co_await caller_records::outcome_of(group);
}

void fleet_leader::remove_jobs(std::vector<std::string> const &ids) {
    for(auto const &id: ids) {
        auto records = encode_removal(id);
        removals_.insert(removals_.end(), records.begin(), records.end());
    }
    append_wakeup_.notify();
}

dispatch_statistics fleet_leader::figures() const {
    return dispatcher_.figures(current_time());
}

void fleet_leader::fenced(std::string_view const by) {
    if(ended_) {
        return;
    }
    parts_.decisions.write(
        decision::leadership_ended, {{"term", term_}, {"reason", "a higher term exists"}, {"by", by}});
    end();
    on_fenced_();
}

std::uint64_t fleet_leader::token_for(std::string const &worker) const {
    return command_token(term_, dispatcher_.command_epoch_of(worker));
}

millis fleet_leader::lease_for(std::string const &worker) const {
    return dispatcher_.is_leaving(worker) ? timing::leaving_worker_lease : timing::max_lease;
}

bool fleet_leader::may_extend_leases(instant const now) const {
    return appended_at_ + timing::lease_renewal_limit > now;
}

boost::asio::awaitable<void> fleet_leader::follow_workers([[maybe_unused]] self_pointer self) {
    while(!ended_) {
        auto const batch = co_await registrations_.next(timing::log_wait);
        if(ended_) {
            break;
        }
        if(batch) {
            apply_registrations(*batch);
            plan_wakeup_.notify();
        }
        co_await pause(batch ? timing::worker_read_spacing : timing::log_retry);
    }
}

void fleet_leader::apply_registrations(keyed_batch const &batch) {
    work_timer const timer{parts_.stats, activity::registrations};
    std::set<std::string> present;
    auto const now = current_time();
    for(auto const &record: batch.records) {
        auto reading = record.value ? parts_.decoder.worker(record.key, *record.value) : registration_reading{};
        auto &entry = reading.worker;
        if(!entry) {
            reject_registration(record, reading.fault);
            dispatcher_.unregister_worker(record.key);
            continue;
        }
        present.insert(entry->name);
        auto const name = entry->name;
        auto const *known = dispatcher_.find_worker(name);
        auto const was_held = dispatcher_.is_reconciled(name);
        // The next list tells which runs the record of their lapse has to wait for.
        auto const begins_to_leave = known != nullptr && !known->leaving && entry->leaving;
        if(known == nullptr || known->leaving != entry->leaving || known->boot != entry->boot) {
            parts_.decisions.write(decision::worker_changed,
                {{"worker", name}, {"address", entry->address}, {"domain", entry->domain}, {"boot", entry->boot},
                    {"leaving", entry->leaving}, {"service", entry->service},
                    {"millicores", entry->capacity.millicores}, {"memory_mib", entry->capacity.memory_mib},
                    {"labels", boost::json::array(entry->labels.begin(), entry->labels.end())}});
        }
        dispatcher_.register_worker(std::move(*entry), now);
        if(watched_.insert(name).second) {
            boost::asio::co_spawn(parts_.context, watch_worker(shared_from_this(), name), fail_fast);
        } else if(begins_to_leave || (was_held && !dispatcher_.is_reconciled(name))) {
            boost::asio::co_spawn(parts_.context, poll_immediately(shared_from_this(), name), fail_fast);
        }
    }
    if(batch.is_snapshot) {
        for(auto const &name: watched_) {
            if(!present.contains(name)) {
                dispatcher_.unregister_worker(name);
            }
        }
    }
}

void fleet_leader::reject_registration(keyed_record const &record, std::string const &fault) {
    if(!record.value) {
        rejected_registrations_.erase(record.key);
        return;
    }
    parts_.stats.add(event::registration_rejected);
    auto const found = rejected_registrations_.find(record.key);
    if(found != rejected_registrations_.end()
            ? found->second == fault
            : rejected_registrations_.size() >= internal::max_rejected_registrations) {
        return;
    }
    rejected_registrations_.insert_or_assign(record.key, fault);
    parts_.decisions.write(decision::registration_rejected,
        {{"worker", printable(record.key)}, {"reason", fault}, {"bytes", record.value->size()}});
}

boost::asio::awaitable<void> fleet_leader::watch_worker([[maybe_unused]] self_pointer self, std::string name) {
    auto was_answered = false;
    while(!ended_ && dispatcher_.find_worker(name) != nullptr) {
        auto const mode = was_answered && !dispatcher_.has_failed_poll(name) ? poll_mode::long_poll
                                                                             : poll_mode::immediate;
        auto const seen_before = dispatcher_.seen_end(name);
        auto const answered = co_await poll_worker(name, mode);
        if(answered != was_answered && !ended_) {
            parts_.decisions.write(answered ? decision::worker_seen : decision::worker_silent, {{"worker", name}});
        }
        was_answered = answered;
        auto const has_pending_ends = dispatcher_.has_unpersisted_completions(name) ||
            dispatcher_.withholds_acknowledgement(name);
        auto const has_no_news = has_pending_ends && dispatcher_.seen_end(name) == seen_before;
        auto const spacing = has_no_news ? timing::unpersisted_poll_spacing : timing::poll_spacing;
        co_await pause(answered ? spacing : timing::poll_retry_delay);
    }
    watched_.erase(name);
}

boost::asio::awaitable<bool> fleet_leader::poll_worker(std::string const name, poll_mode const mode) {
    auto const entry = *dispatcher_.find_worker(name);
    auto const sent_at = current_time();
    auto const boot = dispatcher_.boot_of(name);
    worker_target target{entry.name, entry.address};
    auto const is_long = mode == poll_mode::long_poll && dispatcher_.is_reconciled(name);
    auto const acknowledged = dispatcher_.begin_poll(name, is_long);
    poll_request request{command_token(term_, acknowledged.epoch), acknowledged.number, millis{}, std::nullopt};
    if(is_long) {
        request.wait = dispatcher_.is_leaving(name) ? timing::leaving_poll_wait : timing::poll_wait;
        if(auto const lease = clocks_.request(name, boot, sent_at, lease_for(name));
            lease && may_extend_leases(sent_at) && dispatcher_.may_extend_lease(name, lease->lapses_at)) {
            request.expires_at = lease->expires_at;
            dispatcher_.record_lease_extension(name, lease->lapses_at);
        }
    }
    auto const answer = co_await parts_.workers.poll(std::move(target), request, request.wait + timing::worker_timeout);
    if(ended_) {
        co_return false;
    }
    if(answer.outcome == poll_outcome::fenced && request.token == token_for(name)) {
        fenced("worker " + name);
        co_return false;
    }
    auto const is_replaced = answer.outcome == poll_outcome::other_worker &&
        dispatcher_.worker_replaced(name, entry.address, sent_at, current_time());
    if(is_replaced) {
        parts_.decisions.write(decision::worker_replaced, {{"worker", name}, {"address", entry.address}});
        log_run_changes();
        plan_wakeup_.notify();
    }
    if(answer.outcome != poll_outcome::answered) {
        dispatcher_.poll_failed(name, sent_at);
        co_return false;
    }
    work_timer const timer{parts_.stats, activity::polls};
    auto const now = current_time();
    log_boot(name, answer.inventory.boot);
    clocks_.report(name, answer.inventory.boot, answer.clock, now);
    for(auto const &end: answer.inventory.ended) {
        if(end.number > dispatcher_.seen_end(name)) {
            auto fields = internal::run_fields(end.key, name, answer.inventory.boot);
            fields["how"] = name_of(end.how);
            fields["end"] = end.number;
            parts_.decisions.write(decision::run_ended, std::move(fields));
            parts_.stats.add(event::task_ended);
        }
    }
    dispatcher_.apply_inventory(name, answer.inventory, sent_at, now);
    dispatcher_.poll_answered(name, acknowledged);
    log_run_changes();
    plan_wakeup_.notify();
    append_wakeup_.notify();
    co_return true;
}

void fleet_leader::log_boot(std::string const &worker, std::uint64_t const boot) {
    auto const earlier = dispatcher_.boot_of(worker);
    auto const *registration = dispatcher_.find_worker(worker);
    if(earlier == boot || registration == nullptr) {
        return;
    }
    if(earlier != 0u) {
        parts_.decisions.write(decision::worker_restarted, {{"worker", worker}, {"boot", boot}, {"earlier", earlier}});
    }
    if(registration->boot != boot) {
        parts_.stats.add(event::worker_boot_unregistered);
        parts_.decisions.write(decision::worker_boot_unregistered,
            {{"worker", worker}, {"boot", boot}, {"registered", registration->boot}});
    }
}

boost::asio::awaitable<void> fleet_leader::poll_immediately([[maybe_unused]] self_pointer self, std::string worker) {
    if(dispatcher_.find_worker(worker) != nullptr) {
        co_await poll_worker(std::move(worker), poll_mode::immediate);
    }
}

boost::asio::awaitable<void> fleet_leader::run_planner([[maybe_unused]] self_pointer self) {
    while(!ended_) {
        co_await plan_wakeup_.wait(timing::plan_interval);
        auto const length = ended_ ? millis{} : plan();
        auto const continue_at = current_time() + std::max(timing::plan_spacing, length * timing::plan_pause_factor);
        co_await pause(continue_at - current_time());
        load_.record_timer_delay(std::max(millis{}, current_time() - continue_at));
    }
}

millis fleet_leader::plan() {
    work_timer const timer{parts_.stats, activity::planning};
    auto const begun = std::chrono::steady_clock::now();
    auto const now = current_time();
    remove_silent_peers(now);
    dispatch_plan decided;
    dispatcher_.plan(now, decided);
    record_round(
        decided, std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begun));
    log_run_changes();
    for(auto &stop: decided.stops) {
        boost::asio::co_spawn(parts_.context, stop_run(shared_from_this(), std::move(stop)), fail_fast);
    }
    for(auto &query: decided.queries) {
        queries_.ask(std::move(query), shared_from_this());
    }
    append_wakeup_.notify();
    return std::chrono::duration_cast<millis>(std::chrono::steady_clock::now() - begun);
}

void fleet_leader::record_round(dispatch_plan const &plan, std::chrono::microseconds const duration) {
    load_.record_round(plan, duration);
    parts_.times.add(latency::plan_round, std::chrono::duration_cast<millis>(duration));
    parts_.stats.add(event::plan_round);
    parts_.stats.add(event::plan_step_examined, plan.steps_examined);
    parts_.stats.add(event::advice_answer_unused, plan.unused_answers);
    parts_.stats.add(event::task_retried_where_failed, plan.retries_where_failed);
}

boost::asio::awaitable<void> fleet_leader::run_appender([[maybe_unused]] self_pointer self) {
    millis latest_append{};
    while(!ended_) {
        // What came during a slow append has waited long enough for others to join it.
        auto const has_waited = append_wakeup_.is_set() && latest_append >= timing::append_batch_delay;
        co_await append_wakeup_.wait(timing::leader_record_interval);
        if(!has_waited) {
            co_await pause(timing::append_batch_delay);
        }
        if(ended_) {
            break;
        }
        auto const begun_at = current_time();
        auto batch = take_batch();
        auto records = encode_batch(batch);
        if(!co_await append_records(std::move(records))) {
            break;
        }
        latest_append = current_time() - begun_at;
        if(batch.empty()) {
            continue;
        }
        if(!may_extend_leases(current_time())) {
            // The append took so long that another entry VM may have become the leader: another append detects it.
            std::vector<keyed_record> proof{own_claim(false)};
            if(!co_await append_records(std::move(proof))) {
                break;
            }
        }
        apply_committed(batch);
    }
}

progress_batch fleet_leader::take_batch() {
    work_timer const timer{parts_.stats, activity::appends};
    return dispatcher_.next_batch();
}

std::vector<keyed_record> fleet_leader::encode_batch(progress_batch &batch) {
    work_timer const timer{parts_.stats, activity::appends};
    std::vector<keyed_record> records;
    for(auto &[id, progress]: batch.records) {
        if(auto const dropped = drop_excess_checkpoints(progress); dropped > 0u) {
            parts_.decisions.write(
                decision::checkpoints_dropped, {{"job", id}, {"part", progress.part.value_or(0u)}, {"tasks", dropped}});
        }
        records.push_back(encode(id, progress));
        if(is_final(progress.phase)) {
            parts_.decisions.write(decision::job_ended, {{"job", id}, {"phase", name_of(progress.phase)}});
        }
    }
    for(auto const &[id, part]: batch.obsolete_parts) {
        records.push_back(encode_part_removal(id, part));
    }
    for(auto const &change: batch.lapses) {
        auto const now = current_time();
        records.push_back(encode_lapse(change.name, change.at ? std::optional{*change.at - now} : std::nullopt));
        parts_.decisions.write(decision::worker_lapse_recorded,
            {{"worker", change.name}, {"removed", !change.at},
                {"remaining_ms", change.at ? (*change.at - now).count() : 0}});
    }
    records.insert(records.end(), removals_.begin(), removals_.end());
    removals_.clear();
    auto const has_records = !records.empty() || !caller_records_.empty();
    if(!has_records && appended_at_ + timing::leader_record_interval <= current_time()) {
        records.push_back(own_claim(false));
    }
    for(auto const &job: batch.ended_jobs) {
        // Replaces the definition of an ended job by a reduced one, which makes snapshots smaller.
        records.push_back(encode(job));
        parts_.times.add(latency::job, current_time() - job.accepted_at);
    }
    return records;
}

void fleet_leader::apply_committed(progress_batch const &batch) {
    work_timer const timer{parts_.stats, activity::appends};
    notify_job_ends(batch);
    std::vector<run_start> starts;
    dispatcher_.batch_committed(batch, current_time(), starts);
    for(auto &start: starts) {
        boost::asio::co_spawn(parts_.context, start_run(shared_from_this(), std::move(start)), fail_fast);
    }
    plan_wakeup_.notify();
}

keyed_record fleet_leader::own_claim(bool const resigned) const {
    auto const &own = parts_.settings;
    return encode(leader_claim{term_, own.name, own.peer_address, resigned, own.processor_millicores});
}

boost::asio::awaitable<bool> fleet_leader::append_records(std::vector<keyed_record> records) {
    auto next = records.begin();
    do {
        append_content content;
        content.callers = caller_records_.take(timing::append_bytes);
        std::uint64_t bytes{};
        auto const has_space = [&]() { return content.own.empty() || bytes < timing::append_bytes; };
        for(; caller_records_.empty() && next != records.end() && has_space(); ++next) {
            bytes += size_of(*next);
            content.own.push_back(std::move(*next));
        }
        auto const is_empty = content.callers.empty() && content.own.empty();
        if(!is_empty && !co_await append_content_once(std::move(content))) {
            co_return false;
        }
    } while(next != records.end());
    if(!caller_records_.empty()) {
        append_wakeup_.notify();
    }
    co_return !ended_;
}

boost::asio::awaitable<bool> fleet_leader::append_content_once(append_content content) {
    ++sequence_;
    // The log may answer a repeated append with the result of the first, even if another leader has claimed the log
    // since: the time of the first attempt with an unknown outcome counts.
    std::optional<instant> unknown_since;
    auto failures = 0u;
    while(!ended_) {
        auto const sent_at = current_time();
        std::vector<keyed_record> records;
        for(auto const &group: content.callers) {
            for(auto const &row: group->records) {
                records.push_back(row.record);
            }
        }
        records.insert(records.end(), content.own.begin(), content.own.end());
        auto const result = co_await append_with_copies(parts_, std::move(records), log_writer{term_, sequence_});
        if(result.may_be_done) {
            unknown_since = unknown_since.value_or(sent_at);
        }
        switch(result.answer.outcome) {
        case append_outcome::done:
            appended_at_ = unknown_since.value_or(sent_at);
            append_time_ = current_time() - sent_at;
            commit(content, result.answer.offset);
            co_return !ended_;
        case append_outcome::fenced:
        case append_outcome::out_of_sequence:
            caller_records::settle(content.callers, unknown_since ? append_outcome::unknown : append_outcome::refused);
            fenced("log");
            co_return false;
        case append_outcome::refused:
        case append_outcome::unknown:
            parts_.stats.add(event::log_append_failed);
            ++failures;
            if(failures >= timing::caller_append_attempts) {
                refuse_callers(content, unknown_since.has_value());
            }
            if(content.callers.empty() && content.own.empty()) {
                // The log has executed no append with this number.
                --sequence_;
                co_return true;
            }
            co_await pause(timing::log_retry);
            break;
        }
    }
    caller_records::settle(content.callers, unknown_since ? append_outcome::unknown : append_outcome::refused);
    co_return false;
}

void fleet_leader::refuse_callers(append_content &content, bool const may_be_done) {
    // What was never sent, or refused each time, is surely not in the log.
    auto refused = caller_records_.take_all();
    if(!may_be_done) {
        refused.insert(refused.end(), content.callers.begin(), content.callers.end());
        content.callers.clear();
    }
    std::set<std::string, std::less<>> withdrawn;
    for(auto const &group: refused) {
        for(auto const &row: group->records) {
            auto const name = parse_record_key(row.record.key);
            if(name && name->kind == record_kind::job && uncommitted_jobs_.erase(name->id) > 0u) {
                dispatcher_.withdraw_job(name->id, current_time());
                withdrawn.insert(name->id);
            }
        }
    }
    // Content that may be in the log has to be repeated as it was.
    if(!may_be_done) {
        std::erase_if(content.own, [&withdrawn](auto const &record) {
            auto const name = parse_record_key(record.key);
            return name && withdrawn.contains(name->id);
        });
    }
    caller_records::settle(refused, append_outcome::refused);
}

void fleet_leader::commit(append_content const &content, std::uint64_t offset) {
    parts_.times.add(latency::log_append, append_time_);
    parts_.stats.add(event::journal_appended);
    for(auto const &group: content.callers) {
        for(auto const &row: group->records) {
            on_commit_(offset++, {&row.record, 1u}, row.way);
        }
    }
    caller_records::settle(content.callers, append_outcome::done);
    if(!content.own.empty()) {
        on_commit_(offset, content.own, record_way::own_append);
    }
}

boost::asio::awaitable<void> fleet_leader::start_run([[maybe_unused]] self_pointer self, run_start run) {
    auto const begun_at = current_time();
    auto const outcome = co_await send_start_repeatedly(run);
    auto const answer = outcome.answer;
    if(outcome.attempts > 0u) {
        parts_.times.add(latency::task_start, current_time() - begun_at);
    }
    if(ended_) {
        co_return;
    }
    apply_start_answer(run, outcome);
    if(answer == start_answer::fenced && outcome.token == token_for(run.worker)) {
        fenced("worker " + run.worker);
    }
    plan_wakeup_.notify();
    append_wakeup_.notify();
}

void fleet_leader::apply_start_answer(run_start const &run, start_outcome const &outcome) {
    work_timer const timer{parts_.stats, activity::starts};
    auto const answer = outcome.answer;
    dispatcher_.start_answered(run.placement, answer, current_time());
    if(answer == start_answer::unknown) {
        boost::asio::co_spawn(parts_.context, poll_immediately(shared_from_this(), run.worker), fail_fast);
    }
    auto fields = internal::run_fields(run.key, run.worker, run.boot);
    fields["term"] = term_;
    fields["answer"] = name_of(answer);
    fields["attempts"] = outcome.attempts;
    switch(answer) {
    case start_answer::started:
        parts_.stats.add(event::task_start_confirmed);
        parts_.decisions.write(decision::run_started, std::move(fields));
        break;
    case start_answer::unknown:
        parts_.stats.add(event::task_start_unknown);
        parts_.decisions.write(decision::run_start_unanswered, std::move(fields));
        break;
    default:
        parts_.stats.add(event::task_start_refused);
        parts_.decisions.write(decision::run_start_refused, std::move(fields));
        break;
    }
}

boost::asio::awaitable<fleet_leader::start_outcome> fleet_leader::send_start_repeatedly(run_start run) {
    start_outcome outcome;
    auto is_wanted = true;
    while(is_wanted) {
        auto const sent_at = current_time();
        auto const lease = clocks_.request(run.worker, run.boot, sent_at, lease_for(run.worker));
        if(!lease || ended_ || !may_extend_leases(sent_at)) {
            break;
        }
        auto const is_repetition = outcome.attempts > 0u;
        if(is_repetition) {
            dispatcher_.start_repeated(run.placement, sent_at);
        }
        parts_.stats.add(is_repetition ? event::task_start_repeated : event::task_start_sent);
        ++outcome.attempts;
        outcome.token = token_for(run.worker);
        // A boot that the leader does not know may take the expiry for a later time, counted from this copy.
        dispatcher_.record_lease_extension(run.worker, lease->lapses_at);
        auto const answer = co_await send_start(run, outcome.token, lease->expires_at);
        outcome.answer = is_repetition ? conclusion_after_repetition(answer) : answer;
        is_wanted = answer == start_answer::unknown;
        if(is_wanted) {
            is_wanted = co_await await_repetition(run, outcome.attempts, sent_at);
        }
    }
    co_return outcome;
}

boost::asio::awaitable<bool> fleet_leader::await_repetition(
    run_start run, std::uint32_t const attempts, instant const sent_at) {
    auto const repeat_at = std::max(current_time(), sent_at + timing::start_attempt_timeout);
    if(ended_ || attempts >= timing::max_start_attempts || !dispatcher_.may_repeat_start(run, repeat_at)) {
        co_return false;
    }
    if(attempts == 1u) {
        boost::asio::co_spawn(parts_.context, poll_immediately(shared_from_this(), run.worker), fail_fast);
    }
    if(auto const now = current_time(); now < repeat_at) {
        co_await pause(repeat_at - now);
    }
    co_return !ended_ && dispatcher_.may_repeat_start(run, current_time());
}

boost::asio::awaitable<start_answer> fleet_leader::send_start(
    run_start run, std::uint64_t const token, std::int64_t const expires_at) {
    auto const *worker = dispatcher_.find_worker(run.worker);
    auto domain = worker == nullptr ? std::string{} : worker->domain;
    auto const relayed = co_await relay_.send(run, std::move(domain), token, expires_at);
    if(relayed) {
        co_return *relayed;
    }
    if(ended_ || !may_extend_leases(current_time())) {
        co_return start_answer::not_sent;
    }
    worker_target target{run.worker, run.address};
    auto const is_repeatable = current_time() + timing::start_attempt_timeout < run.repeat_until;
    auto const timeout = is_repeatable ? timing::start_attempt_timeout : timing::command_timeout;
    co_return co_await parts_.workers.start(std::move(target), std::move(run), token, expires_at, timeout);
}

void fleet_leader::handle_start_reply(std::string const &peer, wire::start_reply const &reply) {
    relay_.handle_reply(peer, reply);
}

boost::asio::awaitable<void> fleet_leader::stop_run([[maybe_unused]] self_pointer self, run_stop stop) {
    parts_.stats.add(event::task_stop_sent);
    worker_target target{stop.worker, stop.address};
    auto const answered = co_await parts_.workers.stop(
        std::move(target), stop.key, token_for(stop.worker), timing::command_timeout);
    if(ended_) {
        co_return;
    }
    work_timer const timer{parts_.stats, activity::stops};
    dispatcher_.stop_answered(stop.placement, answered, current_time());
    if(answered) {
        boost::asio::co_spawn(parts_.context, poll_immediately(shared_from_this(), stop.worker), fail_fast);
    }
    auto fields = internal::run_fields(stop.key, stop.worker, stop.boot);
    fields["answered"] = answered;
    parts_.decisions.write(decision::run_stopped, std::move(fields));
}

boost::asio::awaitable<void> fleet_leader::run_heartbeats([[maybe_unused]] self_pointer self) {
    for(std::uint64_t round{}; !ended_; ++round) {
        auto const candidates = known_peers_.candidates();
        auto const is_slow_round = round % timing::slow_heartbeat_rounds == 0u;
        for(auto const &receiver: known_peers_.next_heartbeat_receivers()) {
            auto const names_candidates = is_slow_round || receiver.interval > timing::heartbeat_interval;
            send_heartbeat(receiver, names_candidates ? candidates : std::span<leader_candidate const>{});
        }
        report_load(current_time());
        co_await pause(timing::heartbeat_interval);
    }
}

void fleet_leader::notify_job_ends(progress_batch const &batch) {
    wire::envelope message;
    auto &ends = *message.mutable_job_ends();
    ends.set_term(term_);
    for(auto const &[id, progress]: batch.records) {
        if(is_final(progress.phase)) {
            auto &row = *ends.add_rows();
            row.set_id(id);
            row.set_phase(static_cast<std::uint32_t>(progress.phase));
        }
    }
    if(ends.rows().empty()) {
        return;
    }
    for(auto const &peer: known_peers_.names()) {
        peers_.send(peer, message);
    }
}

void fleet_leader::log_run_changes() {
    for(auto const &lost: dispatcher_.take_lost_runs()) {
        auto fields = internal::run_fields(lost.key, lost.worker, lost.boot);
        fields["why"] = name_of(lost.reason);
        parts_.decisions.write(decision::run_lost, std::move(fields));
    }
    for(auto const &run: dispatcher_.take_unknown_runs()) {
        log_unknown_run(run);
    }
    for(auto const &run: dispatcher_.take_late_confirmations()) {
        parts_.stats.add(event::start_confirmed_late);
        auto fields = internal::run_fields(run.key, run.worker, run.boot);
        fields["after_ms"] = run.delay.count();
        fields["ticket"] = run.has_ticket;
        parts_.decisions.write(decision::run_confirmed_late, std::move(fields));
    }
}

void fleet_leader::log_unknown_run(unknown_run const &run) {
    parts_.stats.add(event::unknown_run_listed);
    if(!run.other_worker.empty()) {
        parts_.stats.add(event::concurrent_run_listed);
    }
    auto fields = internal::run_fields(run.key, run.worker, run.boot);
    fields["latest_run"] = run.latest_run;
    fields["other_worker"] = run.other_worker;
    parts_.decisions.write(decision::run_unknown, std::move(fields));
}

std::uint32_t fleet_leader::most_millicores() const noexcept {
    return std::max(parts_.settings.processor_millicores, known_peers_.most_millicores());
}

void fleet_leader::send_heartbeat(
    heartbeat_receiver const &receiver, std::span<leader_candidate const> const candidates) {
    wire::envelope message;
    auto &heartbeat = *message.mutable_leader_beat();
    heartbeat.set_term(term_);
    heartbeat.set_log_age_ms(static_cast<std::uint64_t>(std::max(millis{}, current_time() - appended_at_).count()));
    heartbeat.set_most_millicores(most_millicores());
    heartbeat.set_append_ms(static_cast<std::uint64_t>(append_time_.count()));
    heartbeat.set_interval_ms(static_cast<std::uint32_t>(receiver.interval.count()));
    heartbeat.set_peer_address(parts_.settings.peer_address);
    heartbeat.set_processor_millicores(parts_.settings.processor_millicores);
    for(auto const &candidate: candidates) {
        auto &row = *heartbeat.add_candidates();
        row.set_name(candidate.name);
        row.set_peer_address(candidate.peer_address);
    }
    peers_.send(std::string{receiver.name}, message);
}

void fleet_leader::report_load(instant const now) {
    if(!load_.is_due(now)) {
        return;
    }
    auto const figures = dispatcher_.figures(now);
    auto fields = load_.next(parts_.stats, thread_processor_time(), now);
    fields["term"] = term_;
    fields["jobs"] = figures.jobs;
    fields["waiting_tasks"] = figures.waiting_tasks;
    fields["runs"] = figures.runs;
    fields["append_age_ms"] = (now - appended_at_).count();
    fields["append_ms"] = append_time_.count();
    fields["queries"] = boost::json::object{{"short", figures.short_queries},
        {"short_limit", figures.short_query_limit}, {"long", figures.long_queries},
        {"long_limit", figures.long_query_limit}};
    fields["tiers"] = internal::tier_fields(figures);
    fields["capacity"] = boost::json::object{{"cores", figures.usable.millicores / internal::millicores_per_core},
        {"cores_available", figures.available.millicores / internal::millicores_per_core},
        {"memory_mib", figures.usable.memory_mib}, {"memory_available_mib", figures.available.memory_mib}};
    parts_.decisions.write(decision::leader_load, std::move(fields));
}

void fleet_leader::add_peer(std::string const &peer, wire::introduction const &introduction) {
    peers_.connect(peer, introduction.peer_address());
    peer_introduction entry{introduction.failure_domain(), introduction.processor_millicores(), introduction.process(),
        introduction.sent_at_ms(), introduction.peer_address(), introduction.misses_log()};
    if(known_peers_.introduce(peer, std::move(entry), current_time())) {
        queries_.add_vm(peer);
        dispatcher_.set_querying_vms(queries_.vms());
        send_heartbeat({peer, timing::slow_heartbeat_interval}, known_peers_.candidates());
    }
}

void fleet_leader::remove_silent_peers(instant const now) {
    for(auto const &name: known_peers_.remove_silent(now)) {
        queries_.remove_vm(name);
        dispatcher_.set_querying_vms(queries_.vms());
    }
}

void fleet_leader::take_advice(std::string const &peer, wire::advice_answer const &answer) {
    queries_.handle_answer(peer, answer);
}

void fleet_leader::settle_question(
    std::string const &asker, advice_query const &query, advice_queries::grants const &grants) {
    if(ended_) {
        return;
    }
    work_timer const timer{parts_.stats, activity::advice};
    auto const now = current_time();
    if(grants) {
        dispatcher_.take_advice(query, *grants, now);
    } else {
        dispatcher_.advice_failed(query, now);
    }
    parts_.decisions.write(decision::advice_given,
        {{"job", query.job}, {"step", query.step}, {"asked", query.workers.size()}, {"asker", asker},
            {"approved", grants ? static_cast<std::int64_t>(grants->size()) : std::int64_t{-1}}});
    plan_wakeup_.notify();
}

} // namespace kingcuplink
