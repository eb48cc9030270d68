#include "gateway/Configuration.h"

#include <algorithm>

namespace rattanshunt::gateway {

void configurationBuildIndexes(Configuration& configuration)
{
    configuration.routesByHost.clear();
    for (size_t i = 0; i < configuration.routes.size(); ++i)
        configuration.routesByHost[configuration.routes[i].host].push_back(i);
    for (auto& [host, indexes] : configuration.routesByHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [&](size_t a, size_t b) {
            return configuration.routes[a].prefix.size() > configuration.routes[b].prefix.size();
        });
    }
    configuration.accountByKey.clear();
    for (const auto& [name, account] : configuration.accounts) {
        for (const std::string& key : account.keys)
            configuration.accountByKey[key] = name;
    }
}

const Route* routeFind(const Configuration& configuration, std::string_view host, std::string_view path)
{
    host = host.substr(0, host.find(':'));
    path = path.substr(0, path.find('?'));
    auto found = configuration.routesByHost.find(std::string(host));
    if (found == configuration.routesByHost.end())
        return nullptr;
    for (size_t index : found->second) {
        const Route& route = configuration.routes[index];
        if (path.starts_with(route.prefix))
            return &route;
    }
    return nullptr;
}

const Service* serviceSelect(const Configuration& configuration, const Route& route, double randomDraw)
{
    double totalWeight = 0;
    for (const ServiceWeight& part : route.services)
        totalWeight += part.weight;
    double remaining = randomDraw * totalWeight;
    const Service* last = nullptr;
    for (const ServiceWeight& part : route.services) {
        auto found = configuration.services.find(part.service);
        if (found == configuration.services.end() || part.weight <= 0)
            continue;
        last = &found->second;
        remaining -= part.weight;
        if (remaining < 0)
            break;
    }
    return last;
}

base::Millis routeFirstByteTimeout(const Route& route)
{
    // Callers abandon a stream after a silence of 2 s, 4 target latencies or 8 target gaps, whichever is longest.
    constexpr base::Millis minSilence { 2000 };
    if (!route.isStream)
        return route.timeout;
    return std::min(route.timeout, std::max({ minSilence, route.targetLatency * 4, route.targetGap * 8 }));
}

const Account* accountFindByKey(const Configuration& configuration, std::string_view key)
{
    auto found = configuration.accountByKey.find(std::string(key));
    if (found == configuration.accountByKey.end())
        return nullptr;
    auto account = configuration.accounts.find(found->second);
    return account == configuration.accounts.end() ? nullptr : &account->second;
}

} // namespace rattanshunt::gateway
