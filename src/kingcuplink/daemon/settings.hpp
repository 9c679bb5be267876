#ifndef KINGCUPLINK_DAEMON_SETTINGS_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_SETTINGS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/site/site_settings.hpp>
#include <optional>
#include <string>

namespace kingcuplink {

/*! Kind of platform that a daemon runs on. */
enum class platform_kind : std::uint8_t {
    /*! Workers, runners, log and VM list that implement the interfaces of Kingcuplink. */
    endpoints,
    /*! A site with a store for all persistent state, accessed through the adapter. */
    store
};

/*! Settings of one daemon. */
struct daemon_settings {
    platform_kind platform{platform_kind::endpoints};
    /*! Settings for a platform with a store, which replace all members below. */
    site_settings site{};
    std::string name;
    std::string failure_domain;
    std::string http_address;
    std::string peer_address;
    std::string platform_address;
    std::size_t traffic_threads{2};
    /*! Delay between reporting not ready and closing the listener at shutdown. */
    millis drain_grace{5'000};
    /*! Maximum time to wait for active requests at shutdown. */
    millis drain_limit{60'000};
    /*! Whether /v1/faults is served. */
    bool allow_faults{};
};

/*!
 * Reads the settings from command-line flags. A flag that is not given is read from
 * the environment variable KINGCUPLINK_ followed by the name of the flag in capitals.
 * @param error Receives a message with the flag, its value, the allowed values and the remedy.
 * @return The settings, or no value if a setting is invalid.
 */
[[nodiscard]] std::optional<daemon_settings> read_settings(int argc, char **argv, std::string &error);

} // namespace kingcuplink

#endif
