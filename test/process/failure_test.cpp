#include "fleet.hpp"
#include "load.hpp"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <set>

using namespace kingcuplink;
using namespace kingcuplink::test;
using namespace std::chrono_literals;
using verb = boost::beast::http::verb;

namespace {

constexpr auto urgent_bound = 4'900ms;
constexpr auto withdrawal_bound = 5'000ms;
constexpr auto in_force_bound = 8'000ms;
constexpr auto lease_and_more = 15s;

/*! Failure that strikes a fleet under load. */
struct failure_row {
    std::string_view name;
    fleet_options options;
    void (*strike)(fleet &);
};

void kill_leader(fleet &target) {
    auto const leader = target.leader("a");
    REQUIRE_FALSE(leader.empty());
    auto const others = target.members("a");
    auto const survivor = *std::find_if(others.begin(), others.end(), [&](auto const &name) { return name != leader; });
    target.kill(leader);
    auto const died = std::chrono::steady_clock::now();
    auto urgent = batch_job("urgent", 1, 50);
    urgent["urgent"] = true;
    std::string key;
    CHECK(comes_true(
        [&]() {
            key = target.submit(survivor, "red", urgent);
            return !key.empty();
        },
        urgent_bound));
    CHECK(comes_true(
        [&]() {
            auto const state = target.job_state(survivor, key);
            return state == "running" || state == "succeeded";
        },
        urgent_bound));
    auto const took = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - died);
    MESSAGE("urgent work started ", took.count(), " ms after the leader died");
    CHECK(took <= urgent_bound);
    std::this_thread::sleep_for(3s);
    target.start(leader);
    std::this_thread::sleep_for(3s);
}

void freeze_leader(fleet &target) {
    auto const leader = target.leader("a");
    REQUIRE_FALSE(leader.empty());
    target.signal(leader, SIGSTOP);
    std::this_thread::sleep_for(lease_and_more);
    target.signal(leader, SIGCONT);
    std::this_thread::sleep_for(4s);
    CHECK(comes_true(
        [&]() { return text_in(target.status(leader), "role") == "standby" || target.leader("a") == leader; }));
}

void kill_domain_in_log_outage(fleet &target) {
    target.platform_fault({{"outage", true}});
    std::this_thread::sleep_for(2s);
    for(auto const &name: target.members("a")) {
        target.kill(name);
    }
    std::this_thread::sleep_for(1s);
    for(auto const &name: target.members("a")) {
        target.start(name);
    }
    std::this_thread::sleep_for(4s);
    target.platform_fault({{"outage", false}});
    CHECK(comes_true([&]() { return !target.leader("a").empty(); }));
    std::this_thread::sleep_for(2s);
}

void cut_domain_off(fleet &target) {
    target.cut_off("a", true);
    std::this_thread::sleep_for(8s);
    // Both sides go on.
    for(auto const *entry_vm: {"a1", "b1"}) {
        CHECK(target.send(entry_vm, verb::post, "/v1/queues/keyed/requests", "work_ms=1", "key-red").status == 200u);
        auto const key = target.submit(entry_vm, "blue", batch_job("cut", 1, 50));
        CHECK_FALSE(key.empty());
        CHECK(comes_true([&]() { return target.job_state(entry_vm, key) == "succeeded"; }));
    }
    CHECK(target.status("a1").at("cut_off").as_bool());
    CHECK(target.send("a1", verb::post, "/v1/queues/held/requests", "x", "key-red").status == 503u);
    CHECK(target.send("b1", verb::post, "/v1/queues/held/requests", "x", "key-red").status == 200u);
    target.cut_off("a", false);
    std::this_thread::sleep_for(3s);
    CHECK_FALSE(target.status("a1").at("cut_off").as_bool());
}

