#include "net/PeerFrames.h"

#include "base/Json.h"
#include "base/Text.h"

namespace rattanshunt::net {

using nlohmann::json;

namespace {
    // Each part follows its length, so that two different handshakes never have the same transcript.
    std::string transcript(const PeerHandshake& handshake)
    {
        std::string text = "rattanshunt peer 1";
        for (const std::string* part :
            { &handshake.callerName, &handshake.callerNonce, &handshake.listenerName, &handshake.listenerNonce }) {
            text += peerLengthEncode(part->size());
            text += *part;
        }
        return text;
    }

    std::string deriveKey(std::string_view secret, const PeerHandshake& handshake, std::string_view purpose)
    {
        return base::hmacSha256(secret, std::string(purpose) + transcript(handshake));
    }
}

std::string peerProof(std::string_view secret, const PeerHandshake& handshake, PeerSide side)
{
    return deriveKey(secret, handshake, side == PeerSide::Caller ? "caller proof" : "listener proof");
}

PeerFrameCodec::PeerFrameCodec(std::string_view secret, const PeerHandshake& handshake, PeerSide ownSide)
    : m_sendKey(deriveKey(secret, handshake, ownSide == PeerSide::Caller ? "caller key" : "listener key"))
    , m_receiveKey(deriveKey(secret, handshake, ownSide == PeerSide::Caller ? "listener key" : "caller key"))
{
}

std::string PeerFrameCodec::computeTag(const std::string& key, uint64_t position, std::string_view payload) const
{
    std::string text = peerLengthEncode(position >> 32) + peerLengthEncode(position & 0xffffffff);
    text += payload;
    return base::hmacSha256(key, text).substr(0, peerTagBytes);
}

std::string PeerFrameCodec::encode(const json& message)
{
    std::string payload;
    json::to_msgpack(message, payload);
    std::string frame = peerLengthEncode(payload.size() + peerTagBytes);
    frame += payload;
    frame += computeTag(m_sendKey, m_sendPosition++, payload);
    return frame;
}

std::optional<json> PeerFrameCodec::decode(std::string_view payloadAndTag)
{
    if (payloadAndTag.size() < peerTagBytes)
        return std::nullopt;
    std::string_view payload = payloadAndTag.substr(0, payloadAndTag.size() - peerTagBytes);
    std::string_view receivedTag = payloadAndTag.substr(payload.size());
    if (!base::equalConstantTime(receivedTag, computeTag(m_receiveKey, m_receivePosition, payload)))
        return std::nullopt;
    ++m_receivePosition;
    json message = base::jsonTryParseMessagePack(payload);
    if (message.is_discarded())
        return std::nullopt;
    return message;
}

std::string peerLengthEncode(size_t length)
{
    std::string bytes(peerLengthBytes, '\0');
    for (size_t i = 0; i < peerLengthBytes; ++i)
        bytes[i] = static_cast<char>((length >> (8 * (peerLengthBytes - 1 - i))) & 0xff);
    return bytes;
}

size_t peerLengthDecode(std::string_view bytes)
{
    size_t length = 0;
    for (unsigned char c : bytes.substr(0, peerLengthBytes))
        length = length << 8 | c;
    return length;
}

} // namespace rattanshunt::net
