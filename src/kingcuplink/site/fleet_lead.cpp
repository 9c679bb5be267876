#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <chrono>
#include <functional>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <kingcuplink/site/fleet_lead.hpp>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/record_codec.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

/*! Keys of registrations that cannot be used of which the log tells; the others are only counted. */
constexpr std::size_t most_odd_entries = 256u;

std::uint64_t size_of(keyed_record const &record) {
    return record.key.size() + (record.value ? record.value->size() : 0u);
}

std::string name_of_run(run_key const &key) {
    return std::to_string(key.step) + "." + std::to_string(key.index);
}

boost::json::object fields_of(run_key const &key, std::string const &worker, std::uint64_t const boot) {
    return {{"job", key.job}, {"task", name_of_run(key)}, {"run", key.run}, {"worker", worker}, {"boot", boot}};
}

} // namespace internal

fleet_lead::fleet_lead(node_parts const parts, peer_link &peers, std::uint64_t const term, std::uint64_t const sequence,
    instant const claimed_at, fenced_listener on_fenced, end_listener on_end)
    : parts_{parts},
      peers_{peers},
      term_{term},
      sequence_{sequence},
      on_fenced_{std::move(on_fenced)},
      on_end_{std::move(on_end)},
      lease_{std::min(parts.settings.lease_limit, timing::most_lease)},
      dispatcher_{timing::renewal_without_log + parts.settings.lease_limit + timing::worker_timeout, current_time()},
      registrations_{parts.log, log_stream::workers},
      plan_wanted_{parts.context},
      journal_wanted_{parts.context},
      begun_at_{current_time()},
      appended_at_{claimed_at} {
    advisers_.add(parts_.settings.name);
}

void fleet_lead::start() {
    auto const self = shared_from_this();
    parts_.decisions.write(
        decision::leadership_begun, {{"term", term_}, {"jobs", dispatcher_.figures(current_time()).jobs}});
    boost::asio::co_spawn(parts_.context, follow_workers(self), fail_fast);
    boost::asio::co_spawn(parts_.context, run_planner(self), fail_fast);
    boost::asio::co_spawn(parts_.context, run_journal(self), fail_fast);
    boost::asio::co_spawn(parts_.context, run_beats(self), fail_fast);
}

void fleet_lead::end() noexcept {
    over_ = true;
    plan_wanted_.notify();
    journal_wanted_.notify();
}

bool fleet_lead::should_yield(instant const now) const noexcept {
    return begun_at_ + timing::least_reign <= now &&
        has_much_more(most_millicores(), parts_.settings.processor_millicores);
}

boost::asio::awaitable<void> fleet_lead::resign(std::string_view const reason) {
    auto const self = shared_from_this();
    end();
    std::vector<keyed_record> records;
    records.push_back(encode(leader_claim{term_, parts_.settings.name, parts_.settings.peer_address, true}));
    // Not repeated: without it the others wait for the silence.
    co_await parts_.log.append(log_stream::jobs, std::move(records), log_writer{term_, ++sequence_});
    parts_.decisions.write(decision::leadership_ended, {{"term", term_}, {"reason", reason}});
}

void fleet_lead::set_rules(std::shared_ptr<site_rules const> rules) {
    dispatcher_.set_rules(std::move(rules));
    plan_wanted_.notify();
}

void fleet_lead::add_job(job_entry const &entry) {
    dispatcher_.add_job(entry);
    plan_wanted_.notify();
}

void fleet_lead::cancel_job(std::string const &id) {
    dispatcher_.cancel_job(id);
    plan_wanted_.notify();
    journal_wanted_.notify();
}

void fleet_lead::forget(std::vector<std::string> const &ids) {
    for(auto const &id: ids) {
        auto records = encode_removal(id);
        removals_.insert(removals_.end(), records.begin(), records.end());
    }
    journal_wanted_.notify();
}

dispatch_statistics fleet_lead::figures() const {
    return dispatcher_.figures(current_time());
}

