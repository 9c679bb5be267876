#include "scripted_site.hpp"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <fcntl.h>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <thread>
#include <utility>

namespace kingcuplink::test {

namespace {

constexpr auto max_run_time = std::chrono::seconds{5};
constexpr std::size_t worker_count = 2u;
/*! Slow enough for a leader to have starts relayed after three jobs within a second. */
constexpr std::uint32_t scripted_link_mbps = 1u;
/*! Number of the latest appends of a writer whose repetitions the log answers like the first time. */
constexpr std::size_t recent_append_count = 5u;
/*! Delay of the log's answer to a read without new records. */
constexpr millis read_pause{5};

} // namespace

boost::asio::awaitable<append_answer> memory_log::append(log_stream const stream, std::vector<keyed_record> records,
    std::optional<log_writer> const writer, millis const timeout) {
    if(writer) {
        append_gaps.push_back(std::chrono::duration_cast<millis>(current_time() - executed_at_));
    }
    auto took = append_time;
    if(max_append_wait) {
        auto const now = current_time();
        free_at_ = std::max(free_at_, now);
        auto const wait = std::chrono::duration_cast<millis>(free_at_ - now);
        longest_append_wait = std::max(longest_append_wait, wait);
        if(wait > *max_append_wait) {
            ++refused_appends;
            co_return append_answer{append_outcome::refused, 0u};
        }
        free_at_ += append_time;
        took += wait;
    }
    if(took > timeout) {
        auto const executor = co_await boost::asio::this_coro::executor;
        boost::asio::co_spawn(executor, execute_later(stream, std::move(records), writer, took), boost::asio::detached);
        co_await pause(timeout);
        co_return append_answer{append_outcome::unknown, 0u};
    }
    if(took > millis{}) {
        co_await pause(took);
    }
    co_return execute(stream, std::move(records), writer);
}

boost::asio::awaitable<void> memory_log::execute_later(log_stream const stream, std::vector<keyed_record> records,
    std::optional<log_writer> const writer, millis const delay) {
    co_await pause(delay);
    execute(stream, std::move(records), writer);
}

void memory_log::occupy(millis const time) {
    free_at_ = std::max(free_at_, current_time()) + time;
}

append_answer memory_log::execute(
    log_stream const stream, std::vector<keyed_record> records, std::optional<log_writer> const writer) {
    if(!is_up) {
        return {append_outcome::refused, 0u};
    }
    executed_at_ = current_time();
    auto &state = streams_[stream];
    auto const offset = state.first + state.records.size();
    if(writer) {
        if(writer->epoch < state.epoch) {
            return {append_outcome::fenced, 0u};
        }
        if(writer->epoch > state.epoch) {
            state.recent_appends.clear();
        } else if(auto const found = state.recent_appends.find(writer->sequence); found != state.recent_appends.end()) {
            return {append_outcome::done, found->second};
        } else if(writer->sequence != state.sequence + 1u) {
            return {append_outcome::out_of_sequence, 0u};
        }
        state.epoch = writer->epoch;
        state.sequence = writer->sequence;
        state.recent_appends.emplace(writer->sequence, offset);
        ++fenced_appends_;
        for(auto const &record: records) {
            records_by_append_.emplace_back(fenced_appends_, record);
        }
        if(state.recent_appends.size() > recent_append_count) {
            state.recent_appends.erase(state.recent_appends.begin());
        }
    }
    for(auto &record: records) {
        add(std::move(record), stream);
    }
    return {append_outcome::done, offset};
}

boost::asio::awaitable<read_answer> memory_log::read(
    log_stream const stream, std::uint64_t const from, millis const wait) {
    auto const &state = streams_[stream];
    if(is_up && from >= state.first + state.records.size() && wait > millis{}) {
        co_await pause(read_pause);
    }
    read_answer answer;
    if(!is_up) {
        co_return answer;
    }
    if(from < state.first) {
        answer.outcome = read_outcome::expired;
        co_return answer;
    }
    answer.outcome = read_outcome::done;
    answer.next = state.first + state.records.size();
    auto const skipped = static_cast<std::ptrdiff_t>(std::min<std::uint64_t>(from - state.first, state.records.size()));
    answer.records.assign(state.records.begin() + skipped, state.records.end());
    answer.end = answer.next;
    if(answer.records.size() > max_records_per_read) {
        answer.records.resize(max_records_per_read);
        answer.next = from + max_records_per_read;
    }
    co_return answer;
}

boost::asio::awaitable<newest_page> memory_log::newest(log_stream const stream, std::string const after) {
    newest_page page;
    auto const &state = streams_[stream];
    page.answered = is_up;
    page.end = state.first + state.records.size();
    for(auto entry = state.newest.upper_bound(after); entry != state.newest.end(); ++entry) {
        page.records.push_back(entry->second);
    }
    co_return page;
}

boost::asio::awaitable<std::optional<std::uint64_t>> memory_log::end(
    log_stream const stream, std::uint64_t const from) {
    auto const is_retained = is_up && from >= streams_[stream].first;
    co_return is_retained ? std::optional{end_offset(stream)} : std::nullopt;
}

boost::asio::awaitable<append_answer> gated_log::append(log_stream const stream, std::vector<keyed_record> records,
    std::optional<log_writer> const writer, millis const timeout) {
    ++appends;
    if(loses_appends) {
        co_return append_answer{append_outcome::unknown, 0u};
    }
    if(!is_open || refuses_appends) {
        co_return append_answer{append_outcome::refused, 0u};
    }
    co_return co_await log_.append(stream, std::move(records), writer, timeout);
}

boost::asio::awaitable<read_answer> gated_log::read(
    log_stream const stream, std::uint64_t const from, millis const wait) {
    if(!is_open) {
        co_return read_answer{};
    }
    auto answer = co_await log_.read(stream, from, wait);
    if(stream == log_stream::jobs && jobs_read_limit && answer.next > *jobs_read_limit) {
        auto const is_unread = [this](auto const &record) { return record.offset >= *jobs_read_limit; };
        std::erase_if(answer.records, is_unread);
        answer.next = std::max(from, *jobs_read_limit);
        co_await pause(read_pause);
    }
    records_read += stream == log_stream::jobs ? answer.records.size() : 0u;
    co_return answer;
}

boost::asio::awaitable<std::optional<std::uint64_t>> gated_log::end(log_stream const stream, std::uint64_t const from) {
    if(!is_open) {
        co_return std::nullopt;
    }
    co_return co_await log_.end(stream, from);
}

boost::asio::awaitable<newest_page> gated_log::newest(log_stream const stream, std::string after) {
    auto const is_snapshot = stream == log_stream::jobs && after.empty();
    has_begun_snapshot = has_begun_snapshot || is_snapshot;
    while(is_snapshot && holds_snapshot) {
        co_await pause(read_pause);
    }
    if(!is_open) {
        co_return newest_page{};
    }
    co_return co_await log_.newest(stream, std::move(after));
}

void memory_log::add(keyed_record record, log_stream const stream) {
    auto &state = streams_[stream];
    record.offset = state.first + state.records.size();
    if(record.value) {
        state.newest[record.key] = record;
    } else {
        state.newest.erase(record.key);
    }
    state.records.push_back(std::move(record));
}

void memory_log::compact_before(std::uint64_t const offset) {
    auto &state = streams_[log_stream::jobs];
    while(state.first < offset && !state.records.empty()) {
        state.records.erase(state.records.begin());
        ++state.first;
    }
}

std::uint64_t memory_log::end_offset(log_stream const stream) {
    return streams_[stream].first + streams_[stream].records.size();
}

boost::asio::awaitable<poll_answer> memory_workers::poll(
    worker_target const target, poll_request const request, millis) {
    auto &item = workers_[target.name];
    poll_answer answer;
    if(request.token < item.token) {
        answer.outcome = poll_outcome::fenced;
        co_return answer;
    }
    item.token = request.token;
    std::erase_if(item.ended, [&request](auto const &end) { return end.number <= request.kept_end; });
    polls_with_ended_runs_ += item.ended.empty() ? 0u : 1u;
    answer.outcome = poll_outcome::answered;
    answer.inventory = {1u, item.running, item.ended};
    answer.clock = 1'000;
    co_return answer;
}

boost::asio::awaitable<start_answer> memory_workers::start(
    worker_target const target, run_start const run, std::uint64_t const token, std::int64_t, millis const timeout) {
    if(++commands_[run.key] > unanswered_commands) {
        co_return execute_start(target.name, run.key, token);
    }
    if(lost == lost_command::answer_lost) {
        execute_start(target.name, run.key, token);
    } else if(lost == lost_command::late) {
        late_.push_back({target.name, run.key, token});
    }
    co_await pause(timeout);
    co_return start_answer::unknown;
}

start_answer memory_workers::execute_start(std::string const &name, run_key const &key, std::uint64_t const token) {
    auto &item = workers_[name];
    if(token < item.token) {
        return start_answer::fenced;
    }
    item.token = token;
    auto const is_running = std::any_of(
        item.running.begin(), item.running.end(), [&key](auto const &listed) { return listed.key == key; });
    if(is_running) {
        return start_answer::started;
    }
    if(key.run <= item.closed[{key.job, key.step, key.index}]) {
        return start_answer::outdated;
    }
    ++starts_;
    item.running.push_back({key, {}});
    return start_answer::started;
}

void memory_workers::end(worker &item, run_key const &key, run_outcome const how) {
    item.ended.push_back({item.next_end++, key, how, {}});
    auto &closed = item.closed[{key.job, key.step, key.index}];
    closed = std::max(closed, key.run);
}

boost::asio::awaitable<bool> memory_workers::stop(
    worker_target const target, run_key const run, std::uint64_t, millis) {
    auto &item = workers_[target.name];
    auto &closed = item.closed[{run.job, run.step, run.index}];
    closed = std::max(closed, run.run);
    std::erase_if(item.running, [&](auto const &listed) {
        if(listed.key != run) {
            return false;
        }
        end(item, run, run_outcome::stopped);
        return true;
    });
    co_return true;
}

void memory_workers::end_all() {
    for(auto &[name, item]: workers_) {
        for(auto const &run: item.running) {
            end(item, run.key, run_outcome::done);
        }
        item.running.clear();
    }
}

void memory_workers::deliver_late_starts(std::size_t const most) {
    auto const end = late_.begin() + static_cast<std::ptrdiff_t>(std::min(most, late_.size()));
    for(auto command = late_.begin(); command != end; ++command) {
        execute_start(command->worker, command->key, command->token);
    }
    late_.erase(late_.begin(), end);
}

std::vector<run_key> memory_workers::running() const {
    std::vector<run_key> keys;
    for(auto const &[name, item]: workers_) {
        for(auto const &run: item.running) {
            keys.push_back(run.key);
        }
    }
    return keys;
}

std::size_t memory_workers::runs() const {
    std::size_t count{};
    for(auto const &[name, item]: workers_) {
        count += item.running.size();
    }
    return count;
}

registration_reading plain_decoder::worker(std::string_view const key, std::string_view) {
    if(!services_.contains("service") && !admitted_services_.contains("service")) {
        return {std::nullopt, "service"};
    }
    worker_registration entry;
    entry.name = key;
    entry.service = "service";
    entry.address = "127.0.0.1:1";
    entry.domain = "domain";
    entry.capacity = {64'000, 65'536, 0};
    entry.boot = 1u;
    return {std::move(entry), {}};
}

bool plain_decoder::apply(keyed_record const &record, site_rules &rules) {
    auto const &version = versions_.at(record.value.value_or(std::string{}));
    rules.version = version.number;
    rules.queues = version.queues;
    services_ = version.services;
    account_rules account;
    account.name = "account";
    account.keys = {"key"};
    account.weight = 100.0;
    rules.accounts = {account};
    return true;
}

void plain_decoder::admit_service(std::string_view const service) {
    admitted_services_.emplace(service);
}

boost::asio::awaitable<std::optional<std::vector<advice_grant>>> approving_adviser::ask(
    advice_query const query, millis) {
    std::vector<advice_grant> grants;
    for(auto const &worker: query.workers) {
        grants.push_back({worker, "ticket"});
    }
    co_return grants;
}

scripted_site::vm::vm(scripted_site &site, std::string name, std::string address, std::uint32_t const millicores)
    : decisions{::open("/dev/null", O_WRONLY | O_CLOEXEC), name}, log{site.log}, decoder{site.versions} {
    settings.name = std::move(name);
    settings.failure_domain = "domain";
    settings.peer_address = std::move(address);
    settings.processor_millicores = millicores;
    settings.link_mbps = scripted_link_mbps;
    node = std::make_unique<site_node>(
        node_parts{context, settings, stats, times, decisions, log, decoder, site.workers, adviser});
    node->start();
}

scripted_site::scripted_site(std::size_t const count) : scripted_site{std::vector<std::uint32_t>(count, 0u)} {}

scripted_site::scripted_site(std::span<std::uint32_t const> const millicores) {
    versions.emplace("rules", scripted_version{1u, {queue()}});
    log.add({"config", "rules"}, log_stream::rules);
    for(std::size_t pos{}; pos < worker_count; ++pos) {
        log.add({"w" + std::to_string(pos), "entry"}, log_stream::workers);
    }
    for(auto const amount: millicores) {
        add_vm(amount);
    }
}

void scripted_site::add_vm(std::uint32_t const millicores) {
    auto const pos = vms.size();
    vms.push_back(std::make_unique<vm>(*this, "vm" + std::to_string(pos), ports.take_address(), millicores));
}

void scripted_site::run_until(std::function<bool()> const &condition) {
    auto const limit = std::chrono::steady_clock::now() + max_run_time;
    while(!condition() && std::chrono::steady_clock::now() < limit) {
        for(auto const &item: vms) {
            if(item->is_alive) {
                item->context.restart();
                item->context.poll();
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
}

void scripted_site::run_for(millis const time) {
    auto const end = std::chrono::steady_clock::now() + time;
    run_until([end]() { return std::chrono::steady_clock::now() >= end; });
}

caller_answer scripted_site::ask(std::size_t const pos, caller_operation const operation, std::string const &id,
    std::string const &host, std::string const &key, std::string const &path_prefix) {
    caller_request request;
    request.operation = operation;
    request.host = host;
    request.path = path_prefix + id;
    request.key = key;
    if(operation == caller_operation::submit) {
        request.draft = job(id);
    }
    return serve(pos, std::move(request));
}

caller_answer scripted_site::submit(std::size_t const pos, job_definition job) {
    return serve(pos, submission(std::move(job)));
}

void scripted_site::begin(std::size_t const pos, caller_request request, std::function<void(caller_answer)> on_answer) {
    boost::asio::co_spawn(vms[pos]->context, vms[pos]->node->serve(std::move(request)),
        [on_answer = std::move(on_answer)](std::exception_ptr const &error, caller_answer answer) {
            if(error) {
                std::rethrow_exception(error);
            }
            on_answer(std::move(answer));
        });
}

caller_request scripted_site::submission(job_definition job) {
    caller_request request;
    request.operation = caller_operation::submit;
    request.host = "host";
    request.path = "/p/" + job.id;
    request.key = "key";
    request.draft = std::move(job);
    return request;
}

caller_answer scripted_site::serve(std::size_t const pos, caller_request request) {
    std::optional<caller_answer> result;
    begin(pos, std::move(request), [&result](caller_answer answer) { result = std::move(answer); });
    run_until([&result]() { return result.has_value(); });
    return result.value_or(caller_answer{problem{refusal::outcome_unknown, "no answer"}, std::nullopt, std::nullopt});
}

void scripted_site::change_rules(scripted_version version) {
    auto const line = "kingcuplink_rules_version " + std::to_string(version.number) + "\n";
    auto const text = "rules " + std::to_string(version.number);
    versions.insert_or_assign(text, std::move(version));
    log.add({"config", text}, log_stream::rules);
    run_until([&]() {
        return std::all_of(vms.begin(), vms.end(),
            [&](auto const &item) { return !item->is_alive || item->node->metrics().find(line) != std::string::npos; });
    });
}

void scripted_site::replace_all_vms() {
    log.compact_before(log.end_offset());
    auto const count = vms.size();
    for(std::size_t pos{}; pos < count; ++pos) {
        vms[pos]->is_alive = false;
        add_vm();
    }
}

void scripted_site::restart_vm(std::size_t const pos) {
    auto const settings = vms[pos]->settings;
    // The address can be bound again once the former process has released it.
    vms[pos].reset();
    vms[pos] = std::make_unique<vm>(*this, settings.name, settings.peer_address, settings.processor_millicores);
}

queue_rules scripted_site::queue() {
    queue_rules queue;
    queue.name = "queue";
    queue.host = "host";
    queue.path_prefix = "/p/";
    queue.service = "service";
    queue.max_attempts = 2u;
    queue.advice = advice_terms{millis{10}, 100, millis{2'000}};
    return queue;
}

job_definition scripted_site::job(std::string id) {
    job_definition result;
    result.id = std::move(id);
    result.queue = "queue";
    result.account = "account";
    result.payload = std::string(payload_bytes, 'x');
    result.accepted_at = current_time();
    step_definition step;
    step.count = 2u;
    step.task_size = {1'000, 256, 0};
    step.estimate = millis{1'000};
    result.steps.push_back(step);
    return result;
}

site_node *scripted_site::leader() {
    for(auto const &item: vms) {
        if(item->is_alive && item->node->leads()) {
            return item->node.get();
        }
    }
    return nullptr;
}

std::size_t scripted_site::leading() const {
    auto const leads = [](auto const &item) { return item->is_alive && item->node->leads(); };
    return static_cast<std::size_t>(std::find_if(vms.begin(), vms.end(), leads) - vms.begin());
}

void scripted_site::cut_messages_to(std::size_t const pos) {
    // Its next introduction tells the leader an address at which nobody listens.
    vms[pos]->settings.peer_address = ports.take_address();
}

void scripted_site::stop_reads_of(std::size_t const pos) {
    vms[pos]->log.jobs_read_limit = log.end_offset();
}

std::size_t scripted_site::follower() const {
    return vms[0]->node->leads() ? 1u : 0u;
}

void scripted_site::kill_leader() {
    for(auto const &item: vms) {
        if(item->node->leads()) {
            item->is_alive = false;
        }
    }
}

std::size_t scripted_site::survivor() const {
    auto const found = std::find_if(vms.begin(), vms.end(), [](auto const &item) { return item->is_alive; });
    return static_cast<std::size_t>(found - vms.begin());
}

} // namespace kingcuplink::test
