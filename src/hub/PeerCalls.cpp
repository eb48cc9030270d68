#include "hub/PeerCalls.h"

namespace rattanshunt::hub {

using Json = nlohmann::json;

namespace {
    constexpr base::Millis callTimeout { 300 };
}

net::TunnelEnd askTunnelEnd(net::PeerNetwork& peers, const base::Address& daemon, const std::string& tunnelId)
{
    net::PeerResult result
        = peers.call(daemon, "tunnel_end", Json { { "id", tunnelId } }, base::Clock::now() + callTimeout);
    if (result.error != net::PeerError::None || !result.body.is_object())
        return net::TunnelEnd::Unknown;
    std::string name = result.body.value("end", "");
    for (net::TunnelEnd end : { net::TunnelEnd::InOrder, net::TunnelEnd::ByServer, net::TunnelEnd::ByCaller }) {
        if (name == net::tunnelEndName(end))
            return end;
    }
    return net::TunnelEnd::Unknown;
}

Json tunnelEndAnswer(const net::PeerNetwork& peers, const Json& body)
{
    return Json { { "end", net::tunnelEndName(peers.tunnelEnd(body.at("id").get<std::string>())) } };
}

void passStatement(net::PeerNetwork& peers, const base::Address& daemon, const PassedStatement& passed)
{
    Json body { { "replica", passed.replica }, { "start", passed.startedAtMillis },
        { "is_leaving", passed.statement.isLeaving } };
    if (passed.statement.quietFor)
        body["quiet_ms"] = passed.statement.quietFor->count();
    peers.call(daemon, "statement", body, base::Clock::now() + callTimeout);
}

PassedStatement passedStatementRead(const Json& body)
{
    PassedStatement passed;
    passed.replica = body.at("replica").get<std::string>();
    passed.startedAtMillis = body.at("start").get<int64_t>();
    passed.statement.isLeaving = body.at("is_leaving").get<bool>();
    if (body.contains("quiet_ms"))
        passed.statement.quietFor = base::Millis(body.at("quiet_ms").get<int64_t>());
    return passed;
}

} // namespace rattanshunt::hub
