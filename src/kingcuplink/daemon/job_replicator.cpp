#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <glog/logging.h>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/daemon/job_replicator.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::size_t max_standbys = 2u;
constexpr std::size_t events_per_append = 2'000u;
constexpr millis mirror_interval{100};
constexpr millis resend_after{600};
constexpr millis ledger_timeout{1'000};
constexpr millis recovery_poll{10};

std::string journal_of(std::string const &domain) {
    return "journal." + domain;
}

} // namespace internal

job_replicator::job_replicator(boost::asio::io_context &context, daemon_settings const &settings,
    platform_client &platform, peer_directory &peers, counters &stats)
    : context_{context},
      settings_{settings},
      platform_{platform},
      peers_{peers},
      stats_{stats},
      next_stream_{static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())} {}

void job_replicator::start() {
    boost::asio::co_spawn(context_, mirror_loop(), boost::asio::detached);
    boost::asio::co_spawn(context_, journal_loop(), boost::asio::detached);
}

void job_replicator::set_leading(bool const leading) {
    leading_ = leading;
    was_standby_ = has_mirrored_leader_;
    targets_.clear();
    recent_events_.clear();
    first_recent_sequence_ = next_sequence_;
    first_led_sequence_ = next_sequence_;
    journalled_sequence_ = next_sequence_ - 1u;
    last_refresh_ = current_time();
}

void job_replicator::set_log_available(bool const answers) noexcept {
    auto const is_idle = journalled_sequence_ + 1u >= next_sequence_;
    log_available_ = answers && (log_available_ || is_idle);
}

void job_replicator::on_ledger_changed(std::function<void()> listener) {
    listener_ = std::move(listener);
}

std::uint64_t job_replicator::record(job_event event) {
    if(event.kind == job_event_kind::job_ended) {
        auto const entry = ledger_.entries().find(event.job);
        event.generation = entry == ledger_.entries().end() ? 0u : entry->second.generation;
    }
    ledger_.apply(event);
    recent_events_.push_back(boost::json::serialize(to_json(event)));
    if(!flush_posted_) {
        flush_posted_ = true;
        boost::asio::post(context_, [this]() { flush(); });
    }
    return next_sequence_++;
}

boost::asio::awaitable<std::string> job_replicator::wait_durable(
    std::uint64_t const sequence, durability const rule, millis const timeout) {
    if(auto place = durable_location(sequence, rule); !place.empty()) {
        co_return place;
    }
    auto const entry = waiters_.insert(waiters_.end(),
        waiter{.sequence = sequence, .rule = rule, .timer = boost::asio::steady_timer{context_, timeout}});
    boost::system::error_code ignored;
    co_await entry->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    auto place = entry->place;
    waiters_.erase(entry);
    co_return place;
}

std::string job_replicator::durable_location(std::uint64_t const sequence, durability const rule) const {
    if(!leading_ || sequence < first_led_sequence_) {
        return {};
    }
    if(journalled_sequence_ >= sequence) {
        return "log";
    }
    auto const has_event = [sequence](mirror_target const &mirror) { return mirror.synced && mirror.acked > sequence; };
    if(rule == durability::all_successors) {
        std::size_t members{};
        std::size_t replicas{};
        for(auto const &[name, peer]: peers_.peers()) {
            auto const mirror = targets_.find(name);
            members += peer.domain == settings_.failure_domain ? 1u : 0u;
            replicas += peer.domain == settings_.failure_domain && mirror != targets_.end() && has_event(mirror->second)
                ? 1u
                : 0u;
        }
        return members > 0u && replicas == members ? "all standbys" : std::string{};
    }
    auto const is_remote = [](auto const &item) { return !item.second.is_standby; };
    auto const needs_remote = std::any_of(targets_.begin(), targets_.end(), is_remote);
    for(auto const &[name, mirror]: targets_) {
        if(has_event(mirror) && (!needs_remote || !mirror.is_standby)) {
            return (mirror.is_standby ? "standby " : "entry VM of another failure domain ") + name;
        }
    }
    return {};
}

void job_replicator::notify_waiters() {
    for(auto &entry: waiters_) {
        if(entry.place.empty()) {
            entry.place = durable_location(entry.sequence, entry.rule);
            if(!entry.place.empty()) {
                entry.timer.cancel();
            }
        }
    }
    trim_recent_events();
}

void job_replicator::trim_recent_events() {
    auto needed = journalled_sequence_ + 1u;
    for(auto const &[name, mirror]: targets_) {
        needed = mirror.sent > 0u ? std::min(needed, mirror.sent) : needed;
    }
    while(first_recent_sequence_ < needed && !recent_events_.empty()) {
        recent_events_.pop_front();
        ++first_recent_sequence_;
    }
}

bool job_replicator::has_replica() const noexcept {
    return log_available_ ||
        std::any_of(targets_.begin(), targets_.end(), [](auto const &entry) { return entry.second.synced; });
}

bool job_replicator::has_standby() const noexcept {
    return std::any_of(targets_.begin(), targets_.end(),
        [](auto const &entry) { return entry.second.synced && entry.second.is_standby; });
}

