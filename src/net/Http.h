// HTTP messages as plain structs, and the calls to serve and to send them.
//
// Contents
//   [1] Messages        HttpHeader, HttpRequest, HttpResponse
//   [2] Serving         httpServe(), HttpExchange
//   [3] Calling         HttpConnection
//
// Boost.Beast is used in HttpServer.cpp and HttpClient.cpp only.
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

// The value of the first header called `name`, in any case; empty if there is none.
std::string_view httpHeader(const std::vector<HttpHeader>&, std::string_view name);
size_t httpHeaderCount(const std::vector<HttpHeader>&, std::string_view name);
bool httpNameEquals(std::string_view a, std::string_view b); // ignores case

// ---- [2] Serving -------------------------------------------------------------------------------

struct HttpServerLimits {
    size_t maxHeaderBytes = 16 * 1024;    // request line and headers together
    size_t maxBodyBytes = 1024 * 1024;    //
    size_t maxTargetBytes = 4096;         //
    base::Millis headerTimeout { 10000 }; // from the first byte to the end of the headers
    base::Millis bodyTimeout { 30000 };   // from the end of the headers to the end of the body
    base::Millis idleTimeout { 75000 };   // between two requests on one connection
    base::Millis writeTimeout { 20000 };  // for one write to make progress
    size_t maxConnections = 20000;        // more are closed at once
};

// One request and the means to answer it. Lives on the server's loop; own thread only.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Sends a whole answer. Returns false if the caller has gone. Suspends the calling fiber.
    virtual bool respond(HttpResponse) = 0;

    // Starts an answer whose body follows in chunks. Suspends.
    virtual bool startStream(int status, const std::vector<HttpHeader>&) = 0;
    virtual bool sendChunk(std::string_view) = 0; // false if the caller has gone or does not read
    virtual bool finishStream() = 0;              // marks the end; without it the connection is cut

    // Calls `onGone` once if the caller closes its connection before the answer has ended. `onGone` must not suspend.
    virtual void setDisconnectHandler(std::function<void()> onDisconnect) = 0;
    virtual bool isClientDisconnected() const = 0;
};

struct HttpServerHandle {
    base::Address address;                   // as bound; the port is known even if 0 was asked for
    std::function<void()> stopAccepting;     // idle connections close; running exchanges go on. Own thread.
    std::function<void()> closeAll;          // cuts every connection, also those with an exchange. Own thread.
    std::function<size_t()> connectionCount; // own thread
    std::function<void(const HttpServerLimits&)> setLimits; // for what is read from now on. Own thread.
};

struct HttpServerEvents {
    std::function<void(HttpExchange&)> onRequest;                                 // runs in the connection's fiber
    std::function<HttpResponse(int status, std::string_view reason)> onMalformed; // makes the answer to a bad request
    std::function<bool()> isDraining; // when true, answers close their connection
};

// Listens on `address` (SO_REUSEPORT, so that several loops may share it). Nothing if it cannot be bound;
// `error` then says why. Precondition: called on the loop's thread.
std::optional<HttpServerHandle> httpServe(
    Loop&, const base::Address&, const HttpServerLimits&, HttpServerEvents, std::string& error);

// ---- [3] Calling -------------------------------------------------------------------------------

enum class HttpCallError {
    None,
    ConnectFailed, // no byte of the request was sent
    SendFailed,    // some bytes may have been sent
    TimedOut,      // sent; no progress within the deadline
    Closed,        // sent; the connection ended before the answer did
    Malformed,     // the answer is not HTTP or exceeds the limits
    Cancelled,     // cancel() was called
};

const char* httpCallErrorName(HttpCallError);

// One client connection with at most one request in flight. Own thread only, one fiber at a time, but for
// cancel(), which any fiber or handler of the thread may call.
class HttpConnection {
public:
    static std::unique_ptr<HttpConnection> create(Loop&, const base::Address&);
    virtual ~HttpConnection() = default;

    // Each call suspends until done or until `deadline`. The address is sent as Host unless the request names one.
    // After an error other than None the connection is closed.
    virtual HttpCallError connect(base::TimePoint deadline) = 0;
    virtual HttpCallError send(const HttpRequest&, base::TimePoint deadline) = 0;
    virtual HttpCallError readHead(HttpResponse&, base::TimePoint deadline) = 0;

    // Appends what has come of the body. `isEnd` is set after the last part.
    virtual HttpCallError readSome(std::string& body, bool& isEnd, base::TimePoint deadline) = 0;

    // True while the connection is open, unused by a request, and not known to be closed by the other side.
    virtual bool isReusable() = 0;
    virtual bool isConnected() const = 0;
    virtual void cancel() = 0;             // closes; a waiting call returns Cancelled
    virtual bool hasSentBytes() const = 0; // any byte of the last request was given to the socket
    virtual const base::Address& address() const = 0;
};

struct HttpResult {
    HttpCallError error = HttpCallError::None;
    HttpResponse response; // valid if `error` is None
};

// Sends one request over `connection` (connecting it if needed) and reads the whole answer.
HttpResult httpCall(HttpConnection&, const HttpRequest&, base::TimePoint deadline);

} // namespace rattanshunt::net
