#include "contract.hpp"
#include "platform.hpp"

#include <doctest/doctest.h>
#include <kingcuplink/platform/platform_client.hpp>

using namespace kingcuplink;
using namespace kingcuplink::test;

namespace {

struct log_fixture : client_fixture {
    explicit log_fixture(standin::platform_options const options = {}) : service{options} {
        service.start(context, address);
    }

    ~log_fixture() {
        service.stop();
    }

    append_result append(boost::json::value record) {
        return run(context, log.append("s", std::move(record)));
    }

    std::optional<log_page> read(std::uint64_t const from) {
        return run(context, log.read("s", from));
    }

    std::string address{addresses.take_address()};
    standin::platform service;
    platform_client log{client, address};
};

} // namespace

TEST_CASE("log - appends and reads report outcomes that match the stream") {
    struct row {
        std::string_view name;
        boost::json::object fault;
        /*! Outcomes that match the effect of the append. */
        std::set<attempt_outcome> expected;
        bool is_in_log;
        bool read_succeeds;
    };
    auto const too_long = 2 * config::platform_timeout.count();
    using enum attempt_outcome;
    std::vector<row> const rows{
        {"no fault", {}, {answered}, true, true},
        {"slow", {{"slow_ms", 100}}, {answered}, true, true},
        {"slower than the time limit", {{"slow_ms", too_long}}, {may_have_run}, true, false},
        {"down", {{"outage", true}}, {not_sent, may_have_run}, false, false},
        {"answer lost after the effect", {{"lose_answers", true}}, {may_have_run}, true, false},
        {"answer cut in the middle", {{"break_answers", true}}, {may_have_run}, true, false},
        {"frozen", {{"freeze", true}}, {may_have_run}, false, false},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        log_fixture fixture;
        static_cast<void>(fixture.service.administer(row.fault));
        auto const appended = fixture.append(7);
        CHECK(row.expected.contains(appended.outcome));
        CHECK(appended.is_done() == (appended.offset == 1u));
        CHECK(fixture.service.appended("s") == (row.is_in_log ? 1u : 0u));
        CHECK(fixture.read(1u).has_value() == row.read_succeeds);
    }
}

TEST_CASE("log - a client that is set to refuse sends no request") {
    log_fixture fixture;
    fixture.log.set_refused(true);
    CHECK(fixture.append(1).outcome == attempt_outcome::not_sent);
    CHECK_FALSE(fixture.read(1u));
    CHECK_FALSE(run(fixture.context, fixture.log.vms()));
    CHECK(fixture.service.appended("s") == 0u);
}

TEST_CASE("log - a page holds the retained records from an offset") {
    struct row {
        std::string_view name;
        std::uint64_t retention;
        std::uint64_t appends;
        std::uint64_t from;
        std::uint64_t first;
        std::uint64_t next;
        /*! Offset of the first record of the page; zero if the page is empty. */
        std::uint64_t first_record_offset;
        std::size_t records;
    };
    constexpr auto page = config::log_page;
    constexpr std::array<row, 6u> rows{{
        {"empty", 100u, 0u, 1u, 1u, 1u, 0u, 0u},
        {"all", 100u, 5u, 1u, 1u, 6u, 1u, 5u},
        {"from the end", 100u, 5u, 6u, 1u, 6u, 0u, 0u},
        {"from beyond the end", 100u, 5u, 60u, 1u, 6u, 0u, 0u},
        {"offset no longer retained", 3u, 10u, 2u, 8u, 11u, 8u, 3u},
        {"more records than one page holds", 1'000u, page + 10u, 5u, 1u, page + 11u, 5u, page},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.name);
        log_fixture fixture{{.retention = row.retention}};
        for(std::uint64_t number{1}; number <= row.appends; ++number) {
            CHECK(fixture.append(number).offset == number);
        }
        auto const read = fixture.read(row.from);
        REQUIRE(read);
        CHECK(read->first == row.first);
        CHECK(read->next == row.next);
        REQUIRE(read->records.size() == row.records);
        for(std::size_t pos{}; pos < read->records.size(); ++pos) {
            CHECK(read->records[pos].offset == row.first_record_offset + pos);
            CHECK(read->records[pos].body.to_number<std::uint64_t>() == row.first_record_offset + pos);
        }
    }
}

TEST_CASE("the list of VMs lags and is missing if there is no answer") {
    constexpr std::int64_t lag_ms = 300;
    log_fixture fixture{{.vm_lag_ms = lag_ms}};
    boost::json::object const list{{"live", boost::json::array{"w1"}}, {"leaving", boost::json::array{"w2"}}};
    static_cast<void>(fixture.service.administer({{"vms", list}}));
    auto const before = run(fixture.context, fixture.log.vms());
    REQUIRE(before);
    CHECK(before->live.empty());
    run_context_for(fixture.context, millis{2 * lag_ms});
    auto const after = run(fixture.context, fixture.log.vms());
    REQUIRE(after);
    CHECK(after->live == std::set<std::string>{"w1"});
    CHECK(after->leaving == std::set<std::string>{"w2"});
    for(auto const *fault: {"outage", "freeze", "lose_answers", "break_answers"}) {
        CAPTURE(fault);
        static_cast<void>(fixture.service.administer({{fault, true}}));
        CHECK_FALSE(run(fixture.context, fixture.log.vms()));
        static_cast<void>(fixture.service.administer({{fault, false}}));
    }
}
