#include "simulated_lead.hpp"

#include <algorithm>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink::test {

simulated_lead::simulated_lead(lead_host &host, std::string name, std::uint64_t const term,
    std::uint64_t const sequence, instant const claimed_at, bool const starts_wait)
    : host_{host},
      name_{std::move(name)},
      term_{term},
      sequence_{sequence},
      starts_wait_{starts_wait},
      lease_{std::min(longest_hold, timing::most_lease)},
      dispatcher_{timing::renewal_without_log + longest_hold + timing::worker_timeout, host.now()},
      appended_at_{claimed_at} {}

void simulated_lead::set_rules(std::shared_ptr<site_rules const> rules) {
    dispatcher_.set_rules(std::move(rules));
}

void simulated_lead::add_job(job_entry const &entry) {
    dispatcher_.add_job(entry);
    notify(plan_wanted_);
}

void simulated_lead::start() {
    follow_workers();
    run_planner();
    run_journal();
    run_beats();
}

void simulated_lead::fenced() {
    if(!over_) {
        end();
        host_.fenced();
    }
}

void simulated_lead::wait(wakeup &what, millis const limit, lead_host::action then) {
    if(std::exchange(what.is_set, false)) {
        host_.after(millis{}, std::move(then));
        return;
    }
    what.waiting = std::move(then);
    host_.after(limit, [self = shared_from_this(), &what, turn = ++what.turn]() {
        if(what.turn == turn && what.waiting) {
            std::exchange(what.waiting, {})();
        }
    });
}

void simulated_lead::notify(wakeup &what) {
    if(what.waiting) {
        host_.after(millis{}, std::exchange(what.waiting, {}));
    } else {
        what.is_set = true;
    }
}

std::uint64_t simulated_lead::token_for(std::string const &worker) const {
    return command_token(term_, dispatcher_.restarts_of(worker));
}

bool simulated_lead::may_extend_leases(instant const now) const {
    return appended_at_ + timing::renewal_without_log > now;
}

std::optional<std::int64_t> simulated_lead::clock_of(std::string const &worker, std::uint64_t const boot) const {
    auto const found = clocks_.find(worker);
    auto const now = host_.now();
    if(found == clocks_.end() || found->second.boot != boot || found->second.told_at + timing::clock_age < now) {
        return std::nullopt;
    }
    return found->second.told + (now - found->second.told_at).count();
}

void simulated_lead::follow_workers() {
    if(over_) {
        return;
    }
    host_.read_registrations([self = shared_from_this()](auto const &entries) {
        if(self->over_) {
            return;
        }
        if(entries) {
            self->take_registrations(*entries);
            self->notify(self->plan_wanted_);
        }
        self->host_.after(
            entries ? timing::worker_read_spacing : timing::log_retry, [self]() { self->follow_workers(); });
    });
}

void simulated_lead::take_registrations(std::vector<worker_registration> const &entries) {
    std::set<std::string> present;
    for(auto const &entry: entries) {
        present.insert(entry.name);
        auto const was_held = dispatcher_.is_reconciled(entry.name);
        dispatcher_.register_worker(entry, host_.now());
        if(watched_.insert(entry.name).second) {
            watch_worker(entry.name, false);
        } else if(was_held && !dispatcher_.is_reconciled(entry.name)) {
            look_again(entry.name);
        }
    }
    for(auto const &name: watched_) {
        if(!present.contains(name)) {
            dispatcher_.unregister_worker(name);
        }
    }
}

void simulated_lead::watch_worker(std::string const &name, bool const was_answered) {
    if(over_ || dispatcher_.find_worker(name) == nullptr) {
        watched_.erase(name);
        return;
    }
    auto const seen_before = dispatcher_.seen_end(name);
    look_at(name, was_answered ? look_mode::patient : look_mode::first,
        [self = shared_from_this(), name, seen_before](bool const answered) {
            auto const told_nothing = self->dispatcher_.has_unpersisted_completions(name) &&
                self->dispatcher_.seen_end(name) == seen_before;
            auto const spacing = told_nothing ? timing::unkept_look_spacing : timing::look_spacing;
            self->host_.after(answered ? spacing : timing::look_retry,
                [self, name, answered]() { self->watch_worker(name, answered); });
        });
}

