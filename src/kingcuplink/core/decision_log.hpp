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

/*! Decisions that are written down; each has one row in the table of decisions. */
enum class decision : std::uint8_t {
    process_started,
    process_stopping,
    settings_reloaded,
    dependency_lost,
    dependency_regained,
    ready_changed,
    rules_applied,
    leadership_claimed,
    leadership_begun,
    leadership_ended,
    leader_seen,
    job_accepted,
    job_refused,
    job_outcome_unknown,
    job_cancelled,
    job_ended,
    advice_given,
    run_started,
    run_start_refused,
    run_start_unanswered,
    run_stopped,
    run_ended,
    run_lost,
    worker_seen,
    worker_silent,
    worker_restarted,
    worker_replaced,
    worker_changed,
    registration_rejected,
    count
};

/*! Number of decisions. */
inline constexpr std::size_t decision_count = static_cast<std::size_t>(decision::count);

/*! Returns the name of a decision in the log. Thread safe. */
[[nodiscard]] std::string_view name_of(decision what) noexcept;

/*!
 * Structured log of decisions: one JSON object a line on a file descriptor. Lines
 * are collected and written in the background of the caller's loop; a reader that
 * does not read, or more lines of one kind than a limit, cost lines, never time.
 * What was left out is counted in a line of its own. Thread safe.
 */
class decision_log {
public:
    /*!
     * Constructs a log.
     * @param descriptor File descriptor to write to; it is made non-blocking.
     * @param source Name of the process in every line.
     */
    decision_log(int descriptor, std::string source);

    /*! Writes what is left. */
    ~decision_log();

    decision_log(decision_log const &) = delete;
    decision_log &operator=(decision_log const &) = delete;

    /*! Adds a line. */
    void write(decision what, boost::json::object fields);

    /*! Writes collected lines as far as the descriptor takes them at once. Call every 100 ms or so. */
    void flush();

    /*! Returns the number of lines that were left out. */
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
