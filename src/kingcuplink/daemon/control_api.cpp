#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <glog/logging.h>
#include <kingcuplink/admission/key_check.hpp>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/core/json_fields.hpp>
#include <kingcuplink/core/json_reader.hpp>
#include <kingcuplink/daemon/control_plane.hpp>

namespace kingcuplink {

namespace internal {

using verb = boost::beast::http::verb;

constexpr std::size_t job_name_length = 24u;

/*! Converts the answer of a peer. */
api_answer to_api_answer(peer_answer answer) {
    return {.refused = std::move(answer.refused), .status = 200, .body = std::move(answer.body)};
}

/*! Returns the failure domain from the prefix of a job key. */
std::string domain_of_key(std::string const &key) {
    return key.substr(0u, key.find('.'));
}

} // namespace internal

boost::asio::awaitable<api_answer> control_plane::serve(api_request request) {
    if(request.path.size() == 1u && request.path[0] == "status") {
        co_return status();
    }
    if(request.path.size() >= 2u && request.path[0] == "v1") {
        if(request.path[1] == "document") {
            co_return co_await documents_.serve(std::move(request));
        }
        if(request.path[1] == "jobs") {
            co_return co_await serve_jobs(std::move(request));
        }
        if(request.path[1] == "faults" && settings_.allow_faults) {
            co_return set_faults(request);
        }
    }
    co_return api_answer{.refused = problem{refusal::route_unknown, "no such route"}};
}

boost::asio::awaitable<api_answer> control_plane::serve_jobs(api_request request) {
    auto const rules = documents_.current();
    if(rules == nullptr) {
        co_return api_answer{.refused = problem{refusal::no_configuration}};
    }
    problem failure;
    auto team = value_of([&]() { return team_of_key(*rules, request.key); }, failure);
    if(!team && is_operator(request.key) && request.method != internal::verb::post) {
        team = std::string{};
    }
    if(!team) {
        co_return api_answer{.refused = failure};
    }
    if(request.path.size() == 2u && request.method == internal::verb::post) {
        co_return co_await submit_job(*team, request);
    }
    if(request.path.size() == 2u && request.method == internal::verb::get) {
        co_return co_await list_jobs(*team);
    }
    auto const is_cancel = request.method == internal::verb::delete_;
    if(request.path.size() == 3u && (is_cancel || request.method == internal::verb::get)) {
        co_return co_await find_job(request.path[2], *team, is_cancel);
    }
    co_return api_answer{.refused = problem{refusal::route_unknown, "no such route"}};
}

bool control_plane::is_operator(std::string const &key) const {
    if(key.empty()) {
        return false;
    }
    auto const hash = sha256_hex(key);
    auto const &owners = documents_.current()->owners;
    return std::any_of(owners.begin(), owners.end(),
        [&](auto const &hashes) { return std::find(hashes.begin(), hashes.end(), hash) != hashes.end(); });
}

std::string control_plane::new_job_key(std::string const &domain) {
    auto const name = sha256_hex(settings_.name + std::to_string(random_()) + std::to_string(random_()));
    return domain + "." + name.substr(0u, internal::job_name_length);
}

bool control_plane::has_leader(std::string const &domain, instant const now) const {
    return (domain == settings_.failure_domain && local_leader_ != nullptr) || !peers_.leader_of(domain, now).empty();
}

std::string control_plane::home_domain(std::string const &job_name) const {
    auto const now = current_time();
    std::string home;
    std::uint64_t weight{};
    for(auto const &domain: documents_.current()->failure_domains) {
        // Includes a domain that is out while its leader is reachable, so that entry VMs that have seen different
        // states of the domain choose the same home.
        auto const is_candidate = domain.state == domain_state::in ||
            (domain.state == domain_state::out && has_leader(domain.name, now));
        auto const own_weight = rendezvous_weight(job_name, domain.name);
        if(is_candidate && (home.empty() || own_weight > weight)) {
            home = domain.name;
            weight = own_weight;
        }
    }
    return home;
}

std::string control_plane::domain_for_new_jobs() const {
    auto const now = current_time();
    auto const &rules = *documents_.current();
    auto const *own = find_domain(rules, settings_.failure_domain);
    if(own != nullptr && own->state == domain_state::in) {
        return own->name;
    }
    for(auto const &domain: rules.failure_domains) {
        if(domain.state == domain_state::in && has_leader(domain.name, now)) {
            return domain.name;
        }
    }
    return {};
}

boost::asio::awaitable<api_answer> control_plane::submit_job(std::string team, api_request const &request) {
    job_spec spec;
    auto const rules = documents_.current();
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_AUTO(value, parse_json(request.body, refusal::job_malformed));
        BOOST_LEAF_ASSIGN(spec, parse_job(value, team));
        return check_job(spec, *rules);
    });
    if(refused) {
        co_return api_answer{.refused = refused};
    }
    if(!request.idempotency_key.empty()) {
        co_return co_await submit_once(std::move(team), request, std::move(spec));
    }
    auto const domain = domain_for_new_jobs();
    if(domain.empty()) {
        co_return api_answer{.refused = problem{refusal::no_leader, "no failure domain accepts jobs"}};
    }
    boost::json::object body{{"job", new_job_key(domain)}, {"team", team}, {"spec", to_json(spec)}};
    LOG(INFO) << "jobs: submit request=" << request.request_id << " job=" << text_in(body, "job") << " team=" << team;
    auto answer = co_await call_domain(domain, wire::CALL_JOB_SUBMIT, std::move(body));
    answer.status = 201;
    co_return answer;
}

