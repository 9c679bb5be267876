#include <kingcuplink/daemon/domain_leader.hpp>

namespace kingcuplink {

api_answer domain_leader::describe(std::string const &key) const {
    auto const job = scheduler_.job_of(key);
    if(job && scheduler_.find(*job)->state != job_state::moved) {
        return {.body = describe(*job)};
    }
    auto const &entries = dependencies_.jobs.ledger().entries();
    auto const entry = entries.find(key);
    if(entry == entries.end() || (!entry->second.accepted && entry->second.ended.empty())) {
        return {.refused = problem{refusal::job_unknown, key}};
    }
    auto const &recorded = entry->second;
    boost::json::object body{{"job", key}, {"name", recorded.spec.name}, {"team", recorded.spec.team},
        {"failure_domain", dependencies_.settings.failure_domain}};
    body["state"] = !recorded.moved_to.empty() ? "moved" : recorded.ended.empty() ? "queued" : recorded.ended.c_str();
    if(!recorded.moved_to.empty()) {
        body["moved_to"] = recorded.moved_to;
    }
    return {.body = std::move(body)};
}

boost::json::object domain_leader::describe(job_id const job) const {
    auto const &record = *scheduler_.find(job);
    boost::json::array tasks;
    for(auto const task: record.tasks) {
        auto const &item = *scheduler_.find(task);
        boost::json::object entry{{"ordinal", item.ordinal}, {"state", name_of(item.state)}, {"attempt", item.attempt}};
        if(auto const *worker = scheduler_.find(item.worker); worker != nullptr) {
            entry["worker"] = worker->name;
        }
        tasks.push_back(std::move(entry));
    }
    return {{"job", record.key}, {"name", record.spec.name}, {"team", record.spec.team},
        {"kind", name_of(record.spec.kind)}, {"state", name_of(record.state)}, {"reason", record.reason},
        {"urgent", record.spec.urgent}, {"failure_domain", dependencies_.settings.failure_domain},
        {"accepted_at_ms", record.accepted_at.time_since_epoch().count()},
        {"first_start_ms", record.first_start.time_since_epoch().count()}, {"tasks", std::move(tasks)}};
}

boost::json::array domain_leader::list(std::string const &team) const {
    boost::json::array jobs;
    for(auto const job: scheduler_.jobs()) {
        auto const &record = *scheduler_.find(job);
        if(!team.empty() && record.spec.team != team) {
            continue;
        }
        jobs.push_back(boost::json::object{{"job", record.key}, {"name", record.spec.name}, {"team", record.spec.team},
            {"kind", name_of(record.spec.kind)}, {"state", name_of(record.state)}, {"tasks", record.spec.count},
            {"on_workers", record.on_workers}, {"failure_domain", dependencies_.settings.failure_domain}});
    }
    return jobs;
}

boost::json::object domain_leader::status() const {
    auto const now = current_time();
    std::int64_t held{};
    for(auto const &[name, slot]: slots_) {
        held += holds_.is_held(slot.id, now) ? 1 : 0;
    }
    std::int64_t queued{};
    boost::json::array teams;
    for(auto const id: scheduler_.teams()) {
        auto const &team = *scheduler_.find(id);
        queued += team.queued_jobs;
        teams.push_back(boost::json::object{{"team", team.name}, {"share", team.share},
            {"in_use", to_json(team.charged)}, {"queued_jobs", team.queued_jobs}});
    }
    return {{"term", static_cast<std::int64_t>(term_)}, {"workers", static_cast<std::int64_t>(slots_.size())},
        {"workers_held", held}, {"queued_jobs", queued},
        {"running_tasks", static_cast<std::int64_t>(task_uses_.size())}, {"size", to_json(scheduler_.total())},
        {"teams", std::move(teams)}, {"recovered", recovered_ && !has_withheld_tasks_}};
}

} // namespace kingcuplink
