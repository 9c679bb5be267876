#ifndef KINGCUPLINK_TEST_WORKFLOW_FIXTURE_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_FIXTURE_HPP_INCLUDED

#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace kingcuplink::test {

/*! Interval between two rounds of a fleet. */
inline constexpr millis round_interval{20};

/*! Time for which runs of an earlier leader may continue on workers that do not answer. */
inline constexpr millis inherited_lease{16'000};

/*! Settings of a scripted fleet. */
struct scripted_fleet_options {
    std::size_t workers{4u};
    resources worker_size{64'000, 262'144, 0};
    /*! Number of consecutive workers that share a failure domain. */
    std::size_t workers_per_domain{2u};
    std::optional<advice_terms> advice{};
    std::uint32_t max_attempts{2u};
    /*! Initial boot of every worker. */
    std::uint64_t first_boot{1u};
    /*! By default, commands without an answer are executed at once or never. */
    dispatch_limits limits{.inherited_lease = inherited_lease};
};

/*!
 * A dispatcher with scripted workers, an adviser that approves all workers, and a log
 * that commits every batch immediately. Uses neither the network nor a clock: run_round()
 * advances the time.
 */
class scripted_fleet {
public:
    explicit scripted_fleet(scripted_fleet_options options = {});

    /*! Replaces the dispatcher by a new one with the same workers and the jobs as committed to the log. */
    void change_leader();

    /*! Runs one round: polls the workers, plans, commits the batch, starts and stops runs. */
    void run_round();

    /*! Runs rounds for the given time. */
    void run_for(millis time);

    /*! Submits a job. */
    void submit(job_definition job);

    /*! Returns the definition of a job of one step. */
    [[nodiscard]] static job_definition job(std::string id, step_definition step, millis accepted_after = {});

    /*! Returns the phase of a job as committed to the log. */
    [[nodiscard]] job_phase phase_of(std::string const &id) const;

    /*! Returns the number of runs of a job on all workers. */
    [[nodiscard]] std::size_t run_count(std::string const &id) const;

    /*! Returns the highest utilization of any worker, as a fraction of its capacity. */
    [[nodiscard]] double peak_utilization() const;

    /*! A run on a scripted worker. */
    struct scripted_run {
        run_key key;
        resources size;
        instant ends_at{};
        run_outcome outcome{run_outcome::done};
    };

    /*! A scripted worker. */
    struct worker {
        worker_registration entry;
        bool reachable{true};
        std::vector<scripted_run> runs{};
        std::vector<listed_completion> completions{};
        std::uint64_t next_completion{1u};
        /*! Boot that the worker registered; each boot registers itself once it has answered a poll. */
        std::uint64_t registered_boot{};
    };

    instant now{instant{} + std::chrono::hours{1}};
    scripted_fleet_options options;
    std::vector<worker> workers;
    job_table table;
    /*! Times at which all runs on workers will have ended, as recorded in the log. */
    std::map<std::string, instant> lapses;
    std::unique_ptr<dispatcher> leader;
    std::shared_ptr<site_rules> rules{std::make_shared<site_rules>()};
    /*! Duration and outcome of the runs of a job, by its identifier; by default 1 s and run_outcome::done. */
    std::map<std::string, std::pair<millis, run_outcome>> behaviour;
    /*! Time of the first start of each job. */
    std::map<std::string, instant> first_start;
    /*! Time at which the end of each job was committed to the log. */
    std::map<std::string, instant> ended_at;
    /*! False while the log accepts no batch. */
    bool is_log_available{true};
    /*! True if starts take effect but their answers are lost. */
    bool drops_start_answers{};
    /*! Duration of each poll of a worker, which waits for the end of a run. */
    millis poll_duration{};
    /*! True if starts are lost before they reach a worker. */
    bool drops_starts{};
    std::size_t starts{};
    /*! Number of times that a run of each task was stopped, by job, step and index. */
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::uint32_t> stops;
    std::size_t queries{};
    /*! Worker for which queries to the adviser fail. */
    std::string unadvised{};
    /*! Largest number of steps examined in one round. */
    std::size_t max_steps_examined{};

private:
    std::optional<progress_batch> pending_batch;

    void poll_workers();
    void complete_due_runs(worker &host);
    void commit_batch();
    void start_run(run_start const &command);
    void stop_run(run_stop const &command);
    [[nodiscard]] worker *find(std::string const &name);
};

/*! Plans, commits the batch immediately, and returns the starts that may be sent. */
[[nodiscard]] std::vector<run_start> plan_and_commit(scripted_fleet &fleet);

/*! Returns a step with one small task. */
[[nodiscard]] step_definition single_task_step();

} // namespace kingcuplink::test

#endif
