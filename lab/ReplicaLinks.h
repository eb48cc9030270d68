// The links of one gateway to all replicas, which can be cut together, while other gateways reach the replicas.
//
// Thread safety: use from the loop's thread only.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "FaultProxy.h"

namespace rattanshunt::lab {

enum class LinkCut {
    None,
    Hang,      // open connections deliver nothing until the cut ends, and no new one is established
    Reset,     // open connections are reset, new ones refused
    RefuseNew, // open connections live on, new ones are refused
};

class ReplicaLinks {
public:
    explicit ReplicaLinks(net::Loop&);

    // The address at which this gateway has to dial a replica now.
    base::Address dialAddress(const base::Address& replica);

    void setCut(LinkCut);
    void stop();

private:
    net::Loop& m_loop;
    LinkCut m_cut = LinkCut::None;
    std::map<std::string, std::unique_ptr<FaultProxy>> m_proxies; // by the replica's address
    // A listener whose queue of new connections is full: the system drops further ones without an answer.
    boost::asio::ip::tcp::acceptor m_fullListener;
    std::vector<boost::asio::ip::tcp::socket> m_queued;
    boost::asio::ip::tcp::acceptor m_closedPort; // bound and not listening, so that no other process can get the port
};

} // namespace rattanshunt::lab
