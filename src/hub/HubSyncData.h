// Options and data of HubSync: demand, the source of the directory, members.
//
// Plain structs; the calling thread owns the data.
#pragma once

#include <map>
#include <string>
#include <tuple>
#include <utility>

#include "base/Time.h"
#include "directory/DirectoryAge.h"
#include "limits/ColdReplicas.h"
#include "spill/SpillPlan.h"

namespace rattanshunt::hub {

struct HubSyncOptions {
    std::string name;
    std::string dataCenter;
    base::Address peerAddress;
    double electionPriority = 1;          // 0 to 1, from processor share and link bandwidth; high ones campaign first
    base::Millis hubReadInterval { 600 }; // between two store reads by the hub
    base::Millis directReadInterval { 900 }; // between two store reads by a daemon without a hub
    base::Millis minSyncInterval { 300 };    // between two calls to the hub in a small fleet
    base::Millis maxSyncInterval { 600 }; // the same in a large fleet; bounded by the platform's limits on propagation
    size_t maxMembersAtMinInterval = 40;  // a fleet with more members syncs less often than every `minSyncInterval`
    base::Millis urgentSyncInterval { 60 };     // minimum between two calls to the hub after requestSync()
    base::Millis modelWaitSyncInterval { 120 }; // between two calls to the hub while a request waits for a model
    base::Millis syncTimeout { 500 };           // for one call to the hub
    base::Millis leaseTtl { 1600 };             // of the hub's lease; a crashed hub is replaced after it
    base::Millis orderHandoverDelay { 3000 };   // between the last order of one hub and the first order of another
    base::Millis maxHubDataAge { 1600 };        // age of the hub's data beyond which a daemon reads the store itself
    size_t assumedMemberCount = 100; // until a hub has sent the count; a low value would make budget shares too large
    base::Millis entryInterval { 1200 };        // between two writes of a replica's entry
    directory::DirectoryAgeLimits directoryAge; // of the knowledge that requests are sent on
    double quotaSlack = 0;                      // tokens that the fleet may grant beyond an account's burst
    spill::SpillOptions spill;                  // of work to other data centres
    base::Seconds quotaWindow { 8 };            // in which an account's limit is measured
    // Requests of an account that is short of tokens are scheduled, see quota/TokenReservations.h, and the store has a
    // record of usage. Otherwise tokens go to whoever asks first.
    bool quotaReservations = false;
    limits::ColdBound coldBound;             // on the requests that a cold replica gets in a second
    std::map<std::string, std::string> geos; // by data centre
};

// Requests for one DemandKey, as seen by one daemon.
struct Demand {
    double waiting = 0;           // requests that wait for a replica now
    double waitingWeightSum = 0;  // sum of the weights of the waiting requests
    double awaitingFirstByte = 0; // requests at a replica that has not begun to answer them, now
    double running = 0;           // requests at a replica now
    double arrivalRate = 0;       // requests per second, smoothed
    double transferSeconds = 0;   // mean cost of serving a request in another data centre, by spill::transferSeconds()
};

struct DemandKey {
    std::string service;
    std::string model;
    std::string adapter;

    bool operator<(const DemandKey& other) const
    {
        return std::tie(service, model, adapter) < std::tie(other.service, other.model, other.adapter);
    }
    bool operator==(const DemandKey&) const = default;
};

using ModelKey = std::pair<std::string, std::string>; // service and model
using DemandTable = std::map<DemandKey, Demand>;

// How the directory was last confirmed.
enum class DirectorySource {
    Store,  // this daemon read the store itself
    Hub,    // by a sync with the hub
    Member, // by a sync with another daemon
};

const char* directorySourceName(DirectorySource);

// `rs/hub` as read from the store.
struct HubRecord {
    std::string name;
    base::Address address;
    std::string incarnation;
    int64_t createRevision = 0;
    int64_t modRevision = 0;
    int64_t lease = 0;
};

struct HubMember {
    base::Address address;
    std::string dataCenter; // empty: not stated
    base::BootTime lastSeenAt {};
    DemandTable demand;
};

} // namespace rattanshunt::hub
