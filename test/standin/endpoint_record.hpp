#ifndef KINGCUPLINK_STANDIN_ENDPOINT_RECORD_HPP_INCLUDED
#define KINGCUPLINK_STANDIN_ENDPOINT_RECORD_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/document/document.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kingcuplink::standin {

/*!
 * What all endpoints really did, and every breach of what must always hold. The
 * record sees all endpoints at once, so that it decides.
 */
class endpoint_record {
public:
    /*! Sets the ceilings that are checked from now on. */
    void set_ceilings(std::vector<team_quota> const &teams);

    /*! Notes that operators have taken failure domains out: no start there is allowed from a time on. */
    void forbid_starts(std::set<std::string> domains, std::int64_t from_ms);

    void task_started(std::string const &domain, std::string const &worker, resources const &worker_size,
        resources const &used_with_it, std::string const &task, std::uint32_t attempt, std::string const &team,
        resources const &size);
    void task_ended(std::string const &worker, std::string const &task, std::string const &team, resources const &size,
        std::string const &how);
    void request_began(std::string const &runner, std::string const &id, std::int64_t running, std::int64_t slots);
    void request_ended();

    /*! Returns the record as JSON. */
    [[nodiscard]] boost::json::value to_json() const;

private:
    void breach(std::string text);

    std::vector<std::string> breaches_;
    std::map<std::string, resources> ceilings_;
    std::map<std::string, resources> in_use_;
    std::map<std::string, resources> peak_use_;
    std::map<std::string, std::string> running_on_;
    std::map<std::string, std::int64_t> forbidden_;
    std::map<std::string, std::vector<boost::json::value>> task_runs_;
    std::map<std::string, std::int64_t> request_runs_;
    std::int64_t starts_{};
    std::int64_t requests_{};
    std::int64_t running_requests_{};
};

} // namespace kingcuplink::standin

#endif
