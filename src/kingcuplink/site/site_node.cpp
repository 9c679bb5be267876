#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <cctype>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/work_timer.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <kingcuplink/site/log_appends.hpp>
#include <kingcuplink/site/site_node.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::size_t job_id_length = 16u;
/*! Time without the log after which readiness is cleared, so that callers use other entry VMs; covers two more reads.
 */
constexpr millis log_outage_grace{300};
/*! Time between removals of expired jobs. */
constexpr millis removal_interval{5'000};
/*! Time between checks of the leader. */
constexpr millis leader_check_interval{50};
/*! Time between checks for the first heartbeat; each is a read of the log, which is billed. */
constexpr millis heartbeat_check_interval{100};
/*! Time between checks for the job of a relayed start. */
constexpr millis job_check_interval{20};
/*! Time between clearing the readiness and resigning leadership, for the load balancer to react. */
constexpr millis resign_delay{300};
/*! Counters of the cancellations that a leader applied, indexed by record_way. */
constexpr std::array<event, 4u> cancellation_events{
    event::cancellation_own_append, event::cancellation_relayed, event::cancellation_noticed, event::cancellation_read};

bool is_job_id(std::string_view const id) {
    return id.size() == job_id_length && std::all_of(id.begin(), id.end(), [](char const letter) {
        return std::isxdigit(static_cast<unsigned char>(letter)) != 0;
    });
}

caller_answer refused(refusal const reason, std::string detail = {}) {
    return {problem{reason, std::move(detail)}, std::nullopt, std::nullopt};
}

/*!
 * Returns whether callers of a queue are told about a job: if the queue or its path accepted the job, or if the queue
 * that did is not in force any more, so that its callers ask elsewhere.
 */
bool is_answered_at(queue_rules const &queue, std::string const &accepting_queue, std::uint32_t const path_hash,
    site_rules const &rules) {
    return accepting_queue == queue.name || path_hash == path_hash_of(queue) || !is_in_force(rules, accepting_queue);
}

/*! Returns the reason why a draft is invalid, or an empty string. */
std::string draft_fault(job_definition const &draft) {
    if(draft.steps.empty()) {
        return "a job must have at least one step";
    }
    if(!is_topologically_ordered(draft.steps)) {
        return "a step may only run after earlier steps";
    }
    std::int64_t tasks{};
    for(auto const &step: draft.steps) {
        tasks += step.count;
        auto const &size = step.task_size;
        if(step.count == 0u || size.millicores < 0 || size.memory_mib < 0 || size.accelerators < 0) {
            return "each step must have at least one task and a non-negative task size";
        }
    }
    return tasks > config::tasks_per_job ? "a job must not have more than 4096 tasks" : std::string{};
}

} // namespace internal

site_node::site_node(node_parts const parts)
    : parts_{parts},
      jobs_reader_{parts.log, log_stream::jobs},
      rules_reader_{parts.log, log_stream::rules},
      watch_{parts.settings.name, parts.settings.processor_millicores},
      random_{std::random_device{}()},
      process_{random_()},
      peers_{parts.settings.name, parts.settings.peer_address, parts.stats,
          [this](wire::envelope message) {
              boost::asio::post(parts_.context, [this, message = std::move(message)]() { handle(message); });
          }},
      appender_{
          parts, watch_, peers_, [this](keyed_record const &record, record_way const way) { apply(record, way); }},
      questions_{parts, peers_, watch_} {}

void site_node::start() {
    for(auto const loop:
        {&site_node::follow_jobs, &site_node::follow_rules, &site_node::watch_leader, &site_node::introduce}) {
        boost::asio::co_spawn(parts_.context, (this->*loop)(), fail_fast);
    }
    boost::asio::co_spawn(parts_.context, appender_.run(), fail_fast);
}

// Callers.

boost::asio::awaitable<caller_answer> site_node::serve(caller_request request) {
    auto const rules = rules_;
    // A submission needs no other job: if its job is known already, the log ignores its definition.
    auto const may_submit = request.operation == caller_operation::submit && watch_.claim().term > 0u;
    auto const may_ask = request.operation == caller_operation::ask;
    if(rules == nullptr || (!jobs_reader_.is_synced() && !may_submit && !may_ask)) {
        co_return internal::refused(refusal::no_configuration);
    }
    auto const *queue = find_queue(*rules, request.host, request.path);
    if(queue == nullptr) {
        co_return internal::refused(refusal::queue_unknown, request.path);
    }
    auto const *account = find_account_of_key(*rules, request.key);
    if(account == nullptr && !queue->open) {
        co_return internal::refused(request.key.empty() ? refusal::key_missing : refusal::key_unknown);
    }
    auto id = request.path.substr(queue->path_prefix.size());
    if(id.empty() && request.operation == caller_operation::ask) {
        co_return queue_answer(*queue);
    }
    if(!internal::is_job_id(id)) {
        co_return internal::refused(refusal::job_malformed, "the identifier must be 16 hexadecimal digits");
    }
    switch(request.operation) {
    case caller_operation::submit: {
        auto owner = account == nullptr ? std::string{} : account->name;
        co_return co_await submit(std::move(request), *queue, std::move(owner), std::move(id));
    }
    case caller_operation::cancel:
        co_return co_await cancel(request, std::move(id));
    case caller_operation::ask:
        break;
    }
    auto answer = co_await ask(*rules, *queue, id);
    record_answer(id, answer);
    co_return answer;
}

