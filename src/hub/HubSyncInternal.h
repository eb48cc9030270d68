// Constants and small helpers that the parts of Fabric share.
#pragma once

#include "base/Time.h"
#include "hub/HubSync.h"

namespace rattanshunt::hub {

inline constexpr const char* hubKey = "rs/hub";
inline constexpr const char* ordererKey = "rs/orderer";
inline constexpr const char* fleetKey = "rs/fleet";
inline constexpr const char* secretKey = "rs/secret";
inline constexpr size_t secretBytes = 16;

inline constexpr base::Millis startupReadInterval { 200 }; // between two reads while there is no hub yet
inline constexpr base::Millis memberTimeout { 3000 };      // after which the hub no longer counts a member
inline constexpr base::Millis minOutageDuration { 300 };   // failures of the store shorter than this let nothing lapse
inline constexpr size_t largeConfigurationBytes
    = 48 * 1024;                                    // bytes from which on a known configuration is not read again
inline constexpr base::Millis grantTimeout { 150 }; // for the hub to grant usage
inline constexpr base::Millis rateReportInterval { 1500 }; // between two reports of rates, which change slowly
inline constexpr base::Millis recordRetryInterval { 150 }; // between two tries to write down who gives orders
inline constexpr int maxMissedSyncs = 3; // pauses between syncs after which a member is not heard any more
inline constexpr double lowReachableMemberFraction = 0.9; // part of the members below which the hub says so
inline constexpr double memberCountChangeFraction = 0.2; // part by which the number of members must change to be stored
inline constexpr double grantPrefetchFactor = 2;         // requests of this size that one grant covers

inline int64_t ageMillis(base::BootTime now, base::BootTime then)
{
    return std::chrono::duration_cast<base::Millis>(now - then).count();
}

} // namespace rattanshunt::hub
