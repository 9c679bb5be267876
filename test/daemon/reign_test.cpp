#include "contract.hpp"
#include "platform.hpp"
#include "scripted_worker.hpp"

#include <doctest/doctest.h>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/daemon/domain_reign.hpp>
#include <mutex>

using namespace kingcuplink;
using namespace kingcuplink::test;

namespace {

constexpr millis wait_limit{20'000};
constexpr millis step{10};

/*! Where the parts of two failure domains listen: a1 and its platform, b1, and the workers of a1. */
struct reign_addresses {
    explicit reign_addresses(address_pool &pool)
        : callers{pool.take_address()},
          peer{pool.take_address()},
          log{pool.take_address()},
          far_callers{pool.take_address()},
          far_peer{pool.take_address()},
          w1{pool.take_address()},
          w2{pool.take_address()} {}

    std::string callers;
    std::string peer;
    std::string log;
    std::string far_callers;
    std::string far_peer;
    std::string w1;
    std::string w2;
};

std::shared_ptr<document const> make_rules(
    reign_addresses const &places, std::string_view const state = "in", std::string_view const far_state = "in") {
    boost::json::array workers;
    for(auto const *name: {"w1", "w2"}) {
        workers.push_back(
            boost::json::object{{"name", name}, {"address", name == std::string_view{"w1"} ? places.w1 : places.w2},
                {"rack", "r"}, {"size", boost::json::object{{"cores", 4}, {"memory_gib", 8}}}});
    }
    boost::json::object const vm{{"name", "a1"}, {"http", places.callers}, {"peer", places.peer}};
    boost::json::object const domain{{"name", "a"}, {"region", "r"}, {"state", state},
        {"entry_vms", boost::json::array{vm}}, {"workers", std::move(workers)}, {"runners", boost::json::array{}}};
    boost::json::object const far_vm{{"name", "b1"}, {"http", places.far_callers}, {"peer", places.far_peer}};
    boost::json::object const far_domain{{"name", "b"}, {"region", "r"}, {"state", far_state},
        {"entry_vms", boost::json::array{far_vm}}, {"workers", boost::json::array{}},
        {"runners", boost::json::array{}}};
    boost::json::object const team{{"name", "red"}, {"share", 1},
        {"ceiling", boost::json::object{{"cores", 100}, {"memory_gib", 100}}}, {"request_ceiling", 10}};
    boost::json::value const value = boost::json::object{
        {"owners", boost::json::object{{"owners", boost::json::array{std::string(64u, 'a')}}}},
        {"teams", boost::json::array{team}}, {"keys", boost::json::array{}},
        {"failure_domains", boost::json::array{domain, far_domain}}, {"queues", boost::json::array{}},
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

/*! The leader of a failure domain with two scripted workers. */
struct reign_fixture : client_fixture {
    reign_fixture() {
        log.start(context, settings.platform_address);
        jobs.start();
        allotments.start();
    }

    ~reign_fixture() {
        reign->end();
        log.stop();
    }

    /*! Begins the reign and waits until the workers are held. */
    void begin() {
        begin_reign();
        CHECK(comes_true([&]() { return reign->status().at("recovered").as_bool(); }));
    }

    /*! Ends the reign, as if its process had died, and begins another one that finds the journal. */
    void succeed() {
        reign->end();
        ++term;
        reign = make_reign();
        jobs.set_leading(false);
        begin_reign();
    }

    void begin_reign() {
        jobs.set_leading(true);
        allotments.set_leading(true, term);
        reign->start();
    }

    std::shared_ptr<domain_reign> make_reign() {
        return std::make_shared<domain_reign>(
            reign_parts{context, settings, stats, workers, peers, jobs, allotments, lead}, term, rules,
            [this](std::uint64_t const higher) { fenced_by = higher; });
    }

    /*! Takes the failure domain out or in. */
    void set_state(std::string_view const state, std::string_view const far_state = "in") {
        rules = make_rules(places, state, far_state);
        peers.update(*rules);
        reign->update(rules);
    }

    /*! Lets time pass while heartbeats of failure domain b's leader come. */
    void pass_with_peer(millis const time) {
        auto const end = current_time() + time;
        while(current_time() < end) {
            wire::heartbeat beat;
            beat.set_leads(true);
            peers.heard("b1", beat, current_time());
            pass(context, millis{50});
        }
    }

    /*! Hands a job over to this failure domain. */
    bool take_over(std::string const &key, job_spec const &spec, std::uint32_t const generation) {
        job_event const accepted{.kind = job_event_kind::accepted, .job = key, .spec = spec, .generation = generation};
        boost::json::array events;
        events.push_back(to_json(accepted));
        return !run(context, reign->take_over_job(std::move(events))).refused;
    }

    /*! Sets whether the workers take starts. */
    void set_workers(bool const take_starts) {
        for(auto *worker: {&w1, &w2}) {
            worker->start_status = take_starts ? 200u : 422u;
            worker->runs_starts = take_starts;
        }
    }

    bool comes_true(std::function<bool()> const &condition) {
        auto const limit = current_time() + wait_limit;
        while(!condition() && current_time() < limit) {
            pass(context, step);
        }
        return condition();
    }

    std::string submit(job_spec spec) {
        auto const answer = run(context, reign->submit("a.job", std::move(spec), submission_rule::always_new));
        CHECK_FALSE(answer.refused);
        return std::string{answer.body.at("job").as_string()};
    }

    std::int64_t starts() const {
        return w1.starts + w2.starts;
    }

    scripted_worker &runner_of_job() {
        return w1.starts > 0 ? w1 : w2;
    }

    std::int64_t running() const {
        return reign->status().at("running_tasks").as_int64();
    }

    reign_addresses places{addresses};
    daemon_settings settings{.name = "a1",
        .failure_domain = "a",
        .http_address = places.callers,
        .peer_address = places.peer,
        .platform_address = places.log};
    std::shared_ptr<document const> rules{make_rules(places)};
    standin::platform log{{}};
    scripted_worker w1{context, places.w1};
    scripted_worker w2{context, places.w2};
    platform_client platform{client, settings.platform_address};
    worker_client workers{client};
    peer_directory peers{context, settings, stats, [this](wire::envelope const &message) {
                             if(message.has_reply()) {
                                 peers.complete_call(message.reply());
                             }
                         }};
    job_replicator jobs{context, settings, platform, peers, stats};
    allotment_manager allotments{context, settings, platform, stats};
    leadership lead{"a", "a1", current_time()};
    std::uint64_t fenced_by{};
    std::uint64_t term{1};
    std::shared_ptr<domain_reign> reign{make_reign()};
};

} // namespace

TEST_CASE("a task that may run is not started a second time") {
    struct row {
        std::string_view name;
        void (*strike)(reign_fixture &);
        /*! Starts that the workers may see. */
        std::int64_t most_starts;
    };
    std::vector<row> const rows{
        {"nothing happens", [](reign_fixture &fixture) { pass(fixture.context, millis{500}); }, 1},
        {"whole inventories are asked for while changes are under way",
            [](reign_fixture &fixture) {
                // A task of no known job makes the leader ask for whole inventories with each change of the book.
                fixture.runner_of_job().set_task("a.other", 0, 1, "running");
                for(auto count = 0; count < 40; ++count) {
                    fixture.reign->load_book();
                    pass(fixture.context, millis{50});
                }
            },
            1},
        {"the process was paused",
            [](reign_fixture &fixture) {
                fixture.reign->paused();
                pass(fixture.context, millis{1'000});
            },
            1},
        {"an older attempt is reported as stopped",
            [](reign_fixture &fixture) {
                auto &worker = fixture.runner_of_job();
                auto const attempt = worker.tasks.front().attempt;
                worker.set_task("a.job", 0, attempt - 1, "stopped");
                pass(fixture.context, millis{1'000});
            },
            1},
        {"another worker does not know it",
            [](reign_fixture &fixture) {
                auto &other = fixture.w1.starts > 0 ? fixture.w2 : fixture.w1;
                other.set_task("a.job", 0, 1, "stopped");
                pass(fixture.context, millis{1'000});
            },
            1},
        {"it ended there",
            [](reign_fixture &fixture) {
                auto &worker = fixture.runner_of_job();
                worker.set_task("a.job", 0, worker.tasks.front().attempt, "stopped");
                CHECK(fixture.comes_true([&]() { return fixture.starts() == 2; }));
            },
            2},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        reign_fixture fixture;
        fixture.begin();
        static_cast<void>(fixture.submit(batch()));
        CHECK(fixture.comes_true([&]() { return fixture.starts() == 1 && fixture.running() == 1; }));
        row.strike(fixture);
        CHECK(fixture.starts() <= row.most_starts);
        CHECK(fixture.comes_true([&]() { return fixture.running() == 1; }));
    }
}

TEST_CASE("what became of a start without an answer is read from the inventory") {
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
        {"no answer, it runs, not to be repeated", 0u, true, false, 1},
        {"no answer, it does not run", 0u, false, true, 2},
        {"no answer, it does not run, not to be repeated", 0u, false, false, 2},
    }};
    for(auto const &row: rows) {
        CAPTURE(row.name);
        reign_fixture fixture;
        for(auto *worker: {&fixture.w1, &fixture.w2}) {
            worker->start_status = row.status;
            worker->runs_starts = row.takes_effect;
        }
        fixture.begin();
        static_cast<void>(fixture.submit(batch(row.repeatable)));
        CHECK(fixture.comes_true([&]() { return fixture.starts() == 1; }));
        for(auto *worker: {&fixture.w1, &fixture.w2}) {
            worker->start_status = 200u;
            worker->runs_starts = true;
        }
        CHECK(fixture.comes_true([&]() { return fixture.starts() == row.starts && fixture.running() == 1; }));
        pass(fixture.context, 2 * config::command_timeout);
        CHECK(fixture.starts() == row.starts);
    }
}

TEST_CASE("a worker that obeys a higher term ends the reign") {
    reign_fixture fixture;
    fixture.begin();
    constexpr std::uint64_t higher_term = 7u;
    constexpr auto term_bits = 20u;
    fixture.w1.refusing_epoch = static_cast<std::int64_t>(higher_term << term_bits);
    CHECK(fixture.comes_true([&]() { return fixture.fenced_by == higher_term; }));
}

TEST_CASE("a task of no live job is stopped once the journal was read") {
    reign_fixture fixture;
    static_cast<void>(fixture.log.administer({{"outage", true}}));
    fixture.w1.set_task("a.other", 0, 1, "running");
    fixture.begin();
    pass(fixture.context, millis{2'500});
    CHECK(fixture.w1.stops == 0);
    static_cast<void>(fixture.log.administer({{"outage", false}}));
    CHECK(fixture.comes_true([&]() { return fixture.w1.stops == 1; }));
}

TEST_CASE("a job is handed over once no successor can start it here") {
    struct row {
        std::string_view name;
        bool log_answers;
        bool is_sent;
    };
    constexpr std::array<row, 2u> rows{
        {{"the log keeps the move", true, true}, {"nobody keeps the move", false, false}}};
    for(auto const &row: rows) {
        CAPTURE(row.name);
        reign_fixture fixture;
        fixture.begin();
        fixture.set_workers(false);
        static_cast<void>(fixture.submit(batch()));
        static_cast<void>(fixture.log.administer({{"outage", !row.log_answers}}));
        fixture.set_state("out");
        fixture.pass_with_peer(millis{4'000});
        CHECK((fixture.stats.value(event::handover_sent) > 0u) == row.is_sent);
    }
}

TEST_CASE("a repeated handover does not start what an earlier leader may have started") {
    reign_fixture fixture;
    fixture.begin();
    fixture.w1.runs_starts = false;
    fixture.w2.runs_starts = false;
    auto const spec = batch(false);
    CHECK(fixture.take_over("b.job", spec, 1u));
    CHECK(fixture.comes_true([&]() { return fixture.starts() == 1; }));
    pass(fixture.context, millis{500});
    fixture.w2.withholds_leases = true;
    fixture.succeed();
    pass(fixture.context, millis{2'000});
    CHECK(fixture.take_over("b.job", spec, 1u));
    pass(fixture.context, millis{1'000});
    fixture.w2.withholds_leases = false;
    CHECK(fixture.comes_true([&]() { return fixture.reign->status().at("recovered").as_bool(); }));
    pass(fixture.context, millis{1'000});
    CHECK(fixture.starts() == 1);
}

TEST_CASE("a late answer to a handover does not end a job that came back") {
    reign_fixture fixture;
    std::mutex mutex;
    std::vector<std::uint64_t> calls;
    counters far_stats;
    peer_link far{"b1", fixture.places.far_peer, far_stats, [&](wire::envelope const &message) {
                      std::lock_guard const lock{mutex};
                      if(message.has_call()) {
                          calls.push_back(message.call().id());
                      }
                  }};
    far.connect("a1", fixture.settings.peer_address);
    fixture.begin();
    fixture.set_workers(false);
    auto const key = fixture.submit(batch());
    fixture.set_state("out");
    auto const is_sent = [&]() {
        fixture.pass_with_peer(millis{50});
        std::lock_guard const lock{mutex};
        return !calls.empty();
    };
    CHECK(fixture.comes_true(is_sent));
    fixture.set_state("in");
    CHECK(fixture.take_over(key, batch(), 2u));
    {
        std::lock_guard const lock{mutex};
        for(auto const id: calls) {
            wire::envelope answer;
            answer.mutable_reply()->set_id(id);
            answer.mutable_reply()->set_json("{}");
            CHECK(far.send("a1", answer));
        }
    }
    pass(fixture.context, millis{1'000});
    CHECK(fixture.jobs.ledger().find(key)->ended.empty());
    fixture.set_workers(true);
    CHECK(fixture.comes_true([&]() { return fixture.running() == 1; }));
}

TEST_CASE("the jobs of a lost failure domain are adopted from its journal") {
    struct row {
        std::string_view name;
        /*! What strikes the adopting failure domain. */
        void (*strike)(reign_fixture &);
    };
    std::vector<row> const rows{
        {"nothing happens", [](reign_fixture &) {}},
        {"answers of the log are lost for a while",
            [](reign_fixture &fixture) {
                static_cast<void>(fixture.log.administer({{"lose_answers", true}}));
                pass(fixture.context, millis{4'500});
                static_cast<void>(fixture.log.administer({{"lose_answers", false}}));
            }},
        {"its leader dies meanwhile",
            [](reign_fixture &fixture) {
                pass(fixture.context, millis{2'050});
                fixture.succeed();
            }},
    };
    for(auto const &row: rows) {
        CAPTURE(row.name);
        reign_fixture fixture;
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
        pass(fixture.context, millis{2'500});
        CHECK(fixture.starts() == 0);
        fixture.set_state("in", "lost");
        row.strike(fixture);
        // Those that waited, ran, and were sent here run; the one that must not be repeated does not.
        constexpr std::int64_t adopted = 3;
        CHECK(fixture.comes_true([&]() { return fixture.running() == adopted; }));
        pass(fixture.context, millis{3'000});
        CHECK(fixture.starts() == adopted);
        CHECK(text_in(fixture.reign->describe("b.once").body, "state") == "may_have_run");
        for(auto const *key: {"b.ended", "b.elsewhere"}) {
            CHECK(fixture.reign->describe(key).refused);
        }
    }
}

TEST_CASE("a submission that is known is found although the journal was not read") {
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
        {"known as another job", "job", other, refusal::idempotency_mismatch},
        {"not known", "nothing", batch(), refusal::job_unknown},
    };
    reign_fixture fixture;
    fixture.begin();
    static_cast<void>(fixture.submit(batch()));
    static_cast<void>(fixture.log.administer({{"outage", true}}));
    fixture.succeed();
    pass(fixture.context, millis{500});
    for(auto const &row: rows) {
        CAPTURE(row.name);
        auto const answer = fixture.reign->find_submitted(row.job_name, row.spec);
        CHECK(answer.refused.has_value() == row.refused.has_value());
        if(answer.refused && row.refused) {
            CHECK(answer.refused->reason == *row.refused);
        }
    }
}
