#ifndef KINGCUPLINK_AUTHORITY_JOB_LEDGER_HPP_INCLUDED
#define KINGCUPLINK_AUTHORITY_JOB_LEDGER_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <kingcuplink/core/result.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/document/job_spec.hpp>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace kingcuplink {

/*! What happened to a job. */
enum class job_event_kind : std::uint8_t {
    accepted,
    cancel_requested,
    /*! A task is about to be started on a worker. */
    start_intended,
    /*! A task will not run again. */
    task_final,
    job_ended,
    /*! The job was given to another failure domain. */
    moved
};

/*! One event in the life of a job. */
struct job_event {
    job_event_kind kind{};
    std::string job;
    /*! With accepted. */
    job_spec spec{};
    /*! With accepted. */
    instant at{};
    /*! With start_intended and task_final. */
    std::int64_t ordinal{};
    /*! With start_intended. */
    std::uint32_t attempt{};
    /*! Worker, with start_intended; failure domain, with moved. */
    std::string place{};
    /*! Name of the final state, with task_final and job_ended. */
    std::string state{};
    /*! Number of times that the job had been moved before, with accepted, moved and job_ended. */
    std::uint32_t generation{};
};

/*! Writes an event for the journal and the mirrors. */
[[nodiscard]] boost::json::object to_json(job_event const &event);

/*! Reads what to_json() wrote. */
[[nodiscard]] result<job_event> parse_job_event(boost::json::value const &value);

/*! What is known of a task of a live job. */
struct ledger_task {
    std::uint32_t attempt{};
    std::string worker{};
    std::string final_state{};
};

/*! What is known of a job. */
struct ledger_entry {
    job_spec spec;
    instant accepted_at{};
    bool accepted{};
    bool cancel_requested{};
    std::uint32_t generation{};
    std::string ended{};
    std::string moved_to{};
    std::map<std::int64_t, ledger_task> tasks{};

    /*! Tells whether the job ended or moved. */
    [[nodiscard]] bool is_over() const noexcept {
        return !ended.empty() || !moved_to.empty();
    }
};

/*!
 * Fold of job events. Events may come twice, in any order and from several
 * sources: the result is the same. Kept by standbys, by entry VMs of other
 * failure domains while the log is out, and rebuilt from the journal.
 * Not thread safe.
 */
class job_ledger {
public:
    /*! Takes an event. */
    void apply(job_event const &event);

    /*! Returns the entries, by job. */
    [[nodiscard]] std::map<std::string, ledger_entry> const &entries() const noexcept;

    /*! Returns a job's entry, or null. */
    [[nodiscard]] ledger_entry const *find(std::string const &job) const;

    /*! Returns events that rebuild the book; jobs that ended come with their end alone. */
    [[nodiscard]] std::vector<job_event> events() const;

    /*! Returns events that rebuild one entry. */
    [[nodiscard]] static std::vector<job_event> events_of(std::string const &job, ledger_entry const &entry);

    /*! Forgets everything. */
    void clear();

private:
    void record_ended(std::string const &job);

    std::map<std::string, ledger_entry> entries_;
    /*! Jobs that ended, oldest first; some may have come back since. */
    std::deque<std::string> ended_order_;
};

} // namespace kingcuplink

#endif
