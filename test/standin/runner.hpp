#ifndef KINGCUPLINK_STANDIN_RUNNER_HPP_INCLUDED
#define KINGCUPLINK_STANDIN_RUNNER_HPP_INCLUDED

#include "endpoint_record.hpp"
#include "http_service.hpp"

#include <kingcuplink/document/document.hpp>
#include <memory>

namespace kingcuplink::standin {

/*! Stand-in for one runner. A body "work_ms=N answer_bytes=M" sets its work and its answer. */
class runner : public std::enable_shared_from_this<runner> {
public:
    runner(boost::asio::io_context &context, runner_entry const &entry, endpoint_record &record);

    /*! Begins to serve. */
    void start();

    std::shared_ptr<http_service> service;

private:
    boost::asio::awaitable<response> handle(request message);

    boost::asio::io_context &context_;
    runner_entry entry_;
    endpoint_record &record_;
    std::int64_t running_{};
};

} // namespace kingcuplink::standin

#endif