boost::asio::awaitable<caller_answer> site_node::ask(
    site_rules const &rules, queue_rules const &queue, std::string id) {
    if(auto answer = co_await ask_leader_for_job(rules, queue, id)) {
        co_return std::move(*answer);
    }
    if(!jobs_reader_.is_synced() && known_jobs_.find(id) == nullptr) {
        co_return internal::refused(refusal::no_configuration);
    }
    if(!co_await catch_up(id)) {
        co_return internal::refused(refusal::log_unavailable, id);
    }
    co_return job_answer(rules, queue, id);
}

void site_node::record_answer(std::string const &id, caller_answer const &answer) {
    auto const age = jobs_reader_.is_synced() ? (current_time() - jobs_reader_.fresh_at()).count() : -1;
    if(answer.refused && answer.refused->reason != refusal::job_unknown) {
        parts_.decisions.write(decision::question_refused,
            {{"job", id}, {"reason", row_of(answer.refused->reason).kind}, {"log_age_ms", age}});
    } else if(answer.phase && !is_final(*answer.phase) && leader_ == nullptr && !has_read_jobs()) {
        parts_.decisions.write(
            decision::job_answer_outdated, {{"job", id}, {"phase", name_of(*answer.phase)}, {"log_age_ms", age}});
    }
}

boost::asio::awaitable<caller_answer> site_node::submit(
    caller_request request, queue_rules const &queue, std::string account, std::string id) {
    if(auto const *known = known_jobs_.find(id); known != nullptr) {
        co_return caller_answer{std::nullopt, job_table::visible_phase(*known), std::nullopt};
    }
    auto const fault = request.draft ? internal::draft_fault(*request.draft) : request.draft_error;
    if(!fault.empty()) {
        co_return internal::refused(refusal::job_malformed, fault);
    }
    auto job = std::move(*request.draft);
    job.id = id;
    job.queue = queue.name;
    job.account = std::move(account);
    job.accepted_at = current_time();
    job.terms = static_cast<job_terms const &>(queue);
    job.path_hash = path_hash_of(queue);
    auto record = encode(job);
    if(record.value->size() > timing::max_record_bytes) {
        co_return internal::refused(refusal::job_malformed,
            "the job takes " + std::to_string(record.value->size()) + " bytes of at most " +
                std::to_string(timing::max_record_bytes));
    }
    auto const outcome = co_await append_record(std::move(record), request.timeout);
    switch(outcome) {
    case append_outcome::done:
        parts_.stats.add(event::job_accepted);
        parts_.times.add(latency::acceptance, current_time() - job.accepted_at);
        parts_.decisions.write(decision::job_accepted,
            {{"job", id}, {"queue", job.queue}, {"account", job.account}, {"rules", rules_->version},
                {"ms", (current_time() - job.accepted_at).count()},
                {"log_age_ms", jobs_reader_.is_synced() ? (current_time() - jobs_reader_.fresh_at()).count() : -1}});
        define(std::move(job));
        co_return caller_answer{std::nullopt, job_table::visible_phase(*known_jobs_.find(id)), std::nullopt};
    case append_outcome::unknown:
        parts_.decisions.write(decision::job_outcome_unknown, {{"job", id}, {"queue", job.queue}});
        co_return internal::refused(refusal::outcome_unknown, id);
    default:
        parts_.decisions.write(
            decision::job_refused, {{"job", id}, {"queue", job.queue}, {"reason", "log_unavailable"}});
        co_return internal::refused(refusal::log_unavailable, id);
    }
}

boost::asio::awaitable<caller_answer> site_node::cancel(caller_request const &request, std::string id) {
    if(!co_await catch_up(id)) {
        co_return internal::refused(refusal::log_unavailable, id);
    }
    if(auto const *known = known_jobs_.find(id); known != nullptr && is_final(job_table::visible_phase(*known))) {
        co_return caller_answer{std::nullopt, job_table::visible_phase(*known), std::nullopt};
    }
    // Also for an unknown job: a submission that had no answer may reach the log after this record.
    auto const requested_at = current_time();
    auto record = encode_cancellation(id, requested_at);
    auto const outcome = co_await append_record(std::move(record), request.timeout);
    if(outcome != append_outcome::done) {
        co_return internal::refused(
            outcome == append_outcome::unknown ? refusal::outcome_unknown : refusal::log_unavailable, id);
    }
    apply_cancellation(id, requested_at, record_way::own_append);
    // The definition may precede the cancellation in the log: only a reader that has passed both can deny the job.
    auto const is_read = co_await catch_up(id);
    auto const *known = known_jobs_.find(id);
    parts_.decisions.write(decision::job_cancelled, {{"job", id}, {"known", known != nullptr}});
    if(known == nullptr && is_read) {
        co_return internal::refused(refusal::job_unknown, id);
    }
    auto const phase = known != nullptr ? job_table::visible_phase(*known) : job_phase::cancelled;
    co_return caller_answer{std::nullopt, phase, std::nullopt};
}

