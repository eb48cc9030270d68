// Looks at a TCP socket without waiting and without taking bytes from it.
#pragma once

namespace rattanshunt::net {

enum class SocketPeek {
    NoBytes, // open, nothing to read
    HasBytes,
    Closed, // by the other side, or broken
};

// Safe from the thread that owns the socket.
SocketPeek socketPeek(int nativeSocket);

} // namespace rattanshunt::net
