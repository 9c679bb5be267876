#include <algorithm>
#include <array>
#include <charconv>
#include <kingcuplink/site/record_codec.hpp>
#include <kingcuplink/wire/generated/messages.pb.h>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::string_view leader_key{"leader"};
/*! Key of probes; readers skip it like every key that they do not know. */
constexpr std::string_view probe_key{"probe"};
/*! Precedes the key of claims, and no other key is between the two. */
constexpr std::string_view key_before_leader{"leade"};
/*! Key prefixes, indexed by record_kind. */
constexpr std::array<std::string_view, 4u> key_prefixes{"job/", "progress/", "cancel/", "lapse/"};
/*! Value of a cancellation that earlier versions wrote. */
constexpr std::int64_t untimed_cancellation{1};
/*! Separates the identifier of a job and the number of a part in a key. */
constexpr char part_separator = '/';
/*! Bounds on the terms in a record, so that objectives computed with them do not overflow; beyond any that are set. */
constexpr double max_stretch{1e6};
constexpr std::int64_t max_duration{1'000'000'000'000};

std::string key_of(record_kind const kind, std::string const &id) {
    return std::string{key_prefixes[static_cast<std::size_t>(kind)]} + id;
}

std::string part_key_of(std::string const &id, std::uint32_t const part) {
    return key_of(record_kind::progress, id) + part_separator + std::to_string(part);
}

/*! Parses the identifier and the part in a key of progress; returns nothing if the part is malformed. */
std::optional<parsed_record_key> parse_progress_name(std::string_view const name) {
    auto const end = name.find(part_separator);
    if(end == std::string_view::npos) {
        return parsed_record_key{record_kind::progress, std::string{name}};
    }
    auto const digits = name.substr(end + 1u);
    std::uint32_t part{};
    auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), part);
    if(parsed.ec != std::errc{} || parsed.ptr != digits.data() + digits.size()) {
        return std::nullopt;
    }
    return parsed_record_key{record_kind::progress, std::string{name.substr(0u, end)}, part};
}

template<typename Message>
std::optional<Message> parse(std::string_view const bytes) {
    Message message;
    if(!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return std::nullopt;
    }
    return message;
}

wire::step_record to_wire(step_definition const &step) {
    wire::step_record record;
    record.set_count(step.count);
    record.set_millicores(step.task_size.millicores);
    record.set_memory_mib(step.task_size.memory_mib);
    record.set_accelerators(step.task_size.accelerators);
    record.set_estimate_ms(step.estimate.count());
    for(auto const before: step.after) {
        record.add_after(before);
    }
    record.set_gang(step.gang);
    record.set_same_rack(step.same_rack);
    record.set_checkpointing(step.checkpointing);
    record.set_long_running(step.long_running);
    record.set_required_label(step.required_label);
    record.set_data_rack(step.data_rack);
    record.set_most_per_worker(step.most_per_worker);
    return record;
}

step_definition from_wire(wire::step_record const &record) {
    step_definition step;
    step.count = record.count();
    step.task_size = {record.millicores(), record.memory_mib(), record.accelerators()};
    step.estimate = millis{record.estimate_ms()};
    step.after.assign(record.after().begin(), record.after().end());
    step.gang = record.gang();
    step.same_rack = record.same_rack();
    step.checkpointing = record.checkpointing();
    step.long_running = record.long_running();
    step.required_label = record.required_label();
    step.data_rack = record.data_rack();
    step.most_per_worker = record.most_per_worker();
    return step;
}

wire::terms_record to_wire(job_terms const &terms) {
    wire::terms_record record;
    record.set_service(terms.service);
    record.set_priority(terms.priority);
    record.set_max_attempts(terms.max_attempts);
    record.set_stretch(terms.stretch);
    record.set_target_ms(terms.target.count());
    if(terms.advice) {
        auto &advice = *record.mutable_advice();
        advice.set_base_ms(terms.advice->base.count());
        advice.set_per_worker_us(terms.advice->per_worker_us);
        advice.set_valid_ms(terms.advice->valid.count());
    }
    return record;
}

/*! Returns nothing if a value is out of range. */
std::optional<job_terms> from_wire(wire::terms_record const &record) {
    auto const is_duration = [](std::int64_t const value) { return value >= 0 && value <= max_duration; };
    auto const &advice = record.advice();
    if(!(record.stretch() >= 0.0 && record.stretch() <= max_stretch) || !is_duration(record.target_ms()) ||
        !is_duration(advice.base_ms()) || !is_duration(advice.per_worker_us()) || !is_duration(advice.valid_ms())) {
        return std::nullopt;
    }
    job_terms terms;
    terms.service = record.service();
    terms.priority = record.priority();
    terms.max_attempts = record.max_attempts();
    terms.stretch = record.stretch();
    terms.target = millis{record.target_ms()};
    if(record.has_advice()) {
        terms.advice = advice_terms{millis{advice.base_ms()}, advice.per_worker_us(), millis{advice.valid_ms()}};
    }
    return terms;
}

} // namespace internal

std::optional<parsed_record_key> parse_record_key(std::string_view const key) {
    if(key == internal::leader_key) {
        return parsed_record_key{record_kind::leader, {}};
    }
    for(std::size_t pos{}; pos < internal::key_prefixes.size(); ++pos) {
        if(key.starts_with(internal::key_prefixes[pos])) {
            auto const name = key.substr(internal::key_prefixes[pos].size());
            auto const kind = static_cast<record_kind>(pos);
            return kind == record_kind::progress ? internal::parse_progress_name(name)
                                                 : std::optional{parsed_record_key{kind, std::string{name}}};
        }
    }
    return std::nullopt;
}

