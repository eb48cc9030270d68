#include "net/SocketPeek.h"

#include <cerrno>

#include <sys/socket.h>

namespace rattanshunt::net {

SocketPeek socketPeek(int nativeSocket)
{
    char byte = 0;
    // Asio's receive() would block, because Asio sockets are not in the user's non-blocking mode by default.
    ssize_t count = ::recv(nativeSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return SocketPeek::HasBytes;
    bool wouldWait = count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    return wouldWait ? SocketPeek::NoBytes : SocketPeek::Closed;
}

} // namespace rattanshunt::net
