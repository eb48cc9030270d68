#include "cli/GatewayDaemonOptions.h"

#include <algorithm>

namespace rattanshunt::cli {

namespace {

    // API keys are accepted with a configuration up to maxRevocationDelay old, less this.
    constexpr base::Millis revocationMargin { 200 };

    constexpr double bytesPerMb = 1024 * 1024;

    // Unknown routes are refused with a configuration up to this fraction of maxConfigurationDelay old.
    constexpr double denialFraction = 0.9;

    // Daemons with at least these resources have the highest priority in the election of the hub.
    constexpr double fullPriorityCores = 0.5;
    constexpr double fullPriorityLinkMbps = 200;

    spill::SpillOptions spillOptions(const settings::GatewaySettings& settings)
    {
        spill::SpillOptions options;
        options.costPerMb = settings.transferCostPerMb;
        options.delay = settings.transferDelay;
        return options;
    }

    // Of the hub's read and a member's sync, besides the intervals between them.
    constexpr base::Millis syncTime { 100 };

} // namespace

gateway::GatewayOptions gatewayOptions(const settings::GatewaySettings& settings)
{
    gateway::GatewayOptions options;
    options.maxConfigurationAgeForKeys = settings.maxRevocationDelay - revocationMargin;
    options.maxConfigurationAgeForDenial
        = base::Millis(static_cast<int64_t>(denialFraction * settings.maxConfigurationDelay.count()));
    options.loggedDirectoryAge = settings.maxReplicaRemovalDelay / 2;
    options.retryBudget.retriesPerRequest = settings.retryRatio;
    options.retryBudget.extraRetries = settings.extraRetries;
    options.retryBudget.window = settings.retryWindow;
    options.memoryPlan = net::memoryPlan(static_cast<size_t>(settings.memoryMb * bytesPerMb), settings.maxDescriptors);
    options.connections.connect.receiveBufferBytes = options.memoryPlan.receiveBufferBytes;
    return options;
}

hub::HubSyncOptions hubSyncOptions(const settings::GatewaySettings& settings)
{
    hub::HubSyncOptions options;
    options.name = settings.name;
    options.dataCenter = settings.dataCenter;
    options.peerAddress = settings.peerListen;
    options.electionPriority
        = std::min({ 1.0, settings.cpuCores / fullPriorityCores, settings.linkMbps / fullPriorityLinkMbps });
    base::Millis maxDelay = std::min(settings.maxConfigurationDelay, settings.maxReplicaRemovalDelay);
    options.directoryAge = directory::directoryAgeLimits(settings.maxReplicaRemovalDelay);
    options.entryInterval = settings.replicaEntryInterval;
    base::Millis maxInterval
        = std::min(maxDelay * 3 / 10, options.directoryAge.refreshAhead - options.hubReadInterval - syncTime);
    options.maxSyncInterval = std::max(options.minSyncInterval, maxInterval);
    options.orderHandoverDelay = settings.orderHandoverDelay;
    options.quotaWindow = settings.quotaWindow;
    options.quotaSlack = settings.quotaSlack;
    options.quotaReservations = settings.quotaReservations;
    options.geos = settings.geos;
    options.coldBound = { settings.coldExcess, settings.coldSlack };
    options.spill = spillOptions(settings);
    return options;
}

reach::DialerOptions dialerOptions(const settings::GatewaySettings& settings)
{
    reach::DialerOptions options;
    options.connect = gatewayOptions(settings).connections.connect;
    return options;
}

} // namespace rattanshunt::cli
