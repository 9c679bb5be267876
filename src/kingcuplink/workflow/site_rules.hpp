#ifndef KINGCUPLINK_WORKFLOW_SITE_RULES_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_SITE_RULES_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/time.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! Latency and validity of advice. */
struct advice_terms {
    /*! Fixed part of the response time. */
    millis base{};
    /*! Additional response time per queried worker, in microseconds. */
    std::int64_t per_worker_us{};
    /*! Validity period of a ticket. */
    millis valid{};
};

/*! Terms of a queue that its jobs need until they end. */
struct job_terms {
    /*! Service that provides the workers for the tasks of the queue. */
    std::string service;
    /*! Zero gives the queue precedence over all others. */
    std::int64_t priority{1};
    /*! Number of failed runs of a task, or of a gang, after which the job fails. */
    std::uint32_t max_attempts{1u};
    /*! The objective of a job is its longest chain of work times this factor, plus target. */
    double stretch{1.0};
    millis target{};
    /*! Set if an adviser has to approve the workers of each step. */
    std::optional<advice_terms> advice;
};

/*! Rules of one job queue. */
struct queue_rules : job_terms {
    std::string name;
    /*! Host and path prefix of requests for this queue. */
    std::string host;
    std::string path_prefix;
    /*! True if requests need no key. */
    bool open{};
    /*! True if operators removed the queue: its jobs continue, and new jobs are not accepted. */
    bool retired{};
};

/*! Rules of one client account. */
struct account_rules {
    std::string name;
    std::vector<std::string> keys;
    /*! Share of the capacity under contention, and usual rate in jobs per second. */
    double weight{1.0};
    /*! Maximum resources of its running tasks; a dimension of zero is unlimited. */
    resources ceiling;
};

/*! One version of the rules set by operators. Immutable once shared. */
struct site_rules {
    std::uint64_t version{};
    std::vector<queue_rules> queues;
    std::vector<account_rules> accounts;
    /*! Failure domains that receive no new work. */
    std::set<std::string> evacuated;
};

/*! Returns the queue with the longest matching path prefix, or null. Retired queues are ignored. */
[[nodiscard]] queue_rules const *find_queue(
    site_rules const &rules, std::string_view host, std::string_view path) noexcept;

/*! Returns the queue with a name, retired or not, or null. */
[[nodiscard]] queue_rules const *find_queue(site_rules const &rules, std::string_view name) noexcept;

/*! Returns true if a queue exists and operators have not removed it. */
[[nodiscard]] bool is_in_force(site_rules const &rules, std::string_view queue) noexcept;

/*! Returns a hash of a queue's host and path prefix. It is the same in every process, and never zero. */
[[nodiscard]] std::uint32_t path_hash_of(queue_rules const &queue) noexcept;

/*!
 * Returns the terms on which a job runs, or null if they are not known. Attempts and objective are those accepted.
 * Service and advice are those of the queue while it is in force, since they depend on the workers and on the adviser
 * of today, and otherwise those accepted.
 * @param accepted Terms as of the job's acceptance; nothing for a job of an earlier version, to which the rules apply.
 */
[[nodiscard]] std::shared_ptr<job_terms const> terms_of_job(
    site_rules const &rules, std::string_view queue, std::optional<job_terms> const &accepted);

/*! Returns the account with a name, or null. */
[[nodiscard]] account_rules const *find_account(site_rules const &rules, std::string_view name) noexcept;

/*! Returns the account that owns a key, or null. */
[[nodiscard]] account_rules const *find_account_of_key(site_rules const &rules, std::string_view key) noexcept;

/*! Adds the queues that only the earlier rules contain, marked as retired. */
void retire_queues(site_rules &rules, site_rules const &earlier);

} // namespace kingcuplink

#endif
