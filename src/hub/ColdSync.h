// What a daemon knows of cold replicas, and what it has of the hub's list.
#pragma once

#include <cstdint>

#include "limits/ColdReplicas.h"

namespace rattanshunt::hub {

struct ColdSync {
    limits::ColdLedger ledger;
    uint64_t hubVersion = 0; // of the hub's ledger, as last applied; 0: it has to be sent again
};

} // namespace rattanshunt::hub
