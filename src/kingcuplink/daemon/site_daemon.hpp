#ifndef KINGCUPLINK_DAEMON_SITE_DAEMON_HPP_INCLUDED
#define KINGCUPLINK_DAEMON_SITE_DAEMON_HPP_INCLUDED

#include <kingcuplink/site/site_settings.hpp>

namespace kingcuplink {

/*!
 * Runs an entry VM of a site with a store until SIGTERM or SIGINT, then ends the
 * process with exit code 0.
 * @return Exit code of the process if it cannot start.
 */
[[nodiscard]] int run_site_daemon(site_settings const &settings);

} // namespace kingcuplink

#endif
