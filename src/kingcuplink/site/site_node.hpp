#ifndef KINGCUPLINK_SITE_SITE_NODE_HPP_INCLUDED
#define KINGCUPLINK_SITE_SITE_NODE_HPP_INCLUDED

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <kingcuplink/site/fleet_leader.hpp>
#include <kingcuplink/site/job_questions.hpp>
#include <kingcuplink/site/keyed_reader.hpp>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/node_parts.hpp>
#include <kingcuplink/site/record_appender.hpp>
#include <kingcuplink/site/record_codec.hpp>
#include <kingcuplink/site/start_relay.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <kingcuplink/workflow/job_table.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! Operation that a caller requests. */
enum class caller_operation : std::uint8_t { submit, ask, cancel };

/*! Caller's request, as parsed by the adapter. */
struct caller_request {
    caller_operation operation{caller_operation::ask};
    std::string host;
    /*! Path prefix of the queue, followed by the job's identifier; without one it denotes the queue itself. */
    std::string path;
    /*! API key; empty if the request has none. */
    std::string key;
    /*! Job to submit, without identifier, queue and account; nothing if the body is malformed. */
    std::optional<job_definition> draft;
    /*! Reason why the body is malformed. */
    std::string draft_error;
    /*! Time that the caller waits for an answer; zero if unspecified. */
    millis timeout{};
};

/*! Answer to a caller's request. */
struct caller_answer {
    std::optional<problem> refused;
    /*! Phase of the job, if the request was accepted and concerns a job. */
    std::optional<job_phase> phase;
    /*! Number of jobs of the queue without a started task, if the request concerns a queue. */
    std::optional<std::size_t> pending;
};

/*!
 * Control of an entry VM in a site, where the platform persists all state: it follows the log, serves
 * callers, takes part in the leader election and leads the fleet if elected. One thread runs its context;
 * methods must be called on that thread unless stated otherwise.
 */
class site_node {
public:
    /*! Constructs a node and listens for peers. Throws zmq::error_t if the address cannot be bound. */
    explicit site_node(node_parts parts);

    /*! Starts the node. Must be called once, before the context runs. */
    void start();

    /*! Serves a caller's request. */
    boost::asio::awaitable<caller_answer> serve(caller_request request);

    /*! Clears the readiness and resigns leadership. */
    void drain();

    /*! Returns whether the load balancer should send new connections. Thread safe. */
    [[nodiscard]] bool is_ready() const noexcept {
        return ready_;
    }

    /*! Returns whether this entry VM leads the fleet. */
    [[nodiscard]] bool leads() const noexcept {
        return leader_ != nullptr;
    }

    /*! Returns metrics in the Prometheus text format. */
    [[nodiscard]] std::string metrics() const;

private:
    // Callers.
    boost::asio::awaitable<caller_answer> submit(
        caller_request request, queue_rules const &queue, std::string account, std::string id);
    boost::asio::awaitable<caller_answer> cancel(caller_request const &request, std::string id);
    /*! Returns the state of a job as the leader knows it if this entry VM is behind on the log, otherwise as read. */
    boost::asio::awaitable<caller_answer> ask(site_rules const &rules, queue_rules const &queue, std::string id);
    /*! Writes refused questions, and answers from jobs that were read some time ago, to the decision log. */
    void record_answer(std::string const &id, caller_answer const &answer);
    [[nodiscard]] caller_answer job_answer(
        site_rules const &rules, queue_rules const &queue, std::string const &id) const;
    /*!
     * Asks the leader for a job that this entry VM may not know in its present state, because it is behind on the log.
     * Returns nothing if there is no need to, or no answer.
     */
    boost::asio::awaitable<std::optional<caller_answer>> ask_leader_for_job(
        site_rules const &rules, queue_rules const &queue, std::string id);
    [[nodiscard]] caller_answer queue_answer(queue_rules const &queue) const;
    /*!
     * Waits until a job is known, or the log is read up to its current end. Returns false if it cannot be read in time.
     */
    boost::asio::awaitable<bool> catch_up(std::string const &id);
    /*! Appends a caller's record and waits for the outcome; `refused` at once if neither log nor leader is reachable.
     */
    boost::asio::awaitable<append_outcome> append_record(keyed_record record, millis timeout);
    /*! Returns whether the log, or a leader that appends, is reachable as far as this entry VM knows. */
    [[nodiscard]] bool may_append() const;
    [[nodiscard]] bool is_fresh() const;
    /*! Returns whether the jobs were read up to the end of the log of a moment ago. */
    [[nodiscard]] bool has_read_jobs() const;

