#include <array>
#include <doctest/doctest.h>
#include <platform/caller_front.hpp>
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

/*! Returns an answer to a read: the end, the first offset, and records. */
std::string read_body(std::vector<keyed_record> const &records) {
    return std::string(16u, '\0') + adapter::encode_records(records);
}

http_request request_of(http::verb const verb, std::string const &target, std::string body = {}) {
    http_request request{verb, target, 11};
    request.set(http::field::host, "h.example:80");
    request.set(http::field::authorization, "Token secret");
    request.set("X-Deadline-Ms", "3000");
    request.body() = std::move(body);
    return request;
}

} // namespace

TEST_CASE("records survive the way to the store and back") {
    std::vector<keyed_record> const records{
        {"job/1", std::string{"bytes\0inside", 12u}}, {"job/2", std::nullopt}, {"leader", "x"}};
    auto const answer = adapter::decode_records(read_body(records), 840u);
    REQUIRE(answer.outcome == read_outcome::done);
    CHECK(answer.next == 843u);
    REQUIRE(answer.records.size() == 3u);
    for(std::size_t pos{}; pos < records.size(); ++pos) {
        CHECK(answer.records[pos].key == records[pos].key);
        CHECK(answer.records[pos].value == records[pos].value);
        CHECK(answer.records[pos].offset == 840u + pos);
    }
}

TEST_CASE("bytes that are not records are no answer") {
    struct row {
        std::string_view name;
        std::string body;
    };
    std::array<row, 3u> const rows{{
        {"empty", {}},
        {"cut in the head", std::string(15u, '\0')},
        {"cut in a record", read_body({{"job/1", "value"}}).substr(0u, 22u)},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        CHECK(adapter::decode_records(item.body, 0u).outcome == read_outcome::failed);
    }
}

TEST_CASE("a registration names a worker only if it can be used") {
    adapter::site_reader reader;
    auto const worker = reader.worker("i-1", registration);
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
        CHECK_FALSE(reader.worker("i-1", item.value));
    }
}

// Guards against a list that cannot be read any more because of the key or the value of one record.
TEST_CASE("a page of newest records is read but for its odd items") {
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

TEST_CASE("a worker that leaves is known as leaving") {
    adapter::site_reader reader;
    auto text = std::string{registration};
    text.replace(text.find("ready"), 5u, "draining");
    auto const worker = reader.worker("i-1", text);
    REQUIRE(worker);
    CHECK(worker->leaving);
}

TEST_CASE("operators' decisions become rules") {
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

TEST_CASE("names of tasks are read as they are written") {
    run_key const key{"5c0e7a21d94b36f8", 1u, 17u, 2u};
    CHECK(adapter::task_name(key) == "5c0e7a21d94b36f8.0.1.17");
    CHECK(adapter::parse_run(adapter::task_name(key), 2u) == key);
    for(auto const *name: {"", "a.b", "a.0.x.1", "a.0.1.", "a.0.1.2.3"}) {
        CAPTURE(name);
        CHECK_FALSE(adapter::parse_run(name, 1u));
    }
}

TEST_CASE("a caller's request is read, and a wrong one says what is wrong") {
    constexpr std::string_view good{
        R"({"spec":"text","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_runtime_ms":900},)"
        R"({"count":2,"cpu":100,"after":[0],"gang":true,"checkpointing":true}]})"};
    auto const wish = adapter::read_request(request_of(http::verb::post, "/p/0123456789abcdef?x=1", std::string{good}));
    CHECK(wish.wish == caller_wish::submit);
    CHECK(wish.host == "h.example");
    CHECK(wish.path == "/p/0123456789abcdef");
    CHECK(wish.key == "secret");
    CHECK(wish.patience == millis{3'000});
    REQUIRE(wish.draft);
    REQUIRE(wish.draft->steps.size() == 2u);
    CHECK(wish.draft->steps[0].task_size == resources{500, 256, 0});
    CHECK(wish.draft->steps[1].gang);
    CHECK(wish.draft->steps[1].after == std::vector<std::uint32_t>{0u});
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
        auto const wrong = adapter::read_request(request_of(http::verb::post, "/p/1", std::string{item.body}));
        CHECK_FALSE(wrong.draft);
        CHECK(wrong.draft_error.find(item.names) != std::string::npos);
    }
}

TEST_CASE("answers to callers have the status that tells them what to do") {
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
        auto const response = adapter::write_answer(item.answer, stats);
        CHECK(response.result_int() == item.status);
        CHECK(response.body().find(item.body) != std::string::npos);
    }
    CHECK(stats.value(refusal::log_unavailable) == 1u);
}

} // namespace kingcuplink::test
