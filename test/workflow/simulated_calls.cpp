#include "simulated_fleet.hpp"

#include <algorithm>
#include <kingcuplink/site/timing.hpp>
#include <memory>
#include <utility>

namespace kingcuplink::test {

namespace {

/*! Delay of a late request, unless it is executed immediately. */
constexpr millis min_command_delay{2'000};
constexpr millis max_command_delay{12'000};
/*! Longest time between a stop command and the end of the run. */
constexpr millis max_stop_grace{300};
/*! Time limit for a gang to assemble. */
constexpr millis gang_timeout{5'000};

} // namespace

std::size_t simulated_fleet::index_of(std::string const &address) const {
    auto const found = std::find_if(
        workers_.begin(), workers_.end(), [&address](auto const &item) { return item.address() == address; });
    return static_cast<std::size_t>(found - workers_.begin());
}

bool simulated_fleet::accepts(simulated_worker const &worker, call_target const &target) const {
    auto const is_boot = target.boot == 0u || !setup_.commands_name_boot || worker.boot() == target.boot;
    return worker.name() == target.name && is_boot;
}

worker_partition const *simulated_fleet::partition_at(
    std::size_t const node, std::size_t const worker, bool const is_request) const {
    auto const found = std::find_if(partitions_.begin(), partitions_.end(), [&](auto const &partition) {
        return partition.until > queue_.now() && partition.worker == worker && partition.node.value_or(node) == node &&
            (is_request ? partition.blocks_requests : partition.blocks_answers);
    });
    return found == partitions_.end() ? nullptr : &*found;
}

template<typename Answer>
void simulated_fleet::call(std::size_t const node, call_target const &target, millis const timeout,
    std::function<void(simulated_worker &, reply<Answer>)> execute, std::function<void(outcome<Answer>)> done) {
    auto const is_finished = std::make_shared<bool>(false);
    std::function<void(outcome<Answer>)> const finish = [this, node, is_finished, done = std::move(done)](
                                                            outcome<Answer> const &result) {
        on_node(node, millis{}, [is_finished, done, result]() {
            if(!std::exchange(*is_finished, true)) {
                done(result);
            }
        });
    };
    // The time limit counts from the sending, after a pause that began in this event.
    auto const pause = std::max(millis{}, nodes_[node].paused_until - queue_.now());
    on_node(node, pause + timeout, [finish]() { finish({}); });
    auto const worker = index_of(target.address);
    lose_answers_after_pause(node, worker);
    auto const deadline = setup_.max_request_delay ? queue_.now() + pause + *setup_.max_request_delay : instant::max();
    // A paused entry VM sends the request after its pause, unless the request has timed out by then.
    on_node(node, draw(millis{}, millis{1}), [=, this, execute = std::move(execute)]() {
        if(!*is_finished) {
            queue_.after(
                delay(), [=, this]() { deliver_request<Answer>(node, worker, target, deadline, execute, finish); });
        }
    });
}

template<typename Answer>
void simulated_fleet::deliver_request(std::size_t const node, std::size_t const pos, call_target const &target,
    instant const deadline, std::function<void(simulated_worker &, reply<Answer>)> const &execute,
    std::function<void(outcome<Answer>)> const &finish) {
    if(auto const *partition = partition_at(node, pos, true); partition != nullptr) {
        if(partition->holds_requests && partition->until <= deadline) {
            queue_.after(partition->until - queue_.now() + delay(),
                [=, this]() { deliver_request<Answer>(node, pos, target, deadline, execute, finish); });
        }
        return;
    }
    auto const execute_checked = [this, node, pos, target, execute, finish](reply<Answer> const &answer) {
        auto &worker = workers_[pos];
        if(!accepts(worker, target)) {
            auto const is_other_worker = worker.name() != target.name;
            if(!is_other_worker) {
                finish({std::nullopt, false, true, false});
            } else if(partition_at(node, pos, false) == nullptr) {
                queue_.after(delay(), [finish]() { finish({std::nullopt, false, true, true}); });
            }
            return;
        }
        execute(worker, answer);
        schedule_worker_wakeup(pos);
    };
    if(commands_delayed_until_ > queue_.now() && chance(command_delay_probability_)) {
        auto const extra_delay = chance(0.3) ? millis{} : draw(min_command_delay, max_command_delay);
        queue_.after(extra_delay, [this, pos, target, deadline, execute]() {
            auto &worker = workers_[pos];
            if(queue_.now() <= deadline && worker.is_up() && accepts(worker, target)) {
                execute(worker, [](auto const &) {});
                schedule_worker_wakeup(pos);
            }
        });
        return;
    }
    if(!workers_[pos].is_up()) {
        if(chance(0.5)) {
            queue_.after(delay(), [finish]() { finish({std::nullopt, true, false, false}); });
        }
        return;
    }
    execute_checked([this, node, pos, finish](std::optional<Answer> const &answer) {
        queue_.after(delay(), [=, this]() {
            if(partition_at(node, pos, false) == nullptr) {
                finish({answer, false, false, false});
            }
        });
    });
}

void simulated_fleet::schedule_worker_wakeup(std::size_t const pos) {
    auto &worker = workers_[pos];
    if(!worker.is_up()) {
        return;
    }
    auto const next = worker.next_event(queue_.now());
    if(next_wakeups_[pos] > queue_.now() && next_wakeups_[pos] <= next) {
        return;
    }
    next_wakeups_[pos] = next;
    queue_.after(next - queue_.now(), [this, pos]() {
        workers_[pos].advance(queue_.now());
        end_incomplete_gangs(pos);
        schedule_worker_wakeup(pos);
    });
}

start_answer simulated_fleet::execute_start(
    simulated_worker &worker, run_start const &run, std::uint64_t const token, std::int64_t const expires_at) {
    auto const &step = jobs_.at(run.key.job).steps[run.key.step];
    simulated_worker::live_run live;
    live.size = step.task_size;
    live.is_gang = step.gang;
    auto const length = step.estimate * draw(50, 150) / 100;
    live.ends_at = queue_.now() + (step.gang ? gang_timeout : length);
    live.how = chance(0.12) ? run_outcome::failed : run_outcome::done;
    auto const boot_text = worker.name() + " boot " + std::to_string(worker.boot());
    auto const is_running = worker.runs().contains(run.key);
    auto const answer = worker.start(run.key, live, token, expires_at, has_ticket(worker, run), queue_.now());
    trace(run.key.job,
        boot_text + " answers " + std::string{name_of(answer)} + " to a start of " + text_of(run.key) + " with token " +
            std::to_string(token) + " meant for boot " + std::to_string(run.boot));
    if(answer == start_answer::outdated && checker_.has_ended(run.key, worker.name())) {
        checker_.count_copy_without_effect();
    }
    if(answer != start_answer::started) {
        checker_.reject_start(run.key, answer);
        if(answer == start_answer::bad_ticket && worker.boot() != run.boot) {
            checker_.count_start_for_other_boot_without_ticket();
        }
    } else if(is_running) {
        checker_.count_copy_without_effect();
    } else {
        ++starts_;
        if(step.gang) {
            schedule_gang_completion(run.key.job, run.key.step);
        }
    }
    return answer;
}

void simulated_fleet::schedule_gang_completion(std::string const &job, std::uint32_t const step) {
    // Number of members on the workers by run.
    std::map<std::uint32_t, std::uint32_t> present;
    for(auto const &worker: workers_) {
        for(auto const &[key, run]: worker.runs()) {
            if(key.job == job && key.step == step) {
                ++present[key.run];
            }
        }
    }
    auto const &definition = jobs_.at(job).steps[step];
    for(auto const &[run, count]: present) {
        if(count >= definition.count && !running_gangs_.contains({job, step, run})) {
            auto const length = definition.estimate * draw(50, 150) / 100;
            running_gangs_[{job, step, run}] = queue_.now() + length;
            queue_.after(length, [this, job, step, run = run]() { finish_gang(job, step, run); });
        }
    }
}

void simulated_fleet::finish_gang(std::string const &job, std::uint32_t const step, std::uint32_t const run) {
    std::vector<std::pair<std::size_t, run_key>> members;
    for(std::size_t pos{}; pos < workers_.size(); ++pos) {
        for(auto const &[key, live]: workers_[pos].runs()) {
            if(key.job == job && key.step == step && key.run == run && !live.stops_at) {
                members.emplace_back(pos, key);
            }
        }
    }
    auto const is_complete = members.size() >= jobs_.at(job).steps[step].count;
    auto const fails = chance(0.1);
    for(auto const &[pos, key]: members) {
        auto const is_first = key == members.front().second;
        auto const broken = is_first && is_complete ? run_outcome::failed : run_outcome::broken;
        workers_[pos].end_run(key, is_complete && !fails ? run_outcome::done : broken, queue_.now());
    }
}

void simulated_fleet::end_incomplete_gangs(std::size_t const pos) {
    std::vector<run_key> incomplete;
    for(auto const &[key, run]: workers_[pos].runs()) {
        auto const is_running = running_gangs_.contains({key.job, key.step, key.run});
        if(run.is_gang && !is_running && run.ends_at <= queue_.now()) {
            incomplete.push_back(key);
        }
    }
    for(auto const &key: incomplete) {
        workers_[pos].end_run(key, run_outcome::alone, queue_.now());
    }
}

void node_host::poll(call_target const target, poll_request const request, millis const timeout,
    std::function<void(poll_answer const *)> done) {
    fleet_.call<poll_answer>(
        node_, target, timeout,
        [this, request](simulated_worker &worker, auto const &reply) {
            worker.poll(
                request.token, request.kept_end, request.expires_at, request.wait,
                [reply](poll_answer const *const answer) {
                    reply(answer != nullptr ? std::optional{*answer} : std::nullopt);
                },
                fleet_.queue_.now());
        },
        [done = std::move(done)](auto const &outcome) {
            if(outcome.is_other_worker) {
                poll_answer const other{false, true, 0, {}};
                return done(&other);
            }
            done(outcome.answer ? &*outcome.answer : nullptr);
        });
}

void node_host::start(run_start run, std::uint64_t const token, std::int64_t const expires_at, millis const timeout,
    std::function<void(start_answer)> done) {
    if(fleet_.setup_.start_relay_lifetime) {
        relay_start(std::move(run), token, expires_at, timeout, std::move(done));
    } else {
        start_from(node_, std::move(run), token, expires_at, timeout, std::move(done));
    }
}

void node_host::relay_start(run_start run, std::uint64_t const token, std::int64_t const expires_at,
    millis const timeout, std::function<void(start_answer)> done) {
    auto const relay = static_cast<std::size_t>(fleet_.draw(0, static_cast<std::int64_t>(fleet_.nodes_.size()) - 1));
    auto const is_settled = std::make_shared<bool>(false);
    std::function<void(start_answer)> const settle = [this, is_settled, done = std::move(done)](
                                                         start_answer const answer) {
        fleet_.on_node(node_, millis{}, [is_settled, done, answer]() {
            if(!std::exchange(*is_settled, true)) {
                done(answer);
            }
        });
    };
    fleet_.on_node(
        node_, timing::start_relay_timeout(!run.ticket.empty()), [settle]() { settle(start_answer::unknown); });
    auto const send_before = fleet_.queue_.now() + *fleet_.setup_.start_relay_lifetime;
    auto const handle = [=, this]() {
        if(fleet_.queue_.now() > send_before) {
            fleet_.queue_.after(fleet_.delay(), [settle]() { settle(start_answer::not_sent); });
            return;
        }
        start_from(relay, run, token, expires_at, timeout, [this, settle](start_answer const answer) {
            fleet_.queue_.after(fleet_.delay(), [settle, answer]() { settle(answer); });
        });
    };
    // A paused entry VM sends and receives the request after its pause.
    fleet_.on_node(node_, fleet_.draw(millis{}, millis{1}),
        [=, this]() { fleet_.queue_.after(fleet_.delay(), [=, this]() { fleet_.on_node(relay, millis{}, handle); }); });
}

void node_host::start_from(std::size_t const node, run_start run, std::uint64_t const token,
    std::int64_t const expires_at, millis const timeout, std::function<void(start_answer)> done) {
    call_target const target{run.worker, run.address, run.boot};
    auto const key = run.key;
    fleet_.call<start_answer>(
        node, target, timeout,
        [this, run = std::move(run), token, expires_at](simulated_worker &worker, auto const &reply) {
            reply(fleet_.execute_start(worker, run, token, expires_at));
        },
        [this, done = std::move(done), key](auto const &outcome) {
            if(outcome.is_other_worker) {
                fleet_.checker_.reject_start(key, start_answer::other_boot);
            }
            auto const silent = outcome.not_sent ? start_answer::not_sent : start_answer::unknown;
            done(outcome.is_other_boot ? start_answer::other_boot : outcome.answer.value_or(silent));
        });
}

void node_host::stop(run_stop stop, std::uint64_t const token, millis const timeout, std::function<void(bool)> done) {
    call_target const target{stop.worker, stop.address, stop.boot};
    fleet_.call<bool>(
        node_, target, timeout,
        [this, stop = std::move(stop), token](simulated_worker &worker, auto const &reply) {
            auto const grace = fleet_.draw(millis{30}, max_stop_grace);
            auto const is_accepted = worker.stop(stop.key, token, grace, fleet_.queue_.now());
            fleet_.trace(stop.key.job,
                worker.name() + " boot " + std::to_string(worker.boot()) + (is_accepted ? " accepts" : " rejects") +
                    " a stop of " + text_of(stop.key));
            reply(is_accepted);
        },
        [done = std::move(done)](auto const &outcome) { done(outcome.answer.value_or(false)); });
}

} // namespace kingcuplink::test