boost::asio::awaitable<append_outcome> site_node::append_record(keyed_record record, millis const timeout) {
    if(!may_append()) {
        // Fails fast so that the caller can try another entry VM.
        co_return append_outcome::refused;
    }
    co_return co_await appender_.append(std::move(record), timeout);
}

bool site_node::may_append() const {
    // After an outage, appends of a leader may be done sooner than the next read of its entry VM.
    auto const leads_with_log = leader_ != nullptr && !leader_->has_stalled(current_time());
    return log_reachable_ || leads_with_log || appender_.leader_accepts_records();
}

boost::asio::awaitable<std::optional<caller_answer>> site_node::ask_leader_for_job(
    site_rules const &rules, queue_rules const &queue, std::string id) {
    auto const *known = known_jobs_.find(id);
    auto const is_settled = known != nullptr && is_final(job_table::visible_phase(*known));
    if(leader_ != nullptr || is_settled || has_read_jobs()) {
        co_return std::nullopt;
    }
    auto const reported = co_await questions_.ask(std::move(id));
    if(!reported || !internal::is_answered_at(queue, reported->queue, reported->path_hash, rules)) {
        co_return std::nullopt;
    }
    co_return caller_answer{std::nullopt, reported->phase, std::nullopt};
}

void site_node::answer_job_question(std::string const &peer, wire::job_question const &question) {
    wire::envelope message;
    auto &answer = *message.mutable_job_answer();
    answer.set_id(question.id());
    if(auto const *known = known_jobs_.find(question.job()); known != nullptr) {
        answer.set_known(true);
        answer.set_phase(static_cast<std::uint32_t>(job_table::visible_phase(*known)));
        answer.set_queue(known->definition.queue);
        answer.set_path_hash(known->definition.path_hash);
    }
    peers_.send(peer, message);
}

bool site_node::has_read_jobs() const {
    return jobs_reader_.is_synced() && !jobs_reader_.is_behind() &&
        jobs_reader_.fresh_at() + timing::jobs_wait + timing::claim_freshness > current_time();
}

bool site_node::is_fresh() const {
    return jobs_reader_.fresh_at() + timing::max_pending_age > current_time();
}

boost::asio::awaitable<bool> site_node::catch_up(std::string const &id) {
    if(known_jobs_.find(id) != nullptr) {
        co_return true;
    }
    if(!log_reachable_) {
        co_return false;
    }
    // Another entry VM may just have accepted the job. Only the end is read here: all entry VMs share the log's
    // bandwidth, and reading the records twice would delay them further when it is short.
    parts_.stats.add(event::log_end_read);
    auto const end = co_await parts_.log.end(log_stream::jobs, jobs_reader_.offset());
    auto const give_up_at = current_time() + timing::catch_up_limit;
    while(end && jobs_reader_.offset() < *end && known_jobs_.find(id) == nullptr && current_time() < give_up_at) {
        co_await pause(timing::catch_up_check_interval);
    }
    co_return end && (jobs_reader_.offset() >= *end || known_jobs_.find(id) != nullptr);
}

caller_answer site_node::job_answer(site_rules const &rules, queue_rules const &queue, std::string const &id) const {
    auto const *known = known_jobs_.find(id);
    if(known == nullptr ||
        !internal::is_answered_at(queue, known->definition.queue, known->definition.path_hash, rules)) {
        return internal::refused(refusal::job_unknown, id);
    }
    return {std::nullopt, job_table::visible_phase(*known), std::nullopt};
}

caller_answer site_node::queue_answer(queue_rules const &queue) const {
    if(!is_fresh()) {
        return internal::refused(refusal::log_unavailable, queue.name);
    }
    return {std::nullopt, std::nullopt, known_jobs_.pending(queue.name, path_hash_of(queue))};
}

// The log.

boost::asio::awaitable<void> site_node::await_turn_to_read_jobs() {
    auto const page = co_await parts_.log.newest(log_stream::jobs, key_before_claims());
    // From the claim, introduce() knows where to ask for a heartbeat.
    apply_claims(page.records);
    auto const own = parts_.settings.processor_millicores;
    auto const read_at = current_time() + timing::small_vm_read_delay;
    auto next = page.end;
    while(has_twice_the_processor(watch_.claim().processor_millicores, own) && !watch_.has_heartbeats() &&
        current_time() < read_at) {
        co_await pause(internal::heartbeat_check_interval);
        auto const answer = co_await parts_.log.read(log_stream::jobs, next, millis{});
        if(answer.outcome == read_outcome::done) {
            apply_claims(answer.records);
            next = answer.next;
        }
    }
}

