#ifndef KINGCUPLINK_DAEMON_DOMAIN_LEADER_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_DOMAIN_LEADER_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <kingcuplink/authority/hold_table.hpp>
#include <kingcuplink/authority/leadership.hpp>
#include <kingcuplink/daemon/allotment_manager.hpp>
#include <kingcuplink/daemon/job_replicator.hpp>
#include <kingcuplink/gateway/control_api.hpp>
#include <kingcuplink/placement/scheduler.hpp>
#include <kingcuplink/platform/worker_client.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>

namespace kingcuplink {

/*! Components of the daemon that a leader uses; all references must outlive it. */
struct leader_dependencies {
    boost::asio::io_context &context;
    daemon_settings const &settings;
    counters &stats;
    worker_client &workers;
    peer_directory &peers;
    job_replicator &jobs;
    allotment_manager &allotments;
    leadership const &leadership_state;
};

/*! Whether a submission is deduplicated by its key. */
enum class submission_rule : std::uint8_t {
    always_new,
    /*! A known key denotes the job submitted earlier. Requires a leader that has read its journal. */
    once
};

/*! Reason for which a job is taken over from another failure domain. */
enum class takeover_origin : std::uint8_t {
    /*! Its leader relinquished it: none of its unfinished tasks runs there. */
    relinquished,
    /*! Its failure domain is lost: tasks with a persisted start intent may have run. */
    adopted
};

/*!
 * Leader of a failure domain for one leadership term: holds the workers' leases,
 * places tasks and manages the state of the jobs. Cannot be restarted after end().
 * Not thread-safe: only the control thread may use it.
 */
class domain_leader : public std::enable_shared_from_this<domain_leader>, private start_gate {
public:
    /*! Called when a worker refuses a lease because it holds a newer epoch; receives the term of that epoch. */
    using fenced_listener = std::function<void(std::uint64_t term)>;

    /*! Constructs the leader of a term. */
    domain_leader(leader_dependencies dependencies, std::uint64_t term, std::shared_ptr<document const> rules,
        fenced_listener on_fenced);

    /*! Starts to acquire the workers' leases and to place tasks. Call once. */
    void start();

    /*! Ends the leadership: no further tasks are started and no further events are recorded. */
    void end() noexcept;

    /*! Applies a new version of the document. */
    void update(std::shared_ptr<document const> rules);

    /*! Applies the list of VMs. */
    void update(vm_list const &vms, instant now);

    /*! Loads entries of the job ledger that are not in the scheduler yet. */
    void load_ledger();

    /*! Invalidates all leases after a pause of the process: each inventory is read again before the next start. */
    void handle_pause();

    /*! Accepts a job and waits until a second place confirms its record. */
    boost::asio::awaitable<api_answer> submit(std::string key, job_spec spec, submission_rule rule);

    /*!
     * Describes the job that was submitted under a name in any failure domain.
     * @param name Key of the job without the failure domain.
     * @param spec Expected specification; a job that differs is refused with idempotency_mismatch.
     */
    [[nodiscard]] api_answer find_submitted(std::string const &name, job_spec const &spec) const;

    /*! Takes over a job from another failure domain. */
    boost::asio::awaitable<api_answer> take_over_job(
        boost::json::value events, takeover_origin origin = takeover_origin::relinquished);

    /*! Cancels a job and waits until a second place confirms the cancellation. */
    boost::asio::awaitable<api_answer> cancel(std::string key);

    /*! Describes a job. */
    [[nodiscard]] api_answer describe(std::string const &key) const;

    /*! Lists the jobs of a team, or of all teams if the name is empty. */
    [[nodiscard]] boost::json::array list(std::string const &team) const;

    /*! Donates a part of a team's allotment to another failure domain. */
    boost::asio::awaitable<api_answer> donate(std::string team, std::string to, resources wanted);

    /*! Returns the state of the workers and teams. */
    [[nodiscard]] boost::json::object status() const;

private:
    /*! Resources of a task that are counted in the hold table. */
    struct task_use {
        worker_id worker;
        team_id team;
        resources amount;
    };

    /*! State of one worker as known to the leader. */
    struct worker_slot {
        std::string name;
        std::string address;
        worker_id id;
        /*! Low bits of the epoch, below the term; incremented with each acquisition. */
        std::uint64_t acquisitions{};
        std::uint64_t version{};
        bool held{};
        /*! True once this leader knows the tasks of the worker, or knows that they have ended. */
        bool accounted{};
        bool leaving{};
        instant missing_since{};
        /*! Running tasks of unknown jobs, with their resources. */
        std::map<std::pair<std::string, std::int64_t>, task_use> unknown{};
    };

    /*! Job that was moved to another failure domain, until that domain confirms it. */
    struct handover {
        std::string job;
        std::string to;
        /*! Generation of the job before the move. */
        std::uint32_t generation{};

        auto operator<=>(handover const &) const = default;
    };

    using self_pointer = std::shared_ptr<domain_leader>;

