// Stand-in for the users' metadata store: the calls that platform/StoreClient speaks, with faults on command.
//
// Own thread only.
#pragma once

#include <memory>
#include <string>

#include "KvStore.h"
#include "net/Http.h"

namespace rattanshunt::lab {

enum class StoreMode {
    Normal,
    Unavailable, // refuses with 503: nothing is done
    Hang,        // does nothing and answers nothing
    Reset,       // closes the connection; nothing is done
};

struct StoreStandInFaults {
    StoreMode mode = StoreMode::Normal;
    base::Millis delay { 0 }; // before each answer
    int loseEveryNthAck = 0;  // every so many writes are done and not answered; 0: none
};

class StoreStandIn {
public:
    explicit StoreStandIn(net::Loop&);
    ~StoreStandIn();

    bool listen(std::string& error); // on a free loopback port
    void stop();

    // Writes or removes a key as the operator or a replica would.
    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    base::Address address() const;
    const KvStore& state() const;
    StoreStandInFaults& faults();
    uint64_t callCount() const; // since the start, refused ones too

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanshunt::lab
