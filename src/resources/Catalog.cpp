#include "resources/Catalog.h"
#include "base/Json.h"

#include <fmt/format.h>

namespace rattanshunt::resources {

using nlohmann::json;

namespace {

    void addResource(Catalog& catalog, const ResourceId& id, const fleet::MirrorRecord& record)
    {
        json object = base::jsonTryParse(record.value);
        // A stored resource may have been accepted with other limits, so they are not checked again.
        ResourceParseResult parsed = resourceTryParse(id.kind, id.name, object, { base::Millis(0), 0 });
        if (!parsed.resource) {
            catalog.recordErrors.push_back(
                fmt::format("{}/{}: {} {}", id.kind, id.name, parsed.error.field, parsed.error.message));
            return;
        }
        Resource& resource = *parsed.resource;
        if (auto* model = std::get_if<Model>(&resource))
            catalog.models[id.name] = std::move(*model);
        else if (auto* adapter = std::get_if<Adapter>(&resource))
            catalog.adapters[id.name] = std::move(*adapter);
        else if (auto* account = std::get_if<Account>(&resource)) {
            catalog.accounts[id.name] = std::move(*account);
            catalog.accountCreateRevisions[id.name] = record.createRevision;
        } else if (auto* key = std::get_if<ApiKey>(&resource))
            catalog.keysByDigest[key->digest] = std::move(*key);
        else if (auto* route = std::get_if<Route>(&resource))
            catalog.routes.push_back(std::move(*route));
        else if (auto* service = std::get_if<Service>(&resource))
            catalog.services[id.name] = std::move(*service);
    }

    void addEndpoints(Catalog& catalog, const fleet::Mirror& mirror, EndpointLoads& loads)
    {
        for (auto& [id, entry] : mirror.instances) {
            if (entry.instance.state != coordination::InstanceState::Live)
                continue;
            auto& load = loads[id];
            if (!load)
                load = std::make_shared<EndpointLoad>();
            catalog.endpointsByPool[entry.instance.pool].push_back(
                { id, entry.instance.address, entry.instance.dataCenter, entry.instance.bootId, load });
        }
    }

    void addPlacements(Catalog& catalog, const fleet::Mirror& mirror)
    {
        std::map<std::string, const EndpointInfo*> byId;
        for (auto& [pool, endpoints] : catalog.endpointsByPool) {
            for (const EndpointInfo& endpoint : endpoints)
                byId[endpoint.id] = &endpoint;
        }
        std::string prefix(placement::modelKeyPrefix);
        for (auto it = mirror.records.lower_bound(prefix); it != mirror.records.end() && it->first.starts_with(prefix);
             ++it) {
            auto record = placement::modelRecordFromText(it->second.value);
            if (!record)
                continue;
            std::string name = it->first.substr(prefix.size());
            for (const placement::PlacedReplica& replica : record->placedReplicas) {
                auto endpoint = byId.find(replica.endpoint);
                bool isReady = replica.state == placement::PlacedReplicaState::Ready && endpoint != byId.end()
                    && endpoint->second->bootId == replica.bootId;
                if (isReady)
                    catalog.readyEndpointsByModel[name].push_back(*endpoint->second);
            }
            catalog.placements[name] = std::move(*record);
        }
    }

} // namespace

std::shared_ptr<const Catalog> catalogBuild(const fleet::Mirror& mirror, EndpointLoads& loads)
{
    auto catalog = std::make_shared<Catalog>();
    catalog->revision = mirror.revision;
    std::string prefix(resourceKvPrefix);
    for (auto it = mirror.records.lower_bound(prefix); it != mirror.records.end() && it->first.starts_with(prefix);
         ++it) {
        if (auto id = resourceIdFromKvKey(it->first))
            addResource(*catalog, *id, it->second);
    }
    for (auto& [digest, key] : catalog->keysByDigest)
        key.isWithdrawn = key.isWithdrawn || mirror.withdrawnKeys.contains(key.name);
    std::sort(catalog->routes.begin(), catalog->routes.end(), [](const Route& a, const Route& b) {
        return a.prefix.size() != b.prefix.size() ? a.prefix.size() > b.prefix.size() : a.prefix < b.prefix;
    });
    addEndpoints(*catalog, mirror, loads);
    addPlacements(*catalog, mirror);
    return catalog;
}

const Route* catalogFindRoute(const Catalog& catalog, std::string_view path)
{
    for (const Route& route : catalog.routes) {
        bool isBelow = path.starts_with(route.prefix)
            && (path.size() == route.prefix.size() || route.prefix.ends_with('/') || path[route.prefix.size()] == '/');
        if (isBelow)
            return &route;
    }
    return nullptr;
}

} // namespace rattanshunt::resources
