#include "soak_run.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>
#include <optional>

ABSL_FLAG(std::uint64_t, seed, 1u, "First seed; it draws the faults, the callers and their jobs.");
ABSL_FLAG(std::uint64_t, seeds, 1u, "How many seeds are played, one after the other.");
ABSL_FLAG(bool, odd_entries, false, "Whether another writer puts odd entries under the names of workers.");
ABSL_FLAG(bool, late_orders, false,
    "Whether calls are held for seconds and then carried out, also over restarts, answers are lost, and leaders "
    "freeze.");
ABSL_FLAG(bool, shared_ids, false,
    "Whether a worker that started again under its id carries out what was sent to the boot before, instead of 421.");
ABSL_FLAG(std::optional<bool>, tickets, std::nullopt,
    "Whether queues use advice, so that starts need tickets; by default they do, except with --late_orders.");
ABSL_FLAG(bool, boot_tickets, false, "Whether a ticket is valid only in the boot of its worker that it was issued in.");
ABSL_FLAG(bool, drop_late_calls, false, "Whether calls that are held are lost when their worker restarts.");
ABSL_FLAG(int, shortest_hold_ms, 2'000,
    "Shortest time for which a call is held; a start that is held for less than 2 s may still have a valid ticket.");
ABSL_FLAG(int, longest_hold_ms, 12'000, "Longest time for which a call is held.");
ABSL_FLAG(std::uint32_t, longest_down_ms, 1'500, "Longest time for which a worker that restarts is down.");
ABSL_FLAG(int, seconds, 15, "Time for which faults are played with each seed.");

int main(int argc, char **argv) {
    absl::SetProgramUsageMessage("Plays faults on real processes of kingcuplink and checks what must always hold.\n"
                                 "Exit codes: 0 if all held, 1 if not.");
    absl::ParseCommandLine(argc, argv);
    kingcuplink::soak::soak_options const options{absl::GetFlag(FLAGS_odd_entries), absl::GetFlag(FLAGS_late_orders),
        absl::GetFlag(FLAGS_shared_ids), absl::GetFlag(FLAGS_tickets), absl::GetFlag(FLAGS_boot_tickets),
        absl::GetFlag(FLAGS_drop_late_calls), absl::GetFlag(FLAGS_shortest_hold_ms),
        absl::GetFlag(FLAGS_longest_hold_ms), absl::GetFlag(FLAGS_longest_down_ms)};
    std::uint64_t failed{};
    auto const first = absl::GetFlag(FLAGS_seed);
    for(auto seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
        kingcuplink::soak::soak_run run{seed, options};
        auto const result = run.play(std::chrono::seconds{absl::GetFlag(FLAGS_seconds)});
        for(auto const &text: result.breaches) {
            std::cout << "seed " << seed << " BREACH: " << text << "\n";
        }
        failed += result.breaches.empty() ? 0u : 1u;
        std::cout << "seed " << seed << (result.breaches.empty() ? " held: " : " FAILED: ") << result.faults
                  << " faults, " << result.jobs << " jobs, " << result.accepted << " accepted, " << result.starts
                  << " starts; output in " << result.folder << std::endl;
    }
    return failed == 0u ? 0 : 1;
}
