#include "net/SocketPeek.h"

#include <cerrno>

#include <sys/socket.h>

namespace rattanshunt::net {

SocketPeek socketPeek(int nativeSocket)
{
    char byte = 0;
    // Asio's own receive() would wait on a socket that is not in the user's non-blocking mode.
    ssize_t count = ::recv(nativeSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return SocketPeek::HasBytes;
    bool wouldWait = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return wouldWait ? SocketPeek::NoBytes : SocketPeek::Closed;
}

} // namespace rattanshunt::net
