#ifndef KINGCUPLINK_CORE_REFUSAL_HPP_INCLUDED
#define KINGCUPLINK_CORE_REFUSAL_HPP_INCLUDED

#include <array>
#include <cstddef>
#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <span>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Reasons of refusals. Each has one row in the table of refusals. */
enum class refusal : std::uint8_t {
    key_missing,
    key_unknown,
    key_withdrawn,
    queue_unknown,
    queue_full,
    ceiling_reached,
    deadline_too_short,
    deadline_passed,
    no_runner,
    may_have_run,
    no_configuration,
    held_while_cut_off,
    job_malformed,
    job_never_fits,
    job_over_ceiling,
    job_unknown,
    jobs_full,
    idempotency_mismatch,
    not_durable,
    no_leader,
    outcome_unknown,
    edit_unknown,
    owner_required,
    section_unknown,
    section_invalid,
    section_stale,
    terms_lowered,
    log_unavailable,
    request_malformed,
    body_too_large,
    connections_full,
    route_unknown,
    shutting_down,
    count
};

/*! Number of refusal reasons. */
inline constexpr std::size_t refusal_count = static_cast<std::size_t>(refusal::count);

/*! Description of a refusal reason for callers and operators. */
struct refusal_row {
    refusal reason;
    /*! Name in errors and counters. */
    std::string_view kind;
    /*! HTTP status of the answer. */
    unsigned status;
    /*! True if the refused work is known to have had no effect. */
    bool not_run;
    /*! Time after which a retry may succeed; zero if a retry does not help. */
    millis retry_after;
    /*! Action that callers or operators should take. */
    std::string_view remedy;
};

/*! Returns the table of refusals, in the order of the enumeration. Thread safe. */
[[nodiscard]] std::span<refusal_row const, refusal_count> refusal_table() noexcept;

/*! Returns the row of a reason. Thread safe. */
[[nodiscard]] refusal_row const &row_of(refusal reason) noexcept;

/*! A refusal and its detail. */
struct problem {
    refusal reason{};
    /*! The refused item: path and value of a field, a job or a queue. */
    std::string detail{};
};

/*! Returns the message of a problem: kind, detail and remedy. */
[[nodiscard]] std::string message_of(problem const &value);

/*! Reasons of retries. */
enum class retry_reason : std::uint8_t {
    connect_failed,
    runner_busy,
    idle_connection_closed,
    repeatable_attempt_failed,
    spilled,
    count
};

/*! Number of retry reasons. */
inline constexpr std::size_t retry_reason_count = static_cast<std::size_t>(retry_reason::count);

/*! Returns the name of a retry reason in counters. Thread safe. */
[[nodiscard]] std::string_view name_of(retry_reason reason) noexcept;

} // namespace kingcuplink

#endif
