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
 * What earlier runs tell of jobs of the same team and name: how far declared run
 * times and sizes were off. Bounded in size. Not thread safe.
 */
class run_history {
public:
    /*! Records a run time. */
    void record_run(std::string_view team, std::string_view job, millis declared, millis actual);

    /*! Records reported use of a task. */
    void record_use(std::string_view team, std::string_view job, resources const &declared, resources const &used);

    /*! Returns the declared run time, corrected by what earlier runs took. */
    [[nodiscard]] millis expected_run(std::string_view team, std::string_view job, millis declared) const;

    /*! Returns the declared size, raised by the part that earlier runs used of theirs. Accelerators stay as declared.
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
