#include "site_record.hpp"

#include <array>
#include <doctest/doctest.h>

namespace kingcuplink::test {

namespace {

enum class event : std::uint8_t { started, done, acknowledged };

struct record_event {
    event what{};
    std::uint32_t run{};
};

} // namespace

// The users' rule counts a start after a successful end if that end is acknowledged then or later.
TEST_CASE("a start after a success is a breach once that end is acknowledged") {
    using enum event;
    struct row {
        std::string_view what;
        std::vector<record_event> events;
        std::size_t breaches{};
    };
    std::array<row, 5u> const rows{{
        {"acknowledged before the start", {{started, 1u}, {done, 1u}, {acknowledged, 1u}, {started, 2u}}, 1u},
        {"acknowledged after the start", {{started, 1u}, {done, 1u}, {started, 2u}, {acknowledged, 1u}}, 1u},
        {"never acknowledged", {{started, 1u}, {done, 1u}, {started, 2u}}, 0u},
        {"only the later run is acknowledged",
            {{started, 1u}, {done, 1u}, {started, 2u}, {done, 2u}, {acknowledged, 2u}}, 0u},
        {"the same run again in a later boot",
            {{started, 1u}, {done, 1u}, {started, 1u}, {done, 1u}, {acknowledged, 1u}}, 0u},
    }};
    std::vector<standin::scripted_step> const steps{{}};
    for(auto const &item: rows) {
        CAPTURE(item.what);
        standin::site_record record;
        for(auto const &next: item.events) {
            run_key key;
            key.job = "0000000000000001";
            key.run = next.run;
            switch(next.what) {
            case started:
                record.started(key, steps, "w0");
                break;
            case done:
                record.ended(key, run_outcome::done);
                break;
            case acknowledged:
                record.acknowledged(key, run_outcome::done);
                break;
            }
        }
        CHECK(record.as_json().at("breaches").as_array().size() == item.breaches);
    }
}

} // namespace kingcuplink::test
