// Client of the platform's key-value service over HTTP.
//
// Keeps a small pool of idle connections. A connection that fails or times out is closed, and the next connection is
// opened to the next address of the list. The client never retries a call itself.
#pragma once

#include "coordination/Kv.h"
#include "net/Http.h"

namespace rattanshunt::coordination {

struct KvClientOptions {
    std::vector<base::Address> addresses; // of the service, tried in turn; must not be empty
    base::Millis callTimeout { 1500 };    // for a call with connecting and its response
    base::Millis watchTimeout { 3000 };   // a watch that receives no line for this long has failed
};

class HttpKv : public Kv {
public:
    HttpKv(net::Loop&, KvClientOptions);
    ~HttpKv() override;

    KvRangeResult range(const std::string& prefix, const std::string& after = "") override;
    KvRangeResult get(const std::string& key) override;
    KvTxnResult txn(const std::vector<KvCompare>&, const std::vector<KvWrite>&) override;
    KvLeaseResult leaseGrant(base::Millis timeToLive) override;
    KvLeaseResult leaseRenew(int64_t lease) override;
    KvError leaseRevoke(int64_t lease) override;
    void watch(const std::string& prefix, Revision from,
        const std::function<bool(const std::vector<KvEvent>&, Revision)>& onEvents) override;

    // Cancels the running watch and calls; later calls return NotApplied. Only on the loop's thread.
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanshunt::coordination
