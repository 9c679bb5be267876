#include <array>
#include <kingcuplink/site/caller_records.hpp>
#include <kingcuplink/site/log_appends.hpp>
#include <kingcuplink/site/timing.hpp>
#include <utility>

namespace kingcuplink {

namespace internal {

constexpr std::array<std::string_view, 4u> record_way_names{"own_append", "relay", "notice", "log"};

} // namespace internal

std::string_view name_of(record_way const way) noexcept {
    return internal::record_way_names[static_cast<std::size_t>(way)];
}

caller_records::group_pointer caller_records::add(std::vector<caller_record> records) {
    queue_.push_back(std::make_shared<group>(context_));
    queue_.back()->records = std::move(records);
    return queue_.back();
}

boost::asio::awaitable<append_outcome> caller_records::outcome_of(group_pointer group) {
    auto const waiting = std::move(group);
    while(!waiting->is_settled) {
        co_await waiting->settled.wait(timing::late_append_limit);
    }
    co_return waiting->outcome;
}

std::vector<caller_records::group_pointer> caller_records::take(std::uint64_t const max_bytes) {
    std::vector<group_pointer> groups;
    for(std::uint64_t bytes{}; !queue_.empty() && (groups.empty() || bytes < max_bytes);) {
        for(auto const &row: queue_.front()->records) {
            bytes += size_of(row.record);
        }
        groups.push_back(std::move(queue_.front()));
        queue_.pop_front();
    }
    return groups;
}

std::vector<caller_records::group_pointer> caller_records::take_all() {
    std::vector<group_pointer> groups{queue_.begin(), queue_.end()};
    queue_.clear();
    return groups;
}

void caller_records::settle(std::span<group_pointer const> const groups, append_outcome const outcome) {
    for(auto const &item: groups) {
        item->outcome = outcome;
        item->is_settled = true;
        item->settled.notify();
    }
}

} // namespace kingcuplink
