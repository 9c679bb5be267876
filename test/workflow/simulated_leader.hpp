#ifndef KINGCUPLINK_TEST_WORKFLOW_SIMULATED_LEADER_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_SIMULATED_LEADER_HPP_INCLUDED

#include "simulated_log.hpp"
#include "simulated_worker.hpp"

#include <functional>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kingcuplink::test {

/*! What a simulated leader asks of a worker. */
struct poll_request {
    std::uint64_t token{};
    std::uint64_t kept_end{};
    millis wait{};
    std::optional<std::int64_t> expires_at{};
};

/*! The entry VM of a simulated leader: its clock, its network and the log. */
class leader_host {
public:
    using action = std::function<void()>;

    virtual ~leader_host() = default;

    [[nodiscard]] virtual instant now() const = 0;

    /*! Runs an action on the entry VM; if it stands still then, as soon as it goes on. */
    virtual void after(millis delay, action what) = 0;

    /*! Runs an action at any time soon, after what else is due. */
    virtual void post(action what) = 0;

    virtual void append(
        std::vector<log_record> records, append_writer writer, std::function<void(append_result)> done) = 0;

    /*! Reads the registrations; nothing if the platform did not answer. */
    virtual void read_registrations(std::function<void(std::optional<std::vector<worker_registration>>)> done) = 0;

    /*! Asks a worker for its runs; no answer is nothing. @param boot Zero for any. */
    virtual void poll(std::string const &worker, std::uint64_t boot, poll_request request, millis timeout,
        std::function<void(poll_answer const *)> done) = 0;

    virtual void start(run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout,
        std::function<void(start_answer)> done) = 0;

    virtual void stop(run_stop stop, std::uint64_t token, millis timeout, std::function<void(bool)> done) = 0;

    /*! Sends a beat to the other entry VMs. */
    virtual void send_heartbeat(std::uint64_t term, millis log_age, millis append_time) = 0;

    /*! Adds a line to the timeline. */
    virtual void trace(std::string const &job, std::string const &text) = 0;

    /*! Called once when a higher term is known. */
    virtual void fenced() = 0;
};

/*! Drives a dispatcher as the leader of the fleet does, step by step, without I/O. */
class simulated_leader : public std::enable_shared_from_this<simulated_leader> {
public:
    /*!
     * Constructs a leader; the host must outlive it.
     * @param claimed_at When the append that claimed the term was first sent.
     * @param defers_starts True if other work may run between the log's answer and the sending of a start.
     */
    simulated_leader(leader_host &host, std::string name, std::uint64_t term, std::uint64_t sequence,
        instant claimed_at, bool defers_starts);

    /*! Takes the operators' rules. */
    void set_rules(std::shared_ptr<site_rules const> rules);

    /*! Takes a job as the log has it. */
    void add_job(job_entry const &entry);

    /*! Begins to work. */
    void start();

    /*! Stops for good. */
    void end() noexcept {
        is_stopped_ = true;
    }

    [[nodiscard]] std::uint64_t term() const noexcept {
        return term_;
    }

private:
    enum class poll_mode : std::uint8_t { first, long_poll, immediate };

    struct worker_clock {
        std::uint64_t boot{};
        std::int64_t reported_clock{};
        instant reported_at{};
    };

    /*! Wakes one waiter. */
    struct wakeup {
        bool is_set{};
        std::uint64_t generation{};
        leader_host::action continuation{};
    };

    void wait(wakeup &what, millis limit, leader_host::action then);
    void notify(wakeup &what);
    void run_registration_reader();
    void apply_registrations(std::vector<worker_registration> const &entries);
    void run_worker_polling(std::string const &name, bool was_answered);
    void poll_worker(std::string const &name, poll_mode mode, std::function<void(bool)> done);
    void apply_poll_answer(std::string const &name, poll_answer const &answer, instant sent_at);
    void trace_losses();
    void poll_immediately(std::string const &name);
    void run_planner();
    void plan();
    void run_log_writer();
    void append_batch();
    /*! @param possibly_committed_since When an earlier attempt was sent that may have been done. */
    void append_records(
        std::vector<log_record> records, std::optional<instant> possibly_committed_since, leader_host::action then);
    void handle_committed_batch(progress_batch const &batch);
    void start_run(run_start const &run);
    void handle_start_answer(run_start const &run, start_answer answer);
    void stop_run(run_stop const &stop);
    void run_heartbeats();
    void fenced();
    [[nodiscard]] std::optional<std::int64_t> estimate_clock(std::string const &worker, std::uint64_t boot) const;
    [[nodiscard]] std::uint64_t token_for(std::string const &worker) const;
    [[nodiscard]] bool may_extend_leases(instant now) const;

    leader_host &host_;
    std::string name_;
    std::uint64_t term_;
    std::uint64_t sequence_;
    bool defers_starts_;
    millis lease_;
    dispatcher dispatcher_;
    std::map<std::string, worker_clock> clocks_;
    std::set<std::string> polled_workers_;
    wakeup plan_wakeup_;
    wakeup log_wakeup_;
    instant appended_at_;
    millis append_duration_{};
    bool is_stopped_{};
};

} // namespace kingcuplink::test

#endif
