#include "scripted_site.hpp"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/site/record_codec.hpp>

namespace kingcuplink::test {

namespace {

constexpr auto *job_id = "00000000000000aa";
constexpr auto *live_id = "00000000000000ab";

/*! State of a job when an entry VM is cut off from the log. */
enum class known_state : std::uint8_t { running, done, cancelled_early };

/*! What becomes of the job while it is cut off, and the log is compacted. */
enum class later_state : std::uint8_t { done, removed, used_again };

bool is_done(scripted_site &site, std::size_t const vm) {
    return site.ask(vm, caller_operation::ask, job_id).phase == job_phase::done;
}

void remove_job(scripted_site &site) {
    for(auto &record: encode_removal(job_id)) {
        site.log.add(std::move(record));
    }
    site.run_for(millis{300});
}

} // namespace

// Tasks of jobs that were done started again: an entry VM that was away while the log was compacted kept the jobs
// that had been removed, and led later.
TEST_CASE("an entry VM that was away while the log was compacted knows and does what one that starts afresh does") {
    struct row {
        std::string_view name;
        known_state before;
        later_state after;
        bool leads_before;
    };
    std::array<row, 5u> const rows{{
        {"a job that ended meanwhile", known_state::running, later_state::done, false},
        {"a job that ended meanwhile and was removed", known_state::running, later_state::removed, false},
        {"the same, known to the former leader", known_state::running, later_state::removed, true},
        {"a removed job whose identifier was used again", known_state::done, later_state::used_again, false},
        {"a removed cancellation of an unknown job", known_state::cancelled_early, later_state::removed, false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        scripted_site site{2u};
        site.run_until([&]() { return site.leader() != nullptr; });
        REQUIRE(site.leader() != nullptr);
        auto const away = item.leads_before ? site.leading() : site.follower();
        auto const other = 1u - away;
        if(item.before == known_state::cancelled_early) {
            site.ask(away, caller_operation::cancel, job_id);
        } else {
            REQUIRE_FALSE(site.ask(away, caller_operation::submit, job_id).refused);
            site.run_until([&]() { return site.workers.runs() == 2u; });
        }
        if(item.before == known_state::done) {
            site.workers.end_all();
            site.run_until([&]() { return is_done(site, away); });
            REQUIRE(is_done(site, away));
        }
        site.run_for(millis{300});
        site.vms[away]->log.is_open = false;
        site.run_until([&]() { return site.vms[other]->node->leads(); });
        REQUIRE(site.vms[other]->node->leads());
        if(item.before == known_state::running) {
            site.workers.end_all();
            site.run_until([&]() { return is_done(site, other); });
            REQUIRE(is_done(site, other));
            site.run_for(millis{300});
        }
        if(item.after != later_state::done) {
            remove_job(site);
        }
        if(item.after == later_state::used_again) {
            REQUIRE_FALSE(site.ask(other, caller_operation::submit, job_id).refused);
        }
        REQUIRE_FALSE(site.ask(other, caller_operation::submit, live_id).refused);
        site.run_for(millis{500});
        site.log.compact_before(site.log.end_offset());
        auto const starts = site.workers.starts();
        site.vms[away]->log.is_open = true;
        site.add_vm();
        auto const fresh = site.vms.size() - 1u;
        site.run_until([&]() { return site.vms[fresh]->node->is_ready() && site.vms[away]->node->is_ready(); });
        site.run_for(millis{1'000});
        for(auto const *id: {job_id, live_id}) {
            auto const as_read = site.ask(away, caller_operation::ask, id);
            auto const expected = site.ask(fresh, caller_operation::ask, id);
            CHECK(as_read.phase == expected.phase);
            CHECK(as_read.refused.has_value() == expected.refused.has_value());
        }
        site.vms[other]->is_alive = site.vms[fresh]->is_alive = false;
        site.run_until([&]() { return site.vms[away]->node->leads(); });
        REQUIRE(site.vms[away]->node->leads());
        site.run_for(millis{1'000});
        CHECK(site.workers.starts() == starts);
        if(item.after == later_state::removed) {
            auto const answer = site.ask(away, caller_operation::submit, job_id);
            CHECK(answer.phase == job_phase::queued);
            site.run_for(millis{500});
            CHECK(site.workers.starts() == starts + 2u);
        }
    }
}

} // namespace kingcuplink::test
