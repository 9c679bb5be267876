#include <algorithm>
#include <glog/logging.h>
#include <kingcuplink/daemon/domain_leader.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

constexpr millis adoption_interval{2'000};

bool is_live(ledger_entry const &entry) {
    return entry.accepted && entry.ended.empty() && entry.moved_to.empty();
}

/*! Returns the events that move all live jobs of a ledger to a failure domain. */
std::vector<job_event> make_move_events(std::string const &domain, job_ledger const &ledger) {
    std::vector<job_event> moves;
    for(auto const &[key, entry]: ledger.entries()) {
        if(is_live(entry)) {
            moves.push_back(
                {.kind = job_event_kind::moved, .job = key, .place = domain, .generation = entry.generation});
        }
    }
    return moves;
}

} // namespace internal

boost::asio::awaitable<void> domain_leader::run_adoption([[maybe_unused]] self_pointer self) {
    while(!ended_) {
        co_await pause(internal::adoption_interval);
        auto const rules = rules_;
        for(auto const &domain: rules->failure_domains) {
            if(domain.state != domain_state::lost) {
                adopted_domains_.erase(domain.name);
                continue;
            }
            auto const is_other = domain.name != dependencies_.settings.failure_domain;
            if(is_other && journal_read_ && !ended_ && !adopted_domains_.contains(domain.name) &&
                co_await adopt_jobs_of(domain.name)) {
                adopted_domains_.insert(domain.name);
            }
        }
    }
}

bool domain_leader::is_adopter() const {
    auto const now = current_time();
    for(auto const &domain: rules_->failure_domains) {
        if(domain.name == dependencies_.settings.failure_domain) {
            return domain.state == domain_state::in;
        }
        if(domain.state == domain_state::in && !dependencies_.peers.leader_of(domain.name, now).empty()) {
            return false;
        }
    }
    return false;
}

boost::asio::awaitable<bool> domain_leader::adopt_jobs_of(std::string domain) {
    auto ledger = co_await dependencies_.jobs.read_journal_of(domain);
    if(!ledger || ended_) {
        co_return false;
    }
    if(auto moves = internal::make_move_events(dependencies_.settings.failure_domain, *ledger); !moves.empty()) {
        if(!is_adopter() || !co_await dependencies_.jobs.append_to_journal_of(domain, std::move(moves))) {
            co_return false;
        }
        // If two failure domains adopt a job concurrently, the first event in the log wins.
        ledger = co_await dependencies_.jobs.read_journal_of(domain);
    }
    auto complete = ledger.has_value();
    if(complete) {
        for(auto const &[key, entry]: ledger->entries()) {
            complete = co_await adopt_job(key, entry) && complete;
        }
    }
    co_return complete && !ended_;
}

boost::asio::awaitable<bool> domain_leader::adopt_job(std::string key, ledger_entry entry) {
    if(!entry.accepted || !entry.ended.empty() || entry.moved_to != dependencies_.settings.failure_domain) {
        co_return true;
    }
    if(auto const *own = dependencies_.jobs.ledger().find(key); own != nullptr && own->generation > entry.generation) {
        co_return true;
    }
    entry.moved_to.clear();
    ++entry.generation;
    boost::json::array events;
    for(auto const &item: job_ledger::events_of(key, entry)) {
        events.push_back(to_json(item));
    }
    LOG(WARNING) << "leader: adopting job of a lost failure domain job=" << key;
    auto const answer = co_await take_over_job(std::move(events), takeover_origin::adopted);
    if(!answer.refused) {
        dependencies_.stats.add(event::job_adopted);
    }
    co_return !answer.refused;
}

} // namespace kingcuplink
