#include "contract.hpp"
#include "platform.hpp"
#include "scripted_worker.hpp"

#include <doctest/doctest.h>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/daemon/domain_leader.hpp>
#include <mutex>

using namespace kingcuplink;
using namespace kingcuplink::test;

namespace {

constexpr millis wait_limit{20'000};
constexpr millis poll_interval{10};

/*! Listen addresses of entry VM a1 and its platform, of entry VM b1, and of the workers of failure domain a. */
struct domain_addresses {
    explicit domain_addresses(address_pool &pool)
        : callers{pool.take_address()},
          peer{pool.take_address()},
          log{pool.take_address()},
          remote_callers{pool.take_address()},
          remote_peer{pool.take_address()},
          w1{pool.take_address()},
          w2{pool.take_address()} {}

    std::string callers;
    std::string peer;
    std::string log;
    std::string remote_callers;
    std::string remote_peer;
    std::string w1;
    std::string w2;
};

std::shared_ptr<document const> make_rules(domain_addresses const &listen_addresses,
    std::string_view const state = "in", std::string_view const remote_state = "in") {
    boost::json::array workers;
    for(auto const *name: {"w1", "w2"}) {
        workers.push_back(boost::json::object{{"name", name},
            {"address", name == std::string_view{"w1"} ? listen_addresses.w1 : listen_addresses.w2}, {"rack", "r"},
            {"size", boost::json::object{{"cores", 4}, {"memory_gib", 8}}}});
    }
    boost::json::object const vm{{"name", "a1"}, {"http", listen_addresses.callers}, {"peer", listen_addresses.peer}};
    boost::json::object const domain{{"name", "a"}, {"region", "r"}, {"state", state},
        {"entry_vms", boost::json::array{vm}}, {"workers", std::move(workers)}, {"runners", boost::json::array{}}};
    boost::json::object const remote_vm{
        {"name", "b1"}, {"http", listen_addresses.remote_callers}, {"peer", listen_addresses.remote_peer}};
    boost::json::object const remote_domain{{"name", "b"}, {"region", "r"}, {"state", remote_state},
        {"entry_vms", boost::json::array{remote_vm}}, {"workers", boost::json::array{}},
        {"runners", boost::json::array{}}};
    boost::json::object const team{{"name", "red"}, {"share", 1},
        {"ceiling", boost::json::object{{"cores", 100}, {"memory_gib", 100}}}, {"request_ceiling", 10}};
    boost::json::value const value = boost::json::object{
        {"owners", boost::json::object{{"owners", boost::json::array{std::string(64u, 'a')}}}},
        {"teams", boost::json::array{team}}, {"keys", boost::json::array{}},
        {"failure_domains", boost::json::array{domain, remote_domain}}, {"queues", boost::json::array{}},
        {"policies", boost::json::object{}}};
    problem failure;
    auto rules = value_of([&]() { return parse_document(value); }, failure);
    CAPTURE(message_of(failure));
    REQUIRE(rules);
    return std::make_shared<document const>(std::move(*rules));
}

job_spec batch(bool const repeatable = true) {
    return {.name = "n",
        .team = "red",
        .kind = job_kind::batch,
        .count = 1,
        .task_size = {1'000, 1, 0},
        .run_time = millis{3'600'000},
        .repeatable = repeatable};
}

/*! Leader of a failure domain with two scripted workers. */
struct leader_fixture : client_fixture {
    leader_fixture() {
        log.start(context, settings.platform_address);
        jobs.start();
        allotments.start();
    }

    ~leader_fixture() {
        local_leader->end();
        log.stop();
    }

    /*! Starts the leader and waits until it has recovered. */
    void begin() {
        begin_leadership();
        CHECK(becomes_true([&]() { return local_leader->status().at("recovered").as_bool(); }));
    }

    /*! Ends the leader, as if its process had died, and starts a successor that recovers from the journal. */
    void start_successor() {
        local_leader->end();
        ++term;
        local_leader = make_leader();
        jobs.set_leading(false);
        begin_leadership();
    }

    void begin_leadership() {
        jobs.set_leading(true);
        allotments.set_leading(true, term);
        local_leader->start();
    }

    std::shared_ptr<domain_leader> make_leader() {
        return std::make_shared<domain_leader>(
            leader_dependencies{context, settings, stats, workers, peers, jobs, allotments, leadership_state}, term,
            rules, [this](std::uint64_t const higher) { fencing_term = higher; });
    }

    /*! Sets the states of both failure domains. */
    void set_domain_state(std::string_view const state, std::string_view const remote_state = "in") {
        rules = make_rules(listen_addresses, state, remote_state);
        peers.update(*rules);
        local_leader->update(rules);
    }

    /*! Runs the context for a time while heartbeats from the leader of failure domain b arrive. */
    void pass_with_peer_heartbeats(millis const time) {
        auto const end = current_time() + time;
        while(current_time() < end) {
            wire::heartbeat heartbeat_message;
            heartbeat_message.set_leads(true);
            peers.heard("b1", heartbeat_message, current_time());
            run_context_for(context, millis{50});
        }
    }

    /*! Hands over a job to this failure domain; returns true if it was accepted. */
    bool accept_handover(std::string const &key, job_spec const &spec, std::uint32_t const generation) {
        job_event const accepted{.kind = job_event_kind::accepted, .job = key, .spec = spec, .generation = generation};
        boost::json::array events;
        events.push_back(to_json(accepted));
        return !run(context, local_leader->take_over_job(std::move(events))).refused;
    }

    /*! Sets whether the workers accept start commands. */
    void set_accept_starts(bool const accept_starts) {
        for(auto *worker: {&w1, &w2}) {
            worker->start_status = accept_starts ? 200u : 422u;
            worker->executes_starts = accept_starts;
        }
    }

    bool becomes_true(std::function<bool()> const &condition) {
        auto const limit = current_time() + wait_limit;
        while(!condition() && current_time() < limit) {
            run_context_for(context, poll_interval);
        }
        return condition();
    }

    std::string submit(job_spec spec) {
        auto const answer = run(context, local_leader->submit("a.job", std::move(spec), submission_rule::always_new));
        CHECK_FALSE(answer.refused);
        return std::string{answer.body.at("job").as_string()};
    }

    std::int64_t starts() const {
        return w1.starts + w2.starts;
    }

    scripted_worker &worker_of_job() {
        return w1.starts > 0 ? w1 : w2;
    }

    std::int64_t running() const {
        return local_leader->status().at("running_tasks").as_int64();
    }

    domain_addresses listen_addresses{addresses};
    daemon_settings settings{.name = "a1",
        .failure_domain = "a",
        .http_address = listen_addresses.callers,
        .peer_address = listen_addresses.peer,
        .platform_address = listen_addresses.log};
    std::shared_ptr<document const> rules{make_rules(listen_addresses)};
    standin::platform log{{}};
    scripted_worker w1{context, listen_addresses.w1};
    scripted_worker w2{context, listen_addresses.w2};
    platform_client platform{client, settings.platform_address};
    worker_client workers{client};
    peer_directory peers{context, settings, stats, [this](wire::envelope const &message) {
                             if(message.has_reply()) {
                                 peers.complete_call(message.reply());
                             }
                         }};
    job_replicator jobs{context, settings, platform, peers, stats};
    allotment_manager allotments{context, settings, platform, stats};
    leadership leadership_state{"a", "a1", current_time()};
    std::uint64_t fencing_term{};
    std::uint64_t term{1};
    std::shared_ptr<domain_leader> local_leader{make_leader()};
};

} // namespace

TEST_CASE("a task that may be running is not started twice") {
    struct row {
        std::string_view name;
        void (*inject)(leader_fixture &);
        /*! Maximum number of start commands sent to the workers. */
        std::int64_t max_starts;
    };
    std::vector<row> const rows{
        {"no fault", [](leader_fixture &fixture) { run_context_for(fixture.context, millis{500}); }, 1},
        {"full inventories are requested while changes are in flight",
            [](leader_fixture &fixture) {
                // A task of an unknown job makes the leader request full inventories at each change of the ledger.
                fixture.worker_of_job().set_task("a.other", 0, 1, "running");
                for(auto count = 0; count < 40; ++count) {
                    fixture.local_leader->load_ledger();
                    run_context_for(fixture.context, millis{50});
                }
            },
            1},
        {"the process was paused",
            [](leader_fixture &fixture) {
                fixture.local_leader->handle_pause();
                run_context_for(fixture.context, millis{1'000});
            },
            1},
        {"an older attempt is reported as stopped",
            [](leader_fixture &fixture) {
                auto &worker = fixture.worker_of_job();
                auto const attempt = worker.tasks.front().attempt;
                worker.set_task("a.job", 0, attempt - 1, "stopped");
                run_context_for(fixture.context, millis{1'000});
            },
            1},
        {"another worker reports it as stopped",
            [](leader_fixture &fixture) {
                auto &other = fixture.w1.starts > 0 ? fixture.w2 : fixture.w1;
                other.set_task("a.job", 0, 1, "stopped");
                run_context_for(fixture.context, millis{1'000});
            },
            1},
        {"its attempt is reported as stopped",
            [](leader_fixture &fixture) {
                auto &worker = fixture.worker_of_job();
                worker.set_task("a.job", 0, worker.tasks.front().attempt, "stopped");
                CHECK(fixture.becomes_true([&]() { return fixture.starts() == 2; }));
            },
            2},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        leader_fixture fixture;
        fixture.begin();
        static_cast<void>(fixture.submit(batch()));
        CHECK(fixture.becomes_true([&]() { return fixture.starts() == 1 && fixture.running() == 1; }));
        row.inject(fixture);
        CHECK(fixture.starts() <= row.max_starts);
        CHECK(fixture.becomes_true([&]() { return fixture.running() == 1; }));
    }
}

TEST_CASE("an unanswered start is resolved from the inventory of the worker") {
    struct row {
        std::string_view name;
        unsigned status;
        bool takes_effect;
        bool repeatable;
        std::int64_t starts;
    };
    constexpr std::array<row, 5u> rows{{
        {"answered", 200u, true, true, 1},
        {"no answer, it runs", 0u, true, true, 1},
        {"no answer, it runs, not repeatable", 0u, true, false, 1},
        {"no answer, it does not run", 0u, false, true, 2},
        {"no answer, it does not run, not repeatable", 0u, false, false, 2},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.name);
        leader_fixture fixture;
        for(auto *worker: {&fixture.w1, &fixture.w2}) {
            worker->start_status = row.status;
            worker->executes_starts = row.takes_effect;
        }
        fixture.begin();
        static_cast<void>(fixture.submit(batch(row.repeatable)));
        CHECK(fixture.becomes_true([&]() { return fixture.starts() == 1; }));
        for(auto *worker: {&fixture.w1, &fixture.w2}) {
            worker->start_status = 200u;
            worker->executes_starts = true;
        }
        CHECK(fixture.becomes_true([&]() { return fixture.starts() == row.starts && fixture.running() == 1; }));
        run_context_for(fixture.context, 2 * config::command_timeout);
        CHECK(fixture.starts() == row.starts);
    }
}

TEST_CASE("a lease refused for a higher term fences the leader") {
    leader_fixture fixture;
    fixture.begin();
    constexpr std::uint64_t higher_term = 7u;
    constexpr auto term_bits = 20u;
    fixture.w1.refused_lease_epoch = static_cast<std::int64_t>(higher_term << term_bits);
    CHECK(fixture.becomes_true([&]() { return fixture.fencing_term == higher_term; }));
}

TEST_CASE("a task without a live job is stopped only after the journal has been read") {
    leader_fixture fixture;
    static_cast<void>(fixture.log.administer({{"outage", true}}));
    fixture.w1.set_task("a.other", 0, 1, "running");
    fixture.begin();
    run_context_for(fixture.context, millis{2'500});
    CHECK(fixture.w1.stops == 0);
    static_cast<void>(fixture.log.administer({{"outage", false}}));
    CHECK(fixture.becomes_true([&]() { return fixture.w1.stops == 1; }));
}

TEST_CASE("a job is handed over only after its move is persisted for every successor") {
    struct row {
        std::string_view name;
        bool log_answers;
        bool is_sent;
    };
    constexpr std::array<row, 2u> rows{
        {{"the log persists the move", true, true}, {"the move is not persisted", false, false}}};
    for(auto const &row: rows) {
        CAPTURE(row.name);
        leader_fixture fixture;
        fixture.begin();
        fixture.set_accept_starts(false);
        static_cast<void>(fixture.submit(batch()));
        static_cast<void>(fixture.log.administer({{"outage", !row.log_answers}}));
        fixture.set_domain_state("out");
        fixture.pass_with_peer_heartbeats(millis{4'000});
        CHECK((fixture.stats.value(event::handover_sent) > 0u) == row.is_sent);
    }
}

TEST_CASE("a repeated handover does not restart a task that an earlier leader may have started") {
    leader_fixture fixture;
    fixture.begin();
    fixture.w1.executes_starts = false;
    fixture.w2.executes_starts = false;
    auto const spec = batch(false);
    CHECK(fixture.accept_handover("b.job", spec, 1u));
    CHECK(fixture.becomes_true([&]() { return fixture.starts() == 1; }));
    run_context_for(fixture.context, millis{500});
    fixture.w2.ignores_lease_requests = true;
    fixture.start_successor();
    run_context_for(fixture.context, millis{2'000});
    CHECK(fixture.accept_handover("b.job", spec, 1u));
    run_context_for(fixture.context, millis{1'000});
    fixture.w2.ignores_lease_requests = false;
    CHECK(fixture.becomes_true([&]() { return fixture.local_leader->status().at("recovered").as_bool(); }));
    run_context_for(fixture.context, millis{1'000});
    CHECK(fixture.starts() == 1);
}

TEST_CASE("a late reply to a handover does not end a job that has moved back") {
    leader_fixture fixture;
    std::mutex mutex;
    std::vector<std::uint64_t> calls;
    counters remote_stats;
    peer_link remote_link{"b1", fixture.listen_addresses.remote_peer, remote_stats, [&](wire::envelope const &message) {
                              std::lock_guard const lock{mutex};
                              if(message.has_call()) {
                                  calls.push_back(message.call().id());
                              }
                          }};
    remote_link.connect("a1", fixture.settings.peer_address);
    fixture.begin();
    fixture.set_accept_starts(false);
    auto const key = fixture.submit(batch());
    fixture.set_domain_state("out");
    auto const is_sent = [&]() {
        fixture.pass_with_peer_heartbeats(millis{50});
        std::lock_guard const lock{mutex};
        return !calls.empty();
    };
    CHECK(fixture.becomes_true(is_sent));
    fixture.set_domain_state("in");
    CHECK(fixture.accept_handover(key, batch(), 2u));
    {
        std::lock_guard const lock{mutex};
        for(auto const id: calls) {
            wire::envelope answer;
            answer.mutable_reply()->set_id(id);
            answer.mutable_reply()->set_json("{}");
            CHECK(remote_link.send("a1", answer));
        }
    }
    run_context_for(fixture.context, millis{1'000});
    CHECK(fixture.jobs.ledger().find(key)->ended.empty());
    fixture.set_accept_starts(true);
    CHECK(fixture.becomes_true([&]() { return fixture.running() == 1; }));
}

TEST_CASE("jobs of a lost failure domain are adopted from its journal") {
    struct row {
        std::string_view name;
        /*! Fault injected into the adopting failure domain. */
        void (*inject)(leader_fixture &);
    };
    std::vector<row> const rows{
        {"no fault", [](leader_fixture &) {}},
        {"answers from the log are lost temporarily",
            [](leader_fixture &fixture) {
                static_cast<void>(fixture.log.administer({{"lose_answers", true}}));
                run_context_for(fixture.context, millis{4'500});
                static_cast<void>(fixture.log.administer({{"lose_answers", false}}));
            }},
        {"its leader dies during the adoption",
            [](leader_fixture &fixture) {
                run_context_for(fixture.context, millis{2'050});
                fixture.start_successor();
            }},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        leader_fixture fixture;
        std::vector<job_event> const journal{
            {.kind = job_event_kind::accepted, .job = "b.waits", .spec = batch()},
            {.kind = job_event_kind::accepted, .job = "b.ran", .spec = batch()},
            {.kind = job_event_kind::start_intended, .job = "b.ran", .attempt = 1u, .place = "w9"},
            {.kind = job_event_kind::accepted, .job = "b.once", .spec = batch(false)},
            {.kind = job_event_kind::start_intended, .job = "b.once", .attempt = 1u, .place = "w9"},
            {.kind = job_event_kind::accepted, .job = "b.ended", .spec = batch()},
            {.kind = job_event_kind::job_ended, .job = "b.ended", .state = "succeeded"},
            {.kind = job_event_kind::accepted, .job = "b.elsewhere", .spec = batch()},
            {.kind = job_event_kind::moved, .job = "b.elsewhere", .place = "c"},
            {.kind = job_event_kind::accepted, .job = "b.sent", .spec = batch()},
            {.kind = job_event_kind::moved, .job = "b.sent", .place = "a"},
        };
        CHECK(run(fixture.context, fixture.jobs.append_to_journal_of("b", journal)));
        fixture.begin();
        run_context_for(fixture.context, millis{2'500});
        CHECK(fixture.starts() == 0);
        fixture.set_domain_state("in", "lost");
        row.inject(fixture);
        // Jobs that were queued, running or being handed over to this domain run; the non-repeatable one does not.
        constexpr std::int64_t adopted = 3;
        CHECK(fixture.becomes_true([&]() { return fixture.running() == adopted; }));
        run_context_for(fixture.context, millis{3'000});
        CHECK(fixture.starts() == adopted);
        CHECK(text_in(fixture.local_leader->describe("b.once").body, "state") == "may_have_run");
        for(auto const *key: {"b.ended", "b.elsewhere"}) {
            CHECK(fixture.local_leader->describe(key).refused);
        }
    }
}

TEST_CASE("a known submission is found before the journal has been read") {
    struct row {
        std::string_view name;
        std::string job_name;
        job_spec spec;
        std::optional<refusal> refused;
    };
    auto other = batch();
    other.count = 2;
    std::vector<row> const rows{
        {"known", "job", batch(), std::nullopt},
        {"known with a different specification", "job", other, refusal::idempotency_mismatch},
        {"unknown", "nothing", batch(), refusal::job_unknown},
    };
    leader_fixture fixture;
    fixture.begin();
    static_cast<void>(fixture.submit(batch()));
    static_cast<void>(fixture.log.administer({{"outage", true}}));
    fixture.start_successor();
    run_context_for(fixture.context, millis{500});
    for(auto const &row: rows) {
        CAPTURE(row.name);
        auto const answer = fixture.local_leader->find_submitted(row.job_name, row.spec);
        CHECK(answer.refused.has_value() == row.refused.has_value());
        if(answer.refused && row.refused) {
            CHECK(answer.refused->reason == *row.refused);
        }
    }
}
