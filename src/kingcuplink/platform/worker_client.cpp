#include <kingcuplink/core/config.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/core/json_reader.hpp>
#include <kingcuplink/platform/worker_client.hpp>

namespace kingcuplink {

namespace internal {

namespace json = boost::json;
using status = boost::beast::http::status;

constexpr number_range any_number{0, std::int64_t{1} << 60};

result<worker_task> parse_task(json::value const &value) {
    BOOST_LEAF_AUTO(reader, json_reader::open(value, "task", refusal::request_malformed));
    worker_task task;
    BOOST_LEAF_ASSIGN(task.job, reader.text("job"));
    BOOST_LEAF_ASSIGN(task.ordinal, reader.number("ordinal", any_number));
    BOOST_LEAF_AUTO(attempt, reader.number("attempt", any_number));
    task.attempt = static_cast<std::uint32_t>(attempt);
    BOOST_LEAF_ASSIGN(task.team, reader.text("team"));
    BOOST_LEAF_ASSIGN(task.state, reader.text("state"));
    BOOST_LEAF_AUTO(running_for, reader.number_or("running_for_ms", any_number, 0));
    task.running_for = millis{running_for};
    auto const amount = [&](std::string_view const name) {
        auto const *field = reader.find(name);
        return field == nullptr || !field->is_object() ? resources{} : resources_from_json(field->get_object());
    };
    task.size = amount("size");
    task.used = amount("used");
    return task;
}

result<lease_reply> parse_grant(json::value const &value) {
    BOOST_LEAF_AUTO(reader, json_reader::open(value, "lease", refusal::request_malformed));
    lease_reply reply{.outcome = lease_outcome::granted};
    BOOST_LEAF_AUTO(version, reader.number("version", any_number));
    reply.version = static_cast<std::uint64_t>(version);
    BOOST_LEAF_AUTO(tasks, reader.array_or_empty("tasks"));
    for(auto const &item: *tasks) {
        BOOST_LEAF_AUTO(task, parse_task(item));
        reply.tasks.push_back(std::move(task));
    }
    return reply;
}

json::object holder_fields(lease_holder const &holder) {
    return {{"holder", holder.name}, {"epoch", static_cast<std::int64_t>(holder.epoch)}};
}

} // namespace internal

worker_client::worker_client(http_client &client) : client_{client} {}

boost::asio::awaitable<lease_reply> worker_client::lease(
    std::string address, lease_holder holder, std::uint64_t const since, millis const wait) {
    auto body = internal::holder_fields(holder);
    body["lease_ms"] = config::lease_length.count();
    body["since"] = static_cast<std::int64_t>(since);
    body["wait_ms"] = wait.count();
    auto const answer = co_await client_.send_json(std::move(address), boost::beast::http::verb::post, "/v1/lease",
        std::move(body), wait + config::command_timeout);
    lease_reply reply;
    if(answer.first.outcome != attempt_outcome::answered) {
        co_return reply;
    }
    if(answer.first.response.result() == internal::status::conflict) {
        reply.outcome = lease_outcome::refused;
        reply.epoch = integer_in(answer.second, "epoch").value_or(0u);
    } else if(answer.first.response.result() == internal::status::ok) {
        problem failure;
        if(auto parsed = value_of([&]() { return internal::parse_grant(answer.second); }, failure); parsed) {
            reply = std::move(*parsed);
        }
    }
    co_return reply;
}

boost::asio::awaitable<command_reply> worker_client::start(
    std::string address, lease_holder const &holder, task_start const &task) {
    auto body = internal::holder_fields(holder);
    body["job"] = task.job;
    body["ordinal"] = task.ordinal;
    body["attempt"] = task.attempt;
    body["team"] = task.spec.team;
    body["kind"] = name_of(task.spec.kind);
    body["size"] = to_json(task.size);
    body["run_time_ms"] = task.spec.run_time.count();
    body["progress_ms"] = task.progress.count();
    return command(std::move(address), "/v1/start", std::move(body));
}

boost::asio::awaitable<command_reply> worker_client::stop(std::string address, lease_holder const &holder,
    std::string const &job, std::int64_t const ordinal, bool const checkpoint) {
    auto body = internal::holder_fields(holder);
    body["job"] = job;
    body["ordinal"] = ordinal;
    body["checkpoint"] = checkpoint;
    return command(std::move(address), "/v1/stop", std::move(body));
}

boost::asio::awaitable<command_reply> worker_client::throttle(
    std::string address, lease_holder const &holder, std::string const &job, std::int64_t const ordinal) {
    auto body = internal::holder_fields(holder);
    body["job"] = job;
    body["ordinal"] = ordinal;
    return command(std::move(address), "/v1/throttle", std::move(body));
}

boost::asio::awaitable<command_reply> worker_client::command(
    std::string address, std::string target, boost::json::object body) {
    auto const answer = co_await client_.send_json(std::move(address), boost::beast::http::verb::post,
        std::move(target), std::move(body), config::command_timeout);
    command_reply reply{.epoch = integer_in(answer.second, "epoch").value_or(0u)};
    if(answer.first.outcome == attempt_outcome::not_sent) {
        reply.outcome = command_outcome::not_sent;
    } else if(answer.first.outcome == attempt_outcome::answered) {
        switch(answer.first.response.result()) {
        case internal::status::ok:
            reply.outcome = command_outcome::done;
            break;
        case internal::status::conflict:
            reply.outcome = command_outcome::fenced;
            break;
        case internal::status::unprocessable_entity:
        case internal::status::not_found:
            reply.outcome = command_outcome::rejected;
            break;
        default:
            break;
        }
    }
    co_return reply;
}

} // namespace kingcuplink
