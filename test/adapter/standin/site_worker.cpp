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
/*! Time between steps of a worker's clock. */
constexpr std::int64_t tick_ms = 5;
/*! Longest lease that a worker grants. */
constexpr std::int64_t longest_lease_ms = 6'000;
/*! Time that a member of a gang waits for the others. */
constexpr std::int64_t gang_timeout_ms = 3'000;
/*! Time for which a ticket may be used, with a margin for its way. */
constexpr std::int64_t ticket_ms = 2'000;
/*! Delay with which an order is carried out that got no answer. */
constexpr std::int64_t late_order_ms = 2'000;
constexpr std::int64_t shortest_hold_ms = 2'000;
constexpr std::int64_t longest_hold_ms = 12'000;
/*! Tolerance for the time between the sending of a call and its arrival. */
constexpr std::int64_t lease_margin_ms = 200;
/*! Time for which the entry of a boot that is no more stays. */
constexpr std::int64_t entry_expiry_ms = 1'500;
/*! Part of the workers that a step may run on, in tenths. */
constexpr std::uint64_t allowed_tenths = 7u;

std::uint64_t wall_ms() {
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(since).count());
}

std::mt19937 &dice() {
    static std::mt19937 engine{1u};
    return engine;
}

std::int64_t roll(std::int64_t const least, std::int64_t const most) {
    return std::uniform_int_distribution<std::int64_t>{least, most}(dice());
}

} // namespace

bool gang_board::join(run_key const &member, std::uint32_t const count) {
    auto &entry = gangs_[gang_of(member)];
    entry.present.insert(member.index);
    if(entry.present.size() == count && !entry.began_at) {
        entry.began_at = clock_ms();
    }
    return entry.began_at.has_value();
}

void gang_board::leave(run_key const &member) {
    auto &entry = gangs_[gang_of(member)];
    entry.present.erase(member.index);
    entry.is_broken = entry.began_at.has_value();
}

std::optional<std::int64_t> gang_board::began_at(run_key const &member) const {
    auto const found = gangs_.find(gang_of(member));
    return found == gangs_.end() ? std::nullopt : found->second.began_at;
}

bool gang_board::is_broken(run_key const &member) const {
    auto const found = gangs_.find(gang_of(member));
    return found != gangs_.end() && found->second.is_broken;
}

run_key gang_board::gang_of(run_key member) {
    member.index = 0u;
    return member;
}

std::string make_ticket(std::string const &step, std::string const &worker) {
    return step + "|" + worker + "|" + std::to_string(clock_ms());
}

bool is_allowed(std::string const &step, std::string const &worker) {
    // The ids of a machine's boots share what precedes the hyphen.
    auto const machine = worker.substr(0u, worker.find('-'));
    // Two workers take every step, so that none waits for ever.
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
    born_ = wall_ms();
    clock_start_ = clock_ms();
    service_->start();
    register_self();
    boost::asio::co_spawn(shared_.context, run_clock(shared_from_this()), boost::asio::detached);
}

std::int64_t site_worker::own_clock() const {
    return clock_ms() - clock_start_ + 1'000;
}

void site_worker::register_self() {
    register_odd({});
}