void simulated_lead::look_at(std::string const &name, look_mode const mode, std::function<void(bool)> done) {
    auto const sent_at = host_.now();
    auto boot = dispatcher_.boot_of(name);
    hold_request request{token_for(name), dispatcher_.kept_end(name), timing::look_wait, std::nullopt};
    if(mode == look_mode::first || !dispatcher_.is_reconciled(name)) {
        boot = 0u;
        request.kept_end = 0u;
        request.wait = millis{};
    } else if(mode == look_mode::prompt) {
        request.kept_end = 0u;
        request.wait = millis{};
    } else if(auto const clock = clock_of(name, boot); clock && may_extend_leases(sent_at)) {
        request.expires_at = *clock + lease_.count();
        dispatcher_.record_lease_extension(name, timing::lapsed_at(sent_at, longest_hold));
    }
    host_.hold(name, boot, request, request.wait + timing::worker_timeout,
        [self = shared_from_this(), name, sent_at, token = request.token, done = std::move(done)](
            hold_answer const *const answer) {
            if(self->over_) {
                return done(false);
            }
            if(answer != nullptr && answer->is_fenced && token == self->token_for(name)) {
                self->fenced();
            }
            if(answer == nullptr || answer->is_fenced) {
                return done(false);
            }
            self->take_answer(name, *answer, sent_at);
            done(true);
        });
}

void simulated_lead::take_answer(std::string const &name, hold_answer const &answer, instant const sent_at) {
    auto const now = host_.now();
    clocks_[name] = {answer.inventory.boot, answer.clock, now};
    for(auto const &end: answer.inventory.ended) {
        if(end.number > dispatcher_.seen_end(name)) {
            host_.note(end.key.job,
                name_ + " reads from " + name + " that " + text_of(end.key) + " ended " +
                    std::string{name_of(end.how)});
        }
    }
    dispatcher_.apply_inventory(name, answer.inventory, sent_at, now);
    note_losses();
    notify(plan_wanted_);
    notify(journal_wanted_);
}

void simulated_lead::note_losses() {
    for(auto const &lost: dispatcher_.take_lost_runs()) {
        host_.note(lost.key.job,
            name_ + " takes " + text_of(lost.key) + " on " + lost.worker +
                " off the books: " + std::string{name_of(lost.reason)});
    }
}

void simulated_lead::look_again(std::string const &name) {
    if(dispatcher_.find_worker(name) != nullptr) {
        look_at(name, look_mode::prompt, [](bool) {});
    }
}

void simulated_lead::run_planner() {
    wait(plan_wanted_, timing::plan_interval, [self = shared_from_this()]() {
        if(self->over_) {
            return;
        }
        self->plan();
        self->host_.after(timing::plan_spacing, [self]() { self->run_planner(); });
    });
}

void simulated_lead::plan() {
    dispatch_plan decided;
    dispatcher_.plan(host_.now(), decided);
    note_losses();
    for(auto const &stop: decided.stops) {
        stop_run(stop);
    }
    notify(journal_wanted_);
}

void simulated_lead::run_journal() {
    wait(journal_wanted_, timing::leader_heartbeat, [self = shared_from_this()]() {
        self->host_.after(timing::append_spacing, [self]() {
            if(!self->over_) {
                self->keep_batch();
            }
        });
    });
}

void simulated_lead::keep_batch() {
    auto batch = dispatcher_.next_batch();
    std::vector<log_record> records;
    for(auto const &[id, progress]: batch.records) {
        records.emplace_back(progress_record{id, progress});
    }
    if(records.empty() && appended_at_ + timing::leader_heartbeat <= host_.now()) {
        records.emplace_back(claim_record{term_, name_});
    }
    auto const is_empty = batch.empty();
    lead_host::action then = [self = shared_from_this(), batch = std::move(batch)]() {
        self->batch_is_kept(batch);
        self->run_journal();
    };
    auto then_proved = [self = shared_from_this(), then, is_empty]() {
        if(is_empty || self->may_extend_leases(self->host_.now())) {
            then();
            return;
        }
        // The append took so long that another entry VM may lead by now: one more append tells.
        ++self->sequence_;
        self->keep({claim_record{self->term_, self->name_}}, std::nullopt, then);
    };
    if(records.empty()) {
        then_proved();
        return;
    }
    ++sequence_;
    keep(std::move(records), std::nullopt, std::move(then_proved));
}