void site_node::apply_claims(std::span<keyed_record const> const records) {
    for(auto const &record: records) {
        auto const name = parse_record_key(record.key);
        if(name && name->kind == record_kind::leader) {
            apply(record, record_way::log);
        }
    }
}

boost::asio::awaitable<void> site_node::follow_jobs() {
    co_await await_turn_to_read_jobs();
    while(true) {
        auto const wait = read_wait();
        auto const sent_at = current_time();
        auto batch = co_await jobs_reader_.next(wait);
        update_log_reachability(batch.has_value());
        if(!batch) {
            refresh_ready();
            co_await pause(timing::log_retry);
            continue;
        }
        record_read(*batch, current_time() - sent_at);
        apply_jobs(std::move(*batch));
        refresh_ready();
        if(!jobs_reader_.is_behind()) {
            co_await pause(read_spacing());
        }
    }
}

void site_node::record_read(keyed_batch const &batch, millis const took) {
    if(!batch.records.empty()) {
        parts_.times.add(latency::log_read, took);
    }
    if(jobs_reader_.is_behind() || took > timing::slow_read) {
        std::size_t bytes{};
        for(auto const &record: batch.records) {
            bytes += size_of(record);
        }
        parts_.decisions.write(decision::log_read_slow,
            {{"ms", took.count()}, {"records", batch.records.size()}, {"bytes", bytes},
                {"remaining", jobs_reader_.remaining()}, {"snapshot", batch.is_snapshot},
                {"end_reads", parts_.stats.value(event::log_end_read)}});
    }
}

millis site_node::read_wait() noexcept {
    // While the leader appends, a read that waits would return the leader's next append.
    auto const skipped = std::exchange(skipped_records_, jobs_reader_.skipped());
    return leader_ != nullptr && skipped != skipped_records_ ? millis{} : timing::jobs_wait;
}

millis site_node::read_spacing() const noexcept {
    if(is_claiming_) {
        return timing::claimant_read_spacing;
    }
    return leader_ != nullptr ? timing::leader_read_spacing : timing::follower_read_spacing;
}

void site_node::update_log_reachability(bool const reached) {
    watch_.record_log_reachability(reached, current_time());
    appender_.set_log_reachable(reached);
    if(reached != log_reachable_) {
        log_reachable_ = reached;
        log_reachability_changed_at_ = current_time();
        parts_.decisions.write(
            reached ? decision::dependency_regained : decision::dependency_lost, {{"dependency", "log"}});
    }
}

void site_node::apply_jobs(keyed_batch batch) {
    work_timer const timer{parts_.stats, activity::log_records};
    job_table former;
    if(batch.is_snapshot) {
        // A later claim ends the leadership of this entry VM.
        apply_claims(batch.records);
        if(leader_ == nullptr) {
            // The records that removed jobs may be gone from the log: what the snapshot does not name is no more.
            former = std::exchange(known_jobs_, {});
        }
        known_lapses_.clear();
        // Snapshots are ordered by key, but jobs must be defined before records that refer to them are applied.
        std::stable_sort(batch.records.begin(), batch.records.end(), [](auto const &lhs, auto const &rhs) {
            auto const kind_of = [](auto const &record) {
                auto const name = parse_record_key(record.key);
                return name ? name->kind : record_kind::leader;
            };
            return kind_of(lhs) < kind_of(rhs);
        });
        watch_.record_leader_activity(current_time());
    }
    for(auto const &record: batch.records) {
        apply(record, record_way::log);
    }
    if(auto const dropped = known_jobs_.inherit_local_state(former); dropped > 0u) {
        parts_.stats.add(event::job_absent_from_snapshot, dropped);
        parts_.decisions.write(
            decision::jobs_absent_from_snapshot, {{"jobs", dropped}, {"remaining", known_jobs_.jobs().size()}});
    }
}

void site_node::apply_own(
    std::uint64_t const offset, std::span<keyed_record const> const records, record_way const way) {
    // Callers' records count at once, also while this entry VM reads the newest record of every key again.
    if(jobs_reader_.skip(offset, records.size()) || way == record_way::relay) {
        std::for_each(records.begin(), records.end(), [this, way](auto const &record) { apply(record, way); });
    }
}

void site_node::apply(keyed_record const &record, record_way const way) {
    auto name = parse_record_key(record.key);
    if(!name) {
        return;
    }
    if(!record.value) {
        if(name->kind == record_kind::job) {
            known_jobs_.forget(name->id);
        } else if(name->kind == record_kind::lapse) {
            known_lapses_.erase(name->id);
        }
        return;
    }
    auto const now = current_time();
    switch(name->kind) {
    case record_kind::job:
        if(auto job = decode_job(name->id, *record.value)) {
            define(std::move(*job));
        }
        break;
    case record_kind::progress:
        watch_.record_leader_activity(now);
        if(auto progress = decode_progress(*record.value)) {
            progress->part = name->part;
            known_jobs_.advance(name->id, std::move(*progress), now);
        }
        break;
    case record_kind::cancellation:
        apply_cancellation(name->id, decode_cancellation(*record.value), way);
        break;
    case record_kind::lapse:
        known_lapses_[name->id].reset();
        if(auto const remaining = decode_lapse(*record.value)) {
            known_lapses_[name->id] = now + *remaining;
        }
        break;
    case record_kind::leader:
        if(auto claim = decode_leader(*record.value)) {
            handle_claim(std::move(*claim));
        }
        break;
    }
}

