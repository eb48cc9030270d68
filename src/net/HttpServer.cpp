// HTTP/1.1 server. Long because one class handles a whole connection; the types of Boost.Beast stay in this file.
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include "base/Counters.h"
#include "base/Log.h"
#include "net/Http.h"
#include "net/Loop.h"
#include "net/SocketPeek.h"
#include "net/Tap.h"

namespace rattanshunt::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

namespace {

    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    constexpr int acceptBacklog = 1024;
    constexpr base::Millis acceptRetryDelay { 50 };
    constexpr base::Millis firstBytesTimeoutAtStop { 200 }; // on a connection that was opened just before the stop

    struct ServerState {
        Loop& loop;
        HttpServerLimits limits;
        HttpServerEvents events;
        Tcp::acceptor acceptor;
        bool isStopping = false;
        size_t connections = 0;
        std::map<uint64_t, std::function<void(bool closesBusy)>> closeHandlers; // by connection number
        uint64_t lastConnection = 0;
    };

    class Connection : public HttpExchange {
    public:
        Connection(std::shared_ptr<ServerState> server, Tcp::socket socket)
            : m_server(std::move(server))
            , m_socket(std::move(socket))
            , m_number(++m_server->lastConnection)
        {
            ++m_server->connections;
            m_server->closeHandlers[m_number] = [this](bool closesBusy) {
                if (!closesBusy && (!m_isIdle || hasUnreadBytes()))
                    return;
                m_isBroken = m_isBroken || !m_isIdle;
                closeSocket();
                if (m_onDisconnect)
                    notifyDisconnect();
            };
        }

        ~Connection() override
        {
            m_server->closeHandlers.erase(m_number);
            --m_server->connections;
        }

        void serve()
        {
            ErrorCode ignored;
            m_socket.set_option(Tcp::no_delay(true), ignored);
            while (m_socket.is_open() && serveOne()) { }
            closeSocket();
            // A pending wait refers to this object; its handler runs before this fiber is resumed.
            while (m_isWaitPending)
                sleepFor(timerResolution);
        }

        const HttpRequest& request() const override { return m_request; }

        bool respond(HttpResponse response) override
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
            return writeMessage([&](auto handler) { http::async_write(m_socket, message, std::move(handler)); });
        }

