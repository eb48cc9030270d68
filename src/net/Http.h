// HTTP/1.1 server and client for fibers, with messages as plain structs.
//
// Contents
//   [1] Messages        HttpHeader, HttpRequest, HttpResponse
//   [2] Serving         httpServe(), HttpExchange
//   [3] Calling         HttpConnection
//
// Servers, exchanges and connections may only be used on the thread of their loop. Functions that wait for the network
// suspend the calling fiber. Boost.Beast is used in HttpServer.cpp and HttpClient.cpp only, because its headers are
// slow to compile.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Text.h"
#include "base/Time.h"
#include "net/Loop.h"

namespace rattanshunt::net {

class MemoryAccount;

// ---- [1] Messages ------------------------------------------------------------------------------

struct HttpHeader {
    std::string name;
    std::string value;
};

struct HttpRequest {
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
};

struct HttpResponse {
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

// The value of the first header called `name`, ignoring case; empty if there is none.
std::string_view httpHeader(const std::vector<HttpHeader>&, std::string_view name);
size_t httpHeaderCount(const std::vector<HttpHeader>&, std::string_view name);
bool httpNameEquals(std::string_view a, std::string_view b); // ignores ASCII case

// ---- [2] Serving -------------------------------------------------------------------------------

struct HttpServerLimits {
    size_t maxHeaderBytes = 16 * 1024;    // request line and headers together
    size_t maxBodyBytes = 1024 * 1024;    // without the overhead of a chunked encoding
    size_t maxTargetBytes = 4096;         // path and query together
    base::Millis headerTimeout { 10000 }; // from the first byte to the end of the headers
    base::Millis bodyTimeout { 30000 };   // from the end of the headers to the end of the body
    base::Millis idleTimeout { 75000 };   // until the first byte of the next request
    base::Millis writeTimeout { 20000 };  // for one write: a whole response, a stream's headers or one chunk
    size_t maxConnections = 20000;        // beyond it the one that is idle for longest is closed, or the new one
    MemoryAccount* memory = nullptr;      // that bodies and connections draw on; null: unlimited
};

// One request and the means to respond to it. May only be used on the thread of the server's loop.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Sends a complete response. Returns false if the client has disconnected. Suspends the calling fiber.
    virtual bool respond(HttpResponse) = 0;

    // Sends the headers of a response whose body follows in chunks. Returns false if the client has disconnected.
    // Suspends, as do sendChunk() and finishStream().
    virtual bool startStream(int status, const std::vector<HttpHeader>&) = 0;
    virtual bool sendChunk(std::string_view) = 0; // false if the client has disconnected or the write timed out

    // Sends the last chunk. Without it the connection is closed, so that the client sees a truncated response.
    virtual bool finishStream() = 0;

    // Calls `onDisconnect` once if the client closes its connection before the response has ended, at once if it has
    // already disconnected. `onDisconnect` must not suspend.
    virtual void setDisconnectHandler(std::function<void()> onDisconnect) = 0;
    virtual bool isClientDisconnected() const = 0;
};

// Controls a running server. All functions must be called on the thread of the server's loop.
struct HttpServerHandle {
    base::Address address;                   // as bound, with the port that the system chose if 0 was requested
    std::function<void()> stopAccepting;     // also closes idle connections; exchanges in progress continue
    std::function<void()> closeAll;          // closes every connection, including those with an exchange in progress
    std::function<size_t()> connectionCount; // open connections
    std::function<void(const HttpServerLimits&)> setLimits; // applies to operations that start from now on
};

// Callbacks of a server. onMalformed answers requests that are not valid HTTP or exceed the limits.
struct HttpServerEvents {
    std::function<void(HttpExchange&)> onRequest; // called in the connection's fiber; may suspend
    std::function<HttpResponse(int status, std::string_view reason)> onMalformed; // builds the response
    std::function<bool()> isDraining; // while it returns true, each response closes its connection; optional
};

// Listens on `address`, with SO_REUSEPORT so that several loops can share it. Returns nothing and sets `error` if it
// cannot be bound. Preconditions: called on the loop's thread; onRequest and onMalformed are set.
std::optional<HttpServerHandle> httpServe(
    Loop&, const base::Address&, const HttpServerLimits&, HttpServerEvents, std::string& error);

// ---- [3] Calling -------------------------------------------------------------------------------

enum class HttpCallError {
    None,
    ConnectFailed, // no byte of the request was sent
    SendFailed,    // some bytes may have been sent
    TimedOut,      // the deadline passed while sending the request or waiting for the response
    Closed,        // sent, but the connection was closed before the end of the response
    Malformed,     // the response is not valid HTTP or exceeds a size limit
    Cancelled,     // cancel() was called
};

const char* httpCallErrorName(HttpCallError);

struct ConnectOptions {
    size_t receiveBufferBytes = 0; // that the system receives ahead; 0: its default
    // The address that a server is dialled at, by the server's own; empty: the same. For tests that cut links.
    std::function<base::Address(const base::Address&)> dialAddress {};
};

// One client connection with at most one request in flight. May only be used on the thread of its loop and by one
// fiber at a time, except for cancel(), which any fiber or handler of the thread may call.
class HttpConnection {
public:
    static std::unique_ptr<HttpConnection> create(Loop&, const base::Address&, ConnectOptions = {});
    virtual ~HttpConnection() = default;

    // Each call suspends until it is done or until `deadline`. send() copies no body; that of `head` is not used. The
    // address is sent as Host unless the request has a Host header. After any error the connection is closed.
    virtual HttpCallError connect(base::TimePoint deadline) = 0;
    virtual HttpCallError send(const HttpRequest& head, std::string_view body, base::TimePoint deadline) = 0;
    HttpCallError send(const HttpRequest& request, base::TimePoint deadline)
    {
        return send(request, request.body, deadline);
    }
    virtual HttpCallError readHead(HttpResponse&, base::TimePoint deadline) = 0;

    // Appends the part of the response's body that has arrived, at most 64 KB. Sets `isEnd` with the last part. A body
    // may have no end, so callers bound what they keep.
    virtual HttpCallError readSome(std::string& body, bool& isEnd, base::TimePoint deadline) = 0;

    // True if the connection is open, has no request in flight and is not known to be closed by the server. Otherwise
    // closes an idle connection.
    virtual bool isReusable() = 0;
    virtual bool isConnected() const = 0;

    // Closes the connection. A waiting connect() returns ConnectFailed, other waiting calls return Cancelled.
    virtual void cancel() = 0;

    virtual bool hasSentBytes() const = 0; // the last request was handed to the socket, at least in part
    virtual const base::Address& address() const = 0;
};

struct HttpResult {
    HttpCallError error = HttpCallError::None;
    HttpResponse response; // complete if `error` is None
};

constexpr size_t maxCallBodyBytes = 8 * 1024 * 1024; // default limit of httpCall()

// Sends one request over `connection`, connecting it first if needed, and reads the complete response. A body of more
// than `maxBodyBytes` closes the connection and gives Malformed. Suspends.
HttpResult httpCall(
    HttpConnection&, const HttpRequest&, base::TimePoint deadline, size_t maxBodyBytes = maxCallBodyBytes);

} // namespace rattanshunt::net
