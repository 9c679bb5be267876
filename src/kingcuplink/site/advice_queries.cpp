#include <boost/asio/co_spawn.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <kingcuplink/site/advice_queries.hpp>
#include <kingcuplink/site/timing.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <utility>

namespace kingcuplink {

advice_queries::advice_queries(node_parts const parts, peer_link &peers, std::uint64_t const term, listener on_settled)
    : parts_{parts}, peers_{peers}, on_settled_{std::move(on_settled)}, pending_{term} {
    advisers_.add(parts_.settings.name);
}

void advice_queries::add_vm(std::string const &name) {
    advisers_.add(name);
}

void advice_queries::remove_vm(std::string const &name) {
    advisers_.remove(name);
}

void advice_queries::ask(advice_query query, std::shared_ptr<void const> owner) {
    auto const now = current_time();
    auto const booking = advisers_.assign(query.duration, now);
    auto const limit = booking.ends_at - now + timing::advice_slack;
    if(booking.name == parts_.settings.name) {
        boost::asio::co_spawn(parts_.context, ask_adviser(std::move(owner), std::move(query), limit), fail_fast);
        return;
    }
    wire::envelope message;
    auto &question = *message.mutable_advice_question();
    question.set_job(query.job);
    question.set_step(query.step);
    question.set_patience_ms(static_cast<std::uint64_t>(limit.count()));
    for(auto const &worker: query.workers) {
        question.add_workers(worker);
    }
    auto const id = pending_.add(booking.name, std::move(query));
    question.set_id(id);
    // A message that cannot be sent is treated like one without an answer.
    auto const time = peers_.send(booking.name, message) ? limit : millis{};
    boost::asio::co_spawn(parts_.context, expire(std::move(owner), booking.name, id, time), fail_fast);
}

boost::asio::awaitable<void> advice_queries::ask_adviser(
    [[maybe_unused]] std::shared_ptr<void const> owner, advice_query query, millis const limit) {
    auto const asked_at = current_time();
    auto const approved = co_await parts_.advice.ask(query, limit);
    if(approved) {
        parts_.times.add(latency::advice, current_time() - asked_at);
    }
    settle(parts_.settings.name, query, approved);
}

boost::asio::awaitable<void> advice_queries::expire(
    [[maybe_unused]] std::shared_ptr<void const> owner, std::string peer, std::uint64_t const id, millis const time) {
    co_await pause(time);
    if(auto const query = pending_.take(id, peer)) {
        settle(peer, *query, std::nullopt);
    }
}

void advice_queries::handle_answer(std::string const &peer, wire::advice_answer const &answer) {
    auto const query = pending_.take(answer.id(), peer);
    if(!query) {
        return;
    }
    grants approved;
    if(answer.answered()) {
        approved.emplace();
        for(auto const &grant: answer.grants()) {
            approved->push_back({grant.worker(), grant.ticket()});
        }
    }
    settle(peer, *query, approved);
}

void advice_queries::settle(std::string const &asker, advice_query const &query, grants const &approved) {
    advisers_.release(asker, approved.has_value(), current_time());
    on_settled_(asker, query, approved);
}

} // namespace kingcuplink
