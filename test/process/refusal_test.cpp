#include "fleet.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <future>
#include <thread>

using namespace kingcuplink;
using namespace kingcuplink::test;
using namespace std::chrono_literals;
using verb = boost::beast::http::verb;

namespace {

/*! One refusal and how it is provoked. */
struct refusal_case {
    refusal reason;
    std::function<server_answer()> provoke;
};

/*! Connection on which raw bytes are sent. */
class raw_connection {
public:
    raw_connection(boost::asio::io_context &context, fleet const &target, std::string const &entry_vm)
        : socket_{context} {
        socket_.connect(*parse_endpoint(target.http_address(entry_vm)));
    }

    void send(std::string_view const bytes) {
        boost::system::error_code error;
        boost::asio::write(socket_, boost::asio::buffer(bytes), error);
    }

    /*! Returns what comes back next, or an empty text. */
    [[nodiscard]] std::string receive() {
        boost::system::error_code error;
        std::string answer(4'096u, '\0');
        answer.resize(socket_.read_some(boost::asio::buffer(answer), error));
        return answer;
    }

private:
    boost::asio::ip::tcp::socket socket_;
};

/*! Sends raw bytes to an entry VM and returns what comes back. */
std::string send_raw(fleet const &target, std::string const &entry_vm, std::string_view const bytes) {
    boost::asio::io_context context;
    raw_connection link{context, target, entry_vm};
    link.send(bytes);
    return link.receive();
}

/*! Checks that an answer is the refusal that its row of the table describes, and that it was counted. */
void check_refusal(fleet const &target, refusal const reason, server_answer const &answer) {
    auto const &expected = row_of(reason);
    CAPTURE(expected.kind);
    CAPTURE(answer.text);
    CHECK(answer.status == expected.status);
    CHECK(error_kind(answer) == expected.kind);
    REQUIRE(answer.body.is_object());
    auto const &error = answer.body.at("error").as_object();
    CHECK(error.at("not_run").as_bool() == expected.not_run);
    CHECK(std::string_view{error.at("remedy").as_string()} == expected.remedy);
    auto const metrics = target.send("a1", verb::get, "/metrics").text;
    CHECK(metrics.find("kingcuplink_refusals_total{reason=\"" + std::string{expected.kind} + "\"} 0\n") ==
        std::string::npos);
}

} // namespace

TEST_CASE("bad HTTP is refused and harms nobody") {
    fleet target{{.entry_vms = {1u}}};
    struct row {
        std::string bytes;
        std::string_view expected;
    };
    std::vector<row> const rows{
        {"NONSENSE\r\n\r\n", "request_malformed"},
        {"POST /v1/queues/keyed/requests HTTP/1.1\r\nContent-Length: -5\r\n\r\n", "request_malformed"},
        {"POST /v1/queues/keyed/requests HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "body_too_large"},
        {"GET / HTTP/1.1\r\nX: " + std::string(40'000u, 'x') + "\r\n\r\n", "request_malformed"},
        {"POST /v1/queues/keyed/requests HTTP/1.1\r\nKingcuplink-Deadline-Ms: soon\r\nContent-Length: 0\r\n\r\n",
            "request_malformed"},
        {"GET /nothing HTTP/1.1\r\n\r\n", "route_unknown"},
    };
    for(auto const &row: rows) {
        CAPTURE(row.bytes.substr(0u, 60u));
        auto const answer = send_raw(target, "a1", row.bytes);
        CAPTURE(answer);
        CHECK(answer.find(row.expected) != std::string::npos);
        CHECK(answer.find("\"remedy\"") != std::string::npos);
    }
    // Senders that never finish hold nobody up.
    boost::asio::io_context context;
    std::vector<boost::asio::ip::tcp::socket> slow;
    for(auto count = 0; count < 100; ++count) {
        slow.emplace_back(context);
        slow.back().connect(*parse_endpoint(target.http_address("a1")));
        boost::asio::write(slow.back(),
            boost::asio::buffer(std::string_view{"POST /v1/queues/keyed/requests HTTP/1.1\r\nContent-Le"}));
    }
    CHECK(target.send("a1", verb::post, queue_target, "work_ms=1", "key-red").status == 200u);
}

TEST_CASE("refusals over HTTP carry their row of the table and are counted") {
    fleet target{{.entry_vms = {1u}, .red_cores = 8}};
    auto const post = [&](std::string const &path, std::string const &body, std::string const &key) {
        return target.send("a1", verb::post, path, body, key);
    };
    auto const job = [&](std::string const &body) { return post("/v1/jobs", body, "key-red"); };
    std::vector<refusal_case> const rows{
        {refusal::key_missing, [&]() { return post(queue_target, "x", ""); }},
        {refusal::key_unknown, [&]() { return post(queue_target, "x", "key-green"); }},
        {refusal::queue_unknown, [&]() { return post("/v1/queues/none/requests", "x", "key-red"); }},
        {refusal::deadline_passed,
            [&]() {
                target.endpoint_fault({{"endpoint", "runners"}, {"outage", true}});
                auto answer = target.send("a1", verb::post, queue_target, "x", "key-red", headers_of("late", true, 4));
                target.endpoint_fault({{"endpoint", "runners"}, {"outage", false}});
                return answer;
            }},
        {refusal::job_malformed, [&]() { return job("{}"); }},
        {refusal::job_never_fits,
            [&]() { return job(R"({"name": "j", "kind": "batch", "task_size": {"cores": 1, "memory_gib": 900}})"); }},
        {refusal::job_over_ceiling,
            [&]() { return job(R"({"name": "j", "kind": "batch", "task_size": {"cores": 9}})"); }},
        {refusal::job_unknown, [&]() { return target.send("a1", verb::get, "/v1/jobs/a.none", {}, "key-red"); }},
        {refusal::owner_required, [&]() { return target.send("a1", verb::get, "/v1/document/keys", {}, "key-red"); }},
        {refusal::section_unknown, [&]() { return target.send("a1", verb::get, "/v1/document/none", {}, "operator"); }},
        {refusal::section_invalid,
            [&]() { return target.edit("a1", "queues", [](boost::json::value &body) { body = 5; }); }},
        {refusal::section_stale,
            [&]() {
                return target.send("a1", verb::put, "/v1/document/queues", "[]", "operator", {{"If-Match", "\"77\""}});
            }},
        {refusal::terms_lowered,
            [&]() {
                return target.edit("a1", "teams", [](boost::json::value &body) {
                    body.as_array()[0].as_object()["ceiling"].as_object()["cores"] = 1;
                });
            }},
        {refusal::request_malformed,
            [&]() { return target.send("a1", verb::put, "/v1/document/queues", "[]", "operator"); }},
        {refusal::body_too_large, [&]() { return job(std::string(9u << 20u, ' ')); }},
        {refusal::route_unknown, [&]() { return target.send("a1", verb::get, "/v1/none"); }},
        {refusal::no_runner,
            [&]() {
                static_cast<void>(target.set_domain("a1", "a", "out"));
                std::this_thread::sleep_for(500ms);
                auto answer = post(queue_target, "x", "key-red");
                static_cast<void>(target.set_domain("a1", "a", "in"));
                std::this_thread::sleep_for(500ms);
                return answer;
            }},
        {refusal::may_have_run,
            [&]() {
                target.endpoint_fault({{"endpoint", "runners"}, {"lose_answers", true}});
                auto answer = target.send("a1", verb::post, queue_target, "x", "key-red", headers_of("once", false));
                target.endpoint_fault({{"endpoint", "runners"}, {"lose_answers", false}});
                return answer;
            }},
        {refusal::ceiling_reached,
            [&]() {
                auto const lowered = target.edit(
                    "a1", "teams",
                    [](boost::json::value &body) { body.as_array()[0].as_object()["request_ceiling"] = 0; }, "red");
                CHECK(lowered.status == 200u);
                std::this_thread::sleep_for(500ms);
                return post(queue_target, "x", "key-red");
            }},
        {refusal::log_unavailable,
            [&]() {
                static_cast<void>(target.send("a1", verb::put, "/v1/faults", R"({"refuse": ["platform"]})"));
                return target.send("a1", verb::put, "/v1/document/policies", "{}", "operator", {{"If-Match", "\"1\""}},
                    millis{15'000});
            }},
        {refusal::held_while_cut_off,
            [&]() {
                std::this_thread::sleep_for(6s);
                return post("/v1/queues/held/requests", "x", "key-blue");
            }},
        {refusal::not_durable,
            [&]() { return post("/v1/jobs", boost::json::serialize(batch_job("j", 1, 10)), "key-blue"); }},
        {refusal::key_withdrawn,
            [&]() {
                static_cast<void>(target.send("a1", verb::put, "/v1/faults", R"({"refuse": []})"));
                std::this_thread::sleep_for(2s);
                static_cast<void>(target.edit("a1", "keys",
                    [](boost::json::value &keys) { keys.as_array()[0].as_object()["state"] = "withdrawn"; }));
                std::this_thread::sleep_for(500ms);
                return post(queue_target, "x", "key-red");
            }},
    };
    for(auto const &row: rows) {
        check_refusal(target, row.reason, row.provoke());
    }
}

TEST_CASE("refusals for want of room are told at once") {
    fleet target{{.entry_vms = {1u}}};
    constexpr std::size_t callers = 330u;
    std::vector<std::future<server_answer>> answers;
    auto const send = [&target](std::string const &id, std::int64_t const deadline_ms) {
        return target.send("a1", verb::post, queue_target, "work_ms=300", "key-red", headers_of(id, false, deadline_ms),
            millis{60'000});
    };
    CHECK(send("first", 5'000).status == 200u);
    for(std::size_t caller{}; caller < callers; ++caller) {
        answers.push_back(std::async(std::launch::async, send, "q" + std::to_string(caller), 50'000));
    }
    std::vector<server_answer> full;
    std::this_thread::sleep_for(500ms);
    check_refusal(target, refusal::deadline_too_short, send("short", 350));
    std::size_t served{};
    for(auto &answer: answers) {
        auto value = answer.get();
        served += value.status == 200u ? 1u : 0u;
        if(value.status != 200u) {
            full.push_back(std::move(value));
        }
    }
    REQUIRE_FALSE(full.empty());
    CHECK(served >= config::queued_requests_per_team);
    for(auto const &answer: full) {
        check_refusal(target, refusal::queue_full, answer);
    }
    auto const runs = target.record().at("request_runs").as_object();
    CHECK(runs.size() == served + 1u);
    CHECK(target.breaches().empty());
}

TEST_CASE("a failure domain keeps a bounded number of queued jobs for a team") {
    fleet target{{.entry_vms = {2u}}};
    auto const job = boost::json::serialize(batch_job("j", 1, 600'000));
    constexpr std::size_t callers = 16u;
    constexpr auto enough = config::queued_jobs_per_team + 1'000u;
    std::atomic<std::size_t> sent{};
    std::atomic<std::size_t> accepted{};
    std::vector<std::future<server_answer>> last;
    for(std::size_t caller{}; caller < callers; ++caller) {
        last.push_back(std::async(std::launch::async, [&]() {
            server_connection server{{target.http_address("a1")}, "key-red"};
            server_answer answer;
            while(sent++ < enough) {
                answer = server.send(verb::post, "/v1/jobs", job);
                accepted += answer.status == 201u ? 1u : 0u;
                if(answer.status != 201u) {
                    break;
                }
            }
            return answer;
        }));
    }
    for(auto &answer: last) {
        check_refusal(target, refusal::jobs_full, answer.get());
    }
    CHECK(accepted >= config::queued_jobs_per_team);
    CHECK(accepted <= config::queued_jobs_per_team + 100u);
    // Another team is not affected.
    CHECK_FALSE(target.submit("a1", "blue", batch_job("j", 1, 10)).empty());
}

TEST_CASE("refusals of an entry VM without log or peers are true") {
    fleet target{{.entry_vms = {1u}}};
    auto const submit = [&](std::string const &key) {
        return target.send("a1", verb::post, "/v1/jobs", boost::json::serialize(batch_job(key, 1, 10)), "key-red",
            {{"Idempotency-Key", key}});
    };
    CHECK(target.set_domain("a1", "a", "out").status == 200u);
    check_refusal(target, refusal::no_leader,
        target.send("a1", verb::post, "/v1/jobs", boost::json::serialize(batch_job("j", 1, 10)), "key-red"));
    CHECK(target.set_domain("a1", "a", "in").status == 200u);

    CHECK(comes_true([&]() { return submit("before").status == 201u; }));
    target.platform_fault({{"freeze", true}});
    check_refusal(target, refusal::outcome_unknown, submit("frozen"));
    check_refusal(target, refusal::edit_unknown,
        target.send(
            "a1", verb::put, "/v1/document/policies", "{}", "operator", {{"If-Match", "\"1\""}}, millis{30'000}));
    target.platform_fault({{"freeze", false}});
    server_answer again;
    CHECK(comes_true([&]() {
        again = submit("frozen");
        return again.status == 201u;
    }));
    auto const key = text_in(again.body, "job");
    CHECK(comes_true([&]() { return target.job_state("a1", key) == "succeeded"; }));
    CHECK(target.record().at("starts").as_int64() == 2);

    target.kill("a1");
    target.platform_fault({{"outage", true}});
    target.start("a1");
    CHECK(comes_true([&]() { return target.send("a1", verb::get, "/ready").answered; }));
    check_refusal(target, refusal::no_configuration, submit("nothing known"));
    check_refusal(target, refusal::no_configuration, target.send("a1", verb::post, queue_target, "x", "key-red"));
}

TEST_CASE("one caller cannot take all connections") {
    fleet target{{.entry_vms = {1u}}};
    boost::asio::io_context context;
    std::vector<raw_connection> open;
    open.reserve(config::connections_per_address);
    for(std::size_t count{}; count < config::connections_per_address; ++count) {
        open.emplace_back(context, target, "a1");
    }
    std::this_thread::sleep_for(500ms);
    auto const answer = send_raw(target, "a1", "GET /status HTTP/1.1\r\n\r\n");
    CAPTURE(answer);
    CHECK(answer.find("\"connections_full\"") != std::string::npos);
    CHECK(answer.find("\"not_run\":true") != std::string::npos);
    open.clear();
    CHECK(comes_true([&]() { return target.send("a1", verb::get, "/ready").status == 200u; }));
}

TEST_CASE("a request that comes after the end of accepting is told so") {
    fleet target{{.entry_vms = {1u}}};
    boost::asio::io_context context;
    raw_connection link{context, target, "a1"};
    auto slow = std::async(std::launch::async, [&]() {
        return target.send("a1", verb::post, queue_target, "work_ms=4000", "key-red", headers_of("slow", false, 9'000));
    });
    std::this_thread::sleep_for(500ms);
    auto const stopped = std::async(std::launch::async, [&]() { return target.stop("a1"); });
    std::this_thread::sleep_for(2s);
    link.send("POST /v1/queues/keyed/requests HTTP/1.1\r\nAuthorization: Bearer key-red\r\nContent-Length: 0\r\n"
              "Kingcuplink-Request-Id: late\r\n\r\n");
    auto const answer = link.receive();
    CAPTURE(answer);
    CHECK(answer.find("\"shutting_down\"") != std::string::npos);
    CHECK(answer.find("\"not_run\":true") != std::string::npos);
    CHECK(slow.get().status == 200u);
    stopped.wait();
    CHECK_FALSE(target.record().at("request_runs").as_object().contains("late"));
}
