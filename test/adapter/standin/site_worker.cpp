#include "site_worker.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <platform/worker_client.hpp>
#include <random>

namespace kingcuplink::standin {

namespace {

constexpr std::int64_t worker_millicores = 16'000;
/*! Interval at which a worker advances its runs. */
constexpr std::int64_t tick_ms = 5;
/*! Maximum duration of a lease that a worker grants. */
constexpr std::int64_t max_lease_ms = 6'000;
/*! Time for which a gang member waits for the others. */
constexpr std::int64_t gang_timeout_ms = 3'000;
/*! Validity of a ticket, including a margin for its transmission. */
constexpr std::int64_t ticket_ms = 2'000;
/*! Delay of a command that is executed late. */
constexpr std::int64_t late_command_delay_ms = 2'000;
/*! Tolerance for the transmission time of a call. */
constexpr std::int64_t lease_margin_ms = 200;
/*! Time for which the registration of an ended boot remains. */
constexpr std::int64_t entry_expiry_ms = 1'500;
/*! Share of the workers on which a step may run, in tenths. */
constexpr std::uint64_t allowed_tenths = 7u;

std::uint64_t unix_time_ms() {
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::mt19937 &random_engine() {
    static std::mt19937 engine{1u};
    return engine;
}

std::int64_t random_between(std::int64_t const least, std::int64_t const most) {
    return std::uniform_int_distribution<std::int64_t>{least, most}(random_engine());
}

} // namespace

bool gang_registry::join(run_key const &member, std::uint32_t const count) {
    auto &entry = gangs_[gang_of(member)];
    entry.present.insert(member.index);
    if(entry.present.size() == count && !entry.gang_started_at) {
        entry.gang_started_at = clock_ms();
    }
    return entry.gang_started_at.has_value();
}

void gang_registry::leave(run_key const &member) {
    auto &entry = gangs_[gang_of(member)];
    entry.present.erase(member.index);
    entry.is_broken = entry.gang_started_at.has_value();
}

std::optional<std::int64_t> gang_registry::gang_started_at(run_key const &member) const {
    auto const found = gangs_.find(gang_of(member));
    return found == gangs_.end() ? std::nullopt : found->second.gang_started_at;
}

bool gang_registry::is_broken(run_key const &member) const {
    auto const found = gangs_.find(gang_of(member));
    return found != gangs_.end() && found->second.is_broken;
}

run_key gang_registry::gang_of(run_key member) {
    member.index = 0u;
    return member;
}

std::string make_ticket(std::string const &step, std::string const &worker, std::uint64_t const born) {
    return step + "|" + worker + "|" + std::to_string(clock_ms()) + "|" + std::to_string(born);
}

std::string machine_of(std::string const &worker) {
    return worker.substr(0u, worker.find('-'));
}

bool is_allowed(std::string const &step, std::string const &worker) {
    auto const machine = machine_of(worker);
    // Two workers accept every step, so that no step waits forever.
    return machine == "w0" || machine == "w1" || stable_hash(step + machine) % 10u < allowed_tenths;
}

site_worker::site_worker(
    site_shared const shared, std::string name, std::string address, std::string announced, std::string domain)
    : shared_{shared},
      machine_{std::move(name)},
      name_{machine_},
      address_{std::move(address)},
      announced_{std::move(announced)},
      domain_{std::move(domain)} {}

void site_worker::start() {
    auto const weak = weak_from_this();
    auto const on_request = [weak](request message) -> boost::asio::awaitable<response> {
        auto const self = weak.lock();
        if(!self) {
            co_return json_answer(503u, boost::json::object{});
        }
        co_return co_await self->handle(std::move(message));
    };
    service_ = std::make_shared<http_service>(shared_.context, address_, on_request);
    born_ = unix_time_ms();
    clock_start_ = clock_ms();
    service_->start();
    register_self();
    boost::asio::co_spawn(shared_.context, run_clock(shared_from_this()), boost::asio::detached);
}

std::int64_t site_worker::worker_clock() const {
    return clock_ms() - clock_start_ + 1'000;
}

void site_worker::register_self() {
    register_with({});
}

void site_worker::register_with(boost::json::object const &fields) {
    boost::json::object entry{{"service", "work"}, {"address", announced_}, {"zone", domain_},
        {"state", is_leaving_ ? "draining" : "ready"}, {"born", born_},
        {"capacity", boost::json::object{{"cpu", worker_millicores}, {"mem_mb", 65'536}, {"gpus", 0}}},
        {"labels", boost::json::array{}}};
    for(auto const &field: fields) {
        entry[field.key()] = field.value();
    }
    shared_.store.put("keyed.servers", name_, boost::json::serialize(entry));
}

void site_worker::set_leaving(bool const leaving) {
    is_leaving_ = leaving;
    register_self();
}

void site_worker::hold_calls(hold_options const options) {
    held_ = options;
    random_engine().seed(options.seed);
}

void site_worker::restart(restart_options const next) {
    log_event("restarts", name_ + (next.has_new_id ? " with a new id" : ""));
    ++boot_;
    while(!runs_.empty()) {
        end(runs_.begin(), run_outcome::lapsed);
    }
    ended_.clear();
    closed_.clear();
    token_ = 0u;
    next_end_ = 1u;
    lease_until_ = 0;
    service_->fault.outage = true;
    service_->close_connections();
    auto const back = [](std::shared_ptr<site_worker> const self, restart_options const how,
                          std::uint64_t const boot) -> boost::asio::awaitable<void> {
        co_await wait_for(how.down_ms);
        if(boot != self->boot_) {
            co_return;
        }
        self->born_ = unix_time_ms() + static_cast<std::uint64_t>(how.clock_shift_ms);
        self->clock_start_ = clock_ms();
        auto const previous_name = self->name_;
        if(how.has_new_id) {
            self->name_ = self->machine_ + "-" + std::to_string(boot);
        }
        self->service_->fault.outage = false;
        self->register_self();
        if(how.has_new_id) {
            co_await wait_for(entry_expiry_ms);
            self->shared_.store.put("keyed.servers", previous_name, std::nullopt);
        }
    };
    boost::asio::co_spawn(shared_.context, back(shared_from_this(), next, boot_), boost::asio::detached);
}

boost::asio::awaitable<void> site_worker::run_clock([[maybe_unused]] std::shared_ptr<site_worker> self) {
    while(true) {
        co_await wait_for(tick_ms);
        advance(clock_ms());
    }
}

void site_worker::mark_ended_runs_expired() {
    for(auto &item: ended_) {
        if(!std::exchange(item.is_lease_expired, true)) {
            log_event(
                "lease expired after the end", adapter::task_name(item.key) + " run " + std::to_string(item.key.run));
        }
    }
}

void site_worker::advance(std::int64_t const now) {
    if(worker_clock() > lease_until_) {
        mark_ended_runs_expired();
    }
    for(auto item = runs_.begin(); item != runs_.end();) {
        auto const current = item++;
        auto const elapsed = now - current->updated_at;
        current->updated_at = now;
        if(worker_clock() > lease_until_) {
            end(current, run_outcome::lapsed);
            continue;
        }
        if(current->step.gang) {
            if(shared_.gangs.is_broken(current->key)) {
                end(current, run_outcome::broken);
                continue;
            }
            if(!shared_.gangs.gang_started_at(current->key)) {
                if(now - current->started_at > gang_timeout_ms) {
                    end(current, run_outcome::alone);
                }
                continue;
            }
        }
        current->executed_ms += is_stuck ? 0 : elapsed;
        if(current->executed_ms >= current->step.run_ms) {
            end(current, run_outcome::done);
        }
    }
}

void site_worker::end(std::list<run>::iterator const item, run_outcome const how) {
    auto const key = item->key;
    if(item->step.gang && how != run_outcome::done) {
        shared_.gangs.leave(key);
    }
    runs_.erase(item);
    shared_.record.ended(key, how);
    auto &closed = closed_[{key.job, key.step, key.index}];
    closed = std::max(closed, key.run);
    ended_.push_back({next_end_++, key, how});
}

boost::asio::awaitable<response> site_worker::handle(request message) {
    boost::system::error_code error;
    auto body = boost::json::parse(message.body(), error);
    if(error || !body.is_object()) {
        co_return json_answer(400u, boost::json::object{});
    }
    auto const target = std::string{message.target()};
    auto const arrived_at = clock_ms();
    auto const boot = boot_;
    auto const is_held = co_await delay(target);
    if(boot != boot_ && drops_late_calls) {
        log_event("dropped", name_ + " " + target + ", sent to boot " + std::to_string(boot));
        // The restart closed the connection of this answer.
        co_return json_answer(503u, boost::json::object{});
    }
    if(service_->fault.outage) {
        co_return json_answer(503u, boost::json::object{});
    }
    auto const target_instance = message.find("X-Target-Instance");
    if((target_instance != message.end() && target_instance->value() != name_) ||
        (boot != boot_ && rejects_stale_boots)) {
        co_return json_answer(421u, boost::json::object{{"clock_ms", worker_clock()}});
    }
    auto answer = co_await execute(target, std::move(body), arrived_at);
    if(is_held) {
        log_event("executed late",
            name_ + " " + target + " with " + std::to_string(answer.result_int()) + " in boot " +
                std::to_string(boot_) + ", sent to " + std::to_string(boot));
    }
    co_return answer;
}

boost::asio::awaitable<response> site_worker::execute(
    std::string const target, boost::json::value body, std::int64_t const arrived_at) {
    advance(clock_ms());
    if(target == "/-/hold") {
        co_return co_await hold(std::move(body));
    }
    auto const is_start = target == "/-/run-start";
    if(!is_start && target != "/-/run-stop") {
        co_return json_answer(404u, boost::json::object{});
    }
    auto const key = adapter::parse_run_key(text_in(body, "task"), integer_in(body, "run_id").value_or(0u));
    if(!key) {
        co_return json_answer(400u, boost::json::object{});
    }
    if(!accept_token(body)) {
        co_return rejected_answer("fence");
    }
    if(is_start) {
        co_return start_run(body, *key, arrived_at);
    }
    co_return stop_run(*key);
}

boost::asio::awaitable<bool> site_worker::delay(std::string const target) {
    if(held_.percent > 0 && random_between(0, 99) < held_.percent) {
        auto const time = random_between(held_.shortest_ms, held_.longest_ms);
        log_event("held for " + std::to_string(time) + " ms", name_ + " " + target);
        if(random_between(0, 1) == 0) {
            service_->close_connections();
        }
        co_await wait_for(time);
        co_return true;
    }
    if(target != "/-/hold" && random_between(0, 99) < late_command_percent) {
        co_await wait_for(late_command_delay_ms);
    }
    co_return false;
}

bool site_worker::accept_token(boost::json::value const &body) {
    auto const token = integer_in(body, "fencing_token").value_or(0u);
    if(token < token_) {
        return false;
    }
    token_ = token;
    return true;
}

void site_worker::extend_lease(boost::json::value const &body) {
    if(auto const until = integer_in(body, "expires_ms")) {
        auto const most = worker_clock() + max_lease_ms;
        lease_until_ = std::max(lease_until_, std::min(static_cast<std::int64_t>(*until), most));
    }
}

response site_worker::rejected_answer(std::string_view const reason) const {
    return json_answer(409u, boost::json::object{{"clock_ms", worker_clock()}, {"reason", reason}});
}

boost::asio::awaitable<response> site_worker::hold(boost::json::value const body) {
    if(!accept_token(body)) {
        co_return rejected_answer("fence");
    }
    extend_lease(body);
    auto const cursor = integer_in(body, "ack_cursor").value_or(0u);
    std::erase_if(ended_, [&](auto const &item) {
        if(item.number <= cursor && !item.is_lease_expired) {
            shared_.record.acknowledged(item.key, item.how);
        }
        return item.number <= cursor;
    });
    auto const until = clock_ms() + static_cast<std::int64_t>(integer_in(body, "wait_ms").value_or(0u));
    while(ended_.empty() && clock_ms() < until) {
        co_await wait_for(tick_ms);
    }
    co_return list_runs();
}

response site_worker::list_runs() const {
    boost::json::array running;
    for(auto const &item: runs_) {
        auto const progress = item.executed_ms * 100 / std::max<std::int64_t>(1, item.step.run_ms);
        running.push_back(boost::json::array{adapter::task_name(item.key), item.key.run, "", progress, 0});
    }
    boost::json::array ended;
    if(lists_malformed_rows) {
        running.push_back(boost::json::array{"00000000000000ff.0.0.0", -2, "", 1e300, 0});
        ended.push_back(boost::json::array{1e300, "00000000000000ff.0.0.0", -1, "done", ""});
    }
    for(auto const &item: ended_) {
        ended.push_back(
            boost::json::array{item.number, adapter::task_name(item.key), item.key.run, name_of(item.how), ""});
    }
    return json_answer(200u,
        boost::json::object{{"clock_ms", worker_clock()}, {"born", born_}, {"running", std::move(running)},
            {"ended_runs", std::move(ended)}});
}

bool site_worker::has_ticket(boost::json::value const &body, run_key const &key) const {
    auto const ticket = text_in(body, "ticket");
    auto const step = key.job + ".0." + std::to_string(key.step);
    auto const prefix = step + "|" + name_ + "|";
    return is_allowed(step, name_) && ticket.starts_with(prefix) &&
        std::stoll(ticket.substr(prefix.size())) + ticket_ms >= clock_ms() &&
        (!binds_tickets || ticket.ends_with("|" + std::to_string(born_)));
}

response site_worker::start_run(boost::json::value const &body, run_key const &key, std::int64_t const arrived_at) {
    auto const is_running = std::any_of(
        runs_.begin(), runs_.end(), [&key](auto const &item) { return item.key == key; });
    if(is_running) {
        return json_answer(200u, boost::json::object{{"clock_ms", worker_clock()}});
    }
    scripted_task const task{key.job, key.step, key.index};
    if(auto const closed = closed_.find(task); closed != closed_.end() && closed->second >= key.run) {
        extend_lease(body);
        return rejected_answer("old");
    }
    if(static_cast<std::int64_t>(integer_in(body, "expires_ms").value_or(0u)) <= worker_clock()) {
        return rejected_answer("late");
    }
    if(shared_.needs_tickets && !has_ticket(body, key)) {
        return rejected_answer("ticket");
    }
    extend_lease(body);
    auto const steps = parse_steps(text_in(body, "spec"));
    runs_.push_back({key, steps.at(key.step), clock_ms(), 0, clock_ms()});
    shared_.record.started(key, steps, name_);
    if(auto const held_ms = clock_ms() - arrived_at; held_ms > max_lease_ms + lease_margin_ms) {
        shared_.record.started_after_lease_expiry(key, name_, held_ms);
    }
    if(steps.at(key.step).gang) {
        shared_.gangs.join(key, steps.at(key.step).count);
    }
    std::int64_t used{};
    for(auto const &item: runs_) {
        used += item.step.millicores;
    }
    if(used > worker_millicores) {
        shared_.record.overcommitted(name_, used);
    }
    return json_answer(200u, boost::json::object{{"clock_ms", worker_clock()}});
}

response site_worker::stop_run(run_key const &key) {
    auto const found = std::find_if(runs_.begin(), runs_.end(), [&key](auto const &item) { return item.key == key; });
    if(found != runs_.end()) {
        end(found, run_outcome::stopped);
    }
    auto &closed = closed_[{key.job, key.step, key.index}];
    closed = std::max(closed, key.run);
    return json_answer(200u, boost::json::object{{"clock_ms", worker_clock()}});
}

} // namespace kingcuplink::standin
