#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/site/job_questions.hpp>
#include <kingcuplink/site/timing.hpp>
#include <random>
#include <utility>

namespace kingcuplink {

job_questions::job_questions(node_parts const parts, peer_link &peers, leader_watch const &watch)
    : parts_{parts},
      peers_{peers},
      watch_{watch},
      // The leader may answer questions of an earlier process of this entry VM: their numbers must not recur.
      pending_{std::random_device{}()} {}

boost::asio::awaitable<std::optional<reported_job>> job_questions::ask(std::string id) {
    if(!watch_.accepts_records(current_time())) {
        co_return std::nullopt;
    }
    auto const leader = watch_.claim().name;
    auto const waiting = std::make_shared<question>(parts_.context);
    auto const number = pending_.add(leader, waiting);
    wire::envelope message;
    message.mutable_job_question()->set_id(number);
    message.mutable_job_question()->set_job(std::move(id));
    if(peers_.send(leader, message)) {
        parts_.stats.add(event::job_question_sent);
        auto const give_up_at = current_time() + timing::job_question_timeout;
        while(!waiting->is_settled && current_time() < give_up_at) {
            co_await waiting->settled.wait(give_up_at - current_time());
        }
    }
    if(!waiting->is_settled) {
        static_cast<void>(pending_.take(number, leader));
    }
    co_return waiting->answer;
}

void job_questions::handle_answer(std::string const &peer, wire::job_answer const &answer) {
    auto const found = pending_.take(answer.id(), peer);
    if(!found) {
        return;
    }
    auto &waiting = **found;
    if(answer.known() && answer.phase() <= static_cast<std::uint32_t>(job_phase::cancelled)) {
        waiting.answer = reported_job{answer.queue(), answer.path_hash(), static_cast<job_phase>(answer.phase())};
    }
    waiting.is_settled = true;
    waiting.settled.notify();
}

} // namespace kingcuplink