void fleet_lead::fenced(std::string_view const by) {
    if(over_) {
        return;
    }
    parts_.decisions.write(
        decision::leadership_ended, {{"term", term_}, {"reason", "a higher term is known"}, {"by", by}});
    end();
    on_fenced_();
}

std::uint64_t fleet_lead::token_for(std::string const &worker) const {
    return command_token(term_, dispatcher_.restarts_of(worker));
}

bool fleet_lead::may_extend_leases(instant const now) const {
    return appended_at_ + timing::renewal_without_log > now;
}

std::optional<std::int64_t> fleet_lead::clock_of(std::string const &worker, std::uint64_t const boot) const {
    auto const found = clocks_.find(worker);
    auto const now = current_time();
    if(found == clocks_.end() || found->second.boot != boot || found->second.told_at + timing::clock_age < now) {
        return std::nullopt;
    }
    return found->second.told + (now - found->second.told_at).count();
}

boost::asio::awaitable<void> fleet_lead::follow_workers([[maybe_unused]] self_pointer self) {
    while(!over_) {
        auto const batch = co_await registrations_.next(timing::log_wait);
        if(over_) {
            break;
        }
        if(batch) {
            take_registrations(*batch);
            plan_wanted_.notify();
        }
        co_await pause(batch ? timing::worker_read_spacing : timing::log_retry);
    }
}

void fleet_lead::take_registrations(keyed_batch const &batch) {
    std::set<std::string> present;
    auto const now = current_time();
    for(auto const &record: batch.records) {
        auto reading = record.value ? parts_.decoder.worker(record.key, *record.value) : registration_reading{};
        auto &entry = reading.worker;
        if(!entry) {
            note_odd_entry(record, reading.fault);
            dispatcher_.unregister_worker(record.key);
            continue;
        }
        present.insert(entry->name);
        auto const name = entry->name;
        auto const *known = dispatcher_.find_worker(name);
        auto const was_held = dispatcher_.is_reconciled(name);
        if(known == nullptr || known->leaving != entry->leaving || known->boot != entry->boot) {
            parts_.decisions.write(decision::worker_changed,
                {{"worker", name}, {"address", entry->address}, {"domain", entry->domain}, {"boot", entry->boot},
                    {"leaving", entry->leaving}});
        }
        dispatcher_.register_worker(std::move(*entry), now);
        if(watched_.insert(name).second) {
            boost::asio::co_spawn(parts_.context, watch_worker(shared_from_this(), name), fail_fast);
        } else if(was_held && !dispatcher_.is_reconciled(name)) {
            boost::asio::co_spawn(parts_.context, look_again(shared_from_this(), name), fail_fast);
        }
    }
    if(batch.is_whole) {
        for(auto const &name: watched_) {
            if(!present.contains(name)) {
                dispatcher_.unregister_worker(name);
            }
        }
    }
}

void fleet_lead::note_odd_entry(keyed_record const &record, std::string const &fault) {
    if(!record.value) {
        odd_entries_.erase(record.key);
        return;
    }
    parts_.stats.add(event::registration_rejected);
    auto const found = odd_entries_.find(record.key);
    if(found != odd_entries_.end() ? found->second == fault : odd_entries_.size() >= internal::most_odd_entries) {
        return;
    }
    odd_entries_.insert_or_assign(record.key, fault);
    parts_.decisions.write(decision::registration_rejected,
        {{"worker", printable(record.key)}, {"reason", fault}, {"bytes", record.value->size()}});
}

boost::asio::awaitable<void> fleet_lead::watch_worker([[maybe_unused]] self_pointer self, std::string name) {
    auto was_answered = false;
    while(!over_ && dispatcher_.find_worker(name) != nullptr) {
        auto const mode = was_answered ? look_mode::patient : look_mode::prompt;
        auto const seen_before = dispatcher_.seen_end(name);
        auto const answered = co_await look_at(name, mode);
        if(answered != was_answered && !over_) {
            parts_.decisions.write(answered ? decision::worker_seen : decision::worker_silent, {{"worker", name}});
        }
        was_answered = answered;
        auto const told_nothing = dispatcher_.has_unpersisted_completions(name) &&
            dispatcher_.seen_end(name) == seen_before;
        auto const spacing = told_nothing ? timing::unkept_look_spacing : timing::look_spacing;
        co_await pause(answered ? spacing : timing::look_retry);
    }
    watched_.erase(name);
}

