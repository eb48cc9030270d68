// Authenticated frames for the connections between daemons. Nothing is encrypted.
//
// Contents
//   [1] Handshake       both sides prove that they know the fleet's secret
//   [2] Frames          4 bytes of length, a MessagePack payload, an authentication tag of 16 bytes
//
// Handshake: the caller sends its name and a nonce; the listener responds with its name, its own nonce and a proof over
// both names and nonces; the caller responds with its proof. Each direction then has its own key, and the tag of a
// frame covers the frame's position in the stream, so that a repeated, lost or reordered frame fails the check.
//
// No function performs I/O. Free functions are safe from any thread; a PeerFrameCodec must be used by one thread only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace rattanshunt::net {

// ---- [1] Handshake -----------------------------------------------------------------------------

enum class PeerSide { Caller, Listener };

struct PeerHandshake {
    std::string callerName;
    std::string callerNonce;
    std::string listenerName;
    std::string listenerNonce;
};

constexpr size_t peerNonceBytes = 16;

// HMAC-SHA-256 by which `side` proves that it knows `secret`. Covers both names and both nonces.
std::string peerProof(std::string_view secret, const PeerHandshake&, PeerSide side);

// ---- [2] Frames --------------------------------------------------------------------------------

constexpr size_t peerLengthBytes = 4;
constexpr size_t peerTagBytes = 16;
constexpr size_t maxPeerFrameBytes = 8 * 1024 * 1024; // payload and tag

// Encodes the frames that one side sends and decodes those that it receives, each in the order of the stream, whose
// position is part of the tag.
class PeerFrameCodec {
public:
    PeerFrameCodec(std::string_view secret, const PeerHandshake&, PeerSide ownSide);

    // The next frame to send, with its length prefix.
    std::string encode(const nlohmann::json& message);

    // The message of the next received frame, given without its length prefix. Nothing if the tag is wrong or the
    // payload is malformed.
    std::optional<nlohmann::json> decode(std::string_view payloadAndTag);

private:
    std::string computeTag(const std::string& key, uint64_t position, std::string_view payload) const;

    std::string m_sendKey;
    std::string m_receiveKey;
    uint64_t m_sendPosition = 0;
    uint64_t m_receivePosition = 0;
};

// Big-endian length prefix of peerLengthBytes bytes.
std::string peerLengthEncode(size_t length);
size_t peerLengthDecode(std::string_view bytes);

} // namespace rattanshunt::net
