#include "simulated_fleet.hpp"

#include <algorithm>
#include <utility>

namespace kingcuplink::test {

namespace {

/*! Time after which the registration of a crashed worker is removed, unless it is up again. */
constexpr millis registration_timeout{3'000};

} // namespace

std::size_t simulated_fleet::pick_node(double const leader_probability) {
    auto const leader = std::find_if(
        nodes_.begin(), nodes_.end(), [](auto const &item) { return item.is_up && item.leader_role != nullptr; });
    if(leader != nodes_.end() && chance(leader_probability)) {
        return static_cast<std::size_t>(leader - nodes_.begin());
    }
    return static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(nodes_.size()) - 1));
}

void simulated_fleet::inject_fault(fleet_fault const fault) {
    ++faults_;
    switch(fault) {
    case fleet_fault::worker_restart:
        restart_worker();
        break;
    case fleet_fault::late_commands:
        delay_commands();
        break;
    case fleet_fault::worker_partition:
        partition_worker(pick_worker());
        break;
    case fleet_fault::node_pause:
        pause_node();
        break;
    case fleet_fault::node_restart:
        restart_node();
        break;
    case fleet_fault::log_failure:
        inject_log_failure();
        break;
    case fleet_fault::registration_loss:
        lose_registrations();
        break;
    case fleet_fault::worker_departure:
        retire_worker();
        break;
    case fleet_fault::worker_stall:
        stall_worker();
        break;
    case fleet_fault::held_requests:
        // Acts on partitions and failures of the log.
        partition_worker(pick_worker());
        break;
    case fleet_fault::stale_reads:
        delay_reads();
        break;
    case fleet_fault::log_compaction:
        compact_log();
        break;
    case fleet_fault::leader_resignation:
        resign_leader();
        break;
    case fleet_fault::midway_pause:
        pause_node_midway();
        break;
    case fleet_fault::job_cancellation:
        cancel_job();
        break;
    case fleet_fault::fleet_split:
        split_fleet();
        break;
    }
}