void site_node::apply_cancellation(
    std::string const &id, std::optional<instant> const requested_at, record_way const way) {
    auto const now = current_time();
    auto const is_new = !known_jobs_.is_cancelled(id);
    if(known_jobs_.cancel(id, now) && leader_ != nullptr) {
        leader_->cancel_job(id);
    }
    if(!is_new || leader_ == nullptr) {
        return;
    }
    parts_.stats.add(internal::cancellation_events[static_cast<std::size_t>(way)]);
    if(requested_at) {
        parts_.times.add(latency::cancellation, now - *requested_at);
    }
    parts_.decisions.write(decision::cancellation_applied,
        {{"job", id}, {"way", name_of(way)}, {"age_ms", requested_at ? (now - *requested_at).count() : -1},
            {"known", known_jobs_.find(id) != nullptr}});
}

void site_node::define(job_definition job) {
    auto const id = job.id;
    if(job.terms) {
        parts_.decoder.admit_service(job.terms->service);
    }
    if(!known_jobs_.define(std::move(job)) || leader_ == nullptr) {
        return;
    }
    auto const &entry = *known_jobs_.find(id);
    leader_->add_job(entry);
    if(entry.cancel_requested) {
        parts_.stats.add(event::cancellation_before_definition);
        parts_.decisions.write(decision::job_defined_cancelled, {{"job", id}});
    }
}

void site_node::handle_claim(leader_claim claim) {
    if(!claim.observes_lapses && claim.term >= watch_.claim().term) {
        // A leader of an earlier version may extend any lease.
        for(auto &[worker, at]: known_lapses_) {
            at.reset();
        }
    }
    if(watch_.apply_claim(std::move(claim), current_time())) {
        auto const &latest = watch_.claim();
        parts_.decisions.write(
            decision::leader_seen, {{"term", latest.term}, {"leader", latest.name}, {"resigned", latest.resigned}});
    }
    if(leader_ != nullptr && watch_.claim().term > leader_->term()) {
        leader_->end();
        end_leadership();
    }
}

boost::asio::awaitable<void> site_node::follow_rules() {
    while(true) {
        auto const batch = co_await rules_reader_.next(timing::log_wait);
        if(batch && (!batch->records.empty() || batch->is_snapshot)) {
            apply_rules(*batch);
        }
        if(!batch) {
            co_await pause(timing::log_retry);
        }
    }
}

void site_node::apply_rules(keyed_batch const &batch) {
    auto next = std::make_shared<site_rules>();
    if(!batch.is_snapshot && rules_ != nullptr) {
        *next = *rules_;
    }
    for(auto const &record: batch.records) {
        if(!parts_.decoder.apply(record, *next)) {
            parts_.decisions.write(
                decision::rules_applied, {{"key", record.key}, {"reason", "record is malformed and was ignored"}});
        }
    }
    auto const version = rules_ == nullptr ? 0u : rules_->version;
    if(next->version == 0u || next->version < version) {
        return;
    }
    if(rules_ != nullptr) {
        retire_queues(*next, *rules_);
    }
    parts_.stats.add(event::document_applied);
    parts_.decisions.write(decision::rules_applied,
        {{"version", next->version}, {"earlier", version}, {"queues", next->queues.size()},
            {"accounts", next->accounts.size()}, {"evacuated", next->evacuated.size()}});
    rules_ = std::move(next);
    if(leader_ != nullptr) {
        leader_->set_rules(rules_);
    }
    refresh_ready();
}

void site_node::refresh_ready() {
    auto const has_log = log_reachable_ || log_reachability_changed_at_ + internal::log_outage_grace > current_time();
    auto const ready = rules_ != nullptr && jobs_reader_.is_synced() && has_log && !draining_;
    if(ready != ready_.exchange(ready)) {
        parts_.decisions.write(decision::ready_changed, {{"ready", ready}});
    }
}

void site_node::remove_expired_jobs() {
    auto const now = current_time();
    if(jobs_removed_at_ + internal::removal_interval > now) {
        return;
    }
    jobs_removed_at_ = now;
    auto const ids = known_jobs_.expired_before(now - retention_of(parts_.settings));
    if(!ids.empty()) {
        leader_->remove_jobs(ids);
    }
}

// Leadership.

boost::asio::awaitable<void> site_node::watch_leader() {
    while(true) {
        co_await pause(internal::leader_check_interval);
        std::optional<std::string_view> reason;
        if(leader_ != nullptr) {
            reason = leader_->reason_to_resign(current_time());
        }
        if(reason) {
            co_await resign(*reason);
        } else if(leader_ != nullptr) {
            remove_expired_jobs();
        } else if(auto const reason_to_lead = reason_to_claim(current_time())) {
            co_await claim(*reason_to_lead);
        } else if(should_probe(current_time())) {
            co_await probe();
        }
    }
}

