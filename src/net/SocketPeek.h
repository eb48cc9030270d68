// Checks a TCP socket without blocking and without consuming bytes.
#pragma once

namespace rattanshunt::net {

enum class SocketPeek {
    NoBytes, // open, nothing to read
    HasBytes,
    Closed, // by the peer, or failed
};

// Call only on the thread that owns the socket.
SocketPeek socketPeek(int nativeSocket);

} // namespace rattanshunt::net
