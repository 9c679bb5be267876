#ifndef KINGCUPLINK_WORKFLOW_DISPATCHER_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_DISPATCHER_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/workflow/dispatch_state.hpp>
#include <kingcuplink/workflow/job_table.hpp>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace kingcuplink {

/*! Order to start a run. */
struct run_start {
    placement_id placement;
    std::string worker;
    std::string address;
    std::uint64_t boot{};
    run_key key;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
};

/*! Order to stop a run. */
struct run_stop {
    placement_id placement;
    std::string worker;
    std::string address;
    std::uint64_t boot{};
    run_key key;
};

/*! Question which workers a step may use. */
struct advice_query {
    std::string job;
    std::uint32_t step{};
    std::vector<std::string> workers;
    /*! Time that the adviser is expected to take. */
    millis duration{};
};

/*! A worker that may run a step. */
struct advice_grant {
    std::string worker;
    std::string ticket;
};

/*! What a worker answered to a start. */
enum class start_answer : std::uint8_t {
    started,
    /*! A higher token was used there. */
    fenced,
    /*! A higher run was seen there. */
    outdated,
    /*! The lease that came with it had passed. */
    late,
    no_capacity,
    bad_ticket,
    /*! The worker is unwell and did nothing. */
    unhealthy,
    /*! Another boot than the one that was meant answered, and did nothing. */
    other_boot,
    /*! It was surely not sent. */
    not_sent,
    /*! It may run now or later. */
    unknown
};

/*! Returns the name of an answer. */
[[nodiscard]] std::string_view name_of(start_answer answer) noexcept;

/*!
 * Returns the token of orders to a worker. It rises with the leader's term and, within it, with each boot of the
 * worker that the leader saw, so that a boot refuses late orders that were meant for an earlier one.
 */
[[nodiscard]] constexpr std::uint64_t command_token(std::uint64_t const term, std::uint64_t const restarts) noexcept {
    constexpr unsigned restart_bits = 20u;
    constexpr std::uint64_t max_restarts = (std::uint64_t{1} << restart_bits) - 1u;
    return (term << restart_bits) | (restarts < max_restarts ? restarts : max_restarts);
}

/*! Ends of one boot of a worker that records account for. */
struct completion_cursor {
    worker_id worker;
    std::uint64_t boot{};
    /*! Number of the last one. */
    std::uint64_t number{};
};

/*! What the log has to learn; what depends on it waits until it has. */
struct progress_batch {
    std::vector<std::pair<std::string, job_progress>> records;
    /*! What is still needed of the definitions of jobs that ended: whose they were. */
    std::vector<job_definition> ended_jobs;
    std::vector<placement_id> starts;
    std::vector<completion_cursor> ends;

    [[nodiscard]] bool empty() const noexcept {
        return records.empty() && starts.empty() && ends.empty();
    }
};

/*! What one planning round decided besides intents. */
struct dispatch_plan {
    std::vector<run_stop> stops;
    std::vector<advice_query> queries;
    /*! Steps whose workers were looked at: the length of a round goes with them. */
    std::size_t steps_examined{};
};

/*! Figures for status and metrics. */
struct dispatch_statistics {
    std::size_t jobs{};
    std::size_t waiting_tasks{};
    std::size_t runs{};
    std::size_t workers{};
    std::size_t usable_workers{};
};

/*!
 * Decides which task runs on which worker for the whole fleet. It performs no I/O
 * and reads no clock. An intent goes to the log before its start is sent, and the
 * end of a run before the worker may forget it; so a successor that has read the log
 * and asked the workers knows all runs. Not thread safe.
 */
class dispatcher {
public:
    /*!
     * Begins a reign.
     * @param inherited_lease Time for which runs of an earlier leader may go on at
     * workers that cannot be asked.
     * @param now Start of the reign.
     */
    dispatcher(millis inherited_lease, instant now);

    /*! Takes the operators' rules. */
    void set_rules(std::shared_ptr<site_rules const> rules);

    /*! Tells how many entry VMs ask for advice; it bounds the questions under way. */
    void set_querying_vms(std::size_t count) noexcept;

    /*!
     * Adds a worker or takes its changed registration. Runs stay as they are: if the registration names another
     * boot or address, the worker gets no more runs until apply_inventory() has its answer.
     */
    void register_worker(worker_registration entry, instant now);

    /*! Notes that a worker's registration is gone. */
    void unregister_worker(std::string const &name);

    /*! Adds a job as the log has it. A job that is known is not added again. */
    void add_job(job_entry const &entry);

    /*! Cancels a job: its runs are stopped. */
    void cancel_job(std::string const &id);

