#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <array>
#include <cmath>
#include <kingcuplink/core/flag_environment.hpp>
#include <kingcuplink/daemon/settings.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <span>

ABSL_FLAG(std::string, name, "", "Name of this entry VM in the section failure_domains of the document.");
ABSL_FLAG(std::string, failure_domain, "", "Name of the failure domain of this entry VM.");
ABSL_FLAG(std::string, http_address, "127.0.0.1:8080", "IP address and port to listen on for callers and operators.");
ABSL_FLAG(std::string, peer_address, "127.0.0.1:8081", "IP address and port to listen on for other entry VMs.");
ABSL_FLAG(std::string, platform_address, "", "IP address and port of the platform's log and VM list.");
ABSL_FLAG(int, traffic_threads, 2, "Number of threads that serve requests, 1 to 64.");
ABSL_FLAG(int, drain_grace_ms, 5000,
    "Delay in ms between reporting not ready and closing the listener at shutdown, 0 to 600000.");
ABSL_FLAG(int, drain_limit_ms, 60000, "Maximum time in ms to wait for active requests at shutdown, 0 to 600000.");
ABSL_FLAG(bool, allow_faults, false,
    "Serve /v1/faults, which drops all messages to and from the named peers. For tests only.");
ABSL_FLAG(std::string, platform, "endpoints",
    "Kind of platform: 'endpoints' that implement the interfaces of Kingcuplink, or a 'store' for all persistent "
    "state.");
ABSL_FLAG(std::string, callers_address, "", "With a store: IP address and port to listen on for callers.");
ABSL_FLAG(std::string, readiness_address, "", "With a store: IP address and port of the readiness endpoint.");
ABSL_FLAG(
    std::string, metrics_address, "", "With a store: IP address and port of the metrics endpoint; empty for none.");
ABSL_FLAG(std::string, log_address, "", "With a store: IP address and port of the store.");
ABSL_FLAG(std::string, adviser_address, "", "With a store: IP address and port of the adviser; empty for none.");
ABSL_FLAG(int, lease_limit_ms, 10000, "With a store: maximum lease that workers grant, 1000 to 600000 ms.");
ABSL_FLAG(int, command_delay_limit_ms, 12500,
    "With a store: maximum time after its sending at which a worker executes a command that had no answer, 0 to 600000 "
    "ms.");
ABSL_FLAG(double, processor_share, 0.0,
    "With a store: processor cores of this entry VM, 0 (unknown) to 1024. Entry VMs with many cores are preferred as "
    "fleet leader.");
ABSL_FLAG(double, link_mbps, 0.0,
    "With a store: speed of this entry VM's link in Mbit/s, 0 (unknown) to 400000. A leader whose starts fill a slow "
    "link "
    "has them relayed by the other entry VMs.");
ABSL_FLAG(int, status_time_s, 120, "With a store: time for which the state of an ended job is reported, 1 to 86400 s.");
ABSL_FLAG(int, shutdown_time_ms, 5000, "With a store: maximum time between SIGTERM and exit, 500 to 600000 ms.");

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 21u> setting_names{"name", "failure_domain", "http_address", "peer_address",
    "platform_address", "traffic_threads", "drain_grace_ms", "drain_limit_ms", "allow_faults", "platform",
    "callers_address", "readiness_address", "metrics_address", "log_address", "adviser_address", "lease_limit_ms",
    "command_delay_limit_ms", "processor_share", "link_mbps", "status_time_s", "shutdown_time_ms"};
constexpr std::string_view name_rule{"1 to 63 of a-z, 0-9 and -"};
constexpr std::string_view address_rule{"an IP address and a port, such as 10.0.0.1:8080"};
constexpr int max_threads = 64;
constexpr int max_drain_ms = 600'000;
constexpr int max_status_s = 86'400;
constexpr double max_cores = 1'024.0;
constexpr double max_link_mbps = 400'000.0;
constexpr double millicores_per_core = 1'000.0;

std::string setting_error(std::string_view const flag, std::string_view const value, std::string_view const allowed) {
    std::string text{"--"};
    return text.append(flag)
        .append(" is '")
        .append(value)
        .append("', must be ")
        .append(allowed)
        .append(": correct the flag or its environment variable; --help lists all");
}

bool is_name(std::string const &text) {
    auto const is_allowed = [](char const value) {
        return (value >= 'a' && value <= 'z') || (value >= '0' && value <= '9') || value == '-';
    };
    return !text.empty() && text.size() <= 63u && std::all_of(text.begin(), text.end(), is_allowed);
}

/*! Sets the flags from environment variables; the command line, parsed later, overrides them. */
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

/*! String flag with its destination and validity rule. */
struct text_setting {
    std::string_view flag;
    std::string *target;
    bool (*is_valid)(std::string const &);
    std::string_view allowed;
};

/*! Integer flag with its value and range. */
struct number_check {
    std::string_view flag;
    int value;
    int minimum;
    int maximum;
};

bool is_address(std::string const &text) {
    return parse_endpoint(text).has_value();
}

bool is_address_or_empty(std::string const &text) {
    return text.empty() || is_address(text);
}

/*! Reads string flags into their targets; returns an error for the first invalid one, or an empty string. */
std::string read_texts(std::span<text_setting const> const texts) {
    for(auto const &item: texts) {
        *item.target = absl::FindCommandLineFlag(absl::string_view{item.flag.data(), item.flag.size()})->CurrentValue();
        if(!item.is_valid(*item.target)) {
            return setting_error(item.flag, *item.target, item.allowed);
        }
    }
    return {};
}

