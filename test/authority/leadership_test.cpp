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
    leadership lead{"d", name, start};
    lead.set_members(members);
    return lead;
}

/*! Lets time pass in small steps until a member leads, or a limit. */
instant run_until_leads(leadership &lead, instant now, instant const limit) {
    while(now < limit && lead.tick(now) != role_change::took_over) {
        now += millis{50};
    }
    return now;
}

} // namespace

TEST_CASE("a lone member leads after one silence") {
    auto lead = make_member("e1");
    auto const now = run_until_leads(lead, start, start + millis{60'000});
    CHECK(now - start == config::heartbeat_timeout);
    CHECK(lead.term() == 1u);
}

TEST_CASE("leadership is sticky while the leader is heard") {
    auto lead = make_member("e1");
    auto now = start;
    for(auto count = 0; count < 100; ++count) {
        now += config::heartbeat_interval;
        lead.heard("e2", true, 4u, now);
        CHECK(lead.tick(now) == role_change::none);
    }
    CHECK(lead.leader(now) == "e2");
    // Its silence ends it, with a term above all that were seen.
    auto const taken = run_until_leads(lead, now, now + millis{60'000});
    CHECK(taken - now < config::heartbeat_timeout + config::heartbeat_timeout);
    CHECK(lead.term() == 5u);
}

TEST_CASE("members that hear each other do not move in at the same time") {
    std::set<std::int64_t> times;
    for(auto const &name: members) {
        auto lead = make_member(name);
        auto now = start;
        while(lead.tick(now) != role_change::took_over) {
            now += millis{50};
            for(auto const &other: members) {
                if(other != name) {
                    lead.heard(other, false, 0u, now);
                }
            }
            REQUIRE(now < start + millis{60'000});
        }
        times.insert((now - start).count());
    }
    CHECK(times.size() == members.size());
}

TEST_CASE("of two leaders that hear each other the higher term stays") {
    auto lead = make_member("e1");
    auto const now = run_until_leads(lead, start, start + millis{60'000});
    CHECK(lead.heard("e2", true, 1u, now) == role_change::none);
    CHECK(lead.heard("e2", true, 2u, now) == role_change::stepped_down);
    CHECK(lead.role() == authority_role::standby);
    CHECK(lead.term() == 2u);
}

TEST_CASE("a worker's refusal raises a new leader's term and ends an old leader") {
    auto fresh = make_member("e1");
    auto now = run_until_leads(fresh, start, start + millis{60'000});
    CHECK(fresh.refused(7u, now) == role_change::raised_term);
    CHECK(fresh.term() == 8u);
    CHECK(fresh.refused(7u, now) == role_change::none);
    fresh.granted();
    CHECK(fresh.refused(9u, now) == role_change::stepped_down);
    // It does not fight for the workers at once.
    CHECK(run_until_leads(fresh, now, now + config::lease_length) >= now + config::lease_length);
}

TEST_CASE("a farewell lets a standby move in at once") {
    auto lead = make_member("e1");
    auto const now = start + millis{10'000};
    lead.heard("e2", true, 3u, now);
    CHECK(lead.tick(now) == role_change::none);
    lead.left("e2", now);
    CHECK(lead.tick(now) == role_change::took_over);
    CHECK(lead.term() == 4u);
}

TEST_CASE("a member that resigned never leads again") {
    auto lead = make_member("e1");
    auto const now = run_until_leads(lead, start, start + millis{60'000});
    CHECK(lead.resign() == role_change::stepped_down);
    CHECK(lead.tick(now + millis{600'000}) == role_change::none);
}

TEST_CASE("idle time is counted without a break") {
    auto lead = make_member("e1");
    lead.heard("e2", false, 1u, start);
    auto now = start + millis{500};
    lead.heard("e2", false, 1u, now);
    CHECK(lead.idle_since("e2", now) == start);
    // A silence breaks it: the member may have led meanwhile.
    now += config::heartbeat_timeout + millis{1};
    CHECK(lead.idle_since("e2", now) == instant::max());
    lead.heard("e2", false, 1u, now);
    CHECK(lead.idle_since("e2", now) == now);
    lead.heard("e2", true, 2u, now);
    CHECK(lead.idle_since("e2", now) == instant::max());
}
