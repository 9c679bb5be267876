#ifndef KINGCUPLINK_BENCH_REPLAY_HPP_INCLUDED
#define KINGCUPLINK_BENCH_REPLAY_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/placement/scheduler.hpp>
#include <map>
#include <string>
#include <vector>

namespace kingcuplink::bench {

/*! Job of a replay: what is declared, and what is true. */
struct replay_job {
    job_spec declared;
    instant arrives{};
    /*! Run time that a task really has. */
    millis true_run{};
    /*! Part of a worker that a task really uses. */
    resources true_use{};
    /*! True if every task of it fails. */
    bool always_fails{};
};

/*! Change of the fleet or the queue at a time. */
struct replay_change {
    enum class kind : std::uint8_t { workers_lost, workers_out, workers_back, cancel_half };

    instant at{};
    kind what{};
    /*! The first worker that is concerned, and their number. */
    std::size_t first{};
    std::size_t count{};
};

/*! One replay: fleet, teams, jobs, changes. */
struct scenario {
    std::string name;
    std::size_t workers{48};
    std::size_t workers_per_rack{8};
    std::vector<team_quota> teams;
    std::vector<replay_job> jobs;
    std::vector<replay_change> changes;
    /*! Workers, of each hundred, that fail everything they start. */
    std::size_t failing_percent{};
    instant end{};
};

/*! Measures of a replay. */
struct replay_result {
    /*! Waiting times in milliseconds by kind, "urgent" and team. */
    std::map<std::string, std::vector<double>> waits;
    /*! Mean part of each dimension in use while jobs wait. */
    double cores_used{};
    double memory_used{};
    double accelerators_used{};
    /*! Distance of teams with enough demand from their share, mean over a minute, as a part of the share. */
    double share_distance{};
    /*! The same, of all teams and minutes but the worst twentieth. */
    double share_distance_p95{};
    double work_done_core_hours{};
    std::int64_t starts{};
    std::int64_t preemptions{};
    double lost_core_hours{};
    std::int64_t jobs_succeeded{};
    std::int64_t jobs_failed{};
    std::int64_t jobs_unfinished{};
    /*! Microseconds of each planning round that started something, and for each start in it. */
    std::vector<double> round_us;
    std::vector<double> start_us;
    double plan_seconds{};
    /*! Breaches of what must always hold. */
    std::vector<std::string> breaches;
};

/*! Replays a scenario in virtual time. The same scenario and options give the same decisions. */
[[nodiscard]] replay_result run_replay(scenario const &what, scheduler_options const &options);

} // namespace kingcuplink::bench

#endif
