// Internal to net/: one TCP connection between daemons, its handshake and the calls on it.
//
// Own thread only; handshakes, calls and serve() suspend.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "base/Counters.h"
#include "base/Log.h"
#include "net/PeerFrames.h"
#include "net/PeerNetwork.h"
#include "net/Tap.h"

namespace rattanshunt::net {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using nlohmann::json;

inline constexpr size_t maxHandshakeFrameBytes = 1024;

struct PendingCall {
    Event done;
    PeerResult result;
};

struct TransferTotals {
    uint64_t bytesSent = 0;
    uint64_t bytesReceived = 0;
};

// One TCP connection after or during its handshake.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    PeerConnection(Loop& loop, const PeerOptions& options, TransferTotals& totals, Tcp::socket socket)
        : m_loop(loop)
        , m_options(options)
        , m_totals(totals)
        , m_socket(std::move(socket))
    {
    }

    bool handshakeAsCaller(const base::Address& address);
    bool handshakeAsListener();

    // Reads frames until the link breaks.
    void readLoop(const PeerHandler& handler);
    PeerResult call(const std::string& method, const json& body, base::TimePoint deadline);

    // Sends a heartbeat or closes a link that is silent or idle.
    void maintain(base::TimePoint now);

    bool isOpen() const { return m_socket.is_open() && !m_isClosed; }

    void close();
    void startWriter();

private:
    struct CloseTimer {
        CloseTimer(PeerConnection& connection, base::Duration limit)
            : loop(connection.m_loop)
            , id(loop.timers().subscribe(base::Clock::now() + limit, [&connection] { connection.close(); }))
        {
        }
        ~CloseTimer() { loop.timers().cancel(id); }
        Loop& loop;
        TimerId id;
    };

    static json binary(const std::string& bytes) { return json::binary({ bytes.begin(), bytes.end() }); }

    static std::string stringField(const json& object, const char* field);
    bool rejectHandshake(const char* part);
    void setNoDelay();
    void finishHandshake(const PeerHandshake& handshake, PeerSide ownSide);
    std::optional<std::string> readFrame(size_t maxBytes);
    json readHandshakeMessage();
    bool writeHandshakeMessage(const json& message);
    bool writeBytes(const std::string& bytes);
    void enqueue(const json& message);

    // Writes what other fibers have queued, many frames in one write.
    void writeLoop();
    void dispatch(json message, const PeerHandler& handler);
    void answerCall(const PeerHandler& handler, const json& message);

    Loop& m_loop;
    const PeerOptions& m_options;
    TransferTotals& m_totals;
    Tcp::socket m_socket;
    std::optional<PeerFrameCodec> m_codec;
    std::string m_peerName;
    std::string m_outgoing;
    Event m_writerWake;
    std::map<uint64_t, std::shared_ptr<PendingCall>> m_pendingCalls;
    uint64_t m_lastCallId = 0;
    base::TimePoint m_lastReceivedAt {};
    base::TimePoint m_lastUsedAt {};
    bool m_isCaller = false;
    bool m_isClosed = false;
};

} // namespace rattanshunt::net
