#ifndef KINGCUPLINK_SITE_CALLER_RECORDS_HPP_INCLUDED
#define KINGCUPLINK_SITE_CALLER_RECORDS_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <kingcuplink/site/ports.hpp>
#include <kingcuplink/site/wakeup.hpp>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! Way on which an entry VM learned of a committed record. */
enum class record_way : std::uint8_t {
    /*! It appended the record itself, for a caller of its own. */
    own_append,
    /*! It appended the record for another entry VM. */
    relay,
    /*! Another entry VM appended the record itself and sent a notice of it. */
    notice,
    /*! It read the record from the log. */
    log
};

/*! Returns the name of a way. */
[[nodiscard]] std::string_view name_of(record_way way) noexcept;

/*! Record of a caller for the leader's next append. */
struct caller_record {
    keyed_record record;
    record_way way{record_way::own_append};
};

/*!
 * Callers' records that wait for the leader, which appends them together with its own. They are queued in groups, which
 * are settled as a whole. Must only be used on the control thread.
 */
class caller_records {
public:
    /*! Group of records with the same outcome. */
    struct group {
        explicit group(boost::asio::io_context &context) : settled{context} {}

        std::vector<caller_record> records;
        append_outcome outcome{append_outcome::refused};
        bool is_settled{};
        wakeup settled;
    };

    using group_pointer = std::shared_ptr<group>;

    /*! Constructs an empty queue; the context must outlive it. */
    explicit caller_records(boost::asio::io_context &context) : context_{context} {}

    /*! Queues records as one group. */
    group_pointer add(std::vector<caller_record> records);

    /*! Waits until a group is settled. */
    static boost::asio::awaitable<append_outcome> outcome_of(group_pointer group);

    /*! Removes groups in the order of their arrival, up to a number of bytes; at least one if there are any. */
    [[nodiscard]] std::vector<group_pointer> take(std::uint64_t max_bytes);

    /*! Removes all groups; none of their records was sent to the log. */
    [[nodiscard]] std::vector<group_pointer> take_all();

    /*! Sets the outcome of groups, and resumes who waits for it. */
    static void settle(std::span<group_pointer const> groups, append_outcome outcome);

    [[nodiscard]] bool empty() const noexcept {
        return queue_.empty();
    }

private:
    boost::asio::io_context &context_;
    std::deque<group_pointer> queue_;
};

} // namespace kingcuplink

#endif
