#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <kingcuplink/daemon/allotment_manager.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::string_view allotment_stream{"allotments"};

std::string record_id_of(boost::json::value const &record) {
    auto const *object = record.if_object();
    auto const *id = object == nullptr ? nullptr : object->if_contains("id");
    return id == nullptr || !id->is_string() ? std::string{} : std::string{id->get_string()};
}

resources at_least_zero(resources const &amount) {
    return max_of(amount, {});
}

} // namespace internal

allotment_manager::allotment_manager(
    boost::asio::io_context &context, daemon_settings const &settings, platform_client &platform, counters &stats)
    : context_{context}, settings_{settings}, platform_{platform}, stats_{stats} {}

void allotment_manager::start() {
    boost::asio::co_spawn(context_, follow(), boost::asio::detached);
}

void allotment_manager::set_leading(bool const leading, std::uint64_t const term) {
    leading_ = leading;
    claim_requested_after_ = {};
    claim_sent_ = {};
    pending_.clear();
    holder_ = settings_.name + "/" + std::to_string(current_time().time_since_epoch().count()) + "/" +
        std::to_string(term);
}

void allotment_manager::request_claim(instant const after) noexcept {
    claim_requested_after_ = std::max(claim_requested_after_, after);
}

bool allotment_manager::has_claim(instant const after) const {
    return leading_ && claim_sent_ > after && fold_.newest_claim(settings_.failure_domain).holder == holder_;
}

resources allotment_manager::limit(document const &rules, team_quota const &team, instant const hold_start) const {
    if(!has_claim(hold_start)) {
        return allotment_fold::floor_of(rules, team, settings_.failure_domain);
    }
    return internal::at_least_zero(fold_.limit_of(rules, team, settings_.failure_domain) - pending_of(team.name));
}

resources allotment_manager::pending_of(std::string const &team) const {
    resources amount;
    for(auto const &[id, donation]: pending_) {
        if(donation.first == team) {
            amount += donation.second;
        }
    }
    return amount;
}

boost::asio::awaitable<void> allotment_manager::follow() {
    while(true) {
        co_await read();
        if(leading_ && claim_requested_after_ != instant{} && !has_claim(claim_requested_after_)) {
            co_await append_claim();
        }
        co_await pause(config::log_poll);
    }
}

boost::asio::awaitable<void> allotment_manager::read() {
    if(reading_) {
        co_return;
    }
    reading_ = true;
    auto more = true;
    while(more) {
        auto const page = co_await platform_.read(std::string{internal::allotment_stream}, next_offset_);
        if(!page) {
            stats_.add(event::log_read_failed);
            break;
        }
        for(auto const &record: page->records) {
            fold_.apply(record.offset, record.body);
            next_offset_ = record.offset + 1u;
            pending_.erase(internal::record_id_of(record.body));
        }
        more = !page->records.empty() && next_offset_ < page->next;
    }
    reading_ = false;
}

boost::asio::awaitable<void> allotment_manager::append_claim() {
    auto const sent = current_time();
    auto const number = fold_.newest_claim(settings_.failure_domain).number + 1u;
    auto const holder = holder_;
    auto record = claim_record({.domain = settings_.failure_domain, .number = number, .holder = holder});
    auto const appended = co_await platform_.append(std::string{internal::allotment_stream}, std::move(record));
    if(!appended.is_done()) {
        stats_.add(event::log_append_failed);
        co_return;
    }
    co_await read();
    if(holder == holder_ && next_offset_ > appended.offset &&
        fold_.newest_claim(settings_.failure_domain).number == number) {
        claim_sent_ = sent;
    }
}

boost::asio::awaitable<resources> allotment_manager::donate(
    document const &rules, team_quota const &team, std::string to, resources const wanted, resources const spare) {
    auto const floor = allotment_fold::floor_of(rules, team, settings_.failure_domain);
    auto const movable = internal::at_least_zero(limit(rules, team, claim_requested_after_) - floor);
    auto const half = resources{spare.millicores / 2, spare.memory_mib / 2, spare.accelerators / 2};
    auto const amount = internal::at_least_zero(min_of(min_of(wanted, half), movable));
    if(!has_claim(claim_requested_after_) || amount == resources{}) {
        co_return resources{};
    }
    auto const id = holder_ + "/" + std::to_string(++next_donation_);
    pending_.emplace(id, std::pair{team.name, amount});
    auto record = donation_record({.from = settings_.failure_domain,
        .to = std::move(to),
        .team = team.name,
        .amount = amount,
        .claim = fold_.newest_claim(settings_.failure_domain).number});
    record.get_object().emplace("id", id);
    auto const appended = co_await platform_.append(std::string{internal::allotment_stream}, std::move(record));
    if(appended.outcome == attempt_outcome::not_sent) {
        pending_.erase(id);
    }
    co_return appended.is_done() ? amount : resources{};
}

} // namespace kingcuplink
