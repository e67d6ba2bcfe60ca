#include "mustardrouter/Workspaces/key_digest.h"

#include <openssl/sha.h>

#include <array>

namespace mustardrouter
{

key_digest digestOf(const api_key &key)
{
    if (key.value().empty()) {
        return {};
    }
    std::array<unsigned char, SHA256_DIGEST_LENGTH> hash{};
    // The prefix makes the digest useless for finding the key in tables of hashes of other systems.
    const std::string text = "mustardrouter key " + key.value();
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), hash.data());
    std::uint64_t digest = 0;
    for (std::size_t index = 0; index < sizeof digest; ++index) {
        digest = (digest << 8U) | hash.at(index);
    }
    return key_digest(digest | 1U);
}

std::string toText(key_digest digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += digits.at((digest.value() >> static_cast<unsigned>(shift)) & 0xfU);
    }
    return text;
}

} // namespace mustardrouter
