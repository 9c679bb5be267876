#ifndef KINGCUPLINK_DOCUMENT_DOCUMENT_FOLD_HPP_INCLUDED
#define KINGCUPLINK_DOCUMENT_DOCUMENT_FOLD_HPP_INCLUDED

#include <boost/json/value.hpp>
#include <cstdint>
#include <deque>
#include <kingcuplink/document/document.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kingcuplink {

/*! Edit of one section by an operator. */
struct document_edit {
    /*! Unique identifier of the record; a resent edit keeps its identifier. */
    std::string record_id;
    section which{};
    /*! Version of the section on which the edit is based. */
    std::uint64_t base_version{};
    /*! SHA-256 of the author's key. */
    std::string author;
    /*! Names of the teams whose share and ceilings the edit may reduce. */
    std::vector<std::string> lower;
    boost::json::value body;
};

/*! Result of an edit. */
struct edit_result {
    /*! Reason of the refusal; empty if the edit was accepted. */
    std::optional<problem> refused{};

    /*! Returns true if the edit was applied to the document. */
    [[nodiscard]] bool is_accepted() const noexcept {
        return !refused.has_value();
    }
};

/*! Returns the log record of an edit. */
[[nodiscard]] boost::json::value edit_record(document_edit const &edit);

/*! Returns the log record that creates a document; it is ignored if there is a document already. */
[[nodiscard]] boost::json::value genesis_record(std::string_view record_id, boost::json::value const &sections);

/*!
 * Checks an edit against a document.
 * @return The document with the edit applied.
 */
[[nodiscard]] result<document> apply_edit(document const &current, document_edit const &edit);

/*!
 * Deterministic fold of the document's log: all readers of the same records have
 * the same document. The offset never decreases. Not thread safe.
 */
class document_fold {
public:
    /*!
     * Applies a record of the log. Records at or below offset() are ignored; records
     * after a gap are buffered until a snapshot or a peer's copy closes it.
     * @param offset Offset of the record.
     * @param record Body of the record. A malformed edit is refused.
     * @return True if the document changed.
     */
    bool apply(std::uint64_t offset, boost::json::value const &record);

    /*!
     * Adopts a folded document from a peer or a snapshot. Ignored unless it is newer.
     * @param copy Result of copy() of the other fold.
     * @return True if the document changed.
     */
    bool adopt(boost::json::value const &copy);

    /*! Returns the folded document with its offset. Undefined behaviour if there is none. */
    [[nodiscard]] boost::json::value copy() const;

    /*! Returns the log record of a snapshot of this document. Undefined behaviour if there is none. */
    [[nodiscard]] boost::json::value snapshot_record() const;

    /*! Returns the current document, or null if there is none yet. It may be shared with other threads. */
    [[nodiscard]] std::shared_ptr<document const> const &current() const noexcept;

    /*! Returns the offset of the last folded record, or zero if there is none. Offsets start at one. */
    [[nodiscard]] std::uint64_t offset() const noexcept;

    /*! Returns the offset of the newest snapshot read from the log. */
    [[nodiscard]] std::uint64_t snapshot_offset() const noexcept;

    /*!
     * Returns the result of an edit.
     * @return Nothing if the record was not applied by this fold or 1,024 later results have displaced it.
     */
    [[nodiscard]] std::optional<edit_result> edit_result_of(std::string const &record_id) const;

private:
    bool apply_typed(boost::json::value const &record);
    bool apply_genesis(boost::json::value const &record);
    bool apply_pending_records();
    void record_result(std::string const &record_id, edit_result value);

    std::shared_ptr<document const> current_;
    std::uint64_t offset_{};
    std::uint64_t snapshot_offset_{};
    std::map<std::uint64_t, boost::json::value> pending_records_;
    std::map<std::string, edit_result, std::less<>> edit_results_;
    std::deque<std::string> edit_result_order_;
};

} // namespace kingcuplink

#endif
