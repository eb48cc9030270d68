// Finds the response to a request among late copies of responses to earlier requests.
//
// Used by one traffic thread; suspends its fiber.
#pragma once

#include <string_view>

#include "net/Http.h"

namespace rattanshunt::entry {

// Reads the head of the response to the request `requestId`. On a reused connection, responses with the id of another
// request are skipped; on a new one nothing can precede the response, so such a response gives Malformed. A response
// without an id is returned. Closes the connection on failure. `foreignCounter` counts responses to other requests.
net::HttpCallError readOwnHead(net::HttpConnection&, bool wasReused, std::string_view requestId, net::HttpResponse&,
    base::TimePoint deadline, const char* foreignCounter);

} // namespace rattanshunt::entry
