// Connections to replicas that other daemons carry, in class ReplicaDialer: both sides.
#include "base/Counters.h"
#include "base/Log.h"
#include "hub/PeerCalls.h"
#include "reach/ReplicaDialer.h"

namespace rattanshunt::reach {

namespace {

    constexpr base::Millis maxTimeLeft { 3600 * 1000 }; // that a daemon may state for a request

    std::string refusalReason(const net::TunnelResult& opened)
    {
        auto why = opened.answer.is_object() ? opened.answer.find("why") : opened.answer.end();
        return why != opened.answer.end() && why->is_string() ? why->get<std::string>() : "";
    }

} // namespace

using base::BootClock;
using base::BootTime;
using base::LogLevel;
using Json = nlohmann::json;

// ---- This daemon may have lost the replicas ---------------------------------------------------------

net::TunnelResult ReplicaDialer::askToCarry(const Relay& relay, const gateway::ReplicaEntry& entry,
    base::Duration timeLeft, bool isProbe, base::Duration timeout)
{
    Json request { { "id", relay.tunnelId }, { "replica", entry.id }, { "start", entry.startedAtMillis },
        { "left_ms", base::millisOf(timeLeft) }, { "is_probe", isProbe } };
    return m_hubSync.peers()->openTunnel(
        relay.address, request, entry.address, m_options.connect, base::Clock::now() + timeout);
}

// Whether another daemon can connect to one of the replicas.
bool ReplicaDialer::othersReach(const std::vector<gateway::ReplicaEntry>& targets)
{
    std::map<std::string, base::Address> daemons = m_hubSync.peerAddresses();
    std::vector<std::function<bool()>> tries;
    while (m_hubSync.peers() && tries.size() < m_options.reach.daemonsAsked) {
        auto name = relayChoose(daemons, m_relayPauses, BootClock::now(), randomNumber());
        if (!name)
            break;
        Relay relay { *name, daemons.at(*name), base::randomId() };
        daemons.erase(*name);
        tries.emplace_back([this, relay, entry = targets[tries.size() % targets.size()]] {
            base::Millis timeout = m_options.reach.askTimeout;
            return askToCarry(relay, entry, timeout, true, timeout).connection != nullptr;
        });
    }
    return anySucceeds(std::move(tries));
}

RelayedConnection ReplicaDialer::openRelayed(const gateway::ReplicaEntry& entry, BootTime deadline)
{
    RelayedConnection result;
    std::map<std::string, base::Address> daemons = m_hubSync.peerAddresses();
    if (!m_hubSync.peers())
        return result;
    BootTime giveUpAt = std::min(deadline, BootClock::now() + m_options.relay.maxAskTime);
    for (int asked = 0; asked < m_options.relay.maxAsked; ++asked) {
        BootTime now = BootClock::now();
        auto name = relayChoose(daemons, m_relayPauses, now, randomNumber());
        if (!name || now >= giveUpAt)
            break;
        Relay relay { *name, daemons.at(*name), base::randomId() };
        base::Duration timeout = std::min<base::Duration>(m_options.relay.askTimeout, deadline - now);
        net::TunnelResult opened = askToCarry(relay, entry, deadline - now, false, timeout);
        if (opened.connection) {
            base::counterAdd("relayed_connections_total");
            result.answer = RelayAnswer::Carries;
            result.connection = std::move(opened.connection);
            result.relay = std::move(relay);
            return result;
        }
        std::string why = refusalReason(opened);
        result.answer = relayAnswerOf(why);
        base::logEvent(LogLevel::Info, "relay.refused",
            { { "relay", relay.name }, { "replica", entry.id }, { "why", opened.isRefused ? why : "no_answer" } });
        if (result.answer != RelayAnswer::Unable)
            return result;
        m_relayPauses[*name]
            = BootClock::now() + (opened.isRefused ? m_options.relay.refusedPause : m_options.relay.silentPause);
    }
    std::erase_if(m_relayPauses, [now = BootClock::now()](const auto& item) { return now >= item.second; });
    return result;
}

net::TunnelEnd ReplicaDialer::relayedEnd(const Relay& relay)
{
    return m_hubSync.peers() ? hub::askTunnelEnd(*m_hubSync.peers(), relay.address, relay.tunnelId)
                             : net::TunnelEnd::Unknown;
}

void ReplicaDialer::passStatement(
    const Relay& relay, const gateway::ReplicaEntry& entry, const directory::ReplicaStatement& statement)
{
    if (!m_hubSync.peers() || (!statement.isLeaving && !statement.quietFor))
        return;
    hub::PassedStatement passed { entry.id, entry.startedAtMillis, statement };
    m_loop.spawn([this, address = relay.address, passed = std::move(passed)] {
        hub::passStatement(*m_hubSync.peers(), address, passed);
    });
}

size_t ReplicaDialer::carriedCount() const
{
    return m_hubSync.peers() ? m_hubSync.peers()->tunnelCount() : 0;
}

// ---- Another daemon has lost them --------------------------------------------------------------

net::TunnelPlan ReplicaDialer::planTunnel(const std::string& from, const Json& request)
{
    net::TunnelPlan plan;
    BootTime now = BootClock::now();
    auto id = request.at("replica").get<std::string>();
    base::Millis timeLeft = std::min(base::Millis(request.at("left_ms").get<int64_t>()), maxTimeLeft);
    auto found = m_hubSync.directory().replicas.find(id);
    const char* refusal = nullptr;
    if (m_isStopping || !m_mayCarry)
        refusal = relayStoppingReason;
    else if (reachIsFailing(m_reach, m_options.reach, now))
        refusal = relayLostReason;
    else if (carriedCount() >= m_options.relay.maxCarried)
        refusal = relayFullReason;
    else if (found == m_hubSync.directory().replicas.end()
        || found->second.entry.startedAtMillis != request.at("start").get<int64_t>())
        refusal = relayUnknownReason;
    else {
        // What needs a permit is the asking daemon's matter; what this daemon was told itself binds it.
        directory::ReplicaLife life = m_hubSync.replicaLife(found->second, {});
        life.hasPermit = true;
        refusal = directory::obstacleName(directory::replicaObstacle(life, now));
    }
    base::counterAddLabelled("tunnels_asked_total", "refused", refusal ? refusal : "");
    if (refusal) {
        plan.answer = Json { { "why", refusal } };
        return plan;
    }
    base::logEvent(LogLevel::Info, "relay.carries", { { "from", from }, { "replica", id } });
    plan.server = found->second.entry.address;
    plan.connect = m_options.connect;
    plan.connectBy = base::Clock::now() + m_options.reach.dialTimeout;
    plan.endsBy = base::Clock::now() + timeLeft + m_options.relay.endMargin;
    bool isProbe = request.value("is_probe", false);
    plan.onFailed = [this, isProbe, address = *plan.server] {
        // A daemon that only asks whether the replica is reached waits for no check.
        if (isProbe)
            m_loop.spawn([this, address] { confirmReach(address); });
        else
            confirmReach(address);
        bool isFailing = reachIsFailing(m_reach, m_options.reach, BootClock::now());
        return std::string(isFailing ? relayLostReason : relayConnectFailedReason);
    };
    return plan;
}

} // namespace rattanshunt::reach
