#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/workflow/job_table.hpp>
#include <kingcuplink/workflow/progress_parts.hpp>
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

TEST_CASE("a cancellation, or the end of its job, is known whichever record came first") {
    using enum record;
    struct row {
        std::string_view name;
        std::vector<record> records;
        bool is_cancelled;
    };
    std::array<row, 7u> const rows{{
        {"nothing", {}, false},
        {"live job", {definition, start}, false},
        {"after the definition", {definition, cancellation}, true},
        {"unknown job", {cancellation}, true},
        {"before the definition", {cancellation, definition}, true},
        {"ended job", {definition, end}, true},
        {"removed", {definition, cancellation, removal}, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        job_table table;
        for(auto const next: item.records) {
            apply(table, next, {});
        }
        CHECK(table.is_cancelled("job") == item.is_cancelled);
    }
}

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

TEST_CASE("a waiting job is counted once for the queue or the path that accepted it") {
    struct row {
        std::string_view queue;
        std::uint32_t path_hash;
        std::size_t pending;
    };
    std::array<row, 6u> const rows{{
        {"queue", 7u, 3u},
        {"queue", 8u, 3u},
        {"renamed", 7u, 1u},
        {"renamed", 8u, 1u},
        {"renamed", 9u, 0u},
        {"renamed", 0u, 0u},
    }};
    job_table table;
    for(auto const hash: {0u, 7u, 8u}) {
        auto job = make_job();
        job.id = std::to_string(hash);
        job.path_hash = hash;
        CHECK(table.define(job));
    }
    for(auto const &item: rows) {
        CAPTURE(item.queue);
        CAPTURE(item.path_hash);
        CHECK(table.pending(item.queue, item.path_hash) == item.pending);
    }
    table.cancel("7", {});
    table.forget("8");
    CHECK(table.pending("queue", 7u) == 1u);
    CHECK(table.pending("renamed", 8u) == 0u);
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

// Guards against jobs that are kept for longer, or go back from ended to running, whenever a snapshot is read.
TEST_CASE("a table that is built again keeps reported phases and the times of ends of the jobs that are still there") {
    using enum record;
    struct row {
        std::string_view name;
        std::vector<record> former;
        std::vector<record> records;
        std::size_t dropped;
        std::size_t expired;
    };
    std::array<row, 6u> const rows{{
        {"ended job", {definition, end}, {definition, end}, 0u, 1u},
        {"live job", {definition, start}, {definition, start}, 0u, 0u},
        {"job that has ended since", {definition, start}, {definition, end}, 0u, 0u},
        {"removed job", {definition, end}, {}, 1u, 0u},
        {"cancellation of an unknown job", {cancellation}, {cancellation}, 0u, 1u},
        {"removed cancellation", {cancellation}, {}, 0u, 0u},
    }};
    instant const first{millis{1'000}};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        job_table former;
        for(auto const next: item.former) {
            apply(former, next, first);
        }
        job_table table;
        for(auto const next: item.records) {
            apply(table, next, first + millis{500});
        }
        CHECK(table.inherit_local_state(former) == item.dropped);
        CHECK(table.expired_before(first + millis{1}).size() == item.expired);
    }
    job_table former;
    former.define(make_job());
    former.set_reported_phase("job", job_phase::done);
    for(auto const is_same: {true, false}) {
        CAPTURE(is_same);
        job_table table;
        auto job = make_job();
        job.accepted_at += millis{is_same ? 0 : 1};
        table.define(job);
        CHECK(table.inherit_local_state(former) == (is_same ? 0u : 1u));
        CHECK(table.pending("queue") == (is_same ? 0u : 1u));
    }
}

namespace {

job_definition wide_job() {
    auto job = make_job();
    job.steps.resize(2u);
    job.steps[0].count = tasks_per_part + 2u;
    job.steps[1].count = tasks_per_part;
    return job;
}

/*! Progress of a part in which the given tasks, of the first step unless stated otherwise, have a run. */
job_progress part_progress(std::uint32_t const part, std::vector<std::uint32_t> const &tasks, std::uint32_t const run,
    std::uint32_t const step = 0u) {
    job_progress progress{job_phase::running, {}, part};
    for(auto const index: tasks) {
        progress.tasks.push_back({step, index, run, 0u, 0u, false, "w", {}});
    }
    return progress;
}

std::uint32_t run_of(job_table const &table, std::uint32_t const step, std::uint32_t const index) {
    std::uint32_t run{};
    for(auto const &task: table.find("job")->progress.tasks) {
        run += task.step == step && task.index == index ? task.run : 0u;
    }
    return run;
}

} // namespace

TEST_CASE("tasks are mapped to parts by their position in the job") {
    struct row {
        std::uint32_t step;
        std::uint32_t index;
        std::uint32_t part;
    };
    progress_parts const parts{wide_job().steps};
    CHECK(parts.count() == 3u);
    CHECK(progress_parts{{}}.count() == 0u);
    std::array<row, 8u> const rows{{
        {0u, 0u, 0u},
        {0u, tasks_per_part - 1u, 0u},
        {0u, tasks_per_part, 1u},
        {1u, 0u, 1u},
        {1u, tasks_per_part - 1u, 2u},
        {0u, tasks_per_part + 2u, 3u},
        {1u, tasks_per_part, 3u},
        {2u, 0u, 3u},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.step);
        CAPTURE(item.index);
        CHECK(parts.part_of(item.step, item.index) == item.part);
    }
}

TEST_CASE("a record of a part replaces the progress of its tasks only") {
    job_table table;
    table.define(wide_job());
    table.advance("job", part_progress(0u, {0u, 1u}, 1u), {});
    table.advance("job", part_progress(1u, {tasks_per_part}, 1u), {});
    table.advance("job", part_progress(0u, {0u, 1u}, 2u), {});
    CHECK(run_of(table, 0u, 0u) == 2u);
    CHECK(run_of(table, 0u, 1u) == 2u);
    CHECK(run_of(table, 0u, tasks_per_part) == 1u);
    // A record of the whole job, as written by earlier versions, replaces all parts.
    table.advance("job", {job_phase::running, {{0u, 3u, 5u, 0u, 0u, false, "w", {}}}}, {});
    CHECK(run_of(table, 0u, 0u) == 0u);
    CHECK(run_of(table, 0u, 3u) == 5u);
    table.advance("job", part_progress(2u, {6u}, 1u, 1u), {});
    CHECK(run_of(table, 0u, 3u) == 5u);
    CHECK(run_of(table, 1u, 6u) == 1u);
}

TEST_CASE("parts in any order neither set back the phase of a job nor restore an ended one") {
    job_table table;
    table.define(wide_job());
    table.advance("job", part_progress(1u, {tasks_per_part}, 1u), {});
    auto older = part_progress(0u, {0u}, 1u);
    older.phase = job_phase::queued;
    table.advance("job", older, {});
    CHECK(table.find("job")->progress.phase == job_phase::running);
    CHECK(table.pending("queue") == 0u);
    table.advance("job", {job_phase::done, {}}, {});
    table.advance("job", part_progress(0u, {0u}, 1u), {});
    CHECK(table.find("job")->progress.phase == job_phase::done);
    CHECK(table.find("job")->progress.tasks.empty());
}

TEST_CASE("checkpoints for which a record has no space are dropped") {
    struct row {
        std::string_view name;
        std::vector<std::size_t> bytes;
        std::size_t dropped;
    };
    std::array<row, 4u> const rows{{
        {"small ones", {2'000u, 2'000u, 16u}, 0u},
        {"at the limit", {max_checkpoint_bytes}, 0u},
        {"one above the limit among others", {16u, max_checkpoint_bytes + 1u, 16u}, 1u},
        {"large ones", {max_checkpoint_bytes / 2u, max_checkpoint_bytes / 2u, max_checkpoint_bytes / 2u}, 1u},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto progress = part_progress(0u, {}, 1u);
        for(auto const bytes: item.bytes) {
            progress.tasks.push_back({0u, 0u, 1u, 0u, 0u, false, {}, std::string(bytes, 'x')});
        }
        CHECK(drop_excess_checkpoints(progress) == item.dropped);
        std::size_t total{};
        for(auto const &task: progress.tasks) {
            total += task.checkpoint.size();
        }
        CHECK(total <= max_checkpoint_bytes);
    }
}

} // namespace kingcuplink::test
