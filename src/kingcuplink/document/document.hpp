#ifndef KINGCUPLINK_DOCUMENT_DOCUMENT_HPP_INCLUDED
#define KINGCUPLINK_DOCUMENT_DOCUMENT_HPP_INCLUDED

#include <array>
#include <boost/json/value.hpp>
#include <cstdint>
#include <kingcuplink/core/resources.hpp>
#include <kingcuplink/core/result.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kingcuplink {

/*! Sections of the governing document. */
enum class section : std::uint8_t { owners, teams, keys, failure_domains, queues, policies, count };

/*! Number of sections. */
inline constexpr std::size_t section_count = static_cast<std::size_t>(section::count);

/*! Returns the name of a section. */
[[nodiscard]] std::string_view name_of(section which) noexcept;

/*! Returns the section with a name, or nothing. */
[[nodiscard]] std::optional<section> section_of(std::string_view name) noexcept;

/*! Share and ceilings of a team. */
struct team_quota {
    std::string name;
    /*! Weight of the team when capacity is scarce. */
    std::int64_t share{1};
    /*! Maximum resources that tasks of the team may use in the whole fleet. */
    resources ceiling;
    /*! Maximum number of the team's requests that may run concurrently in the whole fleet. */
    std::int64_t request_ceiling{};
};

/*! Key of a team. Only its hash is stored. */
struct team_key {
    std::string sha256;
    std::string team;
    bool withdrawn{};
};

/*! VM that runs a server of this system. */
struct entry_vm {
    std::string name;
    /*! IP address and port for callers and operators. */
    std::string http_address;
    /*! IP address and port for the internal protocol. */
    std::string peer_address;
};

/*! VM that runs tasks. */
struct worker_entry {
    std::string name;
    std::string address;
    std::string rack;
    resources size;
};

/*! VM that runs requests. */
struct runner_entry {
    std::string name;
    std::string address;
    std::int64_t slots{8};
    std::int64_t connections{64};
};

/*! State of a failure domain, set by operators. */
enum class domain_state : std::uint8_t {
    /*! Accepts work. */
    in,
    /*! Accepts no work; its running work is moved. */
    out,
    /*! Permanently down with all its running work; its jobs may start elsewhere. */
    lost
};

/*! Part of the fleet that may fail as a whole. */
struct failure_domain {
    std::string name;
    std::string region;
    domain_state state{domain_state::in};
    std::vector<entry_vm> entry_vms;
    std::vector<worker_entry> workers;
    std::vector<runner_entry> runners;
};

/*! Queue of requests. */
struct request_queue {
    std::string name;
    /*! True if requests without a key are accepted; they are charged to the queue's team. */
    bool open{};
    /*! Team that requests without a key are charged to. */
    std::string team;
    /*! True if requests with a key are refused while the failure domain reaches neither the log nor peers. */
    bool hold_when_cut_off{};
};

/*! Kind of a job. */
enum class job_kind : std::uint8_t { service, batch, gang, count };

/*! Number of job kinds. */
inline constexpr std::size_t job_kind_count = static_cast<std::size_t>(job_kind::count);

/*! Returns the name of a job kind. */
[[nodiscard]] std::string_view name_of(job_kind kind) noexcept;

/*! Returns the job kind with a name, or nothing. */
[[nodiscard]] std::optional<job_kind> job_kind_of(std::string_view name) noexcept;

/*! Scheduling policy of a job kind. */
struct kind_policy {
    /*! True if tasks may be checkpointed and stopped in favour of other tasks. */
    bool preemptible{};
    /*! True if later jobs may start before an earlier job that does not fit. */
    bool backfill{true};
};

/*!
 * The governing document: every section in typed form and as published JSON.
 * Immutable once folded; safe to read from any thread.
 */
struct document {
    std::vector<team_quota> teams;
    std::vector<team_key> keys;
    std::vector<failure_domain> failure_domains;
    std::vector<request_queue> queues;
    std::array<kind_policy, job_kind_count> policies{};
    /*! SHA-256 hashes of the operator keys that may edit each section. */
    std::array<std::vector<std::string>, section_count> owners{};

    std::array<std::uint64_t, section_count> versions{};
    std::array<boost::json::value, section_count> bodies{};
};

/*! Returns the team with a name, or null. */
[[nodiscard]] team_quota const *find_team(document const &value, std::string_view name) noexcept;

/*! Returns the key with a hash, or null. */
[[nodiscard]] team_key const *find_key(document const &value, std::string_view sha256) noexcept;

/*! Returns the queue with a name, or null. */
[[nodiscard]] request_queue const *find_queue(document const &value, std::string_view name) noexcept;

/*! Returns the failure domain with a name, or null. */
[[nodiscard]] failure_domain const *find_domain(document const &value, std::string_view name) noexcept;

/*!
 * Replaces one section.
 * @param value Document to modify; it may be partially modified if the section is refused.
 * @param which Section to replace.
 * @param body New body of the section. The error contains the path of the first invalid field.
 */
[[nodiscard]] result<void> parse_section(document &value, section which, boost::json::value const &body);

/*! Checks constraints across sections: teams of keys and queues exist, names and addresses are unique. */
[[nodiscard]] result<void> check_document(document const &value);

/*! Parses and checks a document: an object with a member for each section. */
[[nodiscard]] result<document> parse_document(boost::json::value const &sections);

/*! Parses an amount of resources: cores or millicores, memory_gib or memory_mib, accelerators. */
[[nodiscard]] result<resources> parse_resources(
    boost::json::value const &value, std::string const &path, refusal reason);

/*! Returns an amount of resources as JSON, in millicores, MiB and number of accelerators. */
[[nodiscard]] boost::json::object to_json(resources const &amount);

/*! Parses the result of to_json(); missing fields are zero. */
[[nodiscard]] resources resources_from_json(boost::json::object const &object);

} // namespace kingcuplink

#endif
