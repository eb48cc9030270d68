// Helpers of the tests of the ledger of prompt parts.
#pragma once

#include "Support.h"
#include "prompts/PartLedger.h"

namespace rattanshunt::tests {

using namespace prompts;

inline base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000) + base::durationOf(millis / 1000);
}

inline PartKey keyOf(const std::string& part)
{
    return { "engine", part };
}

inline ReplicaEnd endOf(
    const std::string& replica, int64_t startedAtMillis, std::vector<std::string> parts, double millis)
{
    return { { replica, startedAtMillis }, bootAt(millis), "engine", std::move(parts) };
}

inline std::optional<base::BootTime> noReport(const ReplicaLife&)
{
    return std::nullopt;
}

inline bool isBlocked(const PartLedger& ledger, const std::string& part, base::BootTime now)
{
    return viewFindBlocked(ledgerView(ledger), "engine", { part }, now).has_value();
}

// Three replicas end under `parts`, 100 ms apart from 0 on.
inline void recordThreeEnds(PartLedger& ledger, const std::vector<std::string>& parts)
{
    for (int i = 0; i < 3; ++i)
        ledgerRecordEnd(ledger, endOf(fmt::format("r{}", i), 1, parts, i * 100), bootAt(i * 100));
}

} // namespace rattanshunt::tests
