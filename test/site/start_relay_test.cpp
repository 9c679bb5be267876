#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/site/pending_requests.hpp>
#include <kingcuplink/site/relay_policy.hpp>
#include <kingcuplink/site/start_relay.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink::test {

namespace {

constexpr instant start{millis{1'000'000}};

job_entry known_job() {
    job_entry job;
    job.definition.id = "0123456789abcdef";
    job.definition.payload = "payload";
    job.definition.steps.resize(2u);
    return job;
}

wire::start_request valid_request() {
    wire::start_request request;
    request.set_id(1u);
    request.set_term(5u);
    request.set_process(7u);
    request.set_send_before_ms(1'000);
    request.set_job("0123456789abcdef");
    request.set_step(1u);
    request.set_index(3u);
    request.set_run(2u);
    request.set_worker("w1");
    request.set_address("10.0.0.1:1000");
    request.set_ticket("ticket");
    request.set_checkpoint("checkpoint");
    request.set_payload_hash(stable_hash("payload"));
    return request;
}

} // namespace

// An entry VM that was paused, or received a request late, must not send a start that the leader has given up.
TEST_CASE("an entry VM declines a relayed start that it may not send any more, or cannot send") {
    struct row {
        std::string_view name;
        std::optional<relay_refusal> expected;
        std::int64_t clock{1'000};
        std::uint64_t term{5u};
        std::uint64_t process{7u};
        bool is_draining{};
        bool knows_job{true};
        bool has_ended{};
        std::string_view payload{"payload"};
        std::uint32_t step{1u};
        bool has_read_jobs{true};
    };
    std::array<row, 12u> const rows{{
        {.name = "sent in time", .expected = std::nullopt},
        {.name = "leader of a later term than known here", .expected = std::nullopt, .term = 4u},
        {.name = "time has passed", .expected = relay_refusal::expired, .clock = 1'001},
        {.name = "paused for seconds", .expected = relay_refusal::expired, .clock = 9'000},
        {.name = "later leader known", .expected = relay_refusal::outdated_term, .term = 6u},
        {.name = "process restarted", .expected = relay_refusal::other_process, .process = 8u},
        {.name = "shutting down", .expected = relay_refusal::draining, .is_draining = true},
        {.name = "job not read yet", .expected = relay_refusal::job_unknown, .knows_job = false},
        // The leader waited 0.3 s for each start that it had relayed to an entry VM that was reading the jobs.
        {.name = "jobs not read yet",
            .expected = relay_refusal::jobs_unread,
            .knows_job = false,
            .has_read_jobs = false},
        {.name = "job accepted while the others are read", .expected = std::nullopt, .has_read_jobs = false},
        {.name = "job has ended", .expected = relay_refusal::job_unknown, .has_ended = true},
        {.name = "other definition of the job", .expected = relay_refusal::other_payload, .payload = "other"},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto job = known_job();
        job.definition.payload = item.payload;
        if(item.has_ended) {
            job.definition.steps.clear();
        }
        relay_state const state{
            item.is_draining, item.term, item.process, item.clock, item.knows_job ? &job : nullptr, item.has_read_jobs};
        auto const refused = reason_to_decline(valid_request(), state);
        CHECK(refused == item.expected);
        if(refused) {
            CHECK_FALSE(name_of(*refused).empty());
        }
    }
}

TEST_CASE("a relayed start has the payload of the job and the fields of the request") {
    auto const run = start_of(valid_request(), known_job().definition);
    CHECK(run.key == run_key{"0123456789abcdef", 1u, 3u, 2u});
    CHECK(run.worker == "w1");
    CHECK(run.address == "10.0.0.1:1000");
    CHECK(run.payload == "payload");
    CHECK(run.ticket == "ticket");
    CHECK(run.checkpoint == "checkpoint");
}

// A leader with a link of 2 Mbit/s and 120 workers sent 130 starts a second of 2.4 KB each: they filled its link, its
// appends stalled, and it was replaced every few seconds.
TEST_CASE("starts are relayed while they would take more than a tenth of the leader's link") {
    struct row {
        std::string_view name;
        std::uint32_t link_mbps;
        std::uint64_t starts_per_second;
        std::size_t payload_bytes;
        bool is_relayed;
    };
    std::array<row, 8u> const rows{{
        {"large payloads on a slow link", 2u, 130u, 2'400u, true},
        {"few starts on a slow link", 2u, 5u, 2'400u, false},
        {"small payloads on a slow link", 2u, 130u, 300u, true},
        {"few starts with small payloads", 2u, 30u, 300u, false},
        {"large payloads on a fast link", 1'000u, 130u, 2'400u, false},
        {"large payloads on a link of unknown speed", 0u, 130u, 2'400u, false},
        {"more starts than one processor should send", 0u, 1'240u, 2'400u, true},
        {"as many with small payloads", 0u, 1'240u, 300u, true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        relay_policy policy{item.link_mbps};
        CHECK_FALSE(policy.is_relaying(start));
        for(std::uint64_t pos{}; pos < item.starts_per_second; ++pos) {
            policy.record_start(item.payload_bytes, start + millis{pos * 1'000u / item.starts_per_second});
        }
        CHECK(policy.is_relaying(start + millis{1'000}) == item.is_relayed);
        CHECK_FALSE(policy.is_relaying(start + millis{2'000}));
    }
}

// A leader took a late answer to a question of its earlier leadership for the answer to another step's question.
TEST_CASE("an answer to a request of an earlier term settles no request of a later one") {
    pending_requests<std::string> earlier{3u};
    auto const old_id = earlier.add("vm1", "first step");
    pending_requests<std::string> later{4u};
    auto const id = later.add("vm1", "other step");
    CHECK(id != old_id);
    CHECK_FALSE(later.take(old_id, "vm1"));
    CHECK_FALSE(later.take(id, "vm2"));
    CHECK(later.take(id, "vm1") == std::optional<std::string>{"other step"});
    CHECK_FALSE(later.take(id, "vm1"));
}

} // namespace kingcuplink::test
