#include <algorithm>
#include <kingcuplink/workflow/progress_parts.hpp>

namespace kingcuplink {

progress_parts::progress_parts(std::span<step_definition const> const steps) {
    std::uint32_t end{};
    for(auto const &step: steps) {
        end += step.count;
        ends_.push_back(end);
    }
}

std::uint32_t progress_parts::part_of(std::uint32_t const step, std::uint32_t const index) const noexcept {
    if(step >= ends_.size()) {
        return count();
    }
    auto const first = step == 0u ? 0u : ends_[step - 1u];
    return index < ends_[step] - first ? (first + index) / tasks_per_part : count();
}

bool needs_update(
    std::span<task_progress const> const persisted, std::span<task_progress const> const current) noexcept {
    auto const is_equal = [](task_progress const &lhs, task_progress const &rhs) {
        return lhs.step == rhs.step && lhs.index == rhs.index && lhs.run == rhs.run && lhs.failures == rhs.failures &&
            lhs.failed_run == rhs.failed_run && lhs.done == rhs.done && lhs.worker == rhs.worker &&
            (!lhs.worker.empty() || lhs.checkpoint == rhs.checkpoint);
    };
    return !std::equal(persisted.begin(), persisted.end(), current.begin(), current.end(), is_equal);
}

std::size_t drop_excess_checkpoints(job_progress &progress) {
    std::size_t bytes{};
    std::size_t dropped{};
    for(auto &task: progress.tasks) {
        if(bytes + task.checkpoint.size() > max_checkpoint_bytes) {
            task.checkpoint.clear();
            ++dropped;
        }
        bytes += task.checkpoint.size();
    }
    return dropped;
}

} // namespace kingcuplink
