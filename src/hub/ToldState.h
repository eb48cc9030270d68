// Up to where the hub has been told of a daemon's observations, which are numbered from 1.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

namespace rattanshunt::hub {

struct ToldState {
    uint64_t sequence = 0;   // of the last observation that the hub was told of
    std::string incarnation; // of that hub; empty: none was told
};

// Records that a hub has answered a message which told it all up to `sentSequence`. False if it is another hub than the
// last one: it has to be told everything again.
inline bool toldRecord(ToldState& told, const std::string& incarnation, uint64_t sentSequence)
{
    if (incarnation == told.incarnation) {
        told.sequence = std::max(told.sequence, sentSequence);
        return true;
    }
    told = { 0, incarnation };
    return false;
}

} // namespace rattanshunt::hub
