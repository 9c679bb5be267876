#include "site_store.hpp"

#include <array>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/endian/conversion.hpp>
#include <openssl/evp.h>
#include <platform/store_client.hpp>
#include <utility>
#include <vector>

namespace kingcuplink::standin {

namespace {

/*! Number of appends per producer that are recognised as repetitions. */
constexpr std::size_t max_recent_appends = 5u;
/*! Number of records in a page of newest records; small, so that tests need several pages. */
constexpr std::size_t page_size = 50u;
constexpr std::int64_t read_poll_ms = 5;
constexpr std::size_t offset_bytes = 8u;
/*! Number of bytes that precede the key of a record. */
constexpr std::uint64_t record_header_bytes = 5u;
constexpr std::uint64_t bytes_per_kib = 1'024u;
constexpr std::uint64_t default_read_bytes = 1'024u * bytes_per_kib;

std::string percent_decoded(std::string_view const text) {
    std::string result;
    for(std::size_t pos{}; pos < text.size(); ++pos) {
        if(text[pos] == '%' && pos + 2u < text.size()) {
            result.push_back(static_cast<char>(std::stoi(std::string{text.substr(pos + 1u, 2u)}, nullptr, 16)));
            pos += 2u;
        } else {
            result.push_back(text[pos]);
        }
    }
    return result;
}

std::map<std::string, std::string> parse_query(std::string_view const target) {
    std::map<std::string, std::string> terms;
    auto const start = target.find('?');
    if(start == std::string_view::npos) {
        return terms;
    }
    std::vector<std::string> parts;
    auto const text = std::string{target.substr(start + 1u)};
    boost::algorithm::split(parts, text, boost::algorithm::is_any_of("&"));
    for(auto const &part: parts) {
        auto const middle = part.find('=');
        terms[part.substr(0u, middle)] = middle == std::string::npos ? std::string{}
                                                                     : percent_decoded(part.substr(middle + 1u));
    }
    return terms;
}

std::uint64_t number_in(std::map<std::string, std::string> const &terms, std::string const &name) {
    auto const found = terms.find(name);
    return found == terms.end() || found->second.empty() ? 0u : std::stoull(found->second);
}

std::string to_base64(std::string const &bytes) {
    std::string text((bytes.size() + 2u) / 3u * 4u + 1u, '\0');
    auto const length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
        reinterpret_cast<unsigned char const *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string offset_text(std::uint64_t const offset) {
    std::array<unsigned char, offset_bytes> bytes{};
    boost::endian::store_big_u64(bytes.data(), offset);
    return {reinterpret_cast<char const *>(bytes.data()), bytes.size()};
}

} // namespace

site_store::site_store(boost::asio::io_context &context, std::string const &address)
    : service_{std::make_shared<http_service>(
          context, address, [this](request message) { return handle(std::move(message)); })} {
    service_->start();
}

void site_store::add(topic_state &topic, keyed_record record) {
    record.offset = topic.end();
    if(record.value) {
        topic.newest[record.key] = record;
    } else {
        topic.newest.erase(record.key);
    }
    topic.records.push_back(std::move(record));
}

void site_store::put(std::string const &topic, std::string key, std::optional<std::string> value) {
    add(topics_[topic], {std::move(key), std::move(value), 0u});
}

void site_store::compact() {
    for(auto &[name, topic]: topics_) {
        topic.first = topic.end();
        topic.records.clear();
    }
}

boost::asio::awaitable<response> site_store::handle(request message) {
    auto const target = std::string{message.target()};
    auto terms = parse_query(target);
    if(target.starts_with("/-/log-append")) {
        co_return append(terms, message.body());
    }
    if(target.starts_with("/-/log-read")) {
        co_return co_await read(std::move(terms));
    }
    if(target.starts_with("/-/log-newest")) {
        co_return newest(terms);
    }
    co_return json_answer(404u, boost::json::object{});
}

std::optional<response> site_store::check_producer(
    topic_state &topic, query const &terms, producer_state *&producer) const {
    auto const name = terms.find("producer");
    if(name == terms.end()) {
        return std::nullopt;
    }
    auto &known = topic.producers[name->second];
    producer = &known;
    auto const epoch = number_in(terms, "epoch");
    auto const sequence = number_in(terms, "seq_no");
    if(epoch < known.epoch) {
        return json_answer(409u, boost::json::object{{"reason", "fenced"}});
    }
    if(epoch > known.epoch) {
        known = {epoch, sequence, {}};
        return std::nullopt;
    }
    for(auto const &[number, offset]: known.recent_appends) {
        if(number == sequence) {
            return json_answer(200u, boost::json::object{{"offset", offset}, {"end_offset", topic.end()}});
        }
    }
    if(sequence != known.sequence + 1u) {
        return json_answer(409u, boost::json::object{{"reason", "seq"}, {"seq_no", known.sequence + 1u}});
    }
    known.sequence = sequence;
    return std::nullopt;
}

response site_store::append(query const &terms, std::string const &body) {
    auto &topic = topics_[terms.at("topic")];
    auto const read = adapter::decode_records(std::string(2u * offset_bytes, '\0') + body, 0u);
    if(read.outcome != read_outcome::done) {
        return json_answer(400u, boost::json::object{});
    }
    producer_state *producer{};
    if(auto refused = check_producer(topic, terms, producer)) {
        return *refused;
    }
    auto const offset = topic.end();
    for(auto const &record: read.records) {
        add(topic, record);
    }
    if(producer != nullptr) {
        producer->recent_appends.emplace_back(producer->sequence, offset);
        if(producer->recent_appends.size() > max_recent_appends) {
            producer->recent_appends.pop_front();
        }
    }
    return json_answer(200u, boost::json::object{{"offset", offset}, {"end_offset", topic.end()}});
}

boost::asio::awaitable<response> site_store::read(query const terms) {
    auto &topic = topics_[terms.at("topic")];
    auto const from = number_in(terms, "from");
    auto const until = clock_ms() + static_cast<std::int64_t>(number_in(terms, "wait_ms"));
    while(from >= topic.end() && clock_ms() < until) {
        co_await wait_for(read_poll_ms);
    }
    if(from < topic.first) {
        co_return json_answer(410u, boost::json::object{{"first_offset", topic.first}});
    }
    // Returns only whole records within the limit, and none if the first record exceeds it.
    auto const most = terms.contains("max_kb") ? number_in(terms, "max_kb") * bytes_per_kib : default_read_bytes;
    std::vector<keyed_record> records;
    std::uint64_t bytes{};
    for(auto pos = from; pos < topic.end(); ++pos) {
        auto const &record = topic.records[pos - topic.first];
        bytes += record_header_bytes + record.key.size() + (record.value ? record.value->size() : 0u);
        if(bytes > most) {
            break;
        }
        records.push_back(record);
    }
    response answer{boost::beast::http::status::ok, 11};
    answer.body() = offset_text(topic.end()) + offset_text(topic.first) + adapter::encode_records(records);
    co_return answer;
}

response site_store::newest(query const &terms) {
    auto &topic = topics_[terms.at("topic")];
    auto const after = terms.find("after");
    auto entry = after == terms.end() ? topic.newest.begin() : topic.newest.upper_bound(after->second);
    boost::json::array items;
    for(; entry != topic.newest.end() && items.size() < page_size; ++entry) {
        auto const &record = entry->second;
        items.push_back(
            boost::json::object{{"key", record.key}, {"value", to_base64(*record.value)}, {"offset", record.offset}});
    }
    return json_answer(200u,
        boost::json::object{
            {"items", std::move(items)}, {"has_more", entry != topic.newest.end()}, {"end_offset", topic.end()}});
}

} // namespace kingcuplink::standin
