#include "soak_run.hpp"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <iostream>
#include <kingcuplink/core/json_fields.hpp>
#include <limits>
#include <optional>

namespace kingcuplink::soak {

namespace {

namespace json = boost::json;

using std::chrono::milliseconds;

/*! Faults that may overlap. */
constexpr std::size_t most_open = 3u;
constexpr std::size_t most_open_with_late_orders = 5u;
constexpr std::size_t shortest_fault_ms = 200u;
constexpr std::size_t longest_fault_ms = 4'000u;
constexpr std::size_t longest_calm_ms = 900u;
/*! How often odd entries are drawn beside ten other faults. */
constexpr std::size_t odd_entry_weight = 5u;
/*! How often late orders and what goes with them are drawn. */
constexpr std::size_t late_order_weight = 10u;
constexpr std::size_t shortest_late_fault_ms = 2'000u;
constexpr std::size_t longest_late_fault_ms = 9'000u;
constexpr std::size_t held_percent = 40u;
/*! Time beyond the longest hold after which no call is held any more. */
constexpr auto hold_margin = std::chrono::seconds{1};
constexpr auto step = milliseconds{50};
/*! Time for everything to be done once all faults are healed: inherited leases of 13 s, and the backlog. */
constexpr auto settle_limit = std::chrono::seconds{60};

} // namespace

soak_run::soak_run(std::uint64_t const seed, soak_options const options)
    : random_{seed}, seed_{seed}, options_{options} {
    test::site_options site;
    // A ticket lapses sooner than a call that is held for the usual time arrives.
    site.uses_adviser = options_.tickets.value_or(!options_.late_orders);
    site.route = [this](std::string const &user, std::string const &part, std::string const &address) {
        return route(user, part, address);
    };
    proxy_thread_ = std::thread{[this]() { context_.run(); }};
    site_ = std::make_unique<test::site_fleet>(std::move(site));
    for(auto const &worker: site_->workers()) {
        site_->change_platform({{"worker", worker}, {"tells_boots_apart", !options_.shared_ids},
            {"boot_tickets", options_.boot_tickets}, {"drops_late_calls", options_.drop_late_calls}});
    }
    result_.folder = site_->processes().folder();
}

soak_run::~soak_run() {
    site_.reset();
    context_.stop();
    proxy_thread_.join();
}

std::string soak_run::route(std::string const &user, std::string const &part, std::string const &address) {
    auto own = ports_.take_address();
    auto const proxy = std::make_shared<fault_proxy>(context_, own, address);
    proxy->start();
    proxies_[user.empty() ? part : user + " to " + part] = proxy;
    return own;
}

std::size_t soak_run::draw(std::size_t const count) {
    return random_() % count;
}

void soak_run::note(std::string const &text) const {
    auto const at = std::chrono::duration_cast<milliseconds>(clock::now() - begun_at_).count();
    std::cout << "seed " << seed_ << " at " << at << " ms: " << text << std::endl;
}

std::optional<soak_run::open_fault> soak_run::end_vm() {
    auto const vm = site_->entry_vms()[draw(site_->entry_vms().size())];
    auto const is_graceful = draw(3u) == 0u;
    if(harmed_.contains(vm) || (is_graceful && !site_->processes().handles(vm, SIGTERM))) {
        return std::nullopt;
    }
    harmed_.insert(vm);
    if(is_graceful) {
        site_->processes().signal(vm, SIGTERM);
    } else {
        site_->processes().kill(vm);
    }
    return open_fault{{}, vm + (is_graceful ? " is stopped" : " is killed"), [this, vm, is_graceful]() {
                          if(is_graceful && site_->processes().stop(vm) != 0) {
                              result_.breaches.push_back(vm + " did not end well when it was stopped");
                          }
                          site_->start(vm);
                          harmed_.erase(vm);
                      }};
}

std::optional<soak_run::open_fault> soak_run::freeze_vm() {
    return freeze(site_->entry_vms()[draw(site_->entry_vms().size())]);
}

std::optional<soak_run::open_fault> soak_run::freeze_leader() {
    auto const vm = site_->leader();
    auto begun = vm.empty() ? std::nullopt : freeze(vm);
    if(begun) {
        begun->what += " while it leads";
    }
    return begun;
}

std::optional<soak_run::open_fault> soak_run::freeze(std::string const &vm) {
    if(!harmed_.insert(vm).second) {
        return std::nullopt;
    }
    site_->processes().signal(vm, SIGSTOP);
    return open_fault{{}, vm + " is frozen", [this, vm]() {
                          site_->processes().signal(vm, SIGCONT);
                          harmed_.erase(vm);
                      }};
}

std::optional<soak_run::open_fault> soak_run::reload_vm() {
    auto const vm = site_->entry_vms()[draw(site_->entry_vms().size())];
    if(harmed_.contains(vm) || !site_->processes().handles(vm, SIGHUP)) {
        return std::nullopt;
    }
    site_->processes().signal(vm, SIGHUP);
    return open_fault{{}, vm + " gets SIGHUP", []() {}};
}

std::optional<soak_run::open_fault> soak_run::harm_store() {
    struct row {
        std::string_view what;
        json::object begin;
        json::object end;
    };
    std::array<row, 4u> const rows{{
        {"the store is down", {{"store", json::object{{"outage", true}}}},
            {{"store", json::object{{"outage", false}}}}},
        {"the store is slow", {{"store", json::object{{"slow_ms", 300}}}}, {{"store", json::object{{"slow_ms", 0}}}}},
        {"the store loses answers", {{"store", json::object{{"lose_answers", true}}}},
            {{"store", json::object{{"lose_answers", false}}}}},
        {"the store forgets its history", {{"forget_history", true}}, {{"forget_history", true}}},
    }};
    auto const item = rows[draw(rows.size())];
    if(!harmed_.insert("store").second) {
        return std::nullopt;
    }
    site_->change_platform(item.begin);
    return open_fault{{}, std::string{item.what}, [this, item]() {
                          site_->change_platform(item.end);
                          harmed_.erase("store");
                      }};
}

std::optional<soak_run::open_fault> soak_run::harm_link() {
    constexpr std::array<link_fault, 5u> kinds{
        link_fault::delayed, link_fault::reset, link_fault::cut_forward, link_fault::cut_back, link_fault::silent};
    auto const kind = kinds[draw(kinds.size())];
    auto entry = proxies_.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(draw(proxies_.size())));
    auto const [name, proxy] = *entry;
    if(!harmed_.insert("link " + name).second) {
        return std::nullopt;
    }
    proxy->set(kind);
    return open_fault{{}, "link " + name + " is " + std::string{name_of(kind)}, [this, name, proxy]() {
                          proxy->set(link_fault::none);
                          harmed_.erase("link " + name);
                      }};
}

