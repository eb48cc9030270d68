// Records the messages that this process receives and sends over sockets, for golden tests. Off unless a test program
// sets a receiver.
#pragma once

#include <functional>
#include <string>

namespace rattanshunt::net {

struct TapRecord {
    std::string channel;  // "http IP:PORT" with the server's address, or "peer METHOD"
    std::string request;  // headers and body
    std::string response; // status, headers and body; a stream's chunks are joined
};

// Sets the receiver of all records of this process; an empty function turns recording off. Call before any thread uses
// sockets.
void tapSet(std::function<void(const TapRecord&)>);

// True if a receiver is set. Safe from any thread.
bool tapIsOn();

// Passes a record to the receiver. Safe from any thread; the receiver is never called concurrently.
void tapEmit(const TapRecord&);

} // namespace rattanshunt::net
