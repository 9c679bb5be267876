#ifndef KINGCUPLINK_CORE_FILE_LIMIT_HPP_INCLUDED
#define KINGCUPLINK_CORE_FILE_LIMIT_HPP_INCLUDED

#include <cstdint>

namespace kingcuplink {

/*!
 * Raises this process's limit of open files, and thus of connections, to the maximum
 * that the system allows. Thread safe.
 * @return The limit in force, or zero if it is unknown.
 */
std::uint64_t raise_file_limit() noexcept;

} // namespace kingcuplink

#endif