    // Leases and inventories of the workers.
    void add_workers();
    boost::asio::awaitable<void> maintain_lease(self_pointer self, std::string name);
    boost::asio::awaitable<bool> acquire(worker_slot &slot);
    boost::asio::awaitable<void> renew(worker_slot &slot);
    void invalidate_lease(worker_slot &slot);
    void update_usable(worker_slot &slot);
    void refused(worker_slot &slot, std::uint64_t epoch);
    [[nodiscard]] std::uint64_t epoch_of(worker_slot const &slot) const noexcept;
    [[nodiscard]] lease_holder holder_of(worker_slot const &slot) const;
    void apply_inventory(worker_slot &slot, lease_reply const &reply);
    void apply_changes(worker_slot &slot, lease_reply const &reply);
    void apply_task(worker_slot &slot, worker_task const &seen);
    void apply_running(worker_slot &slot, task_id task, worker_task const &seen);
    void apply_ended(task_id task, worker_task const &seen);
    void track_unknown(worker_slot &slot, worker_task const &seen);
    void clear_unknown(worker_slot &slot);
    boost::asio::awaitable<void> stop_orphan(
        self_pointer self, std::string worker, std::string job, std::int64_t ordinal);
    [[nodiscard]] bool is_lease_known_expired(worker_slot const &slot, instant now) const;
    void end_expired_tasks(instant now);

    // Jobs and their recovery.
    boost::asio::awaitable<void> recover(self_pointer self);
    [[nodiscard]] std::optional<api_answer> find_known_job(std::string const &key, job_spec const &spec) const;
    void load_entry(std::string const &key, ledger_entry const &entry);
    void release_withheld();
    void release_task(task_id task, bool may_have_run);
    [[nodiscard]] bool may_have_started(task_id task) const;
    [[nodiscard]] bool has_intent(task_id task) const;

    // Adoption of jobs of lost failure domains.
    boost::asio::awaitable<void> run_adoption(self_pointer self);
    boost::asio::awaitable<bool> adopt_jobs_of(std::string domain);
    boost::asio::awaitable<bool> adopt_job(std::string key, ledger_entry entry);
    [[nodiscard]] bool is_adopter() const;
    void record_job_end(job_id job);

    // Placement.
    boost::asio::awaitable<void> run_planner(self_pointer self);
    boost::asio::awaitable<void> run_maintenance(self_pointer self);
    void plan();
    boost::asio::awaitable<void> start_task(self_pointer self, task_id task);
    boost::asio::awaitable<void> stop_task(self_pointer self, stop_command command);
    boost::asio::awaitable<void> throttle_task(self_pointer self, task_id task);
    boost::asio::awaitable<bool> persist_intent(std::uint64_t sequence, bool repeatable);
    void end_task(task_id task, task_outcome outcome);
    void record_use(task_id task);
    void shed_excess();
    boost::asio::awaitable<void> move_jobs(self_pointer self);
    void begin_handover(std::string const &key, std::string const &to, std::uint32_t generation);
    boost::asio::awaitable<void> send_handover(self_pointer self, handover what, std::uint64_t sequence);
    [[nodiscard]] bool is_handover_pending(handover const &what) const;
    boost::asio::awaitable<void> request_allotment(self_pointer self, std::string team, resources wanted);

    bool permits(team_record const &team, worker_record const &worker, resources const &charge) override;
    void started(team_record const &team, worker_record const &worker, resources const &charge) override;
    void undone(team_record const &team, worker_record const &worker, resources const &charge) override;

    [[nodiscard]] bool accepts_work() const;
    [[nodiscard]] std::string handover_target() const;
    [[nodiscard]] boost::json::object describe(job_id job) const;

    leader_dependencies dependencies_;
    std::uint64_t term_;
    std::shared_ptr<document const> rules_;
    fenced_listener on_fenced_;
    instant started_at_;
    /*! Lease holder name sent to the workers; another process of the same entry VM name is a different holder. */
    std::string holder_id_;
    bool ended_{};
    bool recovered_{};
    bool journal_read_{};
    bool has_withheld_tasks_{true};
    bool plan_requested_{};
    scheduler scheduler_;
    hold_table holds_;
    std::map<std::string, worker_slot> slots_;
    std::map<std::uint32_t, std::string> slot_names_;
    std::map<task_id, task_use> task_uses_;
    /*! Tasks whose start command is not yet answered. */
    std::set<task_id> starts_in_flight_;
    /*! Jobs that are being accepted and are not confirmed in a second place yet. */
    std::set<std::string> pending_submissions_;
    std::set<handover> handovers_;
    /*! Tasks without a live job that are about to be stopped: worker, job and ordinal. */
    std::set<std::tuple<std::string, std::string, std::int64_t>> orphan_stops_;
    /*! Lost failure domains whose jobs have all been adopted. */
    std::set<std::string> adopted_domains_;
    std::map<std::string, resources> denied_charges_;
    std::set<std::string> pending_allotment_requests_;
};

} // namespace kingcuplink

#endif
