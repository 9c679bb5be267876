#ifndef KINGCUPLINK_DAEMON_ALLOTMENT_MANAGER_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_ALLOTMENT_MANAGER_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <kingcuplink/authority/allotment.hpp>
#include <kingcuplink/core/counters.hpp>
#include <kingcuplink/daemon/settings.hpp>
#include <kingcuplink/platform/platform_client.hpp>
#include <map>
#include <string>

namespace kingcuplink {

/*!
 * Replays the log of allotments and, on the leader, appends claims and donations to
 * it. Not thread-safe: use it from the control thread only.
 */
class allotment_manager {
public:
    /*! Constructs a manager that is not the leader; all references must outlive it. */
    allotment_manager(
        boost::asio::io_context &context, daemon_settings const &settings, platform_client &platform, counters &stats);

    /*! Starts polling the log. */
    void start();

    /*! Starts or ends leadership in a term; discards the requested claim and pending donations. */
    void set_leading(bool leading, std::uint64_t term);

    /*! Requests that a claim is appended after the given time. */
    void request_claim(instant after) noexcept;

    /*! Returns true if a claim sent after the given time was read back from the log and is still the newest. */
    [[nodiscard]] bool has_claim(instant after) const;

    /*!
     * Returns the part of a team's ceiling that this failure domain may use on a worker held since `hold_start`;
     * without a claim sent later than that, only its guaranteed minimum.
     */
    [[nodiscard]] resources limit(document const &rules, team_quota const &team, instant hold_start) const;

    /*!
     * Donates a part of the movable allotment to another failure domain.
     * @param spare Unused part of the allotment; at most half of it is donated.
     * @return The donated amount; zero without a valid claim, if nothing can be moved, or if the append failed.
     */
    boost::asio::awaitable<resources> donate(
        document const &rules, team_quota const &team, std::string to, resources wanted, resources spare);

    /*! Reads the log to its end; returns at once if a read is in progress. */
    boost::asio::awaitable<void> read();

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> append_claim();
    [[nodiscard]] resources pending_of(std::string const &team) const;

    boost::asio::io_context &context_;
    daemon_settings const &settings_;
    platform_client &platform_;
    counters &stats_;
    allotment_fold fold_;
    std::uint64_t next_offset_{1};
    bool leading_{};
    bool reading_{};
    std::string holder_;
    instant claim_requested_after_{};
    instant claim_sent_{};
    std::uint64_t next_donation_{};
    /*! Donations not yet read back from the log: team and amount, by record identifier. */
    std::map<std::string, std::pair<std::string, resources>> pending_;
};

} // namespace kingcuplink

#endif