std::optional<soak_run::open_fault> soak_run::harm_worker() {
    auto const worker = site_->workers()[draw(site_->workers().size())];
    struct row {
        std::string_view what;
        json::object begin;
        json::object end;
    };
    std::array<row, 4u> const rows{{
        {" restarts", {{"worker", worker}, {"restart_ms", 500}}, {}},
        {" is stuck", {{"worker", worker}, {"stuck", true}}, {{"worker", worker}, {"stuck", false}}},
        {" carries orders out late", {{"worker", worker}, {"late_percent", 50}},
            {{"worker", worker}, {"late_percent", 0}}},
        {" leaves", {{"worker", worker}, {"leaving", true}}, {{"worker", worker}, {"leaving", false}}},
    }};
    auto const item = rows[draw(rows.size())];
    if(!harmed_.insert(worker).second) {
        return std::nullopt;
    }
    site_->change_platform(item.begin);
    return open_fault{{}, worker + std::string{item.what}, [this, worker, item]() {
                          site_->change_platform(item.end);
                          harmed_.erase(worker);
                      }};
}

std::optional<soak_run::open_fault> soak_run::write_odd_entry() {
    auto const &worker = site_->workers()[draw(site_->workers().size())];
    struct row {
        std::string_view what;
        json::object begin;
    };
    std::array<row, 5u> const rows{{
        {"boot out of range", {{"odd_entry", json::object{{"born", 1e19}}}}},
        {"a later boot", {{"odd_entry", json::object{{"born", 253'402'300'799'999}}}}},
        {"a port out of range", {{"odd_entry", json::object{{"address", "127.0.0.1:99999"}}}}},
        {"negative room", {{"odd_entry", json::object{{"capacity", json::object{{"cpu", -1e300}}}}}}},
        {"the address of another worker", {{"address_of", site_->workers()[draw(site_->workers().size())]}}},
    }};
    auto item = rows[draw(rows.size())];
    if(!harmed_.insert(worker).second) {
        return std::nullopt;
    }
    item.begin["worker"] = worker;
    site_->change_platform(item.begin);
    return open_fault{{}, "the entry of " + worker + " names " + std::string{item.what}, [this, worker]() {
                          site_->change_platform({{"worker", worker}, {"true_entry", true}});
                          harmed_.erase(worker);
                      }};
}

