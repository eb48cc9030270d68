// Opens, accepts and maintains the connections between daemons.
#include <deque>
#include <set>

#include "net/PeerConnection.h"
#include "net/TunnelPump.h"

namespace rattanshunt::net {

namespace {

    constexpr base::Millis acceptRetryDelay { 50 };
    constexpr size_t maxEndedTunnels = 512; // whose end is remembered

    // Calls that need a connection while it is being opened wait for the same attempt.
    struct OutgoingConnection {
        std::shared_ptr<PeerConnection> connection;
        std::vector<Event*> waiters;
        bool isPending = false;
    };

} // namespace

struct PeerNetwork::Impl : std::enable_shared_from_this<PeerNetwork::Impl> {
    Impl(Loop& owner, PeerOptions peerOptions)
        : loop(owner)
        , options(std::move(peerOptions))
        , acceptor(loop.io())
    {
    }

    Loop& loop;
    PeerOptions options;
    TransferTotals totals;
    Tcp::acceptor acceptor;
    PeerHandler handler;
    std::map<std::string, OutgoingConnection> outgoing; // by address
    std::vector<std::weak_ptr<PeerConnection>> accepted;
    TunnelHandler tunnelHandler;
    std::set<std::shared_ptr<TunnelPump>> tunnels;
    std::deque<std::pair<std::string, TunnelEnd>> endedTunnels; // by the caller's id
    bool isClosed = false;

    void acceptLoop()
    {
        while (!isClosed) {
            Tcp::socket socket(loop.io());
            IoResult result = awaitIo([&](auto done) { acceptor.async_accept(socket, std::move(done)); });
            if (isClosed)
                break;
            if (result.error) {
                sleepFor(acceptRetryDelay);
                continue;
            }
            auto connection = std::make_shared<PeerConnection>(loop, options, totals, std::move(socket));
            std::erase_if(accepted, [](auto& weakConnection) { return weakConnection.expired(); });
            accepted.push_back(connection);
            loop.spawn([self = shared_from_this(), connection] {
                if (!connection->handshakeAsListener())
                    return;
                auto first = connection->readMessage();
                if (!first)
                    return connection->close();
                if (first->size() == 2 && first->at(0) == "t")
                    return self->serveTunnel(*connection, first->at(1));
                connection->startWriter();
                connection->dispatch(std::move(*first), self->handler);
                connection->readLoop(self->handler);
            });
        }
    }

    // ---- Tunnels ----

    void serveTunnel(PeerConnection& connection, const json& request)
    {
        TunnelPlan plan;
        std::string id;
        try {
            id = request.at("id").get<std::string>();
            if (tunnelHandler)
                plan = tunnelHandler(connection.peerName(), request);
        } catch (const json::exception&) {
            base::counterAdd("peer_calls_refused_total");
        }
        Tcp::socket server(loop.io());
        if (plan.server && !connectTo(server, plan)) {
            plan.server.reset();
            plan.answer = json { { "why", plan.onFailed ? plan.onFailed() : "connect_failed" } };
        }
        if (!connection.writeMessage(json::array({ "t", plan.server.has_value(), plan.answer })) || !plan.server
            || isClosed)
            return connection.close();
        auto pump = std::make_shared<TunnelPump>(loop, connection.takeSocket(), std::move(server));
        tunnels.insert(pump);
        pump->run(plan.endsBy, [this, &id](TunnelEnd end) {
            endedTunnels.emplace_back(id, end);
            if (endedTunnels.size() > maxEndedTunnels)
                endedTunnels.pop_front();
        });
        tunnels.erase(pump);
    }

    bool connectTo(Tcp::socket& server, const TunnelPlan& plan)
    {
        base::Address dialled = plan.connect.dialAddress ? plan.connect.dialAddress(*plan.server) : *plan.server;
        ErrorCode code;
        Tcp::endpoint endpoint(asio::ip::make_address(dialled.ip, code), dialled.port);
        if (!code)
            server.open(endpoint.protocol(), code);
        if (code)
            return false;
        if (plan.connect.receiveBufferBytes)
            server.set_option(
                asio::socket_base::receive_buffer_size(static_cast<int>(plan.connect.receiveBufferBytes)), code);
        IoResult result = awaitIoUntil(
            loop, plan.connectBy, [&](auto done) { server.async_connect(endpoint, std::move(done)); },
            [&server] {
                ErrorCode ignored;
                server.close(ignored);
            });
        server.set_option(Tcp::no_delay(true), code);
        return !result.error && server.is_open();
    }

    void maintainLoop()
    {
        while (!isClosed) {
            sleepFor(options.heartbeatInterval);
            base::TimePoint now = base::Clock::now();
            for (auto& [address, entry] : outgoing) {
                if (entry.connection)
                    entry.connection->maintain(now);
            }
            std::erase_if(outgoing, [](auto& item) {
                return !item.second.isPending && (!item.second.connection || !item.second.connection->isOpen());
            });
        }
    }

