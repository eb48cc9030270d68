// A tap on what goes over sockets, for golden sessions. Off unless a test program sets it.
#pragma once

#include <functional>
#include <string>

namespace rattanshunt::net {

struct TapRecord {
    std::string channel;  // "http IP:PORT" of the server, or "peer METHOD"
    std::string request;  // as sent, heads and body
    std::string response; // likewise; chunks of a stream joined
};

// Sets the receiver of all records of this process. Call before any thread uses sockets.
void tapSet(std::function<void(const TapRecord&)>);

// True if a receiver is set. Safe from any thread.
bool tapIsOn();

// Gives a record to the receiver. Safe from any thread.
void tapEmit(const TapRecord&);

} // namespace rattanshunt::net
