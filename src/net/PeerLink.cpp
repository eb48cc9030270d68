#include "net/PeerLink.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "base/Counters.h"
#include "base/Log.h"
#include "net/PeerFrames.h"
#include "net/Tap.h"

namespace rattanshunt::net {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using nlohmann::json;

namespace {

    constexpr size_t handshakeFrameLimit = 1024;
    constexpr base::Millis acceptRetryPause { 50 };

    struct Waiting {
        Event done;
        PeerResult result;
    };

    struct Totals {
        uint64_t bytesSent = 0;
        uint64_t bytesReceived = 0;
    };

    // One TCP connection after or during its handshake.
    class Link : public std::enable_shared_from_this<Link> {
    public:
        Link(Loop& loop, const PeerOptions& options, Totals& totals, Tcp::socket socket)
            : m_loop(loop)
            , m_options(options)
            , m_totals(totals)
            , m_socket(std::move(socket))
        {
        }

        bool handshakeAsCaller(const base::Address& address)
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
            if (!base::equalConstantTime(
                    textOf(answer, "proof"), peerProof(m_options.secret, handshake, PeerSide::Listener)))
                return refusePeer("listener");
            if (!writePlain({ { "proof", binary(peerProof(m_options.secret, handshake, PeerSide::Caller)) } }))
                return false;
            finishHandshake(handshake, PeerSide::Caller);
            return true;
        }

        bool handshakeAsListener()
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
            if (!base::equalConstantTime(
                    textOf(last, "proof"), peerProof(m_options.secret, handshake, PeerSide::Caller)))
                return refusePeer("caller");
            finishHandshake(handshake, PeerSide::Listener);
            return true;
        }

        // Reads frames until the link breaks.
        void readLoop(const PeerHandler& handler)
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

        PeerResult call(const std::string& method, const json& body, base::TimePoint deadline)
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

        // Sends a heartbeat or closes a link that is silent or idle.
        void maintain(base::TimePoint now)
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

        bool isOpen() const { return m_socket.is_open() && !m_isClosed; }

        void close()
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

        void startWriter()
        {
            m_loop.spawn([self = shared_from_this()] { self->writeLoop(); });
        }

    private:
        struct CloseTimer {
            CloseTimer(Link& link, base::Duration limit)
                : loop(link.m_loop)
                , id(loop.timers().subscribe(base::Clock::now() + limit, [&link] { link.close(); }))
            {
            }
            ~CloseTimer() { loop.timers().cancel(id); }
            Loop& loop;
            TimerId id;
        };

        static json binary(const std::string& bytes) { return json::binary({ bytes.begin(), bytes.end() }); }

        static std::string textOf(const json& object, const char* field)
        {
            if (!object.is_object() || !object.contains(field))
                return {};
            const json& value = object[field];
            if (value.is_binary())
                return { value.get_binary().begin(), value.get_binary().end() };
            return value.is_string() ? value.get<std::string>() : std::string();
        }

        bool refusePeer(const char* what)
        {
            base::counterAdd("peer_handshakes_refused_total");
            base::logEvent(base::LogLevel::Warning, "peer.handshake_refused", { { "part", what } });
            close();
            return false;
        }

        void setNoDelay()
        {
            ErrorCode ignored;
            m_socket.set_option(Tcp::no_delay(true), ignored);
        }

        void finishHandshake(const PeerHandshake& handshake, PeerSide mine)
        {
            m_isCaller = mine == PeerSide::Caller;
            m_peerName = m_isCaller ? handshake.listenerName : handshake.callerName;
            m_cipher.emplace(m_options.secret, handshake, mine);
            m_lastReceived = m_lastUsed = base::Clock::now();
        }

        std::optional<std::string> readFrame(size_t limit)
        {
            std::string length(peerLengthBytes, '\0');
            if (awaitIo([&](auto handler) {
                    asio::async_read(m_socket, asio::buffer(length), std::move(handler));
                }).error)
                return std::nullopt;
            size_t size = peerLengthDecode(length);
            if (size > limit) {
                base::counterAdd("peer_frames_refused_total");
                return std::nullopt;
            }
            std::string payload(size, '\0');
            if (awaitIo([&](auto handler) {
                    asio::async_read(m_socket, asio::buffer(payload), std::move(handler));
                }).error)
                return std::nullopt;
            m_totals.bytesReceived += peerLengthBytes + size;
            return payload;
        }

        json readPlain()
        {
            auto payload = readFrame(handshakeFrameLimit);
            if (!payload)
                return {};
            json message = json::from_msgpack(payload->begin(), payload->end(), true, false);
            return message.is_discarded() ? json() : message;
        }

        bool writePlain(const json& message)
        {
            std::string payload;
            json::to_msgpack(message, payload);
            return writeBytes(peerLengthEncode(payload.size()) + payload);
        }

