#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <kingcuplink/core/json_fields.hpp>
#include <limits>
#include <vector>

using namespace kingcuplink;

TEST_CASE("fields that are missing or of another type yield no value") {
    struct row {
        std::string_view json;
        bool has_field;
        std::string_view text;
        std::optional<std::uint64_t> integer;
    };
    std::vector<row> const rows{
        {R"({"x": "a"})", true, "a", std::nullopt},
        {R"({"x": 5})", true, "", 5u},
        {R"({"x": 0})", true, "", 0u},
        {R"({"x": -1})", true, "", std::nullopt},
        {R"({"x": 1.5})", true, "", std::nullopt},
        {R"({"x": 9223372036854775807})", true, "", 9'223'372'036'854'775'807u},
        {R"({"x": 9223372036854775808})", true, "", std::nullopt},
        {R"({"x": 99999999999999999999})", true, "", std::nullopt},
        {R"({"x": 1e300})", true, "", std::nullopt},
        {R"({"x": null})", true, "", std::nullopt},
        {R"({"y": "a"})", false, "", std::nullopt},
        {R"(["x"])", false, "", std::nullopt},
        {"null", false, "", std::nullopt},
    };
    for(auto const &row: rows) {
        CAPTURE(row.json);
        auto const value = boost::json::parse(boost::json::string_view{row.json.data(), row.json.size()});
        CHECK((field_in(value, "x") != nullptr) == row.has_field);
        CHECK(text_in(value, "x") == row.text);
        CHECK(integer_in(value, "x") == row.integer);
        if(value.is_object()) {
            CHECK(text_in(value.get_object(), "x") == row.text);
        }
    }
}

TEST_CASE("numbers outside of the limits are rejected") {
    struct row {
        std::string_view json;
        std::optional<std::uint64_t> integer;
        std::optional<double> real;
    };
    std::vector<row> const rows{
        {"0", 0u, 0.0},
        {"100", 100u, 100.0},
        {"101", std::nullopt, std::nullopt},
        {"-1", std::nullopt, std::nullopt},
        {"1.5", std::nullopt, 1.5},
        {"1e300", std::nullopt, std::nullopt},
        {"-1e300", std::nullopt, std::nullopt},
        {"9223372036854775808", std::nullopt, std::nullopt},
        {"18446744073709551616", std::nullopt, std::nullopt},
        {R"("1")", std::nullopt, std::nullopt},
        {"true", std::nullopt, std::nullopt},
        {"null", std::nullopt, std::nullopt},
        {"[1]", std::nullopt, std::nullopt},
    };
    for(auto const &row: rows) {
        CAPTURE(row.json);
        auto const value = boost::json::parse(boost::json::string_view{row.json.data(), row.json.size()});
        CHECK(integer_of(value, 100u) == row.integer);
        CHECK(double_of(value, {0.0, 100.0}) == row.real);
    }
    for(auto const number: {std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
        CHECK_FALSE(double_of(boost::json::value(number), {-1e300, 1e300}));
    }
}

TEST_CASE("external text is truncated and made printable for log lines") {
    CHECK(printable("w0", 8u) == "w0");
    CHECK(printable("a\r\nb\xff", 8u) == "a??b?");
    CHECK(printable("0123456789", 4u) == "0123");
}
