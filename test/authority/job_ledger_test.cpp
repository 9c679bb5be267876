#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <kingcuplink/authority/job_ledger.hpp>
#include <kingcuplink/core/config.hpp>
#include <random>

using namespace kingcuplink;

namespace {

std::vector<job_event> sample_events() {
    job_spec const spec{.name = "n",
        .team = "red",
        .kind = job_kind::batch,
        .count = 2,
        .task_size = {1'000, 1, 0},
        .run_time = millis{10}};
    return {
        {.kind = job_event_kind::accepted, .job = "a.1", .spec = spec, .at = instant{millis{5}}},
        {.kind = job_event_kind::start_intended, .job = "a.1", .ordinal = 0, .attempt = 1u, .place = "w1"},
        {.kind = job_event_kind::start_intended, .job = "a.1", .ordinal = 0, .attempt = 2u, .place = "w2"},
        {.kind = job_event_kind::start_intended, .job = "a.1", .ordinal = 1, .attempt = 1u, .place = "w1"},
        {.kind = job_event_kind::task_final, .job = "a.1", .ordinal = 1, .state = "succeeded"},
        {.kind = job_event_kind::cancel_requested, .job = "a.1"},
        {.kind = job_event_kind::accepted, .job = "a.2", .spec = spec, .at = instant{millis{6}}},
        {.kind = job_event_kind::moved, .job = "a.2", .place = "b", .generation = 0u},
        {.kind = job_event_kind::job_ended, .job = "a.2", .state = "moved", .generation = 0u},
        {.kind = job_event_kind::accepted, .job = "a.3", .spec = spec, .at = instant{millis{7}}},
        {.kind = job_event_kind::start_intended, .job = "a.3", .ordinal = 0, .attempt = 1u, .place = "w3"},
        {.kind = job_event_kind::task_final, .job = "a.3", .ordinal = 0, .state = "failed"},
        {.kind = job_event_kind::job_ended, .job = "a.3", .state = "failed"},
    };
}

std::string serialize_events(job_ledger const &ledger) {
    std::string text;
    for(auto const &event: ledger.events()) {
        text += boost::json::serialize(to_json(event)) + "\n";
    }
    return text;
}

} // namespace

TEST_CASE("a ledger does not depend on the order and duplication of its events") {
    auto const events = sample_events();
    job_ledger expected;
    std::for_each(events.begin(), events.end(), [&](auto const &event) { expected.apply(event); });
    CHECK(expected.entries().at("a.1").tasks.at(0).worker == "w2");
    CHECK(expected.entries().at("a.2").moved_to == "b");
    for(std::uint64_t seed{1}; seed <= 200u; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        auto shuffled = events;
        shuffled.insert(
            shuffled.end(), events.begin(), events.begin() + static_cast<std::ptrdiff_t>(random() % events.size()));
        std::shuffle(shuffled.begin(), shuffled.end(), random);
        job_ledger ledger;
        std::for_each(shuffled.begin(), shuffled.end(), [&](auto const &event) { ledger.apply(event); });
        CHECK(serialize_events(ledger) == serialize_events(expected));
    }
}

TEST_CASE("a ledger is restored from its serialized events") {
    job_ledger ledger;
    for(auto const &event: sample_events()) {
        ledger.apply(event);
    }
    job_ledger restored;
    for(auto const &event: ledger.events()) {
        problem failure;
        auto const parsed = value_of([&]() { return parse_job_event(to_json(event)); }, failure);
        REQUIRE(parsed);
        restored.apply(*parsed);
    }
    CHECK(serialize_events(restored) == serialize_events(ledger));
}

TEST_CASE("a job that is moved back becomes live again") {
    job_ledger ledger;
    for(auto const &event: sample_events()) {
        ledger.apply(event);
    }
    auto moved_back = sample_events()[6];
    moved_back.generation = 1u;
    ledger.apply(moved_back);
    auto const &entry = ledger.entries().at("a.2");
    CHECK(entry.moved_to.empty());
    CHECK(entry.ended.empty());
    // Late events of the earlier generation do not end the newer one.
    ledger.apply(sample_events()[8]);
    ledger.apply(sample_events()[7]);
    CHECK(entry.ended.empty());
    CHECK(entry.moved_to.empty());
}

TEST_CASE("only ended jobs are removed from the ledger") {
    struct row {
        std::string_view name;
        bool is_moved_back;
        std::size_t later_completions;
        bool is_known;
    };
    constexpr auto kept = config::ended_jobs_kept;
    constexpr std::array<row, 4u> rows{{
        {"ended, few completions since", false, kept - 1u, true},
        {"ended, many completions since", false, kept, false},
        {"moved back, few completions since", true, kept - 1u, true},
        {"moved back, many completions since", true, 3u * kept, true},
    }};
    auto const events = sample_events();
    for(auto const &row: rows) {
        CAPTURE(row.name);
        job_ledger ledger;
        // a.2 is accepted, moved, and recorded as ended by the failure domain that moved it.
        std::for_each(events.begin() + 6, events.begin() + 9, [&](auto const &event) { ledger.apply(event); });
        if(row.is_moved_back) {
            auto moved_back = events[6];
            moved_back.generation = 1u;
            ledger.apply(moved_back);
        }
        for(std::size_t number{}; number < row.later_completions; ++number) {
            auto const job = "b." + std::to_string(number);
            ledger.apply({.kind = job_event_kind::accepted, .job = job, .spec = events[0].spec});
            ledger.apply({.kind = job_event_kind::job_ended, .job = job, .state = "succeeded"});
        }
        CHECK((ledger.find("a.2") != nullptr) == row.is_known);
    }
}
