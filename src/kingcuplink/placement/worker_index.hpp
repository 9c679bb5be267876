#ifndef KINGCUPLINK_PLACEMENT_WORKER_INDEX_HPP_INCLUDED
#define KINGCUPLINK_PLACEMENT_WORKER_INDEX_HPP_INCLUDED

#include <kingcuplink/core/ids.hpp>
#include <kingcuplink/core/resources.hpp>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kingcuplink {

/*!
 * Index of workers by free capacity. Searches and updates usually take time
 * logarithmic in the number of workers. Not thread safe.
 */
class worker_index {
public:
    /*! Adds a worker or updates its free capacity. */
    void set(worker_id worker, resources const &free);

    /*! Removes a worker. Ignored if the worker is not in the index. */
    void erase(worker_id worker);

    /*!
     * Returns a worker with little free capacity left after the allocation, or `std::nullopt` if none fits. Examines a
     * bounded number of workers, then falls back to first().
     */
    [[nodiscard]] std::optional<worker_id> tightest(resources const &need) const;

    /*! Returns the fitting worker with the lowest index, or `std::nullopt` if none fits. */
    [[nodiscard]] std::optional<worker_id> first(resources const &need) const;

    /*! Checks whether a worker is in the index. */
    [[nodiscard]] bool contains(worker_id worker) const noexcept;

    /*! Returns the number of workers. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    using workers_by_millicores = std::set<std::pair<std::int64_t, worker_id>>;

    struct entry {
        worker_id worker;
        resources free;
        bool present{};
    };

    void grow(std::size_t leaves);
    void refresh(std::size_t leaf);
    [[nodiscard]] std::optional<worker_id> descend(std::size_t node, resources const &need) const;

    std::vector<entry> entries_;
    std::vector<resources> tree_;
    std::size_t leaves_{};
    std::size_t size_{};
    std::map<std::int64_t, workers_by_millicores> levels_;
};

} // namespace kingcuplink

#endif