boost::asio::awaitable<void> job_replicator::mirror_loop() {
    while(true) {
        if(leading_) {
            choose_targets(current_time());
            flush();
        }
        co_await pause(internal::mirror_interval);
    }
}

void job_replicator::choose_targets(instant const now) {
    std::vector<std::string> chosen;
    for(auto const &[name, peer]: peers_.peers()) {
        if(peer.domain == settings_.failure_domain && peers_.is_live(peer, now) &&
            chosen.size() < internal::max_standbys) {
            chosen.push_back(name);
        }
    }
    if(!log_available_) {
        for(auto const &[name, peer]: peers_.peers()) {
            if(peer.domain != settings_.failure_domain && peers_.is_live(peer, now)) {
                chosen.push_back(name);
                break;
            }
        }
    }
    std::erase_if(targets_,
        [&](auto const &entry) { return std::find(chosen.begin(), chosen.end(), entry.first) == chosen.end(); });
    for(auto const &name: chosen) {
        auto const [entry, added] = targets_.try_emplace(name);
        if(added) {
            entry->second.stream = ++next_stream_;
            entry->second.is_standby = peers_.peers().at(name).domain == settings_.failure_domain;
        }
    }
}

void job_replicator::flush() {
    flush_posted_ = false;
    if(!leading_) {
        return;
    }
    auto const now = current_time();
    for(auto &[name, mirror]: targets_) {
        auto const is_silent = mirror.acked < mirror.sent &&
            now - std::max(mirror.last_sent, mirror.last_acked) >= internal::resend_after;
        if(mirror.sent == 0u || is_silent) {
            send_reset(name, mirror, now);
        } else if(mirror.sent < next_sequence_) {
            send_new(name, mirror, now);
        }
    }
}

void job_replicator::send_reset(std::string const &peer, mirror_target &mirror, instant const now) {
    wire::envelope message;
    auto &body = *message.mutable_mirror();
    body.set_domain(settings_.failure_domain);
    mirror.stream = ++next_stream_;
    mirror.synced = false;
    body.set_stream(mirror.stream);
    body.set_reset(true);
    body.set_first_sequence(next_sequence_);
    for(auto const &event: ledger_.events()) {
        body.add_events(boost::json::serialize(to_json(event)));
    }
    mirror.sent = next_sequence_;
    mirror.acked = 0u;
    mirror.last_sent = now;
    peers_.send(peer, message);
}

void job_replicator::send_new(std::string const &peer, mirror_target &mirror, instant const now) {
    wire::envelope message;
    auto &body = *message.mutable_mirror();
    body.set_domain(settings_.failure_domain);
    body.set_stream(mirror.stream);
    body.set_first_sequence(mirror.sent);
    for(auto pos = mirror.sent; pos < next_sequence_; ++pos) {
        body.add_events(recent_events_[pos - first_recent_sequence_]);
    }
    mirror.sent = next_sequence_;
    mirror.last_sent = now;
    peers_.send(peer, message);
}

void job_replicator::handle_mirror_ack(std::string const &peer, wire::mirror_ack const &message) {
    auto const found = targets_.find(peer);
    if(found == targets_.end() || found->second.stream != message.stream()) {
        return;
    }
    auto &mirror = found->second;
    mirror.last_acked = current_time();
    mirror.acked = std::max<std::uint64_t>(mirror.acked, message.next_sequence());
    mirror.synced = mirror.acked > 0u;
    notify_waiters();
}

void job_replicator::handle_mirror(std::string const &peer, wire::mirror const &message) {
    auto &from = sources_[peer];
    if(message.reset()) {
        from = {.stream = message.stream(), .next = message.first_sequence()};
    }
    if(from.stream != message.stream() || from.next != message.first_sequence()) {
        return;
    }
    boost::json::array events;
    for(auto const &text: message.events()) {
        boost::system::error_code error;
        events.push_back(boost::json::parse(text, error));
    }
    auto const is_own = message.domain() == settings_.failure_domain;
    apply_events(is_own ? ledger_ : foreign_ledgers_[message.domain()], events);
    if(!message.reset()) {
        from.next += static_cast<std::uint64_t>(message.events_size());
    }
    wire::envelope answer;
    answer.mutable_mirror_ack()->set_stream(message.stream());
    answer.mutable_mirror_ack()->set_next_sequence(from.next);
    peers_.send(peer, answer);
    has_mirrored_leader_ = has_mirrored_leader_ || (is_own && !leading_);
    if(is_own && leading_ && listener_) {
        listener_();
    }
}

bool job_replicator::apply_events(job_ledger &ledger, boost::json::array const &events) {
    auto complete = true;
    for(auto const &value: events) {
        auto const refused = problem_of([&]() -> result<void> {
            BOOST_LEAF_AUTO(event, parse_job_event(value));
            ledger.apply(event);
            return {};
        });
        complete = complete && !refused;
    }
    if(!complete) {
        stats_.add(event::peer_message_malformed);
    }
    return complete;
}

