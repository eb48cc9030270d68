#include "settings/Settings.h"

#include <cstdlib>
#include <set>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <unistd.h>

// ---- Identity and addresses ------------------------------------------------------------------------
DEFINE_string(name, "", "name of this daemon, unique in the fleet");
DEFINE_string(instance_id, "", "the platform's identifier of this instance; the name if empty");
DEFINE_string(data_center, "", "data centre of this instance");
DEFINE_string(client_listen, "0.0.0.0:8080", "IP:PORT for callers");
DEFINE_string(peer_listen, "0.0.0.0:8081", "IP:PORT for other daemons; others connect to this address");
DEFINE_string(admin_listen, "127.0.0.1:8082", "IP:PORT for operators, probes and counters");
DEFINE_string(platform, "", "IP:PORT list of the platform's key-value service, separated by commas");
DEFINE_string(peers, "", "IP:PORT list of daemons to ask at start if the platform does not answer");
DEFINE_string(
    fleet_secret, "", "secret shared by all daemons, at least 16 bytes; better given by environment variable");
DEFINE_string(admin_token_digest, "", "SHA-256 of the operators' token in hexadecimal; empty: no token is asked for");
DEFINE_int32(traffic_threads, 1, "threads that serve callers");
DEFINE_string(log_level, "info", "lowest level of events to log: debug, info, warning or error");
// ---- Requests --------------------------------------------------------------------------------------
DEFINE_int32(request_deadline_ms, 60000, "time for a request that names no deadline");
DEFINE_int32(max_deadline_ms, 600000, "longest deadline that a caller may ask for");
DEFINE_int32(first_token_timeout_ms, 10000, "silence of an endpoint before the first byte of its answer");
DEFINE_int32(stream_timeout_ms, 5000, "silence of an endpoint in the middle of its answer");
DEFINE_int32(connect_timeout_ms, 1000, "time to connect to an endpoint");
DEFINE_int32(retry_budget_percent, 10, "repeats of requests for each hundred requests");
DEFINE_int32(max_queued, 2000, "requests that wait for a replica, for each traffic thread");
DEFINE_int32(max_connections, 20000, "connections of callers, for each traffic thread");
DEFINE_int32(max_body_bytes, 1048576, "longest body of a request");
DEFINE_int32(max_output_tokens, 32768, "most output tokens that a request may ask for");
// ---- Fleet -----------------------------------------------------------------------------------------
DEFINE_int32(session_seconds, 10, "time to live of the daemon's lease in the key-value service");
DEFINE_int32(freshness_limit_ms, 2500, "age of configuration up to which requests with keys are served");
DEFINE_int32(head_check_ms, 500, "time between two checks for newer configuration");
DEFINE_int32(relays_per_data_center, 2, "daemons of each data centre that watch the key-value service for the others");
DEFINE_int32(budget_slots, 4, "homes over which each account's rate is divided; the same on all daemons");
DEFINE_int32(token_validity_ms, 100, "time for which borrowed tokens may be used; the same on all daemons");
DEFINE_int32(share_term_seconds, 1800, "time for which a budget home may lend without the key-value service");
DEFINE_int32(store_loads, 4, "loads of models at once from the weight store");
DEFINE_int32(adapter_loads, 30, "loads of adapters at once");
DEFINE_int32(drain_ms, 2000, "time between not being ready and the end of accepting, at a stop");
DEFINE_int32(stop_seconds, 120, "time for requests to end, at a stop");

namespace rattanshunt::settings {

namespace {

    constexpr size_t minSecretBytes = 16;
    constexpr size_t digestDigits = 64;
    constexpr std::string_view variablePrefix = "RATTANSHUNT_";
    constexpr const char* nodeFileVariable = "RATTANSHUNT_NODE_FILE"; // path of a file of flags, see GatewaySettings.h
    // Values of these flags must not appear in error messages.
    const std::set<std::string> secretFlags = { "fleet_secret" };

    // Excludes flags of gflags, glog and of single commands.
    bool isProductFlag(const gflags::CommandLineFlagInfo& flag)
    {
        return flag.filename.find("/settings/") != std::string::npos;
    }

    std::string variableName(const std::string& flag)
    {
        std::string name(variablePrefix);
        for (char c : flag)
            name += c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c;
        return name;
    }

    // Validates values of flags and collects the errors.
    class FlagReader {
    public:
        FlagReader(std::vector<SettingError>& errors)
            : m_errors(errors)
        {
        }

