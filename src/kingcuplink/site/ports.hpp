#ifndef KINGCUPLINK_SITE_PORTS_HPP_INCLUDED
#define KINGCUPLINK_SITE_PORTS_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/*! Interfaces between the scheduler and the platform of a site, implemented by an adapter. */
namespace kingcuplink {

/*! Streams of the platform's log. Each stream is compacted: it retains the latest record of every key. */
enum class log_stream : std::uint8_t {
    /*! Jobs, their progress and leadership claims; written by the scheduler. */
    jobs,
    /*! Scheduling rules set by operators; read-only. */
    rules,
    /*! Registrations of workers; read-only. */
    workers
};

/*! Keyed record of a log stream. A record without a value removes its key. */
struct keyed_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset{};
};

/*! Identifies a fenced append: the log rejects appends of writers with a lower epoch. */
struct log_writer {
    /*! The log rejects an append whose epoch is lower than the highest one it has received. */
    std::uint64_t epoch{};
    /*! Must be the successor of the last sequence number of the epoch; repeating an append is idempotent. */
    std::uint64_t sequence{};
};

/*! Outcome of an append. */
enum class append_outcome : std::uint8_t {
    done,
    /*! Nothing was appended. */
    refused,
    /*! The log has received a higher epoch. */
    fenced,
    /*! Another writer uses this epoch. */
    out_of_sequence,
    /*! The records may have been appended, or may still be appended later. */
    unknown
};

/*! Result of an append. */
struct append_answer {
    append_outcome outcome{append_outcome::unknown};
    /*! Offset of the first appended record; valid only if the outcome is `done`. */
    std::uint64_t offset{};
};

/*! Outcome of a read. */
enum class read_outcome : std::uint8_t {
    done,
    /*! The offset precedes the retained records: the latest record of each key has to be read instead. */
    expired,
    failed
};

/*! Result of a read. */
struct read_answer {
    read_outcome outcome{read_outcome::failed};
    std::vector<keyed_record> records;
    /*! Offset of the next read. */
    std::uint64_t next{};
    /*! End of the stream at the time of the read; greater than `next` if the records exceeded one answer. */
    std::uint64_t end{};
};

/*! One page of the latest records of all keys. */
struct newest_page {
    bool answered{};
    std::vector<keyed_record> records;
    bool has_more{};
    /*! End of the stream when the page was read. */
    std::uint64_t end{};
};

/*! Client of the platform's log. Must only be used on the control thread. */
class keyed_log {
public:
    virtual ~keyed_log() = default;

    /*!
     * Appends records atomically.
     * @param writer Fences off earlier writers; nothing for an append without fencing.
     * @param timeout Time without an answer after which the outcome is unknown.
     */
    virtual boost::asio::awaitable<append_answer> append(
        log_stream stream, std::vector<keyed_record> records, std::optional<log_writer> writer, millis timeout) = 0;

    /*!
     * Reads records, starting at an offset.
     * @param wait Longest time that the log waits for a record if there is none.
     */
    virtual boost::asio::awaitable<read_answer> read(log_stream stream, std::uint64_t from, millis wait) = 0;

    /*!
     * Reads the end of a stream, transferring hardly any records.
     * @param from Offset that the log still retains.
     * @return Nothing if the log did not answer, or no longer retains the offset.
     */
    virtual boost::asio::awaitable<std::optional<std::uint64_t>> end(log_stream stream, std::uint64_t from) = 0;

    /*!
     * Reads a page of the latest records of all keys.
     * @param after The page begins with the first key greater than this one.
     */
    virtual boost::asio::awaitable<newest_page> newest(log_stream stream, std::string after) = 0;
};

/*! Result of decoding a worker's registration. */
struct registration_reading {
    /*! Nothing if the registration is invalid. */
    std::optional<worker_registration> worker{};
    /*! Reason why the registration is invalid. */
    std::string fault{};
};

/*! Decodes log records that the platform and its operators write. */
class site_decoder {
public:
    virtual ~site_decoder() = default;

    /*! Decodes a worker's registration. The input is untrusted; malformed input never causes an exception. */
    [[nodiscard]] virtual registration_reading worker(std::string_view key, std::string_view value) = 0;

    /*!
     * Applies one record of the operators to the rules.
     * @return False if the record cannot be decoded; the rules are unchanged then.
     */
    [[nodiscard]] virtual bool apply(keyed_record const &record, site_rules &rules) = 0;

    /*!
     * Accepts registrations for a service from now on, also if the operators' rules do not name it: an accepted job
     * needs its workers.
     */
    virtual void admit_service(std::string_view service) = 0;
};

/*! Recipient of a call. A different worker at the same address ignores the call. */
struct worker_target {
    std::string name;
    std::string address;
};

/*! Request for the list of all runs of a worker. */
struct poll_request {
    std::uint64_t token{};
    /*! Acknowledges ended runs up to this number: the worker may discard them. */
    std::uint64_t kept_end{};
    /*! Longest time that the worker may delay its answer until a run ends. */
    millis wait{};
    /*! Expiry of the lease in milliseconds of the worker's clock; nothing if the lease is not extended. */
    std::optional<std::int64_t> expires_at{};
};

/*! Outcome of a poll. */
enum class poll_outcome : std::uint8_t {
    answered,
    /*! The worker has received a higher token. */
    fenced,
    /*! A different worker answered at the address. */
    other_worker,
    failed
};

/*! Result of a poll. */
struct poll_answer {
    poll_outcome outcome{poll_outcome::failed};
    worker_inventory inventory;
    /*! The worker's clock, in milliseconds. */
    std::int64_t clock{};
};

/*! Client that sends commands to workers. Must only be used on the control thread. */
class worker_port {
public:
    virtual ~worker_port() = default;

    /*! Requests the list of all runs of a worker. */
    virtual boost::asio::awaitable<poll_answer> poll(worker_target target, poll_request request, millis timeout) = 0;

    /*!
     * Starts a run.
     * @param expires_at Expiry of the run's lease in milliseconds of the worker's clock.
     */
    virtual boost::asio::awaitable<start_answer> start(
        worker_target target, run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout) = 0;

    /*!
     * Stops a run, or prevents its start if it has not started yet.
     * @return False if the worker did not answer.
     */
    virtual boost::asio::awaitable<bool> stop(
        worker_target target, run_key run, std::uint64_t token, millis timeout) = 0;
};

/*! Client of the adviser, which approves workers for a step. Must only be used on the control thread. */
class advice_port {
public:
    virtual ~advice_port() = default;

    /*! Requests approval of workers; returns nothing if the adviser did not answer. */
    virtual boost::asio::awaitable<std::optional<std::vector<advice_grant>>> ask(
        advice_query query, millis timeout) = 0;
};

} // namespace kingcuplink

#endif
