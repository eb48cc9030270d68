// Helpers for text and bytes: encodings, digests, identifiers, addresses. All functions are safe from any thread.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanshunt::base {

// ---- Encodings -------------------------------------------------------------------------------
std::string hexEncode(std::string_view bytes);                  // lower case
std::string base64Encode(std::string_view bytes);               // standard alphabet, with padding
std::optional<std::string> base64Decode(std::string_view text); // nothing if `text` is malformed
std::string compress(std::string_view bytes);                  // zlib at its fastest level, after the length as 8 bytes
std::optional<std::string> decompress(std::string_view bytes); // nothing if malformed or over 64 MiB of text
bool isValidUtf8(std::string_view text);

// ---- Digests ---------------------------------------------------------------------------------
std::string sha256(std::string_view bytes);                           // 32 raw bytes
std::string hmacSha256(std::string_view key, std::string_view bytes); // 32 raw bytes
bool equalConstantTime(std::string_view a, std::string_view b);       // its time depends on the lengths only

// ---- Identifiers -----------------------------------------------------------------------------
std::string randomBytes(size_t count); // from OpenSSL's cryptographic generator
std::string randomId();                // 16 hexadecimal digits; unique, but not unpredictable

// XXH64; the same in all processes and versions, so that it may be stored and compared between daemons.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

// Whether `text` is a valid resource name: 1 to 63 characters of a-z, 0-9, '-', '_' and '.', starting with a letter or
// digit.
bool isResourceName(std::string_view text);

// ---- Addresses -------------------------------------------------------------------------------
struct Address {
    std::string ip;
    uint16_t port = 0;

    bool operator==(const Address&) const = default;
};

// Parses "IP:PORT" with an IPv4 address or an IPv6 address in brackets. Nothing if malformed; host names are rejected.
std::optional<Address> parseAddress(std::string_view text);
std::string formatAddress(const Address&);

std::vector<std::string> splitText(std::string_view text, char separator); // an empty text has no parts

} // namespace rattanshunt::base
