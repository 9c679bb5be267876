#ifndef KINGCUPLINK_SOAK_CALLER_LOAD_HPP_INCLUDED
#define KINGCUPLINK_SOAK_CALLER_LOAD_HPP_INCLUDED

#include "site_fleet.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace kingcuplink::soak {

/*! What callers know of one job. */
struct job_fate {
    std::string queue;
    /*! True once any entry VM accepted it. */
    bool accepted{};
    /*! True while every try was refused. */
    bool only_refused{true};
    /*! True once a cancellation was sent, acknowledged or not. */
    bool cancel_sent{};
    std::chrono::steady_clock::time_point accepted_at{};
};

/*! Callers on threads of their own, and what they were told. */
class caller_load {
public:
    /*! Begins to call; the site must outlive it. */
    caller_load(test::site_fleet const &site, std::uint64_t seed);

    /*! Ends the calls. */
    void stop();

    /*! Returns what callers know. Precondition: stopped. */
    [[nodiscard]] std::map<std::string, job_fate> const &jobs() const noexcept {
        return jobs_;
    }

    /*! Returns promises that answers broke. Precondition: stopped. */
    [[nodiscard]] std::vector<std::string> const &breaches() const noexcept {
        return breaches_;
    }

private:
    void call(std::uint64_t seed);
    void hand_in(std::mt19937_64 &random);
    void cancel_one(std::mt19937_64 &random);
    void ask_for_one(std::mt19937_64 &random);
    [[nodiscard]] std::string any_vm(std::mt19937_64 &random) const;
    /*! Returns an accepted job, or an empty text. */
    [[nodiscard]] std::string any_job(std::mt19937_64 &random);

    test::site_fleet const &site_;
    std::atomic<bool> over_{};
    std::atomic<std::uint64_t> next_id_{1u};
    std::mutex mutex_;
    std::map<std::string, job_fate> jobs_;
    std::vector<std::string> breaches_;
    std::vector<std::thread> threads_;
};

} // namespace kingcuplink::soak

#endif
