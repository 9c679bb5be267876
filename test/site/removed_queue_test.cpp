#include "scripted_site.hpp"

#include <array>
#include <doctest/doctest.h>
#include <kingcuplink/site/record_codec.hpp>

namespace kingcuplink::test {

namespace {

constexpr auto *job_id = "00000000000000aa";

/*! Entry VMs that go on after the rules have changed. */
enum class successors : std::uint8_t {
    /*! Those that knew the earlier rules, with the same leader. */
    same,
    /*! Those that knew the earlier rules, with another leader. */
    other_leader,
    /*! New ones, which know the newest rules and the log only. */
    all_new
};

constexpr std::array<successors, 3u> all_successors{successors::same, successors::other_leader, successors::all_new};

queue_rules renamed(queue_rules queue, std::string name, std::string path_prefix) {
    queue.name = std::move(name);
    queue.path_prefix = std::move(path_prefix);
    return queue;
}

/*! A queue whose tasks run elsewhere, fail at once and need no advice. */
queue_rules unlike(queue_rules queue, std::string name, std::string path_prefix) {
    queue = renamed(std::move(queue), std::move(name), std::move(path_prefix));
    queue.service = "other service";
    queue.max_attempts = 1u;
    queue.advice.reset();
    return queue;
}

void change_processes(scripted_site &site, successors const who) {
    if(who == successors::other_leader) {
        site.kill_leader();
    } else if(who == successors::all_new) {
        site.replace_all_vms();
    }
    // The time that a change of leaders takes is not the subject: a busy machine gets more than one wait.
    for(auto wait = 0; wait < 3 && site.leader() == nullptr; ++wait) {
        site.run_until([&]() { return site.leader() != nullptr; });
    }
    REQUIRE(site.leader() != nullptr);
}

std::optional<job_phase> stored_phase(scripted_site &site, std::string const &id) {
    std::optional<job_phase> phase;
    for(auto const &record: run_to_end(site.log_context, site.log.newest(log_stream::jobs, {})).records) {
        auto const name = parse_record_key(record.key);
        auto const progress = name && name->kind == record_kind::progress && name->id == id
            ? decode_progress(*record.value)
            : std::nullopt;
        phase = progress ? std::max(phase.value_or(progress->phase), progress->phase) : phase;
    }
    return phase;
}

} // namespace

// The rules of a removed queue were known only to processes that had seen them: after a restart of all entry VMs, the
// second step of its accepted job never started.
TEST_CASE("an accepted job goes on and ends after its queue was removed, whichever entry VMs lead") {
    auto const first = scripted_site::queue();
    struct row {
        std::string_view name;
        scripted_version next;
    };
    std::vector<row> const rows{
        {"unchanged", {2u, {first}}},
        {"removed", {2u, {unlike(first, "other", "/o/")}}},
        {"no queue at all", {2u, {}}},
        {"removed with its service", {2u, {unlike(first, "other", "/o/")}, {"other service"}}},
        {"another name at the same path", {2u, {renamed(first, "other", "/p/")}}},
        {"another name at another path", {2u, {renamed(first, "other", "/q/")}}},
        {"the same name at another path", {2u, {renamed(first, "queue", "/q/")}}},
        {"its path taken over by a queue with other rules", {2u, {unlike(first, "other", "/p/")}}},
    };
    for(auto const &item: rows) {
        for(auto const who: all_successors) {
            CAPTURE(item.name);
            CAPTURE(static_cast<int>(who));
            scripted_site site{2u};
            site.run_until([&]() { return site.leader() != nullptr; });
            auto job = scripted_site::job(job_id);
            job.steps.push_back(job.steps.front());
            job.steps.back().after = {0u};
            REQUIRE_FALSE(site.submit(0u, std::move(job)).refused);
            site.run_until([&]() { return site.workers.runs() == 2u; });
            REQUIRE(site.workers.starts() == 2u);
            site.change_rules(item.next);
            // Workers write their registrations from time to time.
            for(auto const *worker: {"w0", "w1"}) {
                site.log.add({worker, "entry"}, log_stream::workers);
            }
            change_processes(site, who);
            site.workers.end_all();
            site.run_until([&]() { return site.workers.starts() == 4u; });
            CHECK(site.workers.starts() == 4u);
            site.workers.end_all();
            site.run_until([&]() { return stored_phase(site, job_id) == job_phase::done; });
            CHECK(stored_phase(site, job_id) == job_phase::done);
            CHECK(site.workers.starts() == 4u);
        }
    }
}

// A caller was told that there is no such job, while it ran, after its queue got another name.
TEST_CASE("entry VMs answer for a job of a removed queue at the queues that are in force") {
    auto const first = scripted_site::queue();
    auto const unknown_queue = refusal::queue_unknown;
    struct row {
        std::string_view name;
        std::vector<queue_rules> queues;
        std::string path_prefix;
        /*! Nothing if the job's state is told. */
        std::optional<refusal> refused;
        /*! Number of waiting jobs told; nothing if any will do. */
        std::optional<std::size_t> pending;
    };
    std::vector<row> const rows{
        {"unchanged", {first}, "/p/", std::nullopt, 1u},
        {"removed", {renamed(first, "other", "/o/")}, "/p/", unknown_queue, std::nullopt},
        {"another name at the same path", {renamed(first, "other", "/p/")}, "/p/", std::nullopt, 1u},
        {"other rules at the same path", {unlike(first, "other", "/p/")}, "/p/", std::nullopt, 1u},
        {"the same name at another path", {renamed(first, "queue", "/q/")}, "/q/", std::nullopt, 1u},
        {"the same name at another path, asked at the old one", {renamed(first, "queue", "/q/")}, "/p/", unknown_queue,
            std::nullopt},
        {"another name at another path", {renamed(first, "other", "/q/")}, "/q/", std::nullopt, std::nullopt},
        {"two queues that exchanged their paths", {renamed(first, "queue", "/q/"), renamed(first, "other", "/p/")},
            "/p/", std::nullopt, 1u},
        {"another queue beside that of the job", {first, renamed(first, "other", "/q/")}, "/q/", refusal::job_unknown,
            0u},
    };
    for(auto const &item: rows) {
        for(auto const who: all_successors) {
            CAPTURE(item.name);
            CAPTURE(static_cast<int>(who));
            scripted_site site{2u};
            site.run_until([&]() { return site.leader() != nullptr; });
            auto job = scripted_site::job(job_id);
            // Larger than any worker: the job waits.
            job.steps.front().task_size.millicores = 1'000'000;
            REQUIRE_FALSE(site.submit(0u, std::move(job)).refused);
            site.change_rules({2u, item.queues});
            change_processes(site, who);
            auto const vm = site.survivor();
            site.run_until([&]() { return site.vms[vm]->node->is_ready(); });
            auto const ask = [&](caller_operation const operation, std::string const &id) {
                return site.ask(vm, operation, id, "host", "key", item.path_prefix);
            };
            auto const listed = ask(caller_operation::ask, {});
            CHECK(listed.refused.has_value() == (item.refused == unknown_queue));
            if(item.pending) {
                CHECK(listed.pending == item.pending);
            }
            auto const told = ask(caller_operation::ask, job_id);
            CHECK(told.refused.has_value() == item.refused.has_value());
            if(item.refused && told.refused) {
                CHECK(told.refused->reason == *item.refused);
            }
            if(!item.refused) {
                CHECK(told.phase == job_phase::queued);
                CHECK(ask(caller_operation::cancel, job_id).phase == job_phase::cancelled);
                CHECK(ask(caller_operation::ask, job_id).phase == job_phase::cancelled);
                site.run_until([&]() { return stored_phase(site, job_id) == job_phase::cancelled; });
                CHECK(stored_phase(site, job_id) == job_phase::cancelled);
            }
        }
    }
}

TEST_CASE("the end of a job is told after its queue got another name, also by entry VMs that start later") {
    scripted_site site{2u};
    site.run_until([&]() { return site.leader() != nullptr; });
    REQUIRE_FALSE(site.submit(0u, scripted_site::job(job_id)).refused);
    site.run_until([&]() { return site.workers.runs() == 2u; });
    site.workers.end_all();
    site.run_until([&]() { return stored_phase(site, job_id) == job_phase::done; });
    site.run_for(millis{300});
    for(auto const who: {successors::same, successors::all_new}) {
        site.change_rules({2u, {renamed(scripted_site::queue(), "other", "/p/")}});
        change_processes(site, who);
        auto const vm = site.survivor();
        site.run_until([&]() { return site.vms[vm]->node->is_ready(); });
        CHECK(site.ask(vm, caller_operation::ask, job_id).phase == job_phase::done);
    }
}

TEST_CASE("a removed queue accepts no new job") {
    scripted_site site{1u};
    site.run_until([&]() { return site.leader() != nullptr; });
    REQUIRE_FALSE(site.submit(0u, scripted_site::job(job_id)).refused);
    site.change_rules({2u, {renamed(scripted_site::queue(), "other", "/o/")}});
    for(auto const *id: {job_id, "00000000000000ab"}) {
        auto const answer = site.ask(0u, caller_operation::submit, id);
        REQUIRE(answer.refused);
        CHECK(answer.refused->reason == refusal::queue_unknown);
    }
}

} // namespace kingcuplink::test