boost::asio::awaitable<api_answer> control_plane::submit_once(
    std::string team, api_request const &request, job_spec spec) {
    auto const rules = documents_.current();
    auto const name = sha256_hex(team + "\n" + request.idempotency_key).substr(0u, internal::job_name_length);
    auto const home = home_domain(name);
    if(home.empty()) {
        co_return api_answer{.refused = problem{refusal::no_leader, "no failure domain accepts jobs"}};
    }
    // The home domain may have been a different one at the first submission, so all domains are searched.
    for(auto const &domain: rules->failure_domains) {
        boost::json::object body{{"name", name}, {"team", team}, {"spec", to_json(spec)}};
        auto answer = co_await call_domain(domain.name, wire::CALL_JOB_FIND, std::move(body));
        auto const is_absent = answer.refused &&
            (answer.refused->reason == refusal::job_unknown || answer.refused->reason == refusal::no_leader);
        if(!is_absent) {
            co_return answer;
        }
    }
    boost::json::object body{{"job", home + "." + name}, {"team", team}, {"spec", to_json(spec)}, {"once", true}};
    LOG(INFO) << "jobs: submit once request=" << request.request_id << " job=" << home << "." << name
              << " team=" << team;
    auto answer = co_await call_domain(home, wire::CALL_JOB_SUBMIT, std::move(body));
    answer.status = 201;
    co_return answer;
}

boost::asio::awaitable<api_answer> control_plane::call_domain(
    std::string domain, wire::call_kind const kind, boost::json::object body) {
    if(domain == settings_.failure_domain && local_leader_ != nullptr) {
        co_return co_await answer_call(kind, std::move(body));
    }
    auto const leader = peers_.leader_of(domain, current_time());
    if(leader.empty()) {
        co_return api_answer{.refused = problem{refusal::no_leader, "failure domain " + domain}};
    }
    co_return internal::to_api_answer(co_await peers_.call(leader, kind, std::move(body), config::peer_timeout));
}

boost::asio::awaitable<api_answer> control_plane::find_job(std::string key, std::string team, bool const cancel) {
    auto const rules = documents_.current();
    std::vector<std::string> domains{internal::domain_of_key(key)};
    for(auto const &domain: rules->failure_domains) {
        if(domain.name != domains.front()) {
            domains.push_back(domain.name);
        }
    }
    auto const kind = cancel ? wire::CALL_JOB_CANCEL : wire::CALL_JOB_GET;
    api_answer last{.refused = problem{refusal::job_unknown, key}};
    for(std::size_t pos{}; pos < domains.size(); ++pos) {
        boost::json::object body{{"job", key}, {"team", team}};
        auto answer = co_await call_domain(domains[pos], kind, std::move(body));
        if(answer.refused) {
            last = answer.refused->reason == refusal::job_unknown && last.refused->reason != refusal::job_unknown
                ? last
                : answer;
            continue;
        }
        if(text_in(answer.body, "state") != "moved") {
            co_return answer;
        }
        last = answer;
    }
    co_return last;
}

boost::asio::awaitable<api_answer> control_plane::list_jobs(std::string team) {
    auto const rules = documents_.current();
    boost::json::array jobs;
    boost::json::array unanswered;
    for(auto const &domain: rules->failure_domains) {
        boost::json::object body{{"team", team}};
        auto const answer = co_await call_domain(domain.name, wire::CALL_JOB_LIST, std::move(body));
        if(answer.refused || !answer.body.is_array()) {
            unanswered.emplace_back(domain.name);
            continue;
        }
        jobs.insert(jobs.end(), answer.body.get_array().begin(), answer.body.get_array().end());
    }
    co_return api_answer{
        .body = boost::json::object{{"jobs", std::move(jobs)}, {"no_answer_from", std::move(unanswered)}}};
}

