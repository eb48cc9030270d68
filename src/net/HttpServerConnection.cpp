// The life of a server's connection and its responses. See HttpServerRequest.cpp for how requests are read.
#include "net/HttpServerConnection.h"

#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::net {

namespace {

    constexpr size_t maxIdleBufferBytes = 4096; // that an idle connection keeps

    std::string tapHeaders(const std::vector<HttpHeader>& headers)
    {
        std::string text;
        for (const HttpHeader& header : headers)
            text += header.name + ": " + header.value + "\n";
        return text + "\n";
    }

} // namespace

ServerConnection::ServerConnection(std::shared_ptr<ServerState> server, Tcp::socket socket)
    : m_server(std::move(server))
    , m_socket(std::move(socket))
    , m_number(++m_server->lastConnection)
    , m_ownMemory(m_server->limits.memory)
    , m_bodyMemory(m_server->limits.memory)
{
    ++m_server->connections;
    m_ownMemory.set(connectionBytes);
    m_server->closeHandlers[m_number] = [this](bool closesBusy) {
        if (!closesBusy && (!m_isIdle || hasUnreadBytes()))
            return;
        m_isBroken = m_isBroken || !m_isIdle;
        closeSocket();
        if (m_onDisconnect)
            notifyDisconnect();
    };
}

ServerConnection::~ServerConnection()
{
    setIdle(false);
    m_server->closeHandlers.erase(m_number);
    --m_server->connections;
}

void ServerConnection::serve()
{
    ErrorCode ignored;
    m_socket.set_option(Tcp::no_delay(true), ignored);
    while (m_socket.is_open() && serveOne()) { }
    closeSocket();
    // A pending wait refers to this object; its handler runs before this fiber is resumed.
    while (m_isWaitPending)
        sleepFor(timerResolution);
}

bool ServerConnection::closeIfIdle()
{
    if (!m_isIdle || hasUnreadBytes())
        return false;
    closeSocket();
    setIdle(false);
    return true;
}

void ServerConnection::setIdle(bool isIdle)
{
    if (isIdle && !m_isIdle)
        m_idlePosition = m_server->idleConnections.insert(m_server->idleConnections.end(), this);
    else if (!isIdle && m_isIdle)
        m_server->idleConnections.erase(m_idlePosition);
    m_isIdle = isIdle;
}

// What a request and its response have used; the next request allocates what it needs.
void ServerConnection::releaseBuffers()
{
    // Assigning an empty string would keep its memory.
    HttpRequest released;
    std::swap(m_request, released);
    m_streamHead.reset();
    m_bodyMemory.set(0);
    m_ownMemory.set(connectionBytes);
    if (!m_buffer.size() && m_buffer.capacity() > maxIdleBufferBytes)
        m_buffer.shrink_to_fit();
}

bool ServerConnection::respond(HttpResponse response)
{
    if (tapIsOn())
        tapResponse(response.status, response.headers, response.body);
    http::response<http::string_body> message;
    message.version(11);
    message.result(static_cast<unsigned>(response.status));
    for (HttpHeader& header : response.headers)
        message.insert(header.name, header.value);
    message.body() = std::move(response.body);
    m_isKeptAlive = mayKeepAlive();
    message.keep_alive(m_isKeptAlive);
    message.prepare_payload();
    m_hasResponded = true;
    // Written piece by piece, so that a caller that does not read is known from one that reads slowly.
    http::response_serializer<http::string_body> serializer { message };
    base::TimePoint deadline = base::Clock::now() + m_server->limits.writeTimeout;
    MemoryWatch watch(m_server->limits.memory, message.body().size(), [this] { closeSocket(); });
    while (!m_isBroken && !serializer.is_done()) {
        IoResult result = awaitWithin(
            "write", deadline, [&](auto handler) { http::async_write_some(m_socket, serializer, std::move(handler)); });
        if (result.error)
            m_isBroken = true;
        watch.recordProgress(base::Clock::now());
    }
    return !m_isBroken;
}

bool ServerConnection::startStream(int status, const std::vector<HttpHeader>& headers)
{
    if (tapIsOn())
        tapResponse(status, headers, "");
    m_streamHead.emplace();
    m_streamHead->version(11);
    m_streamHead->result(static_cast<unsigned>(status));
    for (const HttpHeader& header : headers)
        m_streamHead->insert(header.name, header.value);
    m_isKeptAlive = mayKeepAlive();
    m_streamHead->keep_alive(m_isKeptAlive);
    m_streamHead->chunked(true);
    m_hasResponded = true;
    m_isStreamOpen = true;
    http::response_serializer<http::empty_body> serializer { *m_streamHead };
    return writeMessage([&](auto handler) { http::async_write_header(m_socket, serializer, std::move(handler)); });
}

bool ServerConnection::sendChunk(std::string_view text)
{
    if (text.empty())
        return !m_isBroken;
    if (tapIsOn())
        m_tap.response += text;
    return writeMessage([&](auto handler) {
        asio::async_write(m_socket, http::make_chunk(asio::buffer(text.data(), text.size())), std::move(handler));
    });
}

bool ServerConnection::finishStream()
{
    m_isStreamOpen = false;
    return writeMessage(
        [&](auto handler) { asio::async_write(m_socket, http::make_chunk_last(), std::move(handler)); });
}

void ServerConnection::setDisconnectHandler(std::function<void()> onDisconnect)
{
    m_onDisconnect = std::move(onDisconnect);
    if (m_isBroken && m_onDisconnect)
        notifyDisconnect();
    else
        waitForDisconnect();
}

bool ServerConnection::mayKeepAlive() const
{
    return m_isKeepAliveRequest && !m_server->isStopping && !m_server->events.isDraining();
}

void ServerConnection::waitForDisconnect()
{
    if (m_isWaitPending)
        return;
    m_isWaitPending = true;
    m_socket.async_wait(Tcp::socket::wait_read, [this](ErrorCode error) {
        m_isWaitPending = false;
        if (error || m_isBroken || !m_onDisconnect)
            return;
        // The socket holds bytes of a pipelined request: the client is still connected.
        if (socketPeek(m_socket.native_handle()) != SocketPeek::Closed)
            return;
        m_isBroken = true;
        notifyDisconnect();
    });
}

void ServerConnection::notifyDisconnect()
{
    auto onDisconnect = std::move(m_onDisconnect);
    m_onDisconnect = nullptr;
    onDisconnect();
}

void ServerConnection::closeSocket()
{
    ErrorCode ignored;
    m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
    m_socket.close(ignored);
}

void ServerConnection::closeTimedOut(const char* operation)
{
    base::counterAddLabelled("http_timeouts_total", "operation", operation);
    if (hasUnreadBytes())
        base::logEvent(base::LogLevel::Warning, "connection.closed_unread", { { "operation", operation } });
    closeSocket();
}

void ServerConnection::tapRequest()
{
    ErrorCode ignored;
    auto local = m_socket.local_endpoint(ignored);
    m_tap.channel = fmt::format("http {}:{}", local.address().to_string(), local.port());
    m_tap.request = m_request.method + " " + m_request.target + "\n" + tapHeaders(m_request.headers) + m_request.body;
    m_tap.response.clear();
}

void ServerConnection::tapResponse(int status, const std::vector<HttpHeader>& headers, const std::string& body)
{
    m_tap.response = fmt::format("{}\n", status) + tapHeaders(headers) + body;
}

} // namespace rattanshunt::net
