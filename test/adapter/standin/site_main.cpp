#include "site_worker.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/algorithm/hex.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <iterator>
#include <kingcuplink/core/json_fields.hpp>

ABSL_FLAG(std::string, store, "127.0.0.1:7001", "Address of the store.");
ABSL_FLAG(std::string, adviser, "127.0.0.1:7002", "Address of the adviser.");
ABSL_FLAG(std::string, admin, "127.0.0.1:7003", "Address of the admin interface: faults and the record of runs.");
ABSL_FLAG(bool, advice, true, "Whether the queues use advice, so that starts need tickets.");
ABSL_FLAG(std::vector<std::string>, workers, {}, "Addresses of the workers.");
ABSL_FLAG(std::vector<std::string>, announced, {},
    "Addresses that the workers register, such as those of proxies; by default their own.");

namespace {

using namespace kingcuplink;
using namespace kingcuplink::standin;

constexpr std::int64_t advice_base_ms = 5;
constexpr std::size_t domains = 3u;

/*! Stand-in of the users' platform: store, adviser, workers and an admin interface for tests. */
class site {
public:
    explicit site(boost::asio::io_context &context)
        : store_{context, absl::GetFlag(FLAGS_store)},
          adviser_{std::make_shared<http_service>(
              context, absl::GetFlag(FLAGS_adviser), [this](request message) { return advise(std::move(message)); })},
          admin_{std::make_shared<http_service>(context, absl::GetFlag(FLAGS_admin),
              [this](request message) { return administer(std::move(message)); })} {
        configure({"key"});
        auto const addresses = absl::GetFlag(FLAGS_workers);
        for(std::size_t pos{}; pos < addresses.size(); ++pos) {
            auto const name = "w" + std::to_string(pos);
            auto const announced = absl::GetFlag(FLAGS_announced);
            site_shared const shared{context, store_, record_, gangs_, absl::GetFlag(FLAGS_advice)};
            auto const worker = std::make_shared<site_worker>(shared, name, addresses[pos],
                pos < announced.size() ? announced[pos] : addresses[pos], "domain-" + std::to_string(pos % domains));
            workers_.emplace(name, worker);
            worker->start();
        }
        adviser_->start();
        admin_->start();
    }

private:
    void configure(std::vector<std::string> const &keys) {
        boost::json::array key_list;
        for(auto const &key: keys) {
            key_list.emplace_back(key);
        }
        auto const route = [](std::string_view const name, std::int64_t const priority, double const stretch) {
            boost::json::object value{{"name", name}, {"host", "127.0.0.1"},
                {"path_prefix", "/" + std::string{name} + "/"}, {"service", "work"}, {"priority", priority},
                {"max_attempts", 4}, {"stretch", stretch}, {"target_latency_ms", 1'000}, {"public", false}};
            if(absl::GetFlag(FLAGS_advice)) {
                value["advice"] = boost::json::object{
                    {"decide_ms", advice_base_ms}, {"period_ms", 0.1}, {"valid_ms", 2'000}};
            }
            return value;
        };
        boost::json::object const tenant{{"name", "team"}, {"api_keys", std::move(key_list)}, {"weight", 50},
            {"max_count", boost::json::object{{"cpu", 0}, {"mem_mb", 0}, {"gpus", 0}}}};
        boost::json::array routes{route("urgent", 0, 1.5)};
        if(removed_ != "batch") {
            routes.push_back(route("batch", 1, 4.0));
        }
        boost::json::object value{
            {"version", ++version_}, {"routes", std::move(routes)}, {"tenants", boost::json::array{tenant}}};
        if(!only_service_.empty()) {
            value["services"] = boost::json::array{boost::json::object{{"name", only_service_}}};
        }
        store_.put("keyed.op", "config", boost::json::serialize(value));
    }

    boost::asio::awaitable<response> advise(request const message) {
        auto const body = boost::json::parse(message.body());
        auto const step = text_in(body, "step");
        co_await wait_for(advice_base_ms);
        boost::json::array good;
        for(auto const &worker: body.at("workers").as_array()) {
            auto const name = std::string{worker.as_string()};
            if(is_allowed(step, name)) {
                auto const found = workers_.find(machine_of(name));
                // While the worker is down, the ticket is one of the boot that ended.
                auto const born = found == workers_.end() ? 0u : found->second->born();
                good.push_back(boost::json::array{name, make_ticket(step, name, born)});
            }
        }
        co_return json_answer(200u, boost::json::object{{"good", std::move(good)}});
    }

    boost::asio::awaitable<response> administer(request const message) {
        if(message.target() == "/record") {
            co_return json_answer(200u, record_.as_json());
        }
        auto const body = boost::json::parse(message.body());
        apply(body.as_object());
        co_return json_answer(200u, boost::json::object{});
    }

    void apply(boost::json::object const &body) {
        if(auto const *fault = body.if_contains("store")) {
            read_faults(fault->as_object(), store_.fault());
            if(store_.fault().outage) {
                store_.close_connections();
            }
        }
        if(auto const *fault = body.if_contains("adviser")) {
            read_faults(fault->as_object(), adviser_->fault);
        }
        if(auto const *entries = body.if_contains("entries")) {
            for(auto const &entry: entries->as_array()) {
                put_entry(entry);
            }
        }
        if(body.contains("forget_history")) {
            store_.compact();
        }
        if(body.contains("configure")) {
            removed_ = text_in(body, "remove");
            only_service_ = text_in(body, "only_service");
            configure({"key"});
        }
        if(auto const domain = text_in(body, "evacuate"); !domain.empty()) {
            store_.put("keyed.op", "evacuate/" + domain, "{}");
        }
        if(auto const domain = text_in(body, "take_back"); !domain.empty()) {
            store_.put("keyed.op", "evacuate/" + domain, std::nullopt);
        }
        if(auto const found = workers_.find(text_in(body, "worker")); found != workers_.end()) {
            apply_to(*found->second, body);
            if(auto const other = workers_.find(text_in(body, "address_of")); other != workers_.end()) {
                found->second->register_with({{"address", other->second->announced()}});
            }
        }
    }

    /*! Returns the bytes of a field that is written in hexadecimal digits. */
    static std::string bytes_in(boost::json::value const &object, std::string_view const name) {
        std::string bytes;
        boost::algorithm::unhex(text_in(object, name), std::back_inserter(bytes));
        return bytes;
    }

    /*! Appends an entry of another writer to the topic of worker registrations. */
    void put_entry(boost::json::value const &entry) {
        store_.put("keyed.servers", bytes_in(entry, "key"), bytes_in(entry, "value"));
    }

    static void apply_to(site_worker &worker, boost::json::object const &body) {
        if(auto const *fault = body.if_contains("fault")) {
            read_faults(fault->as_object(), worker.fault());
        }
        if(auto const *down = body.if_contains("restart_ms")) {
            auto const *shift = body.if_contains("clock_shift_ms");
            worker.restart({down->to_number<std::int64_t>(), body.contains("new_id"),
                shift == nullptr ? 0 : shift->to_number<std::int64_t>()});
        }
        if(auto const *percent = body.if_contains("held_percent")) {
            site_worker::hold_options options;
            options.percent = percent->to_number<std::int64_t>();
            options.seed = body.at("seed").to_number<std::uint32_t>();
            if(auto const *shortest = body.if_contains("shortest_hold_ms")) {
                options.shortest_ms = shortest->to_number<std::int64_t>();
            }
            if(auto const *longest = body.if_contains("longest_hold_ms")) {
                options.longest_ms = longest->to_number<std::int64_t>();
            }
            worker.hold_calls(options);
        }
        if(auto const *enabled = body.if_contains("tells_boots_apart")) {
            worker.rejects_stale_boots = enabled->as_bool();
        }
        if(auto const *enabled = body.if_contains("drops_late_calls")) {
            worker.drops_late_calls = enabled->as_bool();
        }
        if(auto const *enabled = body.if_contains("boot_tickets")) {
            worker.binds_tickets = enabled->as_bool();
        }
        if(auto const *percent = body.if_contains("late_percent")) {
            worker.late_command_percent = percent->to_number<std::int64_t>();
        }
        if(auto const *stuck = body.if_contains("stuck")) {
            worker.is_stuck = stuck->as_bool();
        }
        if(auto const *odd = body.if_contains("odd_rows")) {
            worker.lists_malformed_rows = odd->as_bool();
        }
        if(auto const *fields = body.if_contains("odd_entry")) {
            worker.register_with(fields->as_object());
        }
        if(body.contains("true_entry")) {
            worker.register_self();
        }
        if(auto const *leaving = body.if_contains("leaving")) {
            worker.set_leaving(leaving->as_bool());
        }
    }

    site_store store_;
    site_record record_;
    gang_registry gangs_;
    std::map<std::string, std::shared_ptr<site_worker>> workers_;
    std::shared_ptr<http_service> adviser_;
    std::shared_ptr<http_service> admin_;
    std::int64_t version_{};
    /*! Queue that the latest configuration lacks. */
    std::string removed_;
    /*! The only service that the latest configuration names; empty if it names none. */
    std::string only_service_;
};

} // namespace

int main(int argc, char **argv) {
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context{1};
    site const platform{context};
    boost::asio::signal_set signals{context, SIGTERM, SIGINT};
    signals.async_wait([&context](auto const &, int) { context.stop(); });
    context.run();
    return 0;
}
