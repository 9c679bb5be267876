#include <kingcuplink/admission/key_check.hpp>
#include <kingcuplink/core/hash.hpp>

namespace kingcuplink {

std::string_view bearer_key(std::string_view const header) noexcept {
    constexpr std::string_view scheme{"Bearer "};
    return header.starts_with(scheme) ? header.substr(scheme.size()) : std::string_view{};
}

result<std::string> team_of_key(document const &rules, std::string_view const key) {
    if(key.empty()) {
        return refuse(refusal::key_missing);
    }
    auto const *known = find_key(rules, sha256_hex(key));
    if(known == nullptr) {
        return refuse(refusal::key_unknown);
    }
    if(known->withdrawn) {
        return refuse(refusal::key_withdrawn, "team " + known->team);
    }
    return known->team;
}

result<admitted_request> admit_request(
    document const &rules, std::string_view const queue, std::string_view const key, bool const cut_off) {
    auto const *known = find_queue(rules, queue);
    if(known == nullptr) {
        return refuse(refusal::queue_unknown, std::string{queue});
    }
    if(key.empty() && known->open) {
        return admitted_request{.team = known->team, .open = true};
    }
    BOOST_LEAF_AUTO(team, team_of_key(rules, key));
    if(cut_off && known->hold_when_cut_off) {
        return refuse(refusal::held_while_cut_off, "queue " + known->name);
    }
    return admitted_request{.team = std::move(team), .open = false};
}

} // namespace kingcuplink