std::optional<claim_reason> site_node::reason_to_claim(instant const now) const {
    auto const can_lead = !draining_ && rules_ != nullptr && jobs_reader_.is_synced() && log_reachable_;
    return can_lead ? watch_.reason_to_claim(jobs_reader_.fresh_at(), now) : std::nullopt;
}

boost::asio::awaitable<void> site_node::claim(claim_reason const reason) {
    auto const term = watch_.claim().term + 1u;
    // Random sequence number: the log accepts the first of several claims of one term and rejects the others as out of
    // sequence.
    auto const sequence = random_() >> 16u;
    std::vector<keyed_record> records;
    auto const &own = parts_.settings;
    records.push_back(encode(leader_claim{term, own.name, own.peer_address, false, own.processor_millicores}));
    parts_.decisions.write(decision::leadership_claimed,
        {{"term", term}, {"sequence", sequence}, {"earlier", watch_.claim().name}, {"reason", name_of(reason)},
            {"silent_ms", watch_.silence(current_time()).count()},
            {"leader_log_age_ms", watch_.leader_log_age().count()}});
    append_answer answer;
    auto const claimed_at = current_time();
    do {
        answer = co_await append_to_jobs(parts_, append_purpose::claim, records, log_writer{term, sequence});
        if(answer.outcome == append_outcome::unknown) {
            co_await pause(timing::log_retry);
        }
        // An entry VM that was cut off may hear the leader again: repeating the claim would replace it without need.
    } while(answer.outcome == append_outcome::unknown && watch_.claim().term < term && reason_to_claim(current_time()));
    record_append_outcome(answer.outcome);
    if(answer.outcome != append_outcome::done) {
        // Another entry VM claimed the term first or the log is unavailable; the next records show which.
        watch_.record_failed_claim(current_time());
        co_return;
    }
    is_claiming_ = true;
    while(jobs_reader_.offset() <= answer.offset) {
        co_await pause(timing::claimant_read_spacing);
    }
    is_claiming_ = false;
    if(watch_.claim().term == term && !draining_) {
        begin_leadership(term, sequence, claimed_at);
    }
}

bool site_node::should_probe(instant const now) const {
    auto const first = std::span{candidates_}.first(std::min(candidates_.size(), timing::max_probing_candidates));
    auto const is_own = [this](auto const &candidate) { return candidate.name == parts_.settings.name; };
    return !draining_ && std::any_of(first.begin(), first.end(), is_own) && watch_.needs_probe(now);
}

boost::asio::awaitable<void> site_node::probe() {
    parts_.stats.add(event::log_probed);
    std::vector<keyed_record> records;
    records.push_back(encode_probe(parts_.settings.name));
    auto const sent_at = current_time();
    auto const answer = co_await append_to_jobs(parts_, append_purpose::probe, std::move(records), std::nullopt);
    record_append_outcome(answer.outcome);
    if(answer.outcome == append_outcome::done) {
        watch_.record_own_append(current_time() - sent_at, current_time());
    }
}

void site_node::record_append_outcome(append_outcome const outcome) {
    auto const is_answered = outcome != append_outcome::refused && outcome != append_outcome::unknown;
    appends_doubtful_until_ = is_answered ? instant{} : current_time() + timing::append_doubt_time;
}

void site_node::begin_leadership(std::uint64_t const term, std::uint64_t const sequence, instant const claimed_at) {
    leader_ = std::make_shared<fleet_leader>(
        parts_, peers_, term, sequence, claimed_at, [this]() { end_leadership(); },
        [this](std::uint64_t const offset, std::span<keyed_record const> const records, record_way const way) {
            apply_own(offset, records, way);
        });
    appender_.set_leader([this, leader = leader_](std::vector<caller_record> records) {
        auto jobs = new_jobs(records);
        return leader->append(std::move(records), std::move(jobs));
    });
    parts_.stats.add(event::leadership_taken);
    leader_->set_rules(rules_);
    std::vector<job_entry const *> entries;
    for(auto const &[id, entry]: known_jobs_.jobs()) {
        entries.push_back(&entry);
    }
    std::sort(entries.begin(), entries.end(),
        [](auto const *lhs, auto const *rhs) { return lhs->definition.accepted_at < rhs->definition.accepted_at; });
    for(auto const &[worker, at]: known_lapses_) {
        leader_->adopt_lapse(worker, at);
    }
    for(auto const *entry: entries) {
        leader_->add_job(*entry);
    }
    leader_->start();
}

std::vector<job_definition> site_node::new_jobs(std::span<caller_record const> const records) const {
    std::vector<job_definition> jobs;
    for(auto const &row: records) {
        auto const name = parse_record_key(row.record.key);
        auto const is_new = name && name->kind == record_kind::job && row.record.value &&
            known_jobs_.find(name->id) == nullptr && !known_jobs_.is_cancelled(name->id);
        if(!is_new) {
            continue;
        }
        if(auto job = decode_job(name->id, *row.record.value)) {
            jobs.push_back(std::move(*job));
        }
    }
    return jobs;
}

