#ifndef KINGCUPLINK_CORE_DECISION_LOG_HPP_INCLUDED
#define KINGCUPLINK_CORE_DECISION_LOG_HPP_INCLUDED

#include <array>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Logged decisions. Each has one row in the table of decision names. */
enum class decision : std::uint8_t {
    process_started,
    process_stopping,
    settings_reloaded,
    dependency_lost,
    dependency_regained,
    log_read_slow,
    log_append_slow,
    ready_changed,
    rules_applied,
    leadership_claimed,
    leadership_begun,
    leadership_ended,
    leader_load,
    leader_seen,
    job_accepted,
    job_refused,
    job_outcome_unknown,
    job_cancelled,
    question_refused,
    job_answer_outdated,
    cancellation_applied,
    jobs_absent_from_snapshot,
    job_defined_cancelled,
    job_ended,
    checkpoints_dropped,
    advice_given,
    run_started,
    run_start_refused,
    run_start_unanswered,
    start_relay_declined,
    run_stopped,
    run_ended,
    run_lost,
    run_unknown,
    run_confirmed_late,
    worker_seen,
    worker_silent,
    worker_restarted,
    worker_boot_unregistered,
    worker_replaced,
    worker_changed,
    worker_lapse_recorded,
    registration_rejected,
    count
};

/*! Number of decisions. */
inline constexpr std::size_t decision_count = static_cast<std::size_t>(decision::count);

/*! Returns the name of a decision in the log. Thread safe. */
[[nodiscard]] std::string_view name_of(decision what) noexcept;

/*!
 * Structured log of decisions: writes one JSON object per line to a file descriptor.
 * write() buffers lines, flush() writes them without blocking. Lines are dropped if
 * the reader is too slow or one kind exceeds its rate limit. The number of dropped
 * lines is logged in a line of its own. Thread safe.
 */
class decision_log {
public:
    /*!
     * Constructs a log.
     * @param descriptor File descriptor to write to; it is set to non-blocking mode.
     * @param source Name of the process, included in every line.
     */
    decision_log(int descriptor, std::string source);

    /*! Flushes the buffered lines. */
    ~decision_log();

    decision_log(decision_log const &) = delete;
    decision_log &operator=(decision_log const &) = delete;

    /*! Buffers a line, or drops it if a limit is exceeded. */
    void write(decision what, boost::json::object fields);

    /*! Writes as many buffered lines as the descriptor accepts without blocking. Call about every 100 ms. */
    void flush();

    /*! Returns the number of dropped lines. */
    [[nodiscard]] std::uint64_t dropped() const;

private:
    [[nodiscard]] bool is_over_limit(decision what);
    void begin_second(std::int64_t second);
    void append_line(std::string_view name, boost::json::object fields);

    int descriptor_;
    std::string source_;
    mutable std::mutex mutex_;
    std::string pending_;
    std::int64_t second_{};
    std::array<std::uint32_t, decision_count> written_{};
    std::uint64_t unreported_{};
    std::uint64_t dropped_{};
};

} // namespace kingcuplink

#endif
