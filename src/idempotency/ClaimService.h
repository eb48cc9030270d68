// Writes claims on idempotency keys to the KV. Batches the writes of many calls, of this and other daemons, into few
// transactions.
//
// Control thread only. claim(), storeOutcome() and abandon() suspend and must run in a fiber of that thread.
#pragma once

#include <memory>

#include "fleet/Fleet.h"
#include "idempotency/Claims.h"

namespace rattanshunt::idempotency {

struct ClaimDecision {
    enum class Kind {
        Verdict,     // `verdict` and `held` are set
        Unavailable, // the claim could not be written; the call must not be sent
    };
    Kind kind = Kind::Unavailable;
    ClaimVerdict verdict = ClaimVerdict::OutcomeUnknown;
    Claim held;                          // the claim in the KV
    coordination::Revision revision = 0; // of the claim, for storeOutcome() and abandon()
};

class ClaimService {
public:
    explicit ClaimService(fleet::Fleet&);
    ~ClaimService();

    void stop();

    // Tries to write the claim `mine` under `kvKey` until `deadline`. Suspends.
    ClaimDecision claim(const std::string& kvKey, const Claim& mine, base::TimePoint deadline);

    // Stores the outcome of a claim of this daemon, which was written at revision `claimed`. Returns false if the
    // outcome may not have been stored; a repeat may then be answered with "outcome unknown". Suspends.
    bool storeOutcome(const std::string& kvKey, const Claim& done, coordination::Revision claimed);

    // Removes a claim of this daemon whose call has certainly not run. Suspends.
    void abandon(const std::string& kvKey, coordination::Revision claimed);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::idempotency
