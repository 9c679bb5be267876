#ifndef KINGCUPLINK_CORE_FILE_LIMIT_HPP_INCLUDED
#define KINGCUPLINK_CORE_FILE_LIMIT_HPP_INCLUDED

#include <cstdint>

namespace kingcuplink {

/*!
 * Raises this process's limit of open files, and thus of connections, to the most
 * that the system allows it. Thread safe.
 * @return The limit that now holds; zero if it is not known.
 */
std::uint64_t raise_file_limit() noexcept;

} // namespace kingcuplink

#endif