/*! Returns an error for the first number out of range, or an empty string. */
std::string check_numbers(std::span<number_check const> const numbers) {
    for(auto const &check: numbers) {
        if(check.value < check.minimum || check.value > check.maximum) {
            return setting_error(check.flag, std::to_string(check.value),
                "from " + std::to_string(check.minimum) + " to " + std::to_string(check.maximum));
        }
    }
    return {};
}

std::string read_endpoint_settings(daemon_settings &settings) {
    std::array<text_setting, 5u> const texts{{
        {"name", &settings.name, is_name, name_rule},
        {"failure_domain", &settings.failure_domain, is_name, name_rule},
        {"http_address", &settings.http_address, is_address, address_rule},
        {"peer_address", &settings.peer_address, is_address, address_rule},
        {"platform_address", &settings.platform_address, is_address, address_rule},
    }};
    if(auto error = read_texts(texts); !error.empty()) {
        return error;
    }
    auto const threads = absl::GetFlag(FLAGS_traffic_threads);
    auto const drain_grace = absl::GetFlag(FLAGS_drain_grace_ms);
    auto const drain_limit = absl::GetFlag(FLAGS_drain_limit_ms);
    std::array<number_check, 3u> const numbers{{
        {"traffic_threads", threads, 1, max_threads},
        {"drain_grace_ms", drain_grace, 0, max_drain_ms},
        {"drain_limit_ms", drain_limit, 0, max_drain_ms},
    }};
    settings.traffic_threads = static_cast<std::size_t>(std::max(1, threads));
    settings.drain_grace = millis{drain_grace};
    settings.drain_limit = millis{drain_limit};
    settings.allow_faults = absl::GetFlag(FLAGS_allow_faults);
    return check_numbers(numbers);
}

std::string read_site_settings(site_settings &settings) {
    std::array<text_setting, 8u> const texts{{
        {"name", &settings.name, is_name, name_rule},
        {"failure_domain", &settings.failure_domain, is_name, name_rule},
        {"callers_address", &settings.callers_address, is_address, address_rule},
        {"readiness_address", &settings.readiness_address, is_address, address_rule},
        {"peer_address", &settings.peer_address, is_address, address_rule},
        {"metrics_address", &settings.metrics_address, is_address_or_empty, address_rule},
        {"log_address", &settings.log_address, is_address, address_rule},
        {"adviser_address", &settings.adviser_address, is_address_or_empty, address_rule},
    }};
    if(auto error = read_texts(texts); !error.empty()) {
        return error;
    }
    auto const cores = absl::GetFlag(FLAGS_processor_share);
    if(!(cores >= 0.0 && cores <= max_cores)) {
        return setting_error("processor_share", std::to_string(cores), "from 0 to 1024");
    }
    auto const link = absl::GetFlag(FLAGS_link_mbps);
    if(!(link >= 0.0 && link <= max_link_mbps)) {
        return setting_error("link_mbps", std::to_string(link), "from 0 to 400000");
    }
    auto const lease_limit = absl::GetFlag(FLAGS_lease_limit_ms);
    auto const command_delay_limit = absl::GetFlag(FLAGS_command_delay_limit_ms);
    auto const status_time = absl::GetFlag(FLAGS_status_time_s);
    auto const shutdown_time = absl::GetFlag(FLAGS_shutdown_time_ms);
    std::array<number_check, 4u> const numbers{{
        {"lease_limit_ms", lease_limit, 1'000, max_drain_ms},
        {"command_delay_limit_ms", command_delay_limit, 0, max_drain_ms},
        {"status_time_s", status_time, 1, max_status_s},
        {"shutdown_time_ms", shutdown_time, 500, max_drain_ms},
    }};
    settings.processor_millicores = static_cast<std::uint32_t>(cores * millicores_per_core);
    settings.link_mbps = static_cast<std::uint32_t>(std::ceil(link));
    settings.lease_limit = millis{lease_limit};
    settings.command_delay_limit = millis{command_delay_limit};
    settings.status_time = std::chrono::seconds{status_time};
    settings.shutdown_time = millis{shutdown_time};
    return check_numbers(numbers);
}

} // namespace internal

std::optional<daemon_settings> read_settings(int const argc, char **argv, std::string &error) {
    absl::SetProgramUsageMessage(
        "Entry VM daemon of kingcuplink.\nEvery flag can also be set by an environment variable, such as "
        "KINGCUPLINK_HTTP_ADDRESS.\nExit codes: 0 after a graceful shutdown, 1 on failure, 2 on an invalid setting.");
    absl::FlagsUsageConfig usage;
    auto const is_own = [](absl::string_view const file) {
        return file.find("kingcuplink/daemon/") != absl::string_view::npos;
    };
    usage.contains_help_flags = is_own;
    usage.contains_helpshort_flags = is_own;
    absl::SetFlagsUsageConfig(usage);
    if(!internal::apply_environment(error)) {
        return std::nullopt;
    }
    auto const arguments = absl::ParseCommandLine(argc, argv);
    if(arguments.size() > 1u) {
        error = std::string{"unexpected argument '"} + arguments[1] + "': --help lists the flags";
        return std::nullopt;
    }
    daemon_settings settings;
    auto const platform = absl::GetFlag(FLAGS_platform);
    if(platform != "endpoints" && platform != "store") {
        error = internal::setting_error("platform", platform, "endpoints or store");
        return std::nullopt;
    }
    settings.platform = platform == "store" ? platform_kind::store : platform_kind::endpoints;
    error = settings.platform == platform_kind::store ? internal::read_site_settings(settings.site)
                                                      : internal::read_endpoint_settings(settings);
    return error.empty() ? std::optional{settings} : std::nullopt;
}

} // namespace kingcuplink
