#include <algorithm>
#include <iterator>
#include <kingcuplink/platform/http_client.hpp>
#include <kingcuplink/site/keyed_reader.hpp>
#include <utility>

namespace kingcuplink {

keyed_reader::keyed_reader(keyed_log &log, log_stream const stream) : log_{log}, stream_{stream} {}

boost::asio::awaitable<std::optional<keyed_batch>> keyed_reader::next(millis const wait) {
    if(!synced_) {
        co_return co_await read_snapshot();
    }
    advance();
    auto const sent_at = current_time();
    auto answer = co_await log_.read(stream_, offset_, wait);
    switch(answer.outcome) {
    case read_outcome::done:
        std::erase_if(answer.records, [this](auto const &record) { return is_excluded(record.offset); });
        offset_ = answer.next;
        advance();
        end_ = answer.end;
        if(!is_behind()) {
            fresh_at_ = sent_at;
        }
        co_return keyed_batch{false, std::move(answer.records)};
    case read_outcome::expired:
        synced_ = false;
        co_return co_await read_snapshot();
    case read_outcome::failed:
        break;
    }
    co_return std::nullopt;
}

bool keyed_reader::skip(std::uint64_t const from, std::size_t const count) {
    if(!synced_ || from < offset_) {
        return false;
    }
    excluded_.emplace(from, from + count);
    skipped_ += count;
    return true;
}

bool keyed_reader::is_excluded(std::uint64_t const offset) const {
    auto const next = excluded_.upper_bound(offset);
    return next != excluded_.begin() && offset < std::prev(next)->second;
}

void keyed_reader::advance() {
    while(!excluded_.empty() && excluded_.begin()->first <= offset_) {
        offset_ = std::max(offset_, excluded_.begin()->second);
        excluded_.erase(excluded_.begin());
    }
}

boost::asio::awaitable<std::optional<keyed_batch>> keyed_reader::read_snapshot() {
    keyed_batch batch{true, {}};
    excluded_.clear();
    auto const sent_at = current_time();
    std::optional<std::uint64_t> end;
    std::string after;
    for(auto has_more = true; has_more;) {
        auto page = co_await log_.newest(stream_, after);
        if(!page.answered) {
            co_return std::nullopt;
        }
        // Later pages may contain newer records, so incremental reads start at the end that the first page reported.
        end = end ? end : page.end;
        has_more = page.has_more && !page.records.empty();
        if(has_more) {
            after = page.records.back().key;
        }
        batch.records.insert(batch.records.end(), std::make_move_iterator(page.records.begin()),
            std::make_move_iterator(page.records.end()));
    }
    offset_ = *end;
    end_ = *end;
    synced_ = true;
    fresh_at_ = sent_at;
    co_return batch;
}

} // namespace kingcuplink