    /*!
     * Notes that a call which extends the lease of a worker's runs is about to be sent.
     * @param leases_expire_at When all that it extends has lapsed by any clock.
     */
    void record_lease_extension(std::string const &worker, instant leases_expire_at);

    /*!
     * Takes a worker's own account of its runs. If another boot answers, runs that it lists go on: an order that was
     * meant for the earlier boot may have reached this one. Those that had begun in the earlier one are lost.
     * @param sent_at When the question was sent: what was ordered later may be missing.
     */
    void apply_inventory(std::string const &worker, worker_inventory const &inventory, instant sent_at, instant now);

    /*!
     * Notes that another worker answered at a worker's address: what ran there is gone, and an order that is late does
     * nothing. False if nothing follows, because its registration names or named another address, or it answered a
     * later question.
     * @param address Address that was asked.
     * @param sent_at When the question was sent.
     */
    bool worker_replaced(std::string const &worker, std::string const &address, instant sent_at, instant now);

    /*! Returns the boot of a worker that last answered, or zero. */
    [[nodiscard]] std::uint64_t boot_of(std::string const &worker) const;

    /*! Tells whether a worker's runs are known and its registration agrees with its last answer. */
    [[nodiscard]] bool is_reconciled(std::string const &worker) const;

    /*! Returns how often this leader saw another boot of a worker than the one before. */
    [[nodiscard]] std::uint64_t restarts_of(std::string const &worker) const;

    /*! Returns the number of the last end of a worker that the log accounts for. */
    [[nodiscard]] std::uint64_t kept_end(std::string const &worker) const;

    /*! Returns the number of the last end of a worker that was taken note of. */
    [[nodiscard]] std::uint64_t seen_end(std::string const &worker) const;

    /*! Tells whether the log does not account for all ends that a worker listed. */
    [[nodiscard]] bool has_unpersisted_completions(std::string const &worker) const {
        return seen_end(worker) > kept_end(worker);
    }

    /*! Takes the answer to a start. */
    void start_answered(placement_id placement, start_answer answer, instant now);

    /*! Takes the answer to a stop; false if there was none. */
    void stop_answered(placement_id placement, bool answered, instant now);

    /*! Takes advice on a step: workers that were asked about and those that were approved. */
    void take_advice(advice_query const &query, std::span<advice_grant const> grants, instant now);

    /*! Notes that a question for advice failed. */
    void advice_failed(advice_query const &query, instant now);

    /*! Decides on intents, stops and questions. */
    void plan(instant now, dispatch_plan &out);

    /*! Returns what the log has to learn next. Only one batch may be under way. */
    [[nodiscard]] progress_batch next_batch();

    /*!
     * Notes that the log has a batch.
     * @param out Receives the starts that may now be sent; those that circumstances
     * have overtaken are dropped.
     */
    void batch_committed(progress_batch const &batch, instant now, std::vector<run_start> &out);

    /*! Returns runs that were taken off the books without an end since the last call; for the log of decisions. */
    [[nodiscard]] std::vector<lost_run> take_lost_runs();

    /*! Returns figures. */
    [[nodiscard]] dispatch_statistics figures(instant now) const;

    /*! Returns a worker that is registered or may have runs, or null. */
    [[nodiscard]] worker_registration const *find_worker(std::string const &name) const;

private:
    void adopt_runs(job_id id, job_entry const &entry);
    void end_job(job_id id, job_phase phase);
    void stop_runs(job_id id, std::uint32_t step);
    void finish_task(job_id id, run_key const &key);
    void finish_step(job_id id, std::uint32_t step);
    void count_failure(job_id id, run_key const &key, worker_id worker);
    void update_quarantine(worker_id worker, job_id job, run_outcome how, instant now);
    void apply_completion(worker_id worker, listed_completion const &end, instant now);
    /*! Compares the books with a list; runs that are gone are lost for the given reason. */
    void reconcile_runs(
        worker_id worker, worker_inventory const &inventory, run_loss reason, instant sent_at, instant now);
    void add_unknown_run(worker_id worker, listed_run const &run, instant now);
    /*! Begins to know a worker by another boot; its runs stay on the books until its list tells of them. */
    void reset_for_boot(worker_id worker, std::uint64_t boot);
    /*! Removes a run that did not end well; a gang goes with it. */
    void remove_run(placement_id id, instant now);
    /*! Removes a run of which no end was listed. */
    void remove_lost_run(placement_id id, run_loss reason, instant now);
    void expire_leases(instant now);
    [[nodiscard]] bool may_still_start(internal::placement const &run, instant now) const;
    [[nodiscard]] placement_id find_run(worker_id worker, run_key const &key) const;

    internal::dispatch_state state_;
    std::vector<lost_run> lost_;
};

} // namespace kingcuplink

#endif
