#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/workflow/job_table.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink::test {

namespace {

enum class record : std::uint8_t { definition, cancellation, removal, start, end };

job_definition make_job() {
    job_definition job;
    job.id = "job";
    job.queue = "queue";
    job.steps.resize(1u);
    return job;
}

void apply(job_table &table, record const item, instant const now) {
    switch(item) {
    case record::definition:
        table.define(make_job());
        break;
    case record::cancellation:
        table.cancel("job", now);
        break;
    case record::removal:
        table.forget("job");
        break;
    case record::start:
        table.advance("job", {job_phase::running, {}}, now);
        break;
    case record::end:
        table.advance("job", {job_phase::done, {}}, now);
        break;
    }
}

} // namespace

// A job ran although its cancel was acknowledged: its submission, which had no answer, reached the log after the
// cancel.
TEST_CASE("a cancellation applies to a job whichever of the two records comes first") {
    using enum record;
    struct row {
        std::string_view name;
        std::vector<record> records;
        job_phase phase;
        std::size_t pending;
    };
    std::array<row, 8u> const rows{{
        {"no cancellation", {definition}, job_phase::queued, 1u},
        {"after the definition", {definition, cancellation}, job_phase::cancelled, 0u},
        {"before the definition", {cancellation, definition}, job_phase::cancelled, 0u},
        {"repeated", {cancellation, cancellation, definition, cancellation}, job_phase::cancelled, 0u},
        {"before a repeated definition", {cancellation, definition, definition}, job_phase::cancelled, 0u},
        {"before the definition of a started job", {cancellation, definition, start}, job_phase::cancelled, 0u},
        {"after the end", {definition, end, cancellation}, job_phase::done, 0u},
        {"removed", {cancellation, removal, definition}, job_phase::queued, 1u},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        job_table table;
        for(auto const next: item.records) {
            apply(table, next, {});
        }
        REQUIRE(table.find("job") != nullptr);
        CHECK(job_table::visible_phase(*table.find("job")) == item.phase);
        CHECK(table.pending("queue") == item.pending);
    }
}

TEST_CASE("the cancellation of an unknown job defines no job and expires like an ended one") {
    using enum record;
    struct row {
        std::string_view name;
        std::vector<record> records;
        bool expires;
    };
    std::array<row, 5u> const rows{{
        {"unknown job", {cancellation}, true},
        {"defined later", {cancellation, definition}, false},
        {"removed", {cancellation, removal}, false},
        {"live job", {definition, cancellation}, false},
        {"ended job", {definition, cancellation, end}, true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        job_table table;
        instant const read_at{millis{1'000}};
        for(auto const next: item.records) {
            apply(table, next, read_at);
        }
        auto const is_defined = std::find(item.records.begin(), item.records.end(), definition) != item.records.end();
        CHECK((table.find("job") != nullptr) == is_defined);
        CHECK(table.expired_before(read_at).empty());
        CHECK(table.expired_before(read_at + millis{1}).size() == (item.expires ? 1u : 0u));
    }
}

} // namespace kingcuplink::test
