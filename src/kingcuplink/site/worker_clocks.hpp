#ifndef KINGCUPLINK_SITE_WORKER_CLOCKS_HPP_INCLUDED
#define KINGCUPLINK_SITE_WORKER_CLOCKS_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/site/timing.hpp>
#include <kingcuplink/workflow/types.hpp>
#include <map>
#include <optional>
#include <string>

namespace kingcuplink {

/*! Lease to request from a worker. */
struct lease_request {
    /*! Expiry by the clock of the worker, in ms. */
    std::int64_t expires_at{};
    lease_expiry lapses_at{};
};

/*!
 * Latest clock readings that workers reported, from which the expiries of leases are derived. Performs no I/O and
 * reads no clock. Not thread safe.
 */
class worker_clocks {
public:
    /*! @param lease_limit Longest lease that workers grant. */
    explicit worker_clocks(millis lease_limit) noexcept;

    /*!
     * Records a clock reading.
     * @param clock Clock of the worker in this boot, in ms.
     * @param now Time at which the reading was received or later.
     */
    void report(std::string const &worker, std::uint64_t boot, std::int64_t clock, instant now);

    /*!
     * Returns the lease to request, or nothing if the latest reading is too old or of another boot. Both of its times
     * follow from one reading of the time: the process may be paused before any other one.
     * @param now Time up to which the request is not sent yet.
     * @param lease Requested duration of the lease.
     */
    [[nodiscard]] std::optional<lease_request> request(
        std::string const &worker, std::uint64_t boot, instant now, millis lease = timing::max_lease) const;

private:
    struct reading {
        std::uint64_t boot{};
        std::int64_t clock{};
        instant received_at{};
    };

    millis lease_limit_;
    std::map<std::string, reading> readings_;
};

} // namespace kingcuplink

#endif
