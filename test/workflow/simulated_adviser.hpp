#ifndef KINGCUPLINK_TEST_WORKFLOW_SIMULATED_ADVISER_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_SIMULATED_ADVISER_HPP_INCLUDED

#include "fleet_simulation.hpp"
#include "simulated_worker.hpp"

#include <cstdint>
#include <kingcuplink/workflow/site_rules.hpp>
#include <map>
#include <string>

namespace kingcuplink::test {

/*! Returns the terms of a queue whose starts need tickets. */
[[nodiscard]] advice_terms advice_terms_of(ticket_terms const &tickets);

/*! The adviser: approves workers for the steps of jobs, and issues the tickets that workers accept. */
class simulated_adviser {
public:
    /*! @param seed Seed of the approvals; they do not change afterwards. */
    simulated_adviser(ticket_terms const &terms, std::uint64_t seed) : terms_{terms}, seed_{seed} {}

    /*! Returns true if a worker is approved for a step; the same at each call. */
    [[nodiscard]] bool approves(std::string const &job, std::uint32_t step, std::string const &worker) const;

    /*! Issues a ticket for a step on the current boot of a worker. */
    [[nodiscard]] std::string issue(
        std::string const &job, std::uint32_t step, simulated_worker const &worker, instant now);

    /*! Returns true if a ticket allows a worker to start a run now. */
    [[nodiscard]] bool is_valid(
        std::string const &ticket, run_key const &key, simulated_worker const &worker, instant now) const;

    /*! Returns the description of a ticket for the timeline. */
    [[nodiscard]] std::string text_of(std::string const &ticket, instant now) const;

private:
    struct issued_ticket {
        std::string job;
        std::uint32_t step{};
        std::string worker;
        std::uint64_t boot{};
        instant issued_at;
    };

    ticket_terms terms_;
    std::uint64_t seed_;
    std::map<std::string, issued_ticket> tickets_;
};

} // namespace kingcuplink::test

#endif
