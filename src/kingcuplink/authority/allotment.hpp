#ifndef KINGCUPLINK_AUTHORITY_ALLOTMENT_HPP_INCLUDED
#define KINGCUPLINK_AUTHORITY_ALLOTMENT_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/document/document.hpp>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace kingcuplink {

/*!
 * Log record by which a leader declares that it has applied all earlier donations. Donations that follow it under an
 * earlier claim are void.
 */
struct allotment_claim {
    std::string domain;
    /*! Number of the newest known claim plus one. */
    std::uint64_t number{};
    /*! Identifies the leader; unique per process and term. */
    std::string holder{};
};

/*! Transfer of part of the ceiling of a team from one failure domain to another. */
struct allotment_donation {
    std::string from;
    std::string to;
    std::string team;
    resources amount;
    /*! Number of the claim under which the donation is made. */
    std::uint64_t claim{};
};

/*! Returns the log record of a claim. */
[[nodiscard]] boost::json::value claim_record(allotment_claim const &claim);

/*! Returns the log record of a donation. */
[[nodiscard]] boost::json::value donation_record(allotment_donation const &donation);

/*!
 * Divides the fleet-wide ceiling of every team among the failure domains. Half of
 * it is divided evenly into fixed floors. The other half is also divided evenly at
 * first, and is transferred by donations in the log.
 * Deterministic fold over the allotment log; the sum of the limits of a team never
 * exceeds its ceiling. Not thread safe.
 */
class allotment_fold {
public:
    /*! Applies a log record. Ignores malformed records and records at or below offset(). */
    void apply(std::uint64_t offset, boost::json::value const &record);

    /*! Returns the offset of the last applied record. */
    [[nodiscard]] std::uint64_t offset() const noexcept;

    /*! Returns the newest claim of a failure domain. Its number is zero if there is none. */
    [[nodiscard]] allotment_claim newest_claim(std::string_view domain) const;

    /*! Returns the floor of a failure domain. Its leader may use it without reading the log. */
    [[nodiscard]] static resources floor_of(document const &rules, team_quota const &team, std::string_view domain);

    /*! Returns the total allotment of a failure domain: its floor and its part of the movable half. */
    [[nodiscard]] resources limit_of(document const &rules, team_quota const &team, std::string_view domain) const;

private:
    void apply_claim(boost::json::object const &record);
    void apply_donation(boost::json::object const &record);

    std::uint64_t offset_{};
    std::map<std::string, allotment_claim, std::less<>> claims_;
    /*! Received minus donated amounts, by failure domain and team. */
    std::map<std::pair<std::string, std::string>, resources> net_transfers_;
};

} // namespace kingcuplink

#endif
