#include "platform.hpp"

#include <boost/json/parse.hpp>
#include <charconv>

namespace kingcuplink::standin {

platform::platform(platform_options options) : options_{options} {}

void platform::start(boost::asio::io_context &context, std::string const &address) {
    auto const colon = address.rfind(':');
    auto const admin_address = address.substr(0, colon + 1) + std::to_string(std::stoi(address.substr(colon + 1)) + 1);
    auto const serve = [this](request message) { return handle(std::move(message)); };
    service_ = std::make_shared<http_service>(context, address, serve);
    admin_ = std::make_shared<http_service>(context, admin_address, serve);
    service_->start();
    admin_->start();
}

void platform::stop() {
    service_->stop();
    admin_->stop();
}

boost::asio::awaitable<response> platform::handle(request message) {
    std::string const target{message.target()};
    boost::system::error_code error;
    auto body = message.body().empty() ? boost::json::value{} : boost::json::parse(message.body(), error);
    if(target == "/admin" && body.is_object()) {
        co_return administer(body.get_object());
    }
    if(target == "/vms") {
        co_return json_answer(200, vms_seen());
    }
    if(target.starts_with("/log/") && message.method() == boost::beast::http::verb::post) {
        co_return append(target.substr(5), std::move(body));
    }
    if(target.starts_with("/log/")) {
        co_return read(target.substr(5));
    }
    co_return json_answer(404, nullptr);
}

response platform::administer(boost::json::object const &body) {
    read_faults(body, service_->fault);
    if(auto const *keep = body.if_contains("retention"); keep != nullptr && keep->is_int64()) {
        options_.retention = static_cast<std::uint64_t>(keep->get_int64());
    }
    if(auto const *vms = body.if_contains("vms"); vms != nullptr) {
        vm_history_.emplace_back(clock_ms(), *vms);
    }
    return json_answer(200, boost::json::object{{"appends", static_cast<std::int64_t>(appends_)}});
}

boost::json::value platform::vms_seen() const {
    boost::json::value seen = boost::json::object{{"live", boost::json::array{}}, {"leaving", boost::json::array{}}};
    for(auto const &[time, list]: vm_history_) {
        if(time + options_.vm_lag_ms <= clock_ms()) {
            seen = list;
        }
    }
    return seen;
}

response platform::append(std::string const &name, boost::json::value record) {
    auto &log = streams_[name];
    log.records.push_back(std::move(record));
    ++appends_;
    while(log.records.size() > options_.retention) {
        log.records.pop_front();
        ++log.first;
    }
    return json_answer(
        200, boost::json::object{{"offset", static_cast<std::int64_t>(log.first + log.records.size() - 1u)}});
}

response platform::read(std::string const &target) {
    auto const &log = streams_[target.substr(0u, target.find('?'))];
    std::uint64_t from{1};
    std::uint64_t limit{512};
    auto const number_after = [&target](std::string_view const key, std::uint64_t &value) {
        if(auto const found = target.find(key); found != std::string::npos) {
            std::from_chars(target.data() + found + key.size(), target.data() + target.size(), value);
        }
    };
    number_after("from=", from);
    number_after("limit=", limit);
    boost::json::array records;
    for(auto offset = std::max(from, log.first); offset < log.first + log.records.size() && records.size() < limit;
        ++offset) {
        records.push_back(boost::json::object{
            {"offset", static_cast<std::int64_t>(offset)}, {"body", log.records[offset - log.first]}});
    }
    return json_answer(200,
        boost::json::object{{"first", static_cast<std::int64_t>(log.first)},
            {"next", static_cast<std::int64_t>(log.first + log.records.size())}, {"records", std::move(records)}});
}

std::uint64_t platform::appended(std::string const &name) const {
    auto const found = streams_.find(name);
    return found == streams_.end() ? 0u : found->second.first + found->second.records.size() - 1u;
}

} // namespace kingcuplink::standin