        bool writeBytes(const std::string& bytes)
        {
            m_totals.bytesSent += bytes.size();
            return !awaitIo([&](auto handler) {
                asio::async_write(m_socket, asio::buffer(bytes), std::move(handler));
            }).error;
        }

        void enqueue(const json& message)
        {
            m_outgoing += m_cipher->seal(message);
            m_writerWake.set();
        }

        // Writes what other fibers have queued, many frames in one write.
        void writeLoop()
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

        void dispatch(json message, const PeerHandler& handler)
        {
            const json& kind = message[0];
            if (kind == "q" && message.size() == 4 && message[1].is_number_unsigned() && message[2].is_string()) {
                m_loop.spawn([self = shared_from_this(), handler, message = std::move(message)] {
                    self->answer(handler, message);
                });
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
            found->second->result
                = { message[2] == true ? PeerError::None : PeerError::Refused, std::move(message[3]) };
            found->second->done.set();
        }

        void answer(const PeerHandler& handler, const json& message)
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
                tapEmit({ "peer " + message[2].get<std::string>(), message[3].dump(),
                    body.is_discarded() ? "" : body.dump() });
            if (!m_isClosed)
                enqueue(json::array({ "a", message[1], isUnderstood, isUnderstood ? std::move(body) : json() }));
        }

        Loop& m_loop;
        const PeerOptions& m_options;
        Totals& m_totals;
        Tcp::socket m_socket;
        std::optional<PeerCipher> m_cipher;
        std::string m_peerName;
        std::string m_outgoing;
        Event m_writerWake;
        std::map<uint64_t, std::shared_ptr<Waiting>> m_waiting;
        uint64_t m_lastId = 0;
        base::TimePoint m_lastReceived {};
        base::TimePoint m_lastUsed {};
        bool m_isCaller = false;
        bool m_isClosed = false;
    };

    struct Dial {
        std::shared_ptr<Link> link;
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
    Totals totals;
    Tcp::acceptor acceptor;
    PeerHandler handler;
    std::map<std::string, Dial> dials; // by address
    std::vector<std::weak_ptr<Link>> accepted;
    bool isClosed = false;

    void acceptLoop()
    {
        while (!isClosed) {
            Tcp::socket socket(loop.io());
            IoResult result = awaitIo([&](auto done) { acceptor.async_accept(socket, std::move(done)); });
            if (isClosed)
                break;
            if (result.error) {
                sleepFor(acceptRetryPause);
                continue;
            }
            auto link = std::make_shared<Link>(loop, options, totals, std::move(socket));
            std::erase_if(accepted, [](auto& weak) { return weak.expired(); });
            accepted.push_back(link);
            loop.spawn([self = shared_from_this(), link] {
                if (!link->handshakeAsListener())
                    return;
                link->startWriter();
                link->readLoop(self->handler);
            });
        }
    }

    void maintainLoop()
    {
        while (!isClosed) {
            sleepFor(options.heartbeatInterval);
            base::TimePoint now = base::Clock::now();
            for (auto& [address, dial] : dials) {
                if (dial.link)
                    dial.link->maintain(now);
            }
            std::erase_if(dials, [](auto& item) {
                return !item.second.isPending && (!item.second.link || !item.second.link->isOpen());
            });
        }
    }

    std::shared_ptr<Link> linkTo(const base::Address& address)
    {
        std::string name = base::formatAddress(address);
        Dial& dial = dials[name];
        if (dial.link && dial.link->isOpen())
            return dial.link;
        if (dial.isPending) {
            Event ready;
            dial.waiters.push_back(&ready);
            ready.waitUntil();
            auto found = dials.find(name);
            return found == dials.end() ? nullptr : found->second.link;
        }
        dial.isPending = true;
        auto link = std::make_shared<Link>(loop, options, totals, Tcp::socket(loop.io()));
        bool isReady = link->handshakeAsCaller(address) && !isClosed;
        Dial& after = dials[name];
        after.isPending = false;
        after.link = isReady ? link : nullptr;
        for (Event* waiter : after.waiters)
            waiter->set();
        after.waiters.clear();
        if (!isReady) {
            base::counterAdd("peer_dials_failed_total");
            return nullptr;
        }
        link->startWriter();
        loop.spawn([self = shared_from_this(), link] { link->readLoop(self->handler); });
        return link;
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
    auto link = m_impl->isClosed ? nullptr : m_impl->linkTo(address);
    if (!link || !link->isOpen())
        return { PeerError::NotSent, {} };
    return link->call(method, body, deadline);
}

void PeerNetwork::close()
{
    m_impl->isClosed = true;
    ErrorCode ignored;
    m_impl->acceptor.close(ignored);
    for (auto& [address, dial] : m_impl->dials) {
        if (dial.link)
            dial.link->close();
    }
    for (auto& weak : m_impl->accepted) {
        if (auto link = weak.lock())
            link->close();
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
size_t PeerNetwork::linkCount() const
{
    return m_impl->dials.size();
}

} // namespace rattanshunt::net
