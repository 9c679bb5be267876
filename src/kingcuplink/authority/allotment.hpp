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

/*! Leader's notice in the log that it knows all donations before it; voids later ones of earlier claims. */
struct allotment_claim {
    std::string domain;
    /*! One more than the number of the newest claim known. */
    std::uint64_t number{};
    /*! Identifies the leader; unique to each of its processes and terms. */
    std::string holder{};
};

/*! Transfer of a part of a ceiling from one failure domain to another. */
struct allotment_donation {
    std::string from;
    std::string to;
    std::string team;
    resources amount;
    /*! Number of the claim under which it is given. */
    std::uint64_t claim{};
};

/*! Returns the log record of a claim. */
[[nodiscard]] boost::json::value claim_record(allotment_claim const &claim);

/*! Returns the log record of a donation. */
[[nodiscard]] boost::json::value donation_record(allotment_donation const &donation);

/*!
 * Splits every team's fleet-wide ceiling over the failure domains. Half of it is
 * divided into floors, which never move. The other half is movable: it begins
 * divided alike, and donations in the log move it.
 * Deterministic fold of the allotments' log; the sum of all limits of a team
 * never exceeds its ceiling. Not thread safe.
 */
class allotment_fold {
public:
    /*! Takes a record of the log. Records at or below offset() are ignored, as are malformed ones. */
    void apply(std::uint64_t offset, boost::json::value const &record);

    /*! Returns the offset of the last record taken. */
    [[nodiscard]] std::uint64_t offset() const noexcept;

    /*! Returns the newest claim of a failure domain; its number is zero if there is none. */
    [[nodiscard]] allotment_claim newest_claim(std::string_view domain) const;

    /*! Returns a failure domain's floor, which its leader may use without reading the log. */
    [[nodiscard]] static resources floor_of(document const &rules, team_quota const &team, std::string_view domain);

    /*! Returns a failure domain's whole allotment. */
    [[nodiscard]] resources limit_of(document const &rules, team_quota const &team, std::string_view domain) const;

private:
    void apply_claim(boost::json::object const &record);
    void apply_donation(boost::json::object const &record);

    std::uint64_t offset_{};
    std::map<std::string, allotment_claim, std::less<>> claims_;
    /*! What was received less what was given, by failure domain and team. */
    std::map<std::pair<std::string, std::string>, resources> moved_;
};

} // namespace kingcuplink

#endif