boost::asio::awaitable<api_answer> control_plane::answer_call(wire::call_kind const kind, boost::json::object body) {
    auto const local_leader = local_leader_;
    if(kind == wire::CALL_BOOK) {
        co_return api_answer{.body = jobs_.ledger_of(text_in(body, "domain"))};
    }
    if(local_leader == nullptr) {
        co_return api_answer{
            .refused = problem{refusal::no_leader, "entry VM " + settings_.name + " is not the leader"}};
    }
    switch(kind) {
    case wire::CALL_JOB_SUBMIT:
    case wire::CALL_JOB_FIND:
        co_return co_await answer_submission(*local_leader, kind, std::move(body));
    case wire::CALL_JOB_GET:
    case wire::CALL_JOB_CANCEL:
        co_return co_await answer_job_call(*local_leader, kind, std::move(body));
    case wire::CALL_JOB_LIST:
        co_return api_answer{.body = local_leader->list(text_in(body, "team"))};
    case wire::CALL_ALLOTMENT: {
        auto const *wanted = body.if_contains("wanted");
        auto const amount = wanted == nullptr || !wanted->is_object() ? resources{}
                                                                      : resources_from_json(wanted->get_object());
        co_return co_await local_leader->donate(text_in(body, "team"), text_in(body, "to"), amount);
    }
    default:
        co_return api_answer{.refused = problem{refusal::request_malformed, "unknown call"}};
    }
}

boost::asio::awaitable<api_answer> control_plane::answer_submission(
    domain_leader &local_leader, wire::call_kind const kind, boost::json::object body) {
    job_spec spec;
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_ASSIGN(spec, parse_job(body["spec"], text_in(body, "team")));
        return {};
    });
    if(refused) {
        co_return api_answer{.refused = refused};
    }
    if(kind == wire::CALL_JOB_FIND) {
        co_return local_leader.find_submitted(text_in(body, "name"), spec);
    }
    auto const rule = body.contains("once") ? submission_rule::once : submission_rule::always_new;
    co_return co_await local_leader.submit(text_in(body, "job"), std::move(spec), rule);
}

boost::asio::awaitable<api_answer> control_plane::answer_job_call(
    domain_leader &local_leader, wire::call_kind const kind, boost::json::object body) {
    auto const key = text_in(body, "job");
    auto const team = text_in(body, "team");
    auto answer = local_leader.describe(key);
    if(answer.refused) {
        co_return answer;
    }
    if(!team.empty() && text_in(answer.body, "team") != team) {
        co_return api_answer{.refused = problem{refusal::job_unknown, key}};
    }
    if(kind == wire::CALL_JOB_CANCEL && text_in(answer.body, "state") != "moved") {
        answer = co_await local_leader.cancel(key);
    }
    co_return answer;
}

boost::asio::awaitable<void> control_plane::handle_call(std::string peer, wire::call call) {
    boost::system::error_code error;
    auto body = boost::json::parse(call.json(), error);
    api_answer answer{.refused = problem{refusal::request_malformed, "call"}};
    if(!error && call.kind() == wire::CALL_JOB_HANDOVER && local_leader_ != nullptr) {
        answer = co_await local_leader_->take_over_job(std::move(body));
    } else if(!error && body.is_object()) {
        answer = co_await answer_call(call.kind(), std::move(body.get_object()));
    }
    peers_.reply(peer, call.id(), {.refused = answer.refused, .body = std::move(answer.body)});
}

api_answer control_plane::status() {
    auto const now = current_time();
    auto const gauges = router_.gauges();
    boost::json::object body{{"entry_vm", settings_.name}, {"failure_domain", settings_.failure_domain}};
    body["role"] = leadership_.role() == authority_role::leader ? "leader" : "standby";
    body["leader"] = leadership_.leader(now);
    body["term"] = static_cast<std::int64_t>(leadership_.term());
    body["document_offset"] = static_cast<std::int64_t>(documents_.offset());
    body["log_reachable"] = documents_.log_reachable(now);
    body["cut_off"] = is_cut_off(now);
    body["draining"] = draining_;
    body["requests"] = boost::json::object{{"waiting", gauges.waiting}, {"running", gauges.running},
        {"free_slots", gauges.free_slots}, {"usable_slots", gauges.usable_slots},
        {"runners_sidelined", gauges.sidelined}};
    boost::json::array peers;
    for(auto const &[name, peer]: peers_.peers()) {
        peers.push_back(boost::json::object{{"entry_vm", name}, {"failure_domain", peer.domain},
            {"live", peers_.is_live(peer, now)}, {"leads", peer.leads},
            {"document_offset", static_cast<std::int64_t>(peer.document_offset)}});
    }
    body["peers"] = std::move(peers);
    if(local_leader_ != nullptr) {
        body["reign"] = local_leader_->status();
    }
    return {.body = std::move(body)};
}

api_answer control_plane::set_faults(api_request const &request) {
    std::set<std::string> names;
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_AUTO(value, parse_json(request.body, refusal::request_malformed));
        BOOST_LEAF_AUTO(reader, json_reader::open(value, "faults", refusal::request_malformed));
        BOOST_LEAF_AUTO(list, reader.array_or_empty("refuse"));
        for(auto const &name: *list) {
            if(name.is_string()) {
                names.emplace(name.get_string());
            }
        }
        return {};
    });
    if(refused) {
        return {.refused = refused};
    }
    platform_.set_refused(names.contains("platform"));
    peers_.block_peers(std::move(names));
    return {.body = boost::json::object{{"done", true}}};
}

} // namespace kingcuplink
