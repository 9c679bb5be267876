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

/*! Kind of a job event. */
enum class job_event_kind : std::uint8_t {
    accepted,
    cancel_requested,
    /*! Intent to start a task on a worker, recorded before the start. */
    start_intended,
    /*! A task reached a final state. */
    task_final,
    job_ended,
    /*! The job was handed over to another failure domain. */
    moved
};

/*! Event in the lifecycle of a job. */
struct job_event {
    job_event_kind kind{};
    std::string job;
    /*! Set for accepted. */
    job_spec spec{};
    /*! Set for accepted. */
    instant at{};
    /*! Set for start_intended and task_final. */
    std::int64_t ordinal{};
    /*! Set for start_intended. */
    std::uint32_t attempt{};
    /*! Worker for start_intended, failure domain for moved. */
    std::string place{};
    /*! Name of the final state; set for task_final and job_ended. */
    std::string state{};
    /*! Number of earlier moves of the job; set for accepted, moved and job_ended. */
    std::uint32_t generation{};
};

/*! Serializes an event for the journal and the mirrors. */
[[nodiscard]] boost::json::object to_json(job_event const &event);

/*! Parses an event serialized by to_json(). Fails with job_malformed on invalid input. */
[[nodiscard]] result<job_event> parse_job_event(boost::json::value const &value);

/*! State of a task of a live job. */
struct ledger_task {
    std::uint32_t attempt{};
    std::string worker{};
    std::string final_state{};
};

/*! State of a job. */
struct ledger_entry {
    job_spec spec;
    instant accepted_at{};
    bool accepted{};
    bool cancel_requested{};
    std::uint32_t generation{};
    std::string ended{};
    std::string moved_to{};
    std::map<std::int64_t, ledger_task> tasks{};

    /*! Checks whether the job ended or moved. */
    [[nodiscard]] bool is_over() const noexcept {
        return !ended.empty() || !moved_to.empty();
    }
};

/*!
 * Fold over job events. The result does not depend on duplicates, order or source
 * of the events. Maintained by standbys and, while the log is unavailable, by
 * entry VMs of other failure domains; can be rebuilt from the journal.
 * Not thread safe.
 */
class job_ledger {
public:
    /*! Applies an event. */
    void apply(job_event const &event);

    /*! Returns the entries, by job. */
    [[nodiscard]] std::map<std::string, ledger_entry> const &entries() const noexcept;

    /*! Returns the entry of a job, or a null pointer if there is none. */
    [[nodiscard]] ledger_entry const *find(std::string const &job) const;

    /*! Returns events that rebuild the ledger. Task events of ended jobs are not included. */
    [[nodiscard]] std::vector<job_event> events() const;

    /*! Returns events that rebuild one entry. */
    [[nodiscard]] static std::vector<job_event> events_of(std::string const &job, ledger_entry const &entry);

    /*! Removes all entries. */
    void clear();

private:
    void record_ended(std::string const &job);

    std::map<std::string, ledger_entry> entries_;
    /*! Ended jobs, oldest first. May include jobs that were since moved back and accepted again. */
    std::deque<std::string> ended_order_;
};

} // namespace kingcuplink

#endif
