// Stand-in for the platform's log and list of VMs; test/standin/README.md gives its routes.
#include "http_service.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <charconv>
#include <deque>
#include <map>

ABSL_FLAG(std::string, address, "127.0.0.1:7000", "IP number and port.");
ABSL_FLAG(std::uint64_t, retention, 1000000, "Records that a stream keeps.");
ABSL_FLAG(int, vm_lag_ms, 0, "Lag of the list of VMs in milliseconds.");

namespace {

using namespace kingcuplink::standin;

/*! One stream of the log. */
struct stream {
    std::uint64_t first{1};
    std::deque<boost::json::value> records;
};

class platform {
public:
    boost::asio::awaitable<response> handle(request message) {
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

    std::shared_ptr<http_service> service;

private:
    response administer(boost::json::object const &body) {
        read_faults(body, service->fault);
        if(auto const *keep = body.if_contains("retention"); keep != nullptr && keep->is_int64()) {
            absl::SetFlag(&FLAGS_retention, static_cast<std::uint64_t>(keep->get_int64()));
        }
        if(auto const *vms = body.if_contains("vms"); vms != nullptr) {
            vm_history_.emplace_back(clock_ms(), *vms);
        }
        return json_answer(200, boost::json::object{{"appends", static_cast<std::int64_t>(appends_)}});
    }

    boost::json::value vms_seen() {
        boost::json::value seen = boost::json::object{
            {"live", boost::json::array{}}, {"leaving", boost::json::array{}}};
        for(auto const &[time, list]: vm_history_) {
            if(time + absl::GetFlag(FLAGS_vm_lag_ms) <= clock_ms()) {
                seen = list;
            }
        }
        return seen;
    }

    response append(std::string const &name, boost::json::value record) {
        auto &log = streams_[name];
        log.records.push_back(std::move(record));
        ++appends_;
        while(log.records.size() > absl::GetFlag(FLAGS_retention)) {
            log.records.pop_front();
            ++log.first;
        }
        return json_answer(
            200, boost::json::object{{"offset", static_cast<std::int64_t>(log.first + log.records.size() - 1u)}});
    }

    response read(std::string const &target) {
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

    std::map<std::string, stream> streams_;
    std::vector<std::pair<std::int64_t, boost::json::value>> vm_history_;
    std::uint64_t appends_{};
};

} // namespace

int main(int argc, char **argv) {
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context{1};
    platform state;
    auto const address = absl::GetFlag(FLAGS_address);
    // The administration has an address of its own, one port up, that no fault affects.
    auto const colon = address.rfind(':');
    auto const admin_address = address.substr(0, colon + 1) + std::to_string(std::stoi(address.substr(colon + 1)) + 1);
    auto const handle = [&state](request message) { return state.handle(std::move(message)); };
    state.service = std::make_shared<http_service>(context, address, handle);
    auto const admin = std::make_shared<http_service>(context, admin_address, handle);
    state.service->start();
    admin->start();
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](auto const &, int) { context.stop(); });
    context.run();
    return 0;
}
