#include "net/PeerConnection.h"

namespace rattanshunt::net {

bool Link::handshakeAsCaller(const base::Address& address)
{
    CloseTimer timer(*this, m_options.connectTime);
    Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    if (awaitIo([&](auto handler) { m_socket.async_connect(endpoint, std::move(handler)); }).error)
        return false;
    setNoDelay();
    PeerHandshake handshake;
    handshake.callerName = m_options.name;
    handshake.callerNonce = base::randomBytes(peerNonceBytes);
    if (!writePlain({ { "name", handshake.callerName }, { "nonce", binary(handshake.callerNonce) } }))
        return false;
    json answer = readPlain();
    handshake.listenerName = textOf(answer, "name");
    handshake.listenerNonce = textOf(answer, "nonce");
    if (!base::equalConstantTime(textOf(answer, "proof"), peerProof(m_options.secret, handshake, PeerSide::Listener)))
        return refusePeer("listener");
    if (!writePlain({ { "proof", binary(peerProof(m_options.secret, handshake, PeerSide::Caller)) } }))
        return false;
    finishHandshake(handshake, PeerSide::Caller);
    return true;
}

bool Link::handshakeAsListener()
{
    CloseTimer timer(*this, m_options.connectTime);
    setNoDelay();
    json hello = readPlain();
    PeerHandshake handshake;
    handshake.callerName = textOf(hello, "name");
    handshake.callerNonce = textOf(hello, "nonce");
    if (handshake.callerNonce.size() != peerNonceBytes || !base::isResourceName(handshake.callerName))
        return refusePeer("hello");
    handshake.listenerName = m_options.name;
    handshake.listenerNonce = base::randomBytes(peerNonceBytes);
    json answer = { { "name", handshake.listenerName }, { "nonce", binary(handshake.listenerNonce) },
        { "proof", binary(peerProof(m_options.secret, handshake, PeerSide::Listener)) } };
    if (!writePlain(answer))
        return false;
    json last = readPlain();
    if (!base::equalConstantTime(textOf(last, "proof"), peerProof(m_options.secret, handshake, PeerSide::Caller)))
        return refusePeer("caller");
    finishHandshake(handshake, PeerSide::Listener);
    return true;
}

void Link::readLoop(const PeerHandler& handler)
{
    auto self = shared_from_this();
    while (isOpen()) {
        auto payload = readFrame(peerFrameLimit);
        if (!payload)
            break;
        auto message = m_cipher->open(*payload);
        if (!message || !message->is_array() || message->empty()) {
            base::counterAdd("peer_frames_refused_total");
            base::logEvent(base::LogLevel::Warning, "peer.frame_refused", { { "peer", m_peerName } });
            break;
        }
        m_lastReceived = base::Clock::now();
        dispatch(std::move(*message), handler);
    }
    close();
}

PeerResult Link::call(const std::string& method, const json& body, base::TimePoint deadline)
{
    auto self = shared_from_this();
    uint64_t id = ++m_lastId;
    auto waiting = std::make_shared<Waiting>();
    waiting->result.error = PeerError::Unknown;
    m_waiting[id] = waiting;
    m_lastUsed = base::Clock::now();
    if (m_waiting.size() == 1)
        m_lastReceived = m_lastUsed;
    enqueue(json::array({ "q", id, method, body }));
    waiting->done.waitUntil(deadline);
    m_waiting.erase(id);
    return std::move(waiting->result);
}

void Link::maintain(base::TimePoint now)
{
    if (m_waiting.empty()) {
        if (m_isCaller && now - m_lastUsed > m_options.idleTime)
            close();
        return;
    }
    if (now - m_lastReceived > m_options.silenceLimit) {
        base::counterAdd("peer_links_silent_total");
        base::logEvent(base::LogLevel::Warning, "peer.silent", { { "peer", m_peerName } });
        close();
        return;
    }
    enqueue(json::array({ "p" }));
}

void Link::close()
{
    if (m_isClosed)
        return;
    m_isClosed = true;
    ErrorCode ignored;
    m_socket.close(ignored);
    m_writerWake.set();
    for (auto& [id, waiting] : m_waiting)
        waiting->done.set();
}

void Link::startWriter()
{
    m_loop.spawn([self = shared_from_this()] { self->writeLoop(); });
}

std::string Link::textOf(const json& object, const char* field)
{
    if (!object.is_object() || !object.contains(field))
        return {};
    const json& value = object[field];
    if (value.is_binary())
        return { value.get_binary().begin(), value.get_binary().end() };
    return value.is_string() ? value.get<std::string>() : std::string();
}

bool Link::refusePeer(const char* what)
{
    base::counterAdd("peer_handshakes_refused_total");
    base::logEvent(base::LogLevel::Warning, "peer.handshake_refused", { { "part", what } });
    close();
    return false;
}

void Link::setNoDelay()
{
    ErrorCode ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
}

void Link::finishHandshake(const PeerHandshake& handshake, PeerSide mine)
{
    m_isCaller = mine == PeerSide::Caller;
    m_peerName = m_isCaller ? handshake.listenerName : handshake.callerName;
    m_cipher.emplace(m_options.secret, handshake, mine);
    m_lastReceived = m_lastUsed = base::Clock::now();
}

std::optional<std::string> Link::readFrame(size_t limit)
{
    std::string length(peerLengthBytes, '\0');
    if (awaitIo([&](auto handler) { asio::async_read(m_socket, asio::buffer(length), std::move(handler)); }).error)
        return std::nullopt;
    size_t size = peerLengthDecode(length);
    if (size > limit) {
        base::counterAdd("peer_frames_refused_total");
        return std::nullopt;
    }
    std::string payload(size, '\0');
    if (awaitIo([&](auto handler) { asio::async_read(m_socket, asio::buffer(payload), std::move(handler)); }).error)
        return std::nullopt;
    m_totals.bytesReceived += peerLengthBytes + size;
    return payload;
}

json Link::readPlain()
{
    auto payload = readFrame(handshakeFrameLimit);
    if (!payload)
        return {};
    json message = json::from_msgpack(payload->begin(), payload->end(), true, false);
    return message.is_discarded() ? json() : message;
}

bool Link::writePlain(const json& message)
{
    std::string payload;
    json::to_msgpack(message, payload);
    return writeBytes(peerLengthEncode(payload.size()) + payload);
}

bool Link::writeBytes(const std::string& bytes)
{
    m_totals.bytesSent += bytes.size();
    return !awaitIo([&](auto handler) { asio::async_write(m_socket, asio::buffer(bytes), std::move(handler)); }).error;
}

void Link::enqueue(const json& message)
{
    m_outgoing += m_cipher->seal(message);
    m_writerWake.set();
}

void Link::writeLoop()
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

void Link::dispatch(json message, const PeerHandler& handler)
{
    const json& kind = message[0];
    if (kind == "q" && message.size() == 4 && message[1].is_number_unsigned() && message[2].is_string()) {
        m_loop.spawn(
            [self = shared_from_this(), handler, message = std::move(message)] { self->answer(handler, message); });
        return;
    }
    if (kind == "p")
        enqueue(json::array({ "o" }));
    if (kind != "a" || message.size() != 4 || !message[1].is_number_unsigned())
        return;
    auto found = m_waiting.find(message[1].get<uint64_t>());
    // The call has given up; its answer is of no use.
    if (found == m_waiting.end())
        return;
    found->second->result = { message[2] == true ? PeerError::None : PeerError::Refused, std::move(message[3]) };
    found->second->done.set();
}

void Link::answer(const PeerHandler& handler, const json& message)
{
    bool isUnderstood = true;
    json body;
    try {
        body = handler(m_peerName, message[2].get_ref<const std::string&>(), message[3]);
    } catch (const json::exception&) {
        isUnderstood = false;
        base::counterAdd("peer_calls_refused_total");
    }
    if (body.is_discarded())
        isUnderstood = false;
    if (tapIsOn())
        tapEmit({ "peer " + message[2].get<std::string>(), message[3].dump(), body.is_discarded() ? "" : body.dump() });
    if (!m_isClosed)
        enqueue(json::array({ "a", message[1], isUnderstood, isUnderstood ? std::move(body) : json() }));
}

} // namespace rattanshunt::net
