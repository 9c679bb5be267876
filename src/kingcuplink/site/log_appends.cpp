#include <array>
#include <boost/asio/co_spawn.hpp>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/site/log_appends.hpp>
#include <kingcuplink/site/timing.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <memory>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 5u> append_purpose_names{"leader", "callers", "claim", "resignation", "probe"};
constexpr std::array<std::string_view, 5u> append_outcome_names{
    "done", "refused", "fenced", "out_of_sequence", "unknown"};

constexpr millis timeout_of(append_purpose const purpose) noexcept {
    return purpose == append_purpose::leader ? timing::leader_append_timeout : timing::append_timeout;
}

/*! Copies of one append. */
struct append_copies {
    explicit append_copies(boost::asio::io_context &context) : changed{context} {}

    std::size_t pending{};
    std::optional<append_answer> conclusion;
    /*! True if a copy had no answer. */
    bool has_unknown{};
    wakeup changed;
};

constexpr bool is_conclusive(append_outcome const outcome) noexcept {
    return outcome != append_outcome::refused && outcome != append_outcome::unknown;
}

boost::asio::awaitable<void> send_copy(node_parts const parts, std::vector<keyed_record> records,
    log_writer const writer, std::shared_ptr<append_copies> copies) {
    auto const shared = std::move(copies);
    auto const answer = co_await append_to_jobs(parts, append_purpose::leader, std::move(records), writer);
    --shared->pending;
    if(is_conclusive(answer.outcome) && !shared->conclusion) {
        shared->conclusion = answer;
    }
    shared->has_unknown = shared->has_unknown || answer.outcome == append_outcome::unknown;
    shared->changed.notify();
}

} // namespace internal

std::string_view name_of(append_purpose const purpose) noexcept {
    return internal::append_purpose_names[static_cast<std::size_t>(purpose)];
}

std::string_view name_of(append_outcome const outcome) noexcept {
    return internal::append_outcome_names[static_cast<std::size_t>(outcome)];
}

std::uint64_t size_of(keyed_record const &record) noexcept {
    return record.key.size() + (record.value ? record.value->size() : 0u);
}

boost::asio::awaitable<append_answer> append_to_jobs(node_parts const parts, append_purpose const purpose,
    std::vector<keyed_record> records, std::optional<log_writer> const writer) {
    auto const sent_at = current_time();
    auto const count = records.size();
    std::uint64_t bytes{};
    for(auto const &record: records) {
        bytes += size_of(record);
    }
    auto const answer = co_await parts.log.append(
        log_stream::jobs, std::move(records), writer, internal::timeout_of(purpose));
    auto const took = current_time() - sent_at;
    if(answer.outcome != append_outcome::done || took > timing::slow_append) {
        parts.decisions.write(decision::log_append_slow,
            {{"purpose", name_of(purpose)}, {"outcome", name_of(answer.outcome)}, {"ms", took.count()},
                {"records", count}, {"bytes", bytes}});
    }
    co_return answer;
}

boost::asio::awaitable<copied_append_answer> append_with_copies(
    node_parts const parts, std::vector<keyed_record> records, log_writer const writer) {
    auto const content = std::move(records);
    auto const copies = std::make_shared<internal::append_copies>(parts.context);
    instant next_copy_at{};
    do {
        if(auto const now = current_time(); next_copy_at <= now && copies->pending < timing::max_append_copies) {
            ++copies->pending;
            boost::asio::co_spawn(parts.context, internal::send_copy(parts, content, writer, copies), fail_fast);
            next_copy_at = now + timing::append_copy_interval;
        }
        co_await copies->changed.wait(timing::append_copy_interval);
    } while(!copies->conclusion && copies->pending > 0u);
    auto const failure = copies->has_unknown ? append_outcome::unknown : append_outcome::refused;
    copied_append_answer const result{
        copies->conclusion.value_or(append_answer{failure, 0u}), copies->has_unknown || copies->pending > 0u};
    co_return result;
}

} // namespace kingcuplink
