#ifndef KINGCUPLINK_TEST_WORKFLOW_FIXTURE_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_FIXTURE_HPP_INCLUDED

#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace kingcuplink::test {

/*! Time that passes between two rounds of a fleet. */
inline constexpr millis round_length{20};

/*! Time for which runs of an earlier leader may go on unseen. */
inline constexpr millis inherited_lease{16'000};

/*! What a scripted fleet is made of. */
struct fleet_shape {
    std::size_t workers{4u};
    resources worker_size{64'000, 262'144, 0};
    /*! Workers of one failure domain follow each other. */
    std::size_t workers_per_domain{2u};
    std::optional<advice_terms> advice{};
    std::uint32_t max_attempts{2u};
    /*! Boot of every worker at first. */
    std::uint64_t first_boot{1u};
};

/*!
 * A dispatcher with scripted workers, an adviser that approves all, and a log that
 * keeps every batch at once. No network, no clock: step() lets a round pass.
 */
class scripted_fleet {
public:
    explicit scripted_fleet(fleet_shape shape = {});

    /*! Begins another reign over the same workers, with the jobs as the log has them. */
    void change_leader();

    /*! Lets a round pass: looks at workers, plans, keeps the batch, starts and stops runs. */
    void step();

    /*! Lets rounds pass for a time. */
    void run_for(millis time);

    /*! Hands a job in. */
    void submit(job_definition job);

    /*! Returns a job of one step. */
    [[nodiscard]] static job_definition job(std::string id, step_definition step, millis accepted_after = {});

    /*! Returns the phase of a job in the log. */
    [[nodiscard]] job_phase phase_of(std::string const &id) const;

    /*! Returns what runs of a job on all workers. */
    [[nodiscard]] std::size_t runs_of(std::string const &id) const;

    /*! Returns the largest part of a worker's size that its runs take. */
    [[nodiscard]] double fullest() const;

    /*! A run on a scripted worker. */
    struct run_on_worker {
        run_key key;
        resources size;
        instant ends_at{};
        run_outcome how{run_outcome::done};
    };

    /*! A scripted worker. */
    struct worker {
        worker_registration entry;
        bool reachable{true};
        std::vector<run_on_worker> runs{};
        std::vector<listed_completion> ends{};
        std::uint64_t next_end{1u};
    };

    instant now{instant{} + std::chrono::hours{1}};
    fleet_shape shape;
    std::vector<worker> workers;
    job_table table;
    std::unique_ptr<dispatcher> leader;
    std::shared_ptr<site_rules> rules{std::make_shared<site_rules>()};
    /*! How long runs of a job take, and how they end; one second and well by default. */
    std::map<std::string, std::pair<millis, run_outcome>> behaviour;
    /*! When the first run of a job began. */
    std::map<std::string, instant> first_start;
    /*! When the log had a job's end. */
    std::map<std::string, instant> ended_at;
    /*! False while the log takes nothing. */
    bool log_is_up{true};
    /*! True if answers to starts are lost after they took effect. */
    bool starts_are_unanswered{};
    /*! Time that each look at a worker takes: it waits for an end. */
    millis look_time{};
    /*! True if starts are lost on their way. */
    bool starts_are_lost{};
    std::size_t starts{};
    /*! How often a run of each task was stopped, by job, step and index. */
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::uint32_t> stops;
    std::size_t queries{};
    /*! Most steps whose workers were looked at in one round. */
    std::size_t most_steps_examined{};

private:
    std::optional<progress_batch> batch_under_way;

    void look_at_workers();
    void end_runs(worker &where);
    void keep_batch();
    void begin(run_start const &order);
    void obey(run_stop const &order);
    [[nodiscard]] worker *find(std::string const &name);
};

/*! Plans, keeps the batch at once, and returns the starts that may be sent. */
[[nodiscard]] std::vector<run_start> plan_and_keep(scripted_fleet &fleet);

/*! Returns a step of one small task. */
[[nodiscard]] step_definition one_task();

} // namespace kingcuplink::test

#endif
