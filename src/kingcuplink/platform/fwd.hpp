#ifndef KINGCUPLINK_PLATFORM_FWD_HPP_INCLUDED
#define KINGCUPLINK_PLATFORM_FWD_HPP_INCLUDED

namespace kingcuplink {

class http_client;

class platform_client;

class worker_client;

} // namespace kingcuplink

#endif
