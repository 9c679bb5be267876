#include "site_fleet.hpp"

#include "breach_list.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <stdexcept>

namespace kingcuplink::test {

namespace {

namespace json = boost::json;
using verb = boost::beast::http::verb;

constexpr unsigned gone_status = 410u;
constexpr unsigned ok_status = 200u;
/*! Statuses that mean that the job will never run. */
constexpr unsigned too_many_requests_status = 429u;
constexpr unsigned unavailable_status = 503u;
constexpr millis short_timeout{1'000};

std::map<std::string, std::string> caller_headers(millis const time_limit) {
    return {
        {"Host", "127.0.0.1"}, {"Authorization", "Token key"}, {"X-Deadline-Ms", std::to_string(time_limit.count())}};
}

std::string job_body(std::vector<test_step> const &steps) {
    json::array scripted;
    json::array declared;
    for(auto const &step: steps) {
        json::array after;
        for(auto const before: step.after) {
            after.emplace_back(before);
        }
        scripted.push_back(json::object{{"count", step.count}, {"millicores", step.millicores}, {"run_ms", step.run_ms},
            {"gang", step.gang}, {"after", after}});
        declared.push_back(json::object{{"count", step.count}, {"cpu", step.millicores}, {"mem_mb", 64},
            {"est_runtime_ms", step.run_ms}, {"gang", step.gang}, {"after", after}});
    }
    return json::serialize(json::object{{"spec", json::serialize(scripted)}, {"steps", std::move(declared)}});
}

std::string comma_separated(std::vector<std::string> const &parts) {
    std::string text;
    for(auto const &part: parts) {
        text.append(text.empty() ? "" : ",").append(part);
    }
    return text;
}

} // namespace

site_fleet::site_fleet(site_options options)
    : options_{std::move(options)},
      store_{processes_.take_address()},
      adviser_{processes_.take_address()},
      admin_{processes_.take_address()} {
    auto const routed = [this](std::string const &user, std::string const &part, std::string const &address) {
        return options_.route ? options_.route(user, part, address) : address;
    };
    std::vector<std::string> own;
    std::vector<std::string> announced;
    for(std::size_t pos{}; pos < options_.workers; ++pos) {
        workers_.push_back("w" + std::to_string(pos));
        own.push_back(processes_.take_address());
        announced.push_back(routed({}, workers_.back(), own.back()));
    }
    processes_.spawn("platform",
        {KINGCUPLINK_SITE_PLATFORM, "--store=" + store_, "--adviser=" + adviser_, "--admin=" + admin_,
            "--workers=" + comma_separated(own), "--announced=" + comma_separated(announced),
            options_.uses_adviser ? "--advice" : "--noadvice"});
    for(std::size_t pos{}; pos < options_.entry_vms; ++pos) {
        names_.push_back("vm-" + std::to_string(pos));
        entries_[names_.back()] = {processes_.take_address(), processes_.take_address(), processes_.take_address(),
            processes_.take_address(), routed(names_.back(), "store", store_)};
        start(names_.back());
    }
    auto const all_ready = [this]() {
        return std::all_of(names_.begin(), names_.end(), [this](auto const &name) { return is_ready(name); }) &&
            !leader().empty();
    };
    if(!comes_true(all_ready)) {
        throw std::runtime_error{"the site did not become ready; see " + processes_.folder()};
    }
}

void site_fleet::start(std::string const &vm) {
    auto const &item = entries_.at(vm);
    auto const pos = std::find(names_.begin(), names_.end(), vm) - names_.begin();
    processes_.spawn(vm,
        {KINGCUPLINK_DAEMON, "--platform=store", "--name=" + vm, "--failure_domain=domain-" + std::to_string(pos % 3),
            "--callers_address=" + item.callers, "--readiness_address=" + item.readiness, "--peer_address=" + item.peer,
            "--metrics_address=" + item.metrics, "--log_address=" + item.store, "--adviser_address=" + adviser_,
            "--lease_limit_ms=6000", "--shutdown_time_ms=1500"});
}

submit_outcome site_fleet::submit(std::string const &vm, std::string const &queue, std::string const &id,
    std::vector<test_step> const &steps, millis const time_limit) const {
    server_connection server{{entries_.at(vm).callers}, {}};
    auto const answer = server.send(
        verb::post, "/" + queue + "/" + id, job_body(steps), caller_headers(time_limit), time_limit);
    if(!answer.answered) {
        return answer.may_have_run ? submit_outcome::unknown : submit_outcome::refused;
    }
    if(answer.status == ok_status) {
        return submit_outcome::accepted;
    }
    auto const is_refused = answer.status == too_many_requests_status || answer.status == unavailable_status;
    return is_refused ? submit_outcome::refused : submit_outcome::unknown;
}

bool site_fleet::cancel(std::string const &vm, std::string const &queue, std::string const &id) const {
    server_connection server{{entries_.at(vm).callers}, {}};
    auto const answer = server.send(
        verb::delete_, "/" + queue + "/" + id, {}, caller_headers(short_timeout), short_timeout);
    return answer.status == ok_status || answer.status == gone_status;
}

std::string site_fleet::state(std::string const &vm, std::string const &queue, std::string const &id) const {
    server_connection server{{entries_.at(vm).callers}, {}};
    auto const answer = server.send(
        verb::get, "/" + queue + "/" + id, {}, caller_headers(short_timeout), short_timeout);
    return answer.status == gone_status ? "gone" : text_in(answer.body, "state");
}

bool site_fleet::is_ready(std::string const &vm) const {
    server_connection server{{entries_.at(vm).readiness}, {}};
    return server.send(verb::get, "/-/ready", {}, {}, short_timeout).status == ok_status;
}

std::string site_fleet::metrics(std::string const &vm) const {
    server_connection server{{entries_.at(vm).metrics}, {}};
    return server.send(verb::get, "/metrics", {}, {}, short_timeout).text;
}

std::string site_fleet::leader() const {
    for(auto const &name: names_) {
        if(processes_.contains(name) && metrics(name).find("kingcuplink_leads 1") != std::string::npos) {
            return name;
        }
    }
    return {};
}

void site_fleet::change_platform(json::object change) const {
    server_connection server{{admin_}, {}};
    static_cast<void>(server.send(verb::post, "/admin", json::serialize(change)));
}

json::value site_fleet::record() const {
    server_connection server{{admin_}, {}};
    return server.send(verb::get, "/record", {}).body;
}

std::string site_fleet::breaches() const {
    return breaches_in(record());
}

} // namespace kingcuplink::test