json::object soak_run::any_restart(std::string const &worker) {
    constexpr std::array<std::int64_t, 5u> shifts{0, 0, -3'600'000, -2'000, 3'600'000};
    json::object change{{"worker", worker}, {"restart_ms", 1u + draw(options_.longest_down_ms)},
        {"clock_shift_ms", shifts[draw(shifts.size())]}};
    if(draw(3u) == 0u) {
        change["new_id"] = true;
    }
    return change;
}

std::optional<soak_run::open_fault> soak_run::hold_calls() {
    auto const worker = site_->workers()[draw(site_->workers().size())];
    auto const seed = draw(std::numeric_limits<std::uint32_t>::max());
    json::object end = draw(2u) == 0u ? any_restart(worker) : json::object{{"worker", worker}};
    end["held_percent"] = 0;
    end["seed"] = seed;
    if(!harmed_.insert("calls to " + worker).second) {
        return std::nullopt;
    }
    site_->change_platform({{"worker", worker}, {"held_percent", held_percent}, {"seed", seed},
        {"shortest_hold_ms", options_.shortest_hold_ms}, {"longest_hold_ms", options_.longest_hold_ms}});
    auto const *ending = end.contains("restart_ms") ? ", until it restarts," : "";
    return open_fault{{}, "calls to " + worker + " are held" + ending, [this, worker, end]() {
                          site_->change_platform(end);
                          harmed_.erase("calls to " + worker);
                      }};
}

std::optional<soak_run::open_fault> soak_run::restart_worker() {
    auto const worker = site_->workers()[draw(site_->workers().size())];
    auto const change = any_restart(worker);
    if(harmed_.contains(worker)) {
        return std::nullopt;
    }
    site_->change_platform(change);
    return open_fault{{}, "restart: " + json::serialize(change), []() {}};
}

std::optional<soak_run::open_fault> soak_run::lose_answers() {
    auto const worker = site_->workers()[draw(site_->workers().size())];
    auto const proxy = proxies_.at(worker);
    if(!harmed_.insert("link " + worker).second) {
        return std::nullopt;
    }
    proxy->set(link_fault::lose_answers);
    return open_fault{{}, "answers of " + worker + " are lost", [this, worker, proxy]() {
                          proxy->set(link_fault::none);
                          harmed_.erase("link " + worker);
                      }};
}

std::optional<soak_run::open_fault> soak_run::change_rules() {
    auto const domain = "domain-" + std::to_string(draw(3u));
    if(!harmed_.insert("rules").second) {
        return std::nullopt;
    }
    site_->change_platform({{"configure", true}, {"evacuate", domain}});
    return open_fault{{}, domain + " is evacuated", [this, domain]() {
                          site_->change_platform({{"configure", true}, {"take_back", domain}});
                          harmed_.erase("rules");
                      }};
}

void soak_run::begin_fault() {
    constexpr std::array<fault_maker, 10u> makers{&soak_run::end_vm, &soak_run::end_vm, &soak_run::freeze_vm,
        &soak_run::reload_vm, &soak_run::harm_store, &soak_run::harm_store, &soak_run::harm_link, &soak_run::harm_link,
        &soak_run::harm_worker, &soak_run::change_rules};
    constexpr std::array<fault_maker, 5u> late_makers{&soak_run::hold_calls, &soak_run::hold_calls,
        &soak_run::restart_worker, &soak_run::lose_answers, &soak_run::freeze_leader};
    auto const others = makers.size() + (options_.odd_entries ? odd_entry_weight : 0u);
    auto const pos = draw(others + (options_.late_orders ? late_order_weight : 0u));
    auto const is_late = pos >= others;
    auto const maker = pos < makers.size() ? makers[pos]
        : is_late                          ? late_makers[draw(late_makers.size())]
                                           : &soak_run::write_odd_entry;
    auto const shortest = is_late ? shortest_late_fault_ms : shortest_fault_ms;
    auto const longest = is_late ? longest_late_fault_ms : longest_fault_ms;
    auto const length = milliseconds{shortest + draw(longest - shortest)};
    if(auto begun = (this->*maker)()) {
        begun->until = clock::now() + length;
        note(begun->what + " for " + std::to_string(length.count()) + " ms");
        ++result_.faults;
        open_.push_back(std::move(*begun));
    }
}

void soak_run::heal_due(clock::time_point const now) {
    for(std::size_t pos{}; pos < open_.size();) {
        if(open_[pos].until > now) {
            ++pos;
            continue;
        }
        auto const due = std::move(open_[pos]);
        open_.erase(open_.begin() + static_cast<std::ptrdiff_t>(pos));
        due.heal();
    }
}

void soak_run::heal_all() {
    heal_due(clock::time_point::max());
    note("all faults are healed");
}

void soak_run::check_processes() {
    for(auto const &vm: site_->entry_vms()) {
        if(!harmed_.contains(vm) && site_->processes().has_ended(vm)) {
            result_.breaches.push_back(vm + " ended by itself");
            site_->processes().kill(vm);
            site_->start(vm);
        }
    }
}

void soak_run::check_jobs(caller_load const &load) {
    auto const limit = clock::now() + settle_limit;
    for(auto const &[id, fate]: load.jobs()) {
        ++result_.jobs;
        result_.accepted += fate.accepted ? 1u : 0u;
        if(!fate.accepted) {
            continue;
        }
        auto const &vm = site_->entry_vms()[draw(site_->entry_vms().size())];
        std::string state;
        auto const is_over = [&]() {
            state = site_->state(vm, fate.queue, id);
            return state == "done" || (state == "cancelled" && fate.cancel_sent);
        };
        auto const rest = std::chrono::duration_cast<milliseconds>(limit - clock::now());
        if(!test::comes_true(is_over, std::max(milliseconds{}, rest))) {
            result_.breaches.push_back("accepted and not done: job " + id + " is told as '" + state + "' by " + vm);
        }
    }
    auto const record = site_->record();
    for(auto const &text: record.at("breaches").as_array()) {
        result_.breaches.emplace_back(text.as_string());
    }
    for(auto const &item: record.at("started_jobs").as_array()) {
        auto const found = load.jobs().find(std::string{item.as_string()});
        if(found == load.jobs().end() || found->second.only_refused) {
            result_.breaches.push_back("started although it was refused: job " + std::string{item.as_string()});
        }
    }
    result_.starts = record.at("starts").to_number<std::size_t>();
    auto const is_idle = [this]() { return site_->record().at("running").to_number<std::size_t>() == 0u; };
    if(!test::comes_true(is_idle)) {
        result_.breaches.push_back("runs go on although all jobs are over");
    }
}

soak_result soak_run::play(std::chrono::seconds const time) {
    caller_load load{*site_, seed_};
    auto const end = clock::now() + time;
    auto next = clock::now();
    while(clock::now() < end) {
        auto const now = clock::now();
        heal_due(now);
        check_processes();
        if(next <= now) {
            if(open_.size() < (options_.late_orders ? most_open_with_late_orders : most_open)) {
                begin_fault();
            }
            next = now + milliseconds{draw(longest_calm_ms)};
        }
        std::this_thread::sleep_for(step);
    }
    heal_all();
    load.stop();
    if(options_.late_orders) {
        std::this_thread::sleep_for(milliseconds{options_.longest_hold_ms} + hold_margin);
    }
    result_.breaches.insert(result_.breaches.end(), load.breaches().begin(), load.breaches().end());
    check_jobs(load);
    check_processes();
    return result_;
}

} // namespace kingcuplink::soak