        void addError(const std::string& flag, const std::string& value, const std::string& allowed)
        {
            m_errors.push_back({ flag, secretFlags.contains(flag) ? "(hidden)" : value, allowed });
        }

        template <typename Number> Number number(const char* flag, int value, int min, int max)
        {
            if (value < min || value > max)
                addError(flag, std::to_string(value), fmt::format("a whole number from {} to {}", min, max));
            return Number(value);
        }

        std::string name(const char* flag, const std::string& value)
        {
            if (!base::isResourceName(value))
                addError(flag, value, "1 to 63 characters of a-z, 0-9, '-', '_' and '.'");
            return value;
        }

        base::Address address(const char* flag, const std::string& value)
        {
            auto address = base::parseAddress(value);
            if (!address)
                addError(flag, value, "IP:PORT with an IP number");
            return address.value_or(base::Address {});
        }

        std::vector<base::Address> addresses(const char* flag, const std::string& value, bool isOptional)
        {
            std::vector<base::Address> list;
            for (const std::string& part : base::splitText(value, ',')) {
                auto address = base::parseAddress(part);
                if (address)
                    list.push_back(*address);
                else
                    addError(flag, part, "IP:PORT with an IP number, several separated by commas");
            }
            if (list.empty() && !isOptional)
                addError(flag, value, "at least one IP:PORT");
            return list;
        }

        std::vector<SettingError>& errors() { return m_errors; }

    private:
        std::vector<SettingError>& m_errors;
    };

    void readIdentity(FlagReader& reader, Settings& settings)
    {
        settings.name = reader.name("name", FLAGS_name);
        settings.instanceId = FLAGS_instance_id.empty() ? FLAGS_name : FLAGS_instance_id;
        settings.dataCenter = reader.name("data_center", FLAGS_data_center);
        settings.clientListen = reader.address("client_listen", FLAGS_client_listen);
        settings.peerListen = reader.address("peer_listen", FLAGS_peer_listen);
        settings.adminListen = reader.address("admin_listen", FLAGS_admin_listen);
        settings.platformAddresses = reader.addresses("platform", FLAGS_platform, false);
        settings.seedPeers = reader.addresses("peers", FLAGS_peers, true);
        settings.fleetSecret = FLAGS_fleet_secret;
        if (settings.fleetSecret.size() < minSecretBytes)
            reader.addError("fleet_secret", "", fmt::format("at least {} bytes", minSecretBytes));
        settings.adminTokenDigest = FLAGS_admin_token_digest;
        bool isDigest = settings.adminTokenDigest.size() == digestDigits
            && settings.adminTokenDigest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!settings.adminTokenDigest.empty() && !isDigest)
            reader.addError(
                "admin_token_digest", FLAGS_admin_token_digest, "64 hexadecimal digits in lower case, or empty");
        settings.trafficThreads = reader.number<size_t>("traffic_threads", FLAGS_traffic_threads, 1, 64);
        settings.logLevel = logLevelParse(FLAGS_log_level, reader.errors());
    }

    void readRequestLimits(FlagReader& reader, Settings& settings)
    {
        using base::Millis;
        constexpr int maxMillis = 3600000;
        settings.defaultDeadline
            = reader.number<Millis>("request_deadline_ms", FLAGS_request_deadline_ms, 1, maxMillis);
        settings.maxDeadline = reader.number<Millis>("max_deadline_ms", FLAGS_max_deadline_ms, 1, maxMillis);
        settings.firstTokenTimeout
            = reader.number<Millis>("first_token_timeout_ms", FLAGS_first_token_timeout_ms, 10, maxMillis);
        settings.streamTimeout = reader.number<Millis>("stream_timeout_ms", FLAGS_stream_timeout_ms, 10, maxMillis);
        settings.connectTimeout = reader.number<Millis>("connect_timeout_ms", FLAGS_connect_timeout_ms, 10, 60000);
        settings.retryBudgetPercent = reader.number<size_t>("retry_budget_percent", FLAGS_retry_budget_percent, 0, 100);
        settings.maxQueued = reader.number<size_t>("max_queued", FLAGS_max_queued, 1, 1000000);
        settings.maxConnections = reader.number<size_t>("max_connections", FLAGS_max_connections, 1, 1000000);
        settings.maxBodyBytes = reader.number<size_t>("max_body_bytes", FLAGS_max_body_bytes, 1024, 64 * 1024 * 1024);
        settings.maxOutputTokens = reader.number<size_t>("max_output_tokens", FLAGS_max_output_tokens, 1, 1000000);
        if (settings.defaultDeadline > settings.maxDeadline)
            reader.addError(
                "request_deadline_ms", std::to_string(FLAGS_request_deadline_ms), "at most max_deadline_ms");
    }

