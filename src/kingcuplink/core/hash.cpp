#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <kingcuplink/core/hash.hpp>
#include <openssl/sha.h>
#include <xxhash.h>

namespace kingcuplink {

std::string sha256_hex(std::string_view const text) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const *>(text.data()), text.size(), digest.data());
    std::string hex;
    boost::algorithm::hex_lower(digest.begin(), digest.end(), std::back_inserter(hex));
    return hex;
}

std::uint64_t stable_hash(std::string_view const text, std::uint64_t const seed) noexcept {
    return XXH64(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_weight(std::string_view const key, std::string_view const node) noexcept {
    return stable_hash(node, stable_hash(key));
}

} // namespace kingcuplink
