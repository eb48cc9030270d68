// Client of the platform's key-value service over HTTP.
//
// Keeps a small pool of connections; a connection that fails or stays silent past the deadline is dropped and never
// reused, and the next address of the list is tried by the next call. No call is repeated by the client itself.
#pragma once

#include "coordination/Kv.h"
#include "net/Http.h"

namespace rattanshunt::coordination {

struct KvClientOptions {
    std::vector<base::Address> addresses; // of the service; tried in turn
    base::Millis callTimeout { 1500 };    // for a whole call
    base::Millis watchTimeout { 3000 };   // a watch without a sign of life for this long is broken
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

    // Ends a running watch and all calls; later calls give NotDone. Own thread only.
    void close();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanshunt::coordination
