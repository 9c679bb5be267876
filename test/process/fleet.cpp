#include "fleet.hpp"

#include "breach_list.hpp"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/document/document_fold.hpp>
#include <stdexcept>

namespace kingcuplink::test {

namespace {

namespace json = boost::json;
using verb = boost::beast::http::verb;

std::string const operator_key{"operator"};

} // namespace

fleet::fleet(fleet_options options)
    : options_{std::move(options)},
      platform_{processes_.take_address()},
      platform_admin_{processes_.take_address()},
      endpoints_{processes_.take_address()} {
    auto const document = make_document();
    auto const path = processes_.folder() + "/document.json";
    std::ofstream{path} << json::serialize(document);
    processes_.spawn("platform", {KINGCUPLINK_PLATFORM_STANDIN, "--address=" + platform_});
    processes_.spawn("endpoints", {KINGCUPLINK_ENDPOINTS_STANDIN, "--address=" + endpoints_, "--document=" + path});
    server_connection platform{{platform_}, {}};
    auto const published = comes_true([&]() {
        return platform.send(verb::post, "/log/document", json::serialize(genesis_record("g", document))).answered;
    });
    for(auto const &[name, item]: entries_) {
        start(name);
    }
    auto const ready = published && comes_true([&]() {
        return std::all_of(entries_.begin(), entries_.end(), [&](auto const &item) {
            auto const value = status(item.first);
            return value.is_object() && !text_in(value, "leader").empty();
        });
    });
    if(!ready) {
        throw std::runtime_error{"the fleet did not start; see " + processes_.folder()};
    }
}

json::value fleet::make_document() {
    json::array domains;
    for(std::size_t pos{}; pos < options_.entry_vms.size(); ++pos) {
        std::string const name(1u, static_cast<char>('a' + pos));
        json::array entry_vms;
        json::array workers;
        json::array runners;
        for(std::size_t count{1}; count <= options_.entry_vms[pos]; ++count) {
            entry const item{name, processes_.take_address(), processes_.take_address()};
            entries_.emplace(name + std::to_string(count), item);
            entry_vms.push_back(
                json::object{{"name", name + std::to_string(count)}, {"http", item.http}, {"peer", item.peer}});
        }
        for(std::size_t count{1}; count <= options_.workers; ++count) {
            workers.push_back(json::object{{"name", name + "w" + std::to_string(count)},
                {"address", processes_.take_address()}, {"rack", name + "r" + std::to_string((count + 1u) / 2u)},
                {"size", json::object{{"cores", 8}, {"memory_gib", 32}}}});
        }
        for(std::size_t count{1}; count <= options_.runners; ++count) {
            runners.push_back(
                json::object{{"name", name + "r" + std::to_string(count)}, {"address", processes_.take_address()}});
        }
        domains.push_back(json::object{{"name", name}, {"entry_vms", std::move(entry_vms)},
            {"workers", std::move(workers)}, {"runners", std::move(runners)}});
    }
    auto const team = [&](std::string const &name, std::int64_t const cores) {
        return json::object{{"name", name}, {"share", 1},
            {"ceiling", json::object{{"cores", cores}, {"memory_gib", 10'000}}},
            {"request_ceiling", options_.request_ceiling}};
    };
    auto const key = [](std::string const &name) {
        return json::object{{"sha256", sha256_hex("key-" + name)}, {"team", name}};
    };
    json::object owners;
    for(std::size_t pos{}; pos < section_count; ++pos) {
        owners.emplace(name_of(static_cast<section>(pos)), json::array{sha256_hex(operator_key)});
    }
    return json::object{{"owners", std::move(owners)},
        {"teams", json::array{team("red", options_.red_cores), team("blue", 1'000)}},
        {"keys", json::array{key("red"), key("blue")}}, {"failure_domains", std::move(domains)},
        {"queues",
            json::array{json::object{{"name", "keyed"}}, json::object{{"name", "held"}, {"when_cut_off", "hold"}},
                json::object{{"name", "open"}, {"open", true}, {"team", "blue"}}}},
        {"policies", json::object{}}};
}

void fleet::start(std::string const &entry_vm) {
    auto const &item = entries_.at(entry_vm);
    processes_.spawn(entry_vm,
        {KINGCUPLINK_DAEMON, "--name=" + entry_vm, "--failure_domain=" + item.domain, "--http_address=" + item.http,
            "--peer_address=" + item.peer, "--platform_address=" + platform_, "--drain_grace_ms=1000",
            "--allow_faults"});
}

void fleet::signal(std::string const &name, int const number) {
    processes_.signal(name, number);
}

void fleet::kill(std::string const &entry_vm) {
    processes_.kill(entry_vm);
}

int fleet::stop(std::string const &entry_vm) {
    return processes_.stop(entry_vm);
}

server_answer fleet::send(std::string const &entry_vm, verb const method, std::string const &target, std::string body,
    std::string const &key, std::map<std::string, std::string> const &headers, millis const timeout) const {
    server_connection server{{entries_.at(entry_vm).http}, key};
    return server.send(method, target, std::move(body), headers, timeout);
}

std::string fleet::submit(std::string const &entry_vm, std::string const &team, json::object job) const {
    auto const answer = send(entry_vm, verb::post, "/v1/jobs", json::serialize(job), "key-" + team);
    return answer.status == 201u ? text_in(answer.body, "job") : std::string{};
}

std::string fleet::job_state(std::string const &entry_vm, std::string const &job) const {
    return text_in(send(entry_vm, verb::get, "/v1/jobs/" + job, {}, operator_key).body, "state");
}

server_answer fleet::edit(std::string const &entry_vm, std::string const &section,
    std::function<void(json::value &)> const &change, std::string const &lower) const {
    auto answer = send(entry_vm, verb::get, "/v1/document/" + section, {}, operator_key);
    if(answer.status != 200u) {
        return answer;
    }
    change(answer.body);
    std::map<std::string, std::string> headers{{"If-Match", "\"" + std::to_string(answer.version) + "\""}};
    if(!lower.empty()) {
        headers["Kingcuplink-Lower"] = lower;
    }
    return send(entry_vm, verb::put, "/v1/document/" + section, json::serialize(answer.body), operator_key, headers);
}

server_answer fleet::set_domain(
    std::string const &entry_vm, std::string const &domain, std::string const &state) const {
    return edit(entry_vm, "failure_domains", [&](json::value &domains) {
        for(auto &item: domains.as_array()) {
            if(text_in(item, "name") == domain) {
                item.as_object()["state"] = state;
            }
        }
    });
}

void fleet::platform_fault(json::object fault) const {
    server_connection server{{platform_admin_}, {}};
    static_cast<void>(server.send(verb::post, "/admin", json::serialize(fault)));
}

void fleet::endpoint_fault(json::object fault) const {
    server_connection server{{endpoints_}, {}};
    static_cast<void>(server.send(verb::post, "/admin", json::serialize(fault)));
}

void fleet::cut_off(std::string const &domain, bool const cut) const {
    for(auto const &[name, item]: entries_) {
        json::array refused;
        for(auto const &[other, other_item]: entries_) {
            if(cut && (item.domain == domain) != (other_item.domain == domain)) {
                refused.emplace_back(other);
            }
        }
        if(cut && item.domain == domain) {
            refused.emplace_back("platform");
        }
        static_cast<void>(
            send(name, verb::put, "/v1/faults", json::serialize(json::object{{"refuse", std::move(refused)}})));
    }
}

json::value fleet::record() const {
    server_connection server{{endpoints_}, {}};
    return server.send(verb::get, "/record", {}).body;
}

std::string fleet::breaches() const {
    return breaches_in(record());
}

std::string fleet::leader(std::string const &domain) const {
    for(auto const &name: members(domain)) {
        if(processes_.contains(name) && text_in(status(name), "role") == "leader") {
            return name;
        }
    }
    return {};
}

std::vector<std::string> fleet::members(std::string const &domain) const {
    std::vector<std::string> names;
    for(auto const &[name, item]: entries_) {
        if(item.domain == domain) {
            names.push_back(name);
        }
    }
    return names;
}

std::vector<std::string> fleet::entry_vms() const {
    std::vector<std::string> names;
    std::transform(
        entries_.begin(), entries_.end(), std::back_inserter(names), [](auto const &item) { return item.first; });
    return names;
}

std::string fleet::http_address(std::string const &entry_vm) const {
    return entries_.at(entry_vm).http;
}

json::value fleet::status(std::string const &entry_vm) const {
    return send(entry_vm, verb::get, "/status", {}, {}, {}, millis{1'000}).body;
}

json::object batch_job(std::string const &name, std::int64_t const count, std::int64_t const run_ms) {
    return {{"name", name}, {"kind", "batch"}, {"count", count},
        {"task_size", json::object{{"cores", 1}, {"memory_gib", 1}}}, {"run_time_ms", run_ms}};
}

std::string error_kind(server_answer const &answer) {
    auto const *error = field_in(answer.body, "error");
    return error == nullptr ? std::string{} : text_in(*error, "kind");
}

std::map<std::string, std::string> headers_of(
    std::string const &id, bool const repeatable, std::int64_t const deadline_ms) {
    return {{"Kingcuplink-Request-Id", id}, {"Kingcuplink-Repeatable", repeatable ? "true" : "false"},
        {"Kingcuplink-Deadline-Ms", std::to_string(deadline_ms)}};
}

} // namespace kingcuplink::test
