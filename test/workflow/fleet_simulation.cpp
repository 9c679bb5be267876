#include "fleet_simulation.hpp"

#include "event_queue.hpp"
#include "simulated_lead.hpp"

#include <algorithm>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/timing.hpp>
#include <limits>
#include <random>
#include <utility>

namespace kingcuplink::test {

namespace {

/*! Time in which jobs arrive and faults begin. */
constexpr millis trouble_time{32'000};
/*! Time after which every job has to have ended. */
constexpr millis whole_time{300'000};
/*! Time between two jobs. */
constexpr millis job_spacing{350};
constexpr millis shortest_delay{1};
constexpr millis longest_delay{5};
/*! When an order without an answer is carried out, if it is not at once. */
constexpr millis least_lateness{2'000};
constexpr millis most_lateness{12'000};
constexpr millis least_append_lateness{1'000};
constexpr millis most_append_lateness{6'000};
/*! Time that an entry VM waits for the log. */
constexpr millis log_timeout{1'200};
/*! Longest time that a worker takes to stop a run. */
constexpr millis longest_grace{300};
/*! Time that a gang waits for its members. */
constexpr millis gang_timeout{5'000};
/*! Silence after which a worker's registration goes. */
constexpr millis registration_silence{3'000};
constexpr std::uint32_t max_attempts = 3u;
constexpr resources worker_size{16'000, 65'536, 0};

constexpr std::array<std::string_view, fleet_faults.size()> fault_names{
    "worker_restart", "late_orders", "worker_cut", "node_freeze", "node_restart", "log_trouble"};

/*! An entry VM. */
struct simulated_node {
    std::string name;
    std::uint64_t life{1u};
    bool is_up{true};
    instant frozen_until{};
    job_table table;
    std::size_t offset{};
    /*! When the last read of the log that succeeded was sent. */
    instant read_at{};
    leader_watch watch{"", 0u};
    bool is_claiming{};
    std::shared_ptr<simulated_lead> lead;
};

/*! A cut between entry VMs and a worker. */
struct worker_cut {
    std::size_t worker{};
    /*! Entry VM that is cut off; all if it is none. */
    std::optional<std::size_t> node;
    bool holds_orders{};
    bool holds_answers{};
    instant until{};
};

enum class log_trouble_kind : std::uint8_t { lost_answers, late_appends, refusals, silence, one_way };

/*! A log that fails some entry VMs. */
struct log_trouble {
    log_trouble_kind kind{};
    std::optional<std::size_t> node;
    double share{};
    instant until{};
};

class simulated_fleet;

/*! One entry VM as its leader sees it. */
class node_host final : public lead_host {
public:
    node_host(simulated_fleet &fleet, std::size_t const node) : fleet_{fleet}, node_{node} {}

    [[nodiscard]] instant now() const override;
    void after(millis delay, action what) override;
    void soon(action what) override;
    void append(
        std::vector<log_record> records, append_writer writer, std::function<void(append_result)> done) override;
    void read_registrations(std::function<void(std::optional<std::vector<worker_registration>>)> done) override;
    void hold(std::string const &worker, std::uint64_t boot, hold_request request, millis timeout,
        std::function<void(hold_answer const *)> done) override;
    void start(run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout,
        std::function<void(start_answer)> done) override;
    void stop(run_stop stop, std::uint64_t token, millis timeout, std::function<void(bool)> done) override;
    void beat(std::uint64_t term, millis log_age, millis append_time) override;
    void note(std::string const &job, std::string const &text) override;
    void fenced() override;

private:
    simulated_fleet &fleet_;
    std::size_t node_;
};

/*! All of one simulation. */
class simulated_fleet {
public:
    explicit simulated_fleet(simulation_setup const &setup);

    simulation_result run();

private:
    friend class node_host;

    using action = event_queue::action;
    /*! Sends an answer back; nothing if the worker crashed. */
    template<typename Answer>
    using reply = std::function<void(std::optional<Answer>)>;

    template<typename Answer>
    struct outcome {
        std::optional<Answer> answer;
        /*! True if nothing was sent. */
        bool not_sent{};
        /*! True if another boot answered. */
        bool is_other_boot{};
    };

    [[nodiscard]] std::int64_t draw(std::int64_t least, std::int64_t most) {
        return std::uniform_int_distribution<std::int64_t>{least, most}(random_);
    }

    [[nodiscard]] millis draw(millis const least, millis const most) {
        return millis{draw(least.count(), most.count())};
    }

    [[nodiscard]] bool chance(double const share) {
        return std::bernoulli_distribution{share}(random_);
    }

    [[nodiscard]] millis delay() {
        return draw(shortest_delay, longest_delay);
    }

    [[nodiscard]] bool has(fleet_fault const fault) const {
        return setup_.faults.contains(fault);
    }

    void note(std::string const &job, std::string const &text);
    void on_node(std::size_t node, millis delay, action what);
    void deliver(std::size_t node, std::uint64_t life, action const &what);

    // Calls to workers.
    template<typename Answer>
    void call(std::size_t node, std::string const &name, std::uint64_t boot, millis timeout,
        std::function<void(simulated_worker &, reply<Answer>)> execute, std::function<void(outcome<Answer>)> done);
    template<typename Answer>
    void arrive(std::size_t node, std::size_t worker, std::uint64_t boot,
        std::function<void(simulated_worker &, reply<Answer>)> const &execute,
        std::function<void(outcome<Answer>)> const &finish);
    [[nodiscard]] bool is_cut(std::size_t node, std::size_t worker, bool is_order) const;
    [[nodiscard]] std::size_t index_of(std::string const &worker) const;
    start_answer execute_start(
        simulated_worker &worker, run_start const &run, std::uint64_t token, std::int64_t expires_at);
    void wake_worker(std::size_t worker);
    void tend_gang(std::string const &job, std::uint32_t step);
    void watch_gang_runs(std::size_t worker);
    void finish_gang(std::string const &job, std::uint32_t step, std::uint32_t run);

    // The log.
    void append(std::size_t node, std::vector<log_record> records, append_writer writer,
        std::function<void(simulated_log::answer)> done);
    simulated_log::answer execute_append(
        std::size_t node, std::vector<log_record> const &records, std::optional<append_writer> writer);
    [[nodiscard]] log_trouble const *trouble_at(std::size_t node) const;
    void read_log(std::size_t node);
    void apply(std::size_t node, log_record const &record);

    // Leaders.
    void watch_leader(std::size_t node);
    void claim(std::size_t node);
    void try_claim(std::size_t node, std::uint64_t term, std::uint64_t sequence, instant claimed_at);
    void begin_lead(
        std::size_t node, std::uint64_t term, std::uint64_t sequence, instant claimed_at, std::size_t offset);
    void start_node(std::size_t node);

    // What is played.
    void submit(std::size_t number);
    void play(fleet_fault fault);
    void restart_worker();
    void delay_orders();
    void cut_worker(std::size_t worker);
    void freeze_node();
    void cut_from_others(std::size_t node);
    void restart_node();
    void trouble_log();
    [[nodiscard]] std::size_t some_node(double leader_share);
    void register_later(std::size_t worker);

    void report(simulation_result &result) const;

    simulation_setup setup_;
    std::mt19937_64 random_;
    event_queue queue_;
    run_judge judge_;
    simulated_log log_;
    std::shared_ptr<site_rules> rules_{std::make_shared<site_rules>()};
    std::vector<simulated_worker> workers_;
    std::vector<instant> woken_at_;
    std::vector<simulated_node> nodes_;
    std::vector<std::unique_ptr<node_host>> hosts_;
    /*! Registrations as the platform has them. */
    std::map<std::string, worker_registration> registry_;
    std::map<std::string, job_definition> jobs_;
    /*! Gangs of which all members were present, by job, step and run: when they are done. */
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, instant> gangs_at_work_;
    std::map<std::string, job_phase> ended_;
    std::vector<worker_cut> cuts_;
    std::vector<log_trouble> log_troubles_;
    instant late_until_{};
    double late_share_{};
    std::size_t starts_{};
    std::size_t terms_{};
    std::size_t faults_{};
    struct line {
        instant at;
        std::string job;
        std::string text;
    };
    std::vector<line> timeline_;
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
        workers_.emplace_back("w" + std::to_string(pos), worker_size, rate, judge_, queue_.now());
        registry_.emplace(workers_.back().name(), workers_.back().registration());
    }
    woken_at_.resize(workers);
    auto const nodes = static_cast<std::size_t>(draw(2, 3));
    nodes_.resize(nodes);
    for(std::size_t pos{}; pos < nodes; ++pos) {
        hosts_.push_back(std::make_unique<node_host>(*this, pos));
        start_node(pos);
    }
    for(std::size_t pos{}; pos < workers; ++pos) {
        wake_worker(pos);
    }
}

void simulated_fleet::note(std::string const &job, std::string const &text) {
    if(setup_.keeps_timeline) {
        timeline_.push_back({queue_.now(), job, text});
    }
}

void simulated_fleet::on_node(std::size_t const node, millis const delay, action what) {
    queue_.after(
        delay, [this, node, life = nodes_[node].life, what = std::move(what)]() { deliver(node, life, what); });
}

void simulated_fleet::deliver(std::size_t const node, std::uint64_t const life, action const &what) {
    auto const &entry = nodes_[node];
    if(entry.life != life) {
        return;
    }
    if(entry.frozen_until > queue_.now()) {
        // What waited may run in any order.
        auto const wait = entry.frozen_until - queue_.now() + draw(millis{}, millis{3});
        queue_.after(wait, [this, node, life, what]() { deliver(node, life, what); });
        return;
    }
    what();
}

// Calls to workers.

std::size_t simulated_fleet::index_of(std::string const &worker) const {
    auto const found = std::find_if(
        workers_.begin(), workers_.end(), [&worker](auto const &item) { return item.name() == worker; });
    return static_cast<std::size_t>(found - workers_.begin());
}

bool simulated_fleet::is_cut(std::size_t const node, std::size_t const worker, bool const is_order) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](auto const &cut) {
        return cut.until > queue_.now() && cut.worker == worker && cut.node.value_or(node) == node &&
            (is_order ? cut.holds_orders : cut.holds_answers);
    });
}

template<typename Answer>
void simulated_fleet::call(std::size_t const node, std::string const &name, std::uint64_t const boot,
    millis const timeout, std::function<void(simulated_worker &, reply<Answer>)> execute,
    std::function<void(outcome<Answer>)> done) {
    auto const is_over = std::make_shared<bool>(false);
    std::function<void(outcome<Answer>)> const finish = [this, node, is_over, done = std::move(done)](
                                                            outcome<Answer> const &what) {
        on_node(node, millis{}, [is_over, done, what]() {
            if(!std::exchange(*is_over, true)) {
                done(what);
            }
        });
    };
    on_node(node, timeout, [finish]() { finish({}); });
    auto const worker = index_of(name);
    // The request is written once the entry VM runs, unless its time is over.
    on_node(node, draw(millis{}, millis{1}), [=, this, execute = std::move(execute)]() {
        if(!*is_over) {
            queue_.after(delay(), [=, this]() { arrive<Answer>(node, worker, boot, execute, finish); });
        }
    });
}

template<typename Answer>
void simulated_fleet::arrive(std::size_t const node, std::size_t const pos, std::uint64_t const boot,
    std::function<void(simulated_worker &, reply<Answer>)> const &execute,
    std::function<void(outcome<Answer>)> const &finish) {
    if(is_cut(node, pos, true)) {
        return;
    }
    auto const obey = [this, pos, boot, execute, finish](reply<Answer> const &answer) {
        auto &worker = workers_[pos];
        if(boot != 0u && setup_.orders_name_boot && worker.boot() != boot) {
            finish({std::nullopt, false, true});
            return;
        }
        execute(worker, answer);
        wake_worker(pos);
    };
    if(late_until_ > queue_.now() && chance(late_share_)) {
        auto const lateness = chance(0.3) ? millis{} : draw(least_lateness, most_lateness);
        queue_.after(lateness, [this, pos, boot, execute]() {
            auto &worker = workers_[pos];
            auto const is_meant = boot == 0u || !setup_.orders_name_boot || worker.boot() == boot;
            if(worker.is_up() && is_meant) {
                execute(worker, [](auto const &) {});
                wake_worker(pos);
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
    obey([this, node, pos, finish](std::optional<Answer> const &answer) {
        queue_.after(delay(), [=, this]() {
            if(!is_cut(node, pos, false)) {
                finish({answer, false, false});
            }
        });
    });
}

void simulated_fleet::wake_worker(std::size_t const pos) {
    auto &worker = workers_[pos];
    if(!worker.is_up()) {
        return;
    }
    auto const next = worker.next_event(queue_.now());
    if(woken_at_[pos] > queue_.now() && woken_at_[pos] <= next) {
        return;
    }
    woken_at_[pos] = next;
    queue_.after(next - queue_.now(), [this, pos]() {
        workers_[pos].advance(queue_.now());
        watch_gang_runs(pos);
        wake_worker(pos);
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
    note(run.key.job,
        boot_text + " answers " + std::string{name_of(answer)} + " to a start of " + text_of(run.key) + " with token " +
            std::to_string(token) + " meant for boot " + std::to_string(run.boot));
    if(answer == start_answer::started) {
        ++starts_;
        if(step.gang) {
            tend_gang(run.key.job, run.key.step);
        }
    }
    return answer;
}

void simulated_fleet::tend_gang(std::string const &job, std::uint32_t const step) {
    // Members of the latest run that are present.
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
        if(count >= definition.count && !gangs_at_work_.contains({job, step, run})) {
            auto const length = definition.estimate * draw(50, 150) / 100;
            gangs_at_work_[{job, step, run}] = queue_.now() + length;
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
    auto const is_whole = members.size() >= jobs_.at(job).steps[step].count;
    auto const fails = chance(0.1);
    for(auto const &[pos, key]: members) {
        auto const is_first = key == members.front().second;
        auto const broken = is_first && is_whole ? run_outcome::failed : run_outcome::broken;
        workers_[pos].end_run(key, is_whole && !fails ? run_outcome::done : broken, queue_.now());
    }
}

void simulated_fleet::watch_gang_runs(std::size_t const pos) {
    std::vector<run_key> alone;
    for(auto const &[key, run]: workers_[pos].runs()) {
        auto const is_at_work = gangs_at_work_.contains({key.job, key.step, key.run});
        if(run.is_gang && !is_at_work && run.ends_at <= queue_.now()) {
            alone.push_back(key);
        }
    }
    for(auto const &key: alone) {
        workers_[pos].end_run(key, run_outcome::alone, queue_.now());
    }
}

// The log.

log_trouble const *simulated_fleet::trouble_at(std::size_t const node) const {
    auto const found = std::find_if(log_troubles_.begin(), log_troubles_.end(),
        [&](auto const &item) { return item.until > queue_.now() && item.node.value_or(node) == node; });
    return found == log_troubles_.end() ? nullptr : &*found;
}

simulated_log::answer simulated_fleet::execute_append(
    std::size_t const node, std::vector<log_record> const &records, std::optional<append_writer> const writer) {
    auto const before = log_.records().size();
    auto const answer = log_.append(records, writer);
    for(auto pos = before; pos < log_.records().size(); ++pos) {
        auto const &record = log_.records()[pos];
        if(auto const *claim = std::get_if<claim_record>(&record); claim != nullptr) {
            note({}, "the log has a record of leader " + claim->leader + " with term " + std::to_string(claim->term));
        }
        auto const *item = std::get_if<progress_record>(&record);
        if(item == nullptr) {
            continue;
        }
        for(auto const &task: item->progress.tasks) {
            run_key const key{item->job, task.step, task.index, task.run};
            if(!task.worker.empty()) {
                judge_.note_intent(key, task.worker);
            }
            if(!setup_.keeps_timeline) {
                continue;
            }
            note(item->job,
                "the log has " + text_of(key) + (task.done ? " done" : "") + " failures " +
                    std::to_string(task.failures) + " worker '" + task.worker + "' by " + nodes_[node].name);
        }
        if(is_final(item->progress.phase) && ended_.emplace(item->job, item->progress.phase).second) {
            note(item->job, "the log has the job " + std::string{name_of(item->progress.phase)});
            auto const &steps = jobs_.at(item->job).steps;
            auto const has_cause = [&]() {
                for(std::uint32_t step{}; step < steps.size(); ++step) {
                    std::uint32_t sum{};
                    for(std::uint32_t index{}; index < steps[step].count; ++index) {
                        auto const failures = judge_.failures({item->job, step, index});
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
            if(item->progress.phase == job_phase::failed && !has_cause()) {
                judge_.report({item->job, 0u, 0u, 0u}, "failed without cause: " + item->job);
            }
        }
    }
    return answer;
}

void simulated_fleet::append(std::size_t const node, std::vector<log_record> records, append_writer const writer,
    std::function<void(simulated_log::answer)> done) {
    auto const is_over = std::make_shared<bool>(false);
    std::function<void(simulated_log::answer)> const finish = [this, node, is_over, done = std::move(done)](
                                                                  simulated_log::answer const &what) {
        on_node(node, millis{}, [is_over, done, what]() {
            if(!std::exchange(*is_over, true)) {
                done(what);
            }
        });
    };
    on_node(node, log_timeout, [finish]() { finish({append_result::unknown, 0u}); });
    on_node(node, delay(), [=, this, records = std::move(records)]() {
        auto const *trouble = trouble_at(node);
        auto const strikes = trouble != nullptr && chance(trouble->share);
        if(strikes && trouble->kind == log_trouble_kind::refusals) {
            queue_.after(delay(), [finish]() { finish({append_result::refused, 0u}); });
            return;
        }
        if(strikes && trouble->kind == log_trouble_kind::silence) {
            return;
        }
        auto const is_late = strikes && trouble->kind == log_trouble_kind::late_appends;
        auto const time = draw(millis{8}, millis{30}) +
            (is_late ? draw(least_append_lateness, most_append_lateness) : millis{});
        queue_.after(time, [=, this]() {
            auto const answer = execute_append(node, records, writer);
            if(!strikes) {
                queue_.after(delay(), [=]() { finish(answer); });
            }
        });
    });
}

void simulated_fleet::read_log(std::size_t const node) {
    auto const sent_at = queue_.now();
    on_node(node, delay(), [this, node, sent_at]() {
        auto const *trouble = trouble_at(node);
        auto const is_held = trouble != nullptr && trouble->kind >= log_trouble_kind::refusals &&
            chance(trouble->share);
        if(is_held) {
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
                : nodes_[node].lead != nullptr            ? timing::leader_read_spacing
                                                          : timing::follower_read_spacing;
            on_node(node, spacing, [this, node]() { read_log(node); });
        });
    });
}

void simulated_fleet::apply(std::size_t const node, log_record const &record) {
    auto &entry = nodes_[node];
    auto const now = queue_.now();
    if(auto const *job = std::get_if<job_definition>(&record); job != nullptr) {
        if(entry.table.define(*job) && entry.lead != nullptr) {
            entry.lead->add_job(*entry.table.find(job->id));
        }
    } else if(auto const *item = std::get_if<progress_record>(&record); item != nullptr) {
        entry.watch.note_record(now);
        entry.table.advance(item->job, item->progress, now);
    } else if(auto const *claim = std::get_if<claim_record>(&record); claim != nullptr) {
        entry.watch.note_claim({claim->term, claim->leader, {}, false}, now);
        if(entry.lead != nullptr && entry.watch.claim().term > entry.lead->term()) {
            entry.lead->end();
            hosts_[node]->fenced();
        }
    }
}

// Leaders.

void simulated_fleet::start_node(std::size_t const node) {
    auto &entry = nodes_[node];
    entry.name = "n" + std::to_string(node);
    entry.watch = leader_watch{entry.name, 0u};
    entry.watch.note_record(queue_.now());
    read_log(node);
    watch_leader(node);
}

void simulated_fleet::watch_leader(std::size_t const node) {
    on_node(node, millis{50}, [this, node]() {
        auto const &entry = nodes_[node];
        auto const is_idle = entry.lead == nullptr && !entry.is_claiming;
        if(is_idle && entry.watch.should_claim(entry.read_at, queue_.now())) {
            claim(node);
        }
        watch_leader(node);
    });
}

void simulated_fleet::claim(std::size_t const node) {
    nodes_[node].is_claiming = true;
    auto const most = std::int64_t{1} << 40;
    try_claim(node, nodes_[node].watch.claim().term + 1u, static_cast<std::uint64_t>(draw(1, most)), queue_.now());
}

void simulated_fleet::try_claim(
    std::size_t const node, std::uint64_t const term, std::uint64_t const sequence, instant const claimed_at) {
    append(node, {claim_record{term, nodes_[node].name}}, {term, sequence},
        [this, node, term, sequence, claimed_at](simulated_log::answer const &answer) {
            auto &entry = nodes_[node];
            if(answer.first == append_result::unknown) {
                on_node(node, timing::log_retry, [this, node, term, sequence, claimed_at]() {
                    if(nodes_[node].watch.claim().term < term) {
                        try_claim(node, term, sequence, claimed_at);
                        return;
                    }
                    nodes_[node].watch.note_failed_claim(queue_.now());
                    nodes_[node].is_claiming = false;
                });
                return;
            }
            if(answer.first != append_result::done) {
                entry.watch.note_failed_claim(queue_.now());
                entry.is_claiming = false;
                return;
            }
            begin_lead(node, term, sequence, claimed_at, answer.second);
        });
}

void simulated_fleet::begin_lead(std::size_t const node, std::uint64_t const term, std::uint64_t const sequence,
    instant const claimed_at, std::size_t const offset) {
    auto &entry = nodes_[node];
    if(entry.offset <= offset) {
        on_node(
            node, timing::claimant_read_spacing, [=, this]() { begin_lead(node, term, sequence, claimed_at, offset); });
        return;
    }
    entry.is_claiming = false;
    if(entry.watch.claim().term != term) {
        return;
    }
    ++terms_;
    note({}, entry.name + " begins to lead with term " + std::to_string(term));
    entry.lead = std::make_shared<simulated_lead>(
        *hosts_[node], entry.name, term, sequence, claimed_at, setup_.starts_wait);
    entry.lead->set_rules(rules_);
    std::vector<job_entry const *> entries;
    for(auto const &[id, job]: entry.table.jobs()) {
        entries.push_back(&job);
    }
    std::sort(entries.begin(), entries.end(),
        [](auto const *lhs, auto const *rhs) { return lhs->definition.accepted_at < rhs->definition.accepted_at; });
    for(auto const *job: entries) {
        entry.lead->add_job(*job);
    }
    entry.lead->start();
}

// Faults.

std::size_t simulated_fleet::some_node(double const leader_share) {
    auto const leader = std::find_if(
        nodes_.begin(), nodes_.end(), [](auto const &item) { return item.is_up && item.lead != nullptr; });
    if(leader != nodes_.end() && chance(leader_share)) {
        return static_cast<std::size_t>(leader - nodes_.begin());
    }
    return static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(nodes_.size()) - 1));
}

void simulated_fleet::play(fleet_fault const fault) {
    ++faults_;
    switch(fault) {
    case fleet_fault::worker_restart:
        restart_worker();
        break;
    case fleet_fault::late_orders:
        delay_orders();
        break;
    case fleet_fault::worker_cut:
        cut_worker(static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(workers_.size()) - 1)));
        break;
    case fleet_fault::node_freeze:
        freeze_node();
        break;
    case fleet_fault::node_restart:
        restart_node();
        break;
    case fleet_fault::log_trouble:
        trouble_log();
        break;
    }
}

void simulated_fleet::register_later(std::size_t const pos) {
    auto const lag = draw(millis{5}, millis{1'500});
    queue_.after(setup_.registrations_lag ? lag : millis{}, [this, pos]() {
        if(workers_[pos].is_up()) {
            registry_[workers_[pos].name()] = workers_[pos].registration();
        }
    });
}

void simulated_fleet::restart_worker() {
    auto const pos = static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(workers_.size()) - 1));
    if(has(fleet_fault::worker_cut) && chance(0.4)) {
        cut_worker(pos);
    }
    queue_.after(draw(millis{}, millis{1'000}), [this, pos]() {
        auto &worker = workers_[pos];
        if(!worker.is_up()) {
            return;
        }
        note({}, worker.name() + " crashes");
        worker.crash();
        auto const down = chance(0.15) ? draw(millis{3'000}, millis{9'000}) : draw(millis{20}, millis{1'500});
        queue_.after(registration_silence, [this, pos]() {
            if(!workers_[pos].is_up()) {
                registry_.erase(workers_[pos].name());
            }
        });
        queue_.after(down, [this, pos]() {
            workers_[pos].start_again(queue_.now());
            note({}, workers_[pos].name() + " is up as boot " + std::to_string(workers_[pos].boot()));
            wake_worker(pos);
            register_later(pos);
        });
    });
}

void simulated_fleet::delay_orders() {
    late_share_ = static_cast<double>(draw(10, 60)) / 100.0;
    late_until_ = queue_.now() + draw(millis{500}, millis{6'000});
    note({}, "orders get no answer with share " + std::to_string(late_share_));
    if(has(fleet_fault::worker_restart) && chance(0.6)) {
        queue_.after(draw(millis{200}, millis{5'000}), [this]() { restart_worker(); });
    }
}

void simulated_fleet::cut_worker(std::size_t const pos) {
    worker_cut cut;
    cut.worker = pos;
    if(chance(0.4)) {
        cut.node = some_node(0.6);
    }
    auto const way = draw(0, 3);
    cut.holds_orders = way != 0;
    cut.holds_answers = way != 1;
    cut.until = queue_.now() + (chance(0.3) ? draw(millis{9'000}, millis{25'000}) : draw(millis{200}, millis{9'000}));
    cuts_.push_back(cut);
    note({},
        workers_[pos].name() + " is cut off from " + (cut.node ? nodes_[*cut.node].name : std::string{"all"}) +
            (cut.holds_orders ? ", orders" : "") + (cut.holds_answers ? ", answers" : "") + " for " +
            std::to_string((cut.until - queue_.now()).count()) + " ms");
}

void simulated_fleet::freeze_node() {
    auto const node = some_node(0.8);
    auto const time = draw(millis{500}, millis{22'000});
    nodes_[node].frozen_until = std::max(nodes_[node].frozen_until, queue_.now() + time);
    note({}, nodes_[node].name + " stands still for " + std::to_string(time.count()) + " ms");
    if(has(fleet_fault::worker_cut) && chance(0.5)) {
        cut_from_others(node);
    }
}

void simulated_fleet::cut_from_others(std::size_t const node) {
    // Whoever leads next cannot tell the worker of a higher term.
    auto const pos = static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(workers_.size()) - 1));
    auto const until = queue_.now() + draw(millis{9'000}, millis{30'000});
    for(std::size_t other{}; other < nodes_.size(); ++other) {
        if(other != node) {
            cuts_.push_back({pos, other, true, true, until});
        }
    }
    note({},
        workers_[pos].name() + " is cut off from all but " + nodes_[node].name + " for " +
            std::to_string((until - queue_.now()).count()) + " ms");
}

void simulated_fleet::restart_node() {
    auto const node = some_node(0.7);
    auto &entry = nodes_[node];
    if(!entry.is_up) {
        return;
    }
    note({}, entry.name + " ends");
    if(entry.lead != nullptr) {
        entry.lead->end();
    }
    auto const life = entry.life + 1u;
    entry = simulated_node{};
    entry.life = life;
    entry.name = "n" + std::to_string(node);
    entry.is_up = false;
    queue_.after(draw(millis{200}, millis{3'000}), [this, node]() {
        nodes_[node].is_up = true;
        note({}, nodes_[node].name + " starts");
        start_node(node);
    });
}

void simulated_fleet::trouble_log() {
    log_trouble trouble;
    trouble.kind = static_cast<log_trouble_kind>(draw(0, 4));
    if(chance(0.5)) {
        trouble.node = some_node(0.8);
    }
    trouble.share = chance(0.5) ? 1.0 : static_cast<double>(draw(20, 90)) / 100.0;
    trouble.until = queue_.now() + draw(millis{300}, chance(0.3) ? millis{24'000} : millis{14'000});
    log_troubles_.push_back(trouble);
    if(trouble.node && has(fleet_fault::worker_cut) && chance(0.4)) {
        cut_from_others(*trouble.node);
    }
    note({},
        "the log has trouble of kind " + std::to_string(static_cast<int>(trouble.kind)) + " for " +
            (trouble.node ? nodes_[*trouble.node].name : std::string{"all"}) + " with share " +
            std::to_string(trouble.share) + " for " + std::to_string((trouble.until - queue_.now()).count()) + " ms");
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
    judge_.define(job, max_attempts);
    execute_append(0u, {job}, std::nullopt);
}

// The whole.

simulation_result simulated_fleet::run() {
    auto const begin = queue_.now();
    auto const jobs = static_cast<std::size_t>(trouble_time / job_spacing);
    for(std::size_t number{}; number < jobs; ++number) {
        queue_.after(job_spacing * static_cast<int>(number), [this, number]() { submit(number); });
    }
    auto const count = setup_.faults.empty() ? 0 : draw(3, setup_.most_faults);
    std::vector<fleet_fault> const kinds{setup_.faults.begin(), setup_.faults.end()};
    for(std::int64_t pos{}; pos < count; ++pos) {
        auto const kind = kinds[static_cast<std::size_t>(draw(0, static_cast<std::int64_t>(kinds.size()) - 1))];
        queue_.after(draw(millis{2'000}, trouble_time), [this, kind]() { play(kind); });
    }
    simulation_result result;
    while(queue_.now() < begin + whole_time && judge_.breaches().empty() &&
        (queue_.now() < begin + trouble_time || ended_.size() < jobs_.size())) {
        queue_.run_until(queue_.now() + millis{100});
    }
    if(judge_.breaches().empty()) {
        for(auto const &[id, job]: jobs_) {
            if(!ended_.contains(id)) {
                judge_.report({id, 0u, 0u, 0u}, "not ended: " + id);
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
    for(auto const &breach: judge_.breaches()) {
        result.breaches.push_back(breach.text);
    }
    if(judge_.breaches().empty()) {
        return;
    }
    auto const &job = judge_.breaches().front().key.job;
    for(auto const &item: timeline_) {
        if(item.job.empty() || item.job == job) {
            auto const since = item.at - (instant{} + std::chrono::hours{1});
            result.timeline.push_back(std::to_string(since.count()) + " " + item.text);
        }
    }
}

// One entry VM.

instant node_host::now() const {
    return fleet_.queue_.now();
}

void node_host::after(millis const delay, action what) {
    fleet_.on_node(node_, delay, std::move(what));
}

void node_host::soon(action what) {
    after(fleet_.draw(millis{}, millis{3}), std::move(what));
}

void node_host::append(
    std::vector<log_record> records, append_writer const writer, std::function<void(append_result)> done) {
    fleet_.append(node_, std::move(records), writer,
        [done = std::move(done)](simulated_log::answer const &answer) { done(answer.first); });
}

void node_host::read_registrations(std::function<void(std::optional<std::vector<worker_registration>>)> done) {
    auto const *trouble = fleet_.trouble_at(node_);
    if(trouble != nullptr && trouble->kind >= log_trouble_kind::refusals && fleet_.chance(trouble->share)) {
        after(millis{400}, [done = std::move(done)]() { done(std::nullopt); });
        return;
    }
    std::vector<worker_registration> entries;
    for(auto const &[name, entry]: fleet_.registry_) {
        entries.push_back(entry);
    }
    after(fleet_.delay(), [done = std::move(done), entries = std::move(entries)]() { done(entries); });
}

void node_host::hold(std::string const &worker, std::uint64_t const boot, hold_request const request,
    millis const timeout, std::function<void(hold_answer const *)> done) {
    fleet_.call<hold_answer>(
        node_, worker, boot, timeout,
        [this, request](simulated_worker &where, auto const &reply) {
            where.hold(
                request.token, request.kept_end, request.expires_at, request.wait,
                [reply](hold_answer const *const answer) {
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
        [this, run = std::move(run), token, expires_at](
            simulated_worker &where, auto const &reply) { reply(fleet_.execute_start(where, run, token, expires_at)); },
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
        [this, stop = std::move(stop), token](simulated_worker &where, auto const &reply) {
            auto const grace = fleet_.draw(millis{30}, longest_grace);
            auto const is_obeyed = where.stop(stop.key, token, grace, now());
            fleet_.note(stop.key.job,
                where.name() + " boot " + std::to_string(where.boot()) + (is_obeyed ? " takes" : " refuses") +
                    " a stop of " + text_of(stop.key));
            reply(is_obeyed);
        },
        [done = std::move(done)](auto const &outcome) { done(outcome.answer.value_or(false)); });
}

void node_host::beat(std::uint64_t const term, millis const log_age, millis const append_time) {
    for(std::size_t pos{}; pos < fleet_.nodes_.size(); ++pos) {
        if(pos != node_) {
            fleet_.on_node(pos, fleet_.delay(), [this, pos, term, log_age, append_time]() {
                fleet_.nodes_[pos].watch.note_beat({term, log_age, append_time, 0u}, now());
            });
        }
    }
}

void node_host::note(std::string const &job, std::string const &text) {
    fleet_.note(job, text);
}

void node_host::fenced() {
    fleet_.note({}, fleet_.nodes_[node_].name + " leads no longer");
    fleet_.nodes_[node_].watch.note_record(now());
    fleet_.nodes_[node_].lead = nullptr;
}

} // namespace

std::string_view name_of(fleet_fault const fault) noexcept {
    return fault_names[static_cast<std::size_t>(fault)];
}

simulation_result simulate_fleet(simulation_setup const &setup) {
    return simulated_fleet{setup}.run();
}

} // namespace kingcuplink::test
