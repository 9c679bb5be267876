#include <doctest/doctest.h>
#include <kingcuplink/site/commit_notices.hpp>
#include <kingcuplink/site/record_codec.hpp>
#include <kingcuplink/site/timing.hpp>
#include <string>

namespace kingcuplink::test {

namespace {

constexpr instant start{millis{1'000'000}};

keyed_record cancellation(std::size_t const number) {
    return encode_cancellation(std::to_string(number), start);
}

} // namespace

TEST_CASE("a notice is due for each leader until this leader confirms it or its time has passed") {
    struct row {
        std::string_view name;
        std::uint64_t sent_term;
        bool is_sent;
        bool is_confirmed;
        std::uint64_t term;
        millis after;
        bool is_due;
    };
    std::array<row, 9u> const rows{{
        {"sent just now", 5u, true, false, 5u, millis{1}, false},
        {"not confirmed", 5u, true, false, 5u, timing::notice_repeat, true},
        {"confirmed", 5u, true, true, 5u, timing::notice_repeat, false},
        {"not sent", 5u, false, false, 5u, millis{}, true},
        {"another leader", 5u, true, false, 6u, millis{}, true},
        {"another leader, after a confirmation", 5u, true, true, 6u, millis{}, true},
        {"at the end of its time", 5u, true, false, 5u, timing::notice_lifetime - millis{1}, true},
        {"after its time", 5u, true, false, 5u, timing::notice_lifetime, false},
        {"after its time, another leader", 5u, true, true, 6u, timing::notice_lifetime, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        commit_notices notices;
        REQUIRE(notices.add(cancellation(1u), start));
        REQUIRE(notices.next(9u, item.sent_term, start).size() == 1u);
        if(!item.is_sent) {
            notices.withdraw(9u);
        }
        if(item.is_confirmed) {
            notices.confirm(9u);
        }
        // Of another message.
        notices.confirm(8u);
        notices.withdraw(8u);
        auto const now = start + item.after;
        CHECK(notices.is_due(item.term, now) == item.is_due);
        CHECK(notices.next(10u, item.term, now).size() == (item.is_due ? 1u : 0u));
        notices.remove_expired(now);
        CHECK(notices.size() == (item.after < timing::notice_lifetime ? 1u : 0u));
    }
}

TEST_CASE("a notice that is not confirmed is repeated in intervals that double, and without delay if it was not sent") {
    commit_notices notices;
    REQUIRE(notices.add(cancellation(1u), start));
    std::uint64_t message{};
    auto sent_at = start;
    for(auto interval = timing::notice_repeat; sent_at + interval < start + timing::notice_lifetime; interval *= 2) {
        CHECK(notices.next(++message, 5u, sent_at).size() == 1u);
        CHECK_FALSE(notices.is_due(5u, sent_at + interval - millis{1}));
        CHECK(notices.is_due(5u, sent_at + interval));
        sent_at += interval;
    }
    CHECK(message == 4u);
    CHECK(notices.next(++message, 6u, sent_at).size() == 1u);
    notices.withdraw(message);
    CHECK(notices.is_due(6u, sent_at));
    CHECK(notices.next(++message, 6u, sent_at).size() == 1u);
    CHECK_FALSE(notices.is_due(6u, sent_at + timing::notice_repeat - millis{1}));
    CHECK(notices.is_due(6u, sent_at + timing::notice_repeat));
}

TEST_CASE("notices are bounded in number, and so is each message") {
    commit_notices notices;
    for(std::size_t number{}; number <= timing::max_notices; ++number) {
        CHECK(notices.add(cancellation(number), start));
    }
    CHECK(notices.size() == timing::max_notices);
    // The first one was discarded; the others are kept once.
    CHECK_FALSE(notices.add(cancellation(1u), start));
    CHECK(notices.add(cancellation(0u), start));
    std::size_t sent{};
    for(std::uint64_t message{1u}; notices.is_due(5u, start); ++message) {
        auto const records = notices.next(message, 5u, start);
        CHECK(records.size() <= timing::max_notices_per_message);
        sent += records.size();
        REQUIRE(message <= timing::max_notices);
    }
    CHECK(sent == timing::max_notices);
}

} // namespace kingcuplink::test
