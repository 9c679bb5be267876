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

/*! What a site has to offer to the product. An adapter implements these interfaces. */
namespace kingcuplink {

/*! Streams of the platform's log. Each keeps the newest record of every key. */
enum class log_stream : std::uint8_t {
    /*! Jobs and their progress; the product's own. */
    jobs,
    /*! What operators decide; read only. */
    rules,
    /*! Registrations of workers; read only. */
    workers
};

/*! A record; without a value it removes its key. */
struct keyed_record {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset{};
};

/*! Whose appends exclude those of earlier writers. */
struct log_writer {
    /*! An append with a lower epoch than one that was seen is refused. */
    std::uint64_t epoch{};
    /*! Must follow the last one of the epoch; a repetition has no further effect. */
    std::uint64_t sequence{};
};

/*! What became of an append. */
enum class append_outcome : std::uint8_t {
    done,
    /*! Surely nothing was done. */
    refused,
    /*! A higher epoch was seen. */
    fenced,
    /*! Another writer used this epoch. */
    out_of_sequence,
    /*! It may have been done, or may be done later. */
    unknown
};

/*! Answer to an append. */
struct append_answer {
    append_outcome outcome{append_outcome::unknown};
    /*! Offset of the first record, if it was done. */
    std::uint64_t offset{};
};

/*! What became of a read. */
enum class read_outcome : std::uint8_t {
    done,
    /*! The records at this offset are gone: the newest of each key has to be read. */
    expired,
    failed
};

/*! Answer to a read. */
struct read_answer {
    read_outcome outcome{read_outcome::failed};
    std::vector<keyed_record> records;
    /*! Offset to read from next. */
    std::uint64_t next{};
    /*! End of the stream when the answer was made; beyond `next` if there was more than fits into one. */
    std::uint64_t end{};
};

/*! One page of the newest records of all keys. */
struct newest_page {
    bool answered{};
    std::vector<keyed_record> records;
    bool has_more{};
    /*! End of the stream when the page was made. */
    std::uint64_t end{};
};

/*! The platform's log. To be used by the control thread alone. */
class keyed_log {
public:
    virtual ~keyed_log() = default;

    /*! Appends records, all or none; a writer only where earlier ones must be excluded. */
    virtual boost::asio::awaitable<append_answer> append(
        log_stream stream, std::vector<keyed_record> records, std::optional<log_writer> writer) = 0;

    /*! Reads records from an offset on; waits for one up to the given time. */
    virtual boost::asio::awaitable<read_answer> read(log_stream stream, std::uint64_t from, millis wait) = 0;

    /*! Reads a page of the newest records, of keys after the given one. */
    virtual boost::asio::awaitable<newest_page> newest(log_stream stream, std::string after) = 0;
};

/*! A worker's registration as it was read. */
struct registration_reading {
    /*! Nothing if it names no worker to use. */
    std::optional<worker_registration> worker{};
    /*! Why it names none. */
    std::string fault{};
};

/*! Reads what others than the product write to the log. */
class site_decoder {
public:
    virtual ~site_decoder() = default;

    /*! Reads a worker's registration, which any writer may have made; never throws for what it holds. */
    [[nodiscard]] virtual registration_reading worker(std::string_view key, std::string_view value) = 0;

    /*!
     * Applies one decision of operators to the rules.
     * @return False if the record cannot be read; the rules are as before then.
     */
    [[nodiscard]] virtual bool apply(keyed_record const &record, site_rules &rules) = 0;
};

/*! Which worker a call is for; another one at its address does nothing. */
struct worker_target {
    std::string name;
    std::string address;
};

/*! Question for all runs of a worker. */
struct poll_request {
    std::uint64_t token{};
    /*! Ends up to this number may be forgotten. */
    std::uint64_t kept_end{};
    /*! Time for which the worker may wait for an end. */
    millis wait{};
    /*! End of the lease, by the worker's clock; nothing if it is not to be extended. */
    std::optional<std::int64_t> expires_at{};
};

/*! What became of a look. */
enum class poll_outcome : std::uint8_t {
    answered,
    /*! A higher token was used there. */
    fenced,
    /*! Another worker has the address. */
    other_worker,
    failed
};

/*! Answer to a look. */
struct poll_answer {
    poll_outcome outcome{poll_outcome::failed};
    worker_inventory inventory;
    /*! The worker's clock, in milliseconds. */
    std::int64_t clock{};
};

/*! Orders to workers. To be used by the control thread alone. */
class worker_port {
public:
    virtual ~worker_port() = default;

    /*! Asks for all runs. */
    virtual boost::asio::awaitable<poll_answer> poll(worker_target target, poll_request request, millis timeout) = 0;

    /*! Starts a run whose lease ends at a time by the worker's clock. */
    virtual boost::asio::awaitable<start_answer> start(
        worker_target target, run_start run, std::uint64_t token, std::int64_t expires_at, millis timeout) = 0;

    /*! Stops a run, or keeps it from starting; false if there was no answer. */
    virtual boost::asio::awaitable<bool> stop(
        worker_target target, run_key run, std::uint64_t token, millis timeout) = 0;
};

/*! Who knows which workers a step may use. To be used by the control thread alone. */
class advice_port {
public:
    virtual ~advice_port() = default;

    /*! Asks about workers; nothing if there was no answer. */
    virtual boost::asio::awaitable<std::optional<std::vector<advice_grant>>> ask(
        advice_query query, millis timeout) = 0;
};

} // namespace kingcuplink

#endif
