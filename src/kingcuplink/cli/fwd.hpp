#ifndef KINGCUPLINK_CLI_FWD_HPP_INCLUDED
#define KINGCUPLINK_CLI_FWD_HPP_INCLUDED

namespace kingcuplink {

class server_connection;

struct cli_options;

} // namespace kingcuplink

#endif
