#include "site_record.hpp"

#include <boost/json/parse.hpp>
#include <chrono>
#include <iostream>

namespace kingcuplink::standin {

namespace {

std::string run_name(run_key const &key) {
    return key.job + " step " + std::to_string(key.step) + " task " + std::to_string(key.index) + " run " +
        std::to_string(key.run);
}

} // namespace

void log_event(std::string_view const what, std::string_view const name) {
    auto const since = std::chrono::system_clock::now().time_since_epoch();
    std::cout << std::chrono::duration_cast<std::chrono::milliseconds>(since).count() << " " << what << ": " << name
              << std::endl;
}

std::vector<scripted_step> parse_steps(std::string const &spec) {
    std::vector<scripted_step> steps;
    auto const rows = boost::json::parse(spec);
    for(auto const &item: rows.as_array()) {
        auto const &row = item.as_object();
        scripted_step step;
        step.count = row.at("count").to_number<std::uint32_t>();
        step.millicores = row.at("millicores").to_number<std::int64_t>();
        step.run_ms = row.at("run_ms").to_number<std::int64_t>();
        step.gang = row.at("gang").as_bool();
        for(auto const &before: row.at("after").as_array()) {
            step.after.push_back(before.to_number<std::uint32_t>());
        }
        steps.push_back(std::move(step));
    }
    return steps;
}

void site_record::breach(std::string text) {
    breaches_.push_back(std::move(text));
}

bool site_record::is_step_done(std::string const &job, std::uint32_t const step, scripted_step const &what) const {
    for(std::uint32_t index{}; index < what.count; ++index) {
        auto const found = tasks_.find({job, step, index});
        if(found != tasks_.end() && found->second.has_succeeded) {
            // The success of one member counts for its gang.
            if(what.gang) {
                return true;
            }
        } else if(!what.gang) {
            return false;
        }
    }
    return !what.gang;
}

void site_record::started(run_key const &key, std::vector<scripted_step> const &steps, std::string const &worker) {
    ++starts_;
    started_jobs_.insert(key.job);
    auto const name = run_name(key) + " on " + worker;
    log_event("started", name);
    auto &task = tasks_[{key.job, key.step, key.index}];
    if(!task.running.empty()) {
        breach("concurrent runs of one task: " + name + " and run " + std::to_string(*task.running.begin()));
    }
    if(task.is_success_acknowledged) {
        breach("started after its success was acknowledged: " + name);
    }
    // The same run starts again only in a later boot, which has lost the earlier end.
    task.starts_after_success.erase(key.run);
    for(auto &[run, starts]: task.starts_after_success) {
        starts.push_back(name);
    }
    for(auto const before: steps.at(key.step).after) {
        if(!is_step_done(key.job, before, steps.at(before))) {
            breach("started before step " + std::to_string(before) + " was done: " + name);
        }
    }
    task.running.insert(key.run);
}

void site_record::ended(run_key const &key, run_outcome const how) {
    log_event(name_of(how), run_name(key));
    auto &task = tasks_[{key.job, key.step, key.index}];
    task.running.erase(key.run);
    if(how == run_outcome::done) {
        task.has_succeeded = true;
        task.starts_after_success[key.run];
    }
}

void site_record::acknowledged(run_key const &key, run_outcome const how) {
    log_event("end acknowledged", run_name(key));
    if(how == run_outcome::done) {
        auto &task = tasks_[{key.job, key.step, key.index}];
        task.is_success_acknowledged = true;
        for(auto const &start: task.starts_after_success[key.run]) {
            breach("started after its success, which was acknowledged later: " + start);
        }
        task.starts_after_success.erase(key.run);
    }
}

void site_record::started_after_lease_expiry(
    run_key const &key, std::string const &worker, std::int64_t const held_ms) {
    breach("started after its lease expired: " + run_name(key) + " on " + worker + ", delayed by " +
        std::to_string(held_ms) + " ms");
}

void site_record::overcommitted(std::string const &worker, std::int64_t const millicores) {
    breach("overcommitted: " + worker + " has runs of " + std::to_string(millicores) + " millicores");
}

boost::json::value site_record::as_json() const {
    boost::json::array breaches;
    for(auto const &text: breaches_) {
        breaches.emplace_back(text);
    }
    boost::json::array jobs;
    for(auto const &job: started_jobs_) {
        jobs.emplace_back(job);
    }
    std::size_t running{};
    for(auto const &[id, task]: tasks_) {
        running += task.running.size();
    }
    return boost::json::object{{"breaches", std::move(breaches)}, {"started_jobs", std::move(jobs)},
        {"starts", starts_}, {"running", running}};
}

} // namespace kingcuplink::standin
