#include <algorithm>
#include <kingcuplink/core/json_reader.hpp>
#include <kingcuplink/document/document.hpp>
#include <set>

namespace kingcuplink {

namespace internal {

namespace json = boost::json;

constexpr std::array<std::string_view, section_count> section_names{
    "owners", "teams", "keys", "failure_domains", "queues", "policies"};
constexpr std::array<std::string_view, job_kind_count> kind_names{"service", "batch", "gang"};
constexpr std::array<std::string_view, 3u> domain_state_names{"in", "out", "lost"};
constexpr number_range amount_range{0, 1'000'000'000};
constexpr number_range share_range{1, 1'000'000};
constexpr std::size_t sha256_digits = 64u;

std::string item_path(std::string const &path, std::size_t const pos) {
    return path + "[" + std::to_string(pos) + "]";
}

template<std::size_t Size>
std::optional<std::size_t> position_of(
    std::array<std::string_view, Size> const &names, std::string_view const name) noexcept {
    auto const found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? std::nullopt : std::optional{static_cast<std::size_t>(found - names.begin())};
}

result<std::string> parse_sha256(json_reader const &reader, std::string_view const name) {
    BOOST_LEAF_AUTO(text, reader.text(name));
    auto const is_digit = [](char const value) {
        return (value >= '0' && value <= '9') || (value >= 'a' && value <= 'f');
    };
    if(text.size() != sha256_digits || !std::all_of(text.begin(), text.end(), is_digit)) {
        return reader.field_error(name, "a SHA-256 of 64 lower case hexadecimal digits");
    }
    return text;
}

result<std::string> parse_address(json_reader const &reader, std::string_view const name) {
    BOOST_LEAF_AUTO(text, reader.text(name));
    auto const colon = text.rfind(':');
    auto const is_digit = [](char const value) { return value >= '0' && value <= '9'; };
    if(colon == std::string::npos || colon + 1u == text.size() ||
        !std::all_of(text.begin() + static_cast<std::ptrdiff_t>(colon) + 1, text.end(), is_digit)) {
        return reader.field_error(name, "an IP number and a port, such as 10.0.0.1:8080");
    }
    return text;
}

/*! Parses each object of an array with a function that takes a reader. */
template<typename Type, typename Func>
result<std::vector<Type>> parse_list(json::value const *list, std::string const &path, Func func) {
    std::vector<Type> items;
    if(list == nullptr) {
        return items;
    }
    if(!list->is_array()) {
        return refuse(refusal::section_invalid, path + " must be an array");
    }
    for(std::size_t pos{}; pos < list->get_array().size(); ++pos) {
        BOOST_LEAF_AUTO(
            reader, json_reader::open(list->get_array()[pos], item_path(path, pos), refusal::section_invalid));
        BOOST_LEAF_AUTO(item, func(reader));
        items.push_back(std::move(item));
    }
    return items;
}

result<resources> resources_field(json_reader const &reader, std::string_view const name) {
    auto const *value = reader.find(name);
    if(value == nullptr) {
        return reader.field_error(name, "an object with cores, memory_gib and accelerators");
    }
    return parse_resources(*value, reader.path_of(name), refusal::section_invalid);
}

result<team_quota> parse_team(json_reader const &reader) {
    BOOST_LEAF_CHECK(reader.check_field_names({"name", "share", "ceiling", "request_ceiling"}));
    team_quota team;
    BOOST_LEAF_ASSIGN(team.name, reader.text("name"));
    BOOST_LEAF_ASSIGN(team.share, reader.number("share", share_range));
    BOOST_LEAF_ASSIGN(team.ceiling, resources_field(reader, "ceiling"));
    BOOST_LEAF_ASSIGN(team.request_ceiling, reader.number("request_ceiling", amount_range));
    return team;
}

result<team_key> parse_key(json_reader const &reader) {
    BOOST_LEAF_CHECK(reader.check_field_names({"sha256", "team", "state"}));
    team_key key;
    BOOST_LEAF_ASSIGN(key.sha256, parse_sha256(reader, "sha256"));
    BOOST_LEAF_ASSIGN(key.team, reader.text("team"));
    BOOST_LEAF_AUTO(state, reader.text_or("state", "granted"));
    if(state != "granted" && state != "withdrawn") {
        return reader.field_error("state", "granted or withdrawn");
    }
    key.withdrawn = state == "withdrawn";
    return key;
}

result<entry_vm> parse_entry_vm(json_reader const &reader) {
    BOOST_LEAF_CHECK(reader.check_field_names({"name", "http", "peer"}));
    entry_vm vm;
    BOOST_LEAF_ASSIGN(vm.name, reader.text("name"));
    BOOST_LEAF_ASSIGN(vm.http_address, parse_address(reader, "http"));
    BOOST_LEAF_ASSIGN(vm.peer_address, parse_address(reader, "peer"));
    return vm;
}

result<worker_entry> parse_worker(json_reader const &reader) {
    BOOST_LEAF_CHECK(reader.check_field_names({"name", "address", "rack", "size"}));
    worker_entry worker;
    BOOST_LEAF_ASSIGN(worker.name, reader.text("name"));
    BOOST_LEAF_ASSIGN(worker.address, parse_address(reader, "address"));
    BOOST_LEAF_ASSIGN(worker.rack, reader.text("rack"));
    BOOST_LEAF_ASSIGN(worker.size, resources_field(reader, "size"));
    return worker;
}

result<runner_entry> parse_runner(json_reader const &reader) {
    BOOST_LEAF_CHECK(reader.check_field_names({"name", "address", "slots", "connections"}));
    runner_entry runner;
    BOOST_LEAF_ASSIGN(runner.name, reader.text("name"));
    BOOST_LEAF_ASSIGN(runner.address, parse_address(reader, "address"));
    BOOST_LEAF_ASSIGN(runner.slots, reader.number_or("slots", {1, 1024}, 8));
    BOOST_LEAF_ASSIGN(runner.connections, reader.number_or("connections", {1, 65'536}, 64));
    return runner;
}

result<failure_domain> parse_domain(json_reader const &reader) {
    BOOST_LEAF_CHECK(reader.check_field_names({"name", "region", "state", "entry_vms", "workers", "runners"}));
    failure_domain domain;
    BOOST_LEAF_ASSIGN(domain.name, reader.text("name"));
    BOOST_LEAF_ASSIGN(domain.region, reader.text_or("region", "default"));
    BOOST_LEAF_AUTO(state, reader.text_or("state", "in"));
    auto const position = position_of(domain_state_names, state);
    if(!position) {
        return reader.field_error("state", "in, out or lost");
    }
    domain.state = static_cast<domain_state>(*position);
    BOOST_LEAF_ASSIGN(
        domain.entry_vms, parse_list<entry_vm>(reader.find("entry_vms"), reader.path_of("entry_vms"), parse_entry_vm));
    BOOST_LEAF_ASSIGN(
        domain.workers, parse_list<worker_entry>(reader.find("workers"), reader.path_of("workers"), parse_worker));
    BOOST_LEAF_ASSIGN(
        domain.runners, parse_list<runner_entry>(reader.find("runners"), reader.path_of("runners"), parse_runner));
    return domain;
}

result<request_queue> parse_queue(json_reader const &reader) {
    BOOST_LEAF_CHECK(reader.check_field_names({"name", "open", "team", "when_cut_off"}));
    request_queue queue;
    BOOST_LEAF_ASSIGN(queue.name, reader.text("name"));
    BOOST_LEAF_ASSIGN(queue.open, reader.flag_or("open", false));
    if(queue.open) {
        BOOST_LEAF_ASSIGN(queue.team, reader.text("team"));
    }
    BOOST_LEAF_AUTO(cut_off, reader.text_or("when_cut_off", "serve"));
    if(cut_off != "serve" && cut_off != "hold") {
        return reader.field_error("when_cut_off", "serve or hold");
    }
    queue.hold_when_cut_off = cut_off == "hold";
    return queue;
}

result<void> parse_owners(document &value, json::value const &body) {
    BOOST_LEAF_AUTO(reader, json_reader::open(body, "owners", refusal::section_invalid));
    for(std::size_t pos{}; pos < section_count; ++pos) {
        BOOST_LEAF_AUTO(hashes, reader.array_or_empty(section_names[pos]));
        value.owners[pos].clear();
        for(auto const &hash: *hashes) {
            if(!hash.is_string() || hash.get_string().size() != sha256_digits) {
                return reader.field_error(section_names[pos], "an array of SHA-256 hashes of operator keys");
            }
            value.owners[pos].emplace_back(hash.get_string());
        }
    }
    if(value.owners[static_cast<std::size_t>(section::owners)].empty()) {
        return reader.field_error(
            "owners", "an array of at least one SHA-256 hash; without owners nobody could edit the section");
    }
    return {};
}

result<void> parse_policies(document &value, json::value const &body) {
    BOOST_LEAF_AUTO(reader, json_reader::open(body, "policies", refusal::section_invalid));
    BOOST_LEAF_CHECK(reader.check_field_names({"service", "batch", "gang"}));
    for(std::size_t pos{}; pos < job_kind_count; ++pos) {
        kind_policy policy{.preemptible = static_cast<job_kind>(pos) == job_kind::batch, .backfill = true};
        if(auto const *item = reader.find(kind_names[pos]); item != nullptr) {
            BOOST_LEAF_AUTO(
                fields, json_reader::open(*item, reader.path_of(kind_names[pos]), refusal::section_invalid));
            BOOST_LEAF_CHECK(fields.check_field_names({"preemptible", "backfill"}));
            BOOST_LEAF_ASSIGN(policy.preemptible, fields.flag_or("preemptible", policy.preemptible));
            BOOST_LEAF_ASSIGN(policy.backfill, fields.flag_or("backfill", policy.backfill));
        }
        value.policies[pos] = policy;
    }
    return {};
}

/*! Parses a section that is an array into a member of the document. */
template<section Which, auto Member, auto Parse>
result<void> parse_list_section(document &value, json::value const &body) {
    using item_type = typename std::remove_reference_t<decltype(value.*Member)>::value_type;
    std::string const path{section_names[static_cast<std::size_t>(Which)]};
    BOOST_LEAF_ASSIGN(value.*Member, parse_list<item_type>(&body, path, Parse));
    return {};
}

result<void> parse_keys(document &value, json::value const &body) {
    BOOST_LEAF_CHECK((parse_list_section<section::keys, &document::keys, parse_key>(value, body)));
    std::sort(
        value.keys.begin(), value.keys.end(), [](auto const &lhs, auto const &rhs) { return lhs.sha256 < rhs.sha256; });
    return {};
}

using section_parser = result<void> (*)(document &, json::value const &);
constexpr std::array<section_parser, section_count> section_parsers{parse_owners,
    parse_list_section<section::teams, &document::teams, parse_team>, parse_keys,
    parse_list_section<section::failure_domains, &document::failure_domains, parse_domain>,
    parse_list_section<section::queues, &document::queues, parse_queue>, parse_policies};

template<typename Range>
auto const *find_named(Range const &range, std::string_view const name) noexcept {
    auto const found = std::find_if(range.begin(), range.end(), [&](auto const &item) { return item.name == name; });
    return found == range.end() ? nullptr : &*found;
}

/*! Collects names and refuses duplicates. */
class unique_names {
public:
    explicit unique_names(std::string_view const kind) : kind_{kind} {}

    result<void> add(std::string const &name) {
        if(!names_.insert(name).second) {
            return refuse(refusal::section_invalid, kind_ + " '" + name + "' is listed twice, must be unique");
        }
        return {};
    }

private:
    std::string kind_;
    std::set<std::string> names_;
};

result<void> check_domains(document const &value) {
    unique_names names{"name"};
    unique_names addresses{"address"};
    for(auto const &domain: value.failure_domains) {
        BOOST_LEAF_CHECK(names.add(domain.name));
        for(auto const &vm: domain.entry_vms) {
            BOOST_LEAF_CHECK(names.add(vm.name));
            BOOST_LEAF_CHECK(addresses.add(vm.http_address));
            BOOST_LEAF_CHECK(addresses.add(vm.peer_address));
        }
        for(auto const &worker: domain.workers) {
            BOOST_LEAF_CHECK(names.add(worker.name));
        }
        for(auto const &runner: domain.runners) {
            BOOST_LEAF_CHECK(names.add(runner.name));
        }
    }
    return {};
}

} // namespace internal

std::string_view name_of(section const which) noexcept {
    return internal::section_names[static_cast<std::size_t>(which)];
}

std::optional<section> section_of(std::string_view const name) noexcept {
    auto const position = internal::position_of(internal::section_names, name);
    return position ? std::optional{static_cast<section>(*position)} : std::nullopt;
}

std::string_view name_of(job_kind const kind) noexcept {
    return internal::kind_names[static_cast<std::size_t>(kind)];
}

std::optional<job_kind> job_kind_of(std::string_view const name) noexcept {
    auto const position = internal::position_of(internal::kind_names, name);
    return position ? std::optional{static_cast<job_kind>(*position)} : std::nullopt;
}

team_quota const *find_team(document const &value, std::string_view const name) noexcept {
    return internal::find_named(value.teams, name);
}

team_key const *find_key(document const &value, std::string_view const sha256) noexcept {
    auto const found = std::lower_bound(value.keys.begin(), value.keys.end(), sha256,
        [](auto const &key, auto const &hash) { return key.sha256 < hash; });
    return found != value.keys.end() && found->sha256 == sha256 ? &*found : nullptr;
}

request_queue const *find_queue(document const &value, std::string_view const name) noexcept {
    return internal::find_named(value.queues, name);
}

failure_domain const *find_domain(document const &value, std::string_view const name) noexcept {
    return internal::find_named(value.failure_domains, name);
}

result<void> parse_section(document &value, section const which, boost::json::value const &body) {
    auto const pos = static_cast<std::size_t>(which);
    BOOST_LEAF_CHECK(internal::section_parsers[pos](value, body));
    value.bodies[pos] = body;
    return {};
}

result<void> check_document(document const &value) {
    internal::unique_names teams{"team"};
    for(auto const &team: value.teams) {
        BOOST_LEAF_CHECK(teams.add(team.name));
    }
    internal::unique_names keys{"key"};
    for(std::size_t pos{}; pos < value.keys.size(); ++pos) {
        BOOST_LEAF_CHECK(keys.add(value.keys[pos].sha256));
        if(find_team(value, value.keys[pos].team) == nullptr) {
            return refuse(refusal::section_invalid,
                "keys: team is '" + value.keys[pos].team + "', must be a team of the section 'teams'");
        }
    }
    internal::unique_names queues{"queue"};
    for(auto const &queue: value.queues) {
        BOOST_LEAF_CHECK(queues.add(queue.name));
        if(queue.open && find_team(value, queue.team) == nullptr) {
            return refuse(refusal::section_invalid,
                "queues." + queue.name + ".team is '" + queue.team + "', must be a team of the section 'teams'");
        }
    }
    return internal::check_domains(value);
}

result<document> parse_document(boost::json::value const &sections) {
    document value;
    BOOST_LEAF_AUTO(reader, json_reader::open(sections, "", refusal::section_invalid));
    BOOST_LEAF_CHECK(reader.check_field_names({"owners", "teams", "keys", "failure_domains", "queues", "policies"}));
    for(std::size_t pos{}; pos < section_count; ++pos) {
        auto const *body = reader.find(internal::section_names[pos]);
        if(body == nullptr) {
            return reader.field_error(internal::section_names[pos], "present");
        }
        BOOST_LEAF_CHECK(parse_section(value, static_cast<section>(pos), *body));
        value.versions[pos] = 1u;
    }
    BOOST_LEAF_CHECK(check_document(value));
    return value;
}

result<resources> parse_resources(boost::json::value const &value, std::string const &path, refusal const reason) {
    BOOST_LEAF_AUTO(reader, json_reader::open(value, path, reason));
    BOOST_LEAF_CHECK(reader.check_field_names({"cores", "millicores", "memory_gib", "memory_mib", "accelerators"}));
    resources amount;
    BOOST_LEAF_AUTO(cores, reader.number_or("cores", internal::amount_range, 0));
    BOOST_LEAF_AUTO(gib, reader.number_or("memory_gib", internal::amount_range, 0));
    BOOST_LEAF_ASSIGN(amount.millicores, reader.number_or("millicores", internal::amount_range, cores * 1'000));
    BOOST_LEAF_ASSIGN(amount.memory_mib, reader.number_or("memory_mib", internal::amount_range, gib * 1'024));
    BOOST_LEAF_ASSIGN(amount.accelerators, reader.number_or("accelerators", internal::amount_range, 0));
    return amount;
}

boost::json::object to_json(resources const &amount) {
    return {
        {"millicores", amount.millicores}, {"memory_mib", amount.memory_mib}, {"accelerators", amount.accelerators}};
}

resources resources_from_json(boost::json::object const &object) {
    auto const field = [&](std::string_view const name) {
        auto const *value = object.if_contains(name);
        auto const *number = value == nullptr ? nullptr : value->if_int64();
        return number == nullptr ? std::int64_t{} : *number;
    };
    return {field("millicores"), field("memory_mib"), field("accelerators")};
}

} // namespace kingcuplink
