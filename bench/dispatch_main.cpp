// Measures the dispatcher alone, for fleets and backlogs of several sizes: in virtual time, with the real cost of its
// calls.
#include "quantile.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <dispatch_load.hpp>
#include <string>
#include <string_view>
#include <vector>

ABSL_FLAG(std::vector<std::string>, workers, std::vector<std::string>({"350", "1100", "1300"}), "Sizes of the fleet.");
ABSL_FLAG(std::vector<std::string>, waiting, std::vector<std::string>({"0", "1000", "10000", "50000"}),
    "Numbers of waiting tasks.");
ABSL_FLAG(int, rounds, 500, "Rounds of each measurement.");
ABSL_FLAG(int, seconds, 5, "A measurement ends after this time, once it has ten rounds.");
ABSL_FLAG(int, restarts, 20, "Workers restarted in each measurement.");
ABSL_FLAG(bool, thread_time, false, "Measure the processor time of the thread, for a busy machine.");

namespace {

using namespace kingcuplink;
using namespace kingcuplink::test;

enum class load_state : std::uint8_t {
    /*! The adviser answers nothing, the limits on queries are reached, and nothing can start. */
    saturated,
    /*! Tasks start as the adviser approves workers and as room becomes free; new ones replace them. */
    draining
};

constexpr std::array<std::string_view, 2u> state_names{"saturated", "draining"};
/*! Part of the cores that new jobs occupy if no backlog is asked for. */
constexpr double light_load = 0.6;
/*! Virtual time before a measurement: until the first runs of all kinds have ended. */
constexpr millis warm_up_time{8'000};
constexpr std::size_t min_rounds = 10u;

std::chrono::nanoseconds processor_time() {
    if(absl::GetFlag(FLAGS_thread_time)) {
        std::timespec time{};
        ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
    }
    return std::chrono::steady_clock::now().time_since_epoch();
}

double millis_of(std::chrono::nanoseconds const time) noexcept {
    return std::chrono::duration<double, std::milli>(time).count();
}

/*! One measurement. */
class measurement {
public:
    measurement(std::size_t const workers, std::size_t const waiting, load_state const state)
        : waiting_{waiting},
          state_{state},
          workers_{workers},
          load_{{.workers = workers,
              .entry_vms = std::max<std::size_t>(1u, workers * 2u / 15u),
              .answers_advice = state == load_state::draining,
              .processor_clock = processor_time}} {}

    /*! Runs the measurement and prints a line. */
    void run() {
        warm_up();
        load_.reset_figures();
        run_rounds(static_cast<std::size_t>(absl::GetFlag(FLAGS_rounds)));
        auto const figures = load_.figures();
        print(figures, restart_time());
    }

private:
    void warm_up() {
        // A saturated fleet needs a few rounds until all permitted queries are in flight.
        auto const rounds = state_ == load_state::draining
            ? static_cast<std::size_t>(warm_up_time / load_round_interval)
            : min_rounds;
        for(std::size_t round{}; round < rounds; ++round) {
            submit_jobs();
            load_.run_round();
        }
    }

    /*! Runs rounds with a backlog that stays the same, for a limited time. */
    void run_rounds(std::size_t const rounds) {
        auto const begun = std::chrono::steady_clock::now();
        for(std::size_t round{}; round < rounds; ++round) {
            submit_jobs();
            load_.run_round();
            auto const time = std::chrono::steady_clock::now() - begun;
            if(round + 1u >= min_rounds && time >= std::chrono::seconds{absl::GetFlag(FLAGS_seconds)}) {
                break;
            }
        }
    }

    void submit_jobs() {
        if(waiting_ == 0u && state_ == load_state::draining) {
            auto const total = static_cast<double>(load_.total_millicores());
            while(load_.utilization() + static_cast<double>(load_.waiting_tasks()) * mean_millicores() / total <
                light_load) {
                submit_job();
            }
        }
        while(load_.waiting_tasks() < waiting_) {
            submit_job();
        }
    }

    /*! Returns the mean cores of a task, in thousandths. */
    static double mean_millicores() noexcept {
        double sum{};
        for(auto const *kind: load_kinds) {
            sum += static_cast<double>(kind->millicores);
        }
        return sum / static_cast<double>(load_kinds.size());
    }

    /*! Submits a job of the kind with the fewest tasks so far. */
    void submit_job() {
        auto const least = std::min_element(submitted_.begin(), submitted_.end());
        auto const &kind = *load_kinds[static_cast<std::size_t>(least - submitted_.begin())];
        *least += kind.tasks;
        load_.submit(kind);
    }

    /*! Returns the mean time of a worker's restart: its registration and its first lists. */
    std::chrono::nanoseconds restart_time() {
        auto const restarts = std::min(workers_, static_cast<std::size_t>(absl::GetFlag(FLAGS_restarts)));
        std::chrono::nanoseconds sum{};
        for(std::size_t pos{}; pos < restarts; ++pos) {
            load_.advance(millis{1});
            auto const begun = load_.figures().dispatcher_time;
            load_.restart_worker(pos * workers_ / restarts);
            load_.poll_worker(pos * workers_ / restarts);
            sum += load_.figures().dispatcher_time - begun;
        }
        return sum / std::max<std::int64_t>(1, static_cast<std::int64_t>(restarts));
    }

    void print(dispatch_load_figures const &figures, std::chrono::nanoseconds const restart) const {
        std::vector<double> rounds;
        double sum{};
        for(auto const time: figures.round_times) {
            rounds.push_back(millis_of(time));
            sum += rounds.back();
        }
        auto const count = static_cast<double>(std::max<std::size_t>(1u, rounds.size()));
        auto const starts = static_cast<double>(figures.starts);
        auto const used = millis_of(figures.dispatcher_time);
        std::printf("%zu,%zu,%s,%zu,%.3f,%.3f,%.3f,%zu,%zu,%.0f,%.1f,%.1f\n", workers_, waiting_,
            state_names[static_cast<std::size_t>(state_)].data(), rounds.size(), sum / count,
            bench::quantile(rounds, 0.99), bench::quantile(rounds, 1.0), figures.max_steps_examined, figures.starts,
            used > 0.0 ? starts * 1'000.0 / used : 0.0, starts > 0.0 ? used * 1'000.0 / starts : 0.0,
            millis_of(restart) * 1'000.0);
        std::fflush(stdout);
    }

    std::size_t waiting_;
    load_state state_;
    std::size_t workers_;
    dispatch_load load_;
    std::array<std::size_t, load_kinds.size()> submitted_{};
};

} // namespace

int main(int argc, char **argv) {
    absl::ParseCommandLine(argc, argv);
    std::printf("workers,waiting,state,rounds,mean_ms,p99_ms,longest_ms,most_examined,starts,starts_per_s,us_per_start,"
                "us_per_restart\n");
    for(auto const &workers: absl::GetFlag(FLAGS_workers)) {
        for(auto const &waiting: absl::GetFlag(FLAGS_waiting)) {
            for(auto const state: {load_state::saturated, load_state::draining}) {
                measurement one{std::stoul(workers), std::stoul(waiting), state};
                one.run();
            }
        }
    }
    return 0;
}
