#ifndef KINGCUPLINK_WORKFLOW_JOB_TABLE_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_JOB_TABLE_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/workflow/types.hpp>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kingcuplink {

/*! One job with its state from the log. */
struct job_entry {
    job_definition definition;
    job_progress progress;
    bool cancel_requested{};
    /*! Final phase, if the leader reported it before this process read it from the log. */
    std::optional<job_phase> reported_phase{};
    /*! Time at which this process read the end of the job; starts its retention period. */
    instant ended_at{};
};

/*!
 * Table of jobs built from the log. Entry VMs that have read the log up to the same position hold the same jobs. The
 * first definition of an identifier and the latest progress apply. A cancellation applies whether its record precedes
 * or follows the definition: a submission without an answer may reach the log late. Not thread safe.
 */
class job_table {
public:
    /*! Adds a job; it is cancelled if a cancellation preceded it. Returns false if the identifier is in use. */
    bool define(job_definition definition);

    /*! Updates the progress of a job, or of a part of its tasks; ignored if the job is unknown. */
    void advance(std::string const &id, job_progress progress, instant now);

    /*!
     * Records a cancellation by a caller; that of an unknown job is retained for a later definition. Returns false if
     * the job is unknown or has ended.
     */
    bool cancel(std::string const &id, instant now);

    /*! Returns whether a cancellation of a job, known or unknown, was recorded, or the job has ended. */
    [[nodiscard]] bool is_cancelled(std::string const &id) const;

    /*!
     * Records the final phase of a job that the leader reported before the record was read from the log. Precondition:
     * the record is committed to the log.
     */
    void set_reported_phase(std::string const &id, job_phase phase);

    /*! Removes a job and its cancellation. */
    void forget(std::string const &id);

    /*!
     * Adopts what a former table knew beyond the log of the jobs that both contain: final phases that the leader
     * reported, and when ends and cancellations were read. Returns the number of jobs that only the former one had.
     */
    std::size_t inherit_local_state(job_table const &former);

    /*! Returns a job, or null. */
    [[nodiscard]] job_entry const *find(std::string const &id) const;

    /*! Returns the phase reported to callers. */
    [[nodiscard]] static job_phase visible_phase(job_entry const &entry) noexcept;

    /*!
     * Returns the number of jobs that are reported as queued and were accepted by a queue with this name, or by one
     * with this path. The hash of the path is zero if it does not matter.
     */
    [[nodiscard]] std::size_t pending(std::string_view queue, std::uint32_t path_hash = 0u) const;

    /*! Returns the identifiers of jobs whose end, and of unknown jobs whose cancellation, was read before a time. */
    [[nodiscard]] std::vector<std::string> expired_before(instant time) const;

    /*! Returns all jobs. */
    [[nodiscard]] std::unordered_map<std::string, job_entry> const &jobs() const noexcept {
        return jobs_;
    }

private:
    void count(job_entry const &entry, std::int64_t change);
    /*! Replaces the progress of a part of the tasks. */
    static void replace_part(job_entry &entry, job_progress progress);

    std::unordered_map<std::string, job_entry> jobs_;
    /*! Numbers of queued jobs, by the queue and the path that accepted them. */
    std::map<std::pair<std::string, std::uint32_t>, std::int64_t> pending_;
    /*! Times at which cancellations of unknown jobs were read, by job. */
    std::unordered_map<std::string, instant> early_cancellations_;
};

} // namespace kingcuplink

#endif
