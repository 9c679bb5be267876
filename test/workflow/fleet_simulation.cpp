#include "fleet_simulation.hpp"

#include "simulated_fleet.hpp"

#include <algorithm>
#include <utility>

namespace kingcuplink::test {

namespace {

/*! Time limit for all jobs to end. */
constexpr millis simulation_limit{300'000};
/*! Interval between two submissions. */
constexpr millis job_interval{350};
constexpr resources worker_capacity{16'000, 65'536, 0};

constexpr std::array<std::string_view, 16u> fault_names{"worker_restart", "late_commands", "worker_partition",
    "node_pause", "node_restart", "log_failure", "registration_loss", "worker_departure", "worker_stall",
    "held_requests", "stale_reads", "log_compaction", "leader_resignation", "midway_pause", "job_cancellation",
    "fleet_split"};

} // namespace

simulated_fleet::simulated_fleet(simulation_setup const &setup)
    : setup_{setup}, random_{setup.seed}, log_{(setup.seed & 1u) != 0u} {
    rules_->version = 1u;
    queue_rules queue;
    queue.name = "queue";
    queue.service = "service";
    queue.max_attempts = max_attempts;
    queue.stretch = 2.0;
    queue.target = millis{1'000};
    if(setup.tickets) {
        queue.advice = advice_terms_of(*setup.tickets);
        adviser_.emplace(*setup.tickets, setup.seed);
    }
    rules_->queues.push_back(queue);
    account_rules account;
    account.name = "account";
    account.weight = 1'000.0;
    rules_->accounts.push_back(account);
    auto const workers = static_cast<std::size_t>(draw(setup.min_workers, setup.max_workers));
    for(std::size_t pos{}; pos < workers; ++pos) {
        auto const rate = 1.0 - 0.02 * static_cast<double>(draw(0, 100)) / 100.0;
        workers_.emplace_back(
            "w" + std::to_string(pos), worker_capacity, rate, setup.lease_limit, checker_, queue_.now());
        registry_.emplace(workers_.back().name(), workers_.back().registration());
    }
    next_wakeups_.resize(workers);
    auto const nodes = static_cast<std::size_t>(draw(setup.min_nodes, setup.max_nodes));
    nodes_.resize(nodes);
    for(std::size_t pos{}; pos < nodes; ++pos) {
        hosts_.push_back(std::make_unique<node_host>(*this, pos));
        start_node(pos);
    }
    for(std::size_t pos{}; pos < workers; ++pos) {
        schedule_worker_wakeup(pos);
    }
}

void simulated_fleet::trace(std::string const &job, std::string const &text) {
    if(setup_.records_timeline) {
        timeline_.push_back({queue_.now(), job, text});
    }
}

void simulated_fleet::on_node(std::size_t const node, millis const delay, action callback) {
    queue_.after(delay, [this, node, incarnation = nodes_[node].incarnation, callback = std::move(callback)]() {
        deliver(node, incarnation, callback);
    });
}

void simulated_fleet::deliver(std::size_t const node, std::uint64_t const incarnation, action const &callback) {
    auto const &entry = nodes_[node];
    if(entry.incarnation != incarnation) {
        return;
    }
    if(entry.paused_until > queue_.now()) {
        // Deferred actions run in random order within 3 ms after the pause.
        auto const wait = entry.paused_until - queue_.now() + draw(millis{}, millis{3});
        queue_.after(wait, [this, node, incarnation, callback]() { deliver(node, incarnation, callback); });
        return;
    }
    callback();
}

void simulated_fleet::submit(std::size_t const number) {
    job_definition job;
    job.id = "j" + std::to_string(number);
    job.queue = "queue";
    job.account = "account";
    job.accepted_at = queue_.now();
    auto const steps = chance(0.2) ? 2u : 1u;
    for(std::uint32_t pos{}; pos < steps; ++pos) {
        step_definition step;
        step.gang = chance(0.25);
        step.count = static_cast<std::uint32_t>(draw(step.gang ? 2 : 1, 4));
        step.task_size = {draw(1, 4) * 1'500, 1'024, 0};
        step.estimate = chance(setup_.long_step_share) ? draw(millis{8'000}, setup_.longest_step)
                                                       : draw(millis{200}, millis{4'000});
        if(pos > 0u) {
            step.after = {pos - 1u};
        }
        job.steps.push_back(step);
    }
    jobs_.emplace(job.id, job);
    checker_.define(job, max_attempts);
    execute_append(0u, {job}, std::nullopt);
}

simulation_result simulated_fleet::run() {
    auto const begin = queue_.now();
    auto const jobs = static_cast<std::size_t>(fault_window / job_interval);
    for(std::size_t number{}; number < jobs; ++number) {
        queue_.after(job_interval * static_cast<int>(number), [this, number]() { submit(number); });
    }
    auto const count = setup_.faults.empty() ? 0 : draw(3, setup_.max_faults);
    std::vector<fleet_fault> const kinds{setup_.faults.begin(), setup_.faults.end()};
    for(std::int64_t pos{}; pos < count; ++pos) {
        auto const kind = kinds[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(kinds.size()) - 1))];
        queue_.after(draw(millis{2'000}, fault_window), [this, kind]() { inject_fault(kind); });
    }
    simulation_result result;
    while(queue_.now() < begin + simulation_limit && checker_.violations().empty() &&
        (queue_.now() < begin + fault_window || ended_.size() < jobs_.size())) {
        queue_.run_until(queue_.now() + millis{100});
    }
    if(checker_.violations().empty()) {
        for(auto const &[id, job]: jobs_) {
            if(!ended_.contains(id)) {
                checker_.report({id, 0u, 0u, 0u}, "not ended within the time limit: " + id);
                break;
            }
        }
    }
    report(result);
    return result;
}

void simulated_fleet::report(simulation_result &result) const {
    result.starts = starts_;
    result.terms = terms_;
    result.jobs_ended = ended_.size();
    result.faults = faults_;
    result.near_misses = checker_.near_misses();
    for(auto const &violation: checker_.violations()) {
        result.violations.push_back(violation.text);
    }
    if(checker_.violations().empty()) {
        return;
    }
    auto const &job = checker_.violations().front().key.job;
    for(auto const &item: timeline_) {
        if(item.job.empty() || item.job == job) {
            result.timeline.push_back(format_time(item.at) + " " + item.text);
        }
    }
}

near_miss_counters &near_miss_counters::operator+=(near_miss_counters const &other) noexcept {
    for(auto const counter: {&near_miss_counters::restarts, &near_miss_counters::restarts_under_live_lease,
            &near_miss_counters::restarts_after_lapse, &near_miss_counters::stale_starts_fenced,
            &near_miss_counters::stale_starts_expired, &near_miss_counters::stale_starts_outdated,
            &near_miss_counters::stale_starts_for_former_worker, &near_miss_counters::stale_starts_without_ticket,
            &near_miss_counters::starts_for_other_boot_without_ticket, &near_miss_counters::unknown_runs,
            &near_miss_counters::repeated_starts, &near_miss_counters::copies_without_effect}) {
        this->*counter += other.*counter;
    }
    shortest_time_after_lapse = std::min(shortest_time_after_lapse, other.shortest_time_after_lapse);
    return *this;
}

std::string_view name_of(fleet_fault const fault) noexcept {
    return fault_names[static_cast<std::size_t>(fault)];
}

simulation_result simulate_fleet(simulation_setup const &setup) {
    return simulated_fleet{setup}.run();
}

} // namespace kingcuplink::test
