#ifndef KINGCUPLINK_SITE_RECORD_CODEC_HPP_INCLUDED
#define KINGCUPLINK_SITE_RECORD_CODEC_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/site/ports.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Kinds of records in the stream of jobs. */
enum class record_kind : std::uint8_t { job, progress, cancellation, leader };

/*! Who leads the fleet, as the log has it. */
struct leader_claim {
    std::uint64_t term{};
    std::string name;
    std::string peer_address;
    bool resigned{};
};

/*! What a record's key says. */
struct parsed_record_key {
    record_kind kind{record_kind::job};
    /*! Identifier of the job; empty for the leader. */
    std::string id;
};

/*! Reads a key; nothing if it is not of this product. */
[[nodiscard]] std::optional<parsed_record_key> parse_record_key(std::string_view key);

/*! Writes a record; the inverse of the functions that parse one. */
[[nodiscard]] keyed_record encode(job_definition const &job);

/*! @copydoc encode */
[[nodiscard]] keyed_record encode(std::string const &id, job_progress const &progress);

/*! @copydoc encode */
[[nodiscard]] keyed_record encode(leader_claim const &claim);

/*! Writes the wish to cancel a job. */
[[nodiscard]] keyed_record encode_cancellation(std::string const &id);

/*! Writes the records that remove everything about a job. */
[[nodiscard]] std::vector<keyed_record> encode_removal(std::string const &id);

/*! Reads a job; nothing if the bytes are not one. */
[[nodiscard]] std::optional<job_definition> decode_job(std::string id, std::string_view bytes);

/*! Reads progress; nothing if the bytes are not progress. */
[[nodiscard]] std::optional<job_progress> decode_progress(std::string_view bytes);

/*! Reads a claim; nothing if the bytes are not one. */
[[nodiscard]] std::optional<leader_claim> decode_leader(std::string_view bytes);

} // namespace kingcuplink

#endif
