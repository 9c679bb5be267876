// Compares ways of choosing a runner in virtual time: several entry VMs share the slots of one failure domain.
#include "quantile.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <array>
#include <cstdio>
#include <deque>
#include <kingcuplink/core/config.hpp>
#include <kingcuplink/routing/runner_pool.hpp>
#include <queue>
#include <string_view>

ABSL_FLAG(int, runners, 16, "Runners of the failure domain, of 8 slots each.");
ABSL_FLAG(int, entry_vms, 3, "Entry VMs that share the slots.");
ABSL_FLAG(int, requests, 200000, "Requests of a run.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of arrivals and of work.");

namespace {

using namespace kingcuplink;

constexpr std::int64_t slots_per_runner = 8;
/*! Requests that a runner works on at full speed. */
constexpr double cores_per_runner = 4.0;
constexpr double mean_work_ms = 20.0;
constexpr double attempt_limit_ms = 500.0;

/*! What is wrong with some of the runners. */
struct condition {
    std::string_view name;
    std::size_t slow;
    double slowness;
    std::size_t dead;
};

constexpr std::array<condition, 3u> conditions{{{"all alike", 0u, 1.0, 0u}, {"two of them 4 times slower", 2u, 4.0, 0u},
    {"one of them gives no answers", 0u, 1.0, 1u}}};

struct strategy {
    std::string_view name;
    selection how;
};

constexpr std::array<strategy, 3u> strategies{{{"least_of_two", selection::least_of_two},
    {"round_robin", selection::round_robin}, {"least_outstanding", selection::least_outstanding}}};

struct queued_request {
    double arrived;
    double work;
};

struct completion {
    double at;
    std::size_t vm;
    runner_id runner;
    std::size_t runner_index;
    double arrived;
    bool answered;

    bool operator>(completion const &other) const noexcept {
        return at > other.at;
    }
};

/*! One run of a strategy under a condition and a load. */
class run_of_requests {
public:
    run_of_requests(strategy const &how, condition const &what, double const load)
        : what_{what}, random_{absl::GetFlag(FLAGS_seed)}, running_(runner_count(), 0) {
        auto const vms = static_cast<std::size_t>(absl::GetFlag(FLAGS_entry_vms));
        std::vector<runner_slots> slots;
        for(std::size_t number{}; number < runner_count(); ++number) {
            slots.push_back({.name = "r" + std::to_string(number), .address = std::to_string(number)});
        }
        for(std::size_t vm{}; vm < vms; ++vm) {
            pools_.emplace_back(absl::GetFlag(FLAGS_seed) + vm, how.how);
            for(std::size_t number{}; number < runner_count(); ++number) {
                auto const rest = static_cast<std::size_t>(slots_per_runner) % vms;
                slots[number].slots = slots_per_runner / static_cast<std::int64_t>(vms) +
                    ((number + vm) % vms < rest ? 1 : 0);
            }
            pools_.back().assign(slots);
        }
        queues_.resize(vms);
        auto const capacity_per_ms = static_cast<double>(runner_count()) * cores_per_runner / mean_work_ms;
        arrivals_ = std::exponential_distribution<double>{capacity_per_ms * load};
    }

    void run() {
        auto next_arrival = arrivals_(random_);
        auto const total = absl::GetFlag(FLAGS_requests);
        for(auto arrived = 0; arrived < total || !completions_.empty();) {
            if(arrived < total && (completions_.empty() || next_arrival <= completions_.top().at)) {
                now_ = next_arrival;
                next_arrival += arrivals_(random_);
                ++arrived;
                auto const vm = random_() % pools_.size();
                queues_[vm].push_back({now_, work_(random_)});
                pump(vm);
            } else {
                complete();
            }
        }
    }

    [[nodiscard]] std::vector<double> const &latencies() const noexcept {
        return latencies_;
    }

    [[nodiscard]] std::size_t unanswered() const noexcept {
        return unanswered_;
    }

private:
    static std::size_t runner_count() {
        return static_cast<std::size_t>(absl::GetFlag(FLAGS_runners));
    }

    [[nodiscard]] instant time() const {
        return instant{millis{static_cast<std::int64_t>(now_)}};
    }

    void pump(std::size_t const vm) {
        while(!queues_[vm].empty()) {
            auto const runner = pools_[vm].acquire(time());
            if(!runner) {
                return;
            }
            auto const index = static_cast<std::size_t>(std::stoul(pools_[vm].address_of(*runner)));
            auto const request = queues_[vm].front();
            queues_[vm].pop_front();
            auto const is_dead = index < what_.dead;
            auto const slowness = index < what_.slow ? what_.slowness : 1.0;
            auto const crowding = std::max(1.0, static_cast<double>(++running_[index]) / cores_per_runner);
            auto const took = is_dead ? attempt_limit_ms : request.work * slowness * crowding;
            completions_.push({now_ + took, vm, *runner, index, request.arrived, !is_dead});
        }
    }

    void complete() {
        auto const done = completions_.top();
        completions_.pop();
        now_ = done.at;
        --running_[done.runner_index];
        auto const outcome = done.answered ? attempt_outcome::answered : attempt_outcome::may_have_run;
        pools_[done.vm].release(done.runner, outcome, false, time());
        if(done.answered) {
            latencies_.push_back(now_ - done.arrived);
        } else {
            ++unanswered_;
        }
        pump(done.vm);
    }

    condition const &what_;
    std::mt19937_64 random_;
    std::exponential_distribution<double> arrivals_;
    std::exponential_distribution<double> work_{1.0 / mean_work_ms};
    std::vector<runner_pool> pools_;
    std::vector<std::deque<queued_request>> queues_;
    std::vector<std::int64_t> running_;
    std::priority_queue<completion, std::vector<completion>, std::greater<>> completions_;
    std::vector<double> latencies_;
    std::size_t unanswered_{};
    double now_{};
};

} // namespace

int main(int argc, char **argv) {
    absl::ParseCommandLine(argc, argv);
    std::printf("condition,load_percent,selection,p50_ms,p99_ms,p999_ms,unanswered\n");
    for(auto const &what: conditions) {
        for(auto const load: {0.5, 0.8}) {
            for(auto const &how: strategies) {
                run_of_requests one{how, what, load};
                one.run();
                std::printf("%s,%.0f,%s,%.1f,%.1f,%.1f,%zu\n", what.name.data(), 100.0 * load, how.name.data(),
                    bench::quantile(one.latencies(), 0.5), bench::quantile(one.latencies(), 0.99),
                    bench::quantile(one.latencies(), 0.999), one.unanswered());
            }
        }
    }
    return 0;
}
