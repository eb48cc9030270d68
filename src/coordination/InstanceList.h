// The platform's lagging list of live and leaving instances.
//
// The list has a version that only grows. A read names the version that the reader has and gets the changes since.
#pragma once

#include <nlohmann/json.hpp>

#include "net/Http.h"

namespace rattanshunt::coordination {

enum class InstanceState { Live, Leaving, Gone };

struct Instance {
    std::string id;
    std::string pool; // of engines or of a plain service; "entry" for daemons
    base::Address address;
    std::string dataCenter;
    std::string bootId; // changes each time the instance starts
    InstanceState state = InstanceState::Live;
    int64_t memoryBytes = 0;    // engines only
    bool checksFencing = false; // refuses an order with an old fencing number
};

nlohmann::json instanceToJson(const Instance&);
std::optional<Instance> instanceFromJson(const nlohmann::json&); // nothing if malformed

struct InstanceChanges {
    bool hasAnswer = false; // the platform answered
    int64_t version = 0;
    std::vector<Instance> changed; // since the version asked for
};

// Reads the changes since `version`. Suspends.
InstanceChanges instanceListRead(net::HttpConnection&, int64_t version, base::TimePoint deadline);

} // namespace rattanshunt::coordination
