#ifndef KINGCUPLINK_SITE_PENDING_REQUESTS_HPP_INCLUDED
#define KINGCUPLINK_SITE_PENDING_REQUESTS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace kingcuplink {

/*!
 * Requests of one leadership term to other entry VMs that are not answered yet. Their numbers include the term, so that
 * a late answer to a request of an earlier term settles no other request. Not thread safe.
 */
template<typename Request>
class pending_requests {
public:
    explicit pending_requests(std::uint64_t const term) noexcept : next_{term << counter_bits} {}

    /*! Adds a request to an entry VM and returns its number. */
    std::uint64_t add(std::string peer, Request request) {
        auto const id = ++next_;
        entries_.emplace(id, entry{std::move(peer), std::move(request)});
        return id;
    }

    /*! Removes and returns the request that an answer of an entry VM belongs to, or nothing. */
    [[nodiscard]] std::optional<Request> take(std::uint64_t const id, std::string_view const peer) {
        auto const found = entries_.find(id);
        if(found == entries_.end() || found->second.peer != peer) {
            return std::nullopt;
        }
        std::optional<Request> request{std::move(found->second.request)};
        entries_.erase(found);
        return request;
    }

private:
    struct entry {
        std::string peer;
        Request request;
    };

    /*! Number of requests within a term, in bits. */
    static constexpr unsigned counter_bits = 32u;

    std::uint64_t next_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace kingcuplink

#endif
