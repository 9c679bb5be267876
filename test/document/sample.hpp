#ifndef KINGCUPLINK_TEST_DOCUMENT_SAMPLE_HPP_INCLUDED
#define KINGCUPLINK_TEST_DOCUMENT_SAMPLE_HPP_INCLUDED

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <kingcuplink/core/hash.hpp>
#include <kingcuplink/document/document_fold.hpp>
#include <string>

namespace kingcuplink::test {

/*! Returns the sections of a small valid document. */
inline boost::json::value sample_sections() {
    auto const operators = "[\"" + sha256_hex("operator") + "\"]";
    auto const text =
        R"({"owners": {"owners": @, "teams": @, "keys": @, "failure_domains": @, "queues": @, "policies": @},
        "teams": [{"name": "red", "share": 2, "ceiling": {"cores": 100, "memory_gib": 400, "accelerators": 8}, "request_ceiling": 30},
                  {"name": "blue", "share": 1, "ceiling": {"cores": 60, "memory_gib": 200}, "request_ceiling": 30}],
        "keys": [{"sha256": "KEY", "team": "red"}],
        "failure_domains": [
            {"name": "a", "entry_vms": [{"name": "a1", "http": "127.0.0.1:1", "peer": "127.0.0.1:2"}],
             "workers": [{"name": "aw1", "address": "127.0.0.1:3", "rack": "r1", "size": {"cores": 64, "memory_gib": 256, "accelerators": 8}}],
             "runners": [{"name": "ar1", "address": "127.0.0.1:4"}]},
            {"name": "b", "entry_vms": [{"name": "b1", "http": "127.0.0.1:5", "peer": "127.0.0.1:6"}]}],
        "queues": [{"name": "keyed", "when_cut_off": "hold"}, {"name": "open", "open": true, "team": "blue"}],
        "policies": {"batch": {"preemptible": true}}})";
    std::string filled{text};
    for(auto pos = filled.find('@'); pos != std::string::npos; pos = filled.find('@')) {
        filled.replace(pos, 1u, operators);
    }
    filled.replace(filled.find("KEY"), 3u, sha256_hex("key-red"));
    return boost::json::parse(filled);
}

/*! Returns the document of sample_sections(). */
inline document sample_document() {
    problem failure;
    return *value_of([]() { return parse_document(sample_sections()); }, failure);
}

/*! Returns an edit by the operator that owns all sections. */
inline document_edit sample_edit(
    std::string record_id, section const which, std::uint64_t const base, boost::json::value body) {
    return {.record_id = std::move(record_id),
        .which = which,
        .base_version = base,
        .author = sha256_hex("operator"),
        .lower = {},
        .body = std::move(body)};
}

} // namespace kingcuplink::test

#endif
