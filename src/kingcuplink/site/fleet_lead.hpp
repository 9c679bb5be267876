#ifndef KINGCUPLINK_SITE_FLEET_LEAD_HPP_INCLUDED
#define KINGCUPLINK_SITE_FLEET_LEAD_HPP_INCLUDED

#include <functional>
#include <kingcuplink/site/keyed_reader.hpp>
#include <kingcuplink/site/node_parts.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace kingcuplink {

/*!
 * One uninterrupted time as the leader of the fleet: it carries out what its
 * dispatcher decides, with the term as the token that workers obey and as the epoch
 * of its appends. It ends for good with end(). To be used by the control thread alone.
 */
class fleet_lead : public std::enable_shared_from_this<fleet_lead> {
public:
    /*! Called once when the log or a worker knows a higher term. */
    using fenced_listener = std::function<void()>;

    /*! Called with jobs that ended, once the log has it. */
    using end_listener = std::function<void(wire::job_ends const &)>;

    /*!
     * Constructs a leader; the references must outlive it.
     * @param sequence Number of the append that claimed the term.
     * @param claimed_at When that append was first sent: a later leader may have begun since.
     */
    fleet_lead(node_parts parts, peer_link &peers, std::uint64_t term, std::uint64_t sequence, instant claimed_at,
        fenced_listener on_fenced, end_listener on_end);

    /*! Begins to work. Call once, with the rules and all jobs loaded. */
    void start();

    /*! Stops for good; nothing is sent any more. */
    void end() noexcept;

    /*! Gives leadership up in the log; the reason is logged. */
    boost::asio::awaitable<void> resign(std::string_view reason);

    /*! Tells whether an entry VM that lives had better lead. */
    [[nodiscard]] bool should_yield(instant now) const noexcept;

    /*! Takes the operators' rules. */
    void set_rules(std::shared_ptr<site_rules const> rules);

    /*! Takes a job as the log has it. */
    void add_job(job_entry const &entry);

    /*! Takes a caller's wish to cancel a job. */
    void cancel_job(std::string const &id);

    /*! Takes the introduction of an entry VM that can ask for advice. */
    void meet(std::string const &peer, wire::introduction const &introduction);

    /*! Takes advice that another entry VM got. */
    void take_advice(std::string const &peer, wire::advice_answer const &answer);

    /*! Removes jobs from the log. */
    void forget(std::vector<std::string> const &ids);

    [[nodiscard]] std::uint64_t term() const noexcept {
        return term_;
    }

    /*! Returns figures. */
    [[nodiscard]] dispatch_statistics figures() const;

private:
    /*! A worker's clock as last told. */
    struct worker_clock {
        std::uint64_t boot{};
        std::int64_t told{};
        instant told_at{};
    };

    /*! Another entry VM that introduced itself. */
    struct known_peer {
        instant seen_at{};
        std::uint32_t processor_millicores{};
    };

    /*! Question that another entry VM asks on the leader's behalf. */
    struct open_question {
        std::string peer;
        advice_query query;
    };

    /*! How a worker is asked for its runs. */
    enum class look_mode : std::uint8_t {
        /*! It may wait for an end; leases are extended and ends acknowledged. */
        patient,
        /*! It answers at once; leases and ends stay as they are, whichever boot answers. */
        prompt
    };

    using self_pointer = std::shared_ptr<fleet_lead>;

    boost::asio::awaitable<void> follow_workers(self_pointer self);
    void take_registrations(keyed_batch const &batch);
    /*! Counts a registration that names no worker to use, and logs it once for each key and reason. */
    void note_odd_entry(keyed_record const &record, std::string const &fault);
    boost::asio::awaitable<void> watch_worker(self_pointer self, std::string name);
    boost::asio::awaitable<bool> look_at(std::string name, look_mode mode);
    /*! Looks at once: an end that no look waits for, or a run that may not be there. */
    boost::asio::awaitable<void> look_again(self_pointer self, std::string worker);
    boost::asio::awaitable<void> run_planner(self_pointer self);
    boost::asio::awaitable<void> run_beats(self_pointer self);
    void send_beats();
    [[nodiscard]] std::uint32_t most_millicores() const noexcept;
    void tell_ends(progress_batch const &kept);
    void write_losses();
    boost::asio::awaitable<void> run_journal(self_pointer self);
    boost::asio::awaitable<bool> keep(std::vector<keyed_record> records);
    [[nodiscard]] keyed_record own_claim() const;
    boost::asio::awaitable<void> start_run(self_pointer self, run_start run);
    boost::asio::awaitable<void> stop_run(self_pointer self, run_stop stop);
    boost::asio::awaitable<void> ask_adviser(self_pointer self, advice_query query, millis limit);
    boost::asio::awaitable<void> expire_question(self_pointer self, std::uint64_t id, millis time);
    void ask(advice_query query);
    void settle_question(
        std::string const &asker, advice_query const &query, std::optional<std::vector<advice_grant>> const &grants);
    void plan();
    void drop_silent_advisers(instant now);
    void fenced(std::string_view by);
    [[nodiscard]] std::optional<std::int64_t> clock_of(std::string const &worker, std::uint64_t boot) const;
    [[nodiscard]] std::uint64_t token_for(std::string const &worker) const;
    [[nodiscard]] bool may_extend_leases(instant now) const;

    node_parts parts_;
    peer_link &peers_;
    std::uint64_t term_;
    std::uint64_t sequence_;
    fenced_listener on_fenced_;
    end_listener on_end_;
    millis lease_;
    dispatcher dispatcher_;
    keyed_reader registrations_;
    adviser_pool advisers_;
    std::map<std::string, known_peer> peers_known_;
    std::map<std::uint64_t, open_question> questions_;
    std::uint64_t next_question_{};
    std::map<std::string, worker_clock> clocks_;
    std::set<std::string> watched_;
    /*! Why registrations could not be used, by key. */
    std::map<std::string, std::string> odd_entries_;
    std::vector<keyed_record> removals_;
    wakeup plan_wanted_;
    wakeup journal_wanted_;
    instant begun_at_;
    /*! Latest time at which the log surely took this leader's appends, and the time that the last one took. */
    instant appended_at_;
    millis append_time_{};
    bool over_{};
};

} // namespace kingcuplink

#endif
