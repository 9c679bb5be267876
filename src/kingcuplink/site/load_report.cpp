#include <algorithm>
#include <chrono>
#include <kingcuplink/site/load_report.hpp>
#include <kingcuplink/site/timing.hpp>
#include <string>
#include <utility>

namespace kingcuplink {

load_report::load_report(counters const &stats, std::chrono::nanoseconds const thread_time, instant const now)
    : reported_{read(stats, thread_time)}, reported_at_{now} {}

bool load_report::is_due(instant const now) const noexcept {
    return reported_at_ + timing::load_report_interval <= now;
}

boost::json::object load_report::next(
    counters const &stats, std::chrono::nanoseconds const thread_time, instant const now) {
    constexpr std::uint64_t millis_per_second = 1'000u;
    auto const current = read(stats, thread_time);
    auto const elapsed = static_cast<std::uint64_t>(std::max<std::int64_t>(1, (now - reported_at_).count()));
    auto const rate = [elapsed](std::uint64_t const after, std::uint64_t const before) {
        return (after - before) * millis_per_second / elapsed;
    };
    boost::json::object sent{{"peers", rate(current.peers_sent, reported_.peers_sent)}};
    boost::json::object received{{"peers", rate(current.peers_received, reported_.peers_received)}};
    for(std::size_t pos{}; pos < traffic_count; ++pos) {
        auto const name = name_of(static_cast<traffic>(pos));
        boost::json::string_view const key{name.data(), name.size()};
        sent[key] = rate(current.sent[pos], reported_.sent[pos]);
        received[key] = rate(current.received[pos], reported_.received[pos]);
    }
    auto thread = describe_thread(current, now - reported_at_);
    reported_ = current;
    reported_at_ = now;
    auto planned = describe(std::exchange(planning_, {}));
    return {{"sent", std::move(sent)}, {"received", std::move(received)}, {"control_thread", std::move(thread)},
        {"planning", std::move(planned)}};
}

void load_report::record_round(dispatch_plan const &plan, std::chrono::microseconds const duration) noexcept {
    ++planning_.rounds;
    planning_.steps_examined += plan.steps_examined;
    planning_.queries += plan.queries.size();
    planning_.unused_answers += plan.unused_answers;
    planning_.total += duration;
    planning_.longest = std::max(planning_.longest, duration);
    planning_.held_steps = plan.held_steps;
}

void load_report::record_timer_delay(millis const delay) noexcept {
    ++timer_delays_.count;
    timer_delays_.total += delay;
    timer_delays_.longest = std::max(timer_delays_.longest, delay);
}

boost::json::object load_report::describe_thread(totals const &current, millis const interval) {
    auto const in_millis = [](std::chrono::nanoseconds const time) {
        return std::chrono::duration_cast<millis>(time).count();
    };
    auto const total = current.thread - reported_.thread;
    auto other = total;
    boost::json::object result;
    for(std::size_t pos{}; pos < activity_count; ++pos) {
        auto const time = current.activities[pos] - reported_.activities[pos];
        auto const name = name_of(static_cast<activity>(pos));
        result[boost::json::string_view{name.data(), name.size()}] = in_millis(time);
        other -= time;
    }
    result["other"] = in_millis(other);
    result["waiting"] = interval.count() - in_millis(total);
    auto const delays = std::exchange(timer_delays_, {});
    auto const count = std::max<std::int64_t>(1, static_cast<std::int64_t>(delays.count));
    result["timer_delay_mean"] = delays.total.count() / count;
    result["timer_delay_longest"] = delays.longest.count();
    return result;
}

boost::json::object load_report::describe(planning const &figures) {
    boost::json::object held;
    for(std::size_t pos{}; pos < hold_reason_count; ++pos) {
        if(figures.held_steps[pos] > 0u) {
            auto const name = name_of(static_cast<hold_reason>(pos));
            held[boost::json::string_view{name.data(), name.size()}] = figures.held_steps[pos];
        }
    }
    return {{"rounds", figures.rounds}, {"total_us", figures.total.count()}, {"longest_us", figures.longest.count()},
        {"steps_examined", figures.steps_examined}, {"queries", figures.queries},
        {"unused_answers", figures.unused_answers}, {"held_steps", std::move(held)}};
}

load_report::totals load_report::read(counters const &stats, std::chrono::nanoseconds const thread_time) {
    totals result;
    result.thread = thread_time;
    for(std::size_t pos{}; pos < activity_count; ++pos) {
        result.activities[pos] = stats.processor_time(static_cast<activity>(pos));
    }
    for(std::size_t pos{}; pos < traffic_count; ++pos) {
        result.sent[pos] = stats.bytes_sent(static_cast<traffic>(pos));
        result.received[pos] = stats.bytes_received(static_cast<traffic>(pos));
    }
    result.peers_sent = stats.value(event::peer_bytes_sent);
    result.peers_received = stats.value(event::peer_bytes_received);
    return result;
}

} // namespace kingcuplink
