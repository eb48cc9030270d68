#include "settings/GatewaySettings.h"

#include <cmath>
#include <cstdlib>
#include <fstream>

#include <fmt/format.h>
#include <gflags/gflags.h>

#include "gateway/Configuration.h"
#include "net/MemoryAccount.h"

DECLARE_string(name);
DECLARE_string(data_center);
DECLARE_string(client_listen);
DECLARE_string(peer_listen);
DECLARE_string(log_level);

DEFINE_string(ready_listen, "127.0.0.1:8083", "IP:PORT for the readiness probe of the gateway");
DEFINE_string(metrics_listen, "127.0.0.1:8084", "IP:PORT for the metrics of the gateway");
DEFINE_string(store, "", "IP:PORT of the platform's metadata store, for the gateway");
DEFINE_double(cpu_share, 1, "part of a core that this instance has");
DEFINE_double(link_mbps, 1000, "bandwidth of this instance's link, in Mbit/s");
DEFINE_double(memory_mb, 0, "memory of this instance, in MB; 0: unknown");
DEFINE_int32(max_descriptors, 0, "file descriptors that this instance may have open; 0: unknown");
DEFINE_int32(configuration_ms, 2000, "time until a change of the configuration must be in force");
DEFINE_int32(leave_ms, 2000, "time until nothing may be sent to a replica that is leaving");
DEFINE_int32(entry_interval_ms, 1200, "time between two writes of a replica's entry in the store");
DEFINE_int32(revoke_ms, 5000, "time until a withdrawn key must be refused");
DEFINE_int32(order_gap_ms, 3000, "time between the last order of one holder and the first of another");
DEFINE_int32(grace_seconds, 8, "time between SIGTERM and the end of the process");
DEFINE_int32(repeat_window_seconds, 10, "window in which repeats of requests are counted");
DEFINE_double(repeat_ratio, 0.2, "repeats for each request of a service");
DEFINE_double(repeat_extra, 100, "repeats in a window beyond that, of the whole fleet");
DEFINE_int32(quota_window_seconds, 8, "window in which the limit of an account is measured");
DEFINE_double(cold_excess, 1.5, "times its rate that a cold replica may get in a second");
DEFINE_double(cold_slack, 5, "requests that a cold replica may get in a second beyond that");
DEFINE_string(geos, "", "the geo of each data centre: DATACENTRE:GEO,...");
DEFINE_bool(
    quota_reservations, false, "schedule requests of accounts that are short of tokens, and record usage in the store");
DEFINE_double(quota_slack, 0, "tokens that the fleet may grant beyond an account's limit");
DEFINE_double(transfer_cost_per_mb, 0, "seconds of a caller's time that a megabyte between data centres costs");
DEFINE_int32(transfer_delay_ms, 0, "time that a request takes longer in another data centre");

namespace rattanshunt::settings {

namespace {

    constexpr double bytesPerMb = 1024 * 1024;

    base::Address readAddress(const char* flag, const std::string& value, std::vector<SettingError>& errors)
    {
        auto address = base::parseAddress(value);
        if (!address)
            errors.push_back({ flag, value, "IP:PORT with an IP number" });
        return address.value_or(base::Address {});
    }

    std::map<std::string, std::string> readGeos(const std::string& value, std::vector<SettingError>& errors)
    {
        std::map<std::string, std::string> geos;
        for (const std::string& pair : base::splitText(value, ',')) {
            size_t colon = pair.find(':');
            if (pair.empty())
                continue;
            if (colon == std::string::npos || colon == 0 || colon + 1 == pair.size())
                errors.push_back({ "geos", value, "DATACENTRE:GEO pairs with commas between them" });
            else
                geos[pair.substr(0, colon)] = pair.substr(colon + 1);
        }
        return geos;
    }