keyed_record encode(job_definition const &job) {
    wire::job_record record;
    record.set_queue(job.queue);
    record.set_account(job.account);
    record.set_payload(job.payload);
    record.set_accepted_at(job.accepted_at.time_since_epoch().count());
    for(auto const &step: job.steps) {
        *record.add_steps() = internal::to_wire(step);
    }
    if(job.terms) {
        *record.mutable_terms() = internal::to_wire(*job.terms);
    }
    record.set_path_hash(job.path_hash);
    return {internal::key_of(record_kind::job, job.id), record.SerializeAsString()};
}

keyed_record encode(std::string const &id, job_progress const &progress) {
    wire::progress_record record;
    record.set_phase(static_cast<std::uint32_t>(progress.phase));
    for(auto const &task: progress.tasks) {
        auto *row = record.add_tasks();
        row->set_step(task.step);
        row->set_index(task.index);
        row->set_run(task.run);
        row->set_failures(task.failures);
        row->set_failed_run(task.failed_run);
        row->set_done(task.done);
        row->set_worker(task.worker);
        row->set_checkpoint(task.checkpoint);
    }
    auto key = progress.part ? internal::part_key_of(id, *progress.part) : internal::key_of(record_kind::progress, id);
    return {std::move(key), record.SerializeAsString()};
}

keyed_record encode(leader_claim const &claim) {
    wire::leader_record record;
    record.set_term(claim.term);
    record.set_name(claim.name);
    record.set_peer_address(claim.peer_address);
    record.set_resigned(claim.resigned);
    record.set_processor_millicores(claim.processor_millicores);
    record.set_observes_lapses(claim.observes_lapses);
    return {std::string{internal::leader_key}, record.SerializeAsString()};
}

std::string key_before_claims() {
    return std::string{internal::key_before_leader};
}

keyed_record encode_cancellation(std::string const &id, instant const requested_at) {
    return {internal::key_of(record_kind::cancellation, id), std::to_string(requested_at.time_since_epoch().count())};
}

keyed_record encode_lapse(std::string const &worker, std::optional<millis> const remaining) {
    keyed_record result{internal::key_of(record_kind::lapse, worker), std::nullopt};
    if(remaining) {
        wire::lapse_record record;
        record.set_remaining_ms(static_cast<std::uint64_t>(std::max(millis{}, *remaining).count()));
        result.value = record.SerializeAsString();
    }
    return result;
}

keyed_record encode_probe(std::string const &sender) {
    return {std::string{internal::probe_key}, sender};
}

keyed_record encode_part_removal(std::string const &id, std::uint32_t const part) {
    return {internal::part_key_of(id, part), std::nullopt};
}

std::vector<keyed_record> encode_removal(std::string const &id) {
    return {{internal::key_of(record_kind::job, id), std::nullopt},
        {internal::key_of(record_kind::progress, id), std::nullopt},
        {internal::key_of(record_kind::cancellation, id), std::nullopt}};
}

std::optional<job_definition> decode_job(std::string id, std::string_view const bytes) {
    auto const record = internal::parse<wire::job_record>(bytes);
    if(!record) {
        return std::nullopt;
    }
    job_definition job;
    job.id = std::move(id);
    job.queue = record->queue();
    job.account = record->account();
    job.payload = record->payload();
    job.accepted_at = instant{millis{record->accepted_at()}};
    for(auto const &step: record->steps()) {
        job.steps.push_back(internal::from_wire(step));
    }
    if(record->has_terms()) {
        job.terms = internal::from_wire(record->terms());
    }
    job.path_hash = record->path_hash();
    return job;
}

std::optional<job_progress> decode_progress(std::string_view const bytes) {
    auto const record = internal::parse<wire::progress_record>(bytes);
    if(!record || record->phase() > static_cast<std::uint32_t>(job_phase::cancelled)) {
        return std::nullopt;
    }
    job_progress progress{static_cast<job_phase>(record->phase()), {}};
    for(auto const &row: record->tasks()) {
        progress.tasks.push_back({row.step(), row.index(), row.run(), row.failures(), row.failed_run(), row.done(),
            row.worker(), row.checkpoint()});
    }
    return progress;
}

std::optional<instant> decode_cancellation(std::string_view const bytes) noexcept {
    std::int64_t ms{};
    auto const parsed = std::from_chars(bytes.data(), bytes.data() + bytes.size(), ms);
    auto const is_number = parsed.ec == std::errc{} && parsed.ptr == bytes.data() + bytes.size();
    auto const is_time = is_number && ms > internal::untimed_cancellation;
    return is_time ? std::optional{instant{millis{ms}}} : std::nullopt;
}

std::optional<millis> decode_lapse(std::string_view const bytes) {
    auto const record = internal::parse<wire::lapse_record>(bytes);
    if(!record || record->remaining_ms() > static_cast<std::uint64_t>(internal::max_duration)) {
        return std::nullopt;
    }
    return millis{static_cast<std::int64_t>(record->remaining_ms())};
}

std::optional<leader_claim> decode_leader(std::string_view const bytes) {
    auto const record = internal::parse<wire::leader_record>(bytes);
    if(!record) {
        return std::nullopt;
    }
    return leader_claim{record->term(), record->name(), record->peer_address(), record->resigned(),
        record->processor_millicores(), record->observes_lapses()};
}

} // namespace kingcuplink
