#include "simulated_adviser.hpp"

#include "simulated_fleet.hpp"

#include <algorithm>
#include <kingcuplink/site/timing.hpp>
#include <memory>
#include <optional>
#include <random>
#include <utility>
#include <vector>

namespace kingcuplink::test {

namespace {

/*! Fixed part of the duration of a query, and the part for each worker that it names. */
constexpr millis query_base{12};
constexpr std::int64_t query_us_per_worker{200};
/*! Share of the workers that are approved for a step, in percent. */
constexpr std::uint32_t approved_percent{70};
/*! Number of workers that are approved for all steps; the largest gang fits on them, so that no step waits forever. */
constexpr std::size_t workers_for_all_steps{2u};

} // namespace

advice_terms advice_terms_of(ticket_terms const &tickets) {
    return {query_base, query_us_per_worker, tickets.validity};
}

bool simulated_adviser::approves(std::string const &job, std::uint32_t const step, std::string const &worker) const {
    auto const text = std::to_string(seed_) + " " + job + "." + std::to_string(step) + " " + worker;
    std::seed_seq seeds(text.begin(), text.end());
    std::mt19937 random{seeds};
    return random() % 100u < approved_percent;
}

std::string simulated_adviser::issue(
    std::string const &job, std::uint32_t const step, simulated_worker const &worker, instant const now) {
    auto ticket = "ticket " + std::to_string(tickets_.size() + 1u);
    tickets_.emplace(ticket, issued_ticket{job, step, worker.name(), worker.boot(), now});
    return ticket;
}

bool simulated_adviser::is_valid(
    std::string const &ticket, run_key const &key, simulated_worker const &worker, instant const now) const {
    auto const found = tickets_.find(ticket);
    if(found == tickets_.end()) {
        return false;
    }
    auto const &issued = found->second;
    auto const is_boot = !terms_.names_boot || issued.boot == worker.boot();
    return issued.job == key.job && issued.step == key.step && issued.worker == worker.name() && is_boot &&
        now <= issued.issued_at + terms_.validity;
}

std::string simulated_adviser::text_of(std::string const &ticket, instant const now) const {
    auto const found = tickets_.find(ticket);
    if(found == tickets_.end()) {
        return "no ticket";
    }
    auto const &issued = found->second;
    return ticket + " for " + issued.job + "." + std::to_string(issued.step) + " on " + issued.worker + " boot " +
        std::to_string(issued.boot) + ", issued " + std::to_string((now - issued.issued_at).count()) + " ms ago";
}

bool simulated_fleet::is_query_lost(std::size_t const node) {
    // The platform fails for reads, registrations and queries alike.
    auto const *failure = log_failure_at(node);
    if(failure != nullptr && failure->kind >= log_failure_kind::rejections && chance(failure->probability)) {
        return true;
    }
    return commands_delayed_until_ > queue_.now() && chance(command_delay_probability_);
}

std::vector<advice_grant> simulated_fleet::answer_query(advice_query const &query) {
    std::vector<advice_grant> grants;
    for(auto const &name: query.workers) {
        auto const worker = std::find_if(
            workers_.begin(), workers_.end(), [&name](auto const &item) { return item.name() == name; });
        if(worker == workers_.end()) {
            continue;
        }
        auto const pos = static_cast<std::size_t>(worker - workers_.begin());
        if(pos < workers_for_all_steps || adviser_->approves(query.job, query.step, name)) {
            grants.push_back({name, adviser_->issue(query.job, query.step, *worker, queue_.now())});
        }
    }
    return grants;
}

void simulated_fleet::ask_adviser(
    std::size_t const node, advice_query const &query, leader_host::advice_callback done) {
    auto const is_finished = std::make_shared<bool>(false);
    std::function<void(std::optional<std::vector<advice_grant>>)> const finish =
        [this, node, is_finished, done = std::move(done)](std::optional<std::vector<advice_grant>> const &grants) {
            on_node(node, millis{}, [is_finished, done, grants]() {
                if(!std::exchange(*is_finished, true)) {
                    done(grants);
                }
            });
        };
    on_node(node, query.duration + timing::advice_slack, [finish]() { finish(std::nullopt); });
    on_node(node, draw(millis{}, millis{1}), [=, this]() {
        if(*is_finished || is_query_lost(node)) {
            return;
        }
        queue_.after(delay() + query.duration, [=, this]() {
            auto const grants = answer_query(query);
            queue_.after(delay(), [finish, grants]() { finish(grants); });
        });
    });
}

bool simulated_fleet::has_ticket(simulated_worker const &worker, run_start const &run) {
    if(!adviser_) {
        return true;
    }
    trace(run.key.job, "the start of " + text_of(run.key) + " carries " + adviser_->text_of(run.ticket, queue_.now()));
    return adviser_->is_valid(run.ticket, run.key, worker, queue_.now());
}

void node_host::ask_adviser(advice_query const query, advice_callback done) {
    fleet_.ask_adviser(node_, query, std::move(done));
}

} // namespace kingcuplink::test