void simulated_lead::keep(
    std::vector<log_record> records, std::optional<instant> may_be_done_since, lead_host::action then) {
    auto const sent_at = host_.now();
    auto copy = records;
    host_.append(std::move(copy), {term_, sequence_},
        [self = shared_from_this(), sent_at, may_be_done_since, records = std::move(records), then = std::move(then)](
            append_result const result) {
            if(result == append_result::fenced || result == append_result::out_of_sequence) {
                self->fenced();
                return;
            }
            if(result == append_result::done) {
                self->appended_at_ = may_be_done_since.value_or(sent_at);
                self->append_time_ = self->host_.now() - sent_at;
                if(!self->over_) {
                    then();
                }
                return;
            }
            auto const is_unknown = result == append_result::unknown;
            auto const since = is_unknown ? std::optional{may_be_done_since.value_or(sent_at)} : may_be_done_since;
            self->host_.after(timing::log_retry, [self, records, since, then]() {
                if(!self->over_) {
                    self->keep(records, since, then);
                }
            });
        });
}

void simulated_lead::batch_is_kept(progress_batch const &batch) {
    if(batch.empty()) {
        return;
    }
    std::vector<run_start> starts;
    dispatcher_.batch_committed(batch, host_.now(), starts);
    for(auto const &run: starts) {
        if(starts_wait_) {
            host_.soon([self = shared_from_this(), run]() { self->start_run(run); });
        } else {
            start_run(run);
        }
    }
    notify(plan_wanted_);
}

void simulated_lead::start_run(run_start const &run) {
    auto const now = host_.now();
    auto const clock = clock_of(run.worker, run.boot);
    if(!clock || over_ || !may_extend_leases(now)) {
        start_is_answered(run, start_answer::not_sent);
        return;
    }
    dispatcher_.record_lease_extension(run.worker, timing::lapsed_at(now, longest_hold));
    auto const token = token_for(run.worker);
    host_.note(run.key.job,
        name_ + " sends a start of " + text_of(run.key) + " to " + run.worker + " boot " + std::to_string(run.boot) +
            " with token " + std::to_string(token));
    host_.start(run, token, *clock + lease_.count(), timing::order_timeout,
        [self = shared_from_this(), run, token](start_answer const answer) {
            self->start_is_answered(run, answer);
            if(answer == start_answer::fenced && token == self->token_for(run.worker)) {
                self->fenced();
            }
        });
}

void simulated_lead::start_is_answered(run_start const &run, start_answer const answer) {
    if(over_) {
        return;
    }
    host_.note(run.key.job,
        name_ + " has the answer " + std::string{name_of(answer)} + " to the start of " + text_of(run.key) + " on " +
            run.worker);
    dispatcher_.start_answered(run.placement, answer, host_.now());
    if(answer == start_answer::unknown) {
        look_again(run.worker);
    }
    notify(plan_wanted_);
    notify(journal_wanted_);
}

void simulated_lead::stop_run(run_stop const &stop) {
    host_.note(stop.key.job,
        name_ + " sends a stop of " + text_of(stop.key) + " to " + stop.worker + " boot " + std::to_string(stop.boot));
    host_.stop(
        stop, token_for(stop.worker), timing::order_timeout, [self = shared_from_this(), stop](bool const answered) {
            if(self->over_) {
                return;
            }
            self->host_.note(stop.key.job,
                self->name_ + " has " + (answered ? "the" : "no") + " answer to the stop of " + text_of(stop.key) +
                    " on " + stop.worker);
            self->dispatcher_.stop_answered(stop.placement, answered, self->host_.now());
            if(answered) {
                self->look_again(stop.worker);
            }
        });
}

void simulated_lead::run_beats() {
    if(!over_) {
        host_.beat(term_, std::max(millis{}, host_.now() - appended_at_), append_time_);
        host_.after(timing::beat_interval, [self = shared_from_this()]() { self->run_beats(); });
    }
}

} // namespace kingcuplink::test
