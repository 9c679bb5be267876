#ifndef KINGCUPLINK_SITE_LEADER_WATCH_HPP_INCLUDED
#define KINGCUPLINK_SITE_LEADER_WATCH_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/site/record_codec.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink {

/*!
 * Returns whether an entry VM has at least twice the processor time of another and should lead in its
 * place. A smaller advantage does not justify the time that a change of leaders takes.
 * @param millicores Processor time of the first entry VM, in thousandths of a core.
 * @param other Processor time of the second one, in thousandths of a core; zero if unknown.
 */
[[nodiscard]] bool has_twice_the_processor(std::uint32_t millicores, std::uint32_t other) noexcept;

/*! Content of a leader's heartbeat. */
struct leader_heartbeat_info {
    std::uint64_t term{};
    /*! Time since the leader's latest successful append to the log. */
    millis log_age{};
    /*! Duration of that append. */
    millis append_time{};
    /*! Processor time of the largest entry VM that the leader knows, in thousandths of a core. */
    std::uint32_t most_millicores{};
    /*! Time until the leader's next heartbeat to this entry VM. */
    millis interval{};
};

/*! Reason for which an entry VM claims leadership. */
enum class claim_reason : std::uint8_t {
    no_leader,
    leader_resigned,
    /*! The leader was an earlier process of this entry VM. */
    own_former_process,
    /*! Neither heartbeats nor records of the leader arrive. */
    leader_silent,
    /*! The leader's appends are not done, but those of this entry VM are. */
    appends_faster,
    /*! The leader's appends have not been done for so long that it is replaced by any entry VM. */
    leader_stalled
};

/*! Returns the name of a reason. */
[[nodiscard]] std::string_view name_of(claim_reason reason) noexcept;

/*!
 * Failure detector for the fleet's leader: decides when an entry VM should claim leadership. It performs
 * no I/O and reads no clock. Safety does not depend on it, since the log accepts one claim per term only.
 * Not thread safe.
 */
class leader_watch {
public:
    /*!
     * Constructs a watch for an entry VM.
     * @param own_millicores Processor time of this entry VM in thousandths of a core; zero if unknown.
     */
    leader_watch(std::string own_name, std::uint32_t own_millicores);

    /*!
     * Applies a claim or a resignation that was read from the log; those of earlier terms are ignored.
     * @return True if the leader changed or resigned.
     */
    bool apply_claim(leader_claim claim, instant now);

    /*! Records that the log contains a new record of the leader. */
    void record_leader_activity(instant now) noexcept;

    /*! Records a leader's heartbeat; those of earlier terms are ignored. */
    void record_heartbeat(leader_heartbeat_info const &heartbeat, instant now) noexcept;

    /*! Records that the leader of a term has told of an append that is done; its next heartbeat may come later. */
    void record_leader_append(std::uint64_t term) noexcept;

    /*! Records a successful append of this entry VM and its duration. */
    void record_own_append(millis took, instant now) noexcept;

    /*! Records whether the log has answered the latest read of this entry VM. */
    void record_log_reachability(bool is_reached, instant now) noexcept;

    /*! Records that a claim of this entry VM failed: each failure doubles the time to the next claim. */
    void record_failed_claim(instant now) noexcept;

    /*! Returns the latest claim; its term is zero before the first claim. */
    [[nodiscard]] leader_claim const &claim() const noexcept {
        return claim_;
    }

    /*! Returns whether this entry VM has received a heartbeat of the latest claim's leader. */
    [[nodiscard]] bool has_heartbeats() const noexcept {
        return claim_.term > 0u && heartbeat_.term == claim_.term;
    }

    /*! Returns the time since the latest record of the leader in the log. */
    [[nodiscard]] millis silence(instant now) const noexcept;

    /*! Returns how long to wait for the leader to append relayed records; longer while the log is slow. */
    [[nodiscard]] millis relay_time_limit() const noexcept;

    /*! Returns whether records may be relayed to the leader: its heartbeats arrive and its appends succeed. */
    [[nodiscard]] bool accepts_records(instant now) const noexcept;

    /*! Returns the time since the leader's latest append as of its latest heartbeat. */
    [[nodiscard]] millis leader_log_age() const noexcept {
        return heartbeat_.log_age;
    }

    /*!
     * Returns why this entry VM should claim leadership, or nothing.
     * @param read_at When the latest read that reached the end of the log was sent.
     */
    [[nodiscard]] std::optional<claim_reason> reason_to_claim(instant read_at, instant now) const noexcept;

    /*!
     * Returns whether this entry VM should append a probe: the leader sends heartbeats but does not append, and an
     * append of this entry VM tells whether it could lead instead.
     */
    [[nodiscard]] bool needs_probe(instant now) const noexcept;

private:
    /*! Returns whether the latest claim's leader has not resigned and its heartbeats arrive. */
    [[nodiscard]] bool hears_leader(instant now) const noexcept;
    /*!
     * Returns for how long the leader has not appended although the log answered this entry VM: while it did not, the
     * leader may not have been able to append for the same reason.
     */
    [[nodiscard]] millis failing_time(instant now) const noexcept;
    /*! Returns why a leader that sends heartbeats but no longer appends has to be replaced, or nothing. */
    [[nodiscard]] std::optional<claim_reason> reason_to_replace(instant now) const noexcept;
    /*! Updates the time before the next replacement of a stalled leader for a claim of a higher term. */
    void count_replacement(instant now) noexcept;
    /*! Returns the time without heartbeats and records after which the leader counts as silent. */
    [[nodiscard]] millis silence_limit() const noexcept;
    /*! Returns how long this entry VM delays a claim so that the claims of several entry VMs are spread. */
    [[nodiscard]] millis claim_delay() const noexcept;

    std::string own_name_;
    std::uint32_t own_millicores_;
    leader_claim claim_;
    instant leader_record_at_{};
    leader_heartbeat_info heartbeat_;
    instant heartbeat_received_at_{};
    instant own_append_at_{};
    millis own_append_took_{};
    /*! Since when the log has answered all reads of this entry VM, if it has answered the latest. */
    instant log_answers_since_{};
    bool is_log_reached_{true};
    instant next_claim_at_{};
    millis claim_backoff_{};
    instant claim_applied_at_{};
    millis replacement_backoff_{};
};

} // namespace kingcuplink

#endif