void job_replicator::send_ledger(std::string const &leader) {
    wire::envelope message;
    auto &body = *message.mutable_mirror();
    body.set_domain(settings_.failure_domain);
    body.set_stream(++next_stream_);
    body.set_reset(true);
    body.set_first_sequence(1u);
    for(auto const &event: ledger_.events()) {
        body.add_events(boost::json::serialize(to_json(event)));
    }
    peers_.send(leader, message);
}

boost::json::value job_replicator::ledger_of(std::string const &domain) const {
    boost::json::array list;
    auto const append = [&list](job_ledger const &ledger) {
        for(auto const &event: ledger.events()) {
            list.push_back(to_json(event));
        }
    };
    if(domain == settings_.failure_domain) {
        append(ledger_);
    } else if(auto const found = foreign_ledgers_.find(domain); found != foreign_ledgers_.end()) {
        append(found->second);
    }
    return list;
}

bool job_replicator::was_standby() const noexcept {
    return was_standby_;
}

job_ledger const &job_replicator::ledger() const noexcept {
    return ledger_;
}

boost::asio::awaitable<bool> job_replicator::recover_ledger() {
    auto const pending = std::make_shared<std::size_t>();
    auto const now = current_time();
    for(auto const &[name, peer]: peers_.peers()) {
        if(peers_.is_live(peer, now)) {
            ++*pending;
            boost::asio::co_spawn(context_, request_ledger(name, pending), boost::asio::detached);
        }
    }
    auto const complete = co_await read_journal(settings_.failure_domain, ledger_);
    while(*pending > 0u) {
        co_await pause(internal::recovery_poll);
    }
    co_return complete;
}

boost::asio::awaitable<void> job_replicator::request_ledger(std::string peer, std::shared_ptr<std::size_t> pending) {
    boost::json::object body{{"domain", settings_.failure_domain}};
    auto const answer = co_await peers_.call(
        std::move(peer), wire::CALL_BOOK, std::move(body), internal::ledger_timeout);
    if(!answer.refused && answer.body.is_array()) {
        apply_events(ledger_, answer.body.get_array());
    }
    --*pending;
}

boost::asio::awaitable<bool> job_replicator::read_journal(std::string domain, job_ledger &ledger) {
    std::uint64_t next{1};
    while(true) {
        auto const page = co_await platform_.read(internal::journal_of(domain), next);
        if(!page) {
            stats_.add(event::log_read_failed);
            co_return false;
        }
        for(auto const &record: page->records) {
            next = record.offset + 1u;
            auto const *events = field_in(record.body, "events");
            if(events != nullptr && events->is_array()) {
                apply_events(ledger, events->get_array());
            }
        }
        if(page->records.empty() || next >= page->next) {
            co_return true;
        }
    }
}

boost::asio::awaitable<std::optional<job_ledger>> job_replicator::read_journal_of(std::string domain) {
    job_ledger ledger;
    auto const complete = co_await read_journal(std::move(domain), ledger);
    co_return complete ? std::optional{std::move(ledger)} : std::nullopt;
}

boost::asio::awaitable<bool> job_replicator::append_to_journal_of(std::string domain, std::vector<job_event> events) {
    boost::json::array list;
    std::transform(
        events.begin(), events.end(), std::back_inserter(list), [](auto const &event) { return to_json(event); });
    boost::json::object record{{"events", std::move(list)}};
    auto const appended = co_await platform_.append(internal::journal_of(domain), std::move(record));
    stats_.add(appended.is_done() ? event::journal_appended : event::log_append_failed);
    co_return appended.is_done();
}

boost::asio::awaitable<void> job_replicator::journal_loop() {
    while(true) {
        co_await pause(config::journal_interval);
        if(!leading_) {
            continue;
        }
        auto const now = current_time();
        if(now - last_refresh_ >= config::journal_refresh) {
            last_refresh_ = now;
            for(auto const &[job, entry]: ledger_.entries()) {
                if(entry.ended.empty()) {
                    auto const events = job_ledger::events_of(job, entry);
                    std::for_each(events.begin(), events.end(), [this](auto const &event) { record(event); });
                }
            }
        }
        if(journalled_sequence_ + 1u >= next_sequence_) {
            continue;
        }
        auto const first = journalled_sequence_ + 1u;
        auto const last = std::min<std::uint64_t>(next_sequence_, first + internal::events_per_append);
        boost::json::array events;
        for(auto pos = first; pos < last; ++pos) {
            events.push_back(boost::json::parse(recent_events_[pos - first_recent_sequence_]));
        }
        boost::json::object record{{"events", std::move(events)}};
        auto const appended = co_await platform_.append(
            internal::journal_of(settings_.failure_domain), std::move(record));
        if(log_available_ != appended.is_done()) {
            LOG(WARNING) << "journal: log " << (appended.is_done() ? "is available again" : "does not accept appends")
                         << " events_waiting=" << next_sequence_ - first;
        }
        log_available_ = appended.is_done();
        if(!log_available_) {
            stats_.add(event::log_append_failed);
            continue;
        }
        stats_.add(event::journal_appended);
        if(leading_ && first == journalled_sequence_ + 1u) {
            journalled_sequence_ = last - 1u;
            notify_waiters();
        }
    }
}

} // namespace kingcuplink
