#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <array>
#include <kingcuplink/core/flag_environment.hpp>
#include <kingcuplink/daemon/settings.hpp>
#include <kingcuplink/platform/http_client.hpp>

ABSL_FLAG(std::string, name, "", "Name of this entry VM, as in the section failure_domains of the document.");
ABSL_FLAG(std::string, failure_domain, "", "Name of the failure domain this entry VM is in.");
ABSL_FLAG(std::string, http_address, "127.0.0.1:8080", "IP number and port for callers and operators.");
ABSL_FLAG(std::string, peer_address, "127.0.0.1:8081", "IP number and port for other entry VMs.");
ABSL_FLAG(std::string, platform_address, "", "IP number and port of the platform's log and VM list.");
ABSL_FLAG(int, traffic_threads, 2, "Threads that carry requests, 1 to 64.");
ABSL_FLAG(
    int, drain_grace_ms, 5000, "Milliseconds between readiness going false and the end of accepting, 0 to 600000.");
ABSL_FLAG(int, drain_limit_ms, 60000, "Milliseconds that requests under way are waited for, 0 to 600000.");
ABSL_FLAG(bool, allow_faults, false, "Serve /v1/faults, which cuts this process off from named peers. For tests only.");

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 9u> setting_names{"name", "failure_domain", "http_address", "peer_address",
    "platform_address", "traffic_threads", "drain_grace_ms", "drain_limit_ms", "allow_faults"};
constexpr int most_threads = 64;
constexpr int longest_drain_ms = 600'000;

std::string setting_error(std::string_view const flag, std::string_view const value, std::string_view const allowed) {
    std::string text{"--"};
    return text.append(flag)
        .append(" is '")
        .append(value)
        .append("', must be ")
        .append(allowed)
        .append(": correct the flag or its environment variable; --help lists all");
}

bool is_name(std::string_view const text) {
    auto const allowed = [](char const value) {
        return (value >= 'a' && value <= 'z') || (value >= '0' && value <= '9') || value == '-';
    };
    return !text.empty() && text.size() <= 63u && std::all_of(text.begin(), text.end(), allowed);
}

/*! Applies environment variables to flags that the command line does not set. */
bool apply_environment(std::string &error) {
    for(auto const name: setting_names) {
        auto *flag = absl::FindCommandLineFlag(absl::string_view{name.data(), name.size()});
        auto const value = flag_from_environment(name);
        std::string reason;
        if(value && !flag->ParseFrom(*value, &reason)) {
            error = setting_error(name, *value, "of the flag's type (" + reason + ")");
            return false;
        }
    }
    return true;
}

} // namespace internal

std::optional<daemon_settings> read_settings(int const argc, char **argv, std::string &error) {
    absl::SetProgramUsageMessage(
        "Entry VM daemon of kingcuplink.\nEvery flag can also be set by an environment variable, such as "
        "KINGCUPLINK_HTTP_ADDRESS.\nExit codes: 0 after a graceful shutdown, 1 on failure, 2 on a wrong setting.");
    if(!internal::apply_environment(error)) {
        return std::nullopt;
    }
    auto const rest = absl::ParseCommandLine(argc, argv);
    if(rest.size() > 1u) {
        error = std::string{"unexpected argument '"} + rest[1] + "': --help lists the flags";
        return std::nullopt;
    }
    daemon_settings settings;
    settings.name = absl::GetFlag(FLAGS_name);
    settings.failure_domain = absl::GetFlag(FLAGS_failure_domain);
    settings.http_address = absl::GetFlag(FLAGS_http_address);
    settings.peer_address = absl::GetFlag(FLAGS_peer_address);
    settings.platform_address = absl::GetFlag(FLAGS_platform_address);
    settings.allow_faults = absl::GetFlag(FLAGS_allow_faults);
    struct text_check {
        std::string_view flag;
        std::string const &value;
        bool is_valid;
        std::string_view allowed;
    };
    auto const is_address = [](std::string const &text) { return parse_endpoint(text).has_value(); };
    constexpr std::string_view name_rule{"1 to 63 of a-z, 0-9 and -"};
    constexpr std::string_view address_rule{"an IP number and a port, such as 10.0.0.1:8080"};
    std::array<text_check, 5u> const checks{{
        {"name", settings.name, internal::is_name(settings.name), name_rule},
        {"failure_domain", settings.failure_domain, internal::is_name(settings.failure_domain), name_rule},
        {"http_address", settings.http_address, is_address(settings.http_address), address_rule},
        {"peer_address", settings.peer_address, is_address(settings.peer_address), address_rule},
        {"platform_address", settings.platform_address, is_address(settings.platform_address), address_rule},
    }};
    for(auto const &check: checks) {
        if(!check.is_valid) {
            error = internal::setting_error(check.flag, check.value, check.allowed);
            return std::nullopt;
        }
    }
    struct number_check {
        std::string_view flag;
        int value;
        int least;
        int most;
    };
    std::array<number_check, 3u> const numbers{{
        {"traffic_threads", absl::GetFlag(FLAGS_traffic_threads), 1, internal::most_threads},
        {"drain_grace_ms", absl::GetFlag(FLAGS_drain_grace_ms), 0, internal::longest_drain_ms},
        {"drain_limit_ms", absl::GetFlag(FLAGS_drain_limit_ms), 0, internal::longest_drain_ms},
    }};
    for(auto const &check: numbers) {
        if(check.value < check.least || check.value > check.most) {
            error = internal::setting_error(check.flag, std::to_string(check.value),
                "from " + std::to_string(check.least) + " to " + std::to_string(check.most));
            return std::nullopt;
        }
    }
    settings.traffic_threads = static_cast<std::size_t>(numbers[0].value);
    settings.drain_grace = millis{numbers[1].value};
    settings.drain_limit = millis{numbers[2].value};
    return settings;
}

} // namespace kingcuplink
