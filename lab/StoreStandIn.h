// Simulated metadata store of the users' platform: the protocol of platform/StoreClient, with injected faults.
//
// Thread safety: use from the loop's thread only.
#pragma once

#include <memory>
#include <string>

#include "KvStore.h"
#include "net/Http.h"

namespace rattanshunt::lab {

enum class StoreMode {
    Normal,
    Unavailable, // responds with 503; calls have no effect
    Hang,        // calls have no effect and get no response
    Reset,       // closes the connection; calls have no effect
};

struct StoreStandInFaults {
    StoreMode mode = StoreMode::Normal;
    base::Millis delay { 0 }; // before each call
    int loseEveryNthAck = 0;  // every n-th write takes effect but gets no response; 0: none
    bool sendsEra = true;     // responses carry the Store-Era header
};

class StoreStandIn {
public:
    explicit StoreStandIn(net::Loop&);
    ~StoreStandIn();

    // Listens on a free loopback port; see address(). Returns false and sets `error` on failure.
    bool listen(std::string& error);
    void stop();

    // Write or remove a key directly, as an operator's tool or a replica would; not subject to faults.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    // Keeps a copy of the present state, and comes back from it: what was written since is gone, leases too, and
    // revisions and lease identifiers are given out again. The era rises.
    void saveCopy();
    void restoreCopy();

    base::Address address() const;
    int64_t era() const;
    const KvStore& state() const;
    StoreStandInFaults& faults();
    uint64_t callCount() const; // since the start, including those with injected faults

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab
