#ifndef KINGCUPLINK_CLI_COMMANDS_HPP_INCLUDED
#define KINGCUPLINK_CLI_COMMANDS_HPP_INCLUDED

#include <kingcuplink/core/time.hpp>
#include <span>
#include <string>
#include <vector>

namespace kingcuplink {

/*! Exit codes of the tool. */
enum class exit_code : int {
    success = 0,
    /*! Refused; nothing was run or changed. */
    refused = 1,
    wrong_usage = 2,
    /*! No server could be reached. */
    unreachable = 3,
    /*! It may have run, or may have been changed. */
    outcome_unknown = 4,
    /*! A job that was waited for did not succeed. */
    job_failed = 5
};

/*! Options of all commands. */
struct cli_options {
    std::vector<std::string> servers;
    std::string key;
    std::string platform;
    /*! True for JSON, false for tables. */
    bool as_json{};
    bool wait{};
    bool repeatable{true};
    millis deadline{30'000};
    std::uint64_t version{};
    std::string lower;
    /*! Idempotency-Key of a submission; empty for a random one. */
    std::string idempotency_key;
    int rounds{};
};

/*! Returns the text of 'kingcuplink help'. */
[[nodiscard]] std::string help_text();

/*!
 * Runs a command.
 * @param words The command and its arguments.
 */
[[nodiscard]] exit_code run_command(cli_options const &options, std::span<std::string const> words);

} // namespace kingcuplink

#endif
