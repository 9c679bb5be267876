#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <iostream>
#include <kingcuplink/cli/commands.hpp>
#include <kingcuplink/core/flag_environment.hpp>

ABSL_FLAG(std::string, server, "127.0.0.1:8080", "Addresses of entry VMs or the balancer, separated by commas.");
ABSL_FLAG(std::string, key, "", "Team's or operator's key.");
ABSL_FLAG(std::string, platform, "", "Address of the platform's log, for document init.");
ABSL_FLAG(std::string, output, "table", "Form of what is printed: table or json.");
ABSL_FLAG(bool, wait, false, "Wait until the job ends.");
ABSL_FLAG(bool, repeatable, true, "Whether the request may be repeated.");
ABSL_FLAG(int, deadline_ms, 30000, "Milliseconds that the request may take, 1 to 600000.");
ABSL_FLAG(std::uint64_t, version, 0, "Version of the section that the edit was made against.");
ABSL_FLAG(std::string, lower, "", "Teams whose terms the edit may lower, separated by commas.");
ABSL_FLAG(std::string, idempotency_key, "", "Submissions of a team with the same value are one job; random if empty.");
ABSL_FLAG(int, rounds, 0, "Rounds of top; 0 for no end.");

namespace {

constexpr std::array<std::string_view, 11u> flag_names{"server", "key", "platform", "output", "wait", "repeatable",
    "deadline_ms", "version", "lower", "idempotency_key", "rounds"};
constexpr int longest_deadline_ms = 600'000;

int fail(std::string const &message) {
    std::cerr << "kingcuplink: " << message << "\n";
    return static_cast<int>(kingcuplink::exit_code::wrong_usage);
}

} // namespace

int main(int argc, char **argv) {
    absl::SetProgramUsageMessage(kingcuplink::help_text());
    for(auto const name: flag_names) {
        std::string reason;
        auto const value = kingcuplink::flag_from_environment(name);
        if(value &&
            !absl::FindCommandLineFlag(absl::string_view{name.data(), name.size()})->ParseFrom(*value, &reason)) {
            return fail("the environment variable of --" + std::string{name} + " is wrong: " + reason);
        }
    }
    auto const rest = absl::ParseCommandLine(argc, argv);
    std::vector<std::string> const words(rest.begin() + 1, rest.end());
    auto const output = absl::GetFlag(FLAGS_output);
    if(output != "table" && output != "json") {
        return fail("--output is '" + output + "', must be table or json: correct the flag");
    }
    auto const deadline = absl::GetFlag(FLAGS_deadline_ms);
    if(deadline < 1 || deadline > longest_deadline_ms) {
        return fail("--deadline_ms is '" + std::to_string(deadline) + "', must be from 1 to " +
            std::to_string(longest_deadline_ms) + ": correct the flag");
    }
    kingcuplink::cli_options options;
    auto const servers = absl::GetFlag(FLAGS_server);
    boost::algorithm::split(options.servers, servers, boost::algorithm::is_any_of(","));
    options.key = absl::GetFlag(FLAGS_key);
    options.platform = absl::GetFlag(FLAGS_platform);
    options.as_json = output == "json";
    options.wait = absl::GetFlag(FLAGS_wait);
    options.repeatable = absl::GetFlag(FLAGS_repeatable);
    options.deadline = kingcuplink::millis{deadline};
    options.version = absl::GetFlag(FLAGS_version);
    options.lower = absl::GetFlag(FLAGS_lower);
    options.idempotency_key = absl::GetFlag(FLAGS_idempotency_key);
    options.rounds = absl::GetFlag(FLAGS_rounds);
    return static_cast<int>(kingcuplink::run_command(options, words));
}
