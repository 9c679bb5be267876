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

/*! One runner as this entry VM may use it. */
struct runner_slots {
    std::string name;
    std::string address;
    /*! This entry VM's part of the slots. */
    std::int64_t slots{};
    /*! False while the runner is leaving or its failure domain is out. */
    bool usable{true};
};

/*! How a runner is chosen. */
enum class selection : std::uint8_t { least_of_two, round_robin, least_outstanding };

/*!
 * Runners of the failure domain, with this entry VM's requests on them. Failing
 * runners are sidelined, then probed with one request. No I/O, no clock. Not thread safe.
 */
class runner_pool {
public:
    /*! Constructs an empty pool with a seed for choices. */
    explicit runner_pool(std::uint64_t seed, selection strategy = selection::least_outstanding);

    /*! Replaces the list of runners; requests that are under way stay counted. */
    void assign(std::span<runner_slots const> runners);

    /*!
     * Chooses a runner and takes one of its slots.
     * @param avoid Runner that failed the same request before, or null.
     * @return The runner, or nothing if there is no free slot.
     */
    [[nodiscard]] std::optional<runner_id> acquire(instant now, runner_id avoid = {});

    /*!
     * Gives a slot back.
     * @param reused True if the attempt used a connection that had been used before. If no whole
     * answer came on it, older connections to the runner are not to be trusted.
     */
    void release(runner_id runner, attempt_outcome outcome, bool reused, instant now);

    /*! Returns the time such that connections last used before it are not to be trusted. */
    [[nodiscard]] instant distrust_before(runner_id runner) const;

    /*! Returns the address of a runner; empty if the identifier is stale. */
    [[nodiscard]] std::string address_of(runner_id runner) const;

    /*! Returns the number of slots that acquire() could take. */
    [[nodiscard]] std::int64_t free_slots(instant now) const;

    /*! Returns the number of slots of usable runners, taken or not. */
    [[nodiscard]] std::int64_t usable_slots() const;

    /*! Returns the number of runners that are sidelined. */
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