boost::asio::awaitable<bool> fleet_lead::look_at(std::string const name, look_mode const mode) {
    auto const entry = *dispatcher_.find_worker(name);
    auto const sent_at = current_time();
    auto const boot = dispatcher_.boot_of(name);
    worker_target target{entry.name, entry.address};
    look_request request{token_for(name), dispatcher_.kept_end(name), timing::look_wait, std::nullopt};
    if(mode == look_mode::prompt || !dispatcher_.is_reconciled(name)) {
        request.kept_end = 0u;
        request.wait = millis{};
    } else if(auto const clock = clock_of(name, boot); clock && may_extend_leases(sent_at)) {
        request.expires_at = *clock + lease_.count();
        dispatcher_.record_lease_extension(name, timing::lapsed_at(sent_at, parts_.settings.lease_limit));
    }
    auto const answer = co_await parts_.workers.look(std::move(target), request, request.wait + timing::worker_timeout);
    if(over_) {
        co_return false;
    }
    if(answer.outcome == look_outcome::fenced && request.token == token_for(name)) {
        fenced("worker " + name);
        co_return false;
    }
    auto const is_replaced = answer.outcome == look_outcome::other_worker &&
        dispatcher_.worker_replaced(name, entry.address, sent_at, current_time());
    if(is_replaced) {
        parts_.decisions.write(decision::worker_replaced, {{"worker", name}, {"address", entry.address}});
        write_losses();
        plan_wanted_.notify();
    }
    if(answer.outcome != look_outcome::answered) {
        co_return false;
    }
    auto const now = current_time();
    auto const known_boot = dispatcher_.boot_of(name);
    if(known_boot != 0u && known_boot != answer.inventory.boot) {
        parts_.decisions.write(
            decision::worker_restarted, {{"worker", name}, {"boot", answer.inventory.boot}, {"earlier", known_boot}});
    }
    clocks_[name] = {answer.inventory.boot, answer.clock, now};
    for(auto const &end: answer.inventory.ended) {
        if(end.number > dispatcher_.seen_end(name)) {
            auto fields = internal::fields_of(end.key, name, answer.inventory.boot);
            fields["how"] = name_of(end.how);
            fields["end"] = end.number;
            parts_.decisions.write(decision::run_ended, std::move(fields));
            parts_.stats.add(event::task_ended);
        }
    }
    dispatcher_.apply_inventory(name, answer.inventory, sent_at, now);
    write_losses();
    plan_wanted_.notify();
    journal_wanted_.notify();
    co_return true;
}

boost::asio::awaitable<void> fleet_lead::look_again([[maybe_unused]] self_pointer self, std::string worker) {
    if(dispatcher_.find_worker(worker) != nullptr) {
        co_await look_at(std::move(worker), look_mode::prompt);
    }
}

boost::asio::awaitable<void> fleet_lead::run_planner([[maybe_unused]] self_pointer self) {
    while(!over_) {
        co_await plan_wanted_.wait(timing::plan_interval);
        auto const begun = std::chrono::steady_clock::now();
        if(!over_) {
            plan();
        }
        auto const length = std::chrono::duration_cast<millis>(std::chrono::steady_clock::now() - begun);
        co_await pause(std::max(timing::plan_spacing, length * timing::plan_rest));
    }
}

void fleet_lead::plan() {
    auto const now = current_time();
    drop_silent_advisers(now);
    dispatch_plan decided;
    dispatcher_.plan(now, decided);
    write_losses();
    for(auto &stop: decided.stops) {
        boost::asio::co_spawn(parts_.context, stop_run(shared_from_this(), std::move(stop)), fail_fast);
    }
    for(auto &query: decided.queries) {
        ask(std::move(query));
    }
    journal_wanted_.notify();
}

