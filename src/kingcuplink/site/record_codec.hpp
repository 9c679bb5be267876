#ifndef KINGCUPLINK_SITE_RECORD_CODEC_HPP_INCLUDED
#define KINGCUPLINK_SITE_RECORD_CODEC_HPP_INCLUDED

#include <cstdint>
#include <kingcuplink/site/ports.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Kinds of records in the stream `log_stream::jobs`. */
enum class record_kind : std::uint8_t { job, progress, cancellation, lapse, leader };

/*! Record of the log that claims or resigns leadership of the fleet. */
struct leader_claim {
    std::uint64_t term{};
    std::string name;
    std::string peer_address;
    bool resigned{};
    /*! Processor time of the leader's entry VM, in thousandths of a core; zero if unknown. */
    std::uint32_t processor_millicores{};
    /*! True if the leader extends no lease beyond the times in records of lapses, unlike those of earlier versions. */
    bool observes_lapses{true};
};

/*! Components of a record's key. */
struct parsed_record_key {
    record_kind kind{record_kind::job};
    /*! Identifier of the job, or name of the worker for a record of a lapse; empty for a record of the leader. */
    std::string id;
    /*! Part of the job's tasks, for a record of the progress of one part. */
    std::optional<std::uint32_t> part{};
};

/*! Parses a key; returns nothing if the key has none of the known prefixes. */
[[nodiscard]] std::optional<parsed_record_key> parse_record_key(std::string_view key);

/*! Encodes a record; the inverse of the corresponding decode function. */
[[nodiscard]] keyed_record encode(job_definition const &job);

/*! @copydoc encode */
[[nodiscard]] keyed_record encode(std::string const &id, job_progress const &progress);

/*! @copydoc encode */
[[nodiscard]] keyed_record encode(leader_claim const &claim);

/*! Returns the key after which a page of newest records begins with the latest claim. */
[[nodiscard]] std::string key_before_claims();

/*! Encodes the request to cancel a job, which arrived at a time by the clock of the entry VM that received it. */
[[nodiscard]] keyed_record encode_cancellation(std::string const &id, instant requested_at);

/*! Encodes the time after which all runs on a worker will have ended, or nothing to remove that record. */
[[nodiscard]] keyed_record encode_lapse(std::string const &worker, std::optional<millis> remaining);

/*! Encodes a record without effect; entry VMs append it to find out whether they can. */
[[nodiscard]] keyed_record encode_probe(std::string const &sender);

/*! Encodes the record that removes the progress of a part of a job's tasks. */
[[nodiscard]] keyed_record encode_part_removal(std::string const &id, std::uint32_t part);

/*! Encodes the records that remove all keys of an ended job. */
[[nodiscard]] std::vector<keyed_record> encode_removal(std::string const &id);

/*! Decodes a job; returns nothing if the bytes are malformed. */
[[nodiscard]] std::optional<job_definition> decode_job(std::string id, std::string_view bytes);

/*! Decodes the progress of a job; returns nothing if the bytes are malformed. */
[[nodiscard]] std::optional<job_progress> decode_progress(std::string_view bytes);

/*! Decodes the time of a cancellation; returns nothing if the record does not tell it, as that of earlier versions. */
[[nodiscard]] std::optional<instant> decode_cancellation(std::string_view bytes) noexcept;

/*! Decodes the time after which all runs on a worker will have ended; returns nothing if the bytes are malformed. */
[[nodiscard]] std::optional<millis> decode_lapse(std::string_view bytes);

/*! Decodes a leadership claim; returns nothing if the bytes are malformed. */
[[nodiscard]] std::optional<leader_claim> decode_leader(std::string_view bytes);

} // namespace kingcuplink

#endif
