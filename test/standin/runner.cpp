#include "runner.hpp"

#include <cstdlib>
#include <kingcuplink/core/hash.hpp>

namespace kingcuplink::standin {

namespace {

std::int64_t number_in(std::string const &body, std::string const &name) {
    auto const found = body.find(name);
    return found == std::string::npos ? 0 : std::strtoll(body.c_str() + found + name.size(), nullptr, 10);
}

} // namespace

runner::runner(boost::asio::io_context &context, runner_entry const &entry, endpoint_record &record)
    : context_{context}, entry_{entry}, record_{record} {}

void runner::start() {
    service = std::make_shared<http_service>(context_, entry_.address,
        [self = shared_from_this()](request message) { return self->handle(std::move(message)); });
    service->start();
}

boost::asio::awaitable<response> runner::handle(request message) {
    if(running_ >= entry_.slots) {
        auto busy = json_answer(503, boost::json::object{{"busy", true}});
        busy.set("Kingcuplink-Not-Run", "true");
        co_return busy;
    }
    std::string const id{message["Kingcuplink-Request-Id"]};
    auto const body = std::move(message.body());
    record_.request_began(entry_.name, id, ++running_, entry_.slots);
    co_await wait_for(number_in(body, "work_ms="));
    --running_;
    record_.request_ended();
    response answer{boost::beast::http::status::ok, 11};
    answer.set("Kingcuplink-Runner", entry_.name);
    answer.body() = id + " " + sha256_hex(body) + "\n";
    auto const bytes = static_cast<std::size_t>(number_in(body, "answer_bytes="));
    while(answer.body().size() < bytes) {
        answer.body().append(sha256_hex(id + std::to_string(answer.body().size())));
    }
    co_return answer;
}

} // namespace kingcuplink::standin
