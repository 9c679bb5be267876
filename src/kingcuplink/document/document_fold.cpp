#include <algorithm>
#include <kingcuplink/core/json_reader.hpp>
#include <kingcuplink/document/document_fold.hpp>

namespace kingcuplink {

namespace internal {

namespace json = boost::json;

constexpr std::size_t max_edit_results = 1'024u;
constexpr std::size_t max_pending_records = 100'000u;
constexpr number_range version_range{0, std::int64_t{1} << 53};

result<document_edit> parse_edit(json::value const &record) {
    BOOST_LEAF_AUTO(reader, json_reader::open(record, "record", refusal::section_invalid));
    document_edit edit;
    BOOST_LEAF_ASSIGN(edit.record_id, reader.text("id"));
    BOOST_LEAF_AUTO(name, reader.text("section"));
    auto const which = section_of(name);
    if(!which) {
        return refuse(refusal::section_unknown, name);
    }
    edit.which = *which;
    BOOST_LEAF_AUTO(base, reader.number("base", version_range));
    edit.base_version = static_cast<std::uint64_t>(base);
    BOOST_LEAF_ASSIGN(edit.author, reader.text("author"));
    BOOST_LEAF_AUTO(lower, reader.array_or_empty("lower"));
    for(auto const &team: *lower) {
        if(team.is_string()) {
            edit.lower.emplace_back(team.get_string());
        }
    }
    if(auto const *body = reader.find("body"); body != nullptr) {
        edit.body = *body;
    }
    return edit;
}

bool is_lowered(team_quota const &before, team_quota const *after) {
    return after == nullptr || after->share < before.share || !fits(before.ceiling, after->ceiling) ||
        after->request_ceiling < before.request_ceiling;
}

result<void> check_team_quotas(document const &before, document const &after, std::vector<std::string> const &lower) {
    for(auto const &team: before.teams) {
        auto const allowed = std::find(lower.begin(), lower.end(), team.name) != lower.end();
        if(!allowed && is_lowered(team, find_team(after, team.name))) {
            return refuse(refusal::terms_lowered, "teams: share or ceiling of '" + team.name + "' would be reduced");
        }
    }
    return {};
}

result<document> read_copy(json::value const &value) {
    BOOST_LEAF_AUTO(reader, json_reader::open(value, "copy", refusal::section_invalid));
    auto const *sections = reader.find("sections");
    auto const *versions = reader.find("versions");
    if(sections == nullptr || versions == nullptr || !versions->is_array() ||
        versions->get_array().size() != section_count) {
        return refuse(refusal::section_invalid, "copy: sections or versions are missing");
    }
    BOOST_LEAF_AUTO(parsed, parse_document(*sections));
    for(std::size_t pos{}; pos < section_count; ++pos) {
        auto const *version = versions->get_array()[pos].if_int64();
        if(version == nullptr || *version < 1) {
            return refuse(refusal::section_invalid, "copy: a version is not a positive number");
        }
        parsed.versions[pos] = static_cast<std::uint64_t>(*version);
    }
    return parsed;
}

std::optional<std::uint64_t> copy_offset(json::value const &copy) {
    auto const *object = copy.if_object();
    auto const *value = object == nullptr ? nullptr : object->if_contains("offset");
    auto const *number = value == nullptr ? nullptr : value->if_int64();
    return number == nullptr || *number < 1 ? std::nullopt : std::optional{static_cast<std::uint64_t>(*number)};
}

std::string_view type_of(json::value const &record) {
    auto const *object = record.if_object();
    auto const *value = object == nullptr ? nullptr : object->if_contains("type");
    return value == nullptr || !value->is_string() ? std::string_view{} : std::string_view{value->get_string()};
}

} // namespace internal

boost::json::value edit_record(document_edit const &edit) {
    boost::json::array lower(edit.lower.begin(), edit.lower.end());
    return boost::json::object{{"type", "edit"}, {"id", edit.record_id}, {"section", name_of(edit.which)},
        {"base", static_cast<std::int64_t>(edit.base_version)}, {"author", edit.author}, {"lower", std::move(lower)},
        {"body", edit.body}};
}

boost::json::value genesis_record(std::string_view const record_id, boost::json::value const &sections) {
    return boost::json::object{{"type", "genesis"}, {"id", record_id}, {"sections", sections}};
}

result<document> apply_edit(document const &current, document_edit const &edit) {
    auto const pos = static_cast<std::size_t>(edit.which);
    auto const &owners = current.owners[pos];
    if(std::find(owners.begin(), owners.end(), edit.author) == owners.end()) {
        return refuse(refusal::owner_required, "section " + std::string{name_of(edit.which)});
    }
    if(edit.base_version != current.versions[pos]) {
        return refuse(refusal::section_stale,
            "section " + std::string{name_of(edit.which)} + " is at version " + std::to_string(current.versions[pos]) +
                ", edit was made against " + std::to_string(edit.base_version));
    }
    auto next = current;
    BOOST_LEAF_CHECK(parse_section(next, edit.which, edit.body));
    BOOST_LEAF_CHECK(check_document(next));
    BOOST_LEAF_CHECK(internal::check_team_quotas(current, next, edit.lower));
    ++next.versions[pos];
    return next;
}

bool document_fold::apply(std::uint64_t const offset, boost::json::value const &record) {
    auto const type = internal::type_of(record);
    if(type == "snapshot") {
        snapshot_offset_ = std::max(snapshot_offset_, offset);
    }
    if(offset <= offset_) {
        return false;
    }
    if(offset == offset_ + 1u) {
        auto const changed = apply_typed(record);
        offset_ = offset;
        return apply_pending_records() || changed;
    }
    auto const adopted = type == "snapshot" && adopt(record);
    if(offset > offset_ && pending_records_.size() < internal::max_pending_records) {
        pending_records_.emplace(offset, record);
    }
    return apply_pending_records() || adopted;
}

bool document_fold::apply_pending_records() {
    auto changed = false;
    while(!pending_records_.empty() && pending_records_.begin()->first <= offset_ + 1u) {
        auto const next = pending_records_.extract(pending_records_.begin());
        if(next.key() > offset_) {
            changed = apply_typed(next.mapped()) || changed;
            offset_ = next.key();
        }
    }
    return changed;
}

bool document_fold::apply_typed(boost::json::value const &record) {
    auto const type = internal::type_of(record);
    if(type == "genesis") {
        return current_ == nullptr && apply_genesis(record);
    }
    if(type != "edit" || current_ == nullptr) {
        return false;
    }
    std::string record_id;
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_AUTO(edit, internal::parse_edit(record));
        record_id = edit.record_id;
        BOOST_LEAF_AUTO(next, apply_edit(*current_, edit));
        current_ = std::make_shared<document const>(std::move(next));
        return {};
    });
    if(!record_id.empty()) {
        record_result(record_id, {refused});
    }
    return !refused;
}

