#include "ByteStandIn.h"

#include <charconv>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace rattanshunt::lab {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

    constexpr size_t readBytes = 4096;
    constexpr size_t endlessPieceBytes = 16 * 1024;

    class Connection : public ByteConnection {
    public:
        explicit Connection(net::Loop& loop)
            : socket(loop.io())
        {
        }

        bool send(std::string_view bytes) override
        {
            auto written = net::awaitIo([&](auto handler) {
                asio::async_write(socket, asio::buffer(bytes.data(), bytes.size()), std::move(handler));
            });
            if (written.error)
                closeSocket();
            return !written.error;
        }

        void sendUntilClosed(std::string_view piece) override
        {
            std::string block;
            while (block.size() < endlessPieceBytes)
                block += piece;
            while (send(block)) { }
        }

        void close() override
        {
            net::ErrorCode ignored;
            socket.shutdown(Tcp::socket::shutdown_send, ignored);
            closeSocket();
        }

        void reset() override
        {
            net::ErrorCode ignored;
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
            closeSocket();
        }

        bool isOpen() const override { return socket.is_open(); }
        size_t requestNumber() const override { return number; }

        void closeSocket()
        {
            net::ErrorCode ignored;
            socket.close(ignored);
        }

        // Reads the next request; false if the caller has closed the connection.
        bool readRequest(net::HttpRequest& request)
        {
            size_t headEnd;
            while ((headEnd = unread.find("\r\n\r\n")) == std::string::npos) {
                if (!readMore())
                    return false;
            }
            request = {};
            auto lines = base::splitText(unread.substr(0, headEnd), '\n');
            for (std::string& line : lines) {
                if (line.ends_with('\r'))
                    line.pop_back();
            }
            auto words = base::splitText(lines.front(), ' ');
            request.method = words.front();
            request.target = words.size() > 1 ? words[1] : "";
            for (size_t i = 1; i < lines.size(); ++i) {
                size_t colon = lines[i].find(": ");
                if (colon != std::string::npos)
                    request.headers.push_back({ lines[i].substr(0, colon), lines[i].substr(colon + 2) });
            }
            std::string_view text = net::httpHeader(request.headers, "Content-Length");
            size_t length = 0;
            std::from_chars(text.data(), text.data() + text.size(), length);
            unread.erase(0, headEnd + 4);
            while (unread.size() < length) {
                if (!readMore())
                    return false;
            }
            request.body = unread.substr(0, length);
            unread.erase(0, length);
            return true;
        }

        Tcp::socket socket;
        std::string unread;
        size_t number = 0;

    private:
        bool readMore()
        {
            char buffer[readBytes];
            auto read
                = net::awaitIo([&](auto handler) { socket.async_read_some(asio::buffer(buffer), std::move(handler)); });
            unread.append(buffer, read.error ? 0 : read.bytes);
            return !read.error;
        }
    };

} // namespace

struct ByteStandIn::Impl : std::enable_shared_from_this<ByteStandIn::Impl> {
    net::Loop& loop;
    ByteScript script;
    Tcp::acceptor acceptor;
    std::set<std::shared_ptr<Connection>> connections;
    std::vector<std::string> requestTargets;
    bool isStopped = false;

    Impl(net::Loop& eventLoop, ByteScript byteScript)
        : loop(eventLoop)
        , script(std::move(byteScript))
        , acceptor(eventLoop.io())
    {
    }

    void serve(const std::shared_ptr<Connection>& connection)
    {
        net::HttpRequest request;
        while (!isStopped && connection->isOpen() && connection->readRequest(request)) {
            requestTargets.push_back(request.target);
            script(*connection, request);
            ++connection->number;
        }
        connection->closeSocket();
        connections.erase(connection);
    }

    void accept()
    {
        while (!isStopped) {
            auto connection = std::make_shared<Connection>(loop);
            auto accepted
                = net::awaitIo([&](auto handler) { acceptor.async_accept(connection->socket, std::move(handler)); });
            if (accepted.error)
                break;
            connections.insert(connection);
            loop.spawn([self = shared_from_this(), connection] { self->serve(connection); });
        }
    }
};

ByteStandIn::ByteStandIn(net::Loop& loop, ByteScript script)
    : m_impl(std::make_shared<Impl>(loop, std::move(script)))
{
}

ByteStandIn::~ByteStandIn() = default;

