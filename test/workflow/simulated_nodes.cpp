#include "simulated_fleet.hpp"

#include <algorithm>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink::test {

namespace {

/*! Additional delay of a late append. */
constexpr millis min_append_delay{1'000};
constexpr millis max_append_delay{6'000};
/*! Time limit of an entry VM for an answer of the log. */
constexpr millis log_timeout{1'200};
/*! Duration of reading a page of a snapshot. */
constexpr millis min_page_time{2};
constexpr millis max_page_time{200};
/*! Number of records in a page. */
constexpr std::size_t page_records = 20u;

/*! Returns the key under which the log retains the newest record. */
std::string key_of(log_record const &record) {
    struct visitor {
        std::string operator()(job_definition const &job) const {
            return "job/" + job.id;
        }
        std::string operator()(progress_record const &item) const {
            auto const key = "progress/" + item.job;
            return item.progress.part ? key + "/" + std::to_string(*item.progress.part) : key;
        }
        std::string operator()(cancellation_record const &item) const {
            return "cancel/" + item.job;
        }
        std::string operator()(lapse_record const &item) const {
            return "lapse/" + item.worker;
        }
        std::string operator()(claim_record const &) const {
            return "leader";
        }
    };
    return std::visit(visitor{}, record);
}

} // namespace

log_failure const *simulated_fleet::log_failure_at(std::size_t const node) const {
    auto const found = std::find_if(log_failures_.begin(), log_failures_.end(),
        [&](auto const &item) { return item.until > queue_.now() && item.node.value_or(node) == node; });
    return found == log_failures_.end() ? nullptr : &*found;
}

simulated_log::answer simulated_fleet::execute_append(
    std::size_t const node, std::vector<log_record> const &records, std::optional<append_writer> const writer) {
    auto const before = log_.records().size();
    auto const answer = log_.append(records, writer);
    for(auto pos = before; pos < log_.records().size(); ++pos) {
        auto const &record = log_.records()[pos];
        commit_times_.push_back(queue_.now());
        if(auto const *claim = std::get_if<claim_record>(&record); claim != nullptr) {
            trace({},
                "the log commits the " + std::string{claim->resigned ? "resignation" : "claim"} + " of " +
                    claim->leader + " with term " + std::to_string(claim->term));
        }
        auto const *item = std::get_if<progress_record>(&record);
        if(item == nullptr) {
            continue;
        }
        for(auto const &task: item->progress.tasks) {
            run_key const key{item->job, task.step, task.index, task.run};
            if(!task.worker.empty()) {
                checker_.record_intent(key, task.worker);
            }
            if(!setup_.records_timeline) {
                continue;
            }
            trace(item->job,
                "the log commits " + text_of(key) + (task.done ? " done" : "") + " failures " +
                    std::to_string(task.failures) + " worker '" + task.worker + "' by " + nodes_[node].name);
        }
        if(is_final(item->progress.phase) && ended_.emplace(item->job, item->progress.phase).second) {
            trace(item->job, "the log commits the job as " + std::string{name_of(item->progress.phase)});
            if(item->progress.phase == job_phase::done) {
                checker_.show_done(item->job);
            }
            auto const &steps = jobs_.at(item->job).steps;
            auto const has_exhausted_attempts = [&]() {
                for(std::uint32_t step{}; step < steps.size(); ++step) {
                    std::uint32_t sum{};
                    for(std::uint32_t index{}; index < steps[step].count; ++index) {
                        auto const failures = checker_.failures({item->job, step, index});
                        sum += failures;
                        if(!steps[step].gang && failures >= max_attempts) {
                            return true;
                        }
                    }
                    if(steps[step].gang && sum >= max_attempts) {
                        return true;
                    }
                }
                return false;
            };
            if(item->progress.phase == job_phase::failed && !has_exhausted_attempts()) {
                checker_.report({item->job, 0u, 0u, 0u}, "failed without exhausted attempts: " + item->job);
            }
        }
    }
    return answer;
}

void simulated_fleet::append(std::size_t const node, std::vector<log_record> records, append_writer const writer,
    std::function<void(simulated_log::answer)> done) {
    auto const is_finished = std::make_shared<bool>(false);
    std::function<void(simulated_log::answer)> const finish = [this, node, is_finished, done = std::move(done)](
                                                                  simulated_log::answer const &result) {
        on_node(node, millis{}, [is_finished, done, result]() {
            if(!std::exchange(*is_finished, true)) {
                done(result);
            }
        });
    };
    on_node(node, log_timeout, [finish]() { finish({append_result::unknown, 0u}); });
    on_node(node, delay(), [=, this, records = std::move(records)]() {
        auto const *failure = log_failure_at(node);
        auto const is_affected = failure != nullptr && chance(failure->probability);
        if(is_affected && failure->kind == log_failure_kind::rejections) {
            queue_.after(delay(), [finish]() { finish({append_result::refused, 0u}); });
            return;
        }
        if(is_affected && failure->kind == log_failure_kind::unreachable) {
            return;
        }
        if(is_affected && failure->kind == log_failure_kind::held_appends) {
            queue_.after(failure->until - queue_.now() + delay(), [=, this]() {
                auto const answer = execute_append(node, records, writer);
                queue_.after(delay(), [=]() { finish(answer); });
            });
            return;
        }
        auto const is_late = is_affected && failure->kind == log_failure_kind::late_appends;
        auto const time = draw(millis{8}, millis{30}) + (is_late ? draw(min_append_delay, max_append_delay) : millis{});
        queue_.after(time, [=, this]() {
            auto const answer = execute_append(node, records, writer);
            if(!is_affected) {
                queue_.after(delay(), [=]() { finish(answer); });
            }
        });
    });
}

std::size_t simulated_fleet::readable_records(std::size_t const node) const {
    auto const found = std::find_if(stale_reads_.begin(), stale_reads_.end(),
        [&](auto const &item) { return item.until > queue_.now() && item.node.value_or(node) == node; });
    if(found == stale_reads_.end()) {
        return commit_times_.size();
    }
    auto const end = std::upper_bound(commit_times_.begin(), commit_times_.end(), queue_.now() - found->lag);
    return static_cast<std::size_t>(end - commit_times_.begin());
}

void simulated_fleet::read_log(std::size_t const node) {
    if(nodes_[node].snapshot) {
        read_snapshot_page(node);
        return;
    }
    auto const sent_at = queue_.now();
    on_node(node, delay(), [this, node, sent_at]() {
        auto const *failure = log_failure_at(node);
        auto const is_blocked = failure != nullptr && failure->kind >= log_failure_kind::rejections &&
            chance(failure->probability);
        if(is_blocked) {
            on_node(node, millis{400}, [this, node]() { read_log(node); });
            return;
        }
        auto const first = nodes_[node].offset;
        auto const last = std::max(first, readable_records(node));
        std::vector<log_record> const records{log_.records().begin() + static_cast<std::ptrdiff_t>(first),
            log_.records().begin() + static_cast<std::ptrdiff_t>(last)};
        on_node(node, delay(), [this, node, sent_at, records]() {
            nodes_[node].read_at = sent_at;
            for(auto const &record: records) {
                ++nodes_[node].offset;
                apply(node, record);
            }
            auto const spacing = nodes_[node].is_claiming ? timing::claimant_read_spacing
                : nodes_[node].leader_role != nullptr     ? timing::leader_read_spacing
                                                          : timing::follower_read_spacing;
            on_node(node, spacing, [this, node]() { read_log(node); });
        });
    });
}

void simulated_fleet::read_snapshot_page(std::size_t const node) {
    on_node(node, draw(min_page_time, max_page_time), [this, node]() {
        auto &snapshot = *nodes_[node].snapshot;
        if(log_failure_at(node) != nullptr && chance(log_failure_at(node)->probability)) {
            snapshot = {};
            on_node(node, timing::log_retry, [this, node]() { read_log(node); });
            return;
        }
        snapshot.offset = snapshot.after.empty() ? log_.records().size() : snapshot.offset;
        std::map<std::string, log_record> newest;
        for(auto const &record: log_.records()) {
            newest.insert_or_assign(key_of(record), record);
        }
        auto next = newest.upper_bound(snapshot.after);
        for(std::size_t count{}; count < page_records && next != newest.end(); ++count, ++next) {
            snapshot.records.insert_or_assign(next->first, next->second);
            snapshot.after = next->first;
        }
        if(next != newest.end()) {
            read_snapshot_page(node);
            return;
        }
        auto const complete = std::move(snapshot);
        nodes_[node].snapshot.reset();
        nodes_[node].offset = complete.offset;
        nodes_[node].watch.record_leader_activity(queue_.now());
        nodes_[node].lapses.clear();
        // Jobs are defined before records that refer to them are applied.
        for(auto const prefix: {"job/", "progress/", "cancel/", "lapse/", "leader"}) {
            for(auto const &[key, record]: complete.records) {
                if(key.starts_with(prefix)) {
                    apply(node, record);
                }
            }
        }
        read_log(node);
    });
}

void simulated_fleet::apply(std::size_t const node, log_record const &record) {
    auto &entry = nodes_[node];
    auto const now = queue_.now();
    if(auto const *job = std::get_if<job_definition>(&record); job != nullptr) {
        if(entry.table.define(*job) && entry.leader_role != nullptr) {
            entry.leader_role->add_job(*entry.table.find(job->id));
        }
    } else if(auto const *item = std::get_if<progress_record>(&record); item != nullptr) {
        entry.watch.record_leader_activity(now);
        entry.table.advance(item->job, item->progress, now);
    } else if(auto const *claim = std::get_if<claim_record>(&record); claim != nullptr) {
        entry.watch.apply_claim({claim->term, claim->leader, {}, claim->resigned}, now);
        if(entry.leader_role != nullptr && entry.watch.claim().term > entry.leader_role->term()) {
            entry.leader_role->end();
            hosts_[node]->fenced();
        }
    } else if(auto const *request = std::get_if<cancellation_record>(&record); request != nullptr) {
        if(entry.table.cancel(request->job, now) && entry.leader_role != nullptr) {
            entry.leader_role->cancel_job(request->job);
        }
    } else if(auto const *lapse = std::get_if<lapse_record>(&record); lapse != nullptr) {
        if(lapse->remaining) {
            entry.lapses[lapse->worker] = now + *lapse->remaining;
        } else {
            entry.lapses.erase(lapse->worker);
        }
    }
}

void simulated_fleet::start_node(std::size_t const node) {
    auto &entry = nodes_[node];
    entry.name = "n" + std::to_string(node);
    entry.watch = leader_watch{entry.name, 0u};
    entry.watch.record_leader_activity(queue_.now());
    read_log(node);
    watch_leader(node);
}

void simulated_fleet::watch_leader(std::size_t const node) {
    on_node(node, millis{50}, [this, node]() {
        auto const &entry = nodes_[node];
        auto const is_idle = entry.leader_role == nullptr && !entry.is_claiming;
        if(is_idle && entry.watch.reason_to_claim(entry.read_at, queue_.now())) {
            claim(node);
        }
        watch_leader(node);
    });
}

void simulated_fleet::claim(std::size_t const node) {
    nodes_[node].is_claiming = true;
    auto const upper = std::int64_t{1} << 40;
    append_claim(node, nodes_[node].watch.claim().term + 1u, static_cast<std::uint64_t>(draw(1, upper)), queue_.now());
}

void simulated_fleet::append_claim(
    std::size_t const node, std::uint64_t const term, std::uint64_t const sequence, instant const claimed_at) {
    append(node, {claim_record{term, nodes_[node].name}}, {term, sequence},
        [this, node, term, sequence, claimed_at](simulated_log::answer const &answer) {
            auto &entry = nodes_[node];
            if(answer.first == append_result::unknown) {
                on_node(node, timing::log_retry, [this, node, term, sequence, claimed_at]() {
                    if(nodes_[node].watch.claim().term < term) {
                        append_claim(node, term, sequence, claimed_at);
                        return;
                    }
                    nodes_[node].watch.record_failed_claim(queue_.now());
                    nodes_[node].is_claiming = false;
                });
                return;
            }
            if(answer.first != append_result::done) {
                entry.watch.record_failed_claim(queue_.now());
                entry.is_claiming = false;
                return;
            }
            begin_leadership(node, term, sequence, claimed_at, answer.second);
        });
}

void simulated_fleet::begin_leadership(std::size_t const node, std::uint64_t const term, std::uint64_t const sequence,
    instant const claimed_at, std::size_t const offset) {
    auto &entry = nodes_[node];
    if(entry.offset <= offset) {
        on_node(node, timing::claimant_read_spacing,
            [=, this]() { begin_leadership(node, term, sequence, claimed_at, offset); });
        return;
    }
    entry.is_claiming = false;
    if(entry.watch.claim().term != term) {
        return;
    }
    ++terms_;
    trace({}, entry.name + " becomes leader with term " + std::to_string(term));
    entry.leader_role = std::make_shared<simulated_leader>(
        *hosts_[node], entry.name, term, sequence, claimed_at, setup_.lease_limit, setup_.defers_starts);
    entry.leader_role->set_rules(rules_);
    std::vector<job_entry const *> entries;
    for(auto const &[id, job]: entry.table.jobs()) {
        entries.push_back(&job);
    }
    std::sort(entries.begin(), entries.end(),
        [](auto const *lhs, auto const *rhs) { return lhs->definition.accepted_at < rhs->definition.accepted_at; });
    for(auto const &[worker, at]: entry.lapses) {
        entry.leader_role->adopt_lapse(worker, at);
    }
    for(auto const *job: entries) {
        entry.leader_role->add_job(*job);
    }
    entry.leader_role->start();
}

instant node_host::now() {
    auto &node = fleet_.nodes_[node_];
    if(node.midway_pause > millis{} && node.readings_until_pause-- == 0u) {
        node.paused_until = fleet_.queue_.now() + std::exchange(node.midway_pause, millis{});
        fleet_.trace({}, node.name + " is paused midway until " + fleet_.format_time(node.paused_until));
    }
    return std::max(fleet_.queue_.now(), node.paused_until);
}

void node_host::after(millis const delay, action callback) {
    fleet_.on_node(node_, delay, std::move(callback));
}

void node_host::post(action callback) {
    after(fleet_.draw(millis{}, millis{3}), std::move(callback));
}

void node_host::append(
    std::vector<log_record> records, append_writer const writer, std::function<void(append_result)> done) {
    fleet_.append(node_, std::move(records), writer,
        [done = std::move(done)](simulated_log::answer const &answer) { done(answer.first); });
}

void node_host::read_registrations(std::function<void(std::optional<std::vector<worker_registration>>)> done) {
    auto const *failure = fleet_.log_failure_at(node_);
    if(failure != nullptr && failure->kind >= log_failure_kind::rejections && fleet_.chance(failure->probability)) {
        after(millis{400}, [done = std::move(done)]() { done(std::nullopt); });
        return;
    }
    std::vector<worker_registration> entries;
    for(auto const &[name, entry]: fleet_.registry_) {
        entries.push_back(entry);
    }
    after(fleet_.delay(), [done = std::move(done), entries = std::move(entries)]() { done(entries); });
}

void node_host::show_end(std::string const &job, job_phase const phase) {
    if(phase == job_phase::done) {
        fleet_.checker_.show_done(job);
    }
}

void node_host::send_heartbeat(std::uint64_t const term, millis const log_age, millis const append_time) {
    for(std::size_t pos{}; pos < fleet_.nodes_.size(); ++pos) {
        if(pos != node_) {
            fleet_.on_node(pos, fleet_.delay(), [this, pos, term, log_age, append_time]() {
                fleet_.nodes_[pos].watch.record_heartbeat({term, log_age, append_time, 0u}, now());
            });
        }
    }
}

void node_host::trace(std::string const &job, std::string const &text) {
    fleet_.trace(job, text);
}

void node_host::report_unknown_run(unknown_run const &run) {
    fleet_.checker_.count_unknown_run(run.latest_run > 0u);
}

void node_host::report_repeated_start() {
    fleet_.checker_.count_repeated_start();
}

void node_host::fenced() {
    fleet_.trace({}, fleet_.nodes_[node_].name + " is no longer leader");
    fleet_.nodes_[node_].watch.record_leader_activity(now());
    fleet_.nodes_[node_].leader_role = nullptr;
}

} // namespace kingcuplink::test
