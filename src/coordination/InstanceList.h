// The platform's list of instances and their states. The list lags behind the instances' real states.
//
// The list has a version that only increases. A read passes the version that the reader has and returns the changes
// since.
#pragma once

#include <nlohmann/json.hpp>

#include "net/Http.h"

namespace rattanshunt::coordination {

enum class InstanceState { Live, Leaving, Gone };

struct Instance {
    std::string id;
    std::string pool; // pool of engines or of a service without models; "entry" for daemons
    base::Address address;
    std::string dataCenter;
    std::string bootId; // changes each time the instance starts
    InstanceState state = InstanceState::Live;
    int64_t memoryBytes = 0;    // engines only
    bool checksFencing = false; // refuses orders with an outdated fencing token
};

nlohmann::json instanceToJson(const Instance&);
std::optional<Instance> instanceFromJson(const nlohmann::json&); // nothing if malformed

struct InstanceChanges {
    bool hasAnswer = false; // the platform answered; otherwise nothing else is set
    int64_t version = 0;
    std::vector<Instance> changed; // since the version asked for
};

// Reads the changes since `version`; malformed instances are skipped. Suspends.
InstanceChanges instanceListRead(net::HttpConnection&, int64_t version, base::TimePoint deadline);

} // namespace rattanshunt::coordination
