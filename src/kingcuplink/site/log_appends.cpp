#include <array>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/site/log_appends.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 4u> append_purpose_names{"leader", "callers", "claim", "resignation"};
constexpr std::array<std::string_view, 5u> append_outcome_names{
    "done", "refused", "fenced", "out_of_sequence", "unknown"};

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
    auto const answer = co_await parts.log.append(log_stream::jobs, std::move(records), writer);
    auto const took = current_time() - sent_at;
    if(answer.outcome != append_outcome::done || took > timing::slow_append) {
        parts.decisions.write(decision::log_append_slow,
            {{"purpose", name_of(purpose)}, {"outcome", name_of(answer.outcome)}, {"ms", took.count()},
                {"records", count}, {"bytes", bytes}});
    }
    co_return answer;
}

} // namespace kingcuplink
