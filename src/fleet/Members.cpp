#include "fleet/Members.h"
#include "base/Json.h"

#include <fmt/format.h>

namespace rattanshunt::fleet {

using nlohmann::json;

std::string sessionKvKey(std::string_view name)
{
    return fmt::format("{}{}", sessionPrefix, name);
}

std::string sessionToText(const Session& session)
{
    json object = { { "name", session.name }, { "incarnation", session.incarnation },
        { "peer", base::formatAddress(session.peerAddress) }, { "admin", base::formatAddress(session.adminAddress) },
        { "data_center", session.dataCenter },
        { "state", session.state == SessionState::Ready ? "ready" : "leaving" } };
    return object.dump();
}

std::optional<Session> sessionFromText(const std::string& text)
{
    json object = base::jsonTryParse(text);
    if (!object.is_object())
        return std::nullopt;
    try {
        Session session;
        session.name = object.at("name").get<std::string>();
        session.incarnation = object.at("incarnation").get<std::string>();
        auto peer = base::parseAddress(object.at("peer").get<std::string>());
        auto admin = base::parseAddress(object.at("admin").get<std::string>());
        if (!peer || !admin)
            return std::nullopt;
        session.peerAddress = *peer;
        session.adminAddress = *admin;
        session.dataCenter = object.at("data_center").get<std::string>();
        session.state = object.at("state") == "ready" ? SessionState::Ready : SessionState::Leaving;
        return session;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::vector<Session> sessionsRead(const Mirror& mirror)
{
    std::vector<Session> sessions;
    std::string prefix(sessionPrefix);
    for (auto record = mirror.records.lower_bound(prefix);
         record != mirror.records.end() && record->first.starts_with(prefix); ++record) {
        if (auto session = sessionFromText(record->second.value))
            sessions.push_back(std::move(*session));
    }
    return sessions;
}

SessionConflict sessionConflict(const Session& mine, const std::optional<Session>& present)
{
    if (!present || present->incarnation == mine.incarnation)
        return SessionConflict::None;
    // Only one process can listen on an address, so the previous incarnation at this address has ended.
    return present->peerAddress == mine.peerAddress ? SessionConflict::Replace : SessionConflict::NameInUse;
}

std::vector<Session> ownersRank(
    const std::vector<Session>& sessions, std::string_view resource, std::string_view dataCenter)
{
    struct Ranked {
        bool isInOtherDataCenter;
        uint64_t score;
        const Session* session;
    };
    std::vector<Ranked> ranked;
    for (const Session& session : sessions) {
        if (session.state != SessionState::Ready)
            continue;
        bool isInOtherDataCenter = !dataCenter.empty() && session.dataCenter != dataCenter;
        ranked.push_back({ isInOtherDataCenter, base::stableHash(session.name, base::stableHash(resource)), &session });
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
        if (a.isInOtherDataCenter != b.isInOtherDataCenter)
            return b.isInOtherDataCenter;
        return a.score != b.score ? a.score > b.score : a.session->name < b.session->name;
    });
    std::vector<Session> owners;
    owners.reserve(ranked.size());
    for (const Ranked& entry : ranked)
        owners.push_back(*entry.session);
    return owners;
}

std::vector<Session> relaysOf(const std::vector<Session>& sessions, std::string_view dataCenter, size_t count)
{
    std::vector<Session> relays;
    for (Session& session : ownersRank(sessions, "relay", dataCenter)) {
        if (session.dataCenter == dataCenter && relays.size() < count)
            relays.push_back(std::move(session));
    }
    return relays;
}

} // namespace rattanshunt::fleet
