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
 * Index of workers by what they have left. A search and an update take time
 * logarithmic in the number of workers in the usual case. Not thread safe.
 */
class worker_index {
public:
    /*! Adds a worker, or changes what it has left. */
    void set(worker_id worker, resources const &free);

    /*! Removes a worker; ignored if it is not there. */
    void erase(worker_id worker);

    /*! Returns the worker that is left with the least after taking an amount, or nothing if none fits. */
    [[nodiscard]] std::optional<worker_id> tightest(resources const &need) const;

    /*! Returns some worker that fits an amount, or nothing if none does. */
    [[nodiscard]] std::optional<worker_id> first(resources const &need) const;

    /*! Tells whether a worker is there. */
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