void site_worker::register_odd(boost::json::object const &fields) {
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

void site_worker::hold_calls(std::int64_t const percent, std::uint32_t const seed) {
    held_percent_ = percent;
    dice().seed(seed);
}

void site_worker::restart(next_boot const next) {
    log_event("restarts", name_ + (next.has_new_id ? " with a new id" : ""));
    ++boot_;
    while(!runs_.empty()) {
        end(runs_.begin(), run_end::lapsed);
    }
    ended_.clear();
    closed_.clear();
    token_ = 0u;
    next_end_ = 1u;
    lease_until_ = 0;
    service_->fault.outage = true;
    service_->close_connections();
    auto const back = [](std::shared_ptr<site_worker> const self, next_boot const how,
                          std::uint64_t const boot) -> boost::asio::awaitable<void> {
        co_await wait_for(how.down_ms);
        if(boot != self->boot_) {
            co_return;
        }
        self->born_ = wall_ms() + static_cast<std::uint64_t>(how.clock_shift_ms);
        self->clock_start_ = clock_ms();
        auto const former = self->name_;
        if(how.has_new_id) {
            self->name_ = self->machine_ + "-" + std::to_string(boot);
        }
        self->service_->fault.outage = false;
        self->register_self();
        if(how.has_new_id) {
            co_await wait_for(entry_expiry_ms);
            self->shared_.store.put("keyed.servers", former, std::nullopt);
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

void site_worker::mark_ends_lapsed() {
    for(auto &item: ended_) {
        if(!std::exchange(item.has_lapsed, true)) {
            log_event(
                "lease lapsed after the end", adapter::task_name(item.key) + " run " + std::to_string(item.key.run));
        }
    }
}

void site_worker::advance(std::int64_t const now) {
    if(own_clock() > lease_until_) {
        mark_ends_lapsed();
    }
    for(auto item = runs_.begin(); item != runs_.end();) {
        auto const here = item++;
        auto const passed = now - here->seen_at;
        here->seen_at = now;
        if(own_clock() > lease_until_) {
            end(here, run_end::lapsed);
            continue;
        }
        if(here->step.gang) {
            if(shared_.gangs.is_broken(here->key)) {
                end(here, run_end::broken);
                continue;
            }
            if(!shared_.gangs.began_at(here->key)) {
                if(now - here->begun_at > gang_timeout_ms) {
                    end(here, run_end::alone);
                }
                continue;
            }
        }
        here->worked_ms += is_stuck ? 0 : passed;
        if(here->worked_ms >= here->step.run_ms) {
            end(here, run_end::done);
        }
    }
}

void site_worker::end(std::list<run>::iterator const item, run_end const how) {
    auto const key = item->key;
    if(item->step.gang && how != run_end::done) {
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
    if(service_->fault.outage) {
        co_return json_answer(503u, boost::json::object{});
    }
    auto const meant = message.find("X-Target-Instance");
    if((meant != message.end() && meant->value() != name_) || (boot != boot_ && tells_boots_apart)) {
        co_return json_answer(421u, boost::json::object{{"clock_ms", own_clock()}});
    }
    auto answer = co_await carry_out(target, std::move(body), arrived_at);
    if(is_held) {
        log_event("carried out late",
            name_ + " " + target + " with " + std::to_string(answer.result_int()) + " in boot " +
                std::to_string(boot_) + ", sent to " + std::to_string(boot));
    }
    co_return answer;
}

boost::asio::awaitable<response> site_worker::carry_out(
    std::string const target, boost::json::value body, std::int64_t const arrived_at) {
    advance(clock_ms());
    if(target == "/-/hold") {
        co_return co_await hold(std::move(body));
    }
    auto const is_start = target == "/-/run-start";
    if(!is_start && target != "/-/run-stop") {
        co_return json_answer(404u, boost::json::object{});
    }
    auto const key = adapter::parse_run(text_in(body, "task"), integer_in(body, "run_id").value_or(0u));
    if(!key) {
        co_return json_answer(400u, boost::json::object{});
    }
    if(!takes_token(body)) {
        co_return refused("fence");
    }
    if(is_start) {
        co_return start_run(body, *key, arrived_at);
    }
    co_return stop_run(*key);
}

boost::asio::awaitable<bool> site_worker::delay(std::string const target) {
    if(held_percent_ > 0 && roll(0, 99) < held_percent_) {
        auto const time = roll(shortest_hold_ms, longest_hold_ms);
        log_event("held for " + std::to_string(time) + " ms", name_ + " " + target);
        if(roll(0, 1) == 0) {
            service_->close_connections();
        }
        co_await wait_for(time);
        co_return true;
    }
    if(target != "/-/hold" && roll(0, 99) < late_percent) {
        co_await wait_for(late_order_ms);
    }
    co_return false;
}

bool site_worker::takes_token(boost::json::value const &body) {
    auto const token = integer_in(body, "fencing_token").value_or(0u);
    if(token < token_) {
        return false;
    }
    token_ = token;
    return true;
}

void site_worker::extend_lease(boost::json::value const &body) {
    if(auto const until = integer_in(body, "expires_ms")) {
        auto const most = own_clock() + longest_lease_ms;
        lease_until_ = std::max(lease_until_, std::min(static_cast<std::int64_t>(*until), most));
    }
}

response site_worker::refused(std::string_view const reason) const {
    return json_answer(409u, boost::json::object{{"clock_ms", own_clock()}, {"reason", reason}});
}

boost::asio::awaitable<response> site_worker::hold(boost::json::value const body) {
    if(!takes_token(body)) {
        co_return refused("fence");
    }
    extend_lease(body);
    auto const kept = integer_in(body, "ack_cursor").value_or(0u);
    std::erase_if(ended_, [&](auto const &item) {
        if(item.number <= kept && !item.has_lapsed) {
            shared_.record.taken_note(item.key, item.how);
        }
        return item.number <= kept;
    });
    auto const until = clock_ms() + static_cast<std::int64_t>(integer_in(body, "wait_ms").value_or(0u));
    while(ended_.empty() && clock_ms() < until) {
        co_await wait_for(tick_ms);
    }
    co_return listed();
}

response site_worker::listed() const {
    boost::json::array running;
    for(auto const &item: runs_) {
        auto const part = item.worked_ms * 100 / std::max<std::int64_t>(1, item.step.run_ms);
        running.push_back(boost::json::array{adapter::task_name(item.key), item.key.run, "", part, 0});
    }
    boost::json::array ended;
    if(lists_odd_rows) {
        running.push_back(boost::json::array{"00000000000000ff.0.0.0", -2, "", 1e300, 0});
        ended.push_back(boost::json::array{1e300, "00000000000000ff.0.0.0", -1, "done", ""});
    }
    for(auto const &item: ended_) {
        ended.push_back(
            boost::json::array{item.number, adapter::task_name(item.key), item.key.run, name_of(item.how), ""});
    }
    return json_answer(200u,
        boost::json::object{{"clock_ms", own_clock()}, {"born", born_}, {"running", std::move(running)},
            {"ended_runs", std::move(ended)}});
}

bool site_worker::has_ticket(boost::json::value const &body, run_key const &key) const {
    auto const ticket = text_in(body, "ticket");
    auto const step = key.job + ".0." + std::to_string(key.step);
    auto const prefix = step + "|" + name_ + "|";
    return is_allowed(step, name_) && ticket.starts_with(prefix) &&
        std::stoll(ticket.substr(prefix.size())) + ticket_ms >= clock_ms();
}

response site_worker::start_run(boost::json::value const &body, run_key const &key, std::int64_t const arrived_at) {
    auto const is_here = std::any_of(runs_.begin(), runs_.end(), [&key](auto const &item) { return item.key == key; });
    if(is_here) {
        return json_answer(200u, boost::json::object{{"clock_ms", own_clock()}});
    }
    scripted_task const task{key.job, key.step, key.index};
    if(auto const closed = closed_.find(task); closed != closed_.end() && closed->second >= key.run) {
        extend_lease(body);
        return refused("old");
    }
    if(static_cast<std::int64_t>(integer_in(body, "expires_ms").value_or(0u)) <= own_clock()) {
        return refused("late");
    }
    if(shared_.needs_tickets && !has_ticket(body, key)) {
        return refused("ticket");
    }
    extend_lease(body);
    auto const steps = parse_steps(text_in(body, "spec"));
    runs_.push_back({key, steps.at(key.step), clock_ms(), 0, clock_ms()});
    shared_.record.started(key, steps, name_);
    if(auto const held_ms = clock_ms() - arrived_at; held_ms > longest_lease_ms + lease_margin_ms) {
        shared_.record.started_beyond_lease(key, name_, held_ms);
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
    return json_answer(200u, boost::json::object{{"clock_ms", own_clock()}});
}

response site_worker::stop_run(run_key const &key) {
    auto const found = std::find_if(runs_.begin(), runs_.end(), [&key](auto const &item) { return item.key == key; });
    if(found != runs_.end()) {
        end(found, run_end::stopped);
    }
    auto &closed = closed_[{key.job, key.step, key.index}];
    closed = std::max(closed, key.run);
    return json_answer(200u, boost::json::object{{"clock_ms", own_clock()}});
}

} // namespace kingcuplink::standin
