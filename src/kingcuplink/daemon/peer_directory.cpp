#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <kingcuplink/daemon/peer_directory.hpp>
#include <kingcuplink/platform/http_client.hpp>

namespace kingcuplink {

namespace internal {

std::optional<refusal> refusal_of(std::string_view const kind) {
    for(auto const &row: refusal_table()) {
        if(row.kind == kind) {
            return row.reason;
        }
    }
    return std::nullopt;
}

boost::json::value parse_or_null(std::string const &text) {
    boost::system::error_code error;
    auto value = boost::json::parse(text, error);
    return error ? boost::json::value{} : value;
}

} // namespace internal

peer_directory::peer_directory(
    boost::asio::io_context &context, daemon_settings const &settings, counters &stats, handler on_message)
    : context_{context},
      settings_{settings},
      next_call_{static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count())},
      link_{settings.name, settings.peer_address, stats,
          [this, on_message = std::move(on_message)](wire::envelope message) {
              boost::asio::post(context_, [this, on_message, message = std::move(message)]() {
                  if(!blocked_.contains(message.sender())) {
                      on_message(message);
                  }
              });
          }} {}

void peer_directory::update(document const &rules) {
    std::set<std::string> listed;
    for(auto const &domain: rules.failure_domains) {
        for(auto const &vm: domain.entry_vms) {
            if(vm.name == settings_.name) {
                continue;
            }
            listed.insert(vm.name);
            auto &peer = peers_[vm.name];
            peer.domain = domain.name;
            peer.http_address = vm.http_address;
            link_.connect(vm.name, vm.peer_address);
        }
    }
    for(auto entry = peers_.begin(); entry != peers_.end();) {
        if(listed.contains(entry->first)) {
            ++entry;
            continue;
        }
        link_.disconnect(entry->first);
        entry = peers_.erase(entry);
    }
}

void peer_directory::connect_unlisted(std::string const &peer, std::string const &address) {
    if(!peers_.contains(peer) && parse_endpoint(address)) {
        link_.connect(peer, address);
    }
}

void peer_directory::heard(std::string const &name, wire::heartbeat const &beat, instant const now) {
    auto const found = peers_.find(name);
    if(found == peers_.end()) {
        return;
    }
    auto &peer = found->second;
    peer.last_heard = beat.farewell() ? instant{} : now;
    peer.leads = beat.leads() && !beat.farewell();
    peer.term = beat.term();
    peer.document_offset = beat.document_offset();
    peer.log_reachable = beat.log_reachable();
    peer.draining = beat.draining();
    peer.free_slots = beat.free_slots();
}

bool peer_directory::send(std::string const &peer, wire::envelope &message) {
    return !blocked_.contains(peer) && link_.send(peer, message);
}

boost::asio::awaitable<peer_answer> peer_directory::call(
    std::string peer, wire::call_kind const kind, boost::json::value body, millis const timeout) {
    auto const id = ++next_call_;
    auto const pending = std::make_shared<pending_call>(context_);
    wire::envelope message;
    message.mutable_call()->set_id(id);
    message.mutable_call()->set_kind(kind);
    message.mutable_call()->set_json(boost::json::serialize(body));
    if(!send(peer, message)) {
        co_return peer_answer{.refused = problem{refusal::no_leader, "entry VM " + peer + " cannot be reached"}};
    }
    calls_.emplace(id, pending);
    pending->timer.expires_after(timeout);
    boost::system::error_code ignored;
    co_await pending->timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    calls_.erase(id);
    if(!pending->answer) {
        co_return peer_answer{.refused = problem{refusal::outcome_unknown, "entry VM " + peer + " did not reply"}};
    }
    co_return *pending->answer;
}

void peer_directory::reply(std::string const &peer, std::uint64_t const id, peer_answer const &answer) {
    wire::envelope message;
    auto &body = *message.mutable_reply();
    body.set_id(id);
    if(answer.refused) {
        body.set_refusal(std::string{row_of(answer.refused->reason).kind});
        body.set_detail(answer.refused->detail);
    }
    body.set_json(boost::json::serialize(answer.body));
    send(peer, message);
}

void peer_directory::complete_call(wire::reply const &answer) {
    auto const found = calls_.find(answer.id());
    if(found == calls_.end()) {
        return;
    }
    peer_answer value;
    if(!answer.refusal().empty()) {
        value.refused = problem{
            internal::refusal_of(answer.refusal()).value_or(refusal::outcome_unknown), answer.detail()};
    }
    value.body = internal::parse_or_null(answer.json());
    found->second->answer = std::move(value);
    found->second->timer.cancel();
}

void peer_directory::block_peers(std::set<std::string> names) {
    blocked_ = std::move(names);
}

std::map<std::string, peer_state> const &peer_directory::peers() const noexcept {
    return peers_;
}

bool peer_directory::is_live(peer_state const &peer, instant const now) const noexcept {
    auto const silence = peer.domain == settings_.failure_domain ? config::heartbeat_timeout
                                                                 : config::remote_heartbeat_timeout;
    return peer.last_heard != instant{} && now - peer.last_heard < silence;
}

std::string peer_directory::leader_of(std::string const &domain, instant const now) const {
    std::string name;
    std::uint64_t term{};
    for(auto const &[peer, state]: peers_) {
        if(state.domain == domain && state.leads && is_live(state, now) && state.term >= term) {
            name = peer;
            term = state.term;
        }
    }
    return name;
}

std::vector<std::string> peer_directory::live_members(instant const now, millis const silence) const {
    std::vector<std::string> names{settings_.name};
    for(auto const &[peer, state]: peers_) {
        if(state.domain == settings_.failure_domain && state.last_heard != instant{} &&
            now - state.last_heard < silence) {
            names.push_back(peer);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

bool peer_directory::is_other_domain_live(instant const now) const {
    return std::any_of(peers_.begin(), peers_.end(), [&](auto const &entry) {
        return entry.second.domain != settings_.failure_domain && is_live(entry.second, now);
    });
}

} // namespace kingcuplink
