#ifndef KINGCUPLINK_DAEMON_DOCUMENT_KEEPER_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_DOCUMENT_KEEPER_HPP_INCLUDED

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
 * Follows the document's log, takes newer documents from peers, publishes edits
 * and keeps a snapshot in the log. To be used by the control thread alone.
 */
class document_keeper {
public:
    using listener = std::function<void(std::shared_ptr<document const> const &)>;

    /*!
     * Constructs a keeper without a document; all references must outlive it.
     * @param on_change Called with each new document.
     */
    document_keeper(boost::asio::io_context &context, daemon_settings const &settings, platform_client &platform,
        peer_directory &peers, counters &stats, listener on_change);

    /*! Begins to follow the log. */
    void start();

    /*! Returns the document in force, or null. */
    [[nodiscard]] std::shared_ptr<document const> const &current() const noexcept;

    /*! Returns the offset of the document in force. */
    [[nodiscard]] std::uint64_t offset() const noexcept;

    /*! Tells whether the log answered lately. */
    [[nodiscard]] bool log_reachable(instant now) const noexcept;

    /*! Asks a peer for its document if it is newer than ours. */
    void consider_peer(std::string const &peer, std::uint64_t peer_offset);

    /*! Sends the document to a peer that asked for it. */
    void send_copy(std::string const &peer);

    /*! Takes a peer's document. */
    void take_copy(std::string const &json);

    /*! Answers requests about sections. */
    boost::asio::awaitable<api_answer> serve(api_request request);

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> read_log();
    boost::asio::awaitable<void> keep_snapshot();
    boost::asio::awaitable<api_answer> publish(document_edit edit);
    [[nodiscard]] api_answer answer_of(document_edit const &edit, edit_result const &verdict) const;
    [[nodiscard]] api_answer describe() const;
    void changed();

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
    instant last_asked_{};
    instant last_snapshot_{};
};

} // namespace kingcuplink

#endif
