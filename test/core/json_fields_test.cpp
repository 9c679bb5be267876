#include <boost/json/parse.hpp>
#include <doctest/doctest.h>
#include <kingcuplink/core/json_fields.hpp>
#include <vector>

using namespace kingcuplink;

TEST_CASE("fields that are missing or of another type are told apart from values") {
    struct row {
        std::string_view json;
        bool has_field;
        std::string_view text;
        std::optional<std::uint64_t> whole;
    };
    std::vector<row> const rows{
        {R"({"x": "a"})", true, "a", std::nullopt},
        {R"({"x": 5})", true, "", 5u},
        {R"({"x": 0})", true, "", 0u},
        {R"({"x": -1})", true, "", std::nullopt},
        {R"({"x": 1.5})", true, "", std::nullopt},
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
        CHECK(whole_in(value, "x") == row.whole);
        if(value.is_object()) {
            CHECK(text_in(value.get_object(), "x") == row.text);
        }
    }
}
