#include "scripted_site.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/site/timing.hpp>
#include <string>
#include <string_view>

namespace kingcuplink::test {

// Where three of five commands to workers got no answer, a task was placed anew after each of them, and lost its start
// again as often; a gang was broken as a whole by one such member.
TEST_CASE("a start without an answer is sent again if it carries a ticket, and only then") {
    struct row {
        std::string_view name;
        bool has_ticket;
        bool is_gang;
        lost_command lost;
        std::size_t unanswered;
        /*! Number of commands to start the first run of each task. */
        std::size_t expected_commands;
    };
    std::array<row, 9u> const rows{{
        {"all are answered", true, false, lost_command::dropped, 0u, 1u},
        {"one is dropped", true, false, lost_command::dropped, 1u, 2u},
        {"three are dropped", true, false, lost_command::dropped, 3u, 4u},
        {"three are executed late", true, false, lost_command::late, 3u, 4u},
        {"three of each member of a gang are dropped", true, true, lost_command::dropped, 3u, 4u},
        {"an answer is lost", true, false, lost_command::answer_lost, 1u, 2u},
        {"without a ticket, all are answered", false, false, lost_command::dropped, 0u, 1u},
        {"without a ticket, one is dropped", false, false, lost_command::dropped, 1u, 1u},
        {"without a ticket, one is executed late", false, false, lost_command::late, 1u, 1u},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_site site{1u};
        if(!item.has_ticket) {
            auto queue = scripted_site::queue();
            queue.advice.reset();
            site.change_rules({2u, {queue}});
        }
        site.run_until([&]() { return site.leader() != nullptr; });
        REQUIRE(site.leader() != nullptr);
        site.run_for(millis{300});
        site.workers.unanswered_commands = item.unanswered;
        site.workers.lost = item.lost;
        auto job = scripted_site::job("0123456789abcdef");
        job.steps.front().gang = item.is_gang;
        REQUIRE_FALSE(site.submit(0u, job).refused);
        if(item.has_ticket) {
            site.run_until([&]() { return site.workers.runs() == 2u; });
        }
        site.run_for(3 * timing::start_attempt_timeout);
        auto const commands_of = [&site](std::uint32_t const index, std::uint32_t const run) {
            auto const found = site.workers.commands().find({"0123456789abcdef", 0u, index, run});
            return found == site.workers.commands().end() ? 0u : found->second;
        };
        for(auto index = 0u; index < 2u; ++index) {
            CHECK(commands_of(index, 1u) >= 1u);
            if(item.lost == lost_command::answer_lost) {
                // A list may show the run before its start is sent again.
                CHECK(commands_of(index, 1u) <= item.expected_commands);
            } else {
                CHECK(commands_of(index, 1u) == item.expected_commands);
            }
        }
        if(!item.has_ticket) {
            continue;
        }
        auto const running = site.workers.running();
        CHECK(running.size() == 2u);
        CHECK(std::all_of(running.begin(), running.end(), [](auto const &key) { return key.run == 1u; }));
        CHECK(site.workers.starts() == 2u);
        // Late copies change nothing, neither beside the runs nor after their ends.
        site.workers.deliver_late_starts(item.unanswered);
        CHECK(site.workers.runs() == 2u);
        site.workers.end_all();
        auto const is_done = [&]() {
            return site.ask(0u, caller_operation::ask, "0123456789abcdef").phase == job_phase::done;
        };
        site.run_until(is_done);
        CHECK(is_done());
        site.workers.deliver_late_starts(item.unanswered);
        CHECK(site.workers.runs() == 0u);
        CHECK(site.workers.starts() == 2u);
    }
}

TEST_CASE("a relayed start without an answer is sent again, and each task runs once") {
    for(auto const lost: {lost_command::dropped, lost_command::answer_lost, lost_command::late}) {
        CAPTURE(static_cast<int>(lost));
        scripted_site site{2u};
        site.run_until([&]() { return site.leader() != nullptr; });
        REQUIRE(site.leader() != nullptr);
        auto const other = site.follower();
        site.run_for(millis{300});
        auto jobs = 0u;
        auto const submit = [&]() {
            auto id = std::to_string(jobs++);
            id.insert(0u, 16u - id.size(), '0');
            CHECK_FALSE(site.ask(other, caller_operation::submit, id).refused);
        };
        auto const relayed = [&]() { return site.vms[other]->stats.value(event::relayed_start_sent); };
        while(jobs < 60u && relayed() == 0u) {
            submit();
            site.run_for(millis{40});
            site.workers.end_all();
        }
        REQUIRE(relayed() > 0u);
        site.run_for(millis{200});
        site.workers.end_all();
        auto const sent_before = relayed();
        auto const jobs_before = jobs;
        site.workers.unanswered_commands = 2u;
        site.workers.lost = lost;
        submit();
        submit();
        site.run_until([&]() { return site.workers.runs() == 4u; });
        site.run_for(millis{300});
        auto const running = site.workers.running();
        CHECK(running.size() == 4u);
        CHECK(std::all_of(running.begin(), running.end(), [](auto const &key) { return key.run == 1u; }));
        auto const repeated = site.vms[1u - other]->stats.value(event::task_start_repeated);
        if(lost == lost_command::answer_lost) {
            // A list shows the runs before their starts would be sent again.
            CHECK(repeated == 0u);
        } else {
            CHECK(repeated > 0u);
            CHECK(relayed() > sent_before + 2u * (jobs - jobs_before));
        }
        site.workers.end_all();
        site.run_for(millis{100});
        site.workers.deliver_late_starts(8u);
        CHECK(site.workers.runs() == 0u);
        CHECK(site.workers.starts() == 2u * jobs);
    }
}

} // namespace kingcuplink::test
