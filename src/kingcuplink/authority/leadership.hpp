#ifndef KINGCUPLINK_AUTHORITY_LEADERSHIP_HPP_INCLUDED
#define KINGCUPLINK_AUTHORITY_LEADERSHIP_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Role of an entry VM in its failure domain. */
enum class authority_role : std::uint8_t { standby, leader };

/*! Effect of an event on the role. */
enum class role_change : std::uint8_t {
    none,
    /*! Became the leader: the leases of all workers must be acquired with term(). */
    took_over,
    /*! Became a standby: all holds must be dropped. */
    stepped_down,
    /*! Remains the leader with a higher term: the leases of all workers must be acquired again. */
    raised_term
};

/*!
 * Elects the leader among the entry VMs of a failure domain. Two concurrent leaders
 * are harmless, because every worker obeys the higher term; this class makes that
 * state rare and short. Leadership is sticky: a standby takes over only after it
 * has received no heartbeat from a leader for at least the heartbeat timeout.
 * Performs no I/O and reads no clock. Not thread safe.
 */
class leadership {
public:
    /*!
     * Constructs a standby.
     * @param domain Name of the failure domain.
     * @param self Name of this entry VM.
     * @param started Time from which the heartbeat timeout is measured.
     */
    leadership(std::string domain, std::string self, instant started);

    /*! Sets the other entry VMs of the failure domain. */
    void set_members(std::span<std::string const> names);

    /*! Processes a heartbeat of another member. */
    role_change heard(std::string_view peer, bool leads, std::uint64_t term, instant now);

    /*! Processes the shutdown notice of another member. */
    void left(std::string_view peer, instant now);

    /*! Checks the timeouts. */
    role_change tick(instant now);

    /*! Processes the refusal of a worker that obeys the given term. Ignored if that term is below term(). */
    role_change refused(std::uint64_t term, instant now);

    /*! Records that a worker granted its lease in the current term. */
    void granted() noexcept;

    /*! Resigns permanently, before this process stops. */
    role_change resign() noexcept;

    /*! Returns the role. */
    [[nodiscard]] authority_role role() const noexcept;

    /*! Returns the current term as a leader, the highest known term as a standby. */
    [[nodiscard]] std::uint64_t term() const noexcept;

    /*! Returns the name of the known leader, or an empty string. */
    [[nodiscard]] std::string leader(instant now) const;

    /*!
     * Returns the time since which a member has continuously reported that it does not lead.
     * Returns `instant::max()` if it leads or sent no heartbeat within the heartbeat timeout.
     */
    [[nodiscard]] instant idle_since(std::string_view peer, instant now) const;

    /*! Checks whether a member sent a heartbeat within the heartbeat timeout. */
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
