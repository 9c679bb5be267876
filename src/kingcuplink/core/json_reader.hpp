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
 * Reads typed fields from a JSON object. Errors contain the path of the field, its
 * value and the allowed values. The object must outlive the reader. Not thread safe.
 */
class json_reader {
public:
    /*!
     * Opens an object.
     * @param value Value to read; refused if it is not an object.
     * @param path Path of the object in error messages.
     * @param reason Reason of all errors.
     */
    [[nodiscard]] static result<json_reader> open(boost::json::value const &value, std::string path, refusal reason);

    /*! Reads a string of 1 to 256 bytes. */
    [[nodiscard]] result<std::string> text(std::string_view name) const;

    /*! Reads a string as text() does, or returns a default if the field is missing. */
    [[nodiscard]] result<std::string> text_or(std::string_view name, std::string_view fallback) const;

    /*! Reads an integer within a range. */
    [[nodiscard]] result<std::int64_t> number(std::string_view name, number_range range) const;

    /*! Reads an integer within a range, or returns a default if the field is missing. */
    [[nodiscard]] result<std::int64_t> number_or(
        std::string_view name, number_range range, std::int64_t fallback) const;

    /*! Reads a boolean, or returns a default if the field is missing. */
    [[nodiscard]] result<bool> flag_or(std::string_view name, bool fallback) const;

    /*! Reads an array, or returns an empty one if the field is missing. */
    [[nodiscard]] result<boost::json::array const *> array_or_empty(std::string_view name) const;

    /*! Returns a field, or null if it is missing. */
    [[nodiscard]] boost::json::value const *find(std::string_view name) const noexcept;

    /*! Refuses an object with fields other than the given ones. */
    [[nodiscard]] result<void> check_field_names(std::initializer_list<std::string_view> names) const;

    /*! Returns an error with the path and value of a field and a description of the allowed values. */
    [[nodiscard]] leaf::error_id field_error(std::string_view name, std::string_view allowed) const;

    /*! Returns the path of a field. */
    [[nodiscard]] std::string path_of(std::string_view name) const;

private:
    json_reader(boost::json::object const &object, std::string path, refusal reason);

    boost::json::object const *object_;
    std::string path_;
    refusal reason_;
};

/*! Parses a JSON text; refuses malformed text with the given reason. */
[[nodiscard]] result<boost::json::value> parse_json(std::string_view text, refusal reason);

} // namespace kingcuplink

#endif