        bool startStream(int status, const std::vector<HttpHeader>& headers) override
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
            return writeMessage(
                [&](auto handler) { http::async_write_header(m_socket, serializer, std::move(handler)); });
        }

        bool sendChunk(std::string_view text) override
        {
            if (text.empty())
                return !m_isBroken;
            if (tapIsOn())
                m_tap.response += text;
            return writeMessage([&](auto handler) {
                asio::async_write(
                    m_socket, http::make_chunk(asio::buffer(text.data(), text.size())), std::move(handler));
            });
        }

        bool finishStream() override
        {
            m_isStreamOpen = false;
            return writeMessage(
                [&](auto handler) { asio::async_write(m_socket, http::make_chunk_last(), std::move(handler)); });
        }

        void setDisconnectHandler(std::function<void()> onDisconnect) override
        {
            m_onDisconnect = std::move(onDisconnect);
            if (m_isBroken && m_onDisconnect)
                notifyDisconnect();
            else
                waitForDisconnect();
        }

        bool isClientDisconnected() const override { return m_isBroken; }

    private:
        bool mayKeepAlive() const
        {
            return m_isKeepAliveRequest && !m_server->isStopping && !m_server->events.isDraining();
        }

        void waitForDisconnect()
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

        void notifyDisconnect()
        {
            auto onDisconnect = std::move(m_onDisconnect);
            m_onDisconnect = nullptr;
            onDisconnect();
        }

        void closeSocket()
        {
            ErrorCode ignored;
            m_socket.shutdown(Tcp::socket::shutdown_both, ignored);
            m_socket.close(ignored);
        }

        void closeTimedOut(const char* operation)
        {
            base::counterAddLabelled("http_timeouts_total", "operation", operation);
            if (hasUnreadBytes())
                base::logEvent(base::LogLevel::Warning, "connection.closed_unread", { { "operation", operation } });
            closeSocket();
        }

        template <typename Initiate>
        IoResult awaitWithTimeout(const char* operation, base::Duration timeout, Initiate&& initiate)
        {
            IoResult result = awaitIoUntil(m_server->loop, base::Clock::now() + timeout,
                std::forward<Initiate>(initiate), [this, operation] { closeTimedOut(operation); });
            if (!m_socket.is_open() && !result.error)
                result.error = asio::error::operation_aborted;
            return result;
        }

        template <typename Initiate> bool writeMessage(Initiate&& initiate)
        {
            if (m_isBroken)
                return false;
            IoResult result
                = awaitWithTimeout("write", m_server->limits.writeTimeout, std::forward<Initiate>(initiate));
            if (result.error)
                m_isBroken = true;
            return !m_isBroken;
        }

        bool hasUnreadBytes() { return socketPeek(m_socket.native_handle()) == SocketPeek::HasBytes; }

        // Waits for the first bytes of the next request. Returns false if none arrived within the idle timeout. Bytes
        // that are in the socket already are served even if the server stops or the timeout is over: on a busy thread
        // the timer may run before the socket is read.
        bool waitForRequest()
        {
            if (m_buffer.size())
                return true;
            if (m_server->isStopping && !m_isNew && !hasUnreadBytes())
                return false;
            m_isIdle = true;
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
                        isLimitRaised
                            = !m_server->isStopping && base::Clock::now() < idleSince + m_server->limits.idleTimeout;
                        ErrorCode ignored;
                        if (isLimitRaised)
                            m_socket.cancel(ignored);
                        else
                            closeTimedOut("idle");
                    });
            } while (isLimitRaised);
            m_isIdle = false;
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

        bool serveOne()
        {
            if (!waitForRequest())
                return false;
            http::request_parser<http::string_body> parser;
            parser.header_limit(static_cast<uint32_t>(m_server->limits.maxHeaderBytes));
            parser.body_limit(m_server->limits.maxBodyBytes);
            IoResult head = awaitWithTimeout("header", m_server->limits.headerTimeout,
                [&](auto handler) { http::async_read_header(m_socket, m_buffer, parser, std::move(handler)); });
            if (head.error)
                return rejectReadError(head.error);
            const char* rejectReason = headerError(parser.get());
            if (rejectReason)
                return reject(400, rejectReason);
            if (parser.get().target().size() > m_server->limits.maxTargetBytes)
                return reject(414, "the request target is too long");
            if (!parser.is_done()) {
                if (beast::iequals(parser.get()[http::field::expect], "100-continue") && !sendContinue())
                    return false;
                IoResult body = awaitWithTimeout("body", m_server->limits.bodyTimeout,
                    [&](auto handler) { http::async_read(m_socket, m_buffer, parser, std::move(handler)); });
                if (body.error)
                    return rejectReadError(body.error);
            }
            storeRequest(parser.release());
            return runHandler();
        }

        bool sendContinue()
        {
            static constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
            return writeMessage([&](auto handler) {
                asio::async_write(m_socket, asio::buffer(text.data(), text.size()), std::move(handler));
            });
        }

        void storeRequest(http::request<http::string_body> message)
        {
            m_request = {};
            m_request.method = std::string(message.method_string());
            m_request.target = std::string(message.target());
            for (auto& field : message)
                m_request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            m_isKeepAliveRequest = message.keep_alive();
            m_request.body = std::move(message.body());
        }

        bool runHandler()
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

        // Why the headers could be read as two different requests (request smuggling); null if they are unambiguous.
        static const char* headerError(const http::request<http::string_body>& message)
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

        bool rejectReadError(ErrorCode error)
        {
            if (error == http::error::header_limit)
                return reject(431, "the headers are too long");
            if (error == http::error::body_limit)
                return reject(413, "the body is too long");
            if (error.category() == http::make_error_code(http::error::bad_method).category()
                && error != http::error::end_of_stream && error != http::error::partial_message)
                return reject(400, error.message());
            return false;
        }

        bool reject(int status, std::string_view reason)
        {
            base::counterAdd("http_malformed_total");
            m_isKeepAliveRequest = false;
            respond(m_server->events.onMalformed(status, reason));
            return false;
        }

        static std::string tapHeaders(const std::vector<HttpHeader>& headers)
        {
            std::string text;
            for (const HttpHeader& header : headers)
                text += header.name + ": " + header.value + "\n";
            return text + "\n";
        }

        void tapRequest()
        {
            ErrorCode ignored;
            auto local = m_socket.local_endpoint(ignored);
            m_tap.channel = fmt::format("http {}:{}", local.address().to_string(), local.port());
            m_tap.request
                = m_request.method + " " + m_request.target + "\n" + tapHeaders(m_request.headers) + m_request.body;
            m_tap.response.clear();
        }

        void tapResponse(int status, const std::vector<HttpHeader>& headers, const std::string& body)
        {
            m_tap.response = fmt::format("{}\n", status) + tapHeaders(headers) + body;
        }

        static constexpr size_t readChunkBytes = 2048;

        std::shared_ptr<ServerState> m_server;
        Tcp::socket m_socket;
        uint64_t m_number;
        beast::flat_buffer m_buffer;
        HttpRequest m_request;
        std::optional<http::response<http::empty_body>> m_streamHead;
        std::function<void()> m_onDisconnect;
        TapRecord m_tap;
        bool m_isKeptAlive = false; // as the head of the last response said
        bool m_isKeepAliveRequest = false;
        bool m_hasResponded = false;
        bool m_isStreamOpen = false;
        bool m_isBroken = false;
        bool m_isNew = true; // no request has arrived yet
        bool m_isIdle = false;
        bool m_isWaitPending = false;
    };

    void startConnection(const std::shared_ptr<ServerState>& server, Tcp::socket socket)
    {
        if (server->connections >= server->limits.maxConnections) {
            base::counterAdd("http_connections_refused_total");
            return;
        }
        auto connection = std::make_shared<Connection>(server, std::move(socket));
        server->loop.spawn([connection] { connection->serve(); });
    }

    void acceptConnections(const std::shared_ptr<ServerState>& server)
    {
        while (!server->isStopping) {
            Tcp::socket socket(server->loop.io());
            IoResult result = awaitIo([&](auto handler) { server->acceptor.async_accept(socket, std::move(handler)); });
            if (!result.error)
                startConnection(server, std::move(socket));
            else if (!server->isStopping)
                sleepFor(acceptRetryDelay);
        }
    }

    // The system has established these connections, and their callers may have sent a request. Closing the listening
    // socket would reset them.
    void acceptEstablished(const std::shared_ptr<ServerState>& server)
    {
        ErrorCode error;
        server->acceptor.non_blocking(true, error);
        while (!error) {
            Tcp::socket socket(server->loop.io());
            server->acceptor.accept(socket, error);
            if (!error)
                startConnection(server, std::move(socket));
        }
    }

} // namespace

