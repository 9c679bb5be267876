#include <algorithm>
#include <array>
#include <kingcuplink/authority/job_ledger.hpp>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/json_reader.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 6u> event_kind_names{
    "accepted", "cancel_requested", "start_intended", "task_final", "job_ended", "moved"};
constexpr number_range any_number{0, std::int64_t{1} << 53};

result<job_event_kind> parse_kind(json_reader const &reader) {
    BOOST_LEAF_AUTO(name, reader.text("event"));
    for(std::size_t pos{}; pos < event_kind_names.size(); ++pos) {
        if(event_kind_names[pos] == name) {
            return static_cast<job_event_kind>(pos);
        }
    }
    return reader.field_error("event", "the name of a job event");
}

} // namespace internal

boost::json::object to_json(job_event const &event) {
    boost::json::object object{
        {"event", internal::event_kind_names[static_cast<std::size_t>(event.kind)]}, {"job", event.job}};
    switch(event.kind) {
    case job_event_kind::accepted:
        object["spec"] = to_json(event.spec);
        object["team"] = event.spec.team;
        object["generation"] = event.generation;
        object["at"] = event.at.time_since_epoch().count();
        break;
    case job_event_kind::start_intended:
        object["ordinal"] = event.ordinal;
        object["attempt"] = event.attempt;
        object["place"] = event.place;
        break;
    case job_event_kind::task_final:
        object["ordinal"] = event.ordinal;
        object["state"] = event.state;
        break;
    case job_event_kind::job_ended:
        object["generation"] = event.generation;
        object["state"] = event.state;
        break;
    case job_event_kind::moved:
        object["generation"] = event.generation;
        object["place"] = event.place;
        break;
    case job_event_kind::cancel_requested:
        break;
    }
    return object;
}

result<job_event> parse_job_event(boost::json::value const &value) {
    BOOST_LEAF_AUTO(reader, json_reader::open(value, "event", refusal::job_malformed));
    job_event event;
    BOOST_LEAF_ASSIGN(event.kind, internal::parse_kind(reader));
    BOOST_LEAF_ASSIGN(event.job, reader.text("job"));
    BOOST_LEAF_AUTO(at, reader.number_or("at", internal::any_number, 0));
    event.at = instant{millis{at}};
    BOOST_LEAF_ASSIGN(event.ordinal, reader.number_or("ordinal", internal::any_number, 0));
    BOOST_LEAF_AUTO(attempt, reader.number_or("attempt", internal::any_number, 0));
    event.attempt = static_cast<std::uint32_t>(attempt);
    BOOST_LEAF_AUTO(generation, reader.number_or("generation", internal::any_number, 0));
    event.generation = static_cast<std::uint32_t>(generation);
    BOOST_LEAF_ASSIGN(event.place, reader.text_or("place", ""));
    BOOST_LEAF_ASSIGN(event.state, reader.text_or("state", ""));
    if(event.kind == job_event_kind::accepted) {
        BOOST_LEAF_AUTO(team, reader.text("team"));
        auto const *spec = reader.find("spec");
        if(spec == nullptr) {
            return reader.field_error("spec", "an object");
        }
        BOOST_LEAF_ASSIGN(event.spec, parse_job(*spec, std::move(team)));
    }
    return event;
}

void job_ledger::apply(job_event const &event) {
    auto &entry = entries_[event.job];
    switch(event.kind) {
    case job_event_kind::accepted:
        if(!entry.accepted || event.generation > entry.generation) {
            auto const is_newer = event.generation > entry.generation;
            entry.spec = event.spec;
            entry.accepted_at = event.at;
            entry.accepted = true;
            entry.generation = std::max(entry.generation, event.generation);
            if(is_newer) {
                entry.moved_to.clear();
                entry.ended.clear();
            }
        }
        break;
    case job_event_kind::cancel_requested:
        entry.cancel_requested = true;
        break;
    case job_event_kind::start_intended:
        if(entry.ended.empty() && event.attempt > entry.tasks[event.ordinal].attempt) {
            entry.tasks[event.ordinal].attempt = event.attempt;
            entry.tasks[event.ordinal].worker = event.place;
        }
        break;
    case job_event_kind::task_final:
        if(entry.ended.empty()) {
            entry.tasks[event.ordinal].final_state = event.state;
        }
        break;
    case job_event_kind::job_ended:
        if(entry.ended.empty() && event.generation >= entry.generation) {
            entry.ended = event.state;
            entry.tasks.clear();
            record_ended(event.job);
        }
        break;
    case job_event_kind::moved:
        if(entry.moved_to.empty() && event.generation >= entry.generation) {
            entry.generation = event.generation;
            entry.moved_to = event.place;
        }
        break;
    }
}

void job_ledger::record_ended(std::string const &job) {
    ended_order_.push_back(job);
    if(ended_order_.size() > config::ended_jobs_kept) {
        auto const oldest = entries_.find(ended_order_.front());
        if(oldest != entries_.end() && !oldest->second.ended.empty()) {
            entries_.erase(oldest);
        }
        ended_order_.pop_front();
    }
}

ledger_entry const *job_ledger::find(std::string const &job) const {
    auto const found = entries_.find(job);
    return found == entries_.end() ? nullptr : &found->second;
}

std::map<std::string, ledger_entry> const &job_ledger::entries() const noexcept {
    return entries_;
}

std::vector<job_event> job_ledger::events_of(std::string const &job, ledger_entry const &entry) {
    std::vector<job_event> list;
    if(entry.accepted) {
        list.push_back({.kind = job_event_kind::accepted,
            .job = job,
            .spec = entry.spec,
            .at = entry.accepted_at,
            .generation = entry.generation});
    }
    if(entry.cancel_requested) {
        list.push_back({.kind = job_event_kind::cancel_requested, .job = job});
    }
    for(auto const &[ordinal, task]: entry.tasks) {
        if(task.attempt > 0u) {
            list.push_back({.kind = job_event_kind::start_intended,
                .job = job,
                .ordinal = ordinal,
                .attempt = task.attempt,
                .place = task.worker});
        }
        if(!task.final_state.empty()) {
            list.push_back(
                {.kind = job_event_kind::task_final, .job = job, .ordinal = ordinal, .state = task.final_state});
        }
    }
    if(!entry.moved_to.empty()) {
        list.push_back(
            {.kind = job_event_kind::moved, .job = job, .place = entry.moved_to, .generation = entry.generation});
    }
    if(!entry.ended.empty()) {
        list.push_back(
            {.kind = job_event_kind::job_ended, .job = job, .state = entry.ended, .generation = entry.generation});
    }
    return list;
}

std::vector<job_event> job_ledger::events() const {
    std::vector<job_event> list;
    for(auto const &[job, entry]: entries_) {
        auto const part = events_of(job, entry);
        list.insert(list.end(), part.begin(), part.end());
    }
    return list;
}

void job_ledger::clear() {
    entries_.clear();
    ended_order_.clear();
}

} // namespace kingcuplink