void take_domain_out(fleet &target) {
    // More work than failure domain a has done by the time after which nothing may start there.
    auto const backlog = target.submit("a1", "blue", batch_job("backlog", 400, 1'000));
    CHECK_FALSE(backlog.empty());
    CHECK(target.set_domain("b1", "a", "out").status == 200u);
    target.endpoint_fault({{"out", boost::json::array{"a"}}, {"after_ms", withdrawal_bound.count()}});
    std::this_thread::sleep_for(10s);
    auto const running = target.record().at("running").as_object();
    CHECK(std::none_of(
        running.begin(), running.end(), [](auto const &entry) { return entry.value().as_string().starts_with("aw"); }));
    target.endpoint_fault({{"out", boost::json::array{}}, {"after_ms", 0}});
    CHECK(target.set_domain("b1", "a", "in").status == 200u);
    std::this_thread::sleep_for(4s);
    auto const key = target.submit("a1", "red", batch_job("back", 1, 50));
    CHECK(comes_true([&]() { return target.job_state("a1", key) == "succeeded"; }));
    CHECK(comes_true([&]() { return target.job_state("a1", backlog) == "succeeded"; }));
}

void replace_every_vm(fleet &target) {
    for(auto const &name: target.entry_vms()) {
        CHECK(target.stop(name) == 0);
        target.start(name);
        CHECK(comes_true([&]() { return !text_in(target.status(name), "leader").empty(); }));
    }
}

void kill_every_vm_in_turn(fleet &target) {
    for(auto const &name: target.entry_vms()) {
        target.kill(name);
        target.start(name);
        CHECK(comes_true([&]() { return !text_in(target.status(name), "leader").empty(); }));
        std::this_thread::sleep_for(3s);
    }
}

void lose_worker_answers(fleet &target) {
    target.endpoint_fault({{"endpoint", "aw1"}, {"lose_answers", true}});
    target.endpoint_fault({{"endpoint", "bw2"}, {"lose_answers", true}});
    std::this_thread::sleep_for(5s);
    target.endpoint_fault({{"endpoint", "workers"}, {"lose_answers", false}});
    std::this_thread::sleep_for(2s);
}

void freeze_workers(fleet &target) {
    target.endpoint_fault({{"endpoint", "aw1"}, {"freeze", true}});
    target.endpoint_fault({{"endpoint", "aw2"}, {"freeze", true}});
    std::this_thread::sleep_for(lease_and_more + 3s);
    target.endpoint_fault({{"endpoint", "workers"}, {"freeze", false}});
    std::this_thread::sleep_for(3s);
}

void restart_workers(fleet &target) {
    for(auto const *name: {"aw1", "bw1", "aw3"}) {
        target.endpoint_fault({{"endpoint", name}, {"restart", true}});
        std::this_thread::sleep_for(1s);
    }
}

void log_out_and_slow(fleet &target) {
    target.platform_fault({{"outage", true}});
    std::this_thread::sleep_for(5s);
    target.platform_fault({{"outage", false}, {"slow_ms", 1'000}});
    std::this_thread::sleep_for(5s);
    target.platform_fault({{"slow_ms", 0}, {"lose_answers", true}});
    std::this_thread::sleep_for(5s);
    target.platform_fault({{"lose_answers", false}});
}

/*! Returns the version of a section that an entry VM has in force; zero if it does not tell. */
std::int64_t version_of(fleet const &target, std::string const &entry_vm, std::string const &section) {
    auto const answer = target.send(entry_vm, verb::get, "/v1/document");
    return answer.status == 200u ? answer.body.at("versions").at(section).as_int64() : 0;
}

fleet_options const usual{};
fleet_options const three_members{.entry_vms = {3u, 2u}};
fleet_options const tight_ceiling{.entry_vms = {2u, 2u}, .red_cores = 12};

void run_row(failure_row const &row) {
    CAPTURE(row.name);
    fleet target{row.options};
    load callers{target, 4u, 2u};
    std::this_thread::sleep_for(2s);
    row.strike(target);
    std::this_thread::sleep_for(1s);
    CHECK(callers.verdict(20s) == "");
    CHECK(callers.answered() > 0u);
    MESSAGE(row.name, ": ", callers.answered(), " requests answered, ", callers.jobs(), " jobs accepted");
}

} // namespace

TEST_CASE("kill the leader") {
    run_row({"kill the leader", three_members, kill_leader});
}

TEST_CASE("freeze the leader past its lease") {
    run_row({"freeze the leader past its lease", tight_ceiling, freeze_leader});
}

TEST_CASE("kill a whole domain in a log outage") {
    run_row({"kill a whole domain in a log outage", usual, kill_domain_in_log_outage});
}

TEST_CASE("cut a domain off") {
    run_row({"cut a domain off", tight_ceiling, cut_domain_off});
}

TEST_CASE("take a domain out and back") {
    run_row({"take a domain out and back", usual, take_domain_out});
}

TEST_CASE("replace every VM gracefully") {
    run_row({"replace every VM gracefully", usual, replace_every_vm});
}

TEST_CASE("kill every VM in turn") {
    run_row({"kill every VM in turn", tight_ceiling, kill_every_vm_in_turn});
}

TEST_CASE("lose the answers of workers") {
    run_row({"lose the answers of workers", tight_ceiling, lose_worker_answers});
}

TEST_CASE("freeze workers past their leases") {
    run_row({"freeze workers past their leases", usual, freeze_workers});
}

TEST_CASE("restart workers") {
    run_row({"restart workers", usual, restart_workers});
}

TEST_CASE("the log is out, slow, and loses answers") {
    run_row({"the log is out, slow, and loses answers", usual, log_out_and_slow});
}

TEST_CASE("racing operators: one wins, the others learn why") {
    fleet target;
    constexpr auto rounds = 5;
    for(auto round = 0; round < rounds; ++round) {
        std::vector<std::future<server_answer>> racers;
        for(auto const &name: target.entry_vms()) {
            racers.push_back(std::async(std::launch::async, [&target, name, round]() {
                return target.edit(name, "policies", [&](boost::json::value &body) {
                    body = boost::json::object{{"batch", boost::json::object{{"preemptible", round % 2 == 0}}}};
                });
            }));
            racers.push_back(std::async(std::launch::async, [&target, name, round]() {
                return target.edit(name, "queues", [&](boost::json::value &body) {
                    body.as_array().push_back(boost::json::object{{"name", name + std::to_string(round)}});
                });
            }));
        }
        auto won = 0;
        for(auto &racer: racers) {
            auto const answer = racer.get();
            CHECK((answer.status == 200u || answer.status == 412u));
            won += answer.status == 200u ? 1 : 0;
        }
        CHECK(won >= 2);
    }
    auto const describe = [&](std::string const &name) {
        return boost::json::serialize(target.send(name, verb::get, "/v1/document").body.at("versions"));
    };
    CHECK(comes_true(
        [&]() {
            auto const names = target.entry_vms();
            return std::all_of(
                names.begin(), names.end(), [&](auto const &name) { return describe(name) == describe("a1"); });
        },
        in_force_bound));
}

TEST_CASE("a withdrawn key stops working everywhere in time while the log is slow") {
    fleet target;
    target.platform_fault({{"slow_ms", 700}});
    auto const withdrawn = target.edit("a1", "keys", [](boost::json::value &keys) {
        for(auto &key: keys.as_array()) {
            if(text_in(key, "team") == "red") {
                key.as_object()["state"] = "withdrawn";
            }
        }
    });
    CHECK(withdrawn.status == 200u);
    CHECK(comes_true(
        [&]() {
            auto const names = target.entry_vms();
            return std::all_of(names.begin(), names.end(), [&](auto const &name) {
                return target.send(name, verb::post, "/v1/queues/keyed/requests", "x", "key-red").status == 403u;
            });
        },
        withdrawal_bound));
    CHECK(target.submit("b1", "red", batch_job("j", 1, 10)).empty());
    CHECK(target.send("a1", verb::post, "/v1/queues/keyed/requests", "x", "key-blue").status == 200u);
}

TEST_CASE("an edit whose answer was lost is resolved by reading the log") {
    fleet target;
    target.platform_fault({{"lose_answers", true}});
    auto edited = std::async(std::launch::async, [&target]() {
        return target.edit("a1", "policies", [](boost::json::value &body) {
            body = boost::json::object{{"batch", boost::json::object{{"backfill", false}}}};
        });
    });
    std::this_thread::sleep_for(1s);
    target.platform_fault({{"lose_answers", false}});
    CHECK(edited.get().status == 200u);
    CHECK(comes_true([&]() { return version_of(target, "b2", "policies") == 2; }, in_force_bound));
}

TEST_CASE("an entry VM that cannot reach the log learns of edits from its peers") {
    fleet target;
    static_cast<void>(target.send("b1", verb::put, "/v1/faults", R"({"refuse": ["platform"]})"));
    CHECK(target.set_domain("a1", "a", "out").status == 200u);
    CHECK(comes_true([&]() { return version_of(target, "b1", "failure_domains") == 2; }, in_force_bound));
}

TEST_CASE("a new entry VM takes the document from the log's newest snapshot") {
    fleet target;
    for(auto count = 0; count < 3; ++count) {
        CHECK(target
                  .edit("a1", "queues",
                      [&](boost::json::value &body) {
                          body.as_array().push_back(boost::json::object{{"name", "q" + std::to_string(count)}});
                      })
                  .status == 200u);
    }
    target.kill("b1");
    target.start("b1");
    CHECK(comes_true([&]() { return version_of(target, "b1", "queues") == 4; }, in_force_bound));
}

TEST_CASE("a submission that is repeated is one job") {
    struct row {
        std::string_view name;
        void (*strike)(fleet &);
        std::string second_vm;
    };
    std::vector<row> const rows{
        {"at the same entry VM", [](fleet &) {}, "a1"},
        {"in another failure domain", [](fleet &) {}, "b2"},
        {"after the death of a leader",
            [](fleet &target) {
                auto const leader = target.leader("a");
                target.kill(leader);
                target.start(leader);
            },
            "b1"},
        {"after its failure domain was taken out",
            [](fleet &target) {
                CHECK(target.set_domain("a1", "a", "out").status == 200u);
                std::this_thread::sleep_for(2s);
            },
            "b1"},
        {"after it was brought back", [](fleet &target) { CHECK(target.set_domain("a1", "a", "in").status == 200u); },
            "a2"},
    };
    fleet target;
    auto const submit = [&](std::string const &entry_vm, std::string const &key, boost::json::object const &job) {
        server_answer answer;
        CHECK(comes_true([&]() {
            answer = target.send(
                entry_vm, verb::post, "/v1/jobs", boost::json::serialize(job), "key-red", {{"Idempotency-Key", key}});
            return answer.status != 503u && answer.status != 504u;
        }));
        return answer;
    };
    constexpr auto jobs_per_row = 6;
    std::map<std::string, std::set<std::string>> keys_of_name;
    for(auto const &row: rows) {
        CAPTURE(row.name);
        for(auto number = 0; number < jobs_per_row; ++number) {
            auto const name = std::string{row.name} + std::to_string(number);
            keys_of_name[name].insert(text_in(submit("a1", name, batch_job(name, 1, 1'500)).body, "job"));
        }
        row.strike(target);
        for(auto number = 0; number < jobs_per_row; ++number) {
            auto const name = std::string{row.name} + std::to_string(number);
            keys_of_name[name].insert(text_in(submit(row.second_vm, name, batch_job(name, 1, 1'500)).body, "job"));
            CHECK(error_kind(submit(row.second_vm, name, batch_job(name, 2, 1'500))) == "idempotency_mismatch");
        }
    }
    // Callers that race with one key.
    std::vector<std::future<server_answer>> racers;
    for(auto const &entry_vm: target.entry_vms()) {
        racers.push_back(std::async(
            std::launch::async, [&submit, entry_vm]() { return submit(entry_vm, "race", batch_job("race", 1, 50)); }));
    }
    for(auto &racer: racers) {
        keys_of_name["race"].insert(text_in(racer.get().body, "job"));
    }
    for(auto const &[name, keys]: keys_of_name) {
        CAPTURE(name);
        CHECK(keys.size() == 1u);
        CHECK_FALSE(keys.contains(""));
        CHECK(comes_true([&]() { return target.job_state("b1", *keys.begin()) == "succeeded"; }));
    }
    auto const listed = target.send("b1", verb::get, "/v1/jobs", {}, "operator").body.at("jobs").as_array();
    std::set<std::string> distinct;
    std::for_each(listed.begin(), listed.end(), [&](auto const &job) { distinct.insert(text_in(job, "job")); });
    CHECK(distinct.size() == keys_of_name.size());
    CHECK(target.breaches().empty());
}
