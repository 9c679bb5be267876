#include "scripted_site.hpp"

#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/site/timing.hpp>
#include <string>
#include <string_view>

namespace kingcuplink::test {

// A submission right after the log's return was refused, although the entry VM had just told the end of another job.
TEST_CASE("an entry VM that tells a new end of a job after an outage of the log accepts submissions") {
    struct row {
        std::string_view name;
        bool is_leader;
    };
    std::array<row, 2u> const rows{{{"the leader", true}, {"another entry VM", false}}};
    constexpr auto rounds = 3u;
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_site site{2u};
        site.run_until([&]() { return site.leader() != nullptr; });
        REQUIRE(site.leader() != nullptr);
        for(auto round = 0u; round < rounds; ++round) {
            CAPTURE(round);
            auto const asked = item.is_leader ? site.leading() : site.follower();
            auto const first = "00000000000000a" + std::to_string(round);
            REQUIRE_FALSE(site.ask(asked, caller_operation::submit, first).refused);
            site.run_until([&]() { return site.workers.runs() == 2u; });
            REQUIRE(site.workers.runs() == 2u);
            site.log.is_up = false;
            site.run_for(timing::stalled_leader_timeout + timing::heartbeat_interval);
            site.workers.end_all();
            site.log.is_up = true;
            auto const is_told = [&]() {
                return site.ask(asked, caller_operation::ask, first).phase == job_phase::done;
            };
            site.run_until(is_told);
            REQUIRE(is_told());
            CHECK_FALSE(site.ask(asked, caller_operation::submit, "00000000000000b" + std::to_string(round)).refused);
            site.run_until([&]() { return site.workers.runs() == 2u; });
            site.workers.end_all();
        }
    }
}

} // namespace kingcuplink::test
