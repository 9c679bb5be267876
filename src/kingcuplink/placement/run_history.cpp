#include <algorithm>
#include <kingcuplink/placement/run_history.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::size_t history_limit = 16'384u;
constexpr double latest_weight = 0.3;
constexpr double ratio_floor = 0.05;
constexpr double ratio_ceiling = 20.0;

/*! Updates the moving average of a ratio with the latest value. */
void update_average(double &average, std::int64_t const actual, std::int64_t const declared) {
    if(declared > 0) {
        auto const ratio = static_cast<double>(actual) / static_cast<double>(declared);
        average += latest_weight * (std::clamp(ratio, ratio_floor, ratio_ceiling) - average);
    }
}

std::int64_t raise(std::int64_t const amount, double const ratio) {
    return ratio <= 1.0 ? amount : static_cast<std::int64_t>(ratio * static_cast<double>(amount));
}

std::string history_key(std::string_view const team, std::string_view const job) {
    std::string key{team};
    return key.append("/").append(job);
}

} // namespace internal

void run_history::record_run(
    std::string_view const team, std::string_view const job, millis const declared, millis const actual) {
    internal::update_average(insert(team, job).run_ratio, actual.count(), declared.count());
}

void run_history::record_use(
    std::string_view const team, std::string_view const job, resources const &declared, resources const &used) {
    auto &known = insert(team, job);
    internal::update_average(known.millicores_ratio, used.millicores, declared.millicores);
    internal::update_average(known.memory_ratio, used.memory_mib, declared.memory_mib);
}

millis run_history::expected_run(std::string_view const team, std::string_view const job, millis const declared) const {
    auto const *known = find(team, job);
    auto const ratio = known == nullptr ? 1.0 : known->run_ratio;
    return millis{static_cast<std::int64_t>(ratio * static_cast<double>(declared.count()))};
}

resources run_history::expected_size(
    std::string_view const team, std::string_view const job, resources const &declared) const {
    auto const *known = find(team, job);
    if(known == nullptr) {
        return declared;
    }
    return {internal::raise(declared.millicores, known->millicores_ratio),
        internal::raise(declared.memory_mib, known->memory_ratio), declared.accelerators};
}

run_history::entry const *run_history::find(std::string_view const team, std::string_view const job) const {
    if(entries_.empty()) {
        return nullptr;
    }
    auto const found = entries_.find(internal::history_key(team, job));
    return found == entries_.end() ? nullptr : &found->second;
}

run_history::entry &run_history::insert(std::string_view const team, std::string_view const job) {
    if(entries_.size() >= internal::history_limit) {
        entries_.erase(entries_.begin());
    }
    return entries_[internal::history_key(team, job)];
}

} // namespace kingcuplink
