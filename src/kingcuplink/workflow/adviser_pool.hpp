#ifndef KINGCUPLINK_WORKFLOW_ADVISER_POOL_HPP_INCLUDED
#define KINGCUPLINK_WORKFLOW_ADVISER_POOL_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <kingcuplink/core/time.hpp>
#include <map>
#include <string>

namespace kingcuplink {

/*!
 * Chooses the entry VM that asks for advice. The adviser serves the calls of one VM
 * one after the other, so that a short call must not wait behind a long one: long
 * calls use a part of the VMs alone. Not thread safe.
 */
class adviser_pool {
public:
    /*! Adds an entry VM. */
    void add(std::string const &name);

    /*! Removes an entry VM. */
    void remove(std::string const &name);

    /*! A call that was given to an entry VM. */
    struct assignment {
        /*! Name of the entry VM; empty if there is none. */
        std::string name;
        /*! When the call is expected to end. */
        instant ends_at{};
    };

    /*!
     * Chooses the entry VM that is free first, of several the one that has been so the
     * longest, and books the call there.
     * @param duration Time that the adviser takes for the call.
     */
    [[nodiscard]] assignment assign(millis duration, instant now);

    /*!
     * Tells that a call has ended. After one without an answer its VM counts as busy for
     * a while: the adviser goes on with calls that nobody waits for.
     */
    void release(std::string const &name, bool answered, instant now);

    /*! Returns the number of entry VMs. */
    [[nodiscard]] std::size_t size() const noexcept {
        return members_.size();
    }

    /*! Returns how many of a number of entry VMs long calls may use. */
    [[nodiscard]] static constexpr std::size_t long_call_limit(std::size_t const members) noexcept {
        return std::max<std::size_t>(1u, members * long_call_percent / 100u);
    }

private:
    /*! Part of the entry VMs that long calls may use, in percent. */
    static constexpr std::size_t long_call_percent = 60u;

    struct member {
        instant free_at{};
        std::size_t calls{};
    };

    std::map<std::string, member> members_;
};

} // namespace kingcuplink

#endif
