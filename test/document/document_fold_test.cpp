#include "sample.hpp"

#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace kingcuplink;
using namespace kingcuplink::test;

namespace {

boost::json::value queues_named(std::string const &name) {
    return boost::json::array{boost::json::object{{"name", name}}};
}

std::string first_queue(document_fold const &fold) {
    return fold.current()->queues.front().name;
}

} // namespace

TEST_CASE("of two concurrent edits of a section one is accepted and the other refused with the reason") {
    document_fold fold;
    CHECK(fold.apply(1u, genesis_record("g", sample_sections())));
    CHECK(fold.apply(2u, edit_record(sample_edit("first", section::queues, 1u, queues_named("x")))));
    CHECK_FALSE(fold.apply(3u, edit_record(sample_edit("second", section::queues, 1u, queues_named("y")))));
    CHECK(first_queue(fold) == "x");
    REQUIRE(fold.edit_result_of("first"));
    CHECK(fold.edit_result_of("first")->is_accepted());
    auto const refused = fold.edit_result_of("second");
    REQUIRE(refused);
    REQUIRE_FALSE(refused->is_accepted());
    CHECK(refused->refused->detail == "section queues is at version 2, edit was made against 1");
    CHECK_FALSE(fold.edit_result_of("third").has_value());
    // An edit of another section does not conflict.
    auto policies = fold.current()->bodies[static_cast<std::size_t>(section::policies)];
    CHECK(fold.apply(4u, edit_record(sample_edit("other", section::policies, 1u, policies))));
}

TEST_CASE("a record that was appended twice is applied once") {
    document_fold fold;
    fold.apply(1u, genesis_record("g", sample_sections()));
    auto const record = edit_record(sample_edit("e", section::queues, 1u, queues_named("x")));
    CHECK(fold.apply(2u, record));
    CHECK_FALSE(fold.apply(3u, record));
    REQUIRE(fold.edit_result_of("e"));
    CHECK(fold.edit_result_of("e")->is_accepted());
    CHECK(fold.current()->versions[static_cast<std::size_t>(section::queues)] == 2u);
}

TEST_CASE("a second genesis is ignored") {
    document_fold fold;
    fold.apply(1u, genesis_record("g", sample_sections()));
    fold.apply(2u, edit_record(sample_edit("e", section::queues, 1u, queues_named("x"))));
    CHECK_FALSE(fold.apply(3u, genesis_record("h", sample_sections())));
    CHECK(first_queue(fold) == "x");
}

TEST_CASE("a genesis after a gap does not create a document") {
    document_fold fold;
    CHECK_FALSE(fold.apply(5u, genesis_record("g", sample_sections())));
    CHECK(fold.current() == nullptr);
}

TEST_CASE("a reader that starts after the retention limit waits for a snapshot and ignores older copies") {
    document_fold writer_fold;
    writer_fold.apply(1u, genesis_record("g", sample_sections()));
    writer_fold.apply(2u, edit_record(sample_edit("e2", section::queues, 1u, queues_named("two"))));
    auto const snapshot = writer_fold.snapshot_record();
    auto const old_copy = writer_fold.copy();
    writer_fold.apply(3u, edit_record(sample_edit("e3", section::queues, 2u, queues_named("three"))));
    auto const last = edit_record(sample_edit("e5", section::queues, 3u, queues_named("five")));

    document_fold late_reader;
    // Records 1 and 2 are no longer retained: record 3 alone cannot be applied.
    CHECK_FALSE(late_reader.apply(3u, edit_record(sample_edit("e3", section::queues, 2u, queues_named("three")))));
    CHECK(late_reader.current() == nullptr);
    CHECK(late_reader.apply(4u, snapshot));
    CHECK(first_queue(late_reader) == "three");
    CHECK(late_reader.apply(5u, last));
    CHECK(first_queue(late_reader) == "five");
    CHECK(late_reader.offset() == 5u);
    // Neither an old snapshot nor a peer's old copy replaces the newer document.
    CHECK_FALSE(late_reader.adopt(old_copy));
    CHECK_FALSE(late_reader.apply(4u, snapshot));
    CHECK(first_queue(late_reader) == "five");

    document_fold with_gap;
    with_gap.apply(1u, genesis_record("g", sample_sections()));
    // Record 2 is missing, so record 5 cannot be evaluated.
    CHECK_FALSE(with_gap.apply(5u, last));
    CHECK(with_gap.offset() == 1u);
    CHECK(with_gap.adopt(late_reader.copy()));
    CHECK(first_queue(with_gap) == "five");
}

TEST_CASE("all readers of a log have the same document, regardless of the offset at which they start") {
    for(std::uint64_t seed{1}; seed <= 50u; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random{seed};
        document_fold writer;
        std::vector<boost::json::value> log{genesis_record("g", sample_sections())};
        writer.apply(1u, log.front());
        std::uint64_t last_snapshot{};
        for(std::uint64_t offset{2}; offset <= 40u; ++offset) {
            auto const version = writer.current()->versions[static_cast<std::size_t>(section::queues)];
            auto const base = random() % 3u == 0u ? version - 1u : version;
            auto const is_snapshot = random() % 5u == 0u;
            log.push_back(is_snapshot ? writer.snapshot_record()
                                      : edit_record(sample_edit("e" + std::to_string(offset), section::queues, base,
                                            queues_named("q" + std::to_string(offset)))));
            last_snapshot = is_snapshot ? offset : last_snapshot;
            writer.apply(offset, log.back());
        }
        for(std::uint64_t first{1}; first <= last_snapshot; ++first) {
            document_fold reader;
            for(auto offset = first; offset <= log.size(); ++offset) {
                auto const before = reader.offset();
                reader.apply(offset, log[offset - 1u]);
                CHECK(reader.offset() >= before);
            }
            if(reader.current() != nullptr && reader.offset() == writer.offset()) {
                CHECK(reader.copy() == writer.copy());
            }
        }
    }
}
