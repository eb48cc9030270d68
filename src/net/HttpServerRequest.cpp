// How a server's connection reads requests: bounded in bytes by the limits, and in memory by the process's account.
#include "net/HttpServerConnection.h"

#include <boost/beast/core/string.hpp>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::net {

namespace {

    constexpr base::Millis firstBytesTimeoutAtStop { 200 }; // on a connection that was opened just before the stop
    constexpr size_t readChunkBytes = 2048;
    constexpr size_t chunkedPieceBytes = 16 * 1024; // of a chunked body, for one read
    constexpr size_t bodyPieceBytes = 64 * 1024;    // of a body of known length, for one read

    // Of a chunked body, beside the bytes of the body themselves. A body that comes byte by byte needs five bytes for
    // each; the rest is for extensions and trailers.
    constexpr size_t maxOverheadPerByte = 6;
    constexpr size_t maxOverheadBytes = 64 * 1024;

    // After a refusal, for bytes that the caller is still sending: closing at once would reset the connection, and the
    // caller would not see the response.
    constexpr base::Millis discardTime { 500 };

    constexpr base::Millis shortageLogInterval { 1000 };

    // Why the headers could be read as two different requests (request smuggling); null if they are unambiguous.
    const char* headerError(const http::request<RequestBody>& message)
    {
        if (message.version() != 11 && message.version() != 10)
            return "the HTTP version is not supported";
        for (http::field field : { http::field::host, http::field::authorization, http::field::content_length,
                 http::field::transfer_encoding, http::field::content_type }) {
            if (message.count(field) > 1)
                return "a header that must be single is repeated";
        }
        if (message.version() == 11 && !message.count(http::field::host))
            return "the Host header is missing";
        if (message[http::field::host].find_first_of(" \t,/@") != beast::string_view::npos)
            return "the Host header is malformed";
        if (message.count(http::field::content_length) && message.count(http::field::transfer_encoding))
            return "Content-Length and Transfer-Encoding are both given";
        for (auto& field : message) {
            if (!base::isValidUtf8({ field.value().data(), field.value().size() }))
                return "a header is not valid UTF-8";
        }
        return nullptr;
    }

} // namespace

// Waits for the first bytes of the next request. Returns false if none arrived within the idle timeout. Bytes
// that are in the socket already are served even if the server stops or the timeout is over: on a busy thread
// the timer may run before the socket is read.
bool ServerConnection::waitForRequest()
{
    if (m_buffer.size())
        return true;
    if (m_server->isStopping && !m_isNew && !hasUnreadBytes())
        return false;
    setIdle(true);
    base::TimePoint idleSince = base::Clock::now();
    IoResult result;
    bool isLimitRaised = false; // since the wait began; callers rely on the present limit
    do {
        isLimitRaised = false;
        base::Duration timeout = m_server->isStopping ? firstBytesTimeoutAtStop : m_server->limits.idleTimeout;
        // Waits without reading, so that hasUnreadBytes() sees the bytes until they are read below.
        result = awaitIoUntil(
            m_server->loop, idleSince + timeout,
            [&](auto handler) { m_socket.async_wait(Tcp::socket::wait_read, std::move(handler)); },
            [&] {
                if (hasUnreadBytes())
                    return;
                isLimitRaised = !m_server->isStopping && base::Clock::now() < idleSince + m_server->limits.idleTimeout;
                ErrorCode ignored;
                if (isLimitRaised)
                    m_socket.cancel(ignored);
                else
                    closeTimedOut("idle");
            });
    } while (isLimitRaised);
    setIdle(false);
    m_isNew = false;
    if (result.error || !m_socket.is_open())
        return false;
    result = awaitWithTimeout("header", m_server->limits.headerTimeout,
        [&](auto handler) { m_socket.async_read_some(m_buffer.prepare(readChunkBytes), std::move(handler)); });
    if (result.error)
        return false;
    m_buffer.commit(result.bytes);
    return true;
}

