#ifndef KINGCUPLINK_AUTHORITY_LEADERSHIP_HPP_INCLUDED
#define KINGCUPLINK_AUTHORITY_LEADERSHIP_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! What an entry VM does in its failure domain. */
enum class authority_role : std::uint8_t { standby, leader };

/*! What an event did to the role. */
enum class role_change : std::uint8_t {
    none,
    /*! Became the leader: acquire every worker with term(). */
    took_over,
    /*! Became a standby: drop all holds. */
    stepped_down,
    /*! Still the leader, with a higher term: acquire every worker again. */
    raised_term
};

/*!
 * Decides which entry VM of a failure domain leads it. Two that lead at once do
 * no harm, since every worker obeys the higher term; this class makes it rare
 * and short. Leadership is sticky: a standby moves in only after a silence.
 * No I/O, no clock. Not thread safe.
 */
class leadership {
public:
    /*!
     * Constructs a standby.
     * @param domain Name of the failure domain.
     * @param self Name of this entry VM.
     * @param started Time from which silence counts.
     */
    leadership(std::string domain, std::string self, instant started);

    /*! Sets the other entry VMs of the failure domain. */
    void set_members(std::span<std::string const> names);

    /*! Takes a heartbeat of another member. */
    role_change heard(std::string_view peer, bool leads, std::uint64_t term, instant now);

    /*! Takes the notice of another member that it stops. */
    void left(std::string_view peer, instant now);

    /*! Lets time pass. */
    role_change tick(instant now);

    /*! Takes the refusal of a worker that obeys a term at least as high as ours. */
    role_change refused(std::uint64_t term, instant now);

    /*! Notes that a worker granted its lease in the current term. */
    void granted() noexcept;

    /*! Gives leadership up for good, before this process stops. */
    role_change resign() noexcept;

    /*! Returns the role. */
    [[nodiscard]] authority_role role() const noexcept;

    /*! Returns the term: our own as leader, else the highest seen. */
    [[nodiscard]] std::uint64_t term() const noexcept;

    /*! Returns the name of the member that leads as far as known, or an empty text. */
    [[nodiscard]] std::string leader(instant now) const;

    /*!
     * Returns since when a member says, without a break, that it does not lead.
     * The largest time if it leads, or was not heard within the heartbeat timeout.
     */
    [[nodiscard]] instant idle_since(std::string_view peer, instant now) const;

    /*! Tells whether a member was heard within the heartbeat timeout. */
    [[nodiscard]] bool is_live(std::string_view peer, instant now) const;

private:
    struct member {
        instant last_heard{};
        instant idle_since{instant::max()};
        bool leads{};
        std::uint64_t term{};
    };

    [[nodiscard]] std::int64_t rank(instant now) const;
    void step_down(instant contest_after) noexcept;

    std::string domain_;
    std::string self_;
    std::map<std::string, member, std::less<>> members_;
    authority_role role_{authority_role::standby};
    std::uint64_t term_{};
    instant silent_since_;
    bool has_any_grant_{};
    bool resigned_{};
};

} // namespace kingcuplink

#endif
