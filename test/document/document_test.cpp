#include "sample.hpp"

#include <array>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <kingcuplink/document/job_spec.hpp>

using namespace kingcuplink;
using namespace kingcuplink::test;

TEST_CASE("an invalid section is refused with path, value and remedy") {
    struct row {
        section which;
        std::string_view body;
        std::string_view message;
    };
    std::array<row, 13u> const rows{{
        {section::teams, R"([{"name": "red", "share": 0, "ceiling": {}, "request_ceiling": 1}])",
            "teams[0].share is 0, must be a whole number from 1"},
        {section::teams, R"([{"name": "red", "ceiling": {}, "request_ceiling": 1}])", "teams[0].share is missing"},
        {section::teams, R"([{"name": "red", "share": 1, "ceiling": {"cores": -1}, "request_ceiling": 1}])",
            "teams[0].ceiling.cores is -1"},
        {section::teams, R"([{"name": "red", "share": 1, "ceiling": {}, "request_ceiling": 1, "sher": 2}])",
            "teams[0].sher is 2, must be left out"},
        {section::teams, R"({"name": "red"})", "teams must be an array"},
        {section::teams, R"([])", "keys: team is 'red', must be a team"},
        {section::keys, R"([{"sha256": "abc", "team": "red"}])", "keys[0].sha256 is \"abc\", must be a SHA-256"},
        {section::failure_domains, R"([{"name": "a", "state": "gone"}])",
            "failure_domains[0].state is \"gone\", must be in, out or lost"},
        {section::failure_domains, R"([{"name": "a"}, {"name": "a"}])", "name 'a' is listed twice"},
        {section::failure_domains, R"([{"name": "a", "runners": [{"name": "r", "address": "here"}]}])",
            "failure_domains[0].runners[0].address is \"here\", must be an IP number"},
        {section::queues, R"([{"name": "q", "open": true, "team": "green"}])", "queues.q.team is 'green'"},
        {section::queues, R"([{"name": "q", "when_cut_off": "stop"}])", "must be serve or hold"},
        {section::owners, R"({})", "owners.owners is missing, must be an array of at least one"},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.body);
        auto const before = sample_document();
        auto const refused = problem_of([&]() -> result<void> {
            BOOST_LEAF_CHECK(
                apply_edit(before, sample_edit("e", row.which, 1u, boost::json::parse(std::string{row.body}))));
            return {};
        });
        REQUIRE(refused);
        auto const message = message_of(*refused);
        CAPTURE(message);
        CHECK(message.find(row.message) != std::string::npos);
        CHECK(message.find(row_of(refused->reason).remedy) != std::string::npos);
    }
}

TEST_CASE("an edit requires an owner, the current version, and confirmation of reduced quotas") {
    auto const current = sample_document();
    auto teams = current.bodies[static_cast<std::size_t>(section::teams)];
    teams.as_array()[0].as_object()["share"] = 1;
    auto edit = sample_edit("e", section::teams, 1u, teams);
    auto const reason_of = [&]() {
        auto const refused = problem_of([&]() -> result<void> {
            BOOST_LEAF_CHECK(apply_edit(current, edit));
            return {};
        });
        return refused ? std::optional{refused->reason} : std::nullopt;
    };
    CHECK(reason_of() == refusal::terms_lowered);
    edit.lower = {"blue"};
    CHECK(reason_of() == refusal::terms_lowered);
    edit.lower = {"red"};
    CHECK(reason_of() == std::nullopt);
    edit.base_version = 2u;
    CHECK(reason_of() == refusal::section_stale);
    edit.base_version = 1u;
    edit.author = sha256_hex("somebody");
    CHECK(reason_of() == refusal::owner_required);
}

TEST_CASE("a job is refused with the limit that it exceeds") {
    struct row {
        std::string_view body;
        refusal reason;
        std::string_view detail;
    };
    std::array<row, 7u> const rows{{
        {R"({"name": "j", "kind": "batch", "task_size": {"cores": 65}})", refusal::job_never_fits,
            "the largest failure domain holds 0"},
        {R"({"name": "j", "kind": "gang", "count": 2, "task_size": {"cores": 40}})", refusal::job_never_fits,
            "the largest failure domain holds 1"},
        {R"({"name": "j", "kind": "gang", "count": 3, "task_size": {"cores": 40}})", refusal::job_over_ceiling,
            "the ceiling of 'red' is 100000 millicores"},
        {R"({"name": "j", "kind": "batch", "task_size": {}})", refusal::job_malformed, "at least one millicore"},
        {R"({"name": "j", "kind": "cron", "task_size": {"cores": 1}})", refusal::job_malformed, "job.kind is \"cron\""},
        {R"({"name": "j", "kind": "batch", "count": 0, "task_size": {"cores": 1}})", refusal::job_malformed,
            "job.count is 0"},
        {R"({"name": "", "kind": "batch", "task_size": {"cores": 1}})", refusal::job_malformed, "job.name"},
    }};
    auto const rules = sample_document();
    for(auto const &row: rows) {
        CAPTURE(row.body);
        auto const refused = problem_of([&]() -> result<void> {
            BOOST_LEAF_AUTO(spec, parse_job(boost::json::parse(std::string{row.body}), "red"));
            return check_job(spec, rules);
        });
        REQUIRE(refused);
        CHECK(refused->reason == row.reason);
        CHECK(refused->detail.find(row.detail) != std::string::npos);
    }
}

TEST_CASE("a job is unchanged after a round trip through JSON") {
    job_spec const spec{.name = "n",
        .team = "red",
        .kind = job_kind::gang,
        .count = 4,
        .task_size = {1'500, 700, 1},
        .run_time = millis{1'234},
        .urgent = true,
        .repeatable = false};
    problem failure;
    auto const parsed = value_of([&]() { return parse_job(to_json(spec), "red"); }, failure);
    REQUIRE(parsed);
    CHECK(to_json(*parsed) == to_json(spec));
}
