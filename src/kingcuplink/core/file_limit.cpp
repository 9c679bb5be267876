#include <kingcuplink/core/file_limit.hpp>
#include <sys/resource.h>

namespace kingcuplink {

std::uint64_t raise_file_limit() noexcept {
    rlimit limit{};
    if(::getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return 0u;
    }
    auto const before = limit.rlim_cur;
    limit.rlim_cur = limit.rlim_max;
    return ::setrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : before;
}

} // namespace kingcuplink
