#include <algorithm>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include "net/Http.h"
#include "net/Loop.h"
#include "net/SocketPeek.h"
#include "net/TunnelPump.h"

namespace rattanshunt::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

namespace {

    constexpr size_t maxResponseHeaderBytes = 32 * 1024;

    // Bytes that are received but not parsed yet: a head, a chunk's size line with its extensions, or trailers. A
    // server that sends any of these without end is cut off here.
    constexpr size_t maxUnparsedBytes = 64 * 1024;

    // Of HTTP; others are no answer.
    constexpr int minStatus = 100;
    constexpr int maxStatus = 599;

    constexpr size_t maxIdleBufferBytes = 4096; // that an idle connection keeps

    // After the deadline, for reading the rest of an answer that has arrived while the thread was busy. An answer whose
    // bytes arrive faster than they are read would never meet its timer.
    constexpr base::Millis maxLateTime { 50 };

    // Whether a status line stands in the middle of a head's line: a response that was cut, and the next one after it.
    bool containsStatusLine(std::string_view text)
    {
        constexpr std::string_view pattern = "HTTP/1.0 000"; // any digits
        size_t at = text.find("HTTP/1.");
        if (at == std::string_view::npos || text.size() - at < pattern.size())
            return false;
        text = text.substr(at, pattern.size());
        for (size_t i = 0; i < pattern.size(); ++i) {
            bool isDigit = text[i] >= '0' && text[i] <= '9';
            if (pattern[i] == '0' ? !isDigit : text[i] != pattern[i])
                return false;
        }
        return true;
    }

    // Collects the body in pieces that readSome() hands on. Unlike http::string_body, it reserves no memory for the
    // length that a response announces.
    struct PieceBody {
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

    class ClientConnection : public HttpConnection {
    public:
        ClientConnection(Loop& loop, const base::Address& address, ConnectOptions options)
            : m_loop(loop)
            , m_address(address)
            , m_options(std::move(options))
            , m_socket(loop.io())
        {
        }
        ClientConnection(Loop& loop, const base::Address& address, ConnectOptions options, Tcp::socket socket)
            : m_loop(loop)
            , m_address(address)
            , m_options(std::move(options))
            , m_socket(std::move(socket))
            , m_isConnected(true)
        {
        }

        HttpCallError connect(base::TimePoint deadline) override
        {
            ErrorCode code;
            base::Address dialled = m_options.dialAddress ? m_options.dialAddress(m_address) : m_address;
            Tcp::endpoint endpoint(asio::ip::make_address(dialled.ip, code), dialled.port);
            if (code)
                return HttpCallError::ConnectFailed;
            m_isCancelled = false;
            if (m_options.receiveBufferBytes && !m_socket.is_open()) {
                // Has to be set before the connection is opened, which states the window.
                m_socket.open(endpoint.protocol(), code);
                m_socket.set_option(
                    asio::socket_base::receive_buffer_size(static_cast<int>(m_options.receiveBufferBytes)), code);
            }
            IoResult result
                = awaitUntil(deadline, [&](auto handler) { m_socket.async_connect(endpoint, std::move(handler)); });
            if (result.error || m_isCancelled) {
                close();
                return HttpCallError::ConnectFailed;
            }
            m_isConnected = true;
            m_socket.set_option(Tcp::no_delay(true), code);
            return HttpCallError::None;
        }

        HttpCallError send(const HttpRequest& request, std::string_view body, base::TimePoint deadline) override
        {
            m_hasSentBytes = false;
            if (!m_isConnected)
                return HttpCallError::ConnectFailed;
            std::string text;
            text += request.method;
            text += ' ';
            text += request.target;
            text += " HTTP/1.1\r\n";
            if (httpHeader(request.headers, "Host").empty())
                text += "Host: " + base::formatAddress(m_address) + "\r\n";
            for (const HttpHeader& header : request.headers) {
                text += header.name;
                text += ": ";
                text += header.value;
                text += "\r\n";
            }
            text += fmt::format("Content-Length: {}\r\n\r\n", body.size());
            m_isRequestInFlight = true;
            m_hasSentBytes = true;
            m_isHeadRead = false;
            std::array<asio::const_buffer, 2> parts { asio::buffer(text), asio::buffer(body.data(), body.size()) };
            IoResult result
                = awaitUntil(deadline, [&](auto handler) { asio::async_write(m_socket, parts, std::move(handler)); });
            return result.error ? fail(HttpCallError::SendFailed) : HttpCallError::None;
        }

        HttpCallError readHead(HttpResponse& response, base::TimePoint deadline) override
        {
            m_parser.emplace();
            m_parser->header_limit(maxResponseHeaderBytes);
            m_parser->body_limit(boost::none); // callers bound what they keep
            m_parser->eager(true);
            IoResult result = awaitUntil(deadline,
                [&](auto handler) { http::async_read_header(m_socket, m_buffer, *m_parser, std::move(handler)); });
            if (result.error)
                return failRead(result.error);
            response.status = static_cast<int>(m_parser->get().result_int());
            if (response.status < minStatus || response.status > maxStatus)
                return fail(HttpCallError::Malformed);
            response.headers.clear();
            for (auto& field : m_parser->get())
                response.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
            // Bytes that the server wrote after an earlier response may be the beginning of this head.
            bool isJoined = containsStatusLine(m_parser->get().reason())
                || std::any_of(response.headers.begin(), response.headers.end(),
                    [](const HttpHeader& header) { return containsStatusLine(header.value); });
            if (m_hasAnswered && isJoined)
                return fail(HttpCallError::Malformed);
            m_isHeadRead = true;
            m_isRequestInFlight = true; // also if this is one more response to the same request
            return HttpCallError::None;
        }

