#ifndef KINGCUPLINK_TEST_WORKFLOW_SIMULATED_LOG_HPP_INCLUDED
#define KINGCUPLINK_TEST_WORKFLOW_SIMULATED_LOG_HPP_INCLUDED

#include <kingcuplink/workflow/job_table.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace kingcuplink::test {

/*! Claim of the leadership for a term. */
struct claim_record {
    std::uint64_t term{};
    std::string leader;
    bool resigned{};
};

/*! Request of a caller to cancel a job. */
struct cancellation_record {
    std::string job;
};

/*! Progress of a job. */
struct progress_record {
    std::string job;
    job_progress progress;
};

/*! Time after which all runs on a worker will have ended; nothing removes the record. */
struct lapse_record {
    std::string worker;
    std::optional<millis> remaining;
};

using log_record = std::variant<job_definition, progress_record, claim_record, cancellation_record, lapse_record>;

/*! Outcome of an append. */
enum class append_result : std::uint8_t { done, refused, fenced, out_of_sequence, unknown };

/*! Identifies an append of a writer; appends of lower epochs are fenced off. */
struct append_writer {
    std::uint64_t epoch{};
    std::uint64_t sequence{};
};

/*! In-memory log that rejects lower epochs and executes each numbered append once. */
class simulated_log {
public:
    /*! Answer to an append: its outcome and the offset of its first record. */
    using answer = std::pair<append_result, std::size_t>;

    /*!
     * Constructs an empty log.
     * @param acknowledges_fenced_repeats True if repeated appends of a fenced writer are acknowledged, false if they
     * are rejected.
     */
    explicit simulated_log(bool acknowledges_fenced_repeats)
        : acknowledges_fenced_repeats_{acknowledges_fenced_repeats} {}

    /*! Appends records; without a writer, the append is neither fenced nor checked for repetition. */
    answer append(std::vector<log_record> const &records, std::optional<append_writer> writer);

    [[nodiscard]] std::vector<log_record> const &records() const noexcept {
        return records_;
    }

private:
    struct numbered_append {
        append_writer writer;
        std::size_t offset{};
    };

    bool acknowledges_fenced_repeats_;
    std::vector<log_record> records_;
    std::uint64_t epoch_{};
    std::uint64_t sequence_{};
    std::vector<numbered_append> recent_appends_;
};

} // namespace kingcuplink::test

#endif
