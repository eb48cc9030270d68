// Account quotas in HubSync: the hub's buckets and reservations, and what a daemon keeps of its own grants.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "quota/AccountQuota.h"
#include "quota/TokenReservations.h"
#include "quota/UsageRecord.h"

namespace rattanshunt::hub {

// The answer to a request for tokens, at the daemon that asked.
struct QuotaAnswer {
    quota::TokenVerdict verdict = quota::TokenVerdict::Refused;
    base::BootTime usableAt {};            // if granted later
    std::optional<base::Duration> retryIn; // if refused by the hub: when tokens are reserved for the same request
    bool isFromHub = false;                // false: decided by this daemon's own share
    bool wasReserved = false;              // granted by a reservation that an earlier refusal named
    uint64_t reservation = 0;              // if granted later
    std::string hubIncarnation;            // that granted it
};

struct QuotaSync {
    // Tokens of a held request that ended before it was sent, to be told to the hub that reserved them.
    struct Release {
        std::string account;
        uint64_t reservation = 0;
        double tokens = 0;
        std::string hubIncarnation;
    };

    quota::HubQuota hub;                   // hub only
    quota::TokenReservations reservations; // hub only
    quota::ReservationCounts counted;      // of `reservations`, as of the last addition to the metrics
    std::set<std::string> shortAccounts;   // as last logged; hub only
    bool isUsageRecordRead = false;        // since this term began; hub only
    bool isUsageRecordStored = false;      // as it should be; hub only
    base::BootTime usageRecordSentAt {};
    quota::LocalQuota local;
    std::vector<Release> releases;
};

} // namespace rattanshunt::hub
