#include "net/PeerConnection.h"
#include "base/Json.h"

namespace rattanshunt::net {

bool PeerConnection::handshakeAsCaller(const base::Address& address)
{
    CloseTimer timer(*this, m_options.connectTimeout);
    ErrorCode invalid;
    Tcp::endpoint endpoint(asio::ip::make_address(address.ip, invalid), address.port);
    if (invalid || awaitIo([&](auto handler) { m_socket.async_connect(endpoint, std::move(handler)); }).error)
        return false;
    setNoDelay();
    PeerHandshake handshake;
    handshake.callerName = m_options.name;
    handshake.callerNonce = base::randomBytes(peerNonceBytes);
    if (!writeHandshakeMessage({ { "name", handshake.callerName }, { "nonce", binary(handshake.callerNonce) } }))
        return false;
    json answer = readHandshakeMessage();
    handshake.listenerName = stringField(answer, "name");
    handshake.listenerNonce = stringField(answer, "nonce");
    if (!base::equalConstantTime(
            stringField(answer, "proof"), peerProof(m_options.secret, handshake, PeerSide::Listener)))
        return rejectHandshake("listener");
    if (!writeHandshakeMessage({ { "proof", binary(peerProof(m_options.secret, handshake, PeerSide::Caller)) } }))
        return false;
    finishHandshake(handshake, PeerSide::Caller);
    return true;
}

bool PeerConnection::handshakeAsListener()
{
    CloseTimer timer(*this, m_options.connectTimeout);
    setNoDelay();
    json hello = readHandshakeMessage();
    PeerHandshake handshake;
    handshake.callerName = stringField(hello, "name");
    handshake.callerNonce = stringField(hello, "nonce");
    if (handshake.callerNonce.size() != peerNonceBytes || !base::isResourceName(handshake.callerName))
        return rejectHandshake("hello");
    handshake.listenerName = m_options.name;
    handshake.listenerNonce = base::randomBytes(peerNonceBytes);
    json answer = { { "name", handshake.listenerName }, { "nonce", binary(handshake.listenerNonce) },
        { "proof", binary(peerProof(m_options.secret, handshake, PeerSide::Listener)) } };
    if (!writeHandshakeMessage(answer))
        return false;
    json last = readHandshakeMessage();
    if (!base::equalConstantTime(stringField(last, "proof"), peerProof(m_options.secret, handshake, PeerSide::Caller)))
        return rejectHandshake("caller");
    finishHandshake(handshake, PeerSide::Listener);
    return true;
}

void PeerConnection::readLoop(const PeerHandler& handler)
{
    auto self = shared_from_this();
    while (auto message = readMessage())
        dispatch(std::move(*message), handler);
    close();
}

std::optional<json> PeerConnection::readMessage()
{
    if (!isOpen())
        return std::nullopt;
    auto payload = readFrame(maxPeerFrameBytes);
    if (!payload)
        return std::nullopt;
    auto message = m_codec->decode(*payload);
    if (!message || !message->is_array() || message->empty()) {
        base::counterAdd("peer_frames_refused_total");
        base::logEvent(base::LogLevel::Warning, "peer.frame_refused", { { "peer", m_peerName } });
        return std::nullopt;
    }
    m_lastReceivedAt = base::Clock::now();
    return message;
}

PeerResult PeerConnection::call(const std::string& method, const json& body, base::TimePoint deadline)
{
    auto self = shared_from_this();
    uint64_t id = ++m_lastCallId;
    auto pending = std::make_shared<PendingCall>();
    pending->result.error = PeerError::OutcomeUnknown;
    m_pendingCalls[id] = pending;
    m_lastUsedAt = base::Clock::now();
    if (m_pendingCalls.size() == 1)
        m_lastReceivedAt = m_lastUsedAt;
    enqueue(json::array({ "q", id, method, body }));
    pending->done.waitUntil(deadline);
    m_pendingCalls.erase(id);
    return std::move(pending->result);
}

void PeerConnection::maintain(base::TimePoint now)
{
    if (m_pendingCalls.empty()) {
        if (m_isCaller && now - m_lastUsedAt > m_options.idleTimeout)
            close();
        return;
    }
    if (now - m_lastReceivedAt > m_options.silenceTimeout) {
        base::counterAdd("peer_links_silent_total");
        base::logEvent(base::LogLevel::Warning, "peer.silent", { { "peer", m_peerName } });
        close();
        return;
    }
    enqueue(json::array({ "p" }));
}

void PeerConnection::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    ErrorCode ignored;
    m_socket.close(ignored);
    m_writerWake.set();
    for (auto& [id, pending] : m_pendingCalls)
        pending->done.set();
}