    std::shared_ptr<PeerConnection> connectTo(const base::Address& address)
    {
        std::string key = base::formatAddress(address);
        OutgoingConnection& entry = outgoing[key];
        if (entry.connection && entry.connection->isOpen())
            return entry.connection;
        if (entry.isPending) {
            Event ready;
            entry.waiters.push_back(&ready);
            ready.waitUntil();
            auto found = outgoing.find(key);
            return found == outgoing.end() ? nullptr : found->second.connection;
        }
        entry.isPending = true;
        auto connection = std::make_shared<PeerConnection>(loop, options, totals, Tcp::socket(loop.io()));
        bool isConnected = connection->handshakeAsCaller(address) && !isClosed;
        OutgoingConnection& currentEntry = outgoing[key];
        currentEntry.isPending = false;
        currentEntry.connection = isConnected ? connection : nullptr;
        for (Event* waiter : currentEntry.waiters)
            waiter->set();
        currentEntry.waiters.clear();
        if (!isConnected) {
            base::counterAdd("peer_dials_failed_total");
            return nullptr;
        }
        connection->startWriter();
        loop.spawn([self = shared_from_this(), connection] { connection->readLoop(self->handler); });
        return connection;
    }
};

PeerNetwork::PeerNetwork(Loop& loop, PeerOptions options)
    : m_impl(std::make_shared<Impl>(loop, std::move(options)))
{
    loop.spawn([impl = m_impl] { impl->maintainLoop(); });
}

PeerNetwork::~PeerNetwork() = default;

bool PeerNetwork::listen(base::Address& address, PeerHandler handler, std::string& error)
{
    m_impl->handler = std::move(handler);
    Tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    ErrorCode code;
    m_impl->acceptor.open(endpoint.protocol(), code);
    m_impl->acceptor.set_option(Tcp::acceptor::reuse_address(true), code);
    m_impl->acceptor.bind(endpoint, code);
    if (!code)
        m_impl->acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code) {
        error = code.message();
        return false;
    }
    address.port = m_impl->acceptor.local_endpoint().port();
    m_impl->loop.spawn([impl = m_impl] { impl->acceptLoop(); });
    return true;
}

PeerResult PeerNetwork::call(
    const base::Address& address, const std::string& method, const json& body, base::TimePoint deadline)
{
    auto connection = m_impl->isClosed ? nullptr : m_impl->connectTo(address);
    if (!connection || !connection->isOpen())
        return { PeerError::NotSent, {} };
    return connection->call(method, body, deadline);
}

TunnelResult PeerNetwork::openTunnel(const base::Address& address, const json& request, const base::Address& server,
    const ConnectOptions& options, base::TimePoint deadline)
{
    TunnelResult result;
    if (m_impl->isClosed)
        return result;
    auto connection = std::make_shared<PeerConnection>(
        m_impl->loop, m_impl->options, m_impl->totals, Tcp::socket(m_impl->loop.io()));
    PeerConnection::CloseTimer timer(*connection, deadline - base::Clock::now());
    if (!connection->handshakeAsCaller(address) || !connection->writeMessage(json::array({ "t", request })))
        return result;
    auto reply = connection->readMessage();
    if (!reply || reply->size() != 3 || reply->at(0) != "t" || !connection->isOpen())
        return result;
    if (reply->at(1) != true) {
        result.isRefused = true;
        result.answer = reply->at(2);
        connection->close();
        return result;
    }
    result.connection = httpConnectionAdopt(m_impl->loop, server, connection->takeSocket(), options);
    return result;
}

void PeerNetwork::setTunnelHandler(TunnelHandler handler)
{
    m_impl->tunnelHandler = std::move(handler);
}

TunnelEnd PeerNetwork::tunnelEnd(const std::string& id) const
{
    for (const auto& [endedId, end] : m_impl->endedTunnels) {
        if (endedId == id)
            return end;
    }
    return TunnelEnd::Unknown;
}

size_t PeerNetwork::tunnelCount() const
{
    return m_impl->tunnels.size();
}

void PeerNetwork::close()
{
    m_impl->isClosed = true;
    ErrorCode ignored;
    m_impl->acceptor.close(ignored);
    for (auto& [address, entry] : m_impl->outgoing) {
        if (entry.connection)
            entry.connection->close();
    }
    for (const auto& tunnel : m_impl->tunnels)
        tunnel->close();
    for (auto& weakConnection : m_impl->accepted) {
        if (auto connection = weakConnection.lock())
            connection->close();
    }
}

uint64_t PeerNetwork::bytesSent() const
{
    return m_impl->totals.bytesSent;
}
uint64_t PeerNetwork::bytesReceived() const
{
    return m_impl->totals.bytesReceived;
}
size_t PeerNetwork::connectionCount() const
{
    return m_impl->outgoing.size();
}

} // namespace rattanshunt::net
