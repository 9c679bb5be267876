#ifndef KINGCUPLINK_TEST_WORKFLOW_SIMULATED_LEAD_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_SIMULATED_LEAD_HPP_INCLUDED

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
struct hold_request {
    std::uint64_t token{};
    std::uint64_t kept_end{};
    millis wait{};
    std::optional<std::int64_t> expires_at{};
};

/*! The entry VM of a simulated leader: its clock, its network and the log. */
class lead_host {
public:
    using action = std::function<void()>;

    virtual ~lead_host() = default;

    [[nodiscard]] virtual instant now() const = 0;

    /*! Runs an action on the entry VM; if it stands still then, as soon as it goes on. */
    virtual void after(millis delay, action what) = 0;

    /*! Runs an action at any time soon, after what else is due. */
    virtual void soon(action what) = 0;

    virtual void append(
        std::vector<log_record> records, append_writer writer, std::function<void(append_result)> done) = 0;

    /*! Reads the registrations; nothing if the platform did not answer. */
    virtual void read_registrations(std::function<void(std::optional<std::vector<worker_registration>>)> done) = 0;

    /*! Asks a worker for its runs; no answer is nothing. @param boot Zero for any. */
    virtual void hold(std::string const &worker, std::uint64_t boot, hold_request request, millis timeout,
        std::function<void(hold_answer const *)> done) = 0;

    virtual void start(run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout,
        std::function<void(start_answer)> done) = 0;

    virtual void stop(run_stop stop, std::uint64_t token, millis timeout, std::function<void(bool)> done) = 0;

    /*! Sends a beat to the other entry VMs. */
    virtual void beat(std::uint64_t term, millis log_age, millis append_time) = 0;

    /*! Adds a line to the timeline. */
    virtual void note(std::string const &job, std::string const &text) = 0;

    /*! Called once when a higher term is known. */
    virtual void fenced() = 0;
};

/*! Drives a dispatcher as the leader of the fleet does, step by step, without I/O. */
class simulated_lead : public std::enable_shared_from_this<simulated_lead> {
public:
    /*!
     * Constructs a leader; the host must outlive it.
     * @param claimed_at When the append that claimed the term was first sent.
     * @param starts_wait True if other work may run between the log's answer and the sending of a start.
     */
    simulated_lead(lead_host &host, std::string name, std::uint64_t term, std::uint64_t sequence, instant claimed_at,
        bool starts_wait);

    /*! Takes the operators' rules. */
    void set_rules(std::shared_ptr<site_rules const> rules);

    /*! Takes a job as the log has it. */
    void add_job(job_entry const &entry);

    /*! Begins to work. */
    void start();

    /*! Stops for good. */
    void end() noexcept {
        over_ = true;
    }

    [[nodiscard]] std::uint64_t term() const noexcept {
        return term_;
    }

private:
    enum class look_mode : std::uint8_t { first, patient, prompt };

    struct worker_clock {
        std::uint64_t boot{};
        std::int64_t told{};
        instant told_at{};
    };

    /*! Wakes one waiter. */
    struct wakeup {
        bool is_set{};
        std::uint64_t turn{};
        lead_host::action waiting{};
    };

    void wait(wakeup &what, millis limit, lead_host::action then);
    void notify(wakeup &what);
    void follow_workers();
    void take_registrations(std::vector<worker_registration> const &entries);
    void watch_worker(std::string const &name, bool was_answered);
    void look_at(std::string const &name, look_mode mode, std::function<void(bool)> done);
    void take_answer(std::string const &name, hold_answer const &answer, instant sent_at);
    void note_losses();
    void look_again(std::string const &name);
    void run_planner();
    void plan();
    void run_journal();
    void keep_batch();
    /*! @param may_be_done_since When an earlier attempt was sent that may have been done. */
    void keep(std::vector<log_record> records, std::optional<instant> may_be_done_since, lead_host::action then);
    void batch_is_kept(progress_batch const &batch);
    void start_run(run_start const &run);
    void start_is_answered(run_start const &run, start_answer answer);
    void stop_run(run_stop const &stop);
    void run_beats();
    void fenced();
    [[nodiscard]] std::optional<std::int64_t> clock_of(std::string const &worker, std::uint64_t boot) const;
    [[nodiscard]] std::uint64_t token_for(std::string const &worker) const;
    [[nodiscard]] bool may_extend_leases(instant now) const;

    lead_host &host_;
    std::string name_;
    std::uint64_t term_;
    std::uint64_t sequence_;
    bool starts_wait_;
    millis lease_;
    dispatcher dispatcher_;
    std::map<std::string, worker_clock> clocks_;
    std::set<std::string> watched_;
    wakeup plan_wanted_;
    wakeup journal_wanted_;
    instant appended_at_;
    millis append_time_{};
    bool over_{};
};

} // namespace kingcuplink::test

#endif
