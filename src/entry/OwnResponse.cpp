#include "entry/OwnResponse.h"

#include "base/Counters.h"
#include "entry/Outcome.h"

namespace rattanshunt::entry {

namespace {
    constexpr int maxForeignResponses = 2;
    constexpr size_t maxForeignBytes = 1024 * 1024; // of the bodies of such responses

    // False if the body does not end in time or is too long.
    bool skipBody(net::HttpConnection& connection, size_t& skippedBytes, base::TimePoint deadline)
    {
        bool isEnd = false;
        std::string piece;
        while (!isEnd && skippedBytes <= maxForeignBytes) {
            piece.clear();
            if (connection.readSome(piece, isEnd, deadline) != net::HttpCallError::None)
                return false;
            skippedBytes += piece.size();
        }
        return isEnd;
    }
}

net::HttpCallError readOwnHead(net::HttpConnection& connection, bool wasReused, std::string_view requestId,
    net::HttpResponse& response, base::TimePoint deadline, const char* foreignCounter)
{
    size_t skippedBytes = 0;
    for (int i = 0; i <= maxForeignResponses; ++i) {
        net::HttpCallError error = connection.readHead(response, deadline);
        if (error != net::HttpCallError::None)
            return error;
        std::string_view responseId = net::httpHeader(response.headers, headerRequestId);
        if (responseId.empty() || responseId == requestId)
            return net::HttpCallError::None;
        base::counterAdd(foreignCounter);
        if (!wasReused || !skipBody(connection, skippedBytes, deadline))
            break;
    }
    connection.cancel();
    return net::HttpCallError::Malformed;
}

} // namespace rattanshunt::entry
