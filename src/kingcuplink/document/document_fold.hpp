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

/*! Operator's edit of one section. */
struct document_edit {
    /*! Unique identifier of the record; the same edit sent twice has the same one. */
    std::string record_id;
    section which{};
    /*! Version of the section that the edit was made against. */
    std::uint64_t base_version{};
    /*! SHA-256 of the author's key. */
    std::string author;
    /*! Teams whose terms the edit may lower. */
    std::vector<std::string> lower;
    boost::json::value body;
};

/*! What became of an edit. */
struct edit_result {
    /*! Why it was refused; empty if it was accepted. */
    std::optional<problem> refused{};

    /*! Tells whether the edit is part of the document. */
    [[nodiscard]] bool is_accepted() const noexcept {
        return !refused.has_value();
    }
};

/*! Returns the log record of an edit. */
[[nodiscard]] boost::json::value edit_record(document_edit const &edit);

/*! Returns the log record that starts a document; it counts only in an empty log. */
[[nodiscard]] boost::json::value genesis_record(std::string_view record_id, boost::json::value const &sections);

/*!
 * Checks an edit against a document.
 * @return The document with the edit applied.
 */
[[nodiscard]] result<document> apply_edit(document const &current, document_edit const &edit);

/*!
 * Deterministic fold of the document's log: every reader of the same records
 * holds the same document. The offset in force never decreases. Not thread safe.
 */
class document_fold {
public:
    /*!
     * Takes a record of the log. Records at or below offset() are ignored; records
     * after a gap wait until a snapshot or a peer's copy closes it.
     * @param offset Offset of the record.
     * @param record Its body. What is malformed counts as refused.
     * @return True if the document changed.
     */
    bool apply(std::uint64_t offset, boost::json::value const &record);

    /*!
     * Takes a folded document from a peer or from a snapshot. It is ignored unless it is newer.
     * @param copy What copy() returned there.
     * @return True if the document changed.
     */
    bool adopt(boost::json::value const &copy);

    /*! Returns the folded document with its offset. Undefined behaviour if there is none. */
    [[nodiscard]] boost::json::value copy() const;

    /*! Returns the log record of a snapshot of this document. Undefined behaviour if there is none. */
    [[nodiscard]] boost::json::value snapshot_record() const;

    /*! Returns the document in force, or null before the first one. It is safe to share with other threads. */
    [[nodiscard]] std::shared_ptr<document const> const &current() const noexcept;

    /*! Returns the offset up to which the log is folded; zero if nothing is. Offsets begin at one. */
    [[nodiscard]] std::uint64_t offset() const noexcept;

    /*! Returns the offset of the newest snapshot seen in the log. */
    [[nodiscard]] std::uint64_t snapshot_offset() const noexcept;

    /*!
     * Tells what became of an edit.
     * @return Nothing if its record was not seen.
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
