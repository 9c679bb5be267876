#include <array>
#include <kingcuplink/workflow/types.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 5u> phase_names{"queued", "running", "done", "failed", "cancelled"};
constexpr std::array<std::string_view, 6u> outcome_names{"done", "failed", "stopped", "lapsed", "broken", "alone"};
constexpr std::array<std::string_view, 6u> loss_names{
    "not_sent", "refused", "not_listed", "stopped", "other_boot", "lapsed"};

} // namespace internal

std::string_view name_of(job_phase const phase) noexcept {
    return internal::phase_names[static_cast<std::size_t>(phase)];
}

std::string_view name_of(run_outcome const end) noexcept {
    return internal::outcome_names[static_cast<std::size_t>(end)];
}

std::string_view name_of(run_loss const loss) noexcept {
    return internal::loss_names[static_cast<std::size_t>(loss)];
}

} // namespace kingcuplink
