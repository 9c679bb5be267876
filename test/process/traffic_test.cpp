#include "fleet.hpp"
#include "load.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <kingcuplink/core/hash.hpp>
#include <random>

using namespace kingcuplink;
using namespace kingcuplink::test;
using namespace std::chrono_literals;
using verb = boost::beast::http::verb;

namespace {

constexpr auto leaving_bound = 5s;
std::int64_t runs_of(fleet const &target, std::string const &id) {
    auto const record = target.record();
    auto const *count = record.at("request_runs").as_object().if_contains(id);
    return count == nullptr ? 0 : count->as_int64();
}

} // namespace

TEST_CASE("late and unordered answers reach their own callers whole") {
    fleet target;
    constexpr auto callers = 24u;
    constexpr auto rounds = 8u;
    std::vector<std::future<std::size_t>> results;
    for(auto caller = 0u; caller < callers; ++caller) {
        results.push_back(std::async(std::launch::async, [&target, caller]() {
            std::mt19937_64 random{caller + 1u};
            std::size_t right{};
            for(auto round = 0u; round < rounds; ++round) {
                auto const id = "big" + std::to_string(caller) + "-" + std::to_string(round);
                auto const bytes = random() % 3'000'000u;
                auto body = "work_ms=" + std::to_string(random() % 150u) + " answer_bytes=" + std::to_string(bytes) +
                    " ";
                body.append(random() % 500'000u, 'x');
                auto const answer = target.send(caller % 2u == 0u ? "a1" : "b1", verb::post, queue_target, body,
                    "key-red", headers_of(id, false, 20'000), millis{25'000});
                auto expected = id + " " + sha256_hex(body) + "\n";
                while(expected.size() < bytes) {
                    expected.append(sha256_hex(id + std::to_string(expected.size())));
                }
                if(answer.status != 200u) {
                    MESSAGE(id, " status ", answer.status, " ", answer.text.substr(0u, 200u));
                }
                right += answer.status == 200u && sha256_hex(answer.text) == sha256_hex(expected) ? 1u : 0u;
            }
            return right;
        }));
    }
    for(auto &result: results) {
        CHECK(result.get() == rounds);
    }
    CHECK(target.breaches().empty());
}

TEST_CASE("what a runner's failure means for a request is told truly") {
    struct row {
        std::string_view name;
        boost::json::object fault;
        bool repeatable;
        /*! Runs that are allowed. */
        std::int64_t most_runs;
        std::string_view kind;
    };
    // All runners of failure domain a fail alike, so that a retry meets the same fault.
    std::vector<row> const rows{
        {"gone before the request, repeatable", {{"outage", true}}, true, 0, ""},
        {"gone before the request, once", {{"outage", true}}, false, 0, ""},
        {"answer lost, once", {{"lose_answers", true}}, false, 1, "may_have_run"},
        {"answer lost, repeatable", {{"lose_answers", true}}, true, 50, "may_have_run"},
        {"answer cut in the middle, once", {{"break_answers", true}}, false, 1, "may_have_run"},
        {"answer cut in the middle, repeatable", {{"break_answers", true}}, true, 50, "may_have_run"},
        {"no answer in time, once", {{"freeze", true}}, false, 1, "may_have_run"},
    };
    fleet target{{.entry_vms = {2u}}};
    std::size_t number{};
    for(auto const &row: rows) {
        CAPTURE(row.name);
        auto fault = row.fault;
        fault["endpoint"] = "runners";
        target.endpoint_fault(fault);
        auto const id = "fault" + std::to_string(++number);
        auto const answer = target.send(
            "a1", verb::post, queue_target, "work_ms=1", "key-red", headers_of(id, row.repeatable, 1'500));
        CHECK(answer.status >= 500u);
        CAPTURE(answer.text);
        target.endpoint_fault({{"endpoint", "runners"}, {"outage", false}, {"lose_answers", false},
            {"break_answers", false}, {"freeze", false}});
        std::this_thread::sleep_for(200ms);
        auto const runs = runs_of(target, id);
        CHECK(runs <= row.most_runs);
        if(!row.kind.empty()) {
            CHECK(error_kind(answer) == row.kind);
        }
        if(answer.text.find("\"not_run\":true") != std::string::npos) {
            CHECK(runs == 0);
        }
        // The runners work again after their time on the side.
        CHECK(comes_true([&]() {
            return target
                       .send("a1", verb::post, queue_target, "work_ms=1", "key-red",
                           headers_of(id + "-after-" + std::to_string(std::rand()), true))
                       .status == 200u;
        }));
    }
}

TEST_CASE("silent connections are replaced and do not condemn their runner") {
    fleet target{{.entry_vms = {2u}, .runners = 1u}};
    auto const send_many = [&](std::string const &prefix, bool const repeatable, std::size_t const count) {
        std::vector<std::future<server_answer>> answers;
        for(std::size_t number{}; number < count; ++number) {
            answers.push_back(
                std::async(std::launch::async, [&target, id = prefix + std::to_string(number), repeatable]() {
                    return target.send(
                        "a1", verb::post, queue_target, "work_ms=30", "key-red", headers_of(id, repeatable, 3'000));
                }));
        }
        std::size_t right{};
        for(auto &answer: answers) {
            right += answer.get().status == 200u ? 1u : 0u;
        }
        return right;
    };
    CHECK(send_many("warm", true, 8u) == 8u);
    target.endpoint_fault({{"endpoint", "runners"}, {"silence", true}});
    std::this_thread::sleep_for(1'200ms);
    // Work that must not be repeated does not use a connection that was idle that long.
    CHECK(send_many("once", false, 4u) == 4u);
    target.endpoint_fault({{"endpoint", "runners"}, {"silence", true}});
    static_cast<void>(send_many("again", true, 4u));
    CHECK(send_many("later", true, 8u) == 8u);
    CHECK(target.breaches().empty());
}

TEST_CASE("a leaving runner gets nothing new after a few seconds") {
    fleet target{{.entry_vms = {2u, 2u}}};
    auto const check_all_served = [&](std::string const &prefix, std::size_t const count) {
        for(std::size_t number{}; number < count; ++number) {
            auto const *entry_vm = number % 2u == 0u ? "a1" : "a2";
            auto const headers = headers_of(prefix + std::to_string(number), false);
            CHECK(target.send(entry_vm, verb::post, queue_target, "work_ms=1", "key-red", headers).status == 200u);
        }
    };
    check_all_served("before", 10u);
    // Runner ar1 freezes once it may get nothing new: whatever is sent there would not be answered.
    boost::json::array live;
    for(auto const *name: {"ar2", "br1", "br2"}) {
        live.emplace_back(name);
    }
    target.platform_fault({{"vms", boost::json::object{{"live", live}, {"leaving", boost::json::array{"ar1"}}}}});
    std::this_thread::sleep_for(leaving_bound);
    target.endpoint_fault({{"endpoint", "ar1"}, {"freeze", true}});
    check_all_served("vm-list", 20u);
    target.platform_fault(
        {{"vms", boost::json::object{{"live", boost::json::array{}}, {"leaving", boost::json::array{}}}}});
    auto const edited = target.edit("a1", "failure_domains", [](boost::json::value &domains) {
        auto &runners = domains.as_array()[0].as_object()["runners"].as_array();
        runners.erase(runners.begin());
    });
    CHECK(edited.status == 200u);
    std::this_thread::sleep_for(leaving_bound);
    check_all_served("document", 20u);
}

TEST_CASE("a drained entry VM cuts off no request") {
    fleet target{{.entry_vms = {3u}}};
    std::atomic<bool> stopping{};
    std::atomic<std::size_t> cut{};
    std::atomic<std::size_t> answered{};
    std::vector<std::thread> callers;
    for(std::size_t caller{}; caller < 8u; ++caller) {
        callers.emplace_back([&, caller]() {
            server_connection server{{target.http_address("a1")}, "key-red"};
            for(std::size_t number{}; !stopping; ++number) {
                auto const answer = server.send(verb::post, queue_target, "work_ms=40",
                    headers_of("d" + std::to_string(caller) + "-" + std::to_string(number), false));
                cut += answer.may_have_run ? 1u : 0u;
                answered += answer.status == 200u ? 1u : 0u;
                if(!answer.answered && !answer.may_have_run) {
                    return;
                }
            }
        });
    }
    std::this_thread::sleep_for(1s);
    CHECK(target.stop("a1") == 0);
    stopping = true;
    for(auto &caller: callers) {
        caller.join();
    }
    CHECK(cut == 0u);
    CHECK(answered > 50u);
    CHECK(target.breaches().empty());
}

TEST_CASE("runners stay within slots and connections while entry VMs come and go") {
    fleet target{{.entry_vms = {3u}, .runners = 2u}};
    load callers{target, 24u, 0u};
    for(auto const *name: {"a1", "a2", "a3", "a1"}) {
        std::this_thread::sleep_for(2s);
        target.kill(name);
        std::this_thread::sleep_for(4s);
        target.start(name);
    }
    std::this_thread::sleep_for(3s);
    CHECK(callers.verdict(1s) == "");
    auto const record = target.record();
    for(auto const &entry: record.at("runner_connections").as_object()) {
        CHECK(entry.value().to_number<int>() <= 64);
    }
    MESSAGE(callers.answered(), " requests answered");
}

TEST_CASE("overload is refused truly and shared fairly") {
    fleet target{{.entry_vms = {1u}, .runners = 2u}};
    // Two runners with 8 slots and 50 ms of work serve 320 a second; 60 callers want 960.
    std::atomic<bool> stopping{};
    std::array<std::atomic<std::size_t>, 2u> served{};
    std::mutex mutex;
    std::vector<std::string> refused;
    std::vector<std::thread> callers;
    for(std::size_t caller{}; caller < 60u; ++caller) {
        callers.emplace_back([&, caller]() {
            auto const team = caller % 3u == 0u ? 0u : 1u;
            server_connection server{{target.http_address("a1")}, team == 0u ? "key-red" : "key-blue"};
            auto due = std::chrono::steady_clock::now() + std::chrono::milliseconds{caller};
            for(std::size_t number{}; !stopping; ++number) {
                std::this_thread::sleep_until(due);
                due = std::max(due + 62ms, std::chrono::steady_clock::now());
                auto const id = "o" + std::to_string(caller) + "-" + std::to_string(number);
                auto const answer = server.send(verb::post, queue_target, "work_ms=50", headers_of(id, false, 150));
                served[team] += answer.status == 200u ? 1u : 0u;
                if(answer.text.find("\"not_run\":true") != std::string::npos) {
                    std::lock_guard const lock{mutex};
                    refused.push_back(id);
                }
            }
        });
    }
    std::this_thread::sleep_for(10s);
    stopping = true;
    for(auto &caller: callers) {
        caller.join();
    }
    auto const record = target.record();
    auto const &runs = record.at("request_runs").as_object();
    CHECK_FALSE(refused.empty());
    CHECK(std::none_of(refused.begin(), refused.end(), [&](auto const &id) { return runs.contains(id); }));
    // Both teams have the same share; blue has twice the callers.
    auto const red = static_cast<double>(served[0].load());
    auto const blue = static_cast<double>(served[1].load());
    MESSAGE("served red ", red, " blue ", blue, " refused ", refused.size());
    CHECK(std::abs(red - blue) / (red + blue) < 0.1);
    constexpr auto capacity = 320.0 * 10.0;
    CHECK(red + blue >= 0.8 * capacity);
    CHECK(target.breaches().empty());
}

TEST_CASE("requests go to another failure domain when there is no room at home") {
    fleet target{{.entry_vms = {1u, 1u}}};
    CHECK(target.set_domain("a1", "a", "out").status == 200u);
    std::this_thread::sleep_for(3s);
    for(auto number = 0; number < 10; ++number) {
        CHECK(target
                  .send("a1", verb::post, queue_target, "work_ms=1", "key-red",
                      headers_of("s" + std::to_string(number), false))
                  .status == 200u);
    }
    CHECK(target.send("a1", verb::get, "/metrics").text.find("kingcuplink_retries_total{reason=\"spilled\"} 10") !=
        std::string::npos);
}
