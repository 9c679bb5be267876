#ifndef KINGCUPLINK_PLACEMENT_RUN_HISTORY_HPP_INCLUDED
#define KINGCUPLINK_PLACEMENT_RUN_HISTORY_HPP_INCLUDED

#include <cstddef>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/time.hpp>
#include <string>
#include <string_view>
#include <unordered_map>

namespace kingcuplink {

/*!
 * Ratios of actual to declared run times and sizes, averaged over earlier runs
 * of jobs with the same team and name. Bounded in size. Not thread safe.
 */
class run_history {
public:
    /*! Records the run time of a completed task. */
    void record_run(std::string_view team, std::string_view job, millis declared, millis actual);

    /*! Records the reported resource usage of a task. */
    void record_use(std::string_view team, std::string_view job, resources const &declared, resources const &used);

    /*! Returns the declared run time, scaled by the average ratio of earlier runs. */
    [[nodiscard]] millis expected_run(std::string_view team, std::string_view job, millis declared) const;

    /*!
     * Returns the declared size, raised where earlier runs used more than they declared. Accelerators are returned as
     * declared.
     */
    [[nodiscard]] resources expected_size(std::string_view team, std::string_view job, resources const &declared) const;

private:
    struct entry {
        double run_ratio{1.0};
        double millicores_ratio{1.0};
        double memory_ratio{1.0};
    };

    [[nodiscard]] entry const *find(std::string_view team, std::string_view job) const;
    [[nodiscard]] entry &insert(std::string_view team, std::string_view job);

    std::unordered_map<std::string, entry> entries_;
};

} // namespace kingcuplink

#endif