boost::asio::awaitable<void> fleet_lead::run_journal([[maybe_unused]] self_pointer self) {
    while(!over_) {
        co_await journal_wanted_.wait(timing::leader_heartbeat);
        co_await pause(timing::append_spacing);
        if(over_) {
            break;
        }
        auto const batch = dispatcher_.next_batch();
        std::vector<keyed_record> records;
        for(auto const &[id, progress]: batch.records) {
            records.push_back(encode(id, progress));
            if(is_final(progress.phase)) {
                parts_.decisions.write(decision::job_ended, {{"job", id}, {"phase", name_of(progress.phase)}});
            }
        }
        records.insert(records.end(), removals_.begin(), removals_.end());
        removals_.clear();
        if(records.empty() && appended_at_ + timing::leader_heartbeat <= current_time()) {
            records.push_back(own_claim());
        }
        for(auto const &job: batch.ended_jobs) {
            // Whoever reads all newest records need not read what ended jobs were.
            records.push_back(encode(job));
            parts_.times.add(latency::job, current_time() - job.accepted_at);
        }
        if(!records.empty() && !co_await keep(std::move(records))) {
            break;
        }
        if(batch.empty()) {
            continue;
        }
        if(!may_extend_leases(current_time())) {
            // The append took so long that another entry VM may lead by now: one more append tells.
            std::vector<keyed_record> proof{own_claim()};
            if(!co_await keep(std::move(proof))) {
                break;
            }
        }
        tell_ends(batch);
        std::vector<run_start> starts;
        dispatcher_.batch_committed(batch, current_time(), starts);
        for(auto &start: starts) {
            boost::asio::co_spawn(parts_.context, start_run(shared_from_this(), std::move(start)), fail_fast);
        }
        plan_wanted_.notify();
    }
}

keyed_record fleet_lead::own_claim() const {
    return encode(leader_claim{term_, parts_.settings.name, parts_.settings.peer_address, false});
}

boost::asio::awaitable<bool> fleet_lead::keep(std::vector<keyed_record> records) {
    auto next = records.begin();
    while(next != records.end()) {
        std::vector<keyed_record> chunk;
        for(std::uint64_t bytes{}; next != records.end() && (chunk.empty() || bytes < timing::append_bytes); ++next) {
            bytes += internal::size_of(*next);
            chunk.push_back(std::move(*next));
        }
        ++sequence_;
        // The store may answer a repetition as it answered the first, whoever leads by then.
        std::optional<instant> may_be_done_since;
        auto is_kept = false;
        while(!is_kept && !over_) {
            auto const sent_at = current_time();
            auto const answer = co_await parts_.log.append(log_stream::jobs, chunk, log_writer{term_, sequence_});
            switch(answer.outcome) {
            case append_outcome::done:
                is_kept = true;
                appended_at_ = may_be_done_since.value_or(sent_at);
                append_time_ = current_time() - sent_at;
                parts_.times.add(latency::log_append, append_time_);
                parts_.stats.add(event::journal_appended);
                break;
            case append_outcome::fenced:
            case append_outcome::out_of_sequence:
                fenced("log");
                co_return false;
            case append_outcome::unknown:
                may_be_done_since = may_be_done_since.value_or(sent_at);
                [[fallthrough]];
            case append_outcome::refused:
                parts_.stats.add(event::log_append_failed);
                co_await pause(timing::log_retry);
                break;
            }
        }
    }
    co_return !over_;
}

