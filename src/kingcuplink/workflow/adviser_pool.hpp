#ifndef KINGCUPLINK_WORKFLOW_ADVISER_POOL_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_ADVISER_POOL_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <kingcuplink/core/time.hpp>
#include <map>
#include <string>

namespace kingcuplink {

/*!
 * Distributes calls to the adviser over the entry VMs. The adviser processes the calls of one VM sequentially. Long
 * calls are limited to a part of the VMs, so that short calls need not wait for them. Not thread safe.
 */
class adviser_pool {
public:
    /*! Adds an entry VM. */
    void add(std::string const &name);

    /*! Removes an entry VM. */
    void remove(std::string const &name);

    /*! Assignment of a call to an entry VM. */
    struct assignment {
        /*! Name of the entry VM; empty if the pool has none. */
        std::string name;
        /*! When the call is expected to end. */
        instant ends_at{};
    };

    /*!
     * Assigns a call to the entry VM with the earliest completion of its pending calls. Among idle VMs, the one that
     * has been idle for the longest time is chosen.
     * @param duration Expected duration of the call.
     */
    [[nodiscard]] assignment assign(millis duration, instant now);

    /*!
     * Records the end of a call. After a call without an answer the entry VM counts as busy for a while, because the
     * adviser continues to process abandoned calls.
     */
    void release(std::string const &name, bool answered, instant now);

    /*! Returns the number of entry VMs. */
    [[nodiscard]] std::size_t size() const noexcept {
        return members_.size();
    }

    /*! Returns the number of entry VMs available for long calls, given the total. */
    [[nodiscard]] static constexpr std::size_t long_call_limit(std::size_t const members) noexcept {
        return std::max<std::size_t>(1u, members * long_call_percent / 100u);
    }

private:
    /*! Percentage of the entry VMs available for long calls. */
    static constexpr std::size_t long_call_percent = 60u;

    struct member {
        instant free_at{};
        std::size_t calls{};
    };

    std::map<std::string, member> members_;
};

} // namespace kingcuplink

#endif
