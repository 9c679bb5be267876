#ifndef KINGCUPLINK_DAEMON_SETTINGS_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_SETTINGS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <kingcuplink/core/time.hpp>
#include <kingcuplink/site/site_settings.hpp>
#include <optional>
#include <string>

namespace kingcuplink {

/*! What a daemon finds around it. */
enum class platform_kind : std::uint8_t {
    /*! Workers, runners, log and VM list that speak the product's own interfaces. */
    endpoints,
    /*! A site whose store keeps all lasting state, met by the adapter. */
    store
};

/*! Settings of one daemon. */
struct daemon_settings {
    platform_kind platform{platform_kind::endpoints};
    /*! Set for a platform with a store; what follows is then not used. */
    site_settings site{};
    std::string name;
    std::string failure_domain;
    std::string http_address;
    std::string peer_address;
    std::string platform_address;
    std::size_t traffic_threads{2};
    /*! Time between readiness going false and the end of accepting. */
    millis drain_grace{5'000};
    /*! Longest time that requests under way are waited for. */
    millis drain_limit{60'000};
    /*! True if /v1/faults may be used. */
    bool allow_faults{};
};

/*!
 * Reads settings from flags, and from environment variables for flags that are
 * not given: KINGCUPLINK_ and the flag's name in capitals.
 * @param error Receives a message that names the flag, its value, what is allowed and the remedy.
 * @return The settings, or nothing if one is wrong.
 */
[[nodiscard]] std::optional<daemon_settings> read_settings(int argc, char **argv, std::string &error);

} // namespace kingcuplink

#endif
