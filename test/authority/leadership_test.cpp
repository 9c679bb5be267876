#include <doctest/doctest.h>
#include <kingcuplink/authority/leadership.hpp>
#include <kingcuplink/core/config.hpp>
#include <set>
#include <vector>

using namespace kingcuplink;

namespace {

constexpr instant start{millis{1'000'000}};
std::vector<std::string> const members{"e1", "e2", "e3"};

leadership make_member(std::string const &name) {
    leadership member{"d", name, start};
    member.set_members(members);
    return member;
}

/*! Advances the time in steps of 50 ms until the member leads or the limit is reached; returns that time. */
instant run_until_leader(leadership &member, instant now, instant const limit) {
    while(now < limit && member.tick(now) != role_change::took_over) {
        now += millis{50};
    }
    return now;
}

} // namespace

TEST_CASE("a lone member leads after the heartbeat timeout") {
    auto member = make_member("e1");
    auto const now = run_until_leader(member, start, start + millis{60'000});
    CHECK(now - start == config::heartbeat_timeout);
    CHECK(member.term() == 1u);
}

TEST_CASE("leadership is sticky while the leader sends heartbeats") {
    auto member = make_member("e1");
    auto now = start;
    for(auto count = 0; count < 100; ++count) {
        now += config::heartbeat_interval;
        member.heard("e2", true, 4u, now);
        CHECK(member.tick(now) == role_change::none);
    }
    CHECK(member.leader(now) == "e2");
    // Without its heartbeats another member takes over with a term above all known terms.
    auto const taken = run_until_leader(member, now, now + millis{60'000});
    CHECK(taken - now < config::heartbeat_timeout + config::heartbeat_timeout);
    CHECK(member.term() == 5u);
}

TEST_CASE("members that exchange heartbeats take over at different times") {
    std::set<std::int64_t> times;
    for(auto const &name: members) {
        auto member = make_member(name);
        auto now = start;
        while(member.tick(now) != role_change::took_over) {
            now += millis{50};
            for(auto const &other: members) {
                if(other != name) {
                    member.heard(other, false, 0u, now);
                }
            }
            REQUIRE(now < start + millis{60'000});
        }
        times.insert((now - start).count());
    }
    CHECK(times.size() == members.size());
}

TEST_CASE("of two leaders that exchange heartbeats the one with the higher term remains") {
    auto member = make_member("e1");
    auto const now = run_until_leader(member, start, start + millis{60'000});
    CHECK(member.heard("e2", true, 1u, now) == role_change::none);
    CHECK(member.heard("e2", true, 2u, now) == role_change::stepped_down);
    CHECK(member.role() == authority_role::standby);
    CHECK(member.term() == 2u);
}

TEST_CASE("a refusal by a worker raises the term of a new leader and ends an established leader") {
    auto fresh = make_member("e1");
    auto now = run_until_leader(fresh, start, start + millis{60'000});
    CHECK(fresh.refused(7u, now) == role_change::raised_term);
    CHECK(fresh.term() == 8u);
    CHECK(fresh.refused(7u, now) == role_change::none);
    fresh.granted();
    CHECK(fresh.refused(9u, now) == role_change::stepped_down);
    // It does not contend for leadership before the lease length has passed.
    CHECK(run_until_leader(fresh, now, now + config::lease_length) >= now + config::lease_length);
}

TEST_CASE("a shutdown notice lets a standby take over immediately") {
    auto member = make_member("e1");
    auto const now = start + millis{10'000};
    member.heard("e2", true, 3u, now);
    CHECK(member.tick(now) == role_change::none);
    member.left("e2", now);
    CHECK(member.tick(now) == role_change::took_over);
    CHECK(member.term() == 4u);
}

TEST_CASE("a member that resigned never leads again") {
    auto member = make_member("e1");
    auto const now = run_until_leader(member, start, start + millis{60'000});
    CHECK(member.resign() == role_change::stepped_down);
    CHECK(member.tick(now + millis{600'000}) == role_change::none);
}

TEST_CASE("idle time is interrupted by missing heartbeats and by leadership") {
    auto member = make_member("e1");
    member.heard("e2", false, 1u, start);
    auto now = start + millis{500};
    member.heard("e2", false, 1u, now);
    CHECK(member.idle_since("e2", now) == start);
    // Missing heartbeats interrupt it, because the member may have led meanwhile.
    now += config::heartbeat_timeout + millis{1};
    CHECK(member.idle_since("e2", now) == instant::max());
    member.heard("e2", false, 1u, now);
    CHECK(member.idle_since("e2", now) == now);
    member.heard("e2", true, 2u, now);
    CHECK(member.idle_since("e2", now) == instant::max());
}
