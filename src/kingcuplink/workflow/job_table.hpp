#ifndef KINGCUPLINK_WORKFLOW_JOB_TABLE_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_JOB_TABLE_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/workflow/types.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace kingcuplink {

/*! Everything that the log says of one job. */
struct job_entry {
    job_definition definition;
    job_progress progress;
    bool cancel_requested{};
    /*! Phase in which it ended, if the leader said so before this process read it from the log. */
    std::optional<job_phase> reported_phase{};
    /*! When this process learnt of its end; for forgetting it. */
    instant ended_at{};
};

/*!
 * Fold of the log of jobs: the same on every entry VM that has read as far. The
 * first definition of an identifier counts; of progress, the latest. Not thread safe.
 */
class job_table {
public:
    /*! Takes a definition. Returns false if the identifier is known. */
    bool define(job_definition definition);

    /*! Takes the progress of a job; ignored if the job is not known. */
    void advance(std::string const &id, job_progress progress, instant now);

    /*! Notes that a caller cancelled a job. Returns false if it is not known or has ended. */
    bool cancel(std::string const &id);

    /*! Notes how a job ended before its record was read. Precondition: the log has that record. */
    void set_reported_phase(std::string const &id, job_phase phase);

    /*! Drops a job. */
    void forget(std::string const &id);

    /*! Returns a job, or null. */
    [[nodiscard]] job_entry const *find(std::string const &id) const;

    /*! Returns the phase that callers see. */
    [[nodiscard]] static job_phase visible_phase(job_entry const &entry) noexcept;

    /*! Returns the number of jobs of a queue of which no task was started. */
    [[nodiscard]] std::size_t pending(std::string const &queue) const;

    /*! Returns the identifiers of jobs that ended before a time. */
    [[nodiscard]] std::vector<std::string> ended_before(instant time) const;

    /*! Returns all jobs. */
    [[nodiscard]] std::unordered_map<std::string, job_entry> const &jobs() const noexcept {
        return jobs_;
    }

private:
    void count(job_entry const &entry, std::int64_t change);

    std::unordered_map<std::string, job_entry> jobs_;
    std::unordered_map<std::string, std::int64_t> pending_;
};

} // namespace kingcuplink

#endif
