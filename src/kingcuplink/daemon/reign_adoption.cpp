#include <algorithm>
#include <glog/logging.h>
#include <kingcuplink/daemon/domain_reign.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

constexpr millis adoption_interval{2'000};

bool is_live(ledger_entry const &entry) {
    return entry.accepted && entry.ended.empty() && entry.moved_to.empty();
}

/*! Returns events that give all live jobs of a book to a failure domain. */
std::vector<job_event> moves_to(std::string const &domain, job_ledger const &ledger) {
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

boost::asio::awaitable<void> domain_reign::run_adoption([[maybe_unused]] self_pointer self) {
    while(!over_) {
        co_await pause(internal::adoption_interval);
        auto const rules = rules_;
        for(auto const &domain: rules->failure_domains) {
            if(domain.state != domain_state::lost) {
                adopted_.erase(domain.name);
                continue;
            }
            auto const is_other = domain.name != parts_.settings.failure_domain;
            if(is_other && journal_read_ && !over_ && !adopted_.contains(domain.name) &&
                co_await adopt_jobs_of(domain.name)) {
                adopted_.insert(domain.name);
            }
        }
    }
}

bool domain_reign::is_adopter() const {
    auto const now = current_time();
    for(auto const &domain: rules_->failure_domains) {
        if(domain.name == parts_.settings.failure_domain) {
            return domain.state == domain_state::in;
        }
        if(domain.state == domain_state::in && !parts_.peers.leader_of(domain.name, now).empty()) {
            return false;
        }
    }
    return false;
}

boost::asio::awaitable<bool> domain_reign::adopt_jobs_of(std::string domain) {
    auto ledger = co_await parts_.jobs.read_journal_of(domain);
    if(!ledger || over_) {
        co_return false;
    }
    if(auto moves = internal::moves_to(parts_.settings.failure_domain, *ledger); !moves.empty()) {
        if(!is_adopter() || !co_await parts_.jobs.append_to_journal_of(domain, std::move(moves))) {
            co_return false;
        }
        // Of two that adopt at once the first in the log has the job.
        ledger = co_await parts_.jobs.read_journal_of(domain);
    }
    auto complete = ledger.has_value();
    if(complete) {
        for(auto const &[key, entry]: ledger->entries()) {
            complete = co_await adopt_job(key, entry) && complete;
        }
    }
    co_return complete && !over_;
}

boost::asio::awaitable<bool> domain_reign::adopt_job(std::string key, ledger_entry entry) {
    if(!entry.accepted || !entry.ended.empty() || entry.moved_to != parts_.settings.failure_domain) {
        co_return true;
    }
    if(auto const *own = parts_.jobs.ledger().find(key); own != nullptr && own->generation > entry.generation) {
        co_return true;
    }
    entry.moved_to.clear();
    ++entry.generation;
    boost::json::array events;
    for(auto const &item: job_ledger::events_of(key, entry)) {
        events.push_back(to_json(item));
    }
    LOG(WARNING) << "leader: adopting a job of a lost failure domain job=" << key;
    auto const answer = co_await take_over_job(std::move(events), takeover_origin::adopted);
    if(!answer.refused) {
        parts_.stats.add(event::job_adopted);
    }
    co_return !answer.refused;
}

} // namespace kingcuplink