bool document_fold::apply_genesis(boost::json::value const &record) {
    auto const *sections = record.get_object().if_contains("sections");
    if(sections == nullptr) {
        return false;
    }
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_AUTO(first, parse_document(*sections));
        current_ = std::make_shared<document const>(std::move(first));
        return {};
    });
    return !refused;
}

bool document_fold::adopt(boost::json::value const &copy) {
    auto const offset = internal::copy_offset(copy);
    if(!offset || (current_ != nullptr && *offset <= offset_)) {
        return false;
    }
    auto const refused = problem_of([&]() -> result<void> {
        BOOST_LEAF_AUTO(next, internal::read_copy(copy));
        current_ = std::make_shared<document const>(std::move(next));
        return {};
    });
    if(refused) {
        return false;
    }
    offset_ = *offset;
    apply_pending_records();
    return true;
}

boost::json::value document_fold::copy() const {
    boost::json::object sections;
    boost::json::array versions;
    for(std::size_t pos{}; pos < section_count; ++pos) {
        sections.emplace(name_of(static_cast<section>(pos)), current_->bodies[pos]);
        versions.emplace_back(static_cast<std::int64_t>(current_->versions[pos]));
    }
    return boost::json::object{{"offset", static_cast<std::int64_t>(offset_)}, {"sections", std::move(sections)},
        {"versions", std::move(versions)}};
}

boost::json::value document_fold::snapshot_record() const {
    auto record = copy();
    record.get_object().emplace("type", "snapshot");
    return record;
}

std::shared_ptr<document const> const &document_fold::current() const noexcept {
    return current_;
}

std::uint64_t document_fold::offset() const noexcept {
    return offset_;
}

std::uint64_t document_fold::snapshot_offset() const noexcept {
    return snapshot_offset_;
}

std::optional<edit_result> document_fold::edit_result_of(std::string const &record_id) const {
    auto const found = edit_results_.find(record_id);
    return found == edit_results_.end() ? std::nullopt : std::optional{found->second};
}

void document_fold::record_result(std::string const &record_id, edit_result value) {
    if(!edit_results_.emplace(record_id, std::move(value)).second) {
        return;
    }
    edit_result_order_.push_back(record_id);
    if(edit_result_order_.size() > internal::max_edit_results) {
        edit_results_.erase(edit_result_order_.front());
        edit_result_order_.pop_front();
    }
}

} // namespace kingcuplink
