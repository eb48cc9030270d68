// Internal to budget/: what asking and answering share.
#pragma once

#include <algorithm>

#include "budget/Borrower.h"

namespace rattanshunt::budget {

// Whether all homes that give a part of the request have `flag` set.
inline bool allParts(const BorrowerRequest& waiting, bool BorrowerPart::*flag)
{
    return waiting.partSlotMask
        && std::all_of(waiting.parts.begin(), waiting.parts.end(),
            [&](const BorrowerPart& part) { return part.isExcluded || part.*flag; });
}

} // namespace rattanshunt::budget
