#include "simulated_leader.hpp"

#include <algorithm>
#include <kingcuplink/site/leader_limits.hpp>
#include <kingcuplink/site/site_settings.hpp>
#include <utility>

namespace kingcuplink::test {

simulated_leader::simulated_leader(leader_host &host, std::string name, std::uint64_t const term,
    std::uint64_t const sequence, instant const claimed_at, millis const lease_limit, bool const defers_starts)
    : host_{host},
      name_{std::move(name)},
      term_{term},
      sequence_{sequence},
      defers_starts_{defers_starts},
      dispatcher_{leader_limits(lease_limit, site_settings{}.command_delay_limit), host.now()},
      clocks_{lease_limit},
      appended_at_{claimed_at} {}

void simulated_leader::set_rules(std::shared_ptr<site_rules const> rules) {
    dispatcher_.set_rules(std::move(rules));
}

void simulated_leader::adopt_lapse(std::string const &worker, instant const at) {
    dispatcher_.adopt_lapse(worker, at);
}

void simulated_leader::add_job(job_entry const &entry) {
    dispatcher_.add_job(entry);
    notify(plan_wakeup_);
}

void simulated_leader::cancel_job(std::string const &id) {
    dispatcher_.cancel_job(id);
    notify(plan_wakeup_);
    notify(log_wakeup_);
}

void simulated_leader::resign() {
    end();
    host_.append({claim_record{term_, name_, true}}, {term_, ++sequence_}, [](append_result) {});
}

void simulated_leader::start() {
    run_registration_reader();
    run_planner();
    run_log_writer();
    run_heartbeats();
}

void simulated_leader::fenced() {
    if(!is_stopped_) {
        end();
        host_.fenced();
    }
}

void simulated_leader::wait(wakeup &event, millis const limit, leader_host::action then) {
    if(std::exchange(event.is_set, false)) {
        host_.after(millis{}, std::move(then));
        return;
    }
    event.continuation = std::move(then);
    host_.after(limit, [self = shared_from_this(), &event, generation = ++event.generation]() {
        if(event.generation == generation && event.continuation) {
            std::exchange(event.continuation, {})();
        }
    });
}

void simulated_leader::notify(wakeup &event) {
    if(event.continuation) {
        host_.after(millis{}, std::exchange(event.continuation, {}));
    } else {
        event.is_set = true;
    }
}

std::uint64_t simulated_leader::token_for(std::string const &worker) const {
    return command_token(term_, dispatcher_.command_epoch_of(worker));
}

bool simulated_leader::may_extend_leases(instant const now) const {
    return appended_at_ + timing::lease_renewal_limit > now;
}

void simulated_leader::run_registration_reader() {
    if(is_stopped_) {
        return;
    }
    host_.read_registrations([self = shared_from_this()](auto const &entries) {
        if(self->is_stopped_) {
            return;
        }
        if(entries) {
            self->apply_registrations(*entries);
            self->notify(self->plan_wakeup_);
        }
        self->host_.after(
            entries ? timing::worker_read_spacing : timing::log_retry, [self]() { self->run_registration_reader(); });
    });
}

void simulated_leader::apply_registrations(std::vector<worker_registration> const &entries) {
    std::set<std::string> present;
    for(auto const &entry: entries) {
        present.insert(entry.name);
        auto const was_held = dispatcher_.is_reconciled(entry.name);
        dispatcher_.register_worker(entry, host_.now());
        if(polled_workers_.insert(entry.name).second) {
            run_worker_polling(entry.name, false);
        } else if(was_held && !dispatcher_.is_reconciled(entry.name)) {
            poll_immediately(entry.name);
        }
    }
    for(auto const &name: polled_workers_) {
        if(!present.contains(name)) {
            dispatcher_.unregister_worker(name);
        }
    }
}

void simulated_leader::run_worker_polling(std::string const &name, bool const was_answered) {
    if(is_stopped_ || dispatcher_.find_worker(name) == nullptr) {
        polled_workers_.erase(name);
        return;
    }
    auto const seen_before = dispatcher_.seen_end(name);
    auto const is_answering = was_answered && !dispatcher_.has_failed_poll(name);
    poll_worker(name, is_answering ? poll_mode::long_poll : poll_mode::first,
        [self = shared_from_this(), name, seen_before](bool const answered) {
            auto const has_pending_ends = self->dispatcher_.has_unpersisted_completions(name) ||
                self->dispatcher_.withholds_acknowledgement(name);
            auto const has_no_progress = has_pending_ends && self->dispatcher_.seen_end(name) == seen_before;
            auto const spacing = has_no_progress ? timing::unpersisted_poll_spacing : timing::poll_spacing;
            self->host_.after(answered ? spacing : timing::poll_retry_delay,
                [self, name, answered]() { self->run_worker_polling(name, answered); });
        });
}

void simulated_leader::poll_worker(std::string const &name, poll_mode const mode, std::function<void(bool)> done) {
    auto const sent_at = host_.now();
    call_target target{name, dispatcher_.find_worker(name)->address, dispatcher_.boot_of(name)};
    auto const boot = target.boot;
    auto const is_known_boot = mode != poll_mode::first && dispatcher_.is_reconciled(name);
    auto const is_long = is_known_boot && mode == poll_mode::long_poll;
    auto const acknowledged = dispatcher_.begin_poll(name, is_long);
    poll_request request{command_token(term_, acknowledged.epoch), acknowledged.number, millis{}, std::nullopt};
    target.boot = is_known_boot ? target.boot : 0u;
    if(is_long) {
        request.wait = dispatcher_.is_leaving(name) ? timing::leaving_poll_wait : timing::poll_wait;
        if(auto const lease = clocks_.request(name, boot, sent_at, lease_for(name));
            lease && may_extend_leases(sent_at) && dispatcher_.may_extend_lease(name, lease->lapses_at)) {
            request.expires_at = lease->expires_at;
            dispatcher_.record_lease_extension(name, lease->lapses_at);
        }
    }
    host_.poll(target, request, request.wait + timing::worker_timeout,
        [self = shared_from_this(), name, address = target.address, sent_at, token = request.token, acknowledged,
            done = std::move(done)](poll_answer const *const answer) {
            if(self->is_stopped_) {
                return done(false);
            }
            if(answer != nullptr && answer->is_other_worker) {
                self->dispatcher_.worker_replaced(name, address, sent_at, self->host_.now());
                self->trace_run_changes();
                self->notify(self->plan_wakeup_);
                return done(false);
            }
            if(answer != nullptr && answer->is_fenced && token == self->token_for(name)) {
                self->fenced();
            }
            if(answer == nullptr || answer->is_fenced) {
                self->dispatcher_.poll_failed(name, sent_at);
                return done(false);
            }
            self->apply_poll_answer(name, *answer, sent_at);
            self->dispatcher_.poll_answered(name, acknowledged);
            done(true);
        });
}

void simulated_leader::apply_poll_answer(std::string const &name, poll_answer const &answer, instant const sent_at) {
    auto const now = host_.now();
    clocks_.report(name, answer.inventory.boot, answer.clock, now);
    for(auto const &end: answer.inventory.ended) {
        if(end.number > dispatcher_.seen_end(name)) {
            host_.trace(end.key.job,
                name_ + " reads from " + name + " that " + text_of(end.key) + " ended as " +
                    std::string{name_of(end.how)});
        }
    }
    dispatcher_.apply_inventory(name, answer.inventory, sent_at, now);
    trace_run_changes();
    notify(plan_wakeup_);
    notify(log_wakeup_);
}

void simulated_leader::trace_run_changes() {
    for(auto const &lost: dispatcher_.take_lost_runs()) {
        host_.trace(lost.key.job,
            name_ + " marks " + text_of(lost.key) + " on " + lost.worker +
                " as lost: " + std::string{name_of(lost.reason)});
    }
    for(auto const &run: dispatcher_.take_unknown_runs()) {
        host_.trace(run.key.job, name_ + " reads from " + run.worker + " the unknown " + text_of(run.key));
        host_.report_unknown_run(run);
    }
}

void simulated_leader::poll_immediately(std::string const &name) {
    if(dispatcher_.find_worker(name) != nullptr) {
        poll_worker(name, poll_mode::immediate, [](bool) {});
    }
}

void simulated_leader::run_planner() {
    wait(plan_wakeup_, timing::plan_interval, [self = shared_from_this()]() {
        if(self->is_stopped_) {
            return;
        }
        self->plan();
        self->host_.after(timing::plan_spacing, [self]() { self->run_planner(); });
    });
}

void simulated_leader::plan() {
    dispatch_plan decided;
    dispatcher_.plan(host_.now(), decided);
    trace_run_changes();
    for(auto const &stop: decided.stops) {
        stop_run(stop);
    }
    for(auto const &query: decided.queries) {
        ask_adviser(query);
    }
    notify(log_wakeup_);
}

void simulated_leader::ask_adviser(advice_query const &query) {
    host_.ask_adviser(query, [self = shared_from_this(), query](auto const &grants) {
        if(self->is_stopped_) {
            return;
        }
        if(grants) {
            self->dispatcher_.take_advice(query, *grants, self->host_.now());
        } else {
            self->dispatcher_.advice_failed(query, self->host_.now());
        }
        self->notify(self->plan_wakeup_);
    });
}

void simulated_leader::run_log_writer() {
    wait(log_wakeup_, timing::leader_record_interval, [self = shared_from_this()]() {
        self->host_.after(timing::append_batch_delay, [self]() {
            if(!self->is_stopped_) {
                self->append_batch();
            }
        });
    });
}

void simulated_leader::append_batch() {
    auto batch = dispatcher_.next_batch();
    std::vector<log_record> records;
    for(auto const &[id, progress]: batch.records) {
        records.emplace_back(progress_record{id, progress});
    }
    for(auto const &change: batch.lapses) {
        auto const remaining = change.at ? std::optional{std::max(millis{}, *change.at - host_.now())} : std::nullopt;
        records.emplace_back(lapse_record{change.name, remaining});
    }
    if(records.empty() && appended_at_ + timing::leader_record_interval <= host_.now()) {
        records.emplace_back(claim_record{term_, name_});
    }
    auto const is_empty = batch.empty();
    leader_host::action then = [self = shared_from_this(), batch = std::move(batch)]() {
        self->handle_committed_batch(batch);
        self->run_log_writer();
    };
    auto then_confirmed = [self = shared_from_this(), then, is_empty]() {
        if(is_empty || self->may_extend_leases(self->host_.now())) {
            then();
            return;
        }
        // The append took so long that another entry VM may lead by now: a second append confirms the leadership.
        ++self->sequence_;
        self->append_records({claim_record{self->term_, self->name_}}, std::nullopt, then);
    };
    if(records.empty()) {
        then_confirmed();
        return;
    }
    ++sequence_;
    append_records(std::move(records), std::nullopt, std::move(then_confirmed));
}

void simulated_leader::append_records(
    std::vector<log_record> records, std::optional<instant> possibly_committed_since, leader_host::action then) {
    auto const sent_at = host_.now();
    auto copy = records;
    host_.append(std::move(copy), {term_, sequence_},
        [self = shared_from_this(), sent_at, possibly_committed_since, records = std::move(records),
            then = std::move(then)](append_result const result) {
            if(result == append_result::fenced || result == append_result::out_of_sequence) {
                self->fenced();
                return;
            }
            if(result == append_result::done) {
                self->appended_at_ = possibly_committed_since.value_or(sent_at);
                self->append_duration_ = self->host_.now() - sent_at;
                if(!self->is_stopped_) {
                    then();
                }
                return;
            }
            auto const is_unknown = result == append_result::unknown;
            auto const since = is_unknown ? std::optional{possibly_committed_since.value_or(sent_at)}
                                          : possibly_committed_since;
            self->host_.after(timing::log_retry, [self, records, since, then]() {
                if(!self->is_stopped_) {
                    self->append_records(records, since, then);
                }
            });
        });
}

void simulated_leader::handle_committed_batch(progress_batch const &batch) {
    if(batch.empty()) {
        return;
    }
    for(auto const &[id, progress]: batch.records) {
        if(is_final(progress.phase)) {
            host_.show_end(id, progress.phase);
        }
    }
    std::vector<run_start> starts;
    dispatcher_.batch_committed(batch, host_.now(), starts);
    for(auto const &run: starts) {
        if(defers_starts_) {
            host_.post([self = shared_from_this(), run]() { self->start_run(run); });
        } else {
            start_run(run);
        }
    }
    notify(plan_wakeup_);
}

millis simulated_leader::lease_for(std::string const &worker) const {
    return dispatcher_.is_leaving(worker) ? timing::leaving_worker_lease : timing::max_lease;
}

void simulated_leader::start_run(run_start const &run, std::uint32_t const earlier) {
    auto const now = host_.now();
    auto const lease = clocks_.request(run.worker, run.boot, now, lease_for(run.worker));
    if(!lease || is_stopped_ || !may_extend_leases(now)) {
        handle_start_answer(run, earlier > 0u ? start_answer::unknown : start_answer::not_sent);
        return;
    }
    if(earlier > 0u) {
        dispatcher_.start_repeated(run.placement, now);
        host_.report_repeated_start();
    }
    dispatcher_.record_lease_extension(run.worker, lease->lapses_at);
    auto const token = token_for(run.worker);
    host_.trace(run.key.job,
        name_ + " sends a start of " + text_of(run.key) + " to " + run.worker + " boot " + std::to_string(run.boot) +
            " with token " + std::to_string(token));
    auto const is_repeatable = now + timing::start_attempt_timeout < run.repeat_until;
    auto const timeout = is_repeatable ? timing::start_attempt_timeout : timing::command_timeout;
    host_.start(run, token, lease->expires_at, timeout,
        [self = shared_from_this(), run, token, earlier, now](start_answer const answer) {
            if(answer == start_answer::unknown) {
                self->repeat_start(run, earlier + 1u, now);
                return;
            }
            self->handle_start_answer(run, earlier > 0u ? conclusion_after_repetition(answer) : answer);
            if(answer == start_answer::fenced && token == self->token_for(run.worker)) {
                self->fenced();
            }
        });
}

void simulated_leader::repeat_start(run_start const &run, std::uint32_t const attempts, instant const sent_at) {
    auto const repeat_at = std::max(host_.now(), sent_at + timing::start_attempt_timeout);
    if(is_stopped_ || attempts >= timing::max_start_attempts || !dispatcher_.may_repeat_start(run, repeat_at)) {
        handle_start_answer(run, start_answer::unknown);
        return;
    }
    if(attempts == 1u) {
        poll_immediately(run.worker);
    }
    host_.after(repeat_at - host_.now(), [self = shared_from_this(), run, attempts]() {
        if(!self->is_stopped_ && self->dispatcher_.may_repeat_start(run, self->host_.now())) {
            self->start_run(run, attempts);
        } else {
            self->handle_start_answer(run, start_answer::unknown);
        }
    });
}

void simulated_leader::handle_start_answer(run_start const &run, start_answer const answer) {
    if(is_stopped_) {
        return;
    }
    host_.trace(run.key.job,
        name_ + " receives the answer " + std::string{name_of(answer)} + " to the start of " + text_of(run.key) +
            " on " + run.worker);
    dispatcher_.start_answered(run.placement, answer, host_.now());
    if(answer == start_answer::unknown) {
        poll_immediately(run.worker);
    }
    notify(plan_wakeup_);
    notify(log_wakeup_);
}

void simulated_leader::stop_run(run_stop const &stop) {
    host_.trace(stop.key.job,
        name_ + " sends a stop of " + text_of(stop.key) + " to " + stop.worker + " boot " + std::to_string(stop.boot));
    host_.stop(
        stop, token_for(stop.worker), timing::command_timeout, [self = shared_from_this(), stop](bool const answered) {
            if(self->is_stopped_) {
                return;
            }
            self->host_.trace(stop.key.job,
                self->name_ + " receives " + (answered ? "the" : "no") + " answer to the stop of " + text_of(stop.key) +
                    " on " + stop.worker);
            self->dispatcher_.stop_answered(stop.placement, answered, self->host_.now());
            if(answered) {
                self->poll_immediately(stop.worker);
            }
        });
}

void simulated_leader::run_heartbeats() {
    if(!is_stopped_) {
        host_.send_heartbeat(term_, std::max(millis{}, host_.now() - appended_at_), append_duration_);
        host_.after(timing::heartbeat_interval, [self = shared_from_this()]() { self->run_heartbeats(); });
    }
}

} // namespace kingcuplink::test
