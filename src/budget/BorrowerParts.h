// Internal to budget/: helpers shared by Borrower.cpp and BorrowerAnswers.cpp.
#pragma once

#include <algorithm>

#include "budget/Borrower.h"

namespace rattanshunt::budget {

// Returns true if `flag` is set for all parts of the request, except those of excluded lenders.
inline bool allParts(const BorrowerRequest& waiting, bool BorrowerPart::*flag)
{
    return waiting.partSlotMask
        && std::all_of(waiting.parts.begin(), waiting.parts.end(),
            [&](const BorrowerPart& part) { return part.isExcluded || part.*flag; });
}

} // namespace rattanshunt::budget
