#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <kingcuplink/site/log_appends.hpp>
#include <kingcuplink/site/record_appender.hpp>
#include <kingcuplink/site/record_codec.hpp>
#include <kingcuplink/site/timing.hpp>
#include <random>
#include <utility>

namespace kingcuplink {

namespace internal {

/*! Time limit for an append if the caller specifies none; longer time limits are reduced to it. */
constexpr millis default_timeout{2'000};
/*! Part of a caller's time limit that is reserved for the transmission of the answer. */
constexpr millis answer_reserve{300};

bool is_cancellation(keyed_record const &record) {
    auto const name = parse_record_key(record.key);
    return name && name->kind == record_kind::cancellation && record.value;
}

/*! Returns whether a request holds records that its sender has appended already. */
bool is_notice(wire::append_request const &request) {
    return request.patience_ms() == 0u;
}

} // namespace internal

record_appender::record_appender(
    node_parts const parts, leader_watch &watch, peer_link &peers, commit_listener on_commit)
    : parts_{parts},
      watch_{watch},
      peers_{peers},
      on_commit_{std::move(on_commit)},
      queue_wakeup_{parts.context},
      // The leader may answer requests of an earlier process of this entry VM: their numbers must not recur.
      next_relay_id_{(std::uint64_t{std::random_device{}()} << 32u) | std::random_device{}()} {}

record_appender::pending_record_pointer record_appender::enqueue(keyed_record record, millis const timeout) {
    auto item = std::make_shared<pending_record>(parts_.context);
    item->record = std::move(record);
    auto const reserve = std::min(internal::answer_reserve, timeout / 4);
    auto const time = timeout > millis{} ? timeout - reserve : internal::default_timeout;
    item->give_up_at = current_time() + std::min(time, internal::default_timeout);
    pending_records_.push_back(item);
    queue_wakeup_.notify();
    return item;
}

boost::asio::awaitable<append_outcome> record_appender::append(keyed_record record, millis const timeout) {
    auto const item = enqueue(std::move(record), timeout);
    while(!item->is_settled && current_time() < item->give_up_at) {
        co_await item->settled.wait(item->give_up_at - current_time());
    }
    if(!item->is_settled) {
        // The append may still succeed, but the caller is answered that its outcome is unknown.
        item->is_settled = true;
        item->outcome = append_outcome::unknown;
    }
    co_return item->outcome;
}

boost::asio::awaitable<void> record_appender::run() {
    while(true) {
        co_await queue_wakeup_.wait(
            notices_.size() == 0u ? timing::caller_check_interval : timing::notice_check_interval);
        send_notices();
        if(!pending_records_.empty()) {
            if(!is_leading()) {
                co_await pause(timing::caller_batch_delay);
            }
            auto items = std::exchange(pending_records_, {});
            if(is_leading() || leader_accepts_records()) {
                // The leader batches the records of all entry VMs.
                boost::asio::co_spawn(parts_.context, pass_to_leader(std::move(items)), fail_fast);
            } else {
                direct_records_.insert(direct_records_.end(), items.begin(), items.end());
            }
        }
        if(!is_log_reachable_) {
            for(auto const &item: std::exchange(direct_records_, {})) {
                settle(*item, item->may_be_done ? append_outcome::unknown : append_outcome::refused);
            }
        }
        // One append at a time: appends of many entry VMs would fill the queue of a slow log.
        if(!direct_records_.empty() && !is_appending_) {
            is_appending_ = true;
            boost::asio::co_spawn(parts_.context, append_pending(std::exchange(direct_records_, {})), fail_fast);
        }
    }
}

bool record_appender::leader_accepts_records() const {
    return !is_leading() && watch_.accepts_records(current_time());
}

boost::asio::awaitable<append_outcome> record_appender::append_through_leader(
    std::vector<pending_record_pointer> items) {
    if(!is_leading()) {
        co_return co_await relay_to_leader(std::move(items), watch_.relay_time_limit());
    }
    std::vector<caller_record> records;
    records.reserve(items.size());
    for(auto const &item: items) {
        records.push_back({item->record, item->is_relayed ? record_way::relay : record_way::own_append});
    }
    co_return co_await leader_append_(std::move(records));
}

boost::asio::awaitable<append_outcome> record_appender::relay_to_leader(
    std::vector<pending_record_pointer> items, millis const timeout) {
    wire::envelope message;
    auto &request = *message.mutable_append_request();
    auto const id = ++next_relay_id_;
    request.set_id(id);
    request.set_patience_ms(static_cast<std::uint64_t>(timeout.count()));
    for(auto const &item: items) {
        auto &record = *request.add_records();
        record.set_key(item->record.key);
        record.set_value(item->record.value.value_or(std::string{}));
    }
    auto const waiting = std::make_shared<relay>(parts_.context);
    pending_relays_.emplace(id, waiting);
    if(peers_.send(watch_.claim().name, message)) {
        auto const give_up_at = current_time() + timeout;
        while(!waiting->is_answered && leader_accepts_records() && current_time() < give_up_at) {
            co_await waiting->answered.wait(timing::relay_check_interval);
        }
    } else {
        waiting->outcome = append_outcome::refused;
    }
    pending_relays_.erase(id);
    co_return waiting->outcome;
}

boost::asio::awaitable<append_answer> record_appender::append_directly(std::vector<keyed_record> records) {
    auto const sent_at = current_time();
    auto const answer = co_await append_to_jobs(parts_, append_purpose::callers, std::move(records), std::nullopt);
    if(answer.outcome == append_outcome::done) {
        watch_.record_own_append(current_time() - sent_at, current_time());
        parts_.times.add(latency::log_append, current_time() - sent_at);
    }
    co_return answer;
}

boost::asio::awaitable<void> record_appender::pass_to_leader(std::vector<pending_record_pointer> items) {
    auto const was_leading = is_leading();
    auto const outcome = co_await append_through_leader(items);
    // The leader of this entry VM has appended the records as often as is useful, unless it has ended.
    if(outcome == append_outcome::done || (was_leading && is_leading())) {
        for(auto const &item: items) {
            settle(*item, outcome);
        }
        co_return;
    }
    for(auto const &item: items) {
        item->may_be_done = item->may_be_done || outcome == append_outcome::unknown;
        item->refusals += outcome == append_outcome::refused ? 1u : 0u;
    }
    direct_records_.insert(direct_records_.end(), items.begin(), items.end());
    queue_wakeup_.notify();
}

boost::asio::awaitable<void> record_appender::append_pending(std::vector<pending_record_pointer> items) {
    auto retry = timing::log_retry;
    while(!items.empty()) {
        std::vector<keyed_record> records;
        records.reserve(items.size());
        for(auto const &item: items) {
            records.push_back(item->record);
        }
        auto const answer = co_await append_directly(std::move(records));
        auto const is_done = answer.outcome == append_outcome::done;
        if(is_done) {
            // Also of callers that are no longer waiting.
            std::for_each(items.begin(), items.end(), [this](auto const &item) { record_commit(*item); });
            send_notices();
        }
        auto const now = current_time();
        std::erase_if(items, [&](auto const &item) {
            // A record that may be in the log is appended again, which is idempotent.
            item->may_be_done = item->may_be_done || answer.outcome == append_outcome::unknown;
            item->refusals += answer.outcome == append_outcome::refused ? 1u : 0u;
            auto const is_rejected = !item->may_be_done && item->refusals >= timing::caller_append_attempts;
            if(!is_done && !is_rejected && item->give_up_at > now) {
                return false;
            }
            settle(*item,
                is_done                 ? append_outcome::done
                    : item->may_be_done ? append_outcome::unknown
                                        : append_outcome::refused);
            return true;
        });
        if(!items.empty()) {
            parts_.stats.add(event::log_append_failed);
            co_await pause(retry);
            retry = std::min(retry * 2, timing::max_log_retry);
        }
    }
    is_appending_ = false;
    queue_wakeup_.notify();
}

void record_appender::settle(pending_record &item, append_outcome const outcome) {
    if(!item.is_settled) {
        item.outcome = outcome;
        item.is_settled = true;
    }
    item.settled.notify();
}

void record_appender::record_commit(pending_record const &item) {
    on_commit_(item.record, item.is_relayed ? record_way::relay : record_way::own_append);
    if(internal::is_cancellation(item.record)) {
        notices_.add(item.record, current_time());
    }
}

void record_appender::send_notices() {
    auto const now = current_time();
    notices_.remove_expired(now);
    auto const claim = watch_.claim();
    auto const has_leader = !is_leading() && !claim.name.empty() && !claim.resigned &&
        claim.name != parts_.settings.name;
    while(has_leader && notices_.is_due(claim.term, now)) {
        peers_.connect(claim.name, claim.peer_address);
        auto const id = ++next_relay_id_;
        wire::envelope message;
        auto &request = *message.mutable_append_request();
        request.set_id(id);
        for(auto const &record: notices_.next(id, claim.term, now)) {
            auto &row = *request.add_records();
            row.set_key(record.key);
            row.set_value(*record.value);
        }
        if(!peers_.send(claim.name, message)) {
            notices_.withdraw(id);
            break;
        }
        parts_.stats.add(event::commit_notice_sent);
    }
}

void record_appender::take_notice(std::string const &peer, wire::append_request const &request) {
    for(auto const &row: request.records()) {
        keyed_record record{row.key(), row.value()};
        if(internal::is_cancellation(record)) {
            on_commit_(record, record_way::notice);
            notices_.add(std::move(record), current_time());
        }
    }
    if(!is_leading()) {
        // The sender has not read of a later leader yet.
        send_notices();
        return;
    }
    wire::envelope message;
    message.mutable_append_reply()->set_id(request.id());
    message.mutable_append_reply()->set_done(true);
    peers_.send(peer, message);
}

boost::asio::awaitable<void> record_appender::answer_request(std::string peer, wire::append_request request) {
    if(internal::is_notice(request)) {
        take_notice(peer, request);
        co_return;
    }
    std::vector<pending_record_pointer> items;
    auto const timeout = millis{static_cast<std::int64_t>(request.patience_ms())} + internal::answer_reserve;
    for(auto const &record: request.records()) {
        items.push_back(enqueue({record.key(), record.value()}, timeout));
        items.back()->is_relayed = true;
    }
    auto is_done = true;
    auto is_refused = true;
    for(auto const &item: items) {
        while(!item->is_settled && current_time() < item->give_up_at) {
            co_await item->settled.wait(item->give_up_at - current_time());
        }
        is_done = is_done && item->is_settled && item->outcome == append_outcome::done;
        is_refused = is_refused && item->is_settled && item->outcome == append_outcome::refused;
    }
    wire::envelope message;
    message.mutable_append_reply()->set_id(request.id());
    message.mutable_append_reply()->set_done(is_done);
    message.mutable_append_reply()->set_refused(is_refused);
    peers_.send(peer, message);
}

void record_appender::handle_reply(wire::append_reply const &reply) {
    if(auto const found = pending_relays_.find(reply.id()); found != pending_relays_.end()) {
        found->second->outcome = reply.done() ? append_outcome::done
            : reply.refused()                 ? append_outcome::refused
                                              : append_outcome::unknown;
        found->second->is_answered = true;
        found->second->answered.notify();
    } else if(reply.done()) {
        notices_.confirm(reply.id());
    }
}

} // namespace kingcuplink
