// Gateway processes of the deploy file on loopback addresses, beside a store stand-in, for the review's scripts.
//
// Each daemon has a loopback address of its own, settings from deploy/gateway.flags, and is started again when it has
// ended, as the users' platform does. Only processes that were started here are signalled, by their identifiers.
//
// Call from the loop's thread only.
#pragma once

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "GatewayFleet.h"
#include "ReplicaStandIn.h"
#include "StoreStandIn.h"

namespace rattanshunt::review {

struct Daemon {
    std::string name;
    std::string ip;
    std::string settingsFile;
    std::string logFile;
    base::Address clientAddress;
    base::Address readinessAddress;
    pid_t pid = 0;
    bool isExpectedToEnd = false; // it was signalled by a script
    int ownEnds = 0;              // times that the process ended without having been signalled
    bool isOverMemory = false;    // it was killed for its memory, as the platform does
    size_t memoryLimitKb = 0;     // resident size at which the platform kills it; 0: none
    size_t peakKb = 0;            // largest resident size seen
    base::TimePoint restartAt = base::timeNever;
};

struct FleetOptions {
    int daemons = 3;
    size_t memoryLimitMb = 0;          // of each process; 0: not watched
    base::Millis restartDelay { 300 }; // from the end of a process to its next start
    int quotaSlack = 110000;
};

// Writes what was sent, answered and run to the record file, with seconds since the start.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    void write(const std::string& line);
    double elapsed() const;

private:
    FILE* m_file;
    base::TimePoint m_startedAt = base::Clock::now();
};

class Fleet {
public:
    Fleet(net::Loop&, FleetOptions, Record&);
    ~Fleet();

    bool start();                   // the store and the daemons; false if they could not start. Suspends.
    bool waitReady();               // until all daemons report readiness. Suspends.
    void stop();                    // ends all processes and the store. Suspends.
    void kill(Daemon&, int signal); // expected: the process may end by it
    std::string directory() const { return m_directory; }

    lab::StoreStandIn& store() { return m_store; }
    std::vector<std::unique_ptr<Daemon>>& daemons() { return m_daemons; }
    Daemon* hub(); // the daemon that the store's record names; null: none

private:
    void startProcess(Daemon&);
    void watch();
    std::string settingsOf(const Daemon&) const;

    net::Loop& m_loop;
    FleetOptions m_options;
    Record& m_record;
    lab::StoreStandIn m_store;
    std::string m_directory; // temporary, removed at the end
    std::vector<std::unique_ptr<Daemon>> m_daemons;
    bool m_isDone = false;
    bool m_isWatching = false;
};

} // namespace rattanshunt::review
