#ifndef KINGCUPLINK_SITE_COMMIT_NOTICES_HPP_INCLUDED
#define KINGCUPLINK_SITE_COMMIT_NOTICES_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/site/ports.hpp>
#include <list>
#include <vector>

namespace kingcuplink {

/*!
 * Committed cancellations of which an entry VM notifies the leader, which may read them from the log only later. Each
 * one is kept for timing::notice_lifetime, and is due for every leader of that time until this leader confirms it.
 * Performs no I/O and reads no clock. Not thread safe.
 */
class commit_notices {
public:
    /*! Keeps a committed record; returns false if one with its key is kept already. Discards the oldest if full. */
    bool add(keyed_record record, instant now);

    /*! Returns whether a notice to the leader of a term is due. */
    [[nodiscard]] bool is_due(std::uint64_t term, instant now) const;

    /*!
     * Returns the records of the next message to the leader of a term, at most timing::max_notices_per_message; they
     * are due again after timing::notice_repeat, which doubles each time.
     * @param message Identifies the message; not zero.
     */
    [[nodiscard]] std::vector<keyed_record> next(std::uint64_t message, std::uint64_t term, instant now);

    /*! Records that a message was not sent: its records are due again at once. */
    void withdraw(std::uint64_t message) noexcept;

    /*! Records that the leader to which a message was sent has applied it. */
    void confirm(std::uint64_t message) noexcept;

    /*! Removes the records whose time has passed. */
    void remove_expired(instant now);

    /*! Returns the number of records kept. */
    [[nodiscard]] std::size_t size() const noexcept {
        return notices_.size();
    }

private:
    struct notice {
        keyed_record record;
        instant added_at{};
        /*! Latest message with this record, its term and time; zero before the first one. */
        std::uint64_t message{};
        std::uint64_t term{};
        instant sent_at{};
        /*! Time from then on until the record is due again. */
        millis repeat{};
        /*! Latest term whose leader has confirmed the record. */
        std::uint64_t confirmed_term{};
    };

    [[nodiscard]] static bool is_due(notice const &entry, std::uint64_t term, instant now) noexcept;

    /*! In order of time. */
    std::list<notice> notices_;
};

} // namespace kingcuplink

#endif
