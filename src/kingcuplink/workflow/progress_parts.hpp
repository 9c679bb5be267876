#ifndef KINGCUPLINK_WORKFLOW_PROGRESS_PARTS_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_PROGRESS_PARTS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <kingcuplink/workflow/types.hpp>
#include <span>
#include <vector>

namespace kingcuplink {

/*!
 * Number of tasks whose progress one record of the log holds. It bounds the size of a record, and what the change of
 * one task rewrites.
 */
inline constexpr std::uint32_t tasks_per_part = 8u;

/*! Bytes of checkpoints that one record of progress may hold; the platform accepts records of 256 KiB. */
inline constexpr std::size_t max_checkpoint_bytes{128u << 10u};

/*! Maps the tasks of a job to the parts of its progress. Thread safe once constructed. */
class progress_parts {
public:
    /*! Constructs the map for the steps of a job. */
    explicit progress_parts(std::span<step_definition const> steps);

    /*! Returns the part that holds a task; for a task that does not exist, the number of parts. */
    [[nodiscard]] std::uint32_t part_of(std::uint32_t step, std::uint32_t index) const noexcept;

    /*! Returns the number of parts. */
    [[nodiscard]] std::uint32_t count() const noexcept {
        return (ends_.empty() ? 0u : ends_.back() + tasks_per_part - 1u) / tasks_per_part;
    }

private:
    /*! For each step, the number of tasks up to its end. */
    std::vector<std::uint32_t> ends_;
};

/*!
 * Returns true if the log has to be updated from one progress of a part to another. The checkpoint of a run that goes
 * on is of no account: its worker lists a newer one.
 */
[[nodiscard]] bool needs_update(
    std::span<task_progress const> persisted, std::span<task_progress const> current) noexcept;

/*!
 * Removes checkpoints for which a record has no space; their tasks start over if they have to be restarted by another
 * leader. Returns the number of removed checkpoints.
 */
std::size_t drop_excess_checkpoints(job_progress &progress);

} // namespace kingcuplink

#endif
