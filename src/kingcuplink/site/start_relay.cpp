#include <array>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/site/start_relay.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 7u> relay_refusal_names{
    "draining", "outdated_term", "other_process", "expired", "job_unknown", "other_payload", "jobs_unread"};

wire::envelope to_wire(
    run_start const &run, relay_grant const &grant, std::uint64_t const token, std::int64_t const expires_at) {
    wire::envelope message;
    auto &request = *message.mutable_start_request();
    request.set_process(grant.process);
    request.set_send_before_ms(grant.send_before);
    request.set_job(run.key.job);
    request.set_step(run.key.step);
    request.set_index(run.key.index);
    request.set_run(run.key.run);
    request.set_worker(run.worker);
    request.set_address(run.address);
    request.set_token(token);
    request.set_expires_at_ms(expires_at);
    request.set_ticket(run.ticket);
    request.set_checkpoint(run.checkpoint);
    request.set_payload_hash(stable_hash(run.payload));
    return message;
}

} // namespace internal

start_relay::start_relay(node_parts const parts, peer_link &peers, leader_peers &known, std::uint64_t const term)
    : parts_{parts}, peers_{peers}, known_{known}, term_{term}, policy_{parts.settings.link_mbps}, pending_{term} {}

boost::asio::awaitable<std::optional<start_answer>> start_relay::send(
    run_start run, std::string failure_domain, std::uint64_t const token, std::int64_t const expires_at) {
    auto const now = current_time();
    policy_.record_start(run.payload.size(), now);
    if(!policy_.is_relaying(now)) {
        co_return std::nullopt;
    }
    auto const grant = known_.relay_for(run.worker, failure_domain, now);
    if(!grant) {
        co_return std::nullopt;
    }
    auto message = internal::to_wire(run, *grant, token, expires_at);
    auto const waiting = std::make_shared<request>(parts_.context);
    auto const id = pending_.add(grant->peer, waiting);
    message.mutable_start_request()->set_id(id);
    message.mutable_start_request()->set_term(term_);
    if(!peers_.send(grant->peer, message)) {
        static_cast<void>(pending_.take(id, grant->peer));
        known_.record_failed_relay(grant->peer, now);
        co_return std::nullopt;
    }
    parts_.stats.add(event::start_relayed);
    auto const give_up_at = now + timing::start_relay_timeout(!run.ticket.empty());
    while(!waiting->is_answered && current_time() < give_up_at) {
        co_await waiting->settled.wait(give_up_at - current_time());
    }
    if(!waiting->is_answered) {
        static_cast<void>(pending_.take(id, grant->peer));
    }
    if(!waiting->is_answered || waiting->is_declined) {
        known_.record_failed_relay(grant->peer, current_time());
        parts_.stats.add(event::start_relay_failed);
    }
    co_return waiting->is_declined ? std::nullopt : std::optional{waiting->answer};
}

void start_relay::handle_reply(std::string const &peer, wire::start_reply const &reply) {
    auto const found = pending_.take(reply.id(), peer);
    if(!found) {
        return;
    }
    auto &entry = **found;
    entry.is_answered = true;
    entry.is_declined = reply.declined();
    if(reply.answer() <= static_cast<std::uint32_t>(start_answer::unknown)) {
        entry.answer = static_cast<start_answer>(reply.answer());
    }
    entry.settled.notify();
}

std::string_view name_of(relay_refusal const reason) noexcept {
    return internal::relay_refusal_names[static_cast<std::size_t>(reason)];
}

std::optional<relay_refusal> reason_to_decline(wire::start_request const &request, relay_state const &state) noexcept {
    if(state.is_draining) {
        return relay_refusal::draining;
    }
    if(request.term() < state.term) {
        return relay_refusal::outdated_term;
    }
    if(request.process() != state.process) {
        return relay_refusal::other_process;
    }
    if(state.clock > request.send_before_ms()) {
        return relay_refusal::expired;
    }
    // The definition of an ended job has no steps.
    if(state.job == nullptr || request.step() >= state.job->definition.steps.size()) {
        return state.has_read_jobs ? relay_refusal::job_unknown : relay_refusal::jobs_unread;
    }
    if(stable_hash(state.job->definition.payload) != request.payload_hash()) {
        return relay_refusal::other_payload;
    }
    return std::nullopt;
}

run_start start_of(wire::start_request const &request, job_definition const &job) {
    run_start run;
    run.worker = request.worker();
    run.address = request.address();
    run.key = {request.job(), request.step(), request.index(), request.run()};
    run.payload = job.payload;
    run.checkpoint = request.checkpoint();
    run.ticket = request.ticket();
    return run;
}

} // namespace kingcuplink
