#ifndef KINGCUPLINK_SITE_LOG_APPENDS_HPP_INCLUDED
#define KINGCUPLINK_SITE_LOG_APPENDS_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <kingcuplink/site/node_parts.hpp>
#include <kingcuplink/site/ports.hpp>
#include <optional>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! Purpose of an append to the stream of jobs. */
enum class append_purpose : std::uint8_t {
    /*! Appends of the leader. */
    leader,
    /*! Callers' records that an entry VM appends itself. */
    callers,
    claim,
    resignation,
    /*! Record that shows whether this entry VM can append. */
    probe
};

/*! Returns the name of a purpose. */
[[nodiscard]] std::string_view name_of(append_purpose purpose) noexcept;

/*! Returns the name of an outcome. */
[[nodiscard]] std::string_view name_of(append_outcome outcome) noexcept;

/*!
 * Appends records to the stream of jobs. Appends that take longer than timing::slow_append, or are not done, are
 * written to the decision log. Must only be used on the control thread.
 */
[[nodiscard]] boost::asio::awaitable<append_answer> append_to_jobs(
    node_parts parts, append_purpose purpose, std::vector<keyed_record> records, std::optional<log_writer> writer);

/*! Result of an append that was sent several times. */
struct copied_append_answer {
    append_answer answer;
    /*! True if a copy without an answer may have appended the records, whatever the answer says. */
    bool may_be_done{};
};

/*!
 * Appends records of the leader to the stream of jobs. A copy of the append follows whenever no answer has arrived for
 * timing::append_copy_interval: the log executes the first one that arrives and answers the others alike. Returns once
 * an answer is conclusive, or all copies have failed. Must only be used on the control thread.
 */
[[nodiscard]] boost::asio::awaitable<copied_append_answer> append_with_copies(
    node_parts parts, std::vector<keyed_record> records, log_writer writer);

/*! Returns the number of bytes of the keys and values of a record. */
[[nodiscard]] std::uint64_t size_of(keyed_record const &record) noexcept;

} // namespace kingcuplink

#endif
