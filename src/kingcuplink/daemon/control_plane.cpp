#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <glog/logging.h>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/daemon/control_plane.hpp>
#include <kingcuplink/platform/pause.hpp>
#include <kingcuplink/routing/slot_share.hpp>

namespace kingcuplink {

namespace internal {

constexpr millis clock_interval{100};
constexpr std::size_t idle_worker_connections = 4u;

} // namespace internal

control_plane::control_plane(
    boost::asio::io_context &context, daemon_settings const &settings, request_router &router, counters &stats)
    : context_{context},
      settings_{settings},
      router_{router},
      stats_{stats},
      http_{context, stats, internal::idle_worker_connections},
      platform_{http_, settings.platform_address},
      workers_{http_},
      peers_{context, settings, stats, [this](wire::envelope const &message) { handle(message); }},
      jobs_{context, settings, platform_, peers_, stats},
      allotments_{context, settings, platform_, stats},
      leadership_{settings.failure_domain, settings.name, current_time()},
      documents_{context, settings, platform_, peers_, stats, [this](auto const &rules) { document_changed(rules); }},
      random_{std::random_device{}()} {}

void control_plane::start() {
    documents_.start();
    jobs_.on_ledger_changed([this]() {
        if(local_leader_ != nullptr) {
            local_leader_->load_ledger();
        }
    });
    jobs_.start();
    allotments_.start();
    boost::asio::co_spawn(context_, heartbeat_loop(), boost::asio::detached);
    boost::asio::co_spawn(context_, remote_heartbeat_loop(), boost::asio::detached);
    boost::asio::co_spawn(context_, clock_loop(), boost::asio::detached);
    boost::asio::co_spawn(context_, vm_list_loop(), boost::asio::detached);
}

void control_plane::resign() {
    draining_ = true;
    apply(leadership_.resign());
    send_heartbeats(true, true);
    send_heartbeats(false, true);
}

boost::asio::io_context &control_plane::context() noexcept {
    return context_;
}

void control_plane::handle(wire::envelope const &message) {
    auto const &peer = message.sender();
    switch(message.body_case()) {
    case wire::envelope::kHeartbeat:
        handle_heartbeat(peer, message.heartbeat());
        break;
    case wire::envelope::kDocumentRequest:
        documents_.send_copy(peer);
        break;
    case wire::envelope::kDocumentCopy:
        documents_.adopt_copy(message.document_copy().json());
        break;
    case wire::envelope::kMirror:
        jobs_.handle_mirror(peer, message.mirror());
        break;
    case wire::envelope::kMirrorAck:
        jobs_.handle_mirror_ack(peer, message.mirror_ack());
        break;
    case wire::envelope::kCall:
        boost::asio::co_spawn(context_, handle_call(peer, message.call()), boost::asio::detached);
        break;
    case wire::envelope::kReply:
        peers_.complete_call(message.reply());
        break;
    default:
        stats_.add(event::peer_message_malformed);
        break;
    }
}

void control_plane::handle_heartbeat(std::string const &peer, wire::heartbeat const &heartbeat_message) {
    auto const now = current_time();
    if(documents_.current() == nullptr) {
        peers_.connect_unlisted(peer, heartbeat_message.peer_address());
    }
    peers_.heard(peer, heartbeat_message, now);
    documents_.request_if_newer(peer, heartbeat_message.document_offset());
    if(heartbeat_message.domain() != settings_.failure_domain) {
        return;
    }
    if(heartbeat_message.farewell()) {
        leadership_.left(peer, now);
    } else {
        apply(leadership_.heard(peer, heartbeat_message.leads(), heartbeat_message.term(), now));
    }
}

void control_plane::apply(role_change const change) {
    switch(change) {
    case role_change::took_over:
        stats_.add(event::leadership_taken);
        begin_leadership();
        break;
    case role_change::raised_term:
        end_leadership();
        begin_leadership();
        break;
    case role_change::stepped_down:
        stats_.add(event::leadership_lost);
        end_leadership();
        break;
    case role_change::none:
        break;
    }
}

void control_plane::begin_leadership() {
    jobs_.set_leading(true);
    allotments_.set_leading(true, leadership_.term());
    leader_dependencies const dependencies{
        context_, settings_, stats_, workers_, peers_, jobs_, allotments_, leadership_};
    local_leader_ = std::make_shared<domain_leader>(dependencies, leadership_.term(), documents_.current(),
        [this](std::uint64_t const term) { apply(leadership_.refused(term, current_time())); });
    local_leader_->start();
    local_leader_->update(vms_, current_time());
    send_heartbeats(true, false);
}

void control_plane::end_leadership() {
    LOG(WARNING) << "leader: leadership ends domain=" << settings_.failure_domain << " term=" << leadership_.term();
    local_leader_->end();
    local_leader_.reset();
    jobs_.set_leading(false);
    allotments_.set_leading(false, 0u);
    if(auto const leader = leadership_.leader(current_time()); !leader.empty() && leader != settings_.name) {
        jobs_.send_ledger(leader);
    }
}

void control_plane::document_changed(std::shared_ptr<document const> const &rules) {
    peers_.update(*rules);
    std::vector<std::string> members;
    if(auto const *domain = find_domain(*rules, settings_.failure_domain); domain != nullptr) {
        std::transform(domain->entry_vms.begin(), domain->entry_vms.end(), std::back_inserter(members),
            [](auto const &vm) { return vm.name; });
    }
    leadership_.set_members(members);
    if(local_leader_ != nullptr) {
        local_leader_->update(rules);
    }
    publish_view();
}

boost::asio::awaitable<void> control_plane::heartbeat_loop() {
    while(true) {
        send_heartbeats(true, false);
        co_await pause(config::heartbeat_interval);
    }
}

boost::asio::awaitable<void> control_plane::remote_heartbeat_loop() {
    while(true) {
        send_heartbeats(false, false);
        co_await pause(config::remote_heartbeat_interval);
    }
}

void control_plane::send_heartbeats(bool const to_own_domain, bool const farewell) {
    if(draining_ && !farewell) {
        return;
    }
    auto const now = current_time();
    wire::envelope message;
    auto &heartbeat_message = *message.mutable_heartbeat();
    heartbeat_message.set_domain(settings_.failure_domain);
    heartbeat_message.set_leads(leadership_.role() == authority_role::leader);
    heartbeat_message.set_term(leadership_.term());
    heartbeat_message.set_document_offset(documents_.offset());
    heartbeat_message.set_log_reachable(documents_.log_reachable(now));
    heartbeat_message.set_free_slots(router_.gauges().free_slots);
    heartbeat_message.set_draining(draining_);
    heartbeat_message.set_farewell(farewell);
    heartbeat_message.set_peer_address(settings_.peer_address);
    for(auto const &[name, peer]: peers_.peers()) {
        if((peer.domain == settings_.failure_domain) == to_own_domain) {
            peers_.send(name, message);
        }
    }
}

boost::asio::awaitable<void> control_plane::clock_loop() {
    auto last = current_time();
    while(true) {
        co_await pause(internal::clock_interval);
        auto const now = current_time();
        if(now - last >= config::pause_threshold && local_leader_ != nullptr) {
            local_leader_->handle_pause();
        }
        last = now;
        jobs_.set_log_available(documents_.log_reachable(now));
        if(documents_.current() != nullptr && !draining_) {
            apply(leadership_.tick(now));
        }
        http_.close_expired();
        publish_view();
    }
}

boost::asio::awaitable<void> control_plane::vm_list_loop() {
    while(true) {
        if(auto list = co_await platform_.vms(); list) {
            vms_ = std::move(*list);
            if(local_leader_ != nullptr) {
                local_leader_->update(vms_, current_time());
            }
        }
        co_await pause(config::vm_list_poll);
    }
}

bool control_plane::is_cut_off(instant const now) const {
    return !documents_.log_reachable(now) && !peers_.is_other_domain_live(now);
}

void control_plane::publish_view() {
    auto const &rules = documents_.current();
    if(rules == nullptr) {
        return;
    }
    auto const now = current_time();
    auto view = std::make_shared<fleet_view>();
    view->rules = rules;
    view->cut_off = is_cut_off(now);
    auto const members = peers_.live_members(now, config::slot_takeover_delay);
    std::vector<std::string> entry_vms;
    for(auto const &domain: rules->failure_domains) {
        for(auto const &vm: domain.entry_vms) {
            entry_vms.push_back(vm.name);
        }
        if(domain.name != settings_.failure_domain) {
            continue;
        }
        for(auto const &runner: domain.runners) {
            auto const usable = domain.state == domain_state::in && !vms_.leaving.contains(runner.name);
            view->runners.push_back({.name = runner.name,
                .address = runner.address,
                .slots = slot_share(runner.name, runner.slots, members, settings_.name),
                .usable = usable});
        }
    }
    for(auto const &team: rules->teams) {
        view->limits.push_back({.name = team.name,
            .share = team.share,
            .max_running = slot_share(team.name, team.request_ceiling, entry_vms, settings_.name)});
    }
    for(auto const &[name, peer]: peers_.peers()) {
        auto const *domain = find_domain(*rules, peer.domain);
        auto const takes_requests = domain != nullptr && domain->name != settings_.failure_domain &&
            domain->state == domain_state::in;
        if(takes_requests && !peer.draining && peers_.is_live(peer, now)) {
            view->spill_targets.push_back(
                {.name = name, .http_address = peer.http_address, .free_slots = peer.free_slots});
        }
    }
    router_.publish(std::move(view));
}

} // namespace kingcuplink
