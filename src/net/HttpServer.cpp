// Listening and accepting of the HTTP server.
#include "net/HttpServerConnection.h"

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::net {

namespace {

    using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

    constexpr int acceptBacklog = 1024;
    constexpr base::Millis acceptRetryDelay { 50 };
    constexpr size_t maxIdleTries = 8; // connections that are looked at for one that can be closed

    // Makes room for one more connection.
    bool closeLongestIdle(ServerState& server)
    {
        size_t tries = 0;
        for (ServerConnection* connection : server.idleConnections) {
            if (++tries > maxIdleTries)
                return false;
            if (connection->closeIfIdle()) {
                base::counterAdd("http_idle_closed_for_room_total");
                return true;
            }
        }
        return false;
    }

    void startConnection(const std::shared_ptr<ServerState>& server, Tcp::socket socket)
    {
        if (server->connections >= server->limits.maxConnections && !closeLongestIdle(*server)) {
            base::counterAdd("http_connections_refused_total");
            return;
        }
        auto connection = std::make_shared<ServerConnection>(server, std::move(socket));
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
        ServerState { loop, limits, std::move(events), Tcp::acceptor(loop.io()), false, 0, {}, {}, 0, {} });
    if (!server->events.isDraining)
        server->events.isDraining = [] { return false; };
    Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    ErrorCode code;
    server->acceptor.open(endpoint.protocol(), code);
    server->acceptor.set_option(Tcp::acceptor::reuse_address(true), code);
    server->acceptor.set_option(ReusePort(true), code);
    if (limits.memory && limits.memory->plan().receiveBufferBytes) {
        // Accepted sockets have the sizes of the listening one.
        const MemoryPlan& plan = limits.memory->plan();
        ErrorCode ignored;
        server->acceptor.set_option(
            asio::socket_base::receive_buffer_size(static_cast<int>(plan.receiveBufferBytes)), ignored);
        server->acceptor.set_option(
            asio::socket_base::send_buffer_size(static_cast<int>(plan.sendBufferBytes)), ignored);
    }
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
