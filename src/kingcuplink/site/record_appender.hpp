#ifndef KINGCUPLINK_SITE_RECORD_APPENDER_HPP_INCLUDED
#define KINGCUPLINK_SITE_RECORD_APPENDER_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <kingcuplink/site/caller_records.hpp>
#include <kingcuplink/site/commit_notices.hpp>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/node_parts.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kingcuplink {

/*!
 * Appends callers' records to the log in batches: through the leader while it accepts records, otherwise directly.
 * Notifies the leader of the cancellations that it appended directly: a leader whose reads of the log are slow would
 * start tasks of cancelled jobs. Must only be used on the control thread.
 */
class record_appender {
public:
    /*! Called with each record that is known to be committed; more than once if it is known on several ways. */
    using commit_listener = std::function<void(keyed_record const &, record_way)>;

    /*! Constructs an appender; the references must outlive it. */
    record_appender(node_parts parts, leader_watch &watch, peer_link &peers, commit_listener on_commit);

    /*! Sends the batches; never returns. */
    boost::asio::awaitable<void> run();

    /*! Appends callers' records on behalf of the leader of this entry VM. */
    using leader_append = std::function<boost::asio::awaitable<append_outcome>(std::vector<caller_record>)>;

    /*! Sets how the leader of this entry VM appends callers' records; nothing while another one leads. */
    void set_leader(leader_append append) noexcept {
        leader_append_ = std::move(append);
    }

    /*! Sets whether this entry VM reaches the log: without it, records that the leader does not take are not appended.
     */
    void set_log_reachable(bool const is_reachable) noexcept {
        is_log_reachable_ = is_reachable;
    }

    /*! Appends a caller's record and waits for the outcome; `unknown` once the time limit has expired. */
    boost::asio::awaitable<append_outcome> append(keyed_record record, millis timeout);

    /*! Appends the records that another entry VM relayed, and answers it; or takes its notice of committed ones. */
    boost::asio::awaitable<void> answer_request(std::string peer, wire::append_request request);

    /*! Handles the leader's answer to relayed records, or to a notice. */
    void handle_reply(wire::append_reply const &reply);

    /*! Returns whether records can be relayed to the leader. */
    [[nodiscard]] bool leader_accepts_records() const;

private:
    /*! Record of a caller that is waiting for its append to the log. */
    struct pending_record {
        explicit pending_record(boost::asio::io_context &context) : settled{context} {}

        keyed_record record;
        instant give_up_at{};
        append_outcome outcome{append_outcome::unknown};
        /*! True if another entry VM relayed the record. */
        bool is_relayed{};
        /*! True if an attempt to append the record had no answer; and number of refused attempts. */
        bool may_be_done{};
        unsigned refusals{};
        bool is_settled{};
        wakeup settled;
    };

    using pending_record_pointer = std::shared_ptr<pending_record>;

    /*! Request to the leader to append records. */
    struct relay {
        explicit relay(boost::asio::io_context &context) : answered{context} {}

        append_outcome outcome{append_outcome::unknown};
        bool is_answered{};
        wakeup answered;
    };

    pending_record_pointer enqueue(keyed_record record, millis timeout);
    [[nodiscard]] bool is_leading() const noexcept {
        return leader_append_ != nullptr;
    }

    /*! Appends records with the leader of this entry VM, or sends them to the leader of another one. */
    boost::asio::awaitable<append_outcome> append_through_leader(std::vector<pending_record_pointer> items);
    boost::asio::awaitable<append_outcome> relay_to_leader(std::vector<pending_record_pointer> items, millis timeout);
    /*! Has the leader append records; those that it does not append are queued for an append of this entry VM. */
    boost::asio::awaitable<void> pass_to_leader(std::vector<pending_record_pointer> items);
    /*! Appends records until they are committed, refused repeatedly, or no caller waits any more. */
    boost::asio::awaitable<void> append_pending(std::vector<pending_record_pointer> items);
    static void settle(pending_record &item, append_outcome outcome);
    /*! Passes on a record that this entry VM has appended, and keeps it for notices if it is a cancellation. */
    void record_commit(pending_record const &item);
    /*! Sends the notices that are due to the leader, as far as this entry VM knows one. */
    void send_notices();
    /*! Applies another entry VM's notice, and confirms it or passes it on to the leader. */
    void take_notice(std::string const &peer, wire::append_request const &request);
    /*! Appends the records to the log once and counts the append. */
    boost::asio::awaitable<append_answer> append_directly(std::vector<keyed_record> records);

    node_parts parts_;
    leader_watch &watch_;
    peer_link &peers_;
    commit_listener on_commit_;
    leader_append leader_append_;
    std::vector<pending_record_pointer> pending_records_;
    /*! Records for the next append of this entry VM itself. */
    std::vector<pending_record_pointer> direct_records_;
    bool is_appending_{};
    bool is_log_reachable_{true};
    wakeup queue_wakeup_;
    /*! Unanswered requests to the leader, by identifier. */
    std::map<std::uint64_t, std::shared_ptr<relay>> pending_relays_;
    std::uint64_t next_relay_id_{};
    commit_notices notices_;
};

} // namespace kingcuplink

#endif
