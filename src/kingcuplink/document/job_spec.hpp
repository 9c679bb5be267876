#ifndef KINGCUPLINK_DOCUMENT_JOB_SPEC_HPP_INCLUDED
#define KINGCUPLINK_DOCUMENT_JOB_SPEC_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/result.hpp>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/document/document.hpp>
#include <string>

namespace kingcuplink {

/*! Specification of a job. */
struct job_spec {
    std::string name;
    std::string team;
    job_kind kind{job_kind::batch};
    /*! Number of tasks. */
    std::int64_t count{1};
    /*! Resources of one task. */
    resources task_size;
    /*! Declared run time of a task; not applicable to services. */
    millis run_time{};
    bool urgent{};
    /*! True if a task may be started again after an attempt that may have run. */
    bool repeatable{true};
};

/*!
 * Parses a job submitted by a caller.
 * @param value Object with name, kind, count, task_size, run_time_ms, urgent and repeatable.
 * @param team Team of the caller's key.
 */
[[nodiscard]] result<job_spec> parse_job(boost::json::value const &value, std::string team);

/*! Returns a job as JSON in the format of parse_job(). */
[[nodiscard]] boost::json::object to_json(job_spec const &spec);

/*! Refuses a job that does not fit into any failure domain or exceeds its team's ceiling. */
[[nodiscard]] result<void> check_job(job_spec const &spec, document const &rules);

} // namespace kingcuplink

#endif
