// Stand-in for all workers and runners of a document; test/standin/README.md gives its routes.
#include "endpoint_record.hpp"
#include "http_service.hpp"
#include "runner.hpp"
#include "worker.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <fstream>
#include <iostream>
#include <kingcuplink/document/document.hpp>
#include <sstream>

ABSL_FLAG(std::string, address, "127.0.0.1:7010", "IP number and port of the administration.");
ABSL_FLAG(std::string, document, "", "File with the document whose endpoints are hosted.");

namespace {

using namespace kingcuplink::standin;

class endpoints {
public:
    endpoints(boost::asio::io_context &context, kingcuplink::document const &rules) {
        record_.set_ceilings(rules.teams);
        for(auto const &domain: rules.failure_domains) {
            for(auto const &entry: domain.workers) {
                auto const item = std::make_shared<worker>(context, domain.name, entry, record_);
                item->start();
                workers_.emplace(entry.name, item);
            }
            for(auto const &entry: domain.runners) {
                auto const item = std::make_shared<runner>(context, entry, record_);
                item->start();
                runners_.emplace(entry.name, item);
            }
        }
    }

    boost::asio::awaitable<response> handle(request message) {
        if(message.target() == "/record") {
            co_return json_answer(200, describe());
        }
        boost::system::error_code error;
        auto const body = boost::json::parse(message.body(), error);
        if(error || !body.is_object()) {
            co_return json_answer(400, nullptr);
        }
        administer(body.get_object());
        co_return json_answer(200, boost::json::object{});
    }

private:
    boost::json::value describe() {
        auto value = record_.to_json();
        boost::json::object connections;
        for(auto const &[name, item]: runners_) {
            connections.emplace(name, item->service->most_connections());
        }
        value.get_object().emplace("runner_connections", std::move(connections));
        return value;
    }

    void administer(boost::json::object const &body) {
        std::string const name = body.contains("endpoint") ? std::string{body.at("endpoint").as_string()}
                                                           : std::string{};
        auto const apply = [&](http_service &service) {
            read_faults(body, service.fault);
            if(body.contains("silence")) {
                service.silence_open_connections();
            }
            if(body.contains("close") || service.fault.outage) {
                service.close_connections();
            }
        };
        for(auto const &[key, item]: workers_) {
            if(key == name || name == "workers") {
                apply(*item->service);
                if(body.contains("restart")) {
                    item->restart();
                }
            }
        }
        for(auto const &[key, item]: runners_) {
            if(key == name || name == "runners") {
                apply(*item->service);
            }
        }
        if(auto const *out = body.if_contains("out"); out != nullptr && out->is_array()) {
            std::set<std::string> domains;
            for(auto const &domain: out->get_array()) {
                domains.emplace(domain.as_string());
            }
            record_.forbid_starts(std::move(domains), clock_ms() + body.at("after_ms").as_int64());
        }
    }

    endpoint_record record_;
    std::map<std::string, std::shared_ptr<worker>> workers_;
    std::map<std::string, std::shared_ptr<runner>> runners_;
};

} // namespace

int main(int argc, char **argv) {
    absl::ParseCommandLine(argc, argv);
    std::ifstream file{absl::GetFlag(FLAGS_document)};
    std::stringstream text;
    text << file.rdbuf();
    kingcuplink::problem failure;
    auto const rules = kingcuplink::value_of(
        [&]() -> kingcuplink::result<kingcuplink::document> {
            boost::system::error_code error;
            return kingcuplink::parse_document(boost::json::parse(text.str(), error));
        },
        failure);
    if(!rules) {
        std::cerr << "endpoints: " << kingcuplink::message_of(failure) << "\n";
        return 2;
    }
    boost::asio::io_context context{1};
    endpoints state{context, *rules};
    auto const admin = std::make_shared<http_service>(
        context, absl::GetFlag(FLAGS_address), [&state](request message) { return state.handle(std::move(message)); });
    admin->start();
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](auto const &, int) { context.stop(); });
    context.run();
    return 0;
}
