#ifndef KINGCUPLINK_SITE_ADVICE_QUERIES_HPP_INCLUDED
#define KINGCUPLINK_SITE_ADVICE_QUERIES_HPP_INCLUDED

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <kingcuplink/site/node_parts.hpp>
#include <kingcuplink/site/pending_requests.hpp>
#include <kingcuplink/wire/peer_link.hpp>
#include <kingcuplink/workflow/adviser_pool.hpp>
#include <kingcuplink/workflow/dispatcher.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuplink {

/*!
 * Sends a leader's queries to the adviser, spread over the entry VMs, since the adviser serves each of them one call at
 * a time. Must only be used on the control thread.
 */
class advice_queries {
public:
    /*! Approved workers; nothing if the adviser did not answer. */
    using grants = std::optional<std::vector<advice_grant>>;

    /*! Called once for each query with the name of the entry VM that asked the adviser. */
    using listener = std::function<void(std::string const &asker, advice_query const &, grants const &)>;

    /*! Constructs the queries of a term; the references must outlive them. */
    advice_queries(node_parts parts, peer_link &peers, std::uint64_t term, listener on_settled);

    /*! Adds an entry VM that queries the adviser. */
    void add_vm(std::string const &name);

    /*! Removes an entry VM; its unanswered queries expire. */
    void remove_vm(std::string const &name);

    /*! Returns the number of entry VMs that query the adviser. */
    [[nodiscard]] std::size_t vms() const noexcept {
        return advisers_.size();
    }

    /*!
     * Sends a query.
     * @param owner Keeps these queries alive until the query is settled.
     */
    void ask(advice_query query, std::shared_ptr<void const> owner);

    /*! Handles the adviser's answer that another entry VM forwarded. */
    void handle_answer(std::string const &peer, wire::advice_answer const &answer);

private:
    boost::asio::awaitable<void> ask_adviser(std::shared_ptr<void const> owner, advice_query query, millis limit);
    boost::asio::awaitable<void> expire(
        std::shared_ptr<void const> owner, std::string peer, std::uint64_t id, millis time);
    void settle(std::string const &asker, advice_query const &query, grants const &approved);

    node_parts parts_;
    peer_link &peers_;
    listener on_settled_;
    adviser_pool advisers_;
    pending_requests<advice_query> pending_;
};

} // namespace kingcuplink

#endif
