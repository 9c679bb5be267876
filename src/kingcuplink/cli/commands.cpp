#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <kingcuplink/cli/commands.hpp>
#include <kingcuplink/cli/document_diff.hpp>
#include <kingcuplink/cli/explain.hpp>
#include <kingcuplink/cli/server_connection.hpp>
#include <kingcuplink/cli/table.hpp>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/document/document_fold.hpp>
#include <random>
#include <thread>

namespace kingcuplink {

namespace internal {

namespace json = boost::json;
using verb = boost::beast::http::verb;
using namespace std::chrono_literals;

constexpr auto wait_poll = 200ms;
constexpr auto top_interval = 1s;
constexpr auto submit_pause = 500ms;
constexpr int submit_tries = 12;
constexpr unsigned status_unavailable = 503u;
constexpr int random_key_words = 8;

/*! What a command works with. */
struct command_context {
    cli_options const &options;
    std::span<std::string const> arguments;
    server_connection server;
};

using command_function = exit_code (*)(command_context &);

/*! One command of the tool. */
struct command_row {
    std::string_view words;
    std::size_t least_arguments;
    std::size_t most_arguments;
    std::string_view arguments;
    std::string_view summary;
    command_function run;
};

exit_code fail(std::string const &message, exit_code const code) {
    std::cerr << "kingcuplink: " << message << "\n";
    return code;
}

std::optional<std::string> read_file(std::string const &path) {
    if(path == "-") {
        return std::string{std::istreambuf_iterator<char>{std::cin}, {}};
    }
    std::ifstream file{path, std::ios::binary};
    if(!file) {
        std::cerr << "kingcuplink: '" << path << "' cannot be read: name a file, or - for standard input\n";
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

std::optional<json::value> read_json(std::string const &path) {
    auto const text = read_file(path);
    if(!text) {
        return std::nullopt;
    }
    boost::system::error_code error;
    auto value = json::parse(*text, error);
    if(error) {
        std::cerr << "kingcuplink: '" << path << "' is not JSON: " << error.message() << "\n";
        return std::nullopt;
    }
    return value;
}

/*! Reports an answer that is no success, and returns its exit code. */
exit_code report_failure(server_answer const &answer) {
    if(!answer.answered) {
        return answer.may_have_run
            ? fail("no answer: it may have taken effect; look before you try again", exit_code::outcome_unknown)
            : fail("no server can be reached: check --server", exit_code::unreachable);
    }
    auto const *error = field_in(answer.body, "error");
    if(error == nullptr || !error->is_object()) {
        return fail("status " + std::to_string(answer.status), exit_code::refused);
    }
    auto const &fields = error->get_object();
    auto const text = [&fields](std::string_view const name) { return std::string{fields.at(name).as_string()}; };
    auto const not_run = fields.at("not_run").as_bool();
    return fail(
        text("kind") + ": " + text("detail") + ": " + text("remedy") + (not_run ? " (not run)" : " (may have run)"),
        not_run ? exit_code::refused : exit_code::outcome_unknown);
}

bool is_success(server_answer const &answer) {
    return answer.answered && answer.status >= 200u && answer.status < 300u;
}

void print(cli_options const &options, json::value const &value) {
    std::cout << (options.as_json ? json::serialize(value) + "\n" : format_fields(value)) << std::flush;
}

exit_code print_answer(command_context &context, server_answer const &answer) {
    if(!is_success(answer)) {
        return report_failure(answer);
    }
    print(context.options, answer.body);
    return exit_code::success;
}

exit_code wait_for_job(command_context &context, std::string const &job) {
    std::string shown;
    while(true) {
        auto const answer = context.server.send(verb::get, "/v1/jobs/" + job, {});
        auto const state = text_in(answer.body, "state");
        if(is_success(answer) && state != shown) {
            std::cerr << "job " << job << ": " << state << "\n";
            shown = state;
        }
        if(state == "succeeded" || state == "failed" || state == "cancelled" || state == "may_have_run") {
            print(context.options, answer.body);
            return state == "succeeded" ? exit_code::success : exit_code::job_failed;
        }
        std::this_thread::sleep_for(wait_poll);
    }
}

/*! Tells whether an answer leaves open if the request had an effect. */
bool is_unknown(server_answer const &answer) {
    if(!answer.answered) {
        return answer.may_have_run;
    }
    auto const *error = field_in(answer.body, "error");
    return error != nullptr && error->is_object() && !error->get_object().at("not_run").as_bool();
}

std::string random_key() {
    std::random_device random;
    std::string text;
    for(auto count = 0; count < random_key_words; ++count) {
        text += std::to_string(random());
    }
    return sha256_hex(text);
}

exit_code job_submit(command_context &context) {
    auto const text = read_file(context.arguments[0]);
    if(!text) {
        return exit_code::wrong_usage;
    }
    auto const &given = context.options.idempotency_key;
    std::map<std::string, std::string> const headers{{"Idempotency-Key", given.empty() ? random_key() : given}};
    auto answer = context.server.send(verb::post, "/v1/jobs", *text, headers);
    auto const is_passing = [&]() { return is_unknown(answer) || answer.status == status_unavailable; };
    for(auto tries = 1; tries < submit_tries && is_passing(); ++tries) {
        std::this_thread::sleep_for(submit_pause);
        answer = context.server.send(verb::post, "/v1/jobs", *text, headers);
    }
    if(!is_success(answer) || !context.options.wait) {
        return print_answer(context, answer);
    }
    return wait_for_job(context, text_in(answer.body, "job"));
}

exit_code job_list(command_context &context) {
    auto const answer = context.server.send(verb::get, "/v1/jobs", {});
    if(!is_success(answer) || context.options.as_json) {
        return print_answer(context, answer);
    }
    constexpr std::array<std::string_view, 8u> columns{
        "job", "name", "team", "kind", "state", "tasks", "on_workers", "failure_domain"};
    std::cout << format_table(answer.body.at("jobs"), columns);
    for(auto const &domain: answer.body.at("no_answer_from").as_array()) {
        std::cerr << "kingcuplink: failure domain " << domain.as_string().c_str()
                  << " gave no answer; its jobs are not listed\n";
    }
    return exit_code::success;
}

exit_code job_status(command_context &context) {
    return context.options.wait
        ? wait_for_job(context, context.arguments[0])
        : print_answer(context, context.server.send(verb::get, "/v1/jobs/" + context.arguments[0], {}));
}

exit_code job_cancel(command_context &context) {
    return print_answer(context, context.server.send(verb::delete_, "/v1/jobs/" + context.arguments[0], {}));
}

exit_code send_request(command_context &context) {
    auto const body = context.arguments.size() > 1u ? read_file(context.arguments[1])
                                                    : std::optional<std::string>{std::string{}};
    if(!body) {
        return exit_code::wrong_usage;
    }
    std::map<std::string, std::string> const headers{
        {"Kingcuplink-Repeatable", context.options.repeatable ? "true" : "false"},
        {"Kingcuplink-Deadline-Ms", std::to_string(context.options.deadline.count())}};
    auto const answer = context.server.send(
        verb::post, "/v1/queues/" + context.arguments[0] + "/requests", *body, headers, context.options.deadline + 5s);
    if(!is_success(answer)) {
        return report_failure(answer);
    }
    std::cout << answer.text << std::flush;
    return exit_code::success;
}

exit_code document_get(command_context &context) {
    if(context.arguments.empty()) {
        auto const answer = context.server.send(verb::get, "/v1/document", {});
        if(!is_success(answer) || context.options.as_json) {
            return print_answer(context, answer);
        }
        std::cout << format_fields(answer.body.at("versions"));
        constexpr std::array<std::string_view, 3u> columns{"entry_vm", "offset", "heard"};
        std::cout << "\n" << format_table(answer.body.at("in_force"), columns);
        return exit_code::success;
    }
    auto const answer = context.server.send(verb::get, "/v1/document/" + context.arguments[0], {});
    if(!is_success(answer)) {
        return report_failure(answer);
    }
    std::cerr << "version " << answer.version << "\n";
    std::cout << json::serialize(answer.body) << "\n";
    return exit_code::success;
}

exit_code put_section(
    command_context &context, std::string const &section, std::string const &body, std::uint64_t const version) {
    std::map<std::string, std::string> headers{{"If-Match", "\"" + std::to_string(version) + "\""}};
    if(!context.options.lower.empty()) {
        headers["Kingcuplink-Lower"] = context.options.lower;
    }
    return print_answer(context, context.server.send(verb::put, "/v1/document/" + section, body, headers));
}

exit_code document_put(command_context &context) {
    auto const body = read_file(context.arguments[1]);
    if(!body) {
        return exit_code::wrong_usage;
    }
    if(context.options.version == 0u) {
        return fail("--version is missing: give the version that 'document get " + context.arguments[0] + "' showed",
            exit_code::wrong_usage);
    }
    return put_section(context, context.arguments[0], *body, context.options.version);
}

exit_code document_check(command_context &context) {
    auto const value = read_json(context.arguments[0]);
    if(!value) {
        return exit_code::wrong_usage;
    }
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_CHECK(parse_document(*value));
        return {};
    });
    if(refused) {
        return fail(message_of(*refused), exit_code::refused);
    }
    std::cout << "valid\n";
    return exit_code::success;
}

exit_code document_compare(command_context &context) {
    auto const before = read_json(context.arguments[0]);
    auto const after = read_json(context.arguments[1]);
    if(!before || !after) {
        return exit_code::wrong_usage;
    }
    for(auto const &line: diff_json(*before, *after)) {
        std::cout << line << "\n";
    }
    return exit_code::success;
}

exit_code document_init(command_context &context) {
    auto const value = read_json(context.arguments[0]);
    if(!value) {
        return exit_code::wrong_usage;
    }
    if(auto const checked = document_check(context); checked != exit_code::success) {
        return checked;
    }
    if(context.options.platform.empty()) {
        return fail("--platform is missing: give the address of the platform's log", exit_code::wrong_usage);
    }
    server_connection platform{{context.options.platform}, {}};
    auto const record = genesis_record("genesis-" + sha256_hex(json::serialize(*value)).substr(0u, 16u), *value);
    auto const answer = platform.send(verb::post, "/log/document", json::serialize(record));
    return print_answer(context, answer);
}

/*! Edits a section: reads it, changes it with a function, and puts it back against the version read. */
template<typename Func>
exit_code edit_section(command_context &context, std::string const &section, Func change) {
    auto answer = context.server.send(verb::get, "/v1/document/" + section, {});
    if(!is_success(answer)) {
        return report_failure(answer);
    }
    if(auto const error = change(answer.body.as_array()); !error.empty()) {
        return fail(error, exit_code::refused);
    }
    return put_section(context, section, json::serialize(answer.body), answer.version);
}

exit_code set_domain(command_context &context, std::string_view const state) {
    return edit_section(context, "failure_domains", [&](json::array &domains) {
        for(auto &domain: domains) {
            if(text_in(domain, "name") == context.arguments[0]) {
                domain.as_object()["state"] = state;
                return std::string{};
            }
        }
        return "no failure domain '" + context.arguments[0] + "': 'document get failure_domains' lists them";
    });
}

exit_code domain_in(command_context &context) {
    return set_domain(context, "in");
}

exit_code domain_out(command_context &context) {
    return set_domain(context, "out");
}

exit_code domain_lost(command_context &context) {
    return set_domain(context, "lost");
}

exit_code key_hash(command_context &context) {
    auto text = read_file(context.arguments.empty() ? "-" : context.arguments[0]);
    if(!text) {
        return exit_code::wrong_usage;
    }
    while(!text->empty() && text->back() == '\n') {
        text->pop_back();
    }
    std::cout << sha256_hex(*text) << "\n";
    return exit_code::success;
}

exit_code key_grant(command_context &context) {
    return edit_section(context, "keys", [&](json::array &keys) {
        keys.push_back(
            json::object{{"sha256", context.arguments[1]}, {"team", context.arguments[0]}, {"state", "granted"}});
        return std::string{};
    });
}

exit_code key_withdraw(command_context &context) {
    return edit_section(context, "keys", [&](json::array &keys) {
        for(auto &key: keys) {
            if(text_in(key, "sha256") == context.arguments[0]) {
                key.as_object()["state"] = "withdrawn";
                return std::string{};
            }
        }
        return std::string{"no such key: 'document get keys' lists the hashes"};
    });
}

exit_code show_status(command_context &context) {
    return print_answer(context, context.server.send(verb::get, "/status", {}));
}

exit_code show_top(command_context &context) {
    for(auto round = 0; context.options.rounds == 0 || round < context.options.rounds; ++round) {
        auto const answer = context.server.send(verb::get, "/status", {});
        if(!is_success(answer)) {
            return report_failure(answer);
        }
        std::cout << "\033[H\033[2J" << format_fields(answer.body) << std::flush;
        std::this_thread::sleep_for(top_interval);
    }
    return exit_code::success;
}

exit_code show_help(command_context &) {
    std::cout << help_text();
    return exit_code::success;
}

exit_code explain_job(command_context &context) {
    std::vector<explained_line> lines;
    for(auto const &name: context.arguments.subspan(1u)) {
        std::ifstream log{name};
        if(!log) {
            std::cerr << "kingcuplink: " << name << " cannot be read: check the path\n";
            return exit_code::wrong_usage;
        }
        collect_decisions(log, context.arguments[0], lines);
    }
    sort_decisions(lines);
    std::cout << explain(lines);
    return exit_code::success;
}

constexpr std::array<command_row, 21u> commands{{
    {"explain", 2u, 1'000u, "JOB FILE...", "put the decisions about a job from logs in order", explain_job},
    {"job submit", 1u, 1u, "FILE", "submit a job; --wait shows its progress", job_submit},
    {"job list", 0u, 0u, "", "list the team's jobs; an operator's key lists all", job_list},
    {"job status", 1u, 1u, "JOB", "show a job and its tasks", job_status},
    {"job cancel", 1u, 1u, "JOB", "cancel a job", job_cancel},
    {"request", 1u, 2u, "QUEUE [FILE]", "send a request to a queue and print the answer", send_request},
    {"document get", 0u, 1u, "[SECTION]", "show versions and where they are in force, or a section", document_get},
    {"document put", 2u, 2u, "SECTION FILE", "publish a section against --version", document_put},
    {"document check", 1u, 1u, "FILE", "check a whole document without a server", document_check},
    {"document diff", 2u, 2u, "FILE FILE", "show what differs between two documents", document_compare},
    {"document init", 1u, 1u, "FILE", "publish the first document to the log at --platform", document_init},
    {"domain out", 1u, 1u, "NAME", "take a failure domain out", domain_out},
    {"domain in", 1u, 1u, "NAME", "bring a failure domain back", domain_in},
    {"domain lost", 1u, 1u, "NAME", "declare a failure domain gone for good", domain_lost},
    {"key hash", 0u, 1u, "[FILE]", "print the hash of a key, for the section keys", key_hash},
    {"key grant", 2u, 2u, "TEAM HASH", "grant a key to a team", key_grant},
    {"key withdraw", 1u, 1u, "HASH", "withdraw a key", key_withdraw},
    {"status", 0u, 0u, "", "show the state of an entry VM", show_status},
    {"top", 0u, 0u, "", "show the state of an entry VM again and again", show_top},
    {"help", 0u, 0u, "", "show this text", show_help},
    {"version", 0u, 0u, "", "show the version",
        [](command_context &) {
            std::cout << "kingcuplink 0.1.0\n";
            return exit_code::success;
        }},
}};

/*! Returns the command that some words begin with, and how many of them name it. */
std::pair<command_row const *, std::size_t> find_command(std::span<std::string const> const words) {
    for(auto const &row: commands) {
        auto const count = static_cast<std::size_t>(std::count(row.words.begin(), row.words.end(), ' ')) + 1u;
        if(words.size() < count) {
            continue;
        }
        auto const name = count == 1u ? words[0] : words[0] + " " + words[1];
        if(name == row.words) {
            return {&row, count};
        }
    }
    return {nullptr, 0u};
}

} // namespace internal

std::string help_text() {
    std::string text{"usage: kingcuplink [FLAGS] COMMAND\n\n"};
    for(auto const &row: internal::commands) {
        std::string line{"  "};
        line.append(row.words).append(row.arguments.empty() ? "" : " ").append(row.arguments);
        line.resize(std::max<std::size_t>(line.size() + 2u, 32u), ' ');
        text.append(line).append(row.summary).append("\n");
    }
    return text.append("\nflags, each also an environment variable such as KINGCUPLINK_SERVER:\n"
                       "  --server=ADDRESS[,ADDRESS]    entry VMs or the balancer (127.0.0.1:8080)\n"
                       "  --key=KEY                     team's or operator's key; better set KINGCUPLINK_KEY\n"
                       "  --platform=ADDRESS            platform's log, for document init\n"
                       "  --output=table|json           form of what is printed\n"
                       "  --wait                        wait until the job ends\n"
                       "  --norepeatable                the request must not be repeated\n"
                       "  --deadline_ms=N               time that the request may take (30000)\n"
                       "  --version=N                   version that the edit was made against\n"
                       "  --lower=TEAM[,TEAM]           teams whose terms the edit may lower\n"
                       "  --idempotency_key=KEY         submissions with the same key are one job (random)\n"
                       "  --rounds=N                    rounds of top; 0 for no end\n"
                       "\nexit codes: 0 done, 1 refused and not run, 2 wrong usage, 3 no server reached,\n"
                       "4 may have run, 5 the job did not succeed\n");
}

exit_code run_command(cli_options const &options, std::span<std::string const> const words) {
    auto const [row, count] = internal::find_command(words);
    if(row == nullptr) {
        std::cerr << "kingcuplink: " << (words.empty() ? "a command is missing" : "no command '" + words[0] + "'")
                  << ": see 'kingcuplink help'\n";
        return exit_code::wrong_usage;
    }
    auto const arguments = words.subspan(count);
    if(arguments.size() < row->least_arguments || arguments.size() > row->most_arguments) {
        std::cerr << "kingcuplink: use 'kingcuplink " << row->words << " " << row->arguments << "'\n";
        return exit_code::wrong_usage;
    }
    internal::command_context context{options, arguments, server_connection{options.servers, options.key}};
    return row->run(context);
}

} // namespace kingcuplink
