// Frames between daemons and how their authenticity is proved.
//
// Contents
//   [1] Handshake       both sides prove that they hold the fleet's secret
//   [2] Frames          4 bytes of length, a MessagePack payload, 16 bytes of tag
//
// Handshake: the caller sends its name and a nonce; the listener answers with its name, a nonce of its own and a
// proof over both nonces; the caller answers with its proof. Each direction then has a key of its own, and the tag of
// a frame covers the frame's position in the stream, so that a repeated, lost or reordered frame fails the check.
//
// Pure; a PeerCipher belongs to one thread.
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

// The proof that `side` holds `secret`, over all that both sides have sent.
std::string peerProof(std::string_view secret, const PeerHandshake&, PeerSide side);

// ---- [2] Frames --------------------------------------------------------------------------------

constexpr size_t peerLengthBytes = 4;
constexpr size_t peerTagBytes = 16;
constexpr size_t maxPeerFrameBytes = 8 * 1024 * 1024; // bytes of payload and tag

// Seals frames of one direction and opens those of the other. Positions are counted here.
class PeerFrameCodec {
public:
    PeerFrameCodec(std::string_view secret, const PeerHandshake&, PeerSide ownSide);

    // A whole frame with its length.
    std::string encode(const nlohmann::json& message);

    // The message of a frame without its length, or nothing if the tag is wrong or the payload malformed.
    std::optional<nlohmann::json> decode(std::string_view payloadAndTag);

private:
    std::string computeTag(const std::string& key, uint64_t position, std::string_view payload) const;

    std::string m_sendKey;
    std::string m_receiveKey;
    uint64_t m_sendPosition = 0;
    uint64_t m_receivePosition = 0;
};

std::string peerLengthEncode(size_t length);
size_t peerLengthDecode(std::string_view bytes); // of peerLengthBytes bytes

} // namespace rattanshunt::net
