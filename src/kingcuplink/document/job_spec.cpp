#include <algorithm>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/json_reader.hpp>
#include <kingcuplink/document/job_spec.hpp>

namespace kingcuplink {

namespace internal {

constexpr number_range count_range{1, config::tasks_per_job};
constexpr number_range run_time_range{1, 1'000'000'000};
constexpr std::int64_t default_run_time_ms = 60'000;

std::int64_t tasks_that_fit(failure_domain const &domain, resources const &size) {
    std::int64_t count{};
    for(auto const &worker: domain.workers) {
        auto fitting = config::tasks_per_job;
        auto const limit = [&fitting](std::int64_t const free, std::int64_t const need) {
            fitting = need > 0 ? std::min(fitting, free / need) : fitting;
        };
        limit(worker.size.millicores, size.millicores);
        limit(worker.size.memory_mib, size.memory_mib);
        limit(worker.size.accelerators, size.accelerators);
        count += fitting;
    }
    return count;
}

std::string describe(resources const &amount) {
    return std::to_string(amount.millicores) + " millicores, " + std::to_string(amount.memory_mib) + " MiB, " +
        std::to_string(amount.accelerators) + " accelerators";
}

} // namespace internal

result<job_spec> parse_job(boost::json::value const &value, std::string team) {
    BOOST_LEAF_AUTO(reader, json_reader::open(value, "job", refusal::job_malformed));
    BOOST_LEAF_CHECK(
        reader.check_field_names({"name", "kind", "count", "task_size", "run_time_ms", "urgent", "repeatable"}));
    job_spec spec;
    spec.team = std::move(team);
    BOOST_LEAF_ASSIGN(spec.name, reader.text("name"));
    BOOST_LEAF_AUTO(kind_name, reader.text("kind"));
    auto const kind = job_kind_of(kind_name);
    if(!kind) {
        return reader.field_error("kind", "service, batch or gang");
    }
    spec.kind = *kind;
    BOOST_LEAF_ASSIGN(spec.count, reader.number_or("count", internal::count_range, 1));
    auto const *size = reader.find("task_size");
    if(size == nullptr) {
        return reader.field_error("task_size", "an object with cores, memory_gib and accelerators");
    }
    BOOST_LEAF_ASSIGN(spec.task_size, parse_resources(*size, "job.task_size", refusal::job_malformed));
    if(spec.task_size.millicores == 0) {
        return reader.field_error("task_size", "at least one millicore");
    }
    BOOST_LEAF_AUTO(run_time, reader.number_or("run_time_ms", internal::run_time_range, internal::default_run_time_ms));
    spec.run_time = millis{run_time};
    BOOST_LEAF_ASSIGN(spec.urgent, reader.flag_or("urgent", false));
    BOOST_LEAF_ASSIGN(spec.repeatable, reader.flag_or("repeatable", true));
    return spec;
}

boost::json::object to_json(job_spec const &spec) {
    return {{"name", spec.name}, {"kind", name_of(spec.kind)}, {"count", spec.count},
        {"task_size", to_json(spec.task_size)}, {"run_time_ms", spec.run_time.count()}, {"urgent", spec.urgent},
        {"repeatable", spec.repeatable}};
}

result<void> check_job(job_spec const &spec, document const &rules) {
    auto const *team = find_team(rules, spec.team);
    if(team == nullptr) {
        return refuse(refusal::key_unknown, "team '" + spec.team + "' is not in the document");
    }
    auto const concurrent_tasks = spec.kind == job_kind::gang ? spec.count : 1;
    if(!fits(spec.task_size * concurrent_tasks, team->ceiling)) {
        return refuse(refusal::job_over_ceiling,
            "job.task_size: " + internal::describe(spec.task_size * concurrent_tasks) + " at once, the ceiling of '" +
                spec.team + "' is " + internal::describe(team->ceiling));
    }
    std::int64_t max_tasks{};
    for(auto const &domain: rules.failure_domains) {
        if(domain.state != domain_state::lost) {
            max_tasks = std::max(max_tasks, internal::tasks_that_fit(domain, spec.task_size));
        }
    }
    if(max_tasks < concurrent_tasks) {
        return refuse(refusal::job_never_fits,
            "job.task_size: " + std::to_string(concurrent_tasks) + " tasks of " + internal::describe(spec.task_size) +
                ", the largest failure domain holds " + std::to_string(max_tasks));
    }
    return {};
}

} // namespace kingcuplink
