#include "mustardrouter/Sessions/session_token.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace mustardrouter
{

namespace
{

constexpr char tokenVersion = 1;
constexpr std::size_t signatureBytes = 16;
constexpr std::size_t maxGroupNameBytes = 255;

std::string sign(std::string_view body, std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(body.data()),
         body.size(),
         digest.data(),
         &length);
    return {reinterpret_cast<const char *>(digest.data()), signatureBytes};
}

void appendNumber(std::string &out, std::uint64_t value)
{
    constexpr unsigned payloadBits = 7;
    constexpr std::uint64_t payloadMask = 0x7f;
    while (value > payloadMask) {
        out.push_back(static_cast<char>((value & payloadMask) | 0x80U));
        value >>= payloadBits;
    }
    out.push_back(static_cast<char>(value));
}

/// Reads the fields of a token's body; after one read has failed, all further ones are invalid.
struct body_reader {
    std::string_view remaining;
    bool failed = false;

    std::uint64_t readNumber()
    {
        constexpr unsigned payloadBits = 7;
        constexpr unsigned maxShift = 63;
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift <= maxShift; shift += payloadBits) {
            if (remaining.empty()) {
                break;
            }
            const auto byte = static_cast<unsigned char>(remaining.front());
            remaining.remove_prefix(1);
            value |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
            if ((byte & 0x80U) == 0) {
                return value;
            }
        }
        failed = true;
        return 0;
    }

    std::string readText()
    {
        const std::uint64_t length = readNumber();
        if (failed || length > maxGroupNameBytes || length > remaining.size()) {
            failed = true;
            return {};
        }
        std::string value(remaining.substr(0, length));
        remaining.remove_prefix(length);
        return value;
    }
};

std::string toBase64Url(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    for (char &character : text) {
        if (character == '+') {
            character = '-';
        } else if (character == '/') {
            character = '_';
        }
    }
    return text;
}

std::optional<std::string> fromBase64Url(std::string_view token)
{
    if (token.size() % 4 != 0) {
        return std::nullopt;
    }
    std::string text(token);
    std::size_t padding = 0;
    for (char &character : text) {
        if (character == '-') {
            character = '+';
        } else if (character == '_') {
            character = '/';
        } else if (character == '=') {
            ++padding;
        }
    }
    std::string bytes(text.size(), '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0 || padding > 2) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    // The decoder ignores spaces and unused trailing bits; only the canonical encoding is accepted.
    if (toBase64Url(bytes) != token) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace

std::string encodeToken(const session_floors_by_group &floors, std::string_view key)
{
    std::string body(1, tokenVersion);
    for (const auto &[group, entry] : floors) {
        appendNumber(body, group.value().size());
        body += group.value();
        appendNumber(body, entry.term.value());
        appendNumber(body, entry.position.value());
    }
    return toBase64Url(body + sign(body, key));
}

std::variant<session_floors_by_group, failure> decodeToken(std::string_view token, std::string_view key)
{
    session_floors_by_group floors;
    if (token.empty()) {
        return floors;
    }
    const std::optional<std::string> bytes = fromBase64Url(token);
    if (!bytes || bytes->size() < signatureBytes + 1) {
        return failure::badSessionToken;
    }
    const std::string_view all(*bytes);
    const std::string_view body = all.substr(0, all.size() - signatureBytes);
    const std::string_view signature = all.substr(body.size());
    const std::string expected = sign(body, key);
    if (CRYPTO_memcmp(expected.data(), signature.data(), signatureBytes) != 0 || body.front() != tokenVersion) {
        return failure::badSessionToken;
    }
    body_reader reader{body.substr(1)};
    while (!reader.remaining.empty()) {
        const group_name group(reader.readText());
        const term_number term(reader.readNumber());
        const log_position position(reader.readNumber());
        if (reader.failed) {
            return failure::badSessionToken;
        }
        raiseFloor(floors, group, log_entry{term, position});
    }
    return floors;
}

void raiseFloor(session_floors_by_group &floors, const group_name &group, const log_entry &entry)
{
    log_entry &floor = floors[group];
    floor = std::max(floor, entry);
}

} // namespace mustardrouter