boost::asio::awaitable<void> fleet_lead::start_run([[maybe_unused]] self_pointer self, run_start run) {
    auto const now = current_time();
    auto const clock = clock_of(run.worker, run.boot);
    auto fields = internal::fields_of(run.key, run.worker, run.boot);
    auto const token = token_for(run.worker);
    auto answer = start_answer::not_sent;
    if(clock && !over_ && may_extend_leases(now)) {
        dispatcher_.record_lease_extension(run.worker, timing::lapsed_at(now, parts_.settings.lease_limit));
        parts_.stats.add(event::task_start_sent);
        worker_target target{run.worker, run.address};
        answer = co_await parts_.workers.start(
            std::move(target), run, token, *clock + lease_.count(), timing::order_timeout);
        parts_.times.add(latency::task_start, current_time() - now);
    }
    if(over_) {
        co_return;
    }
    dispatcher_.start_answered(run.placement, answer, current_time());
    if(answer == start_answer::unknown) {
        boost::asio::co_spawn(parts_.context, look_again(shared_from_this(), run.worker), fail_fast);
    }
    fields["term"] = term_;
    fields["answer"] = name_of(answer);
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
    if(answer == start_answer::fenced && token == token_for(run.worker)) {
        fenced("worker " + run.worker);
    }
    plan_wanted_.notify();
    journal_wanted_.notify();
}

boost::asio::awaitable<void> fleet_lead::stop_run([[maybe_unused]] self_pointer self, run_stop stop) {
    parts_.stats.add(event::task_stop_sent);
    worker_target target{stop.worker, stop.address};
    auto const answered = co_await parts_.workers.stop(
        std::move(target), stop.key, token_for(stop.worker), timing::order_timeout);
    if(over_) {
        co_return;
    }
    dispatcher_.stop_answered(stop.placement, answered, current_time());
    if(answered) {
        boost::asio::co_spawn(parts_.context, look_again(shared_from_this(), stop.worker), fail_fast);
    }
    auto fields = internal::fields_of(stop.key, stop.worker, stop.boot);
    fields["answered"] = answered;
    parts_.decisions.write(decision::run_stopped, std::move(fields));
}

boost::asio::awaitable<void> fleet_lead::run_beats([[maybe_unused]] self_pointer self) {
    while(!over_) {
        send_beats();
        co_await pause(timing::beat_interval);
    }
}

void fleet_lead::tell_ends(progress_batch const &kept) {
    wire::envelope message;
    auto &ends = *message.mutable_job_ends();
    ends.set_term(term_);
    for(auto const &[id, progress]: kept.records) {
        if(is_final(progress.phase)) {
            auto &row = *ends.add_rows();
            row.set_id(id);
            row.set_phase(static_cast<std::uint32_t>(progress.phase));
        }
    }
    if(ends.rows().empty()) {
        return;
    }
    on_end_(ends);
    for(auto const &[peer, entry]: peers_known_) {
        peers_.send(peer, message);
    }
}

void fleet_lead::write_losses() {
    for(auto const &lost: dispatcher_.take_lost_runs()) {
        auto fields = internal::fields_of(lost.key, lost.worker, lost.boot);
        fields["why"] = name_of(lost.reason);
        parts_.decisions.write(decision::run_lost, std::move(fields));
    }
}

std::uint32_t fleet_lead::most_millicores() const noexcept {
    auto most = parts_.settings.processor_millicores;
    for(auto const &[peer, entry]: peers_known_) {
        most = std::max(most, entry.processor_millicores);
    }
    return most;
}

void fleet_lead::send_beats() {
    // Those with the most processor time, since they are to lead next.
    std::vector<std::pair<std::uint32_t, std::string_view>> receivers;
    for(auto const &[peer, entry]: peers_known_) {
        receivers.emplace_back(entry.processor_millicores, peer);
    }
    std::sort(receivers.begin(), receivers.end(), std::greater<>{});
    receivers.resize(std::min(receivers.size(), timing::beat_receivers));
    wire::envelope message;
    auto &beat = *message.mutable_leader_beat();
    beat.set_term(term_);
    beat.set_log_age_ms(static_cast<std::uint64_t>(std::max(millis{}, current_time() - appended_at_).count()));
    beat.set_most_millicores(most_millicores());
    beat.set_append_ms(static_cast<std::uint64_t>(append_time_.count()));
    for(auto const &[millicores, peer]: receivers) {
        peers_.send(std::string{peer}, message);
    }
}

