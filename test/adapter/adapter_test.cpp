#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>
#include <platform/caller_handlers.hpp>
#include <platform/site_reader.hpp>
#include <platform/store_client.hpp>
#include <platform/worker_client.hpp>
#include <string>
#include <vector>

namespace kingcuplink::test {

namespace {

namespace http = boost::beast::http;

constexpr std::string_view registration{
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready","capacity":{"cpu":16000,"mem_mb":32768,)"
    R"("gpus":1},"labels":["a","r1-3"],"born":1700000000000,"seq_no":4})"};

/*! Returns the body of an answer to a read: the end offset, the first offset and the records. */
std::string make_read_body(std::vector<keyed_record> const &records) {
    return std::string(16u, '\0') + adapter::encode_records(records);
}

/*! Returns a text with the first occurrence of a part replaced. Precondition: the text contains the part. */
std::string replace_once(std::string_view const text, std::string_view const part, std::string_view const other) {
    auto result = std::string{text};
    auto const found = result.find(part);
    REQUIRE(found != std::string::npos);
    result.replace(found, part.size(), other);
    return result;
}

http_request make_request(http::verb const verb, std::string const &target, std::string body = {}) {
    http_request request{verb, target, 11};
    request.set(http::field::host, "h.example:80");
    request.set(http::field::authorization, "Token secret");
    request.set("X-Deadline-Ms", "3000");
    request.body() = std::move(body);
    return request;
}

} // namespace

TEST_CASE("records round-trip through their encoding") {
    std::vector<keyed_record> const records{
        {"job/1", std::string{"bytes\0inside", 12u}}, {"job/2", std::nullopt}, {"leader", "x"}};
    auto const answer = adapter::decode_records(make_read_body(records), 840u);
    REQUIRE(answer.outcome == read_outcome::done);
    CHECK(answer.next == 843u);
    REQUIRE(answer.records.size() == 3u);
    for(std::size_t pos{}; pos < records.size(); ++pos) {
        CHECK(answer.records[pos].key == records[pos].key);
        CHECK(answer.records[pos].value == records[pos].value);
        CHECK(answer.records[pos].offset == 840u + pos);
    }
}

TEST_CASE("malformed record bodies are rejected") {
    struct row {
        std::string_view name;
        std::string body;
    };
    std::array<row, 3u> const rows{{
        {"empty", {}},
        {"cut in the head", std::string(15u, '\0')},
        {"cut in a record", make_read_body({{"job/1", "value"}}).substr(0u, 22u)},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        CHECK(adapter::decode_records(item.body, 0u).outcome == read_outcome::failed);
    }
}

TEST_CASE("a registration yields a worker only if it is usable") {
    adapter::site_reader reader;
    auto const worker = reader.worker("i-1", registration).worker;
    REQUIRE(worker);
    CHECK(worker->name == "i-1");
    CHECK(worker->domain == "z");
    CHECK(worker->capacity == resources{16'000, 32'768, 1});
    CHECK(worker->boot == 1'700'000'000'000u);
    CHECK_FALSE(worker->leaving);
    struct row {
        std::string_view name;
        std::string_view value;
    };
    std::array<row, 6u> const rows{{
        {"not JSON", "\x01\x02"},
        {"not an object", "[1]"},
        {"no service", R"({"address":"a:1","state":"ready","capacity":{"cpu":1}})"},
        {"no capacity", R"({"service":"s","address":"a:1","state":"ready"})"},
        {"unknown state", R"({"service":"s","address":"a:1","state":"odd","capacity":{"cpu":1}})"},
        {"address of another type", R"({"service":"s","address":7,"state":"ready","capacity":{"cpu":1}})"},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        CHECK_FALSE(reader.worker("i-1", item.value).worker);
    }
}

// Guards against unusable workers and numeric overflow caused by registrations that another writer made.
TEST_CASE("malformed registrations are rejected") {
    adapter::site_reader reader;
    struct row {
        std::string_view name;
        std::string_view part;
        std::string other;
    };
    std::vector<row> const rows{
        {"nested too deeply", "[\"a\",\"r1-3\"]", std::string(10'000u, '[') + std::string(10'000u, ']')},
        {"nested without an end", "{\"service\"", std::string(10'000u, '[')},
        {"256 KB", "\"seq_no\":4", "\"seq_no\":4,\"x\":\"" + std::string(std::size_t{256} << 10u, 'x') + "\""},
        {"cut", "\"seq_no\":4}", "\"seq_"},
        {"bytes that are not UTF-8", "\"a\"", "\"\xff\xfe\""},
        {"empty service", "\"s\"", "\"\""},
        {"service of another type", "\"s\"", "{}"},
        {"service too long", "\"s\"", "\"" + std::string(1'000u, 's') + "\""},
        {"no failure domain", "\"zone\":\"z\",", ""},
        {"failure domain of another type", "\"z\"", "3"},
        {"state of another type", "\"ready\"", "true"},
        {"port 0", ":80", ":0"},
        {"port out of range", ":80", ":99999"},
        {"port far out of range", ":80", ":99999999999999999999"},
        {"negative port", ":80", ":-1"},
        {"no port", ":80", ""},
        {"a name instead of a number", "10.0.0.9", "host.example"},
        {"no such IP number", "10.0.0.9", "10.0.0.999"},
        {"IP number of no machine", "10.0.0.9", "0.0.0.0"},
        {"capacity of another type", "{\"cpu\":16000,\"mem_mb\":32768,\"gpus\":1}", "[16000]"},
        {"amount of another type", "16000", "\"16000\""},
        {"negative amount", "16000", "-16000"},
        {"absurd amount", "16000", "1e300"},
        {"amount that no machine has", "32768", "9000000000000000000"},
        {"amount beyond 64 bits", "32768", "99999999999999999999999999"},
        {"amount beyond a double", "32768", "1e999"},
        {"labels of another type", "[\"a\",\"r1-3\"]", "\"a\""},
        {"a label of another type", "\"r1-3\"", "[]"},
        {"no boot", ",\"born\":1700000000000", ""},
        {"boot 0", "1700000000000", "0"},
        {"negative boot", "1700000000000", "-1700000000000"},
        {"boot beyond all time", "1700000000000", "9000000000000000000"},
        {"boot beyond 64 bits signed", "1700000000000", "10000000000000000000"},
        {"boot with an exponent", "1700000000000", "1e19"},
        {"boot with a fraction", "1700000000000", "1700000000000.5"},
        {"boot of another type", "1700000000000", "\"1700000000000\""},
        {"count of another type", "\"seq_no\":4", "\"seq_no\":\"4\""},
        {"null", "\"born\":1700000000000", "\"born\":null"},
    };
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto const reading = reader.worker("i-1", replace_once(registration, item.part, item.other));
        CHECK_FALSE(reading.worker);
        CHECK_FALSE(reading.fault.empty());
    }
}

// Guards against worker names that corrupt a header, a log line or a record.
TEST_CASE("invalid worker names are rejected") {
    adapter::site_reader reader;
    struct row {
        std::string_view name;
        std::string key;
        bool is_good;
    };
    std::array<row, 8u> const rows{{
        {"usual", "5c0e7a21d94b36f8", true},
        {"255 letters", std::string(255u, 'k'), true},
        {"empty", "", false},
        {"line break", "i-1\r\nX-Other: 1", false},
        {"space", "i 1", false},
        {"zero byte",
            std::string{"i\0"
                        "1",
                3u},
            false},
        {"not UTF-8", "\xff\xfe", false},
        {"outside ASCII", "i-\xc3\xa9", false},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        CHECK(reader.worker(item.key, registration).worker.has_value() == item.is_good);
    }
}

// Guards against a page that becomes unreadable because of the key or the value of a single record.
TEST_CASE("a page of newest records is decoded except for malformed items") {
    struct row {
        std::string_view name;
        std::string item;
        std::size_t records;
    };
    std::vector<row> const rows{
        {"good", R"({"key":"b","value":"YQ==","offset":3})", 3u},
        {"255 bytes of key", R"({"key":")" + std::string(255u, 'b') + R"(","value":"YQ==","offset":3})", 3u},
        {"key that is not UTF-8", "{\"key\":\"b\xff\",\"value\":\"YQ==\",\"offset\":3}", 3u},
        {"half of a surrogate pair", R"({"key":"b\udcff","value":"YQ==","offset":3})", 3u},
        {"two first halves", R"({"key":"b\ud83d\ud83dx","value":"YQ==","offset":3})", 3u},
        {"whole surrogate pair", R"({"key":"b\ud83d\ude00","value":"YQ==","offset":3})", 3u},
        {"backslash before a letter u", R"({"key":"b\\udcff","value":"YQ==","offset":3})", 3u},
        {"base64 that is cut", R"({"key":"b","value":"YQ=","offset":3})", 3u},
        {"base64 of padding alone", R"({"key":"b","value":"====","offset":3})", 3u},
        {"padding twice", R"({"key":"b","value":"========","offset":3})", 3u},
        {"not base64", R"({"key":"b","value":"\u0001***","offset":3})", 3u},
        {"value of another type", R"({"key":"b","value":{},"offset":3})", 3u},
        {"offset out of range", R"({"key":"b","value":"YQ==","offset":-1e300})", 3u},
        {"key of another type", R"({"key":7,"value":"YQ==","offset":3})", 2u},
        {"no object", "[[[]]]", 2u},
        {"null", "null", 2u},
    };
    for(auto const &item: rows) {
        CAPTURE(item.name);
        auto const page = adapter::decode_page(R"({"items":[{"key":"a","value":"YWE=","offset":1},)" + item.item +
            R"(,{"key":"c","value":"Y2M=","offset":4}],"has_more":true,"end_offset":9})");
        CHECK(page.answered);
        CHECK(page.has_more);
        CHECK(page.end == 9u);
        REQUIRE(page.records.size() == item.records);
        CHECK(page.records.front().value == "aa");
        CHECK(page.records.back().key == "c");
        CHECK(page.records.back().value == "cc");
    }
}

// Guards against a crash caused by a number in a worker's run lists.
TEST_CASE("a poll answer is accepted only if every run of the cluster is readable") {
    constexpr std::string_view body{
        R"({"clock_ms":482113,"born":1700000000000,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",41,3]],)"
        R"("ended_runs":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",3,"failed",""]]})"};
    struct row {
        std::string_view name;
        std::string_view part;
        std::string_view other;
        bool is_answer;
        std::size_t runs;
        std::size_t ends;
    };
    std::vector<row> const rows{
        {"good", "[58", "[58", true, 1u, 2u},
        {"no lists", R"("running")", R"("other")", true, 0u, 2u},
        {"a task name of another writer", R"(8.0.1.17)", R"(8.17)", true, 0u, 2u},
        {"negative run", "17\",2", "17\",-2", false, 0u, 0u},
        {"run beyond 32 bits", "17\",2", "17\",4294967298", false, 0u, 0u},
        {"run beyond 64 bits", "17\",2", "17\",1e300", false, 0u, 0u},
        {"run 0", "17\",2", "17\",0", false, 0u, 0u},
        {"run with a fraction", "17\",2", "17\",2.5", false, 0u, 0u},
        {"run of another type", "17\",2", "17\",\"2\"", false, 0u, 0u},
        {"list of another type", R"([["5c0e7a21d94b36f8.0.1.17",2,"",41,3]])", "{}", false, 0u, 0u},
        {"row of another type", R"(["5c0e7a21d94b36f8.0.1.17",2,"",41,3])", "7", false, 0u, 0u},
        {"number of an end out of range", "[58", "[-58", true, 1u, 1u},
        {"number of an end beyond 64 bits", "[58", "[1e300", true, 1u, 1u},
        {"unknown end", "done", "odd", true, 1u, 1u},
        {"run of an end out of range", "9\",1", "9\",-1", true, 1u, 1u},
        {"no boot", R"("born":1700000000000,)", "", false, 0u, 0u},
        {"boot with an exponent", "1700000000000", "1e300", false, 0u, 0u},
        {"negative boot", "1700000000000", "-1", false, 0u, 0u},
        {"boot of another type", "1700000000000", "\"1\"", false, 0u, 0u},
        {"no clock", R"("clock_ms":482113,)", "", false, 0u, 0u},
        {"clock beyond all time", "482113", "9223372036854775807", false, 0u, 0u},
        {"clock with an exponent", "482113", "1e300", false, 0u, 0u},
    };
    for(auto const &item: rows) {
        CAPTURE(item.name);
        boost::json::value value;
        auto const text = replace_once(body, item.part, item.other);
        REQUIRE_NOTHROW(value = boost::json::parse(text));
        poll_answer answer;
        CHECK_NOTHROW(answer = adapter::decode_poll_answer(200u, value));
        CHECK((answer.outcome == poll_outcome::answered) == item.is_answer);
        CHECK(answer.inventory.running.size() == item.runs);
        CHECK(answer.inventory.ended.size() == item.ends);
    }
}

// A worker lists at most 500 ended runs at a time, so a full list says nothing about runs that are not in it.
TEST_CASE("a full list of ended runs is not treated as complete") {
    for(auto const count: {0u, 1u, 499u, 500u}) {
        CAPTURE(count);
        boost::json::array ends;
        for(std::uint64_t number{1u}; number <= count; ++number) {
            ends.push_back({number, "5c0e7a21d94b36f8.0.1." + std::to_string(number), 1u, "done", ""});
        }
        boost::json::value const body{
            {"clock_ms", 482113}, {"born", 1700000000000}, {"running", boost::json::array{}}, {"ended_runs", ends}};
        auto const answer = adapter::decode_poll_answer(200u, boost::json::parse(boost::json::serialize(body)));
        REQUIRE(answer.outcome == poll_outcome::answered);
        CHECK(answer.inventory.ended.size() == count);
        CHECK(answer.inventory.has_all_completions == (count < 500u));
    }
}

// Guards against numeric overflow in rules, and against rules that are applied in part.
TEST_CASE("a configuration with an invalid number is rejected as a whole") {
    constexpr std::string_view configuration{
        R"({"version":8,"routes":[{"name":"r","host":"h.example","path_prefix":"/p/","target_latency_ms":1000,)"
        R"("priority":0,"service":"s","max_attempts":4,"stretch":2.2,)"
        R"("advice":{"decide_ms":500.0,"period_ms":7.1,"valid_ms":2000},"public":false}],)"
        R"("tenants":[{"name":"t","api_keys":["k1","k2"],"weight":26,"max_count":{"cpu":100,"mem_mb":0,"gpus":0}}]})"};
    struct row {
        std::string_view part;
        std::string_view other;
        bool is_good;
    };
    std::vector<row> const rows{
        {"8", "9", true},
        {"\"weight\":26,", "", true},
        {"26", "26.5", true},
        {"{\"decide_ms\":500.0,\"period_ms\":7.1,\"valid_ms\":2000}", "null", true},
        {"8", "-8", false},
        {"8", "1e300", false},
        {"1000", "1e300", false},
        {"1000", "-1", false},
        {"1000", "\"x\"", false},
        {"4", "99999999999", false},
        {"4", "-4", false},
        {"2.2", "1e300", false},
        {"2.2", "-2", false},
        {"500.0", "1e300", false},
        {"7.1", "1e18", false},
        {"2000", "9000000000000000000", false},
        {"26", "-26", false},
        {"26", "\"26\"", false},
        {"100", "1e19", false},
        {"100", "-100", false},
    };
    for(auto const &item: rows) {
        CAPTURE(item.part);
        CAPTURE(item.other);
        adapter::site_reader reader;
        site_rules rules;
        rules.version = 7u;
        rules.queues.resize(3u);
        CHECK(reader.apply({"config", replace_once(configuration, item.part, item.other)}, rules) == item.is_good);
        CHECK((rules.version > 7u) == item.is_good);
        CHECK(rules.queues.size() == (item.is_good ? 1u : 3u));
    }
}

TEST_CASE("a draining worker is decoded as leaving") {
    adapter::site_reader reader;
    auto text = std::string{registration};
    text.replace(text.find("ready"), 5u, "draining");
    auto const worker = reader.worker("i-1", text).worker;
    REQUIRE(worker);
    CHECK(worker->leaving);
}

// An entry under the key of a living worker, with a service that does not exist and another worker's address, ended the
// runs of that worker on the books of a new leader.
TEST_CASE("a registration for a service that the configuration does not name is rejected") {
    struct row {
        std::string_view services;
        bool is_accepted;
    };
    std::array<row, 4u> const rows{{
        {R"([{"name":"s"},{"name":"t"}])", true},
        {R"([{"name":"t"}])", false},
        {R"([])", true},
        {R"("s")", true},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.services);
        adapter::site_reader reader;
        site_rules rules;
        auto const text = R"({"version":1,"routes":[],"tenants":[],"services":)" + std::string{item.services} + "}";
        REQUIRE(reader.worker("i-1", registration).worker);
        REQUIRE(reader.apply({"config", text}, rules));
        auto const reading = reader.worker("i-1", registration);
        CHECK(reading.worker.has_value() == item.is_accepted);
        CHECK(reading.fault == (item.is_accepted ? "" : "service"));
    }
}

// After a restart, an entry VM knew only the newest configuration, and turned away the workers that accepted jobs need.
TEST_CASE("a registration for a service that an accepted job needs is accepted, whatever the configuration names") {
    struct row {
        std::string_view admitted;
        bool is_accepted;
    };
    for(auto const &item: std::array<row, 3u>{{{"s", true}, {"u", false}, {"", false}}}) {
        CAPTURE(item.admitted);
        for(auto const is_first: {true, false}) {
            CAPTURE(is_first);
            adapter::site_reader reader;
            site_rules rules;
            if(is_first) {
                reader.admit_service(item.admitted);
            }
            REQUIRE(reader.apply({"config", R"({"version":1,"routes":[],"services":[{"name":"t"}]})"}, rules));
            if(!is_first) {
                reader.admit_service(item.admitted);
            }
            CHECK(reader.worker("i-1", registration).worker.has_value() == item.is_accepted);
        }
    }
}

TEST_CASE("operator records are applied to the rules") {
    adapter::site_reader reader;
    site_rules rules;
    constexpr std::string_view configuration{
        R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/p/","target_latency_ms":1000,)"
        R"("priority":0,"service":"s","max_attempts":4,"stretch":2.2,)"
        R"("advice":{"decide_ms":500.0,"period_ms":7.1,"valid_ms":2000},"public":false}],)"
        R"("tenants":[{"name":"t","api_keys":["k1","k2"],"weight":26,"max_count":{"cpu":100,"mem_mb":0,"gpus":0}}]})"};
    REQUIRE(reader.apply({"config", std::string{configuration}}, rules));
    CHECK(rules.version == 7u);
    auto const *queue = find_queue(rules, "h.example", "/p/0123");
    REQUIRE(queue != nullptr);
    CHECK(queue->priority == 0);
    CHECK(queue->max_attempts == 4u);
    REQUIRE(queue->advice);
    CHECK(queue->advice->per_worker_us == 7'100);
    CHECK(find_queue(rules, "other.example", "/p/0123") == nullptr);
    REQUIRE(find_account_of_key(rules, "k2") != nullptr);
    CHECK(find_account_of_key(rules, "k3") == nullptr);
    CHECK(find_account(rules, "t")->ceiling.millicores == 100);
    REQUIRE(reader.apply({"evacuate/z1", "{}"}, rules));
    CHECK(rules.evacuated.contains("z1"));
    REQUIRE(reader.apply({"evacuate/z1", std::nullopt}, rules));
    CHECK(rules.evacuated.empty());
    CHECK_FALSE(reader.apply({"config", "junk"}, rules));
    CHECK(rules.version == 7u);
}

TEST_CASE("task names round-trip, and malformed names are rejected") {
    run_key const key{"5c0e7a21d94b36f8", 1u, 17u, 2u};
    CHECK(adapter::task_name(key) == "5c0e7a21d94b36f8.0.1.17");
    CHECK(adapter::parse_run_key(adapter::task_name(key), 2u) == key);
    for(auto const *name: {"", "a.b", "a.0.x.1", "a.0.1.", "a.0.1.2.3", "a.0.1.99999999999", "a.0.-1.2"}) {
        CAPTURE(name);
        CHECK_FALSE(adapter::parse_run_key(name, 1u));
    }
    for(auto const run: {std::uint64_t{0}, std::uint64_t{1} << 32u}) {
        CAPTURE(run);
        CHECK_FALSE(adapter::parse_run_key("a.0.1.2", run));
    }
}

TEST_CASE("caller requests are parsed, and errors name the invalid part") {
    constexpr std::string_view good{
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_runtime_ms":900},)"
        R"({"count":2,"cpu":100,"after":[0],"gang":true,"checkpointing":true}]})"};
    auto const parsed = adapter::parse_caller_request(
        make_request(http::verb::post, "/p/0123456789abcdef?x=1", std::string{good}));
    CHECK(parsed.operation == caller_operation::submit);
    CHECK(parsed.host == "h.example");
    CHECK(parsed.path == "/p/0123456789abcdef");
    CHECK(parsed.key == "secret");
    CHECK(parsed.timeout == millis{3'000});
    REQUIRE(parsed.draft);
    REQUIRE(parsed.draft->steps.size() == 2u);
    CHECK(parsed.draft->steps[0].task_size == resources{500, 256, 0});
    CHECK(parsed.draft->steps[1].gang);
    CHECK(parsed.draft->steps[1].after == std::vector<std::uint32_t>{0u});
    struct row {
        std::string_view body;
        std::string_view names;
    };
    std::array<row, 6u> const rows{{
        {"{", "JSON"},
        {"[]", "job"},
        {R"({"steps":[{"count":0}]})", "count"},
        {R"({"steps":[{"count":1,"cpu":"x"}]})", "cpu"},
        {R"({"steps":[{"count":1,"after":["a"]}]})", "after"},
        {R"({"steps":[{"count":1}],"repeat_count":3})", "repeat_count"},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.body);
        auto const invalid = adapter::parse_caller_request(
            make_request(http::verb::post, "/p/1", std::string{item.body}));
        CHECK_FALSE(invalid.draft);
        CHECK(invalid.draft_error.find(item.names) != std::string::npos);
    }
}

TEST_CASE("answers to callers map to their HTTP status") {
    struct row {
        caller_answer answer;
        unsigned status;
        std::string_view body;
    };
    std::array<row, 8u> const rows{{
        {{std::nullopt, job_phase::running, std::nullopt}, 200u, R"({"state":"running"})"},
        {{std::nullopt, std::nullopt, 12u}, 200u, R"({"pending":12})"},
        {{problem{refusal::job_unknown}, std::nullopt, std::nullopt}, 410u, "job_unknown"},
        {{problem{refusal::queue_unknown}, std::nullopt, std::nullopt}, 404u, "queue_unknown"},
        {{problem{refusal::key_unknown}, std::nullopt, std::nullopt}, 401u, "key_unknown"},
        {{problem{refusal::log_unavailable}, std::nullopt, std::nullopt}, 503u, "log_unavailable"},
        {{problem{refusal::outcome_unknown}, std::nullopt, std::nullopt}, 504u, "outcome_unknown"},
        {{problem{refusal::job_malformed}, std::nullopt, std::nullopt}, 400u, "job_malformed"},
    }};
    counters stats;
    for(auto const &item: rows) {
        CAPTURE(item.status);
        auto const response = adapter::make_caller_response(item.answer, stats);
        CHECK(response.result_int() == item.status);
        CHECK(response.body().find(item.body) != std::string::npos);
    }
    CHECK(stats.value(refusal::log_unavailable) == 1u);
}

} // namespace kingcuplink::test