        HttpCallError readSome(std::string& body, bool& isEnd, base::TimePoint deadline) override
        {
            isEnd = false;
            if (!m_parser || !m_isHeadRead)
                return HttpCallError::Malformed;
            if (m_parser->get().body().empty() && !m_parser->is_done()) {
                IoResult result = awaitUntil(deadline,
                    [&](auto handler) { http::async_read_some(m_socket, m_buffer, *m_parser, std::move(handler)); });
                if (result.error)
                    return failRead(result.error);
            }
            body += m_parser->get().body();
            m_parser->get().body().clear();
            if (m_parser->is_done()) {
                isEnd = true;
                m_hasAnswered = true;
                m_isRequestInFlight = false;
                if (!m_parser->keep_alive())
                    close();
                // A connection may be idle for long after a large response.
                if (m_parser->get().body().capacity() > maxIdleBufferBytes)
                    std::string().swap(m_parser->get().body());
                if (!m_buffer.size() && m_buffer.capacity() > maxIdleBufferBytes)
                    m_buffer.shrink_to_fit();
            }
            return HttpCallError::None;
        }

        bool isReusable() override
        {
            if (!m_isConnected || m_isRequestInFlight)
                return false;
            // Bytes after a complete response belong to no request; the next response would be misread.
            if (!m_buffer.size() && socketPeek(m_socket.native_handle()) == SocketPeek::NoBytes)
                return true;
            close();
            return false;
        }

        bool isConnected() const override { return m_isConnected; }

        void cancel() override
        {
            m_isCancelled = true;
            close();
        }

        bool hasSentBytes() const override { return m_hasSentBytes; }
        const base::Address& address() const override { return m_address; }

    private:
        // Closes the connection at `deadline`, which ends the operation.
        template <typename Initiate> IoResult awaitUntil(base::TimePoint deadline, Initiate&& initiate)
        {
            m_hasTimedOut = false;
            base::TimePoint now = base::Clock::now();
            if (now < deadline)
                m_lateSince = base::timeNever;
            else if (m_lateSince == base::timeNever)
                m_lateSince = now;
            else if (now - m_lateSince > maxLateTime) {
                m_hasTimedOut = true;
                return { asio::error::operation_aborted, 0 };
            }
            IoResult result = awaitIoUntil(m_loop, deadline, std::forward<Initiate>(initiate), [this] {
                m_hasTimedOut = true;
                close();
            });
            if (!result.error && (m_hasTimedOut || m_isCancelled))
                result.error = asio::error::operation_aborted;
            return result;
        }

        HttpCallError fail(HttpCallError errorIfNotAborted)
        {
            close();
            if (m_isCancelled)
                return HttpCallError::Cancelled;
            return m_hasTimedOut ? HttpCallError::TimedOut : errorIfNotAborted;
        }

        HttpCallError failRead(ErrorCode error)
        {
            bool isParseError = error.category() == http::make_error_code(http::error::bad_method).category()
                && error != http::error::end_of_stream && error != http::error::partial_message;
            return fail(isParseError ? HttpCallError::Malformed : HttpCallError::Closed);
        }

        void close()
        {
            m_isConnected = false;
            ErrorCode ignored;
            m_socket.close(ignored);
        }

        Loop& m_loop;
        base::Address m_address;
        ConnectOptions m_options;
        Tcp::socket m_socket;
        beast::flat_buffer m_buffer { maxUnparsedBytes };
        std::optional<http::response_parser<PieceBody>> m_parser;
        base::TimePoint m_lateSince = base::timeNever; // first operation that began after its deadline
        bool m_isConnected = false;
        bool m_isRequestInFlight = false;
        bool m_isHeadRead = false;
        bool m_hasAnswered = false; // an earlier request
        bool m_isCancelled = false;
        bool m_hasTimedOut = false;
        bool m_hasSentBytes = false;
    };

} // namespace

std::unique_ptr<HttpConnection> HttpConnection::create(Loop& loop, const base::Address& address, ConnectOptions options)
{
    return std::make_unique<ClientConnection>(loop, address, std::move(options));
}

std::unique_ptr<HttpConnection> httpConnectionAdopt(
    Loop& loop, const base::Address& server, Tcp::socket socket, ConnectOptions options)
{
    return std::make_unique<ClientConnection>(loop, server, std::move(options), std::move(socket));
}

HttpResult httpCall(
    HttpConnection& connection, const HttpRequest& request, base::TimePoint deadline, size_t maxBodyBytes)
{
    HttpResult result;
    if (!connection.isConnected())
        result.error = connection.connect(deadline);
    if (result.error == HttpCallError::None)
        result.error = connection.send(request, deadline);
    if (result.error == HttpCallError::None)
        result.error = connection.readHead(result.response, deadline);
    bool isEnd = false;
    while (result.error == HttpCallError::None && !isEnd) {
        result.error = connection.readSome(result.response.body, isEnd, deadline);
        if (result.error == HttpCallError::None && result.response.body.size() > maxBodyBytes) {
            connection.cancel();
            result.error = HttpCallError::Malformed;
        }
    }
    return result;
}

const char* httpCallErrorName(HttpCallError error)
{
    switch (error) {
    case HttpCallError::None:
        return "none";
    case HttpCallError::ConnectFailed:
        return "connect_failed";
    case HttpCallError::SendFailed:
        return "send_failed";
    case HttpCallError::TimedOut:
        return "timed_out";
    case HttpCallError::Closed:
        return "closed";
    case HttpCallError::Malformed:
        return "malformed";
    case HttpCallError::Cancelled:
        return "cancelled";
    }
    return "none";
}

} // namespace rattanshunt::net
