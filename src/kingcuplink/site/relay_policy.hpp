#ifndef KINGCUPLINK_SITE_RELAY_POLICY_HPP_INCLUDED
#define KINGCUPLINK_SITE_RELAY_POLICY_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>

namespace kingcuplink {

/*!
 * Decides whether other entry VMs relay the leader's starts: each carries the payload of its job, so that starts of
 * wide jobs fill a slow link. Performs no I/O and reads no clock. Not thread safe.
 */
class relay_policy {
public:
    /*! @param link_mbps Speed of this entry VM's link; zero if unknown. */
    explicit relay_policy(std::uint32_t link_mbps) noexcept;

    /*! Records a start with a payload of the given size, whichever way it is sent. */
    void record_start(std::size_t payload_bytes, instant now) noexcept;

    /*! Returns whether the starts of the latest whole second exceed what the leader should send by itself. */
    [[nodiscard]] bool is_relaying(instant now) const noexcept;

private:
    struct load {
        std::uint64_t starts{};
        std::uint64_t bytes{};
    };

    [[nodiscard]] load last_whole_second(instant now) const noexcept;

    std::uint64_t max_bytes_;
    std::int64_t second_{};
    load current_;
    load previous_;
};

} // namespace kingcuplink

#endif