    double readNonNegative(const char* flag, double value, double max, std::vector<SettingError>& errors)
    {
        if (!(value >= 0 && value <= max))
            errors.push_back({ flag, fmt::format("{}", value), fmt::format("a number from 0 to {}", max) });
        return value;
    }

} // namespace

std::optional<std::string> settingsFilePath()
{
    const char* path = std::getenv("RATTANSHUNT_NODE_FILE");
    return path ? std::optional<std::string>(path) : std::nullopt;
}

void settingsReadFile(const std::string& path, std::vector<SettingError>& errors)
{
    std::ifstream file(path);
    if (!file) {
        errors.push_back({ "RATTANSHUNT_NODE_FILE", path, "a file that can be read" });
        return;
    }
    std::string line;
    while (std::getline(file, line)) {
        size_t equals = line.find('=');
        if (!line.starts_with("--") || equals == std::string::npos)
            continue;
        std::string flag = line.substr(2, equals - 2);
        std::string value = line.substr(equals + 1);
        if (gflags::SetCommandLineOption(flag.c_str(), value.c_str()).empty())
            errors.push_back({ flag, value, "a known flag with a value of its type" });
    }
}

GatewaySettings gatewaySettingsFromFlags(std::vector<SettingError>& errors)
{
    GatewaySettings settings;
    if (!base::isResourceName(FLAGS_name))
        errors.push_back({ "name", FLAGS_name, "1 to 63 characters of a-z, 0-9, '-', '_' and '.'" });
    settings.name = FLAGS_name;
    settings.dataCenter = FLAGS_data_center;
    settings.clientListen = readAddress("client_listen", FLAGS_client_listen, errors);
    settings.peerListen = readAddress("peer_listen", FLAGS_peer_listen, errors);
    settings.readyListen = readAddress("ready_listen", FLAGS_ready_listen, errors);
    settings.metricsListen = readAddress("metrics_listen", FLAGS_metrics_listen, errors);
    settings.storeAddress = readAddress("store", FLAGS_store, errors);
    settings.cpuCores = readNonNegative("cpu_share", FLAGS_cpu_share, 1024, errors);
    settings.logLevel = logLevelParse(FLAGS_log_level, errors);
    settings.memoryMb = readNonNegative("memory_mb", FLAGS_memory_mb, 1e6, errors);
    settings.maxDescriptors
        = static_cast<size_t>(readNonNegative("max_descriptors", FLAGS_max_descriptors, 1e7, errors));
    // One body of the configuration's default limit must be served.
    size_t leastBytes = net::memoryLeastBytes(gateway::CallerLimits().maxBodyBytes);
    double leastMb = std::ceil(static_cast<double>(leastBytes) / bytesPerMb);
    if (settings.memoryMb > 0 && settings.memoryMb < leastMb)
        errors.push_back(
            { "memory_mb", fmt::format("{}", FLAGS_memory_mb), fmt::format("0, or at least {}", leastMb) });
    if (settings.maxDescriptors && settings.maxDescriptors < net::leastDescriptors)
        errors.push_back({ "max_descriptors", fmt::format("{}", FLAGS_max_descriptors),
            fmt::format("0, or at least {}", net::leastDescriptors) });
    constexpr double maxMillis = 3600000;
    auto millis = [&](const char* flag, int value) {
        return base::Millis(static_cast<int64_t>(readNonNegative(flag, value, maxMillis, errors)));
    };
    settings.maxConfigurationDelay = millis("configuration_ms", FLAGS_configuration_ms);
    settings.maxRevocationDelay = millis("revoke_ms", FLAGS_revoke_ms);
    settings.linkMbps = readNonNegative("link_mbps", FLAGS_link_mbps, 1e6, errors);
    settings.maxReplicaRemovalDelay = millis("leave_ms", FLAGS_leave_ms);
    settings.replicaEntryInterval = millis("entry_interval_ms", FLAGS_entry_interval_ms);
    settings.orderHandoverDelay = millis("order_gap_ms", FLAGS_order_gap_ms);
    settings.terminationGracePeriod
        = base::Seconds(static_cast<int64_t>(readNonNegative("grace_seconds", FLAGS_grace_seconds, 3600, errors)));
    settings.retryWindow = base::Seconds(
        static_cast<int64_t>(readNonNegative("repeat_window_seconds", FLAGS_repeat_window_seconds, 3600, errors)));
    settings.retryRatio = readNonNegative("repeat_ratio", FLAGS_repeat_ratio, 100, errors);
    settings.extraRetries = readNonNegative("repeat_extra", FLAGS_repeat_extra, 1e9, errors);
    settings.quotaWindow = base::Seconds(
        static_cast<int64_t>(readNonNegative("quota_window_seconds", FLAGS_quota_window_seconds, 3600, errors)));
    settings.coldExcess = readNonNegative("cold_excess", FLAGS_cold_excess, 1e6, errors);
    settings.coldSlack = readNonNegative("cold_slack", FLAGS_cold_slack, 1e9, errors);
    settings.geos = readGeos(FLAGS_geos, errors);
    settings.transferCostPerMb = readNonNegative("transfer_cost_per_mb", FLAGS_transfer_cost_per_mb, 1e6, errors);
    settings.transferDelay = millis("transfer_delay_ms", FLAGS_transfer_delay_ms);
    settings.quotaReservations = FLAGS_quota_reservations;
    settings.quotaSlack = readNonNegative("quota_slack", FLAGS_quota_slack, 1e12, errors);
    return settings;
}

} // namespace rattanshunt::settings
