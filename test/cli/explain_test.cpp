#include <doctest/doctest.h>
#include <kingcuplink/cli/explain.hpp>
#include <sstream>

namespace kingcuplink::test {

namespace {

constexpr char const *first_vm = R"(
  1.250 vm-1 {"time_ms":1000,"vm":"vm-1","event":"job_accepted","job":"0123456789abcdef","ms":19}
not a decision about 0123456789abcdef
{"time_ms":1001,"vm":"vm-1","event":"job_accepted","job":"00000000000000aa"}
{"time_ms":1002,"vm":"vm-1","event":"worker_seen","worker":"0123456789abcdef"}
)";

constexpr char const *second_vm = R"(
{"time_ms":4100,"vm":"vm-2","event":"run_started","job":"0123456789abcdef","task":"0.0","run":1}
{"time_ms":1100,"vm":"vm-2","event":"advice_given","job":"0123456789abcdef","step":0,"approved":-1}
)";

} // namespace

TEST_CASE("decisions of all processes about one job are put in order, and the longest gap is named") {
    std::vector<explained_line> lines;
    for(auto const *text: {second_vm, first_vm}) {
        std::istringstream log{text};
        collect_decisions(log, "0123456789abcdef", lines);
    }
    sort_decisions(lines);
    REQUIRE(lines.size() == 3u);
    CHECK(lines[0].event == "job_accepted");
    CHECK(lines[1].event == "advice_given");
    CHECK(lines[2].event == "run_started");
    auto const text = explain(lines);
    CHECK(text.find("longest gap: 3000ms, from advice_given to run_started") != std::string::npos);
    CHECK(text.find("+100ms") != std::string::npos);
}

TEST_CASE("a job without decisions is said to have none") {
    CHECK(explain({}).find("no decision") == 0u);
}

} // namespace kingcuplink::test