bool ServerConnection::serveOne()
{
    if (!waitForRequest())
        return false;
    const HttpServerLimits& limits = m_server->limits;
    if (limits.memory)
        m_ownMemory.set(connectionBytes + limits.memory->plan().receiveBufferBytes);
    // Bytes that are received but not parsed yet: a head, a chunk's size line with its extensions, or trailers.
    m_buffer.max_size(std::max(m_buffer.capacity(), limits.maxHeaderBytes + readChunkBytes));
    RequestParser parser;
    parser.header_limit(static_cast<uint32_t>(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
    IoResult head = awaitWithTimeout("header", limits.headerTimeout,
        [&](auto handler) { http::async_read_header(m_socket, m_buffer, parser, std::move(handler)); });
    if (head.error)
        return rejectReadError(head.error);
    const char* rejectReason = headerError(parser.get());
    if (rejectReason)
        return reject(400, rejectReason);
    if (parser.get().target().size() > limits.maxTargetBytes)
        return reject(414, "the request target is too long");
    if (!parser.is_done()) {
        if (beast::iequals(parser.get()[http::field::expect], "100-continue") && !sendContinue())
            return false;
        if (!readBody(parser))
            return false;
    }
    storeRequest(parser.release());
    bool isKept = runHandler();
    releaseBuffers();
    return isKept;
}

// False if the request was rejected or its connection has ended.
bool ServerConnection::readBody(RequestParser& parser)
{
    MemoryWatch watch(m_server->limits.memory, 0, [this] {
        m_isClosedForMemory = true;
        ErrorCode ignored;
        m_socket.cancel(ignored);
    });
    ErrorCode error;
    auto length = parser.content_length();
    bool hasMemory = length ? readSizedBody(parser.get().body(), static_cast<size_t>(*length), watch, error)
                            : readChunkedBody(parser, watch, error);
    if (hasMemory && !error && !m_isClosedForMemory)
        return true;
    std::string().swap(parser.get().body()); // an assignment would keep its memory
    if (!hasMemory)
        return rejectUnread(503, "memory_short");
    if (m_isClosedForMemory)
        return rejectUnread(408, "body_stalled");
    return rejectReadError(error);
}

// The two functions below return false if there is no memory for the body, and set `error` if it cannot be read.
bool ServerConnection::readSizedBody(std::string& body, size_t length, MemoryWatch& watch, ErrorCode& error)
{
    if (!takeMemory(length, watch))
        return false;
    base::TimePoint deadline = base::Clock::now() + m_server->limits.bodyTimeout;
    // Pages that no byte was written to take no memory.
    body.reserve(length);
    size_t filled = std::min(m_buffer.size(), length);
    body.assign(static_cast<const char*>(m_buffer.data().data()), filled);
    m_buffer.consume(filled);
    size_t progressAt = filled;
    while (filled < length) {
        if (filled == body.size())
            body.resize(std::min(length, filled + bodyPieceBytes));
        IoResult read = awaitWithin("body", deadline, [&](auto handler) {
            m_socket.async_read_some(asio::buffer(body.data() + filled, body.size() - filled), std::move(handler));
        });
        error = read.error;
        if (error || m_isClosedForMemory)
            return true;
        filled += read.bytes;
        if (filled >= progressAt + progressBytes) {
            progressAt = filled;
            watch.recordProgress(base::Clock::now());
        }
    }
    return true;
}

bool ServerConnection::readChunkedBody(RequestParser& parser, MemoryWatch& watch, ErrorCode& error)
{
    const std::string& body = parser.get().body();
    base::TimePoint deadline = base::Clock::now() + m_server->limits.bodyTimeout;
    parser.eager(true);
    size_t wireBytes = 0;
    size_t progressAt = 0;
    while (!parser.is_done()) {
        size_t wanted = body.size() + m_buffer.max_size();
        // A large body takes memory in few steps, so that those that have most get what they lack.
        if (wanted > m_bodyMemory.bytes()
            && !takeMemory(wanted <= smallRequestBytes ? wanted : std::max(wanted, 2 * m_bodyMemory.bytes()), watch))
            return false;
        // Parsed here and not by http::async_read_some(), which reads on, without an end, while it ends inside a
        // chunk's size line.
        size_t parsed = m_buffer.size() ? parser.put(m_buffer.data(), error) : 0;
        m_buffer.consume(parsed);
        wireBytes += parsed;
        if (wireBytes > body.size() * (1 + maxOverheadPerByte) + maxOverheadBytes)
            error = http::error::buffer_overflow;
        if (error && error != http::error::need_more)
            return true;
        if (body.size() >= progressAt + progressBytes) {
            progressAt = body.size();
            watch.recordProgress(base::Clock::now());
        }
        if (parsed && !error)
            continue;
        size_t room = std::min(m_buffer.max_size() - m_buffer.size(), chunkedPieceBytes);
        if (!room) {
            error = http::error::buffer_overflow;
            return true;
        }
        IoResult read = awaitWithin("body", deadline,
            [&](auto handler) { m_socket.async_read_some(m_buffer.prepare(room), std::move(handler)); });
        error = read.error;
        if (error || m_isClosedForMemory)
            return true;
        m_buffer.commit(read.bytes);
    }
    return true;
}

// Waits, without reading on, until the account has the memory; false if it has none for too long.
bool ServerConnection::takeMemory(size_t bytes, MemoryWatch& watch)
{
    base::TimePoint start = base::Clock::now();
    watch.pause();
    bool isGranted = m_bodyMemory.resize(bytes);
    if (!isGranted)
        base::counterAdd("memory_waits_total");
    while (!isGranted && m_socket.is_open() && base::Clock::now() - start < maxMemoryWait) {
        m_server->limits.memory->closeStalled(base::Clock::now());
        sleepFor(memoryPollInterval);
        isGranted = m_bodyMemory.resize(bytes);
    }
    watch.setBytes(m_bodyMemory.bytes());
    watch.recordProgress(base::Clock::now());
    if (isGranted)
        return true;
    base::counterAdd("memory_refused_total");
    base::TimePoint now = base::Clock::now();
    if (now - m_server->shortageLoggedAt >= shortageLogInterval) {
        m_server->shortageLoggedAt = now;
        base::logEvent(base::LogLevel::Warning, "memory.short",
            { { "used", m_server->limits.memory->usedBytes() }, { "limit", m_server->limits.memory->plan().limitBytes },
                { "wanted", bytes }, { "connections", m_server->connections } });
    }
    return false;
}

bool ServerConnection::sendContinue()
{
    static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    return writeMessage(
        [&](auto handler) { asio::async_write(m_socket, asio::buffer(text.data(), text.size()), std::move(handler)); });
}

void ServerConnection::storeRequest(http::request<RequestBody> message)
{
    m_request = {};
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    for (auto& field : message)
        m_request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    m_isKeepAliveRequest = message.keep_alive();
    m_request.body = std::move(message.body());
}

bool ServerConnection::runHandler()
{
    m_hasResponded = false;
    m_isStreamOpen = false;
    if (tapIsOn())
        tapRequest();
    if (!m_socket.is_open()) {
        base::counterAdd("http_requests_on_closed_connections_total");
        return false;
    }
    m_server->events.onRequest(*this);
    if (tapIsOn())
        tapEmit(m_tap);
    m_onDisconnect = nullptr;
    if (!m_hasResponded && !m_isBroken)
        respond({ 500, {}, "" });
    // A stream without its last chunk is closed, so that the client sees a truncated response.
    return !m_isBroken && !m_isStreamOpen && m_isKeptAlive;
}

bool ServerConnection::rejectReadError(ErrorCode error)
{
    if (error == http::error::header_limit)
        return reject(431, "the headers are too long");
    if (error == http::error::buffer_overflow) {
        base::counterAdd("http_unparsed_limit_total");
        return rejectUnread(431, "trailers or the overhead of chunks are too long");
    }
    if (error == http::error::body_limit)
        return reject(413, "the body is too long");
    if (error.category() == http::make_error_code(http::error::bad_method).category()
        && error != http::error::end_of_stream && error != http::error::partial_message)
        return reject(400, error.message());
    return false;
}

bool ServerConnection::reject(int status, std::string_view reason)
{
    base::counterAdd("http_malformed_total");
    m_isKeepAliveRequest = false;
    respond(m_server->events.onMalformed(status, reason));
    return false;
}

// Rejects a request of which bytes may still arrive.
bool ServerConnection::rejectUnread(int status, std::string_view reason)
{
    m_bodyMemory.set(0);
    reject(status, reason);
    ErrorCode ignored;
    m_socket.shutdown(Tcp::socket::shutdown_send, ignored);
    base::TimePoint deadline = base::Clock::now() + discardTime;
    char bytes[readChunkBytes];
    IoResult read;
    while (m_socket.is_open() && !read.error && base::Clock::now() < deadline)
        read = awaitIoUntil(
            m_server->loop, deadline,
            [&](auto handler) { m_socket.async_read_some(asio::buffer(bytes), std::move(handler)); },
            [this] { closeSocket(); });
    return false;
}

} // namespace rattanshunt::net
