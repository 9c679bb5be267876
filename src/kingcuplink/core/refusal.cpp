#include <kingcuplink/core/refusal.hpp>

namespace kingcuplink {

namespace internal {

using namespace std::chrono_literals;

constexpr std::array<refusal_row, refusal_count> refusal_rows{{
    {refusal::key_missing, "key_missing", 401, true, 0ms, "send the team's key as 'Authorization: Bearer KEY'"},
    {refusal::key_unknown, "key_unknown", 401, true, 0ms, "check the key, or ask an operator to grant it"},
    {refusal::key_withdrawn, "key_withdrawn", 403, true, 0ms, "ask an operator for a new key"},
    {refusal::queue_unknown, "queue_unknown", 404, true, 0ms, "use a queue that the section 'queues' lists"},
    {refusal::queue_full, "queue_full", 429, true, 1000ms, "send less, or try again later"},
    {refusal::ceiling_reached, "ceiling_reached", 429, true, 1000ms,
        "wait for running requests of the team, or raise its ceiling"},
    {refusal::deadline_too_short, "deadline_too_short", 503, true, 1000ms, "allow more time, or try again later"},
    {refusal::deadline_passed, "deadline_passed", 504, true, 1000ms, "allow more time, or try again later"},
    {refusal::no_runner, "no_runner", 503, true, 1000ms, "see /status for runners that are out, leaving or sidelined"},
    {refusal::may_have_run, "may_have_run", 502, false, 0ms, "check the effect before sending the request again"},
    {refusal::no_configuration, "no_configuration", 503, true, 2000ms,
        "publish a document with 'kingcuplink document init', or wait for the log"},
    {refusal::held_while_cut_off, "held_while_cut_off", 503, true, 5000ms,
        "wait until the failure domain reaches the log or a peer again"},
    {refusal::job_malformed, "job_malformed", 400, true, 0ms, "correct the field named in the detail"},
    {refusal::job_never_fits, "job_never_fits", 422, true, 0ms, "ask for less than the limit named in the detail"},
    {refusal::job_over_ceiling, "job_over_ceiling", 422, true, 0ms,
        "ask for less than the team's ceiling, or have it raised"},
    {refusal::job_unknown, "job_unknown", 404, true, 0ms, "list the team's jobs with 'kingcuplink job list'"},
    {refusal::jobs_full, "jobs_full", 429, true, 5000ms, "wait until queued jobs have started, or cancel some"},
    {refusal::idempotency_mismatch, "idempotency_mismatch", 422, true, 0ms,
        "use a new Idempotency-Key for another job"},
    {refusal::not_durable, "not_durable", 503, true, 2000ms,
        "try again when a second entry VM or the log can be reached"},
    {refusal::no_leader, "no_leader", 503, true, 2000ms, "try again when the failure domain has a leader"},
    {refusal::outcome_unknown, "outcome_unknown", 504, false, 0ms,
        "submit it again with the same Idempotency-Key, or look for the job by its name first"},
    {refusal::edit_unknown, "edit_unknown", 504, false, 0ms, "read the section to see whether the edit is in force"},
    {refusal::owner_required, "owner_required", 403, true, 0ms,
        "use a key that the section 'owners' lists for this section"},
    {refusal::section_unknown, "section_unknown", 404, true, 0ms,
        "use owners, teams, keys, failure_domains, queues or policies"},
    {refusal::section_invalid, "section_invalid", 422, true, 0ms, "correct the field named in the detail"},
    {refusal::section_stale, "section_stale", 412, true, 0ms, "read the section again and re-apply the edit"},
    {refusal::terms_lowered, "terms_lowered", 409, true, 0ms,
        "list the team under 'lower' to confirm that its share or ceiling is reduced"},
    {refusal::log_unavailable, "log_unavailable", 503, true, 2000ms, "try again when the platform's log answers"},
    {refusal::request_malformed, "request_malformed", 400, true, 0ms,
        "send well-formed HTTP with the headers the manual lists"},
    {refusal::body_too_large, "body_too_large", 413, true, 0ms, "send a smaller body"},
    {refusal::connections_full, "connections_full", 503, true, 1000ms,
        "close idle connections, or use another entry VM"},
    {refusal::route_unknown, "route_unknown", 404, true, 0ms, "see the routes in docs/OPERATING.md"},
    {refusal::shutting_down, "shutting_down", 503, true, 1000ms, "try again: the balancer picks another entry VM"},
}};

constexpr std::array<std::string_view, retry_reason_count> retry_names{
    "connect_failed",
    "runner_busy",
    "idle_connection_closed",
    "repeatable_attempt_failed",
    "spilled",
};

} // namespace internal

std::span<refusal_row const, refusal_count> refusal_table() noexcept {
    return internal::refusal_rows;
}

refusal_row const &row_of(refusal const reason) noexcept {
    return internal::refusal_rows[static_cast<std::size_t>(reason)];
}

std::string message_of(problem const &value) {
    auto const &row = row_of(value.reason);
    std::string text{row.kind};
    if(!value.detail.empty()) {
        text.append(": ").append(value.detail);
    }
    return text.append(": ").append(row.remedy);
}

std::string_view name_of(retry_reason const reason) noexcept {
    return internal::retry_names[static_cast<std::size_t>(reason)];
}

} // namespace kingcuplink
