#ifndef KINGCUPLINK_SITE_KEYED_READER_HPP_INCLUDED
#define KINGCUPLINK_SITE_KEYED_READER_HPP_INCLUDED

#include <kingcuplink/site/ports.hpp>
#include <vector>

namespace kingcuplink {

/*! Records that a reader delivers together. */
struct keyed_batch {
    /*! True if these are the newest records of all keys: keys that are missing are gone. */
    bool is_snapshot{};
    std::vector<keyed_record> records;
};

/*!
 * Follows one stream of the log: first the newest record of each key, then every
 * record in order. After a gap it begins anew. To be used by the control thread alone.
 */
class keyed_reader {
public:
    /*! Constructs a reader; the log must outlive it. */
    keyed_reader(keyed_log &log, log_stream stream);

    /*!
     * Waits for more records.
     * @param wait Longest time that the log waits for a record.
     * @return Nothing if the log could not be read.
     */
    boost::asio::awaitable<std::optional<keyed_batch>> next(millis wait);

    /*! Returns the offset up to which all records were delivered. */
    [[nodiscard]] std::uint64_t offset() const noexcept {
        return offset_;
    }

    /*! Tells whether the last read left records for the next one. */
    [[nodiscard]] bool is_behind() const noexcept {
        return behind_;
    }

    /*! Tells whether the newest records of all keys were delivered once. */
    [[nodiscard]] bool is_synced() const noexcept {
        return synced_;
    }

    /*! Returns when the last read was sent that reached the end of the stream. */
    [[nodiscard]] instant fresh_at() const noexcept {
        return fresh_at_;
    }

private:
    boost::asio::awaitable<std::optional<keyed_batch>> read_snapshot();

    keyed_log &log_;
    log_stream stream_;
    std::uint64_t offset_{};
    bool synced_{};
    bool behind_{};
    instant fresh_at_{};
};

} // namespace kingcuplink

#endif
