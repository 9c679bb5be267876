#ifndef KINGCUPLINK_WORKFLOW_SITE_RULES_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_SITE_RULES_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/time.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! How long advice takes and how long it holds. */
struct advice_terms {
    /*! Time for any answer. */
    millis base{};
    /*! Additional time for each worker asked about, in microseconds. */
    std::int64_t per_worker_us{};
    /*! Time for which a ticket may be used. */
    millis valid{};
};

/*! Rules of one queue of jobs. */
struct queue_rules {
    std::string name;
    /*! Host and path prefix that lead to it. */
    std::string host;
    std::string path_prefix;
    /*! Service whose workers run its tasks. */
    std::string service;
    /*! True if callers need no key. */
    bool open{};
    /*! Zero comes before all others. */
    std::int64_t priority{1};
    /*! Failed runs of a task, or of a gang, after which the job fails. */
    std::uint32_t max_attempts{1u};
    /*! Objective: this many times the longest chain of work, and the target more. */
    double stretch{1.0};
    millis target{};
    /*! Set if each step may run on certain workers alone, which only an adviser knows. */
    std::optional<advice_terms> advice;
    /*! True if operators removed it: its jobs go on, and no new ones come. */
    bool retired{};
};

/*! Terms of one client account. */
struct account_rules {
    std::string name;
    std::vector<std::string> keys;
    /*! Share when all is full; also the jobs a second that are its usual. */
    double weight{1.0};
    /*! Most that it may have running; a dimension of zero is unlimited. */
    resources ceiling;
};

/*! What operators decided, as one version. Immutable once shared. */
struct site_rules {
    std::uint64_t version{};
    std::vector<queue_rules> queues;
    std::vector<account_rules> accounts;
    /*! Failure domains that get no new work. */
    std::set<std::string> evacuated;
};

/*! Returns the queue that takes new jobs with the longest matching prefix, or null. */
[[nodiscard]] queue_rules const *find_queue(
    site_rules const &rules, std::string_view host, std::string_view path) noexcept;

/*! Returns the queue of a name, or null. */
[[nodiscard]] queue_rules const *find_queue(site_rules const &rules, std::string_view name) noexcept;

/*! Returns the account of a name, or null. */
[[nodiscard]] account_rules const *find_account(site_rules const &rules, std::string_view name) noexcept;

/*! Returns the account that holds a key, or null. */
[[nodiscard]] account_rules const *find_account_of_key(site_rules const &rules, std::string_view key) noexcept;

/*! Keeps queues of earlier rules that the new ones lack, as retired ones. */
void retire_queues(site_rules &rules, site_rules const &earlier);

} // namespace kingcuplink

#endif
