#include <boost/json/serialize.hpp>
#include <cerrno>
#include <climits>
#include <fcntl.h>
#include <kingcuplink/core/decision_log.hpp>
#include <unistd.h>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, decision_count> decision_names{"process_started", "process_stopping",
    "settings_reloaded", "dependency_lost", "dependency_regained", "log_read_slow", "log_append_slow", "ready_changed",
    "rules_applied", "leadership_claimed", "leadership_begun", "leadership_ended", "leader_load", "leader_seen",
    "job_accepted", "job_refused", "job_outcome_unknown", "job_cancelled", "question_refused", "job_answer_outdated",
    "cancellation_applied", "jobs_absent_from_snapshot", "job_defined_cancelled", "job_ended", "checkpoints_dropped",
    "advice_given", "run_started", "run_start_refused", "run_start_unanswered", "start_relay_declined", "run_stopped",
    "run_ended", "run_lost", "run_unknown", "run_confirmed_late", "worker_seen", "worker_silent", "worker_restarted",
    "worker_boot_unregistered", "worker_replaced", "worker_changed", "worker_lapse_recorded", "registration_rejected"};

/*! Maximum lines per second of one kind: about twice the rate that the planned peak of starts causes on one leader. */
constexpr std::uint32_t lines_per_second = 2'000u;
/*! Maximum number of bytes that are buffered while the reader is slow. */
constexpr std::size_t max_pending_bytes = std::size_t{1} << 20u;
/*! Maximum size of one write in bytes: pipes accept up to this size atomically, so that no line is split. */
constexpr std::size_t max_write_bytes = PIPE_BUF;

/*! Returns the leading complete lines of a text that fit into one write, or the first line if it alone is longer. */
std::string_view next_lines(std::string_view const text) {
    if(text.size() <= max_write_bytes) {
        return text;
    }
    auto const last = text.rfind('\n', max_write_bytes - 1u);
    return text.substr(0u, (last == std::string_view::npos ? text.find('\n') : last) + 1u);
}

std::int64_t wall_millis() {
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace internal

std::string_view name_of(decision const what) noexcept {
    return internal::decision_names[static_cast<std::size_t>(what)];
}

decision_log::decision_log(int const descriptor, std::string source)
    : descriptor_{descriptor}, source_{std::move(source)} {
    ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
}

decision_log::~decision_log() {
    flush();
}

void decision_log::write(decision const what, boost::json::object fields) {
    std::lock_guard const lock{mutex_};
    if(is_over_limit(what)) {
        ++unreported_;
        ++dropped_;
        return;
    }
    append_line(name_of(what), std::move(fields));
}

bool decision_log::is_over_limit(decision const what) {
    auto const second = internal::wall_millis() / 1'000;
    if(second != second_) {
        begin_second(second);
    }
    return pending_.size() > internal::max_pending_bytes ||
        ++written_[static_cast<std::size_t>(what)] > internal::lines_per_second;
}

void decision_log::begin_second(std::int64_t const second) {
    second_ = second;
    written_.fill(0u);
    if(unreported_ > 0u && pending_.size() <= internal::max_pending_bytes) {
        append_line("lines_left_out", {{"count", unreported_}});
        unreported_ = 0u;
    }
}

void decision_log::append_line(std::string_view const name, boost::json::object fields) {
    boost::json::object line;
    line.reserve(fields.size() + 3u);
    line["time_ms"] = internal::wall_millis();
    line["vm"] = source_;
    line["event"] = name;
    for(auto &field: fields) {
        line.emplace(field.key(), std::move(field.value()));
    }
    pending_.append(boost::json::serialize(line)).append("\n");
}

void decision_log::flush() {
    std::lock_guard const lock{mutex_};
    std::size_t written{};
    while(written < pending_.size()) {
        auto const lines = internal::next_lines(std::string_view{pending_}.substr(written));
        auto const count = ::write(descriptor_, lines.data(), lines.size());
        if(count < 0 && errno == EINTR) {
            continue;
        }
        if(count <= 0) {
            break;
        }
        written += static_cast<std::size_t>(count);
    }
    pending_.erase(0u, written);
}

std::uint64_t decision_log::dropped() const {
    std::lock_guard const lock{mutex_};
    return dropped_;
}

} // namespace kingcuplink
