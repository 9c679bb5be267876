#include "caller_load.hpp"

#include <array>

namespace kingcuplink::soak {

namespace {

using test::submit_outcome;

constexpr std::uint64_t callers = 3u;
/*! Tries of a submission whose outcome is not known, at other entry VMs. */
constexpr int most_tries = 4;
constexpr auto pause_between_calls = std::chrono::milliseconds{60};
constexpr auto pause_between_tries = std::chrono::milliseconds{200};
/*! Time after which every entry VM that answers knows a job. */
constexpr auto visible_time = std::chrono::milliseconds{3'000};
constexpr millis patience{1'500};

std::vector<test::test_step> any_steps(std::mt19937_64 &random) {
    auto const number = [&random](std::uint32_t const least, std::uint32_t const most) {
        return std::uniform_int_distribution<std::uint32_t>{least, most}(random);
    };
    switch(number(0u, 3u)) {
    case 0u:
        return {{.count = number(1u, 4u), .millicores = 1'000, .run_ms = number(50u, 400u)}};
    case 1u:
        return {{.count = 2u, .millicores = 1'500, .run_ms = number(100u, 600u)},
            {.count = number(1u, 3u), .run_ms = 150, .after = {0u}}};
    case 2u:
        return {{.count = number(2u, 6u), .millicores = 4'000, .run_ms = number(200u, 600u), .gang = true}};
    default:
        return {{.count = 1u, .millicores = 2'000, .run_ms = number(1'000u, 2'500u)}};
    }
}

} // namespace

caller_load::caller_load(test::site_fleet const &site, std::uint64_t const seed) : site_{site} {
    for(std::uint64_t pos{}; pos < callers; ++pos) {
        threads_.emplace_back([this, seed, pos]() { call(seed * callers + pos); });
    }
}

void caller_load::stop() {
    over_ = true;
    for(auto &thread: threads_) {
        thread.join();
    }
    threads_.clear();
}

void caller_load::call(std::uint64_t const seed) {
    std::mt19937_64 random{seed};
    using action = void (caller_load::*)(std::mt19937_64 &);
    constexpr std::array<action, 10u> actions{&caller_load::hand_in, &caller_load::hand_in, &caller_load::hand_in,
        &caller_load::hand_in, &caller_load::hand_in, &caller_load::hand_in, &caller_load::cancel_one,
        &caller_load::ask_for_one, &caller_load::ask_for_one, &caller_load::ask_for_one};
    while(!over_) {
        (this->*actions[random() % actions.size()])(random);
        std::this_thread::sleep_for(pause_between_calls);
    }
}

std::string caller_load::any_vm(std::mt19937_64 &random) const {
    return site_.entry_vms()[random() % site_.entry_vms().size()];
}

void caller_load::hand_in(std::mt19937_64 &random) {
    auto const number = std::to_string(next_id_++);
    auto const id = std::string(16u - number.size(), '0') + number;
    auto const steps = any_steps(random);
    std::string const queue = random() % 2u == 0u ? "urgent" : "batch";
    auto outcome = submit_outcome::unknown;
    for(auto tries = 0; tries < most_tries && outcome == submit_outcome::unknown; ++tries) {
        outcome = site_.submit(any_vm(random), queue, id, steps, patience);
        {
            std::lock_guard const guard{mutex_};
            auto &fate = jobs_[id];
            fate.queue = queue;
            fate.only_refused = fate.only_refused && outcome == submit_outcome::refused;
            if(outcome == submit_outcome::accepted) {
                fate.accepted = true;
                fate.accepted_at = std::chrono::steady_clock::now();
            }
        }
        if(outcome == submit_outcome::unknown) {
            std::this_thread::sleep_for(pause_between_tries);
        }
    }
}

std::string caller_load::any_job(std::mt19937_64 &random) {
    std::lock_guard const guard{mutex_};
    if(jobs_.empty()) {
        return {};
    }
    auto entry = jobs_.begin();
    std::advance(entry, static_cast<std::ptrdiff_t>(random() % jobs_.size()));
    return entry->second.accepted ? entry->first : std::string{};
}

void caller_load::cancel_one(std::mt19937_64 &random) {
    auto const id = any_job(random);
    if(id.empty()) {
        return;
    }
    std::string queue;
    {
        std::lock_guard const guard{mutex_};
        jobs_[id].cancel_sent = true;
        queue = jobs_[id].queue;
    }
    static_cast<void>(site_.cancel(any_vm(random), queue, id));
}

void caller_load::ask_for_one(std::mt19937_64 &random) {
    auto const id = any_job(random);
    if(id.empty()) {
        return;
    }
    job_fate fate;
    {
        std::lock_guard const guard{mutex_};
        fate = jobs_[id];
    }
    auto const asked_at = std::chrono::steady_clock::now();
    auto const vm = any_vm(random);
    auto const state = site_.state(vm, fate.queue, id);
    if(state == "gone" && fate.accepted_at + visible_time < asked_at) {
        std::lock_guard const guard{mutex_};
        breaches_.push_back("accepted and not known: job " + id + " at " + vm);
    }
    std::lock_guard const guard{mutex_};
    // Another caller may have cancelled it meanwhile.
    if(state == "failed" || (state == "cancelled" && !jobs_[id].cancel_sent)) {
        breaches_.push_back("ended without a cause: job " + id + " is told as " + state + " by " + vm);
    }
}

} // namespace kingcuplink::soak
