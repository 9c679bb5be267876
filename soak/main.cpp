#include "soak_run.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <iostream>

ABSL_FLAG(std::uint64_t, seed, 1u, "First seed; it draws the faults, the callers and their jobs.");
ABSL_FLAG(std::uint64_t, seeds, 1u, "How many seeds are played, one after the other.");
ABSL_FLAG(bool, odd_entries, false, "Whether another writer puts odd entries under the names of workers.");
ABSL_FLAG(int, seconds, 15, "Time for which faults are played with each seed.");

int main(int argc, char **argv) {
    absl::SetProgramUsageMessage("Plays faults on real processes of kingcuplink and checks what must always hold.\n"
                                 "Exit codes: 0 if all held, 1 if not.");
    absl::ParseCommandLine(argc, argv);
    std::uint64_t failed{};
    auto const first = absl::GetFlag(FLAGS_seed);
    for(auto seed = first; seed < first + absl::GetFlag(FLAGS_seeds); ++seed) {
        kingcuplink::soak::soak_run run{seed, absl::GetFlag(FLAGS_odd_entries)};
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
