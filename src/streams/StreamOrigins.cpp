#include "streams/StreamOrigins.h"

#include <algorithm>
#include <vector>

#include "base/Text.h"

namespace rattanshunt::streams {

using base::BootTime;

StreamKey streamKey(const std::string& requestId)
{
    return base::stableHash(requestId);
}

void originRecord(OriginTable& table, StreamKey key, StreamOrigin origin)
{
    BootTime recordedAt = origin.recordedAt;
    if (!table.origins.try_emplace(key, std::move(origin)).second)
        return;
    table.order.emplace_back(recordedAt, key);
    while (table.order.size() > maxOrigins) {
        table.origins.erase(table.order.front().second);
        table.order.pop_front();
        ++table.dropped;
    }
}

std::optional<std::string> originFind(const OriginTable& table, StreamKey key, const std::string& service)
{
    auto found = table.origins.find(key);
    if (found == table.origins.end() || found->second.service != service)
        return std::nullopt;
    return found->second.version;
}

void originsExpire(OriginTable& table, BootTime now)
{
    while (!table.order.empty() && now - table.order.front().first > originLifetime) {
        table.origins.erase(table.order.front().second);
        table.order.pop_front();
    }
}

void versionsSee(VersionHistory& history, const std::string& service, const std::string& version, BootTime seenAt)
{
    BootTime& last = history[service][version];
    last = std::max(last, seenAt);
}

namespace {

    // Up to two of the versions whose streams may still be taken up.
    std::vector<std::string> recentVersions(const VersionHistory& history, const std::string& service, BootTime now)
    {
        std::vector<std::string> recent;
        auto found = history.find(service);
        if (found == history.end())
            return recent;
        for (const auto& [version, seenAt] : found->second) {
            if (now - seenAt <= originLifetime && recent.size() < 2)
                recent.push_back(version);
        }
        return recent;
    }

} // namespace

bool versionsAreMixed(const VersionHistory& history, const std::string& service, BootTime now)
{
    return recentVersions(history, service, now).size() > 1;
}

std::optional<std::string> versionsOnly(const VersionHistory& history, const std::string& service, BootTime now)
{
    std::vector<std::string> recent = recentVersions(history, service, now);
    return recent.size() == 1 ? std::optional(recent.front()) : std::nullopt;
}

} // namespace rattanshunt::streams
