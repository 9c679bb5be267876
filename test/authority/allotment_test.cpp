#include "../document/sample.hpp"

#include <doctest/doctest.h>
#include <kingcuplink/authority/allotment.hpp>
#include <random>

using namespace kingcuplink;
using namespace kingcuplink::test;

namespace {

resources sum_of_limits(allotment_fold const &fold, document const &rules, team_quota const &team) {
    resources sum;
    for(auto const &domain: rules.failure_domains) {
        sum += fold.limit_of(rules, team, domain.name);
    }
    return sum;
}

} // namespace

TEST_CASE("the allotments of all failure domains add up to the ceiling") {
    allotment_fold fold;
    auto const rules = sample_document();
    for(auto const &team: rules.teams) {
        CHECK(sum_of_limits(fold, rules, team) == team.ceiling);
        CHECK(fits(allotment_fold::floor_of(rules, team, "a"), fold.limit_of(rules, team, "a")));
    }
}

TEST_CASE("a donation is applied only under the newest claim") {
    allotment_fold fold;
    auto const rules = sample_document();
    auto const &team = rules.teams.front();
    auto const before = fold.limit_of(rules, team, "a");
    fold.apply(1u, claim_record({.domain = "a", .number = 1u, .holder = "p"}));
    fold.apply(2u, donation_record({.from = "a", .to = "b", .team = "red", .amount = {1'000, 0, 0}, .claim = 1u}));
    CHECK(fold.limit_of(rules, team, "a") == before - resources{1'000, 0, 0});
    fold.apply(3u, claim_record({.domain = "a", .number = 2u, .holder = "q"}));
    fold.apply(4u, donation_record({.from = "a", .to = "b", .team = "red", .amount = {1'000, 0, 0}, .claim = 1u}));
    CHECK(fold.limit_of(rules, team, "a") == before - resources{1'000, 0, 0});
    // A claim with the same number is ignored.
    fold.apply(5u, claim_record({.domain = "a", .number = 2u, .holder = "r"}));
    CHECK(fold.newest_claim("a").holder == "q");
    CHECK(sum_of_limits(fold, rules, team) == team.ceiling);
}

TEST_CASE("limits stay within the ceiling after any donations and ceiling changes") {
    for(std::uint64_t seed{1}; seed <= 100u; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        allotment_fold fold;
        auto rules = sample_document();
        rules.failure_domains.push_back(rules.failure_domains.back());
        rules.failure_domains.back().name = "c";
        for(std::uint64_t offset{1}; offset <= 60u; ++offset) {
            auto const pick_domain = [&]() {
                return rules.failure_domains[random() % rules.failure_domains.size()].name;
            };
            auto const from = pick_domain();
            if(random() % 4u == 0u) {
                fold.apply(offset,
                    claim_record(
                        {.domain = from, .number = random() % 4u, .holder = "h" + std::to_string(random() % 3u)}));
            } else {
                fold.apply(offset,
                    donation_record({.from = from,
                        .to = pick_domain(),
                        .team = "red",
                        .amount = {static_cast<std::int64_t>(random() % 30'000u), 0, 0},
                        .claim = random() % 4u}));
            }
            auto &team = rules.teams.front();
            team.ceiling.millicores = static_cast<std::int64_t>(random() % 200'000u);
            auto const sum = sum_of_limits(fold, rules, team);
            CHECK(fits(sum, team.ceiling));
            for(auto const &domain: rules.failure_domains) {
                CHECK(
                    fits(allotment_fold::floor_of(rules, team, domain.name), fold.limit_of(rules, team, domain.name)));
            }
        }
    }
}
