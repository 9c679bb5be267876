#ifndef KINGCUPLINK_DAEMON_ALLOTMENT_KEEPER_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_ALLOTMENT_KEEPER_HPP_INCLUDED

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
 * Follows the allotments' log; as the leader, appends claims and donations. To be
 * used by the control thread alone.
 */
class allotment_keeper {
public:
    /*! Constructs a keeper that does not lead; all references must outlive it. */
    allotment_keeper(
        boost::asio::io_context &context, daemon_settings const &settings, platform_client &platform, counters &stats);

    /*! Begins to follow the log. */
    void start();

    /*! Begins or ends leadership in a term. */
    void set_leading(bool leading, std::uint64_t term);

    /*! Asks for a claim that is appended after a time. */
    void want_claim(instant after) noexcept;

    /*! Tells whether a claim appended after a time was read back and is still the newest. */
    [[nodiscard]] bool has_claim(instant after) const;

    /*! Returns what this failure domain may use of a team's ceiling on a worker whose hold began at a time. */
    [[nodiscard]] resources limit(document const &rules, team_quota const &team, instant hold_began) const;

    /*!
     * Gives a part of the movable allotment away.
     * @param spare What is not in use. At most half of it is given.
     * @return What was given; zero if nothing was.
     */
    boost::asio::awaitable<resources> donate(
        document const &rules, team_quota const &team, std::string to, resources wanted, resources spare);

    /*! Reads the log now. */
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
    instant claim_wanted_after_{};
    instant claim_sent_{};
    std::uint64_t next_donation_{};
    /*! Donations that were not read back yet, by record identifier: team and amount. */
    std::map<std::string, std::pair<std::string, resources>> pending_;
};

} // namespace kingcuplink

#endif
