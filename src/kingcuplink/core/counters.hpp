#ifndef KINGCUPLINK_CORE_COUNTERS_HPP_INCLUDED
#define KINGCUPLINK_CORE_COUNTERS_HPP_INCLUDED

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <kingcuplink/core/refusal.hpp>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Counted events other than refusals and retries. */
enum class event : std::uint8_t {
    request_answered,
    request_may_have_run,
    job_accepted,
    task_start_sent,
    task_start_confirmed,
    task_start_refused,
    task_start_unknown,
    task_start_repeated,
    task_stop_sent,
    task_ended,
    task_lost,
    task_requeued,
    task_preempted,
    lease_granted,
    lease_refused,
    lease_lost,
    leadership_taken,
    leadership_lost,
    peer_message_sent,
    peer_message_received,
    peer_message_dropped,
    peer_message_malformed,
    peer_address_malformed,
    peer_connection_failed,
    peer_connection_idle,
    peer_bytes_sent,
    peer_bytes_received,
    control_bytes_sent,
    control_bytes_received,
    document_applied,
    document_appended,
    document_from_peer,
    log_read_failed,
    log_append_failed,
    journal_appended,
    connection_accepted,
    connection_discarded,
    handover_sent,
    handover_received,
    job_adopted,
    registration_rejected,
    worker_boot_unregistered,
    job_absent_from_snapshot,
    unknown_run_listed,
    concurrent_run_listed,
    start_confirmed_late,
    start_relayed,
    start_relay_failed,
    relayed_start_sent,
    log_end_read,
    log_probed,
    plan_round,
    plan_step_examined,
    advice_answer_unused,
    task_retried_where_failed,
    commit_notice_sent,
    cancellation_own_append,
    cancellation_relayed,
    cancellation_noticed,
    cancellation_read,
    cancellation_before_definition,
    job_question_sent,
    count
};

/*! Purpose of calls to the platform, by which their bytes are counted. */
enum class traffic : std::uint8_t {
    other,
    log_append,
    log_read,
    worker_poll,
    worker_start,
    worker_stop,
    advice,
    count
};

/*! Activity of the control thread of a leader, by which its processor time is counted. */
enum class activity : std::uint8_t {
    /*! Applying the lists of workers. */
    polls,
    planning,
    /*! Encoding records, and applying them once they are committed. */
    appends,
    starts,
    stops,
    /*! Applying answers of the adviser. */
    advice,
    /*! Applying records that were read from the stream of jobs. */
    log_records,
    registrations,
    count
};

/*! Number of activities. */
inline constexpr std::size_t activity_count = static_cast<std::size_t>(activity::count);

/*! Returns the name of an activity. */
[[nodiscard]] std::string_view name_of(activity what) noexcept;

/*! Number of purposes. */
inline constexpr std::size_t traffic_count = static_cast<std::size_t>(traffic::count);

/*! Returns the name of a purpose. */
[[nodiscard]] std::string_view name_of(traffic purpose) noexcept;

/*! Number of events. */
inline constexpr std::size_t event_count = static_cast<std::size_t>(event::count);

/*! Event, refusal, retry and byte counters of a process. Thread safe. */
class counters {
public:
    /*! Counts a refusal. */
    void add(refusal const reason) noexcept {
        refusals_[static_cast<std::size_t>(reason)].fetch_add(1u, std::memory_order_relaxed);
    }

    /*! Counts a retry. */
    void add(retry_reason const reason) noexcept {
        retries_[static_cast<std::size_t>(reason)].fetch_add(1u, std::memory_order_relaxed);
    }

    /*! Adds an amount to the counter of an event. */
    void add(event const what, std::uint64_t const amount = 1u) noexcept {
        events_[static_cast<std::size_t>(what)].fetch_add(amount, std::memory_order_relaxed);
    }

    /*! Adds the bytes of a call, without those of the transport, to the counters of its purpose. */
    void add(traffic const purpose, std::uint64_t const sent, std::uint64_t const received) noexcept {
        sent_[static_cast<std::size_t>(purpose)].fetch_add(sent, std::memory_order_relaxed);
        received_[static_cast<std::size_t>(purpose)].fetch_add(received, std::memory_order_relaxed);
    }

    /*! Adds processor time to the counter of an activity. Precondition: the time is not negative. */
    void add(activity const what, std::chrono::nanoseconds const time) noexcept {
        processor_time_[static_cast<std::size_t>(what)].fetch_add(
            static_cast<std::uint64_t>(time.count()), std::memory_order_relaxed);
    }

    /*! Returns the processor time of an activity. */
    [[nodiscard]] std::chrono::nanoseconds processor_time(activity const what) const noexcept {
        return std::chrono::nanoseconds{
            processor_time_[static_cast<std::size_t>(what)].load(std::memory_order_relaxed)};
    }

    /*! Returns the number of bytes sent for a purpose. */
    [[nodiscard]] std::uint64_t bytes_sent(traffic const purpose) const noexcept {
        return sent_[static_cast<std::size_t>(purpose)].load(std::memory_order_relaxed);
    }

    /*! Returns the number of bytes received for a purpose. */
    [[nodiscard]] std::uint64_t bytes_received(traffic const purpose) const noexcept {
        return received_[static_cast<std::size_t>(purpose)].load(std::memory_order_relaxed);
    }

    /*! Returns the value of a counter. */
    [[nodiscard]] std::uint64_t value(refusal const reason) const noexcept {
        return refusals_[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
    }

    /*! @copydoc value */
    [[nodiscard]] std::uint64_t value(event const what) const noexcept {
        return events_[static_cast<std::size_t>(what)].load(std::memory_order_relaxed);
    }

    /*! Returns all counters in the Prometheus text format. */
    [[nodiscard]] std::string prometheus_text() const;

private:
    template<std::size_t Size>
    using cells = std::array<std::atomic<std::uint64_t>, Size>;

    cells<refusal_count> refusals_{};
    cells<retry_reason_count> retries_{};
    cells<event_count> events_{};
    cells<traffic_count> sent_{};
    cells<traffic_count> received_{};
    /*! In nanoseconds. */
    cells<activity_count> processor_time_{};
};

} // namespace kingcuplink

#endif
