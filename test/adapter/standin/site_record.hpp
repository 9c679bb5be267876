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

/*! What a task of a step does on a stand-in; a job's spec says it for each step, as JSON. */
struct scripted_step {
    std::uint32_t count{1u};
    std::int64_t millicores{};
    std::int64_t run_ms{};
    bool gang{};
    std::vector<std::uint32_t> after;
};

/*! Reads the steps from a spec; throws if it is not JSON. */
[[nodiscard]] std::vector<scripted_step> parse_steps(std::string const &spec);

/*! Identifies a task: job, step, index. */
struct scripted_task {
    std::string job;
    std::uint32_t step{};
    std::uint32_t index{};

    friend auto operator<=>(scripted_task const &, scripted_task const &) = default;
};

/*! Writes a line with the Unix millisecond to standard output. */
void log_event(std::string_view what, std::string_view name);

/*! What really ran, over all workers, and which promises it breaks. One thread. */
class site_record {
public:
    /*! Notes that a worker began a run. */
    void started(run_key const &key, std::vector<scripted_step> const &steps, std::string const &worker);

    /*! Notes that a run is no more, however it ended. */
    void ended(run_key const &key, run_end how);

    /*! Notes that the end of a run may be forgotten. */
    void acknowledged(run_key const &key, run_end how);

    /*! Notes that a start was carried out after the lease that came with it must have passed. */
    void started_after_lease_expiry(run_key const &key, std::string const &worker, std::int64_t held_ms);

    /*! Notes that a worker's runs take more than it has. */
    void overcommitted(std::string const &worker, std::int64_t millicores);

    /*! Returns breaches, jobs of which a task started, and how many runs began and run. */
    [[nodiscard]] boost::json::value as_json() const;

private:
    struct task_state {
        std::set<std::uint32_t> running;
        bool has_succeeded{};
        /*! True if an end that was taken note of was a good one. */
        bool is_success_acknowledged{};
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
