// Carries claims: gathers the writes of many calls, here and on other daemons, into few transactions of the KV.
//
// Control thread only, but for claim(), finish() and abandon(), which suspend and must run in a fiber of that thread.
#pragma once

#include <memory>

#include "fleet/Fleet.h"
#include "idempotency/Claims.h"

namespace rattanshunt::idempotency {

struct ClaimDecision {
    enum class Kind {
        Verdict,     // `verdict` is set
        Unavailable, // the claim could not be written: the call must not be sent
    };
    Kind kind = Kind::Unavailable;
    ClaimVerdict verdict = ClaimVerdict::OutcomeUnknown;
    Claim held;                          // what the KV holds
    coordination::Revision revision = 0; // of the own claim, if the verdict is Run
};

class ClaimService {
public:
    explicit ClaimService(fleet::Fleet&);
    ~ClaimService();

    void stop();

    // Tries to claim `kvKey` for `mine` until `deadline`. Suspends.
    ClaimDecision claim(const std::string& kvKey, const Claim& mine, base::TimePoint deadline);

    // Stores the outcome of an own claim. False if that is not certain; a repeat is then told "outcome unknown".
    // Suspends.
    bool storeOutcome(const std::string& kvKey, const Claim& done, coordination::Revision claimed);

    // Removes an own claim whose call was certainly not run. Suspends.
    void abandon(const std::string& kvKey, coordination::Revision claimed);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::idempotency
