// The ids of the requests that were answered on one connection.
//
// A server may write a response once more at any later time. The id that it bears tells it from the responses to other
// requests, but not from the response to the same request when that is sent again on the connection. So a request is
// sent only on connections that have not answered one with its id.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace rattanshunt::net {

// Ids that are remembered for one connection. A connection that has answered as many is not used any more.
constexpr size_t maxAnsweredRequests = 256;

struct AnsweredRequests {
    std::vector<uint64_t> idHashes; // two ids with the same hash only cost a new connection
};

void answeredAdd(AnsweredRequests&, std::string_view requestId);
bool answeredContains(const AnsweredRequests&, std::string_view requestId);
bool answeredIsFull(const AnsweredRequests&);

} // namespace rattanshunt::net