void PeerConnection::startWriter()
{
    m_loop.spawn([self = shared_from_this()] { self->writeLoop(); });
}

std::string PeerConnection::stringField(const json& object, const char* field)
{
    if (!object.is_object() || !object.contains(field))
        return {};
    const json& value = object[field];
    if (value.is_binary())
        return { value.get_binary().begin(), value.get_binary().end() };
    return value.is_string() ? value.get<std::string>() : std::string();
}

bool PeerConnection::rejectHandshake(const char* part)
{
    base::counterAdd("peer_handshakes_refused_total");
    base::logEvent(base::LogLevel::Warning, "peer.handshake_refused", { { "part", part } });
    close();
    return false;
}

void PeerConnection::setNoDelay()
{
    ErrorCode ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
}

void PeerConnection::finishHandshake(const PeerHandshake& handshake, PeerSide ownSide)
{
    m_isCaller = ownSide == PeerSide::Caller;
    m_peerName = m_isCaller ? handshake.listenerName : handshake.callerName;
    m_codec.emplace(m_options.secret, handshake, ownSide);
    m_lastReceivedAt = m_lastUsedAt = base::Clock::now();
}

std::optional<std::string> PeerConnection::readFrame(size_t maxBytes)
{
    std::string length(peerLengthBytes, '\0');
    if (awaitIo([&](auto handler) { asio::async_read(m_socket, asio::buffer(length), std::move(handler)); }).error)
        return std::nullopt;
    size_t size = peerLengthDecode(length);
    if (size > maxBytes) {
        base::counterAdd("peer_frames_refused_total");
        return std::nullopt;
    }
    std::string payload(size, '\0');
    if (awaitIo([&](auto handler) { asio::async_read(m_socket, asio::buffer(payload), std::move(handler)); }).error)
        return std::nullopt;
    m_totals.bytesReceived += peerLengthBytes + size;
    return payload;
}

json PeerConnection::readHandshakeMessage()
{
    auto payload = readFrame(maxHandshakeFrameBytes);
    if (!payload)
        return {};
    json message = base::jsonTryParseMessagePack(*payload);
    return message.is_discarded() ? json() : message;
}

bool PeerConnection::writeHandshakeMessage(const json& message)
{
    std::string payload;
    json::to_msgpack(message, payload);
    return writeBytes(peerLengthEncode(payload.size()) + payload);
}

bool PeerConnection::writeBytes(const std::string& bytes)
{
    m_totals.bytesSent += bytes.size();
    return !awaitIo([&](auto handler) { asio::async_write(m_socket, asio::buffer(bytes), std::move(handler)); }).error;
}

void PeerConnection::enqueue(const json& message)
{
    m_outgoing += m_codec->encode(message);
    m_writerWake.set();
}

void PeerConnection::writeLoop()
{
    while (!m_isClosed) {
        m_writerWake.waitUntil();
        m_writerWake.reset();
        while (!m_outgoing.empty() && !m_isClosed) {
            std::string batch = std::move(m_outgoing);
            m_outgoing.clear();
            if (!writeBytes(batch))
                close();
        }
    }
}

void PeerConnection::dispatch(json message, const PeerHandler& handler)
{
    const json& messageKind = message[0];
    if (messageKind == "q" && message.size() == 4 && message[1].is_number_unsigned() && message[2].is_string()) {
        m_loop.spawn(
            [self = shared_from_this(), handler, message = std::move(message)] { self->answerCall(handler, message); });
        return;
    }
    if (messageKind == "p")
        enqueue(json::array({ "o" }));
    if (messageKind != "a" || message.size() != 4 || !message[1].is_number_unsigned())
        return;
    auto found = m_pendingCalls.find(message[1].get<uint64_t>());
    // The call has already reached its deadline.
    if (found == m_pendingCalls.end())
        return;
    found->second->result = { message[2] == true ? PeerError::None : PeerError::Refused, std::move(message[3]) };
    found->second->done.set();
}

void PeerConnection::answerCall(const PeerHandler& handler, const json& message)
{
    bool isAccepted = true;
    json body;
    try {
        body = handler(m_peerName, message[2].get_ref<const std::string&>(), message[3]);
    } catch (const json::exception&) {
        isAccepted = false;
        base::counterAdd("peer_calls_refused_total");
    }
    if (body.is_discarded())
        isAccepted = false;
    if (tapIsOn())
        tapEmit({ "peer " + message[2].get<std::string>(), message[3].dump(), body.is_discarded() ? "" : body.dump() });
    if (!m_isClosed)
        enqueue(json::array({ "a", message[1], isAccepted, isAccepted ? std::move(body) : json() }));
}

} // namespace rattanshunt::net
