// Internal to net/: one authenticated TCP connection between two daemons, its handshake and the calls over it.
//
// A message is an array: ["q", id, method, body] is a call, ["a", id, isAccepted, body] its answer, ["p"] and ["o"] are
// a heartbeat and its answer.
//
// May only be used on the loop's thread. Handshakes, readLoop() and call() suspend the calling fiber.
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

// A call that waits for its answer.
struct PendingCall {
    Event done;
    PeerResult result;
};

// Bytes on all connections of a PeerNetwork.
struct TransferTotals {
    uint64_t bytesSent = 0;
    uint64_t bytesReceived = 0;
};

// One TCP connection, during and after its handshake. Both sides can make calls once the handshake has succeeded.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    PeerConnection(Loop& loop, const PeerOptions& options, TransferTotals& totals, Tcp::socket socket)
        : m_loop(loop)
        , m_options(options)
        , m_totals(totals)
        , m_socket(std::move(socket))
    {
    }

    // Each connects or accepts within the connect timeout. Returns false if that or the peer's proof failed.
    bool handshakeAsCaller(const base::Address& address);
    bool handshakeAsListener();

    // Reads the next message; nothing if the connection has ended or the frame is not valid. Suspends.
    std::optional<json> readMessage();

    // Writes a message while no writer runs. False if the connection has ended. Suspends.
    bool writeMessage(const json& message) { return writeBytes(m_codec->encode(message)); }

    // Takes a message that was read before readLoop() runs.
    void dispatch(json message, const PeerHandler& handler);

    // The socket, for bytes without frames. No other method may be called afterwards.
    Tcp::socket takeSocket() { return std::move(m_socket); }
    const std::string& peerName() const { return m_peerName; }

    // Reads frames until the connection ends, then closes it. `handler` answers the peer's calls, each in its own
    // fiber.
    void readLoop(const PeerHandler& handler);

    // Sends a call and waits for its answer until `deadline`. Without an answer the error is OutcomeUnknown.
    PeerResult call(const std::string& method, const json& body, base::TimePoint deadline);

    // Sends a heartbeat if calls are pending. Closes the connection if the peer is silent while calls are pending, or
    // if this side opened it and it is idle.
    void maintain(base::TimePoint now);

    bool isOpen() const { return m_socket.is_open() && !m_isClosed; }

    // Fails all pending calls.
    void close();

    // Starts the fiber that sends queued frames. Call once, after the handshake.
    void startWriter();

    // Closes the connection unless destroyed within `limit`.
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

private:
    static json binary(const std::string& bytes) { return json::binary({ bytes.begin(), bytes.end() }); }

    // A string or binary field; empty if it is missing or has another type.
    static std::string stringField(const json& object, const char* field);

    // Logs and closes; always returns false. `part` names the step that failed.
    bool rejectHandshake(const char* part);
    void setNoDelay();
    void finishHandshake(const PeerHandshake& handshake, PeerSide ownSide);

    // Reads one frame and returns it without its length prefix. Nothing if the connection broke or the frame is longer
    // than `maxBytes`.
    std::optional<std::string> readFrame(size_t maxBytes);

    // Handshake messages carry no tag.
    json readHandshakeMessage();
    bool writeHandshakeMessage(const json& message);
    bool writeBytes(const std::string& bytes);
    void enqueue(const json& message);

    // Writes the frames that other fibers have queued, all of them in one write.
    void writeLoop();
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
