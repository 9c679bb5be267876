#ifndef KINGCUPLINK_SITE_JOB_QUESTIONS_HPP_INCLUDED
#define KINGCUPLINK_SITE_JOB_QUESTIONS_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <kingcuplink/site/leader_watch.hpp>
#include <kingcuplink/site/node_parts.hpp>
#include <kingcuplink/site/pending_requests.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <kingcuplink/workflow/types.hpp>
#include <memory>
#include <optional>
#include <string>

namespace kingcuplink {

/*! State of a job as the leader knows it from the log. */
struct reported_job {
    std::string queue;
    std::uint32_t path_hash{};
    job_phase phase{job_phase::queued};
};

/*!
 * Questions of an entry VM to the leader for the state of jobs that it has not read from the log yet. Must only be used
 * on the control thread.
 */
class job_questions {
public:
    /*! Constructs an instance without questions; the references must outlive it. */
    job_questions(node_parts parts, peer_link &peers, leader_watch const &watch);

    /*!
     * Asks the leader for a job.
     * @return Nothing if no leader is known to reach the log, it does not know the job, or it does not answer in time.
     */
    boost::asio::awaitable<std::optional<reported_job>> ask(std::string id);

    /*! Handles an answer of an entry VM; ignored if it was not asked. */
    void handle_answer(std::string const &peer, wire::job_answer const &answer);

private:
    struct question {
        explicit question(boost::asio::io_context &context) : settled{context} {}

        wakeup settled;
        bool is_settled{};
        std::optional<reported_job> answer;
    };

    node_parts parts_;
    peer_link &peers_;
    leader_watch const &watch_;
    pending_requests<std::shared_ptr<question>> pending_;
};

} // namespace kingcuplink

#endif
