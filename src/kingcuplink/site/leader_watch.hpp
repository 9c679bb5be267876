#ifndef KINGCUPLINK_SITE_LEADER_WATCH_HPP_INCLUDED
#define KINGCUPLINK_SITE_LEADER_WATCH_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/site/record_codec.hpp>
#include <string>

namespace kingcuplink {

/*!
 * Tells whether an entry VM has so much more processor time than another that it had
 * better lead; at least twice as much, since a change of leaders costs time as well.
 * @param than Thousandths of a core; with zero it is not known.
 */
[[nodiscard]] bool has_twice_the_processor(std::uint32_t millicores, std::uint32_t than) noexcept;

/*! What a leader's beat says. */
struct leader_heartbeat_info {
    std::uint64_t term{};
    /*! Time since the log last took an append of the leader. */
    millis log_age{};
    /*! Time that the latest of them took. */
    millis append_time{};
    /*! Most processor time that an entry VM is known to have. */
    std::uint32_t most_millicores{};
};

/*!
 * What an entry VM knows of the fleet's leader, and whether it had better claim
 * leadership itself. It performs no I/O and reads no clock; safety rests on the log,
 * which takes one claim of each term. Not thread safe.
 */
class leader_watch {
public:
    /*!
     * Constructs a watch for an entry VM.
     * @param own_millicores Its processor time in thousandths of a core; zero if it is not known.
     */
    leader_watch(std::string own_name, std::uint32_t own_millicores);

    /*!
     * Takes a claim or a resignation that was read from the log.
     * @return True if it changes who leads.
     */
    bool apply_claim(leader_claim claim, instant now);

    /*! Notes that the log showed a record that only the leader writes. */
    void record_leader_activity(instant now) noexcept;

    /*! Takes a beat of a leader; those of earlier terms count for nothing. */
    void record_heartbeat(leader_heartbeat_info const &beat, instant now) noexcept;

    /*! Notes that the log took an append of this entry VM itself, and the time that it needed. */
    void record_own_append(millis took, instant now) noexcept;

    /*! Notes that the log did not take a claim of this entry VM: each failure doubles the time to the next. */
    void record_failed_claim(instant now) noexcept;

    /*! Returns the latest claim; its term is zero before the first. */
    [[nodiscard]] leader_claim const &claim() const noexcept {
        return claim_;
    }

    /*! Tells whether the leader of the latest claim has sent a beat to this entry VM. */
    [[nodiscard]] bool has_heartbeats() const noexcept {
        return claim_.term > 0u && heartbeat_.term == claim_.term;
    }

    /*! Returns how long the log has shown nothing of the leader. */
    [[nodiscard]] millis silence(instant now) const noexcept;

    /*! Returns how long the leader is waited for that was asked to append: longer while the log is slow. */
    [[nodiscard]] millis relay_time_limit() const noexcept;

    /*! Tells whether the leader lives and its appends are done, so that it may be asked to append. */
    [[nodiscard]] bool accepts_records(instant now) const noexcept;

    /*!
     * Tells whether this entry VM should claim leadership.
     * @param read_at When the last read of the log that succeeded was sent.
     */
    [[nodiscard]] bool should_claim(instant read_at, instant now) const noexcept;

private:
    [[nodiscard]] bool is_leader_stalled() const noexcept;
    /*! Returns how long this entry VM lets others claim before it. */
    [[nodiscard]] millis claim_delay() const noexcept;

    std::string own_name_;
    std::uint32_t own_millicores_;
    leader_claim claim_;
    instant seen_at_{};
    leader_heartbeat_info heartbeat_;
    instant heartbeat_at_{};
    instant own_append_at_{};
    millis own_append_took_{};
    instant next_claim_at_{};
    millis claim_backoff_{};
};

} // namespace kingcuplink

#endif
