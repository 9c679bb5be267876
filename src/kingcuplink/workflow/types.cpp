#include <array>
#include <kingcuplink/workflow/types.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 5u> phase_names{"queued", "running", "done", "failed", "cancelled"};
constexpr std::array<std::string_view, 6u> end_names{"done", "failed", "stopped", "lapsed", "broken", "alone"};

} // namespace internal

std::string_view name_of(job_phase const phase) noexcept {
    return internal::phase_names[static_cast<std::size_t>(phase)];
}

std::string_view name_of(run_end const end) noexcept {
    return internal::end_names[static_cast<std::size_t>(end)];
}

} // namespace kingcuplink