bool ByteStandIn::listen(std::string& error)
{
    net::ErrorCode code;
    Tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), 0);
    m_impl->acceptor.open(endpoint.protocol(), code);
    m_impl->acceptor.bind(endpoint, code);
    if (!code)
        m_impl->acceptor.listen(asio::socket_base::max_listen_connections, code);
    error = code.message();
    if (code)
        return false;
    m_impl->loop.spawn([impl = m_impl] { impl->accept(); });
    return true;
}

void ByteStandIn::stop()
{
    m_impl->isStopped = true;
    net::ErrorCode ignored;
    m_impl->acceptor.close(ignored);
    for (const auto& connection : m_impl->connections)
        connection->closeSocket();
}

base::Address ByteStandIn::address() const
{
    return { "127.0.0.1", m_impl->acceptor.local_endpoint().port() };
}

size_t ByteStandIn::openConnectionCount() const
{
    return m_impl->connections.size();
}

const std::vector<std::string>& ByteStandIn::requestTargets() const
{
    return m_impl->requestTargets;
}

std::string byteReplicaEntry(
    const std::string& service, const base::Address& address, const std::vector<std::string>& models)
{
    nlohmann::json list = nlohmann::json::array();
    for (const std::string& model : models)
        list.push_back({ { "name", model }, { "version", 1 }, { "adapters", nlohmann::json::array() } });
    return nlohmann::json {
        { "service", service }, { "address", base::formatAddress(address) }, { "zone", "dc-1" }, { "version", "v1" },
        { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 }, { "models", list }, { "sequence", 1 },
        { "born", 1700000000000 }
    }.dump();
}

// ---- Forms -------------------------------------------------------------------------------------

std::vector<EndlessForm> endlessForms()
{
    return { EndlessForm::Head, EndlessForm::ChunkSize, EndlessForm::ChunkExtension, EndlessForm::Trailers,
        EndlessForm::ChunkedBody, EndlessForm::BodyUntilClose, EndlessForm::BeyondLength, EndlessForm::HugeLength,
        EndlessForm::Event };
}

const char* endlessFormName(EndlessForm form)
{
    switch (form) {
    case EndlessForm::Head:
        return "head";
    case EndlessForm::ChunkSize:
        return "chunk size";
    case EndlessForm::ChunkExtension:
        return "chunk extension";
    case EndlessForm::Trailers:
        return "trailers";
    case EndlessForm::ChunkedBody:
        return "chunked body";
    case EndlessForm::BodyUntilClose:
        return "body until close";
    case EndlessForm::BeyondLength:
        return "bytes beyond the length";
    case EndlessForm::HugeLength:
        return "huge length";
    case EndlessForm::Event:
        return "event";
    }
    return "";
}

void sendEndlessResponse(ByteConnection& connection, EndlessForm form, const std::vector<net::HttpHeader>& headers)
{
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const net::HttpHeader& header : headers)
        head += fmt::format("{}: {}\r\n", header.name, header.value);
    std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    switch (form) {
    case EndlessForm::Head:
        connection.send(head);
        return connection.sendUntilClosed("X-More: 0123456789012345678901234567890123456789\r\n");
    case EndlessForm::ChunkSize:
        connection.send(chunkedHead);
        return connection.sendUntilClosed("0000000000000000");
    case EndlessForm::ChunkExtension:
        connection.send(chunkedHead + "4;name=");
        return connection.sendUntilClosed("xxxxxxxxxxxxxxxx");
    case EndlessForm::Trailers:
        connection.send(chunkedHead + "4\r\nbody\r\n0\r\n");
        return connection.sendUntilClosed("X-Trailer: 0123456789012345678901234567890123456789\r\n");
    case EndlessForm::ChunkedBody:
        connection.send(chunkedHead);
        return connection.sendUntilClosed("10\r\n0123456789abcdef\r\n");
    case EndlessForm::BodyUntilClose:
        connection.send(head + "\r\n");
        return connection.sendUntilClosed("0123456789abcdef");
    case EndlessForm::BeyondLength:
        connection.send(head + "Content-Length: 4\r\n\r\nbody");
        return connection.sendUntilClosed("0123456789abcdef");
    case EndlessForm::HugeLength:
        connection.send(head + "Content-Length: 60000000\r\n\r\n");
        return connection.sendUntilClosed("0123456789abcdef");
    case EndlessForm::Event:
        connection.send(head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ");
        return connection.sendUntilClosed("xxxxxxxxxxxxxxxx");
    }
}

} // namespace rattanshunt::lab