void simulated_fleet::schedule_registration(std::size_t const pos) {
    auto const lag = draw(millis{5}, millis{1'500});
    queue_.after(setup_.delays_registrations ? lag : millis{}, [this, pos]() {
        if(workers_[pos].is_up()) {
            registry_[workers_[pos].name()] = workers_[pos].registration();
        }
    });
}

void simulated_fleet::restart_worker() {
    auto const pos = pick_worker();
    if(has(fleet_fault::worker_partition) && chance(0.4)) {
        partition_worker(pos);
    }
    queue_.after(draw(millis{}, millis{1'000}), [this, pos]() {
        auto &worker = workers_[pos];
        if(!worker.is_up()) {
            return;
        }
        trace({}, worker.name() + " crashes");
        worker.crash();
        auto const down = chance(0.15) ? draw(millis{3'000}, millis{9'000}) : draw(millis{20}, millis{1'500});
        queue_.after(registration_timeout, [this, pos, name = worker.name()]() {
            if(!workers_[pos].is_up() || workers_[pos].name() != name) {
                registry_.erase(name);
            }
        });
        boot_worker(pos, down);
    });
}

void simulated_fleet::boot_worker(std::size_t const pos, millis const delay) {
    queue_.after(delay, [this, pos]() {
        auto &worker = workers_[pos];
        auto name = worker.address() + "-" + std::to_string(worker.boot() + 1u);
        worker.restart(queue_.now(), setup_.renames_restarted_workers ? std::optional{std::move(name)} : std::nullopt);
        trace({}, worker.name() + " restarts with boot " + std::to_string(worker.boot()));
        schedule_worker_wakeup(pos);
        schedule_registration(pos);
    });
}

void simulated_fleet::lose_registrations() {
    auto const is_single = chance(0.6);
    auto const single = pick_worker();
    auto const time = draw(millis{500}, millis{15'000});
    for(std::size_t pos{}; pos < workers_.size(); ++pos) {
        if((is_single && pos != single) || registry_.erase(workers_[pos].name()) == 0u) {
            continue;
        }
        trace(
            {}, "the registration of " + workers_[pos].name() + " is lost for " + std::to_string(time.count()) + " ms");
        queue_.after(time, [this, pos]() { schedule_registration(pos); });
        if(has(fleet_fault::worker_partition) && chance(is_single ? 0.7 : 0.2)) {
            partition_worker(pos);
        }
    }
}

void simulated_fleet::retire_worker() {
    auto const pos = pick_worker();
    auto &worker = workers_[pos];
    if(!worker.is_up()) {
        return;
    }
    worker.announce_departure();
    schedule_registration(pos);
    auto const notice = chance(0.5) ? draw(millis{300}, millis{3'000}) : draw(millis{3'000}, millis{9'000});
    trace({}, worker.name() + " leaves in " + std::to_string(notice.count()) + " ms");
    queue_.after(notice, [this, pos, name = worker.name()]() {
        if(!workers_[pos].is_up() || workers_[pos].name() != name) {
            return;
        }
        trace({}, name + " is gone");
        workers_[pos].crash();
        registry_.erase(name);
        boot_worker(pos, draw(millis{100}, millis{4'000}));
    });
}

void simulated_fleet::stall_worker() {
    auto &worker = workers_[pick_worker()];
    auto const time = draw(millis{500}, millis{8'000});
    auto const rejects = chance(0.5);
    trace({},
        worker.name() + (rejects ? " rejects starts for " : " stalls its runs for ") + std::to_string(time.count()) +
            " ms");
    if(rejects) {
        worker.reject_starts(queue_.now() + time);
    } else {
        worker.stall(time);
    }
}

void simulated_fleet::delay_reads() {
    stale_read_period period;
    if(chance(0.7)) {
        period.node = pick_node(0.3);
    }
    period.lag = draw(millis{200}, millis{6'000});
    period.until = queue_.now() + draw(millis{500}, millis{10'000});
    stale_reads_.push_back(period);
    trace({},
        "reads of the log by " + (period.node ? nodes_[*period.node].name : std::string{"all"}) + " are stale by " +
            std::to_string(period.lag.count()) + " ms for " + std::to_string((period.until - queue_.now()).count()) +
            " ms");
}

void simulated_fleet::compact_log() {
    trace({}, "the log is compacted");
    for(std::size_t node{}; node < nodes_.size(); ++node) {
        if(nodes_[node].is_up && chance(0.7)) {
            nodes_[node].snapshot.emplace();
        }
    }
}

void simulated_fleet::pause_node_midway() {
    auto &node = nodes_[pick_node(0.9)];
    node.midway_pause = draw(millis{100}, chance(0.5) ? millis{1'000} : millis{6'000});
    node.readings_until_pause = static_cast<std::uint32_t>(draw(0, 40));
}

void simulated_fleet::lose_answers_after_pause(std::size_t const node, std::size_t const worker) {
    auto const pause = nodes_[node].paused_until - queue_.now();
    if(pause <= millis{} || !has(fleet_fault::worker_partition) || !chance(0.5)) {
        return;
    }
    auto const until = nodes_[node].paused_until + draw(millis{5'000}, millis{15'000});
    partitions_.push_back({worker, std::nullopt, false, true, until});
    trace({}, "answers of " + workers_[worker].name() + " are lost until " + format_time(until));
}

void simulated_fleet::resign_leader() {
    auto const node = pick_node(1.0);
    if(auto const leader = std::exchange(nodes_[node].leader_role, nullptr); leader != nullptr) {
        trace({}, nodes_[node].name + " resigns");
        leader->resign();
        nodes_[node].watch.record_leader_activity(queue_.now());
    }
}

void simulated_fleet::cancel_job() {
    std::vector<std::string> live;
    for(auto const &[id, job]: jobs_) {
        if(!ended_.contains(id)) {
            live.push_back(id);
        }
    }
    if(!live.empty()) {
        auto const &id = live[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(live.size()) - 1))];
        trace(id, "a caller cancels the job");
        execute_append(0u, {cancellation_record{id}}, std::nullopt);
    }
}

void simulated_fleet::delay_commands() {
    command_delay_probability_ = static_cast<double>(draw(10, 60)) / 100.0;
    commands_delayed_until_ = queue_.now() + draw(millis{500}, millis{6'000});
    trace({}, "requests to workers get no answer with probability " + std::to_string(command_delay_probability_));
    if(has(fleet_fault::worker_restart) && chance(0.6)) {
        queue_.after(draw(millis{200}, millis{5'000}), [this]() { restart_worker(); });
    }
}

void simulated_fleet::partition_worker(std::size_t const pos) {
    worker_partition partition;
    partition.worker = pos;
    if(chance(0.4)) {
        partition.node = pick_node(0.6);
    }
    auto const direction = draw(0, 3);
    partition.blocks_requests = direction != 0;
    partition.blocks_answers = direction != 1;
    partition.until = queue_.now() +
        (chance(0.3) ? draw(millis{9'000}, millis{25'000}) : draw(millis{200}, millis{9'000}));
    partition.holds_requests = has(fleet_fault::held_requests) && chance(0.6);
    partitions_.push_back(partition);
    trace({},
        workers_[pos].name() + " is partitioned from " +
            (partition.node ? nodes_[*partition.node].name : std::string{"all"}) +
            (partition.blocks_requests ? ", requests" : "") + (partition.blocks_answers ? ", answers" : "") + " for " +
            std::to_string((partition.until - queue_.now()).count()) + " ms");
}

void simulated_fleet::pause_node() {
    auto const node = pick_node(0.8);
    auto const time = draw(millis{500}, millis{22'000});
    nodes_[node].paused_until = std::max(nodes_[node].paused_until, queue_.now() + time);
    trace({}, nodes_[node].name + " is paused for " + std::to_string(time.count()) + " ms");
    if(has(fleet_fault::worker_partition) && chance(0.5)) {
        partition_from_other_nodes(node);
    }
}

void simulated_fleet::partition_from_other_nodes(std::size_t const node) {
    // The next leader cannot pass its higher term to the worker.
    auto const pos = pick_worker();
    auto const until = queue_.now() + draw(millis{9'000}, millis{30'000});
    for(std::size_t other{}; other < nodes_.size(); ++other) {
        if(other != node) {
            partitions_.push_back({pos, other, true, true, until});
        }
    }
    trace({},
        workers_[pos].name() + " is partitioned from all entry VMs but " + nodes_[node].name + " for " +
            std::to_string((until - queue_.now()).count()) + " ms");
}

void simulated_fleet::split_fleet() {
    auto const leader = pick_node(1.0);
    auto const kept = pick_worker();
    auto const until = queue_.now() + draw(millis{15'000}, millis{30'000});
    log_failures_.push_back({log_failure_kind::unreachable, leader, 1.0, until});
    for(std::size_t node{}; node < nodes_.size(); ++node) {
        for(std::size_t pos{}; pos < workers_.size(); ++pos) {
            if((node == leader) != (pos == kept)) {
                partitions_.push_back({pos, node, true, true, until});
            }
        }
    }
    trace({},
        nodes_[leader].name + " reaches only " + workers_[kept].name() + ", which the others do not, until " +
            format_time(until));
}

void simulated_fleet::restart_node() {
    auto const node = pick_node(0.7);
    auto &entry = nodes_[node];
    if(!entry.is_up) {
        return;
    }
    trace({}, entry.name + " stops");
    if(entry.leader_role != nullptr) {
        entry.leader_role->end();
    }
    auto const incarnation = entry.incarnation + 1u;
    entry = simulated_node{};
    entry.incarnation = incarnation;
    entry.name = "n" + std::to_string(node);
    entry.is_up = false;
    queue_.after(draw(millis{200}, millis{3'000}), [this, node]() {
        nodes_[node].is_up = true;
        trace({}, nodes_[node].name + " starts");
        start_node(node);
    });
}

void simulated_fleet::inject_log_failure() {
    log_failure failure;
    failure.kind = static_cast<log_failure_kind>(draw(0, has(fleet_fault::held_requests) ? 5 : 4));
    if(chance(0.5)) {
        failure.node = pick_node(0.8);
    }
    failure.probability = chance(0.5) ? 1.0 : static_cast<double>(draw(20, 90)) / 100.0;
    failure.until = queue_.now() + draw(millis{300}, chance(0.3) ? millis{24'000} : millis{14'000});
    log_failures_.push_back(failure);
    if(failure.node && has(fleet_fault::worker_partition) && chance(0.4)) {
        partition_from_other_nodes(*failure.node);
    }
    trace({},
        "the log fails with kind " + std::to_string(static_cast<int>(failure.kind)) + " for " +
            (failure.node ? nodes_[*failure.node].name : std::string{"all"}) + " with probability " +
            std::to_string(failure.probability) + " for " + std::to_string((failure.until - queue_.now()).count()) +
            " ms");
}

} // namespace kingcuplink::test
