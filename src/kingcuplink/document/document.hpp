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

/*! Returns the section of a name, or nothing. */
[[nodiscard]] std::optional<section> section_of(std::string_view name) noexcept;

/*! Terms of a team. */
struct team_quota {
    std::string name;
    /*! Weight of the team when the failure domains are full. */
    std::int64_t share{1};
    /*! The most that tasks of the team may take in the whole fleet. */
    resources ceiling;
    /*! The most requests of the team that may run at once in the whole fleet. */
    std::int64_t request_ceiling{};
};

/*! A team's key. Only its hash is known. */
struct team_key {
    std::string sha256;
    std::string team;
    bool withdrawn{};
};

/*! One of the system's own VMs. */
struct entry_vm {
    std::string name;
    /*! IP number and port for callers and operators. */
    std::string http_address;
    /*! IP number and port for the inner protocol. */
    std::string peer_address;
};

/*! A VM that runs tasks. */
struct worker_entry {
    std::string name;
    std::string address;
    std::string rack;
    resources size;
};

/*! A VM that answers requests. */
struct runner_entry {
    std::string name;
    std::string address;
    std::int64_t slots{8};
    std::int64_t connections{64};
};

/*! What operators have decided about a failure domain. */
enum class domain_state : std::uint8_t {
    /*! Takes work. */
    in,
    /*! Takes no work; what runs there is moved. */
    out,
    /*! Is gone with all that ran there; its jobs may start elsewhere. */
    lost
};

/*! A part of the fleet that fails as one. */
struct failure_domain {
    std::string name;
    std::string region;
    domain_state state{domain_state::in};
    std::vector<entry_vm> entry_vms;
    std::vector<worker_entry> workers;
    std::vector<runner_entry> runners;
};

/*! A queue of requests. */
struct request_queue {
    std::string name;
    /*! True if requests need no key; they are charged to the queue's team. */
    bool open{};
    /*! Team that requests without a key are charged to. */
    std::string team;
    /*! True if keyed requests are refused while the failure domain reaches neither log nor peers. */
    bool hold_when_cut_off{};
};

/*! Kinds of jobs. */
enum class job_kind : std::uint8_t { service, batch, gang, count };

/*! Number of kinds of jobs. */
inline constexpr std::size_t job_kind_count = static_cast<std::size_t>(job_kind::count);

/*! Returns the name of a kind. */
[[nodiscard]] std::string_view name_of(job_kind kind) noexcept;

/*! Returns the kind of a name, or nothing. */
[[nodiscard]] std::optional<job_kind> job_kind_of(std::string_view name) noexcept;

/*! Policy for one kind of work. */
struct kind_policy {
    /*! True if tasks may be checkpointed and stopped for others. */
    bool preemptible{};
    /*! True if later jobs may start before an earlier one that does not fit. */
    bool backfill{true};
};

/*!
 * The governing document: every section in typed form, and as it was published.
 * Immutable once folded; safe to read from any thread.
 */
struct document {
    std::vector<team_quota> teams;
    std::vector<team_key> keys;
    std::vector<failure_domain> failure_domains;
    std::vector<request_queue> queues;
    std::array<kind_policy, job_kind_count> policies{};
    /*! Hashes of the operator keys that may edit a section. */
    std::array<std::vector<std::string>, section_count> owners{};

    std::array<std::uint64_t, section_count> versions{};
    std::array<boost::json::value, section_count> bodies{};
};

/*! Returns the team of a name, or null. */
[[nodiscard]] team_quota const *find_team(document const &value, std::string_view name) noexcept;

/*! Returns the key of a hash, or null. */
[[nodiscard]] team_key const *find_key(document const &value, std::string_view sha256) noexcept;

/*! Returns the queue of a name, or null. */
[[nodiscard]] request_queue const *find_queue(document const &value, std::string_view name) noexcept;

/*! Returns the failure domain of a name, or null. */
[[nodiscard]] failure_domain const *find_domain(document const &value, std::string_view name) noexcept;

/*!
 * Replaces one section.
 * @param value Document to change; it may be left changed in part if the section is refused.
 * @param which Section to replace.
 * @param body Its new body. Refused with the path of the first wrong field.
 */
[[nodiscard]] result<void> parse_section(document &value, section which, boost::json::value const &body);

/*! Checks what holds between sections: keys and queues name teams, names and addresses are unique. */
[[nodiscard]] result<void> check_document(document const &value);

/*! Reads a whole document, an object with a member for each section, and checks it. */
[[nodiscard]] result<document> parse_document(boost::json::value const &sections);

/*! Reads an amount of resources: cores, memory_gib, accelerators. */
[[nodiscard]] result<resources> parse_resources(
    boost::json::value const &value, std::string const &path, refusal reason);

/*! Writes an amount of resources in millicores, MiB and pieces. */
[[nodiscard]] boost::json::object to_json(resources const &amount);

/*! Reads what to_json() wrote; missing fields are zero. */
[[nodiscard]] resources resources_from_json(boost::json::object const &object);

} // namespace kingcuplink

#endif
