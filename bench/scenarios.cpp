#include "scenarios.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <kingcuplink/core/hash.hpp>
#include <random>

namespace kingcuplink::bench {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(trouble::count)> trouble_names{
    "none", "overload", "rack_lost", "domain_out", "failing_workers", "cancellations", "wrong_sizes"};
constexpr double usual_load = 0.8;
constexpr double overload = 3.0;
constexpr double service_part = 0.2;
constexpr double mean_batch_run_ms = 60'000.0;
constexpr std::int64_t cores_per_worker = 64;
constexpr std::int64_t memory_per_core_mib = 4'096;
constexpr double wrong_by = 4.0;
/*! Failure domains in the fleet, one of which is taken out. */
constexpr std::size_t domains = 3u;

using random_source = std::mt19937_64;

double pick(random_source &random, double const least, double const most) {
    return std::uniform_real_distribution<double>{least, most}(random);
}

bool chance(random_source &random, double const part) {
    return pick(random, 0.0, 1.0) < part;
}

std::vector<team_quota> make_teams(fleet_size const &size) {
    std::vector<team_quota> teams;
    auto const workers = static_cast<std::int64_t>(size.workers);
    for(std::size_t pos{}; pos < size.teams; ++pos) {
        auto const share = pos % 6u == 0u ? 4 : pos % 6u < 3u ? 2 : 1;
        teams.push_back({.name = "t" + std::to_string(pos),
            .share = share,
            .ceiling = {
                workers * cores_per_worker * 800, workers * cores_per_worker * memory_per_core_mib, workers * 2}});
    }
    return teams;
}

resources pick_size(random_source &random, job_kind const kind) {
    static constexpr std::array<std::int64_t, 6u> cores{1, 2, 2, 4, 8, 16};
    auto const chosen = cores[std::uniform_int_distribution<std::size_t>{0u, kind == job_kind::gang ? 4u : 5u}(random)];
    auto const memory = static_cast<std::int64_t>(
        static_cast<double>(chosen * memory_per_core_mib) * pick(random, 0.3, 1.2));
    auto const accelerators = kind != job_kind::service && chance(random, 0.04) ? 1 : 0;
    return {chosen * 1'000, memory, accelerators};
}

replay_job make_job(random_source &random, scenario const &what, job_kind const kind, bool const is_wrong) {
    replay_job job;
    auto &spec = job.declared;
    auto const team = std::uniform_int_distribution<std::size_t>{0u, what.teams.size() - 1u}(random);
    spec.team = what.teams[team].name;
    spec.kind = kind;
    spec.name = std::string{name_of(kind)} + std::to_string(std::uniform_int_distribution<int>{0, 9}(random));
    spec.task_size = pick_size(random, kind);
    spec.count = kind == job_kind::gang ? std::uniform_int_distribution<int>{4, 24}(random)
        : kind == job_kind::batch       ? std::uniform_int_distribution<int>{1, 6}(random)
                                        : 2;
    spec.urgent = kind == job_kind::batch && chance(random, 0.03);
    spec.run_time = millis{static_cast<std::int64_t>(
        std::clamp(std::exponential_distribution<double>{1.0 / mean_batch_run_ms}(random), 2'000.0, 600'000.0))};
    if(spec.urgent) {
        spec.count = 1;
        spec.task_size = {1'000, memory_per_core_mib, 0};
        spec.run_time = millis{5'000};
    }
    job.true_run = spec.run_time;
    job.true_use = spec.task_size;
    if(is_wrong) {
        // Declarations are off alike for jobs of the same team and name, and a little for each job.
        random_source habit{stable_hash(spec.team + "/" + spec.name)};
        auto const factor = std::pow(wrong_by, pick(habit, -0.9, 0.9) + pick(random, -0.1, 0.1));
        job.true_run = millis{std::max<std::int64_t>(
            500, static_cast<std::int64_t>(static_cast<double>(spec.run_time.count()) * factor))};
        auto const use = std::pow(wrong_by, pick(habit, -0.9, 0.9) + pick(random, -0.1, 0.1));
        job.true_use.memory_mib = static_cast<std::int64_t>(static_cast<double>(spec.task_size.memory_mib) * use);
    }
    return job;
}

} // namespace

std::string_view name_of(trouble const what) noexcept {
    return trouble_names[static_cast<std::size_t>(what)];
}

scenario make_scenario(fleet_size const &size, trouble const what, millis const length, std::uint64_t const seed) {
    random_source random{seed};
    scenario result;
    result.name = std::string{size.name} + "/" + std::string{name_of(what)};
    result.workers = size.workers;
    result.teams = make_teams(size);
    result.end = instant{} + length;
    auto const capacity = static_cast<double>(size.workers * cores_per_worker);
    auto const is_wrong = what == trouble::wrong_sizes;
    auto service_cores = capacity * service_part;
    while(service_cores > 0.0) {
        auto job = make_job(random, result, job_kind::service, is_wrong);
        service_cores -= static_cast<double>(job.declared.task_size.millicores * job.declared.count) / 1'000.0;
        result.jobs.push_back(std::move(job));
    }
    auto const load = what == trouble::overload ? overload : usual_load - service_part;
    auto work = capacity * load * static_cast<double>(length.count());
    while(work > 0.0) {
        auto job = make_job(random, result, chance(random, 0.05) ? job_kind::gang : job_kind::batch, is_wrong);
        job.arrives = instant{} +
            millis{static_cast<std::int64_t>(pick(random, 0.0, static_cast<double>(length.count())))};
        job.always_fails = chance(random, 0.002);
        work -= static_cast<double>(job.declared.task_size.millicores * job.declared.count) / 1'000.0 *
            static_cast<double>(job.true_run.count());
        result.jobs.push_back(std::move(job));
    }
    auto const third = instant{} + length / 3;
    auto const half = instant{} + length / 2;
    switch(what) {
    case trouble::rack_lost:
        result.changes.push_back(
            {.at = third, .what = replay_change::kind::workers_lost, .first = 0u, .count = result.workers_per_rack});
        result.changes.push_back(
            {.at = half, .what = replay_change::kind::workers_back, .first = 0u, .count = result.workers_per_rack});
        break;
    case trouble::domain_out:
        result.changes.push_back(
            {.at = third, .what = replay_change::kind::workers_out, .first = 0u, .count = size.workers / domains});
        result.changes.push_back(
            {.at = half, .what = replay_change::kind::workers_back, .first = 0u, .count = size.workers / domains});
        break;
    case trouble::failing_workers:
        result.failing_percent = 10u;
        break;
    case trouble::cancellations:
        result.changes.push_back({.at = half, .what = replay_change::kind::cancel_half});
        break;
    default:
        break;
    }
    return result;
}

} // namespace kingcuplink::bench