    void readFleetSettings(FlagReader& reader, Settings& settings)
    {
        using base::Millis;
        using base::Seconds;
        settings.sessionTimeToLive = reader.number<Seconds>("session_seconds", FLAGS_session_seconds, 1, 3600);
        settings.freshnessLimit = reader.number<Millis>("freshness_limit_ms", FLAGS_freshness_limit_ms, 100, 600000);
        settings.headCheckInterval = reader.number<Millis>("head_check_ms", FLAGS_head_check_ms, 50, 60000);
        settings.relaysPerDataCenter
            = reader.number<size_t>("relays_per_data_center", FLAGS_relays_per_data_center, 1, 16);
        settings.budgetSlots = reader.number<size_t>("budget_slots", FLAGS_budget_slots, 1, 32);
        settings.tokenValidity = reader.number<Millis>("token_validity_ms", FLAGS_token_validity_ms, 10, 10000);
        settings.shareTerm = reader.number<Seconds>("share_term_seconds", FLAGS_share_term_seconds, 1, 86400);
        settings.maxStoreLoads = reader.number<size_t>("store_loads", FLAGS_store_loads, 1, 1000);
        settings.maxAdapterLoads = reader.number<size_t>("adapter_loads", FLAGS_adapter_loads, 1, 10000);
        settings.drainDelay = reader.number<Millis>("drain_ms", FLAGS_drain_ms, 0, 600000);
        settings.stopTimeout = reader.number<Seconds>("stop_seconds", FLAGS_stop_seconds, 1, 86400);
        if (settings.headCheckInterval * 2 > settings.freshnessLimit)
            reader.addError("head_check_ms", std::to_string(FLAGS_head_check_ms), "at most half of freshness_limit_ms");
    }

} // namespace

std::vector<SettingError> settingsFromEnvironment()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::set<std::string> variables = { nodeFileVariable };
    std::vector<SettingError> errors;
    for (const gflags::CommandLineFlagInfo& flag : flags) {
        if (!isProductFlag(flag))
            continue;
        std::string variable = variableName(flag.name);
        variables.insert(variable);
        const char* value = std::getenv(variable.c_str());
        if (value && gflags::SetCommandLineOption(flag.name.c_str(), value).empty())
            errors.push_back({ variable, value, fmt::format("a value of type {}", flag.type) });
    }
    for (char** variable = environ; *variable; ++variable) {
        std::string_view text = *variable;
        std::string name(text.substr(0, text.find('=')));
        if (name.starts_with(variablePrefix) && !variables.contains(name))
            errors.push_back({ name, "", "a variable that names a setting" });
    }
    return errors;
}

Settings settingsFromFlags(std::vector<SettingError>& errors)
{
    Settings settings;
    FlagReader reader(errors);
    readIdentity(reader, settings);
    readRequestLimits(reader, settings);
    readFleetSettings(reader, settings);
    return settings;
}

base::LogLevel logLevelParse(const std::string& value, std::vector<SettingError>& errors)
{
    if (value == "debug")
        return base::LogLevel::Debug;
    if (value == "warning")
        return base::LogLevel::Warning;
    if (value == "error")
        return base::LogLevel::Error;
    if (value != "info")
        errors.push_back({ "log_level", value, "debug, info, warning or error" });
    return base::LogLevel::Info;
}

std::string settingErrorText(const SettingError& error)
{
    return fmt::format("setting {}: \"{}\" is not allowed; allowed: {}", error.flag, error.value, error.allowed);
}

std::string settingsTable()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::string table = "| flag | environment variable | default | meaning |\n| --- | --- | --- | --- |\n";
    for (const gflags::CommandLineFlagInfo& flag : flags) {
        if (isProductFlag(flag))
            table += fmt::format(
                "| --{} | {} | {} | {} |\n", flag.name, variableName(flag.name), flag.default_value, flag.description);
    }
    return table;
}

} // namespace rattanshunt::settings
