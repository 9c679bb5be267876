// Replays job lists against the placement package and its baselines; writes CSV.
#include "quantile.hpp"
#include "scenarios.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <array>
#include <cstdio>
#include <numeric>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of all random choices.");
ABSL_FLAG(int, minutes, 20, "Length of a scenario in virtual minutes.");
ABSL_FLAG(std::string, size, "", "One of dimaculangan, ege-kafes, domain, half, plan, double; empty for all.");
ABSL_FLAG(std::string, trouble, "", "One trouble; empty for all.");
ABSL_FLAG(std::string, policy, "",
    "One of kingcuplink, first_come, fair_only, no_preemption, no_reservations; empty for all.");

namespace {

using namespace kingcuplink;
using namespace kingcuplink::bench;

struct policy_row {
    std::string_view name;
    scheduler_options options;
};

constexpr std::array<fleet_size, 6u> sizes{{{"dimaculangan", 48u, 6u}, {"ege-kafes", 48u, 6u}, {"domain", 162u, 39u},
    {"half", 650u, 39u}, {"plan", 1'300u, 39u}, {"double", 2'600u, 39u}}};
constexpr std::array<policy_row, 5u> policies{{
    {"kingcuplink", {}},
    {"first_come",
        {.fair_order = false,
            .tight_fit = false,
            .backfill = true,
            .preemption = false,
            .reservations = false,
            .urgent_first = false,
            .learn_from_history = false}},
    {"fair_only",
        {.fair_order = true,
            .tight_fit = false,
            .backfill = false,
            .preemption = false,
            .reservations = false,
            .urgent_first = true,
            .learn_from_history = false}},
    {"no_preemption", {.preemption = false}},
    {"no_reservations", {.reservations = false}},
}};

double sum(std::vector<double> const &values) {
    return std::accumulate(values.begin(), values.end(), 0.0);
}

void print_row(std::string const &scenario_name, std::string_view const policy, replay_result const &result) {
    auto const wait = [&](std::string const &kind, double const part) {
        auto const found = result.waits.find(kind);
        return found == result.waits.end() ? 0.0 : quantile(found->second, part);
    };
    std::printf("%s,%.*s,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.4f,%.4f,%.4f,%.4f,%.4f,%.1f,%lld,%lld,%.2f,%lld,%"
                "lld,%lld,%.0f,%.1f,%.1f,%zu\n",
        scenario_name.c_str(), static_cast<int>(policy.size()), policy.data(), wait("urgent", 0.5),
        wait("urgent", 0.999), wait("batch", 0.5), wait("batch", 0.95), wait("batch", 0.99), wait("gang", 0.5),
        wait("gang", 0.99), wait("service", 0.99), result.cores_used, result.memory_used, result.accelerators_used,
        result.share_distance, result.share_distance_p95, result.work_done_core_hours,
        static_cast<long long>(result.starts), static_cast<long long>(result.preemptions), result.lost_core_hours,
        static_cast<long long>(result.jobs_succeeded), static_cast<long long>(result.jobs_failed),
        static_cast<long long>(result.jobs_unfinished),
        result.plan_seconds > 0.0 ? static_cast<double>(result.starts) / (sum(result.round_us) / 1e6) : 0.0,
        quantile(result.start_us, 0.5), quantile(result.round_us, 0.99), result.breaches.size());
    std::fflush(stdout);
}

bool is_wanted(std::string const &chosen, std::string_view const name) {
    return chosen.empty() || chosen == name;
}

} // namespace

int main(int argc, char **argv) {
    absl::ParseCommandLine(argc, argv);
    std::puts("scenario,policy,urgent_p50_ms,urgent_p999_ms,batch_p50_ms,batch_p95_ms,batch_p99_ms,gang_p50_ms,gang_"
              "p99_ms,service_p99_ms,"
              "cores_used,memory_used,accelerators_used,share_distance,share_distance_p95,work_core_hours,starts,"
              "preemptions,lost_core_hours,"
              "jobs_succeeded,jobs_failed,jobs_unfinished,placements_per_second,start_p50_us,round_p99_us,breaches");
    auto const length = millis{absl::GetFlag(FLAGS_minutes) * 60'000};
    std::size_t breaches{};
    for(auto const &size: sizes) {
        for(std::size_t pos{}; pos < static_cast<std::size_t>(trouble::count); ++pos) {
            auto const what = static_cast<trouble>(pos);
            if(!is_wanted(absl::GetFlag(FLAGS_size), size.name) ||
                !is_wanted(absl::GetFlag(FLAGS_trouble), name_of(what))) {
                continue;
            }
            auto const seed = absl::GetFlag(FLAGS_seed) + (size.name == "ege-kafes" ? 1'000u : 0u);
            auto const made = make_scenario(size, what, length, seed);
            for(auto const &policy: policies) {
                if(is_wanted(absl::GetFlag(FLAGS_policy), policy.name)) {
                    auto const result = run_replay(made, policy.options);
                    breaches += result.breaches.size();
                    print_row(made.name, policy.name, result);
                }
            }
        }
    }
    return breaches == 0u ? 0 : 1;
}
