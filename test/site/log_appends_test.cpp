#include "scripted_site.hpp"

#include <array>
#include <cstdio>
#include <doctest/doctest.h>
#include <kingcuplink/site/log_appends.hpp>
#include <kingcuplink/site/timing.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <unistd.h>

namespace kingcuplink::test {

namespace {

struct close_file {
    void operator()(std::FILE *file) const {
        std::fclose(file);
    }
};

/*! One entry VM's connection to an in-memory log, with a decision log that can be read. */
struct appending_vm {
    appending_vm() : log{memory}, parts{context, settings, stats, times, decisions, log, decoder, workers, adviser} {}

    /*! Returns the lines of the decision log. */
    std::string lines() {
        decisions.flush();
        std::string text(std::size_t{1} << 16u, '\0');
        text.resize(static_cast<std::size_t>(::pread(::fileno(file.get()), text.data(), text.size(), 0)));
        return text;
    }

    boost::asio::io_context context{1};
    site_settings settings;
    counters stats;
    latencies times;
    std::unique_ptr<std::FILE, close_file> file{std::tmpfile()};
    decision_log decisions{::fileno(file.get()), "vm"};
    memory_log memory{context};
    gated_log log;
    std::map<std::string, scripted_version> versions;
    plain_decoder decoder{versions};
    memory_workers workers;
    approving_adviser adviser;
    node_parts parts;
};

std::vector<keyed_record> one_record() {
    return {{"key", "value"}};
}

} // namespace

// Which VM's appends filled the log's queue, and with which outcome, could not be told from logs.
TEST_CASE("appends that are slow or not done are written to the decision log, and no others") {
    struct row {
        std::string_view name;
        millis append_time;
        bool is_open;
        bool loses_appends;
        std::string_view expected;
    };
    std::array<row, 4u> const rows{{
        {"fast", millis{5}, true, false, ""},
        {"slow", timing::slow_append + millis{50}, true, false, R"("purpose":"callers","outcome":"done")"},
        {"refused", millis{}, false, false, R"("purpose":"callers","outcome":"refused")"},
        {"without an answer", millis{}, true, true, R"("purpose":"callers","outcome":"unknown")"},
    }};
    for(auto const &item: rows) {
        CAPTURE(item.name);
        appending_vm vm;
        vm.memory.append_time = item.append_time;
        vm.log.is_open = item.is_open;
        vm.log.loses_appends = item.loses_appends;
        run_to_end(vm.context, append_to_jobs(vm.parts, append_purpose::callers, one_record(), std::nullopt));
        auto const text = vm.lines();
        CHECK(text.empty() == item.expected.empty());
        CHECK(text.find(item.expected) != std::string::npos);
    }
}

} // namespace kingcuplink::test