void site_node::end_leadership() {
    parts_.stats.add(event::leadership_lost);
    watch_.record_leader_activity(current_time());
    if(leader_->has_stalled(current_time())) {
        appends_doubtful_until_ = current_time() + timing::append_doubt_time;
    }
    // If the log is lost, one of them tells who leads next.
    candidates_ = leader_->candidates();
    leader_ = nullptr;
    appender_.set_leader(nullptr);
}

void site_node::drain() {
    draining_ = true;
    refresh_ready();
    boost::asio::co_spawn(
        parts_.context,
        [this]() -> boost::asio::awaitable<void> {
            co_await pause(internal::resign_delay);
            co_await resign("the process is shutting down");
        },
        fail_fast);
}

boost::asio::awaitable<void> site_node::resign(std::string_view const reason) {
    if(auto const leader = std::exchange(leader_, nullptr); leader != nullptr) {
        parts_.stats.add(event::leadership_lost);
        appender_.set_leader(nullptr);
        co_await leader->resign(reason);
        watch_.record_leader_activity(current_time());
    }
}

// Peers.

boost::asio::awaitable<void> site_node::introduce() {
    instant leader_due{};
    instant candidates_due{};
    while(true) {
        co_await pause(timing::first_introduction_interval);
        peers_.disconnect_idle(timing::idle_peer_time);
        auto const leader = watch_.claim();
        auto const now = current_time();
        if(draining_ || leader.name.empty()) {
            continue;
        }
        auto const has_other_leader = leader_ == nullptr && leader.name != parts_.settings.name;
        if(has_other_leader && (leader_due <= now || !watch_.has_heartbeats())) {
            leader_due = now + timing::introduction_interval;
            introduce_to(leader.name, leader.peer_address);
        }
        // Without the log, this entry VM cannot read who leads, or that it leads no longer.
        if(!log_reachable_ && !watch_.accepts_records(now) && candidates_due <= now) {
            auto const is_sent = introduce_to_candidates();
            candidates_due = now + (is_sent ? timing::candidate_introduction_interval : millis{});
        }
    }
}

bool site_node::introduce_to_candidates() {
    auto is_sent = true;
    for(auto const &[name, address]: leader_ != nullptr ? leader_->candidates() : candidates_) {
        if(name != watch_.claim().name && name != parts_.settings.name) {
            is_sent = introduce_to(name, address) && is_sent;
        }
    }
    return is_sent;
}

bool site_node::introduce_to(std::string const &peer, std::string const &address) {
    peers_.connect(peer, address);
    wire::envelope message;
    auto &introduction = *message.mutable_introduction();
    introduction.set_peer_address(parts_.settings.peer_address);
    introduction.set_term(watch_.claim().term);
    introduction.set_processor_millicores(parts_.settings.processor_millicores);
    introduction.set_failure_domain(parts_.settings.failure_domain);
    introduction.set_process(process_);
    introduction.set_sent_at_ms(current_time().time_since_epoch().count());
    introduction.set_misses_log(!log_reachable_ || current_time() < appends_doubtful_until_);
    return peers_.send(peer, message);
}

void site_node::handle(wire::envelope const &message) {
    if(message.has_introduction() && leader_ != nullptr && message.introduction().term() <= leader_->term()) {
        leader_->add_peer(message.sender(), message.introduction());
    } else if(message.has_leader_beat()) {
        handle_heartbeat(message.sender(), message.leader_beat());
    } else if(message.has_job_ends()) {
        handle_job_ends(message.job_ends());
    } else if(message.has_append_request()) {
        boost::asio::co_spawn(
            parts_.context, appender_.answer_request(message.sender(), message.append_request()), fail_fast);
    } else if(message.has_append_reply()) {
        appender_.handle_reply(message.append_reply());
    } else if(message.has_start_request()) {
        boost::asio::co_spawn(
            parts_.context, answer_start_request(message.sender(), message.start_request()), fail_fast);
    } else if(message.has_start_reply() && leader_ != nullptr) {
        leader_->handle_start_reply(message.sender(), message.start_reply());
    } else if(message.has_job_question() && leader_ != nullptr) {
        answer_job_question(message.sender(), message.job_question());
    } else if(message.has_job_answer()) {
        questions_.handle_answer(message.sender(), message.job_answer());
    } else if(message.has_advice_question() && message.sender() == watch_.claim().name) {
        boost::asio::co_spawn(
            parts_.context, answer_advice_question(message.sender(), message.advice_question()), fail_fast);
    } else if(message.has_advice_answer() && leader_ != nullptr) {
        leader_->take_advice(message.sender(), message.advice_answer());
    }
}

