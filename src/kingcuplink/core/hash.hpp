#ifndef KINGCUPLINK_CORE_HASH_HPP_INCLUDED
#define KINGCUPLINK_CORE_HASH_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <string_view>

namespace kingcuplink {

/*! Returns the SHA-256 of a text as 64 lower case hexadecimal digits. Thread safe. */
[[nodiscard]] std::string sha256_hex(std::string_view text);

/*! Returns a 64 bit hash that is the same in every process. Thread safe. */
[[nodiscard]] std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0u) noexcept;

/*! Returns the rendezvous weight of a node for a key; the node with the highest weight is preferred. Thread safe. */
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view key, std::string_view node) noexcept;

} // namespace kingcuplink

#endif
