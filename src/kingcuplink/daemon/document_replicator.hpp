#ifndef KINGCUPLINK_DAEMON_DOCUMENT_REPLICATOR_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_DOCUMENT_REPLICATOR_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <kingcuplink/daemon/peer_directory.hpp>
#include <kingcuplink/document/document_fold.hpp>
#include <kingcuplink/gateway/control_api.hpp>
#include <kingcuplink/platform/platform_client.hpp>
#include <memory>
#include <string>

namespace kingcuplink {

/*!
 * Replays the log of the document, adopts newer documents from peers, publishes
 * edits and appends snapshots to the log. Not thread-safe: use it from the control
 * thread only.
 */
class document_replicator {
public:
    using listener = std::function<void(std::shared_ptr<document const> const &)>;

    /*!
     * Constructs a replicator without a document; all references must outlive it.
     * @param on_change Called with each new document in force.
     */
    document_replicator(boost::asio::io_context &context, daemon_settings const &settings, platform_client &platform,
        peer_directory &peers, counters &stats, listener on_change);

    /*! Starts polling the log. */
    void start();

    /*! Returns the document in force, or null if there is none yet. */
    [[nodiscard]] std::shared_ptr<document const> const &current() const noexcept;

    /*! Returns the log offset of the document in force. */
    [[nodiscard]] std::uint64_t offset() const noexcept;

    /*! Returns true if a read of the log succeeded within the last 5 s. */
    [[nodiscard]] bool log_reachable(instant now) const noexcept;

    /*! Requests a peer's document if it is newer than the local one; sends at most one request per 500 ms. */
    void request_if_newer(std::string const &peer, std::uint64_t peer_offset);

    /*! Sends the document, if there is one, to a peer that requested it. */
    void send_copy(std::string const &peer);

    /*! Adopts a peer's document if it is valid and newer than the local one. */
    void adopt_copy(std::string const &json);

    /*! Serves API requests that read or edit sections of the document. */
    boost::asio::awaitable<api_answer> serve(api_request request);

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> read_log();
    boost::asio::awaitable<void> refresh_snapshot();
    boost::asio::awaitable<api_answer> publish(document_edit edit);
    [[nodiscard]] api_answer answer_of(document_edit const &edit, edit_result const &verdict) const;
    [[nodiscard]] api_answer describe() const;
    void notify_change();

    boost::asio::io_context &context_;
    daemon_settings const &settings_;
    platform_client &platform_;
    peer_directory &peers_;
    counters &stats_;
    listener on_change_;
    document_fold fold_;
    std::uint64_t next_offset_{1};
    std::uint64_t record_number_{};
    bool reading_{};
    instant last_read_{};
    instant last_request_{};
    instant last_snapshot_{};
};

} // namespace kingcuplink

#endif
