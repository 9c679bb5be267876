#ifndef KINGCUPLINK_CORE_DENSE_MAP_HPP_INCLUDED
#define KINGCUPLINK_CORE_DENSE_MAP_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <span>
#include <utility>
#include <vector>

namespace kingcuplink {

/*!
 * Sparse set with generational identifiers: values are stored in a dense array, and
 * a sparse array maps identifiers to values. Not thread safe.
 * @tparam Id A basic_id.
 * @tparam Type Type of the values.
 */
template<typename Id, typename Type>
class dense_map {
    struct slot {
        std::uint32_t position{};
        std::uint32_t version{};
        bool in_use{};
    };

public:
    /*!
     * Constructs a value in place.
     * @return The identifier of the new value. References to other values are invalidated.
     */
    template<typename... Args>
    Id emplace(Args &&...args) {
        auto const index = free_.empty() ? grow() : reuse();
        slots_[index].position = static_cast<std::uint32_t>(values_.size());
        slots_[index].in_use = true;
        values_.emplace_back(std::forward<Args>(args)...);
        ids_.push_back(Id{index, slots_[index].version});
        return ids_.back();
    }

    /*!
     * Destroys a value. Stale identifiers are ignored.
     * @return True if a value was destroyed.
     */
    bool erase(Id const id) {
        if(!contains(id)) {
            return false;
        }
        auto &entry = slots_[id.index];
        auto const last = values_.size() - 1u;
        if(entry.position != last) {
            values_[entry.position] = std::move(values_[last]);
            ids_[entry.position] = ids_[last];
            slots_[ids_[last].index].position = entry.position;
        }
        values_.pop_back();
        ids_.pop_back();
        entry.in_use = false;
        ++entry.version;
        free_.push_back(id.index);
        return true;
    }

    /*! Returns true if an identifier refers to a live value. */
    [[nodiscard]] bool contains(Id const id) const noexcept {
        return id.index < slots_.size() && slots_[id.index].in_use && slots_[id.index].version == id.version;
    }

    /*! Returns the value of an identifier, or null if it is stale. */
    [[nodiscard]] Type *find(Id const id) noexcept {
        return contains(id) ? &values_[slots_[id.index].position] : nullptr;
    }

    /*! @copydoc find */
    [[nodiscard]] Type const *find(Id const id) const noexcept {
        return contains(id) ? &values_[slots_[id.index].position] : nullptr;
    }

    /*! Returns the value of an identifier. Undefined behaviour if it is stale. */
    [[nodiscard]] Type &operator[](Id const id) noexcept {
        return values_[slots_[id.index].position];
    }

    /*! @copydoc operator[] */
    [[nodiscard]] Type const &operator[](Id const id) const noexcept {
        return values_[slots_[id.index].position];
    }

    /*! Returns all values, in no particular order. */
    [[nodiscard]] std::span<Type> values() noexcept {
        return values_;
    }

    /*! @copydoc values */
    [[nodiscard]] std::span<Type const> values() const noexcept {
        return values_;
    }

    /*! Returns the identifiers, in the order of values(). */
    [[nodiscard]] std::span<Id const> ids() const noexcept {
        return ids_;
    }

    /*! Returns the number of values. */
    [[nodiscard]] std::size_t size() const noexcept {
        return values_.size();
    }

private:
    std::uint32_t grow() {
        slots_.emplace_back();
        return static_cast<std::uint32_t>(slots_.size() - 1u);
    }

    std::uint32_t reuse() {
        auto const index = free_.back();
        free_.pop_back();
        return index;
    }

    std::vector<Type> values_;
    std::vector<Id> ids_;
    std::vector<slot> slots_;
    std::vector<std::uint32_t> free_;
};

} // namespace kingcuplink

#endif
