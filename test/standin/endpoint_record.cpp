#include "endpoint_record.hpp"

#include "http_service.hpp"

namespace kingcuplink::standin {

void endpoint_record::set_ceilings(std::vector<team_quota> const &teams) {
    ceilings_.clear();
    for(auto const &team: teams) {
        ceilings_[team.name] = team.ceiling;
    }
}

void endpoint_record::forbid_starts(std::set<std::string> domains, std::int64_t const from_ms) {
    forbidden_.clear();
    for(auto const &domain: domains) {
        forbidden_[domain] = from_ms;
    }
}

void endpoint_record::breach(std::string text) {
    breaches_.push_back(std::to_string(clock_ms()) + " " + std::move(text));
}

void endpoint_record::task_started(std::string const &domain, std::string const &worker, resources const &worker_size,
    resources const &used_with_it, std::string const &task, std::uint32_t const attempt, std::string const &team,
    resources const &size) {
    ++starts_;
    task_runs_[task].push_back(boost::json::object{{"worker", worker}, {"attempt", attempt}, {"at", clock_ms()}});
    if(!fits(used_with_it, worker_size)) {
        breach("overcommit on " + worker + " by " + task);
    }
    if(auto const [entry, added] = running_on_.emplace(task, worker); !added) {
        breach("two places: " + task + " on " + entry->second + " and " + worker);
    }
    in_use_[team] += size;
    peak_use_[team] = max_of(peak_use_[team], in_use_[team]);
    if(auto const ceiling = ceilings_.find(team); ceiling != ceilings_.end() && !fits(in_use_[team], ceiling->second)) {
        breach("ceiling of " + team + " passed by " + task + " on " + worker);
    }
    if(auto const from = forbidden_.find(domain); from != forbidden_.end() && clock_ms() >= from->second) {
        breach("start in a failure domain that is out: " + task + " on " + worker);
    }
}

void endpoint_record::task_ended(std::string const &worker, std::string const &task, std::string const &team,
    resources const &size, std::string const &how) {
    in_use_[team] -= size;
    if(auto const entry = running_on_.find(task); entry != running_on_.end() && entry->second == worker) {
        running_on_.erase(entry);
    }
    task_runs_[task].push_back(boost::json::object{{"worker", worker}, {"ended", how}, {"at", clock_ms()}});
}

void endpoint_record::request_began(
    std::string const &runner, std::string const &id, std::int64_t const running, std::int64_t const slots) {
    ++requests_;
    ++running_requests_;
    ++request_runs_[id];
    if(running > slots) {
        breach("runner " + runner + " above its slots");
    }
}

void endpoint_record::request_ended() {
    --running_requests_;
}

boost::json::value endpoint_record::to_json() const {
    boost::json::array breaches(breaches_.begin(), breaches_.end());
    boost::json::object runs;
    for(auto const &[task, list]: task_runs_) {
        runs.emplace(task, boost::json::array(list.begin(), list.end()));
    }
    boost::json::object requests;
    for(auto const &[id, count]: request_runs_) {
        requests.emplace(id, count);
    }
    boost::json::object running;
    for(auto const &[task, worker]: running_on_) {
        running.emplace(task, worker);
    }
    boost::json::object peaks;
    for(auto const &[team, use]: peak_use_) {
        peaks.emplace(team, kingcuplink::to_json(use));
    }
    return boost::json::object{{"breaches", std::move(breaches)}, {"starts", starts_}, {"requests", requests_},
        {"running_requests", running_requests_}, {"running", std::move(running)}, {"peaks", std::move(peaks)},
        {"task_runs", std::move(runs)}, {"request_runs", std::move(requests)}, {"now", clock_ms()}};
}

} // namespace kingcuplink::standin
