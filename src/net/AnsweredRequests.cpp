#include "net/AnsweredRequests.h"

#include <algorithm>

#include "base/Text.h"

namespace rattanshunt::net {

void answeredAdd(AnsweredRequests& answered, std::string_view requestId)
{
    if (!answeredContains(answered, requestId))
        answered.idHashes.push_back(base::stableHash(requestId));
}

bool answeredContains(const AnsweredRequests& answered, std::string_view requestId)
{
    return std::find(answered.idHashes.begin(), answered.idHashes.end(), base::stableHash(requestId))
        != answered.idHashes.end();
}

bool answeredIsFull(const AnsweredRequests& answered)
{
    return answered.idHashes.size() >= maxAnsweredRequests;
}

} // namespace rattanshunt::net
