#ifndef KINGCUPLINK_ROUTING_RUNNER_POOL_HPP_INCLUDED
#define KINGCUPLINK_ROUTING_RUNNER_POOL_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/core/dense_map.hpp>
#include <kingcuplink/core/ids.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/routing/attempt.hpp>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>

namespace kingcuplink {

/*! Runner with the slots assigned to this entry VM. */
struct runner_slots {
    std::string name;
    std::string address;
    /*! Number of slots that this entry VM may use. */
    std::int64_t slots{};
    /*! False while the runner is leaving or its failure domain is out of service. */
    bool usable{true};
};

/*! Strategy for choosing a runner. */
enum class selection : std::uint8_t { least_of_two, round_robin, least_outstanding };

/*!
 * Pool of the runners of a failure domain, with the requests of this entry VM on
 * them. Failing runners are sidelined, then probed with a single request.
 * Performs no I/O and reads no clock. Not thread safe.
 */
class runner_pool {
public:
    /*! Constructs an empty pool. The seed initializes the random choices. */
    explicit runner_pool(std::uint64_t seed, selection strategy = selection::least_outstanding);

    /*! Replaces the list of runners. Outstanding requests remain counted. */
    void assign(std::span<runner_slots const> runners);

    /*!
     * Chooses a runner and acquires one of its slots.
     * @param avoid Runner on which an earlier attempt of the request failed, or null. It is chosen only if no other
     * runner has a free slot.
     * @return The runner, or `std::nullopt` if there is no free slot.
     */
    [[nodiscard]] std::optional<runner_id> acquire(instant now, runner_id avoid = {});

    /*!
     * Releases a slot. Ignored if the identifier is stale.
     * @param reused True if the attempt used a connection that had been used before. If it may have run and no complete
     * answer was received, older connections to the runner are regarded as broken, and the runner is not sidelined.
     */
    void release(runner_id runner, attempt_outcome outcome, bool reused, instant now);

    /*! Returns a time. Connections to the runner that were last used before it must not be reused. */
    [[nodiscard]] instant distrust_before(runner_id runner) const;

    /*! Returns the address of a runner, or an empty string if the identifier is stale. */
    [[nodiscard]] std::string address_of(runner_id runner) const;

    /*! Returns the number of slots of all runners that currently accept a request, minus their outstanding requests. */
    [[nodiscard]] std::int64_t free_slots(instant now) const;

    /*! Returns the number of slots of usable runners, both free and acquired. */
    [[nodiscard]] std::int64_t usable_slots() const;

    /*! Returns the number of sidelined runners. */
    [[nodiscard]] std::int64_t sidelined(instant now) const;

private:
    struct runner {
        runner_slots description;
        std::int64_t outstanding{};
        std::uint32_t failures{};
        instant sidelined_until{};
        instant distrust_before{};
        bool listed{true};
    };

    [[nodiscard]] bool has_free_slot(runner const &value, instant now) const;
    [[nodiscard]] std::optional<runner_id> choose_least_of_two(instant now, runner_id avoid);
    [[nodiscard]] std::optional<runner_id> choose_round_robin(instant now, runner_id avoid);
    [[nodiscard]] std::optional<runner_id> choose_least_outstanding(instant now, runner_id avoid);

    using chooser = std::optional<runner_id> (runner_pool::*)(instant, runner_id);

    dense_map<runner_id, runner> runners_;
    std::map<std::string, runner_id, std::less<>> by_name_;
    std::mt19937_64 random_;
    chooser choose_;
    std::size_t next_index_{};
};

} // namespace kingcuplink

#endif
