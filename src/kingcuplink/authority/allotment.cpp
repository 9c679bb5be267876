#include <algorithm>
#include <array>
#include <kingcuplink/authority/allotment.hpp>
#include <kingcuplink/core/json_reader.hpp>
#include <vector>

namespace kingcuplink {

namespace internal {

constexpr number_range claim_range{0, std::int64_t{1} << 53};
constexpr std::array<std::int64_t resources::*, 3u> dimensions{
    &resources::millicores, &resources::memory_mib, &resources::accelerators};

std::vector<std::string_view> participating_domains(document const &rules) {
    std::vector<std::string_view> names;
    for(auto const &domain: rules.failure_domains) {
        if(domain.state != domain_state::lost) {
            names.push_back(domain.name);
        }
    }
    std::sort(names.begin(), names.end());
    return names;
}

/*! Returns the part of one holder in an even division. The remainder goes to the first holders, one unit each. */
std::int64_t even_share(std::int64_t const amount, std::size_t const holders, std::size_t const position) {
    auto const count = static_cast<std::int64_t>(holders);
    return amount / count + (static_cast<std::int64_t>(position) < amount % count ? 1 : 0);
}

resources even_share(resources const &amount, std::size_t const holders, std::size_t const position) {
    resources part;
    for(auto const dimension: dimensions) {
        part.*dimension = even_share(amount.*dimension, holders, position);
    }
    return part;
}

resources half_of(resources const &amount) {
    return {amount.millicores / 2, amount.memory_mib / 2, amount.accelerators / 2};
}

/*! Raises negative amounts to zero and subtracts the difference from the largest amounts. */
void redistribute_deficits(std::vector<std::int64_t> &amounts) {
    std::int64_t deficit{};
    for(auto &amount: amounts) {
        deficit += std::max<std::int64_t>(0, -amount);
        amount = std::max<std::int64_t>(0, amount);
    }
    while(deficit > 0) {
        auto const largest = std::max_element(amounts.begin(), amounts.end());
        if(*largest == 0) {
            return;
        }
        auto const taken = std::min(*largest, deficit);
        *largest -= taken;
        deficit -= taken;
    }
}

} // namespace internal

boost::json::value claim_record(allotment_claim const &claim) {
    return boost::json::object{{"type", "claim"}, {"domain", claim.domain},
        {"number", static_cast<std::int64_t>(claim.number)}, {"holder", claim.holder}};
}

boost::json::value donation_record(allotment_donation const &donation) {
    return boost::json::object{{"type", "donation"}, {"from", donation.from}, {"to", donation.to},
        {"team", donation.team}, {"amount", to_json(donation.amount)},
        {"claim", static_cast<std::int64_t>(donation.claim)}};
}

void allotment_fold::apply(std::uint64_t const offset, boost::json::value const &record) {
    if(offset <= offset_) {
        return;
    }
    offset_ = offset;
    auto const *object = record.if_object();
    auto const *type = object == nullptr ? nullptr : object->if_contains("type");
    if(type == nullptr || !type->is_string()) {
        return;
    }
    if(type->get_string() == "claim") {
        apply_claim(*object);
    } else if(type->get_string() == "donation") {
        apply_donation(*object);
    }
}

void allotment_fold::apply_claim(boost::json::object const &record) {
    boost::json::value const value = record;
    static_cast<void>(problem_of([&]() -> result<void> {
        BOOST_LEAF_AUTO(reader, json_reader::open(value, "claim", refusal::request_malformed));
        allotment_claim claim;
        BOOST_LEAF_ASSIGN(claim.domain, reader.text("domain"));
        BOOST_LEAF_ASSIGN(claim.holder, reader.text("holder"));
        BOOST_LEAF_AUTO(number, reader.number("number", internal::claim_range));
        claim.number = static_cast<std::uint64_t>(number);
        auto &newest = claims_[claim.domain];
        if(claim.number > newest.number) {
            newest = claim;
        }
        return {};
    }));
}

void allotment_fold::apply_donation(boost::json::object const &record) {
    boost::json::value const value = record;
    static_cast<void>(problem_of([&]() -> result<void> {
        BOOST_LEAF_AUTO(reader, json_reader::open(value, "donation", refusal::request_malformed));
        BOOST_LEAF_AUTO(from, reader.text("from"));
        BOOST_LEAF_AUTO(to, reader.text("to"));
        BOOST_LEAF_AUTO(team, reader.text("team"));
        BOOST_LEAF_AUTO(claim, reader.number("claim", internal::claim_range));
        auto const *amount_field = reader.find("amount");
        auto const amount = amount_field == nullptr || !amount_field->is_object()
            ? resources{}
            : resources_from_json(amount_field->get_object());
        if(static_cast<std::uint64_t>(claim) != newest_claim(from).number || !fits(resources{}, amount) || from == to) {
            return {};
        }
        net_transfers_[{from, team}] -= amount;
        net_transfers_[{to, team}] += amount;
        return {};
    }));
}

std::uint64_t allotment_fold::offset() const noexcept {
    return offset_;
}

allotment_claim allotment_fold::newest_claim(std::string_view const domain) const {
    auto const found = claims_.find(domain);
    return found == claims_.end() ? allotment_claim{.domain = std::string{domain}} : found->second;
}

resources allotment_fold::floor_of(document const &rules, team_quota const &team, std::string_view const domain) {
    auto const names = internal::participating_domains(rules);
    auto const found = std::find(names.begin(), names.end(), domain);
    if(found == names.end()) {
        return {};
    }
    return internal::even_share(
        internal::half_of(team.ceiling), names.size(), static_cast<std::size_t>(found - names.begin()));
}

resources allotment_fold::limit_of(document const &rules, team_quota const &team, std::string_view const domain) const {
    auto const names = internal::participating_domains(rules);
    auto const found = std::find(names.begin(), names.end(), domain);
    if(found == names.end()) {
        return {};
    }
    auto const position = static_cast<std::size_t>(found - names.begin());
    auto const movable = team.ceiling - internal::half_of(team.ceiling);
    auto limit = floor_of(rules, team, domain);
    for(auto const dimension: internal::dimensions) {
        std::vector<std::int64_t> parts;
        for(std::size_t pos{}; pos < names.size(); ++pos) {
            auto const moved = net_transfers_.find({std::string{names[pos]}, team.name});
            parts.push_back(internal::even_share(movable.*dimension, names.size(), pos) +
                (moved == net_transfers_.end() ? 0 : moved->second.*dimension));
        }
        internal::redistribute_deficits(parts);
        limit.*dimension += parts[position];
    }
    return limit;
}

} // namespace kingcuplink
