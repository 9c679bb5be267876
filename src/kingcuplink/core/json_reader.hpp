#ifndef KINGCUPLINK_CORE_JSON_READER_HPP_INCLUDED
#define KINGCUPLINK_CORE_JSON_READER_HPP_INCLUDED

#include <boost/json.hpp>
#include <cstdint>
#include <kingcuplink/core/result.hpp>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Range of a number, both ends included. */
struct number_range {
    std::int64_t least{};
    std::int64_t most{};
};

/*!
 * Reads typed fields from a JSON object. Errors name the path of the field, its
 * value and what is allowed. The object must outlive the reader. Not thread safe.
 */
class json_reader {
public:
    /*!
     * Opens an object.
     * @param value The value, which must be an object.
     * @param path Its path in error messages.
     * @param reason Reason of all errors.
     */
    [[nodiscard]] static result<json_reader> open(boost::json::value const &value, std::string path, refusal reason);

    /*! Reads a text that is not empty and has no more than 256 characters. */
    [[nodiscard]] result<std::string> text(std::string_view name) const;

    /*! Reads a text, or takes a default. */
    [[nodiscard]] result<std::string> text_or(std::string_view name, std::string_view fallback) const;

    /*! Reads a whole number within a range. */
    [[nodiscard]] result<std::int64_t> number(std::string_view name, number_range range) const;

    /*! Reads a whole number within a range, or takes a default. */
    [[nodiscard]] result<std::int64_t> number_or(
        std::string_view name, number_range range, std::int64_t fallback) const;

    /*! Reads true or false, or takes a default. */
    [[nodiscard]] result<bool> flag_or(std::string_view name, bool fallback) const;

    /*! Reads an array, or takes an empty one. */
    [[nodiscard]] result<boost::json::array const *> array_or_empty(std::string_view name) const;

    /*! Returns a field, or null if there is none. */
    [[nodiscard]] boost::json::value const *find(std::string_view name) const noexcept;

    /*! Refuses fields other than those named. */
    [[nodiscard]] result<void> check_field_names(std::initializer_list<std::string_view> names) const;

    /*! Returns an error about a field. */
    [[nodiscard]] leaf::error_id field_error(std::string_view name, std::string_view allowed) const;

    /*! Returns the path of a field. */
    [[nodiscard]] std::string path_of(std::string_view name) const;

private:
    json_reader(boost::json::object const &object, std::string path, refusal reason);

    boost::json::object const *object_;
    std::string path_;
    refusal reason_;
};

/*! Parses a JSON text; refuses with the given reason. */
[[nodiscard]] result<boost::json::value> parse_json(std::string_view text, refusal reason);

} // namespace kingcuplink

#endif
