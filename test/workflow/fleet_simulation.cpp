#include "fleet_simulation.hpp"

#include "event_queue.hpp"
#include "simulated_leader.hpp"

#include <algorithm>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/timing.hpp>
#include <limits>
#include <random>
#include <utility>

namespace kingcuplink::test {

namespace {

/*! Period in which jobs are submitted and faults are injected. */
constexpr millis fault_window{32'000};
/*! Time limit for all jobs to end. */
constexpr millis simulation_limit{300'000};
/*! Interval between two submissions. */
constexpr millis job_interval{350};
/*! Network delay in one direction. */
constexpr millis min_network_delay{1};
constexpr millis max_network_delay{5};
/*! Delay of a late request, unless it is executed immediately. */
constexpr millis min_command_delay{2'000};
constexpr millis max_command_delay{12'000};
/*! Additional delay of a late append. */
constexpr millis min_append_delay{1'000};
constexpr millis max_append_delay{6'000};
/*! Time limit of an entry VM for an answer of the log. */
constexpr millis log_timeout{1'200};
/*! Longest time between a stop command and the end of the run. */
constexpr millis max_stop_grace{300};
/*! Time limit for a gang to assemble. */
constexpr millis gang_timeout{5'000};
/*! Time after which the registration of a crashed worker is removed, unless it is up again. */
constexpr millis registration_timeout{3'000};
constexpr std::uint32_t max_attempts = 3u;
constexpr resources worker_capacity{16'000, 65'536, 0};

constexpr std::array<std::string_view, fleet_faults.size()> fault_names{
    "worker_restart", "late_orders", "worker_cut", "node_freeze", "node_restart", "log_trouble"};

/*! State of an entry VM. */
struct simulated_node {
    std::string name;
    std::uint64_t incarnation{1u};
    bool is_up{true};
    instant paused_until{};
    job_table table;
    /*! Number of records of the log that are applied. */
    std::size_t offset{};
    /*! Time at which the last successful read of the log was sent. */
    instant read_at{};
    leader_watch watch{"", 0u};
    /*! True while a claim of the leadership is pending. */
    bool is_claiming{};
    /*! Set while the entry VM leads. */
    std::shared_ptr<simulated_leader> leader_role;
};

/*! Partition between entry VMs and a worker. */
struct worker_partition {
    std::size_t worker{};
    /*! Affected entry VM; all if empty. */
    std::optional<std::size_t> node;
    bool blocks_requests{};
    bool blocks_answers{};
    instant until{};
};

/*! Kinds of failures of the log. From rejections on, reads of the log and of the registrations fail too. */
enum class log_failure_kind : std::uint8_t { lost_answers, late_appends, rejections, unreachable, one_way_partition };

/*! Failure of the log as seen by one or all entry VMs. */
struct log_failure {
    log_failure_kind kind{};
    /*! Affected entry VM; all if empty. */
    std::optional<std::size_t> node;
    /*! Probability that a call is affected. */
    double probability{};
    instant until{};
};

class simulated_fleet;

/*! Environment of the leader on one entry VM. */
class node_host final : public leader_host {
public:
    node_host(simulated_fleet &fleet, std::size_t const node) : fleet_{fleet}, node_{node} {}

    [[nodiscard]] instant now() const override;
    void after(millis delay, action callback) override;
    void post(action callback) override;
    void append(
        std::vector<log_record> records, append_writer writer, std::function<void(append_result)> done) override;
    void read_registrations(std::function<void(std::optional<std::vector<worker_registration>>)> done) override;
    void poll(std::string const &worker, std::uint64_t boot, poll_request request, millis timeout,
        std::function<void(poll_answer const *)> done) override;
    void start(run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout,
        std::function<void(start_answer)> done) override;
    void stop(run_stop stop, std::uint64_t token, millis timeout, std::function<void(bool)> done) override;
    void send_heartbeat(std::uint64_t term, millis log_age, millis append_time) override;
    void trace(std::string const &job, std::string const &text) override;
    void fenced() override;

private:
    simulated_fleet &fleet_;
    std::size_t node_;
};

/*! State of one simulation. */
class simulated_fleet {
public:
    explicit simulated_fleet(simulation_setup const &setup);

    simulation_result run();

private:
    friend class node_host;

    using action = event_queue::action;
    /*! Returns the answer to the caller; it is empty if the worker crashed. */
    template<typename Answer>
    using reply = std::function<void(std::optional<Answer>)>;

    template<typename Answer>
    struct outcome {
        std::optional<Answer> answer;
        /*! True if the connection failed before the request was sent. */
        bool not_sent{};
        /*! True if the worker runs another boot than the request names. */
        bool is_other_boot{};
    };

    [[nodiscard]] std::int64_t draw(std::int64_t lower, std::int64_t upper) {
        return std::uniform_int_distribution<std::int64_t>{lower, upper}(random_);
    }

    [[nodiscard]] millis draw(millis const lower, millis const upper) {
        return millis{draw(lower.count(), upper.count())};
    }

    [[nodiscard]] bool chance(double const probability) {
        return std::bernoulli_distribution{probability}(random_);
    }

    [[nodiscard]] millis delay() {
        return draw(min_network_delay, max_network_delay);
    }

    [[nodiscard]] bool has(fleet_fault const fault) const {
        return setup_.faults.contains(fault);
    }

    void trace(std::string const &job, std::string const &text);
    /*! Runs a callback on an entry VM after a delay; deferred while it is paused, dropped if it has restarted. */
    void on_node(std::size_t node, millis delay, action callback);
    void deliver(std::size_t node, std::uint64_t incarnation, action const &callback);

    // Requests to workers.
    template<typename Answer>
    void call(std::size_t node, std::string const &name, std::uint64_t boot, millis timeout,
        std::function<void(simulated_worker &, reply<Answer>)> execute, std::function<void(outcome<Answer>)> done);
    template<typename Answer>
    void deliver_request(std::size_t node, std::size_t worker, std::uint64_t boot,
        std::function<void(simulated_worker &, reply<Answer>)> const &execute,
        std::function<void(outcome<Answer>)> const &finish);
    [[nodiscard]] bool is_partitioned(std::size_t node, std::size_t worker, bool is_request) const;
    [[nodiscard]] std::size_t index_of(std::string const &worker) const;
    start_answer execute_start(
        simulated_worker &worker, run_start const &run, std::uint64_t token, std::int64_t expires_at);
    void schedule_worker_wakeup(std::size_t worker);
    void schedule_gang_completion(std::string const &job, std::uint32_t step);
    void end_incomplete_gangs(std::size_t worker);
    void finish_gang(std::string const &job, std::uint32_t step, std::uint32_t run);

    // The log.
    void append(std::size_t node, std::vector<log_record> records, append_writer writer,
        std::function<void(simulated_log::answer)> done);
    simulated_log::answer execute_append(
        std::size_t node, std::vector<log_record> const &records, std::optional<append_writer> writer);
    [[nodiscard]] log_failure const *log_failure_at(std::size_t node) const;
    void read_log(std::size_t node);
    void apply(std::size_t node, log_record const &record);

    // Leaders.
    void watch_leader(std::size_t node);
    void claim(std::size_t node);
    void append_claim(std::size_t node, std::uint64_t term, std::uint64_t sequence, instant claimed_at);
    void begin_leadership(
        std::size_t node, std::uint64_t term, std::uint64_t sequence, instant claimed_at, std::size_t offset);
    void start_node(std::size_t node);

    // Jobs and faults.
    void submit(std::size_t number);
    void inject_fault(fleet_fault fault);
    void restart_worker();
    void delay_commands();
    void partition_worker(std::size_t worker);
    void pause_node();
    /*! Partitions a random worker from all entry VMs except one. */
    void partition_from_other_nodes(std::size_t node);
    void restart_node();
    void inject_log_failure();
    /*! Returns the leader with the given probability, otherwise a random entry VM. */
    [[nodiscard]] std::size_t pick_node(double leader_probability);
    void schedule_registration(std::size_t worker);

    void report(simulation_result &result) const;

    simulation_setup setup_;
    std::mt19937_64 random_;
    event_queue queue_;
    invariant_checker checker_;
    simulated_log log_;
    std::shared_ptr<site_rules> rules_{std::make_shared<site_rules>()};
    std::vector<simulated_worker> workers_;
    std::vector<instant> next_wakeups_;
    std::vector<simulated_node> nodes_;
    std::vector<std::unique_ptr<node_host>> hosts_;
    /*! Registrations that the platform returns. */
    std::map<std::string, worker_registration> registry_;
    std::map<std::string, job_definition> jobs_;
    /*! Completion times of fully assembled gangs by job, step and run. */
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, instant> running_gangs_;
    std::map<std::string, job_phase> ended_;
    std::vector<worker_partition> partitions_;
    std::vector<log_failure> log_failures_;
    instant commands_delayed_until_{};
    double command_delay_probability_{};
    std::size_t starts_{};
    std::size_t terms_{};
    std::size_t faults_{};
    struct timeline_entry {
        instant at;
        std::string job;
        std::string text;
    };
    std::vector<timeline_entry> timeline_;
};

// Construction.

simulated_fleet::simulated_fleet(simulation_setup const &setup)
    : setup_{setup}, random_{setup.seed}, log_{(setup.seed & 1u) != 0u} {
    rules_->version = 1u;
    queue_rules queue;
    queue.name = "queue";
    queue.service = "service";
    queue.max_attempts = max_attempts;
    queue.stretch = 2.0;
    queue.target = millis{1'000};
    rules_->queues.push_back(queue);
    account_rules account;
    account.name = "account";
    account.weight = 1'000.0;
    rules_->accounts.push_back(account);
    auto const workers = static_cast<std::size_t>(draw(4, 6));
    for(std::size_t pos{}; pos < workers; ++pos) {
        auto const rate = 1.0 - 0.02 * static_cast<double>(draw(0, 100)) / 100.0;
        workers_.emplace_back("w" + std::to_string(pos), worker_capacity, rate, checker_, queue_.now());
        registry_.emplace(workers_.back().name(), workers_.back().registration());
    }
    next_wakeups_.resize(workers);
    auto const nodes = static_cast<std::size_t>(draw(2, 3));
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

// Requests to workers.

std::size_t simulated_fleet::index_of(std::string const &worker) const {
    auto const found = std::find_if(
        workers_.begin(), workers_.end(), [&worker](auto const &item) { return item.name() == worker; });
    return static_cast<std::size_t>(found - workers_.begin());
}

bool simulated_fleet::is_partitioned(std::size_t const node, std::size_t const worker, bool const is_request) const {
    return std::any_of(partitions_.begin(), partitions_.end(), [&](auto const &partition) {
        return partition.until > queue_.now() && partition.worker == worker && partition.node.value_or(node) == node &&
            (is_request ? partition.blocks_requests : partition.blocks_answers);
    });
}

template<typename Answer>
void simulated_fleet::call(std::size_t const node, std::string const &name, std::uint64_t const boot,
    millis const timeout, std::function<void(simulated_worker &, reply<Answer>)> execute,
    std::function<void(outcome<Answer>)> done) {
    auto const is_finished = std::make_shared<bool>(false);
    std::function<void(outcome<Answer>)> const finish = [this, node, is_finished, done = std::move(done)](
                                                            outcome<Answer> const &result) {
        on_node(node, millis{}, [is_finished, done, result]() {
            if(!std::exchange(*is_finished, true)) {
                done(result);
            }
        });
    };
    on_node(node, timeout, [finish]() { finish({}); });
    auto const worker = index_of(name);
    // A paused entry VM sends the request after its pause, unless the request has timed out by then.
    on_node(node, draw(millis{}, millis{1}), [=, this, execute = std::move(execute)]() {
        if(!*is_finished) {
            queue_.after(delay(), [=, this]() { deliver_request<Answer>(node, worker, boot, execute, finish); });
        }
    });
}

template<typename Answer>
void simulated_fleet::deliver_request(std::size_t const node, std::size_t const pos, std::uint64_t const boot,
    std::function<void(simulated_worker &, reply<Answer>)> const &execute,
    std::function<void(outcome<Answer>)> const &finish) {
    if(is_partitioned(node, pos, true)) {
        return;
    }
    auto const execute_checked = [this, pos, boot, execute, finish](reply<Answer> const &answer) {
        auto &worker = workers_[pos];
        if(boot != 0u && setup_.commands_name_boot && worker.boot() != boot) {
            finish({std::nullopt, false, true});
            return;
        }
        execute(worker, answer);
        schedule_worker_wakeup(pos);
    };
    if(commands_delayed_until_ > queue_.now() && chance(command_delay_probability_)) {
        auto const extra_delay = chance(0.3) ? millis{} : draw(min_command_delay, max_command_delay);
        queue_.after(extra_delay, [this, pos, boot, execute]() {
            auto &worker = workers_[pos];
            auto const matches_boot = boot == 0u || !setup_.commands_name_boot || worker.boot() == boot;
            if(worker.is_up() && matches_boot) {
                execute(worker, [](auto const &) {});
                schedule_worker_wakeup(pos);
            }
        });
        return;
    }
    if(!workers_[pos].is_up()) {
        if(chance(0.5)) {
            queue_.after(delay(), [finish]() { finish({std::nullopt, true, false}); });
        }
        return;
    }
    execute_checked([this, node, pos, finish](std::optional<Answer> const &answer) {
        queue_.after(delay(), [=, this]() {
            if(!is_partitioned(node, pos, false)) {
                finish({answer, false, false});
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
    auto const answer = worker.start(run.key, live, token, expires_at, queue_.now());
    trace(run.key.job,
        boot_text + " answers " + std::string{name_of(answer)} + " to a start of " + text_of(run.key) + " with token " +
            std::to_string(token) + " meant for boot " + std::to_string(run.boot));
    if(answer == start_answer::started) {
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

// The log.

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
        if(auto const *claim = std::get_if<claim_record>(&record); claim != nullptr) {
            trace({}, "the log commits the claim of " + claim->leader + " with term " + std::to_string(claim->term));
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

void simulated_fleet::read_log(std::size_t const node) {
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
        std::vector<log_record> const records{
            log_.records().begin() + static_cast<std::ptrdiff_t>(first), log_.records().end()};
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
        entry.watch.apply_claim({claim->term, claim->leader, {}, false}, now);
        if(entry.leader_role != nullptr && entry.watch.claim().term > entry.leader_role->term()) {
            entry.leader_role->end();
            hosts_[node]->fenced();
        }
    }
}

// Leaders.

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
        if(is_idle && entry.watch.should_claim(entry.read_at, queue_.now())) {
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
        *hosts_[node], entry.name, term, sequence, claimed_at, setup_.defers_starts);
    entry.leader_role->set_rules(rules_);
    std::vector<job_entry const *> entries;
    for(auto const &[id, job]: entry.table.jobs()) {
        entries.push_back(&job);
    }
    std::sort(entries.begin(), entries.end(),
        [](auto const *lhs, auto const *rhs) { return lhs->definition.accepted_at < rhs->definition.accepted_at; });
    for(auto const *job: entries) {
        entry.leader_role->add_job(*job);
    }
    entry.leader_role->start();
}

// Faults.

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
        step.estimate = chance(0.1) ? draw(millis{8'000}, millis{16'000}) : draw(millis{200}, millis{4'000});
        if(pos > 0u) {
            step.after = {pos - 1u};
        }
        job.steps.push_back(step);
    }
    jobs_.emplace(job.id, job);
    checker_.define(job, max_attempts);
    execute_append(0u, {job}, std::nullopt);
}

// Main loop.

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
    for(auto const &violation: checker_.violations()) {
        result.violations.push_back(violation.text);
    }
    if(checker_.violations().empty()) {
        return;
    }
    auto const &job = checker_.violations().front().key.job;
    for(auto const &item: timeline_) {
        if(item.job.empty() || item.job == job) {
            auto const since = item.at - (instant{} + std::chrono::hours{1});
            result.timeline.push_back(std::to_string(since.count()) + " " + item.text);
        }
    }
}

// Environment of a leader.

instant node_host::now() const {
    return fleet_.queue_.now();
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

void node_host::poll(std::string const &worker, std::uint64_t const boot, poll_request const request,
    millis const timeout, std::function<void(poll_answer const *)> done) {
    fleet_.call<poll_answer>(
        node_, worker, boot, timeout,
        [this, request](simulated_worker &target, auto const &reply) {
            target.poll(
                request.token, request.kept_end, request.expires_at, request.wait,
                [reply](poll_answer const *const answer) {
                    reply(answer != nullptr ? std::optional{*answer} : std::nullopt);
                },
                now());
        },
        [done = std::move(done)](auto const &outcome) { done(outcome.answer ? &*outcome.answer : nullptr); });
}

void node_host::start(run_start run, std::uint64_t const token, std::int64_t const expires_at, millis const timeout,
    std::function<void(start_answer)> done) {
    auto const name = run.worker;
    auto const boot = run.boot;
    fleet_.call<start_answer>(
        node_, name, boot, timeout,
        [this, run = std::move(run), token, expires_at](simulated_worker &target, auto const &reply) {
            reply(fleet_.execute_start(target, run, token, expires_at));
        },
        [done = std::move(done)](auto const &outcome) {
            auto const silent = outcome.not_sent ? start_answer::not_sent : start_answer::unknown;
            done(outcome.is_other_boot ? start_answer::other_boot : outcome.answer.value_or(silent));
        });
}

void node_host::stop(run_stop stop, std::uint64_t const token, millis const timeout, std::function<void(bool)> done) {
    auto const name = stop.worker;
    auto const boot = stop.boot;
    fleet_.call<bool>(
        node_, name, boot, timeout,
        [this, stop = std::move(stop), token](simulated_worker &target, auto const &reply) {
            auto const grace = fleet_.draw(millis{30}, max_stop_grace);
            auto const is_accepted = target.stop(stop.key, token, grace, now());
            fleet_.trace(stop.key.job,
                target.name() + " boot " + std::to_string(target.boot()) + (is_accepted ? " accepts" : " rejects") +
                    " a stop of " + text_of(stop.key));
            reply(is_accepted);
        },
        [done = std::move(done)](auto const &outcome) { done(outcome.answer.value_or(false)); });
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

void node_host::fenced() {
    fleet_.trace({}, fleet_.nodes_[node_].name + " is no longer leader");
    fleet_.nodes_[node_].watch.record_leader_activity(now());
    fleet_.nodes_[node_].leader_role = nullptr;
}

} // namespace

std::string_view name_of(fleet_fault const fault) noexcept {
    return fault_names[static_cast<std::size_t>(fault)];
}

simulation_result simulate_fleet(simulation_setup const &setup) {
    return simulated_fleet{setup}.run();
}

} // namespace kingcuplink::test
