// Small text helpers: encodings, digests, identifiers, addresses.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanshunt::base {

// ---- Encodings -------------------------------------------------------------------------------
std::string hexEncode(std::string_view bytes);                  // lower case
std::string base64Encode(std::string_view bytes);               // with padding
std::optional<std::string> base64Decode(std::string_view text); // nothing if `text` is malformed
std::string compress(std::string_view bytes);                   // by zlib, with the length before it
std::optional<std::string> decompress(std::string_view bytes);  // nothing if malformed or over 64 MiB
bool isValidUtf8(std::string_view text);

// ---- Digests ---------------------------------------------------------------------------------
std::string sha256(std::string_view bytes);                           // 32 raw bytes
std::string hmacSha256(std::string_view key, std::string_view bytes); // 32 raw bytes
bool equalConstantTime(std::string_view a, std::string_view b);       // time depends on the lengths only

// ---- Identifiers -----------------------------------------------------------------------------
std::string randomBytes(size_t count); // from the system's generator
std::string randomId();                // 16 hexadecimal digits

// Hash that is the same in all processes and versions.
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

// True for names of resources: 1 to 63 characters of a-z, 0-9, '-', '_' and '.', starting with a letter or digit.
bool isResourceName(std::string_view text);

// ---- Addresses -------------------------------------------------------------------------------
struct Address {
    std::string ip;
    uint16_t port = 0;

    bool operator==(const Address&) const = default;
};

// Parses "IP:PORT" with an IPv4 number or a bracketed IPv6 number. Nothing if malformed; host names are refused.
std::optional<Address> parseAddress(std::string_view text);
std::string formatAddress(const Address&);

std::vector<std::string> splitText(std::string_view text, char separator); // empty text gives no parts

} // namespace rattanshunt::base
