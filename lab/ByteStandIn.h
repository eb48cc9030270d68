// Simulated endpoint whose responses are bytes that a script chooses, whether or not they are HTTP.
//
// Contents
//   [1] Connection      ByteConnection: what a script may do with the connection of a request
//   [2] Stand-in        ByteStandIn, ByteScript
//   [3] Forms           EndlessForm, sendEndlessResponse(): bytes without end, in each place where a response may have
//                       them
//
// Thread safety: use from the loop's thread only.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/Http.h"

namespace rattanshunt::lab {

// ---- [1] Connection ----------------------------------------------------------------------------

// One connection of a caller. Functions that send suspend the calling fiber.
class ByteConnection : public std::enable_shared_from_this<ByteConnection> {
public:
    virtual ~ByteConnection() = default;

    virtual bool send(std::string_view) = 0;            // false if the caller has closed the connection
    virtual void sendUntilClosed(std::string_view) = 0; // repeats the bytes until the caller closes the connection
    virtual void close() = 0;                           // ends it in order, after the bytes sent so far
    virtual void reset() = 0;                           // breaks it
    virtual bool isOpen() const = 0;
    virtual size_t requestNumber() const = 0; // of the current request on this connection, from 0
};

// ---- [2] Stand-in ------------------------------------------------------------------------------

// Called in the connection's fiber for each request; may suspend. The connection takes the next request afterwards,
// unless it was closed.
using ByteScript = std::function<void(ByteConnection&, const net::HttpRequest&)>;

class ByteStandIn {
public:
    ByteStandIn(net::Loop&, ByteScript);
    ~ByteStandIn();

    // Listens on a free loopback port; see address(). Returns false and sets `error` on failure.
    bool listen(std::string& error);
    void stop();

    base::Address address() const;
    size_t openConnectionCount() const;
    const std::vector<std::string>& requestTargets() const; // of all requests received, in order

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

// The platform's entry of a replica at `address`, as stored under its identifier. `models`: names, of an engine.
std::string byteReplicaEntry(
    const std::string& service, const base::Address&, const std::vector<std::string>& models = {});

// ---- [3] Forms ---------------------------------------------------------------------------------

enum class EndlessForm {
    Head,           // header lines
    ChunkSize,      // digits of a chunk's size
    ChunkExtension, // an extension of a chunk's size line
    Trailers,       // lines after the last chunk
    ChunkedBody,    // chunks
    BodyUntilClose, // a body without a length
    BeyondLength,   // a body with a length, and bytes after it
    HugeLength,     // a body whose announced length does not fit into memory
    Event,          // a server-sent event without a blank line
};

std::vector<EndlessForm> endlessForms();
const char* endlessFormName(EndlessForm);

// Sends a response head that carries `headers`, then bytes of the given form until the caller closes the connection.
void sendEndlessResponse(ByteConnection&, EndlessForm, const std::vector<net::HttpHeader>& headers);

} // namespace rattanshunt::lab
