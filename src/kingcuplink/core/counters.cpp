#include <kingcuplink/core/counters.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, event_count> event_names{"requests_answered", "requests_may_have_run",
    "jobs_accepted", "task_starts_sent", "task_starts_confirmed", "task_starts_refused", "task_starts_unknown",
    "task_starts_repeated", "task_stops_sent", "tasks_ended", "tasks_lost", "tasks_requeued", "tasks_preempted",
    "leases_granted", "leases_refused", "leases_lost", "leadership_taken", "leadership_lost", "peer_messages_sent",
    "peer_messages_received", "peer_messages_dropped", "peer_messages_malformed", "peer_addresses_malformed",
    "peer_connections_failed", "peer_connections_idle", "peer_bytes_sent", "peer_bytes_received", "control_bytes_sent",
    "control_bytes_received", "document_records_applied", "document_edits_appended", "documents_from_peers",
    "log_reads_failed", "log_appends_failed", "journal_appends", "connections_accepted", "connections_discarded",
    "handovers_sent", "handovers_received", "jobs_adopted", "registrations_rejected", "worker_boots_unregistered",
    "jobs_absent_from_snapshot", "unknown_runs_listed", "concurrent_runs_listed", "starts_confirmed_late",
    "starts_relayed", "start_relays_failed", "relayed_starts_sent", "log_end_reads", "log_probes", "plan_rounds",
    "plan_steps_examined", "advice_answers_unused", "tasks_retried_where_failed", "commit_notices_sent",
    "cancellations_own_append", "cancellations_relayed", "cancellations_noticed", "cancellations_read_from_log",
    "cancellations_before_definition", "job_questions_sent"};

constexpr std::array<std::string_view, traffic_count> traffic_names{
    "other", "log_append", "log_read", "worker_poll", "worker_start", "worker_stop", "advice"};

constexpr std::array<std::string_view, activity_count> activity_names{
    "polls", "planning", "appends", "starts", "stops", "advice", "log_records", "registrations"};

void append_line(
    std::string &text, std::string_view const name, std::string_view const label, std::uint64_t const value) {
    text.append("kingcuplink_").append(name).append("_total");
    if(!label.empty()) {
        text.append("{reason=\"").append(label).append("\"}");
    }
    text.append(" ").append(std::to_string(value)).append("\n");
}

void append_bytes(
    std::string &text, std::string_view const purpose, std::string_view const direction, std::uint64_t const value) {
    text.append("kingcuplink_platform_bytes_total{purpose=\"").append(purpose);
    text.append("\",direction=\"").append(direction).append("\"} ").append(std::to_string(value)).append("\n");
}

void append_processor_time(std::string &text, std::string_view const activity, std::chrono::nanoseconds const time) {
    auto const seconds = std::chrono::duration<double>(time).count();
    text.append("kingcuplink_control_processor_seconds_total{activity=\"").append(activity);
    text.append("\"} ").append(std::to_string(seconds)).append("\n");
}

} // namespace internal

std::string_view name_of(activity const what) noexcept {
    return internal::activity_names[static_cast<std::size_t>(what)];
}

std::string_view name_of(traffic const purpose) noexcept {
    return internal::traffic_names[static_cast<std::size_t>(purpose)];
}

std::string counters::prometheus_text() const {
    std::string text{"# TYPE kingcuplink_refusals_total counter\n"};
    for(auto const &row: refusal_table()) {
        internal::append_line(text, "refusals", row.kind, value(row.reason));
    }
    text.append("# TYPE kingcuplink_retries_total counter\n");
    for(std::size_t pos{}; pos < retry_reason_count; ++pos) {
        internal::append_line(
            text, "retries", name_of(static_cast<retry_reason>(pos)), retries_[pos].load(std::memory_order_relaxed));
    }
    for(std::size_t pos{}; pos < event_count; ++pos) {
        internal::append_line(text, internal::event_names[pos], {}, value(static_cast<event>(pos)));
    }
    for(std::size_t pos{}; pos < traffic_count; ++pos) {
        auto const purpose = static_cast<traffic>(pos);
        internal::append_bytes(text, name_of(purpose), "sent", bytes_sent(purpose));
        internal::append_bytes(text, name_of(purpose), "received", bytes_received(purpose));
    }
    for(std::size_t pos{}; pos < activity_count; ++pos) {
        auto const what = static_cast<activity>(pos);
        internal::append_processor_time(text, name_of(what), processor_time(what));
    }
    return text;
}

} // namespace kingcuplink