    // The log.
    boost::asio::awaitable<void> follow_jobs();
    /*!
     * Waits until this entry VM should read the snapshot of all jobs. All entry VMs share the log's bandwidth: after a
     * restart of many, the ones that are large enough to lead read first. The others wait for a heartbeat, for
     * timing::small_vm_read_delay at most.
     */
    boost::asio::awaitable<void> await_turn_to_read_jobs();
    /*! Applies the claims among records, and no others. */
    void apply_claims(std::span<keyed_record const> records);
    boost::asio::awaitable<void> follow_rules();
    void apply_jobs(keyed_batch batch);
    /*! Records the duration of a read, and logs it if it was slow or the reader is behind. */
    void record_read(keyed_batch const &batch, millis took);
    void apply(keyed_record const &record, record_way way);
    /*! Applies a cancellation; may be called again for the same one. */
    void apply_cancellation(std::string const &id, std::optional<instant> requested_at, record_way way);
    /*! Applies records that the leader of this entry VM has appended, instead of reading them back. */
    void apply_own(std::uint64_t offset, std::span<keyed_record const> records, record_way way);
    void define(job_definition job);
    void apply_rules(keyed_batch const &batch);
    void handle_claim(leader_claim claim);
    [[nodiscard]] millis read_wait() noexcept;
    [[nodiscard]] millis read_spacing() const noexcept;
    void update_log_reachability(bool reached);
    void remove_expired_jobs();

    // Leadership.
    boost::asio::awaitable<void> watch_leader();
    [[nodiscard]] std::optional<claim_reason> reason_to_claim(instant now) const;
    boost::asio::awaitable<void> claim(claim_reason reason);
    /*! Returns whether this entry VM is one of those that should find out whether they can append. */
    [[nodiscard]] bool should_probe(instant now) const;
    /*! Appends a record without effect: while such appends are done, this entry VM may replace a stalled leader. */
    boost::asio::awaitable<void> probe();
    /*! Records whether the log answered an append of this entry VM that does not depend on others' records. */
    void record_append_outcome(append_outcome outcome);
    void begin_leadership(std::uint64_t term, std::uint64_t sequence, instant claimed_at);
    void end_leadership();
    /*! Returns the jobs that records define and that this entry VM does not know. */
    [[nodiscard]] std::vector<job_definition> new_jobs(std::span<caller_record const> records) const;
    boost::asio::awaitable<void> resign(std::string_view reason);

    // Peers.
    boost::asio::awaitable<void> introduce();
    /*! Sends an introduction; returns false if it was not sent, as while a connection is being made. */
    bool introduce_to(std::string const &peer, std::string const &address);
    /*! Introduces this entry VM to those that may lead; returns false if some introductions were not sent. */
    bool introduce_to_candidates();
    void handle(wire::envelope const &message);
    void handle_heartbeat(std::string const &sender, wire::leader_beat const &heartbeat);
    void handle_job_ends(wire::job_ends const &ends);
    /*! Answers another entry VM's question for a job, as the leader. */
    void answer_job_question(std::string const &peer, wire::job_question const &question);
    [[nodiscard]] relay_state relay_state_for(std::string const &job) const;
    /*! Sends a start to a worker on the leader's behalf, or declines it. */
    boost::asio::awaitable<void> answer_start_request(std::string peer, wire::start_request request);
    boost::asio::awaitable<void> answer_advice_question(std::string peer, wire::advice_question question);

    void refresh_ready();

    node_parts parts_;
    keyed_reader jobs_reader_;
    keyed_reader rules_reader_;
    job_table known_jobs_;
    /*! Times at which all runs on workers will have ended, as recorded; nothing for records that do not hold. */
    std::map<std::string, std::optional<instant>> known_lapses_;
    std::shared_ptr<site_rules const> rules_;
    leader_watch watch_;
    /*! True after a claim of this entry VM was appended until it is read back from the log. */
    bool is_claiming_{};
    std::shared_ptr<fleet_leader> leader_;
    /*! Entry VMs that may lead next, as the leader named them. */
    std::vector<leader_candidate> candidates_;
    instant jobs_removed_at_{};
    bool log_reachable_{true};
    instant log_reachability_changed_at_{};
    /*! Time until which this entry VM is not to lead, since the log did not take its appends. */
    instant appends_doubtful_until_{};
    bool draining_{};
    std::atomic<bool> ready_{};
    std::mt19937_64 random_;
    /*! Identifies this process in introductions. */
    std::uint64_t process_;
    /*! Records that the reader of jobs had skipped before its latest read. */
    std::uint64_t skipped_records_{};
    peer_link peers_;
    record_appender appender_;
    job_questions questions_;
};

} // namespace kingcuplink

#endif
