#ifndef KINGCUPLINK_STANDIN_SITE_RECORD_HPP_INCLUDED
#define KINGCUPLINK_STANDIN_SITE_RECORD_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
#include <kingcuplink/workflow/types.hpp>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kingcuplink::standin {

/*! Behaviour of the tasks of one step on a stand-in worker, read from the job's spec (JSON). */
struct scripted_step {
    std::uint32_t count{1u};
    std::int64_t millicores{};
    std::int64_t run_ms{};
    bool gang{};
    std::vector<std::uint32_t> after;
};

/*! Parses the steps of a spec; throws if the spec is malformed. */
[[nodiscard]] std::vector<scripted_step> parse_steps(std::string const &spec);

/*! Identity of a task. */
struct scripted_task {
    std::string job;
    std::uint32_t step{};
    std::uint32_t index{};

    friend auto operator<=>(scripted_task const &, scripted_task const &) = default;
};

/*! Writes an event with the Unix time in milliseconds to standard output. */
void log_event(std::string_view what, std::string_view name);

/*! Record of the runs on all workers, and of the invariants that they breach. Not thread safe. */
class site_record {
public:
    /*! Records that a worker started a run. */
    void started(run_key const &key, std::vector<scripted_step> const &steps, std::string const &worker);

    /*! Records that a run ended. */
    void ended(run_key const &key, run_outcome how);

    /*! Records that the leader acknowledged the end of a run. */
    void acknowledged(run_key const &key, run_outcome how);

    /*! Records a breach: a start was executed when the lease that came with it must have expired. */
    void started_after_lease_expiry(run_key const &key, std::string const &worker, std::int64_t held_ms);

    /*! Records a breach: the runs of a worker exceed its capacity. */
    void overcommitted(std::string const &worker, std::int64_t millicores);

    /*! Returns the breaches, the jobs with started tasks, and the numbers of started and running runs. */
    [[nodiscard]] boost::json::value as_json() const;

private:
    struct task_state {
        std::set<std::uint32_t> running;
        bool has_succeeded{};
        /*! True once a successful end was acknowledged. */
        bool is_success_acknowledged{};
        /*! Starts that followed a successful end that was not acknowledged yet, by the run that ended. */
        std::map<std::uint32_t, std::vector<std::string>> starts_after_success;
    };

    void breach(std::string text);
    [[nodiscard]] bool is_step_done(std::string const &job, std::uint32_t step, scripted_step const &what) const;

    std::map<scripted_task, task_state> tasks_;
    std::set<std::string> started_jobs_;
    std::vector<std::string> breaches_;
    std::size_t starts_{};
};

} // namespace kingcuplink::standin

#endif
