#ifndef KINGCUPLINK_SITE_KEYED_READER_HPP_INCLUDED
#define KINGCUPLINK_SITE_KEYED_READER_HPP_INCLUDED

#include <kingcuplink/site/ports.hpp>
#include <vector>

namespace kingcuplink {

/*! Records returned by one read. */
struct keyed_batch {
    /*! True if the batch holds the latest records of all keys: keys that are absent were removed. */
    bool is_snapshot{};
    std::vector<keyed_record> records;
};

/*!
 * Reads one stream of the log: first a snapshot with the latest record of each key, then all
 * further records in order. If the log no longer retains the next record, the reader starts over
 * with a snapshot. Must only be used on the control thread.
 */
class keyed_reader {
public:
    /*! Constructs a reader; the log must outlive it. */
    keyed_reader(keyed_log &log, log_stream stream);

    /*!
     * Reads the next batch of records.
     * @param wait Longest time that the log waits for a record; it does not apply to snapshots.
     * @return Nothing if the log could not be read.
     */
    boost::asio::awaitable<std::optional<keyed_batch>> next(millis wait);

    /*!
     * Excludes records from the next reads, because the caller has appended and applied them itself.
     * @param from Offset of the first record.
     * @return False if they may already have been read, or while there is no snapshot: the caller must not apply them.
     */
    bool skip(std::uint64_t from, std::size_t count);

    /*! Returns the number of records that were excluded so far. */
    [[nodiscard]] std::uint64_t skipped() const noexcept {
        return skipped_;
    }

    /*! Returns the offset of the first record that has not been delivered. */
    [[nodiscard]] std::uint64_t offset() const noexcept {
        return offset_;
    }

    /*! Returns whether the last read ended before the end of the stream. */
    [[nodiscard]] bool is_behind() const noexcept {
        return offset_ < end_;
    }

    /*! Returns the number of records after the last read, as of that read. */
    [[nodiscard]] std::uint64_t remaining() const noexcept {
        return is_behind() ? end_ - offset_ : 0u;
    }

    /*! Returns whether a snapshot was delivered and no gap was found since. */
    [[nodiscard]] bool is_synced() const noexcept {
        return synced_;
    }

    /*! Returns when the latest read that reached the end of the stream was sent. */
    [[nodiscard]] instant fresh_at() const noexcept {
        return fresh_at_;
    }

private:
    boost::asio::awaitable<std::optional<keyed_batch>> read_snapshot();
    [[nodiscard]] bool is_excluded(std::uint64_t offset) const;
    /*! Advances the offset over excluded records. */
    void advance();

    keyed_log &log_;
    log_stream stream_;
    std::uint64_t offset_{};
    /*! Ends of the ranges of excluded records, by their first offsets. */
    std::map<std::uint64_t, std::uint64_t> excluded_;
    std::uint64_t skipped_{};
    bool synced_{};
    /*! End of the stream as of the last read. */
    std::uint64_t end_{};
    instant fresh_at_{};
};

} // namespace kingcuplink

#endif
