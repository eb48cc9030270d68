#include "base/Text.h"

#include <charconv>
#include <cstring>

#include <boost/asio/ip/address.hpp>
#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>
#include <zlib.h>

namespace rattanshunt::base {

namespace {
    constexpr size_t maxResourceNameLength = 63;
    constexpr uint64_t maxDecompressedBytes
        = 64ull * 1024 * 1024; // no daemon sends more; bounds the memory that a forged length can claim

    const unsigned char* bytesOf(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

    size_t utf8SequenceLength(unsigned char lead)
    {
        if (lead < 0x80)
            return 1;
        if (lead >= 0xc2 && lead <= 0xdf)
            return 2;
        if (lead >= 0xe0 && lead <= 0xef)
            return 3;
        if (lead >= 0xf0 && lead <= 0xf4)
            return 4;
        return 0;
    }

    // False if the first two bytes start an overlong form, a surrogate or a value above U+10FFFF.
    bool isUtf8SecondByte(unsigned char lead, unsigned char second)
    {
        if (lead == 0xe0)
            return second >= 0xa0;
        if (lead == 0xed)
            return second <= 0x9f;
        if (lead == 0xf0)
            return second >= 0x90;
        if (lead == 0xf4)
            return second <= 0x8f;
        return true;
    }
} // namespace

std::string hexEncode(std::string_view bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (unsigned char c : bytes) {
        text += digits[c >> 4];
        text += digits[c & 15];
    }
    return text;
}

std::string base64Encode(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    int length = EVP_EncodeBlock(
        reinterpret_cast<unsigned char*>(text.data()), bytesOf(bytes), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(length));
    return text;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    if (text.size() % 4)
        return std::nullopt;
    if (text.empty())
        return std::string();
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    int length
        = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), bytesOf(text), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    size_t padding = text.ends_with("==") ? 2 : text.ends_with('=') ? 1 : 0;
    bytes.resize(static_cast<size_t>(length) - padding);
    return bytes;
}

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string packed(sizeof(uint64_t) + size, '\0');
    uint64_t length = bytes.size();
    std::memcpy(packed.data(), &length, sizeof(length));
    compress2(
        reinterpret_cast<Bytef*>(packed.data() + sizeof(length)), &size, bytesOf(bytes), bytes.size(), Z_BEST_SPEED);
    packed.resize(sizeof(length) + size);
    return packed;
}

std::optional<std::string> decompress(std::string_view bytes)
{
    uint64_t length = 0;
    if (bytes.size() < sizeof(length))
        return std::nullopt;
    std::memcpy(&length, bytes.data(), sizeof(length));
    if (length > maxDecompressedBytes)
        return std::nullopt;
    std::string text(length, '\0');
    uLongf size = length;
    int status = uncompress(reinterpret_cast<Bytef*>(text.data()), &size, bytesOf(bytes.substr(sizeof(length))),
        bytes.size() - sizeof(length));
    if (status != Z_OK || size != length)
        return std::nullopt;
    return text;
}

bool isValidUtf8(std::string_view text)
{
    const unsigned char* bytes = bytesOf(text);
    size_t at = 0;
    while (at < text.size()) {
        size_t length = utf8SequenceLength(bytes[at]);
        if (!length || at + length > text.size())
            return false;
        for (size_t i = 1; i < length; ++i) {
            if ((bytes[at + i] & 0xc0) != 0x80)
                return false;
        }
        if (length > 1 && !isUtf8SecondByte(bytes[at], bytes[at + 1]))
            return false;
        at += length;
    }
    return true;
}

std::string sha256(std::string_view bytes)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(bytesOf(bytes), bytes.size(), reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(bytes), bytes.size(),
        reinterpret_cast<unsigned char*>(digest.data()), &length);
    return digest;
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && !CRYPTO_memcmp(a.data(), b.data(), a.size());
}

std::string randomBytes(size_t count)
{
    std::string bytes(count, '\0');
    RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count));
    return bytes;
}

std::string randomId()
{
    // Each thread hashes a counter with a random seed instead of reading random bytes each time. Identifiers must be
    // unique, not secret.
    thread_local std::string seed = randomBytes(16);
    thread_local uint64_t count = 0;
    return fmt::format("{:016x}", stableHash(seed, ++count));
}

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

bool isResourceName(std::string_view text)
{
    if (text.empty() || text.size() > maxResourceNameLength)
        return false;
    auto isAlphanumeric = [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); };
    if (!isAlphanumeric(text.front()))
        return false;
    for (char c : text) {
        if (!isAlphanumeric(c) && c != '-' && c != '_' && c != '.')
            return false;
    }
    return true;
}

std::optional<Address> parseAddress(std::string_view text)
{
    size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    std::string_view digits = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    else if (host.find(':') != std::string_view::npos)
        return std::nullopt;
    Address address;
    address.ip = std::string(host);
    boost::system::error_code error;
    boost::asio::ip::make_address(address.ip, error);
    if (error)
        return std::nullopt;
    auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (code != std::errc() || end != digits.data() + digits.size() || digits.empty())
        return std::nullopt;
    return address;
}

std::string formatAddress(const Address& address)
{
    if (address.ip.find(':') != std::string::npos)
        return fmt::format("[{}]:{}", address.ip, address.port);
    return fmt::format("{}:{}", address.ip, address.port);
}

std::vector<std::string> splitText(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        size_t at = text.find(separator);
        parts.emplace_back(text.substr(0, at));
        if (at == std::string_view::npos)
            break;
        text.remove_prefix(at + 1);
    }
    return parts;
}

} // namespace rattanshunt::base
