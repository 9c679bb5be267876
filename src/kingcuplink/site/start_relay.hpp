#ifndef KINGCUPLINK_SITE_START_RELAY_HPP_INCLUDED
#define KINGCUPLINK_SITE_START_RELAY_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <kingcuplink/site/leader_peers.hpp>
#include <kingcuplink/site/node_parts.hpp>
#include <kingcuplink/site/pending_requests.hpp>
#include <kingcuplink/site/relay_policy.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <kingcuplink/workflow/job_table.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink {

/*!
 * Sends starts through entry VMs of the workers' failure domains while the load calls for it. These take the payload
 * from their own copy of the job. Must only be used on the control thread.
 */
class start_relay {
public:
    /*!
     * Constructs a relay for the leader of a term; the references must outlive it.
     * @param known Entry VMs that introduced themselves to the leader.
     */
    start_relay(node_parts parts, peer_link &peers, leader_peers &known, std::uint64_t term);

    /*!
     * Asks another entry VM to send a start and waits for its answer.
     * @param failure_domain Failure domain of the worker.
     * @param expires_at Expiry of the lease by the worker's clock, in ms.
     * @return Nothing if the start was surely not sent: the leader may send it itself.
     */
    boost::asio::awaitable<std::optional<start_answer>> send(
        run_start run, std::string failure_domain, std::uint64_t token, std::int64_t expires_at);

    /*! Handles the answer of an entry VM. */
    void handle_reply(std::string const &peer, wire::start_reply const &reply);

private:
    /*! Start that another entry VM was asked to send. */
    struct request {
        explicit request(boost::asio::io_context &context) : settled{context} {}

        start_answer answer{start_answer::unknown};
        bool is_answered{};
        bool is_declined{};
        wakeup settled;
    };

    node_parts parts_;
    peer_link &peers_;
    leader_peers &known_;
    std::uint64_t term_;
    relay_policy policy_;
    pending_requests<std::shared_ptr<request>> pending_;
};

/*! State of an entry VM that decides whether it sends a start for the leader. */
struct relay_state {
    bool is_draining{};
    /*! Highest known term. */
    std::uint64_t term{};
    std::uint64_t process{};
    /*! Clock of the process, in ms. */
    std::int64_t clock{};
    /*! The job as known here, or null. */
    job_entry const *job{};
    /*! False while the process has not read the jobs up to the end of the log. */
    bool has_read_jobs{true};
};

/*! Reason for which an entry VM does not send a start for the leader. */
enum class relay_refusal : std::uint8_t {
    draining,
    /*! A later leader has claimed the log. */
    outdated_term,
    /*! The request was meant for an earlier process of this entry VM. */
    other_process,
    /*! The request took too long to arrive, or the process was paused. */
    expired,
    /*! The job is not known here, or has ended. */
    job_unknown,
    /*! The job has another payload here. */
    other_payload,
    /*! The job is not known, and the process is behind on the log. */
    jobs_unread
};

/*! Returns the name of a reason. */
[[nodiscard]] std::string_view name_of(relay_refusal reason) noexcept;

/*! Returns why an entry VM must not send a start for the leader, or nothing. */
[[nodiscard]] std::optional<relay_refusal> reason_to_decline(
    wire::start_request const &request, relay_state const &state) noexcept;

/*! Returns the start that a request describes. Precondition: reason_to_decline() returned nothing for it. */
[[nodiscard]] run_start start_of(wire::start_request const &request, job_definition const &job);

} // namespace kingcuplink

#endif
