#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <glog/logging.h>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/core/json_reader.hpp>
#include <kingcuplink/daemon/document_replicator.hpp>
#include <kingcuplink/platform/pause.hpp>

namespace kingcuplink {

namespace internal {

constexpr std::string_view document_stream{"document"};
constexpr millis log_timeout{5'000};
constexpr millis request_interval{500};
constexpr millis verdict_timeout{6'000};
constexpr millis verdict_poll{50};
constexpr millis append_retry_interval{1'000};

} // namespace internal

document_replicator::document_replicator(boost::asio::io_context &context, daemon_settings const &settings,
    platform_client &platform, peer_directory &peers, counters &stats, listener on_change)
    : context_{context},
      settings_{settings},
      platform_{platform},
      peers_{peers},
      stats_{stats},
      on_change_{std::move(on_change)} {}

void document_replicator::start() {
    boost::asio::co_spawn(context_, follow(), boost::asio::detached);
}

std::shared_ptr<document const> const &document_replicator::current() const noexcept {
    return fold_.current();
}

std::uint64_t document_replicator::offset() const noexcept {
    return fold_.offset();
}

bool document_replicator::log_reachable(instant const now) const noexcept {
    return last_read_ != instant{} && now - last_read_ < internal::log_timeout;
}

boost::asio::awaitable<void> document_replicator::follow() {
    while(true) {
        co_await read_log();
        co_await refresh_snapshot();
        co_await pause(config::log_poll);
    }
}

boost::asio::awaitable<bool> document_replicator::read_log() {
    if(reading_) {
        co_return false;
    }
    reading_ = true;
    auto has_changed = false;
    auto more = true;
    while(more) {
        auto const from = next_offset_;
        auto const page = co_await platform_.read(std::string{internal::document_stream}, from);
        if(!page) {
            stats_.add(event::log_read_failed);
            break;
        }
        last_read_ = current_time();
        for(auto const &record: page->records) {
            has_changed = fold_.apply(record.offset, record.body) || has_changed;
            next_offset_ = std::max(next_offset_, record.offset + 1u);
            stats_.add(event::document_applied);
        }
        more = !page->records.empty() && next_offset_ < page->next;
    }
    reading_ = false;
    if(has_changed) {
        notify_change();
    }
    co_return has_changed;
}

boost::asio::awaitable<void> document_replicator::refresh_snapshot() {
    auto const now = current_time();
    if(fold_.current() == nullptr || !log_reachable(now)) {
        co_return;
    }
    auto const members = peers_.live_members(now, config::heartbeat_timeout);
    auto const has_many_records = fold_.offset() > fold_.snapshot_offset() + config::snapshot_records;
    auto const is_old = now - last_snapshot_ >= config::snapshot_age;
    if(members.front() != settings_.name || !(has_many_records || is_old)) {
        co_return;
    }
    last_snapshot_ = now;
    auto const result = co_await platform_.append(std::string{internal::document_stream}, fold_.snapshot_record());
    if(!result.is_done()) {
        stats_.add(event::log_append_failed);
    }
}

void document_replicator::notify_change() {
    if(fold_.current() == nullptr) {
        return;
    }
    last_snapshot_ = last_snapshot_ == instant{} ? current_time() : last_snapshot_;
    LOG(INFO) << "document: in force offset=" << fold_.offset();
    on_change_(fold_.current());
}

void document_replicator::request_if_newer(std::string const &peer, std::uint64_t const peer_offset) {
    auto const now = current_time();
    if(peer_offset <= fold_.offset() || now - last_request_ < internal::request_interval) {
        return;
    }
    last_request_ = now;
    wire::envelope message;
    message.mutable_document_request();
    peers_.send(peer, message);
}

void document_replicator::send_copy(std::string const &peer) {
    if(fold_.current() == nullptr) {
        return;
    }
    wire::envelope message;
    message.mutable_document_copy()->set_json(boost::json::serialize(fold_.copy()));
    peers_.send(peer, message);
}

void document_replicator::adopt_copy(std::string const &json) {
    boost::system::error_code error;
    auto const copy = boost::json::parse(json, error);
    if(!error && fold_.adopt(copy)) {
        next_offset_ = std::max(next_offset_, fold_.offset() + 1u);
        stats_.add(event::document_from_peer);
        notify_change();
    }
}

boost::asio::awaitable<api_answer> document_replicator::serve(api_request request) {
    if(fold_.current() == nullptr) {
        co_return api_answer{.refused = problem{refusal::no_configuration}};
    }
    if(request.path.size() == 2u && request.method == boost::beast::http::verb::get) {
        co_return describe();
    }
    auto const edited_section = request.path.size() == 3u ? section_of(request.path[2]) : std::nullopt;
    if(!edited_section) {
        co_return api_answer{.refused = problem{refusal::section_unknown, request.path.back()}};
    }
    auto const pos = static_cast<std::size_t>(*edited_section);
    auto const author = sha256_hex(request.key);
    auto const &owners = fold_.current()->owners;
    auto const is_owner = std::any_of(owners.begin(), owners.end(),
        [&](auto const &hashes) { return std::find(hashes.begin(), hashes.end(), author) != hashes.end(); });
    if(request.key.empty() || !is_owner) {
        co_return api_answer{.refused = problem{refusal::owner_required, "section " + request.path[2]}};
    }
    if(request.method == boost::beast::http::verb::get) {
        co_return api_answer{.body = fold_.current()->bodies[pos], .version = fold_.current()->versions[pos]};
    }
    if(request.method != boost::beast::http::verb::put || !request.if_match) {
        co_return api_answer{.refused = problem{refusal::request_malformed, "use PUT with If-Match: \"VERSION\""}};
    }
    problem failure;
    auto const body = value_of([&]() { return parse_json(request.body, refusal::section_invalid); }, failure);
    if(!body) {
        co_return api_answer{.refused = failure};
    }
    auto const record_id = settings_.name + "-" + std::to_string(current_time().time_since_epoch().count()) + "-" +
        std::to_string(++record_number_);
    document_edit edit{.record_id = record_id,
        .which = *edited_section,
        .base_version = *request.if_match,
        .author = author,
        .lower = request.lower,
        .body = *body};
    co_return co_await publish(std::move(edit));
}

boost::asio::awaitable<api_answer> document_replicator::publish(document_edit edit) {
    co_await read_log();
    if(auto const refused = problem_of([&]() -> result<void> {
           BOOST_LEAF_CHECK(apply_edit(*fold_.current(), edit));
           return {};
       });
        refused) {
        co_return api_answer{.refused = refused};
    }
    auto const record = edit_record(edit);
    auto may_be_in_log = false;
    auto is_in_log = false;
    auto const deadline = current_time() + internal::verdict_timeout;
    auto next_try = current_time();
    while(current_time() < deadline) {
        if(!is_in_log && current_time() >= next_try) {
            auto const appended = co_await platform_.append(std::string{internal::document_stream}, record);
            is_in_log = appended.is_done();
            may_be_in_log = may_be_in_log || appended.outcome != attempt_outcome::not_sent;
            next_try = current_time() + internal::append_retry_interval;
            stats_.add(is_in_log ? event::document_appended : event::log_append_failed);
        }
        co_await read_log();
        if(auto const verdict = fold_.edit_result_of(edit.record_id); verdict) {
            co_return answer_of(edit, *verdict);
        }
        co_await pause(internal::verdict_poll);
    }
    co_return api_answer{.refused = problem{may_be_in_log ? refusal::edit_unknown : refusal::log_unavailable,
                             "record " + edit.record_id}};
}

api_answer document_replicator::answer_of(document_edit const &edit, edit_result const &verdict) const {
    if(!verdict.is_accepted()) {
        return {.refused = verdict.refused};
    }
    auto const version = edit.base_version + 1u;
    boost::json::object body{{"section", name_of(edit.which)}, {"version", version}, {"offset", fold_.offset()}};
    return {.body = std::move(body), .version = version};
}

api_answer document_replicator::describe() const {
    boost::json::object versions;
    for(std::size_t pos{}; pos < section_count; ++pos) {
        versions.emplace(name_of(static_cast<section>(pos)), static_cast<std::int64_t>(fold_.current()->versions[pos]));
    }
    auto const now = current_time();
    boost::json::array in_force;
    in_force.push_back(boost::json::object{
        {"entry_vm", settings_.name}, {"offset", static_cast<std::int64_t>(fold_.offset())}, {"heard", true}});
    for(auto const &[name, peer]: peers_.peers()) {
        in_force.push_back(boost::json::object{{"entry_vm", name},
            {"offset", static_cast<std::int64_t>(peer.document_offset)}, {"heard", peers_.is_live(peer, now)}});
    }
    return {.body = boost::json::object{{"offset", static_cast<std::int64_t>(fold_.offset())},
                {"versions", std::move(versions)}, {"in_force", std::move(in_force)}}};
}

} // namespace kingcuplink