void fleet_lead::meet(std::string const &peer, wire::introduction const &introduction) {
    peers_.connect(peer, introduction.peer_address());
    advisers_.add(peer);
    peers_known_[peer] = {current_time(), introduction.processor_millicores()};
    dispatcher_.set_querying_vms(advisers_.size());
}

void fleet_lead::drop_silent_advisers(instant const now) {
    for(auto entry = peers_known_.begin(); entry != peers_known_.end();) {
        if(entry->second.seen_at + timing::adviser_silence > now) {
            ++entry;
            continue;
        }
        advisers_.remove(entry->first);
        entry = peers_known_.erase(entry);
        dispatcher_.set_querying_vms(advisers_.size());
    }
}

void fleet_lead::ask(advice_query query) {
    auto const now = current_time();
    auto const booked = advisers_.assign(query.duration, now);
    auto const limit = booked.ends_at - now + timing::advice_slack;
    if(booked.name == parts_.settings.name) {
        boost::asio::co_spawn(parts_.context, ask_adviser(shared_from_this(), std::move(query), limit), fail_fast);
        return;
    }
    wire::envelope message;
    auto &question = *message.mutable_advice_question();
    question.set_id(++next_question_);
    question.set_job(query.job);
    question.set_step(query.step);
    question.set_patience_ms(static_cast<std::uint64_t>(limit.count()));
    for(auto const &worker: query.workers) {
        question.add_workers(worker);
    }
    questions_.emplace(next_question_, open_question{booked.name, std::move(query)});
    // A message that cannot be sent counts as one without an answer.
    auto const time = peers_.send(booked.name, message) ? limit : millis{};
    boost::asio::co_spawn(parts_.context, expire_question(shared_from_this(), next_question_, time), fail_fast);
}

boost::asio::awaitable<void> fleet_lead::ask_adviser(
    [[maybe_unused]] self_pointer self, advice_query query, millis const limit) {
    auto const asked_at = current_time();
    auto const grants = co_await parts_.advice.ask(query, limit);
    if(grants) {
        parts_.times.add(latency::advice, current_time() - asked_at);
    }
    if(!over_) {
        settle_question(parts_.settings.name, query, grants);
    }
}

boost::asio::awaitable<void> fleet_lead::expire_question(
    [[maybe_unused]] self_pointer self, std::uint64_t const id, millis const time) {
    co_await pause(time);
    if(auto const found = questions_.find(id); found != questions_.end() && !over_) {
        auto const question = std::move(found->second);
        questions_.erase(found);
        settle_question(question.peer, question.query, std::nullopt);
    }
}

void fleet_lead::take_advice(std::string const &peer, wire::advice_answer const &answer) {
    auto const found = questions_.find(answer.id());
    if(found == questions_.end() || found->second.peer != peer || over_) {
        return;
    }
    auto const question = std::move(found->second);
    questions_.erase(found);
    std::optional<std::vector<advice_grant>> grants;
    if(answer.answered()) {
        grants.emplace();
        for(auto const &grant: answer.grants()) {
            grants->push_back({grant.worker(), grant.ticket()});
        }
    }
    settle_question(peer, question.query, grants);
}

void fleet_lead::settle_question(
    std::string const &asker, advice_query const &query, std::optional<std::vector<advice_grant>> const &grants) {
    auto const now = current_time();
    advisers_.release(asker, grants.has_value(), now);
    if(grants) {
        dispatcher_.take_advice(query, *grants, now);
    } else {
        dispatcher_.advice_failed(query, now);
    }
    parts_.decisions.write(decision::advice_given,
        {{"job", query.job}, {"step", query.step}, {"asked", query.workers.size()}, {"asker", asker},
            {"approved", grants ? static_cast<std::int64_t>(grants->size()) : std::int64_t{-1}}});
    plan_wanted_.notify();
}

} // namespace kingcuplink