std::optional<HttpServerHandle> httpServe(Loop& loop, const base::Address& address, const HttpServerLimits& limits,
    HttpServerEvents events, std::string& error)
{
    auto server = std::make_shared<ServerState>(
        ServerState { loop, limits, std::move(events), Tcp::acceptor(loop.io()), false, 0, {}, 0 });
    if (!server->events.isDraining)
        server->events.isDraining = [] { return false; };
    Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    ErrorCode code;
    server->acceptor.open(endpoint.protocol(), code);
    server->acceptor.set_option(Tcp::acceptor::reuse_address(true), code);
    server->acceptor.set_option(ReusePort(true), code);
    server->acceptor.bind(endpoint, code);
    if (!code)
        server->acceptor.listen(acceptBacklog, code);
    if (code) {
        error = code.message();
        return std::nullopt;
    }
    loop.spawn([server] { acceptConnections(server); });
    HttpServerHandle handle;
    handle.address = { address.ip, server->acceptor.local_endpoint().port() };
    handle.stopAccepting = [server] {
        if (!server->isStopping)
            acceptEstablished(server);
        server->isStopping = true;
        ErrorCode ignored;
        server->acceptor.close(ignored);
        for (auto& [number, close] : server->closeHandlers)
            close(false);
    };
    handle.closeAll = [server] {
        for (auto& [number, close] : server->closeHandlers)
            close(true);
    };
    handle.setLimits = [server](const HttpServerLimits& changed) { server->limits = changed; };
    handle.connectionCount = [server] { return server->connections; };
    return handle;
}

} // namespace rattanshunt::net
