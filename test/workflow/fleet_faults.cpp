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
        partition_worker(static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(workers_.size()) - 1)));
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
    auto const pos = static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(workers_.size()) - 1));
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
        queue_.after(registration_timeout, [this, pos]() {
            if(!workers_[pos].is_up()) {
                registry_.erase(workers_[pos].name());
            }
        });
        queue_.after(down, [this, pos]() {
            workers_[pos].restart(queue_.now());
            trace({}, workers_[pos].name() + " restarts with boot " + std::to_string(workers_[pos].boot()));
            schedule_worker_wakeup(pos);
            schedule_registration(pos);
        });
    });
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
    auto const pos = static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(workers_.size()) - 1));
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
    failure.kind = static_cast<log_failure_kind>(draw(0, 4));
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