void site_node::handle_heartbeat(std::string const &sender, wire::leader_beat const &heartbeat) {
    if(heartbeat.term() > watch_.claim().term && !heartbeat.peer_address().empty()) {
        // Only the holder of a committed claim sends heartbeats: this entry VM has not read the claim yet.
        handle_claim({heartbeat.term(), sender, heartbeat.peer_address(), false, heartbeat.processor_millicores()});
    }
    if(heartbeat.term() == watch_.claim().term && !heartbeat.candidates().empty()) {
        candidates_.clear();
        for(auto const &row: heartbeat.candidates()) {
            candidates_.push_back({row.name(), row.peer_address()});
        }
    }
    auto const time_of = [](std::uint64_t const ms) { return millis{static_cast<std::int64_t>(ms)}; };
    watch_.record_heartbeat({heartbeat.term(), time_of(heartbeat.log_age_ms()), time_of(heartbeat.append_ms()),
                                heartbeat.most_millicores(), time_of(heartbeat.interval_ms())},
        current_time());
}

void site_node::handle_job_ends(wire::job_ends const &ends) {
    if(ends.term() < watch_.claim().term) {
        return;
    }
    watch_.record_leader_append(ends.term());
    for(auto const &row: ends.rows()) {
        if(row.phase() <= static_cast<std::uint32_t>(job_phase::cancelled)) {
            known_jobs_.set_reported_phase(row.id(), static_cast<job_phase>(row.phase()));
        }
    }
}

relay_state site_node::relay_state_for(std::string const &job) const {
    return {draining_, watch_.claim().term, process_, current_time().time_since_epoch().count(), known_jobs_.find(job),
        has_read_jobs()};
}

boost::asio::awaitable<void> site_node::answer_start_request(std::string peer, wire::start_request request) {
    auto refused = reason_to_decline(request, relay_state_for(request.job()));
    while(refused == relay_refusal::job_unknown) {
        // The job may have been accepted so recently that this entry VM has not read it yet.
        co_await pause(internal::job_check_interval);
        auto const state = relay_state_for(request.job());
        refused = reason_to_decline(request, state);
        if(state.clock + internal::job_check_interval.count() > request.send_before_ms()) {
            break;
        }
    }
    wire::envelope message;
    message.mutable_start_reply()->set_id(request.id());
    message.mutable_start_reply()->set_declined(refused.has_value());
    if(refused) {
        parts_.decisions.write(decision::start_relay_declined,
            {{"job", request.job()}, {"worker", request.worker()}, {"leader", peer}, {"term", request.term()},
                {"reason", name_of(*refused)},
                {"late_ms", current_time().time_since_epoch().count() - request.send_before_ms()}});
    } else {
        auto run = start_of(request, known_jobs_.find(request.job())->definition);
        worker_target target{run.worker, run.address};
        parts_.stats.add(event::relayed_start_sent);
        auto const timeout = timing::relayed_answer_timeout(!run.ticket.empty());
        auto const answer = co_await parts_.workers.start(
            std::move(target), std::move(run), request.token(), request.expires_at_ms(), timeout);
        message.mutable_start_reply()->set_answer(static_cast<std::uint32_t>(answer));
    }
    peers_.send(peer, message);
}

boost::asio::awaitable<void> site_node::answer_advice_question(std::string peer, wire::advice_question question) {
    advice_query query{question.job(), question.step(), {question.workers().begin(), question.workers().end()}, {}};
    auto const timeout = millis{static_cast<std::int64_t>(question.patience_ms())};
    auto const asked_at = current_time();
    auto const grants = co_await parts_.advice.ask(std::move(query), timeout);
    if(grants) {
        parts_.times.add(latency::advice, current_time() - asked_at);
    }
    wire::envelope message;
    auto &answer = *message.mutable_advice_answer();
    answer.set_id(question.id());
    answer.set_answered(grants.has_value());
    if(grants) {
        for(auto const &grant: *grants) {
            auto *row = answer.add_grants();
            row->set_worker(grant.worker);
            row->set_ticket(grant.ticket);
        }
    }
    peers_.send(peer, message);
}

std::string site_node::metrics() const {
    auto text = parts_.stats.prometheus_text() + parts_.times.prometheus_text();
    auto const add = [&text](std::string_view const name, auto const value) {
        text.append("kingcuplink_").append(name).append(" ").append(std::to_string(value)).append("\n");
    };
    add("rules_version", rules_ == nullptr ? 0u : rules_->version);
    add("log_age_ms", (current_time() - jobs_reader_.fresh_at()).count());
    add("log_records_skipped_total", jobs_reader_.skipped());
    add("leader_term", watch_.claim().term);
    add("leads", leader_ != nullptr ? 1 : 0);
    add("jobs_known", known_jobs_.jobs().size());
    add("log_lines_left_out", parts_.decisions.dropped());
    if(leader_ != nullptr) {
        auto const figures = leader_->figures();
        add("jobs_live", figures.jobs);
        add("tasks_waiting", figures.waiting_tasks);
        add("runs", figures.runs);
        add("workers", figures.workers);
        add("workers_usable", figures.usable_workers);
    }
    return text;
}

} // namespace kingcuplink
