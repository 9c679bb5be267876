#include "fleet.hpp"
#include "load.hpp"

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

using namespace kingcuplink;
using namespace kingcuplink::test;
using verb = boost::beast::http::verb;

TEST_CASE("one job of each kind and one request go the whole path") {
    fleet target;
    std::vector<std::string> jobs;
    for(auto const *kind: {"batch", "gang"}) {
        auto job = batch_job(kind, 3, 200);
        job["kind"] = kind;
        jobs.push_back(target.submit("a1", "red", job));
    }
    auto service = batch_job("service", 2, 1);
    service["kind"] = "service";
    auto const service_key = target.submit("b1", "blue", service);
    auto once = batch_job("once", 1, 100);
    once["urgent"] = true;
    once["repeatable"] = false;
    jobs.push_back(target.submit("a2", "red", once));
    for(auto const &job: jobs) {
        REQUIRE_FALSE(job.empty());
        CHECK(comes_true([&]() { return target.job_state("b2", job) == "succeeded"; }));
    }
    CHECK(comes_true([&]() { return target.job_state("a1", service_key) == "running"; }));
    // It is cancelled by its own team alone.
    CHECK(target.send("a1", verb::delete_, "/v1/jobs/" + service_key, {}, "key-red").status == 404u);
    CHECK(target.send("a1", verb::delete_, "/v1/jobs/" + service_key, {}, "key-blue").status == 200u);
    CHECK(comes_true([&]() { return target.job_state("a1", service_key) == "cancelled"; }));
    auto const answer = target.send("a1", verb::post, "/v1/queues/keyed/requests", "work_ms=5", "key-red");
    CHECK(answer.status == 200u);
    CHECK(target.send("a1", verb::post, "/v1/queues/keyed/requests", "x").status == 401u);
    CHECK(target.send("a1", verb::post, "/v1/queues/open/requests", "x").status == 200u);
    CHECK(target.send("a1", verb::get, "/ready").status == 200u);
    CHECK(target.send("a1", verb::get, "/metrics").text.find("kingcuplink_requests_answered_total 2") !=
        std::string::npos);
    CHECK(target.breaches().empty());
}

TEST_CASE("a ceiling holds over all failure domains, and its parts move where they are wanted") {
    fleet target{{.red_cores = 16}};
    load callers{target, 2u, 0u};
    std::vector<std::string> jobs;
    for(auto const *entry_vm: {"a1", "b1"}) {
        for(auto count = 0; count < 8; ++count) {
            jobs.push_back(target.submit(entry_vm, "red", batch_job("j" + std::to_string(count), 6, 400)));
        }
    }
    // All of the second wave is in one failure domain; it can use more than its half.
    for(auto const &job: jobs) {
        REQUIRE_FALSE(job.empty());
        CHECK(comes_true([&]() { return target.job_state("a1", job) == "succeeded"; }, std::chrono::seconds{60}));
    }
    auto const one_sided = target.submit("a1", "red", batch_job("one-sided", 16, 3'000));
    CHECK(comes_true(
        [&]() { return target.record().at("running").as_object().size() >= 10u; }, std::chrono::seconds{20}));
    CHECK(comes_true([&]() { return target.job_state("a1", one_sided) == "succeeded"; }, std::chrono::seconds{60}));
    CHECK(callers.verdict(std::chrono::seconds{30}) == "");
}
