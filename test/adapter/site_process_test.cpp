#include "site_fleet.hpp"

#include <array>
#include <boost/algorithm/hex.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <thread>

namespace kingcuplink::test {

namespace {

namespace json = boost::json;

std::string id_of(std::uint64_t const number) {
    auto text = std::to_string(number);
    return std::string(16u - text.size(), '0') + text;
}

/*! Returns a worker registration with one field replaced. */
std::string registration_with(std::string const &field, std::string const &value) {
    auto const text = [&](std::string const &name, std::string const &usual) {
        return '"' + name + "\":" + (name == field ? value : usual);
    };
    return "{" + text("service", "\"work\"") + "," + text("address", "\"127.0.0.1:1\"") + "," +
        text("zone", "\"domain-0\"") + "," + text("state", "\"ready\"") + "," + text("born", "1700000000000") + "," +
        text("x", "0") + ",\"capacity\":{" + text("cpu", "64000") + "," + text("mem_mb", "65536") + "}}";
}

/*! Returns an entry of the worker topic, in hexadecimal digits so that it may hold any bytes. */
json::object entry(std::string const &key, std::string const &value) {
    return {{"key", boost::algorithm::hex(key)}, {"value", boost::algorithm::hex(value)}};
}

/*! Waits until an entry VM reports a state of a job; returns false if the time limit passes first. */
bool reaches_state(site_fleet const &site, std::string const &vm, std::string const &id, std::string const &state,
    std::chrono::seconds const limit = std::chrono::seconds{20}) {
    return comes_true([&]() { return site.state(vm, "batch", id) == state; }, limit);
}

} // namespace

TEST_CASE("jobs with steps and gangs run to completion") {
    site_fleet site;
    struct row {
        std::string_view what;
        std::vector<test_step> steps;
    };
    std::array<row, 4u> const rows{{
        {"one task", {{}}},
        {"many tasks", {{.count = 20u, .run_ms = 100}}},
        {"steps in order", {{.count = 3u}, {.count = 2u, .after = {0u}}, {.after = {0u, 1u}}}},
        {"a gang over several workers", {{.count = 6u, .millicores = 6'000, .run_ms = 500, .gang = true}}},
    }};
    std::uint64_t number{};
    for(auto const &item: rows) {
        CAPTURE(item.what);
        auto const vm = site.entry_vms()[number % 3u];
        CHECK(site.submit(vm, "batch", id_of(number), item.steps) == submit_outcome::accepted);
        CHECK(site.submit(vm, "batch", id_of(number), item.steps) == submit_outcome::accepted);
        ++number;
    }
    for(std::uint64_t pos{}; pos < number; ++pos) {
        CAPTURE(pos);
        CHECK(reaches_state(site, site.entry_vms()[(pos + 1u) % 3u], id_of(pos), "done"));
    }
    CHECK(site.record().at("starts").to_number<std::size_t>() == 33u);
    CHECK(site.breaches().empty());
}

TEST_CASE("running jobs complete after the leader is killed or frozen") {
    struct row {
        std::string_view what;
        int signal;
    };
    std::array<row, 2u> const rows{{{"killed", SIGKILL}, {"frozen", SIGSTOP}}};
    for(auto const &item: rows) {
        CAPTURE(item.what);
        site_fleet site;
        auto const first = site.leader();
        std::vector<std::string> others;
        for(auto const &vm: site.entry_vms()) {
            if(vm != first) {
                others.push_back(vm);
            }
        }
        for(std::uint64_t number{}; number < 10u; ++number) {
            CHECK(site.submit(others[0], "batch", id_of(number), {{.count = 4u, .run_ms = 1'000}}) ==
                submit_outcome::accepted);
        }
        CHECK(comes_true([&]() { return site.record().at("running").to_number<std::size_t>() > 4u; }));
        site.processes().signal(first, item.signal);
        for(std::uint64_t number{}; number < 10u; ++number) {
            CAPTURE(number);
            CHECK(reaches_state(site, others[1], id_of(number), "done", std::chrono::seconds{40}));
        }
        CHECK(site.record().at("starts").to_number<std::size_t>() == 40u);
        CHECK(site.breaches().empty());
    }
}

TEST_CASE("acknowledged jobs survive a kill of all entry VMs") {
    site_fleet site;
    for(std::uint64_t number{}; number < 5u; ++number) {
        CHECK(site.submit(site.entry_vms()[0], "batch", id_of(number), {{.count = 2u}}) == submit_outcome::accepted);
    }
    for(auto const &vm: site.entry_vms()) {
        site.processes().kill(vm);
    }
    for(auto const &vm: site.entry_vms()) {
        site.start(vm);
    }
    for(std::uint64_t number{}; number < 5u; ++number) {
        CAPTURE(number);
        CHECK(reaches_state(site, site.entry_vms()[1], id_of(number), "done", std::chrono::seconds{40}));
    }
    CHECK(site.breaches().empty());
}

// The terms of a queue were known only to processes that had read a configuration with it.
TEST_CASE("an accepted job ends after its queue was removed and all entry VMs were killed") {
    for(std::string const service: {"work", "other"}) {
        CAPTURE(service);
        site_fleet site;
        auto const vm = site.entry_vms()[0];
        std::vector<test_step> const steps{{.run_ms = 3'000}, {.count = 2u, .after = {0u}}};
        CHECK(site.submit(vm, "batch", id_of(1u), steps) == submit_outcome::accepted);
        CHECK(comes_true([&]() { return site.record().at("running").to_number<std::size_t>() == 1u; }));
        site.change_platform({{"configure", true}, {"remove", "batch"}, {"only_service", service}});
        for(auto const &other: site.entry_vms()) {
            CHECK(comes_true(
                [&]() { return site.metrics(other).find("kingcuplink_rules_version 2") != std::string::npos; }));
        }
        for(auto const &other: site.entry_vms()) {
            site.processes().kill(other);
        }
        for(auto const &other: site.entry_vms()) {
            site.start(other);
        }
        CHECK(comes_true([&]() { return site.state(vm, "urgent", id_of(1u)) == "done"; }, std::chrono::seconds{40}));
        CHECK(site.state(vm, "batch", id_of(1u)).empty());
        CHECK(site.submit(vm, "batch", id_of(2u), steps) != submit_outcome::accepted);
        CHECK(site.breaches().empty());
    }
}

TEST_CASE("submissions fail fast during a store outage, and the backlog completes after it") {
    site_fleet site;
    auto const vm = site.entry_vms()[0];
    CHECK(site.submit(vm, "batch", id_of(1u), {{.count = 2u, .run_ms = 1'500}}) == submit_outcome::accepted);
    site.change_platform({{"store", json::object{{"outage", true}}}});
    auto const asked_at = std::chrono::steady_clock::now();
    CHECK(site.submit(vm, "batch", id_of(2u), {{}}) != submit_outcome::accepted);
    CHECK(std::chrono::steady_clock::now() - asked_at < std::chrono::milliseconds{2'500});
    site.change_platform({{"store", json::object{{"outage", false}}}});
    CHECK(reaches_state(site, vm, id_of(1u), "done"));
    CHECK(site.submit(vm, "batch", id_of(3u), {{}}) == submit_outcome::accepted);
    CHECK(reaches_state(site, vm, id_of(3u), "done"));
    CHECK(site.breaches().empty());
}

TEST_CASE("workers that restart, drain or execute commands late start no task twice") {
    struct row {
        std::string_view what;
        json::object change;
        json::object undo;
    };
    std::array<row, 3u> const rows{{
        {"restart", {{"worker", "w0"}, {"restart_ms", 700}}, {}},
        {"leave", {{"worker", "w0"}, {"leaving", true}}, {{"worker", "w0"}, {"leaving", false}}},
        {"late commands", {{"worker", "w0"}, {"late_percent", 60}}, {{"worker", "w0"}, {"late_percent", 0}}},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.what);
        site_fleet site;
        site.change_platform(item.change);
        for(std::uint64_t number{}; number < 20u; ++number) {
            auto const vm = site.entry_vms()[number % 3u];
            CHECK(site.submit(vm, "urgent", id_of(number), {{.count = 3u, .run_ms = 400}}) == submit_outcome::accepted);
        }
        site.change_platform(item.undo);
        for(std::uint64_t number{}; number < 20u; ++number) {
            CAPTURE(number);
            CHECK(comes_true([&]() { return site.state(site.entry_vms()[0], "urgent", id_of(number)) == "done"; },
                std::chrono::seconds{40}));
        }
        CHECK(site.breaches().empty());
    }
}

// Guards against processes that crash, or stop reading registrations, because of one entry of another writer.
TEST_CASE("malformed registrations neither end a process nor keep workers from running tasks") {
    struct row {
        std::string_view what;
        std::string key;
        std::string value;
    };
    std::vector<row> const rows{
        {"nested deeply", "a1", std::string(10'000u, '[') + std::string(10'000u, ']')},
        {"nested without an end", "a2", R"({"service":)" + std::string(10'000u, '[')},
        {"number too large", "a3", registration_with("cpu", "1e300")},
        {"negative amount", "a4", registration_with("mem_mb", "-9223372036854775808")},
        {"port out of range", "a5", registration_with("address", R"("127.0.0.1:99999")")},
        {"port 0", "a6", registration_with("address", R"("127.0.0.1:0")")},
        {"a name instead of a number", "a7", registration_with("address", R"("localhost:80")")},
        {"boot out of range", "a8", registration_with("born", "1e19")},
        {"boot beyond 64 bits signed", "a9", registration_with("born", "10000000000000000000")},
        {"256 KB", "b1", registration_with("x", '"' + std::string(std::size_t{256} << 10u, 'x') + '"')},
        {"empty", "b2", ""},
        {"bytes", "b3", "\xff\xfe\x01"},
        {"empty key", "", registration_with("x", "1")},
        {"key of 255 letters", std::string(255u, 'b'), registration_with("x", "1")},
        {"key that is not UTF-8", "b\xff\xfe", registration_with("x", "1")},
        {"key with a line break", "b\r\nX-Other: 1", registration_with("x", "1")},
    };
    site_fleet site;
    auto const vm = site.entry_vms()[0];
    std::uint64_t number{};
    auto const job_completes = [&]() {
        auto const id = id_of(number++);
        return site.submit(vm, "batch", id, {{.count = 8u, .run_ms = 100}}) == submit_outcome::accepted &&
            reaches_state(site, vm, id, "done");
    };
    auto const expect_all_healthy = [&]() {
        CHECK(job_completes());
        for(auto const &name: site.entry_vms()) {
            CAPTURE(name);
            CHECK_FALSE(site.processes().has_ended(name));
        }
    };
    for(auto const &item: rows) {
        CAPTURE(item.what);
        site.change_platform({{"entries", json::array{entry(item.key, item.value)}}});
        expect_all_healthy();
    }
    // Enough keys that need escapes, so that some pages end at such a key.
    json::array many;
    for(auto pos = 0; pos < 120; ++pos) {
        many.push_back(entry("c &%#+\xff" + std::to_string(pos), registration_with("x", "1")));
    }
    site.change_platform({{"entries", std::move(many)}, {"forget_history", true}});
    expect_all_healthy();
    auto const first = site.leader();
    site.processes().kill(first);
    CHECK(comes_true([&]() { return !site.leader().empty(); }));
    site.start(first);
    CHECK(comes_true([&]() { return site.is_ready(vm); }));
    expect_all_healthy();
    CHECK(site.breaches().empty());
}

// Guards against tasks that run twice and workers that are lost, because of an entry under a worker's own key.
TEST_CASE("malformed registrations and run lists of busy workers start no task twice") {
    struct row {
        std::string_view what;
        json::object change;
        json::object undo;
    };
    json::object const true_entry{{"true_entry", true}};
    std::array<row, 7u> const rows{{
        {"high boot", {{"odd_entry", json::object{{"born", 253'402'300'799'999}}}}, true_entry},
        {"boot out of range", {{"odd_entry", json::object{{"born", 1e19}}}}, true_entry},
        {"boot 1", {{"odd_entry", json::object{{"born", 1}}}}, true_entry},
        {"port out of range", {{"odd_entry", json::object{{"address", "127.0.0.1:99999"}}}}, true_entry},
        {"another worker's address", {{"address_of", "w1"}}, true_entry},
        {"negative capacity", {{"odd_entry", json::object{{"capacity", json::object{{"cpu", -1e300}}}}}}, true_entry},
        {"lists", {{"odd_rows", true}}, {{"odd_rows", false}}},
    }};
    site_fleet site;
    auto const vm = site.entry_vms()[0];
    std::uint64_t number{};
    for(auto const &item: rows) {
        CAPTURE(item.what);
        auto const id = id_of(number++);
        CHECK(site.submit(vm, "batch", id, {{.count = 12u, .millicores = 3'000, .run_ms = 3'000}}) ==
            submit_outcome::accepted);
        CHECK(comes_true([&]() { return site.record().at("running").to_number<std::size_t>() == 12u; }));
        for(auto const &worker: site.workers()) {
            auto change = item.change;
            change["worker"] = worker;
            site.change_platform(change);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{1'500});
        for(auto const &worker: site.workers()) {
            auto change = item.undo;
            change["worker"] = worker;
            site.change_platform(change);
        }
        CHECK(reaches_state(site, vm, id, "done"));
        CHECK(site.record().at("starts").to_number<std::size_t>() == 12u * number);
        for(auto const &name: site.entry_vms()) {
            CAPTURE(name);
            CHECK_FALSE(site.processes().has_ended(name));
        }
    }
    CHECK(site.breaches().empty());
}

TEST_CASE("a cancelled job stops, and every entry VM reports it as cancelled") {
    site_fleet site;
    auto const vm = site.entry_vms()[0];
    CHECK(site.submit(vm, "batch", id_of(1u), {{.count = 4u, .run_ms = 60'000}}) == submit_outcome::accepted);
    CHECK(comes_true([&]() { return site.record().at("running").to_number<std::size_t>() == 4u; }));
    CHECK(site.cancel(site.entry_vms()[1], "batch", id_of(1u)));
    CHECK(reaches_state(site, site.entry_vms()[2], id_of(1u), "cancelled"));
    CHECK(comes_true(
        [&]() { return site.record().at("running").to_number<std::size_t>() == 0u; }, std::chrono::seconds{3}));
    CHECK(site.breaches().empty());
}

TEST_CASE("further signals during a shutdown have no effect") {
    for(auto const number: {SIGTERM, SIGHUP}) {
        CAPTURE(number);
        site_fleet site;
        auto const vm = site.entry_vms()[0];
        site.processes().signal(vm, SIGHUP);
        CHECK(site.is_ready(vm));
        site.processes().signal(vm, SIGTERM);
        CHECK(comes_true([&]() { return !site.is_ready(vm); }));
        site.processes().signal(vm, number);
        CHECK(site.processes().stop(vm) == 0);
    }
}

TEST_CASE("entry VMs serve counters and histograms as text") {
    site_fleet site;
    auto const leader = site.leader();
    REQUIRE(!leader.empty());
    CHECK(site.submit(leader, "batch", id_of(1u), {{.count = 3u}}) == submit_outcome::accepted);
    REQUIRE(reaches_state(site, leader, id_of(1u), "done"));
    auto const text = site.metrics(leader);
    // The size of the text bounds the cost of a scrape; it does not grow with jobs or workers.
    constexpr std::size_t most_text = 16'384u;
    CHECK(text.size() < most_text);
    for(std::string_view const line: {"kingcuplink_jobs_accepted_total 1\n", "kingcuplink_task_starts_sent_total 3\n",
            "kingcuplink_task_starts_confirmed_total 3\n", "kingcuplink_tasks_ended_total 3\n",
            "kingcuplink_acceptance_seconds_count 1\n", "kingcuplink_acceptance_seconds_bucket{le=\"+Inf\"} 1\n",
            "kingcuplink_task_start_seconds_count 3\n", "kingcuplink_job_seconds_count 1\n", "kingcuplink_leads 1\n"}) {
        CAPTURE(line);
        CHECK(text.find(line) != std::string::npos);
    }
}

// Guards against an entry VM that exits because its metrics port is in use, and so no longer serves callers.
TEST_CASE("an entry VM serves callers although its metrics port is in use") {
    site_fleet site;
    auto const vm = site.entry_vms()[0];
    REQUIRE(site.processes().stop(vm) == 0);
    boost::asio::io_context context;
    auto const taken = parse_endpoint(site.metrics_address(vm));
    REQUIRE(taken);
    boost::asio::ip::tcp::acceptor const other{context, *taken};
    site.start(vm);
    CHECK(comes_true([&]() { return site.is_ready(vm); }));
    CHECK(site.submit(vm, "batch", id_of(1u), {{.count = 2u}}) == submit_outcome::accepted);
    CHECK(reaches_state(site, vm, id_of(1u), "done"));
}

TEST_CASE("a new configuration takes effect, and jobs complete during an evacuation") {
    site_fleet site;
    site.change_platform({{"evacuate", "domain-0"}, {"configure", true}});
    auto const vm = site.entry_vms()[0];
    CHECK(comes_true([&]() { return site.metrics(vm).find("kingcuplink_rules_version 2") != std::string::npos; },
        std::chrono::seconds{2}));
    for(std::uint64_t number{}; number < 5u; ++number) {
        CHECK(site.submit(vm, "batch", id_of(number), {{.count = 2u}}) == submit_outcome::accepted);
    }
    for(std::uint64_t number{}; number < 5u; ++number) {
        CHECK(reaches_state(site, vm, id_of(number), "done"));
    }
    site.change_platform({{"take_back", "domain-0"}, {"forget_history", true}});
    CHECK(site.submit(vm, "batch", id_of(9u), {{.count = 8u}}) == submit_outcome::accepted);
    CHECK(reaches_state(site, vm, id_of(9u), "done"));
    CHECK(site.breaches().empty());
}

} // namespace kingcuplink::test
