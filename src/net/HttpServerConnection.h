// A connection of the HTTP server: its state and what HttpServer.cpp, HttpServerConnection.cpp and
// HttpServerRequest.cpp share. Only these include it, because Boost.Beast's headers are slow to compile.
#pragma once

#include <list>
#include <map>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "net/Http.h"
#include "net/Loop.h"
#include "net/MemoryAccount.h"
#include "net/SocketPeek.h"
#include "net/Tap.h"

namespace rattanshunt::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

class ServerConnection;

struct ServerState {
    Loop& loop;
    HttpServerLimits limits;
    HttpServerEvents events;
    Tcp::acceptor acceptor;
    bool isStopping = false;
    size_t connections = 0;
    std::map<uint64_t, std::function<void(bool closesBusy)>> closeHandlers; // by connection number
    std::list<ServerConnection*> idleConnections;                           // the one that is idle for longest first
    uint64_t lastConnection = 0;
    base::TimePoint shortageLoggedAt {};
};

// Collects a chunked body. Unlike http::string_body, it reserves no memory for the length that a request announces.
struct RequestBody {
    using value_type = std::string;

    class reader { // NOLINT(readability-identifier-naming): the name that Beast requires
    public:
        template <bool isRequest, typename Fields>
        reader(http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }
        void init(const boost::optional<std::uint64_t>&, beast::error_code& error) { error = {}; }
        template <typename Buffers> size_t put(const Buffers& buffers, beast::error_code& error)
        {
            error = {};
            for (asio::const_buffer piece : beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(piece.data()), piece.size());
            return beast::buffer_bytes(buffers);
        }
        void finish(beast::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

using RequestParser = http::request_parser<RequestBody>;

class ServerConnection : public HttpExchange {
public:
    ServerConnection(std::shared_ptr<ServerState>, Tcp::socket);
    ~ServerConnection() override;

    void serve();
    bool closeIfIdle(); // false if it is not, or a request has arrived that was not read yet

    const HttpRequest& request() const override { return m_request; }
    bool respond(HttpResponse) override;
    bool startStream(int status, const std::vector<HttpHeader>&) override;
    bool sendChunk(std::string_view text) override;
    bool finishStream() override;
    void setDisconnectHandler(std::function<void()> onDisconnect) override;
    bool isClientDisconnected() const override { return m_isBroken; }

private:
    bool mayKeepAlive() const;
    void waitForDisconnect();
    void notifyDisconnect();
    void closeSocket();
    void closeTimedOut(const char* operation);
    void setIdle(bool isIdle);
    void releaseBuffers();
    bool hasUnreadBytes() { return socketPeek(m_socket.native_handle()) == SocketPeek::HasBytes; }

    bool waitForRequest();
    bool serveOne();
    bool sendContinue();
    bool readBody(RequestParser&);
    bool readSizedBody(std::string& body, size_t length, MemoryWatch&, ErrorCode&);
    bool readChunkedBody(RequestParser&, MemoryWatch&, ErrorCode&);
    bool takeMemory(size_t bytes, MemoryWatch&);
    void storeRequest(http::request<RequestBody>);
    bool runHandler();
    bool rejectReadError(ErrorCode);
    bool reject(int status, std::string_view reason);
    bool rejectUnread(int status, std::string_view reason);
    void tapRequest();
    void tapResponse(int status, const std::vector<HttpHeader>&, const std::string& body);

    template <typename Initiate>
    IoResult awaitWithin(const char* operation, base::TimePoint deadline, Initiate&& initiate)
    {
        IoResult result = awaitIoUntil(m_server->loop, deadline, std::forward<Initiate>(initiate),
            [this, operation] { closeTimedOut(operation); });
        if (!m_socket.is_open() && !result.error)
            result.error = asio::error::operation_aborted;
        return result;
    }

    template <typename Initiate>
    IoResult awaitWithTimeout(const char* operation, base::Duration timeout, Initiate&& initiate)
    {
        return awaitWithin(operation, base::Clock::now() + timeout, std::forward<Initiate>(initiate));
    }

    template <typename Initiate> bool writeMessage(Initiate&& initiate)
    {
        if (m_isBroken)
            return false;
        IoResult result = awaitWithTimeout("write", m_server->limits.writeTimeout, std::forward<Initiate>(initiate));
        if (result.error)
            m_isBroken = true;
        return !m_isBroken;
    }

    std::shared_ptr<ServerState> m_server;
    Tcp::socket m_socket;
    uint64_t m_number;
    beast::flat_buffer m_buffer;
    HttpRequest m_request;
    MemoryUse m_ownMemory;  // of the connection and the system's buffers
    MemoryUse m_bodyMemory; // of the request's body
    std::optional<http::response<http::empty_body>> m_streamHead;
    std::function<void()> m_onDisconnect;
    TapRecord m_tap;
    std::list<ServerConnection*>::iterator m_idlePosition; // valid while m_isIdle
    bool m_isKeptAlive = false;                            // as the head of the last response said
    bool m_isKeepAliveRequest = false;
    bool m_hasResponded = false;
    bool m_isStreamOpen = false;
    bool m_isBroken = false;
    bool m_isNew = true; // no request has arrived yet
    bool m_isIdle = false;
    bool m_isWaitPending = false;
    bool m_isClosedForMemory = false;
};

} // namespace rattanshunt::net
