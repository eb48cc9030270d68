// Internal to hub/: constants and helpers shared by the source files of HubSync. Constants are safe from any thread.
#pragma once

#include <chrono>

#include "base/Text.h"
#include "base/Time.h"
#include "hub/HubSync.h"

namespace rattanshunt::hub {

inline constexpr const char* hubKey = "rs/hub";
inline constexpr const char* ordererKey = "rs/orderer";
inline constexpr const char* fleetKey = "rs/fleet";
inline constexpr const char* partsKey = "rs/parts";
inline constexpr const char* streamsKey = "rs/streams";
inline constexpr const char* usageKey = "rs/usage";
inline constexpr const char* secretKey = "rs/secret";
inline constexpr size_t secretBytes = 16;

// Without a hub, until a daemon that reaches no replica campaigns.
inline constexpr base::Millis lostCampaignDelay { 2500 };
inline constexpr base::Millis startupReadInterval { 200 };   // between two store reads while there is no hub yet
inline constexpr base::Millis memberTimeout { 3000 };        // without a sync, after which the hub drops a member
inline constexpr size_t largeConfigurationBytes = 48 * 1024; // above, a known configuration is compared, not read
inline constexpr base::Millis grantTimeout { 150 };          // for one call to the hub for quota
inline constexpr base::Millis permitTimeout { 150 };         // for one call to the hub for a permit
inline constexpr base::Millis rateReportInterval { 1500 };  // between two reports of arrival rates, which change slowly
inline constexpr base::Millis usageRecordInterval { 1000 }; // between two writes of the record of usage
inline constexpr base::Millis recordRetryInterval { 150 };  // between two attempts to write the orderer record
inline constexpr size_t maxAddressSample = 16;              // addresses of other members that a member is told
inline constexpr int maxMissedSyncs = 3; // sync intervals without a sync, after which a member counts as unreachable
inline constexpr double lowReachableMemberFraction = 0.9; // the hub logs when the fraction crosses this value
inline constexpr double memberCountChangeFraction = 0.2;  // relative change beyond which the stored count is updated
inline constexpr double grantPrefetchFactor = 2;          // a grant covers this many requests of the requested size

inline int64_t ageMillis(base::BootTime now, base::BootTime then)
{
    return std::chrono::duration_cast<base::Millis>(now - then).count();
}

inline int64_t ageMicros(base::BootTime now, base::BootTime then)
{
    return std::chrono::duration_cast<base::Micros>(now - then).count();
}

// Since the Unix epoch, by the time of day.
inline base::Millis unixNow()
{
    return std::chrono::duration_cast<base::Millis>(std::chrono::system_clock::now().time_since_epoch());
}

// Uniform in 0 to 1.
inline double randomFraction()
{
    return static_cast<double>(base::stableHash(base::randomBytes(8)) % 10000) / 10000;
}

} // namespace rattanshunt::hub
