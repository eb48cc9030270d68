// Calls between daemons about connections to replicas that one carries for the other.
//
// The functions that call suspend. Own thread only.
#pragma once

#include <string>

#include "directory/ReplicaNotices.h"
#include "net/PeerNetwork.h"

namespace rattanshunt::hub {

// Asks a daemon how a connection that it carried has ended. Unknown if it does not answer.
net::TunnelEnd askTunnelEnd(net::PeerNetwork&, const base::Address& daemon, const std::string& tunnelId);
nlohmann::json tunnelEndAnswer(const net::PeerNetwork&, const nlohmann::json& body);

// What a replica said of itself over a connection that another daemon carried: that daemon has to know it too.
struct PassedStatement {
    std::string replica;
    int64_t startedAtMillis = 0;
    directory::ReplicaStatement statement; // without what it says of being cold
};

void passStatement(net::PeerNetwork&, const base::Address& daemon, const PassedStatement&);
PassedStatement passedStatementRead(const nlohmann::json& body); // throws json::exception

} // namespace rattanshunt::hub
