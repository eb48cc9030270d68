// Records of model placement in the KV. They are written before a load or unload order is sent to an endpoint.
//
//   ModelRecord     the replicas of one model or adapter, and their endpoints
//   MemoryLedger    the memory reservations on one endpoint
//   OwnerRecord     the daemon that makes placement decisions
//
// One transaction writes the model record and the ledger, so that they are always consistent. It also compares the
// owner record, so that a former owner that was paused cannot write. A reservation is removed only after the endpoint
// has reported the end of the load or unload order, or has restarted. Until then, even an order that arrives an hour
// late fits in memory.
//
// Pure functions; thread-safe.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/Kv.h"

namespace rattanshunt::placement {

enum class PlacedReplicaState {
    Loading,   // a load order may have been sent
    Ready,     // the endpoint has reported it as loaded
    Unloading, // gets no new requests; an unload order may have been sent
};

const char* placedReplicaStateName(PlacedReplicaState);

// A replica of a model or adapter that is placed on an endpoint.
struct PlacedReplica {
    std::string endpoint;
    std::string bootId;       // start of the endpoint for which the replica was decided
    std::string orderId;      // identifies the load order
    int64_t fencingToken = 0; // sent with the load order
    PlacedReplicaState state = PlacedReplicaState::Loading;
};

struct ModelRecord {
    std::vector<PlacedReplica> placedReplicas;
    std::string operation; // random; identifies the write
};

struct Reservation {
    std::string model; // name of the model or adapter
    int64_t bytes = 0;
    std::string orderId; // load order that the memory is reserved for
};

struct MemoryLedger {
    std::string bootId; // start of the endpoint that the reservations apply to
    std::vector<Reservation> reservations;
    std::string operation;
};

struct OwnerRecord {
    std::string holder; // daemon name; empty after a release
    std::string incarnation;
    int64_t epoch = 0; // increased by each change of owner; upper bits of the fencing tokens
    std::string operation;
};

constexpr std::string_view modelKeyPrefix = "/rs/model/";
constexpr std::string_view memoryLedgerKeyPrefix = "/rsl/"; // not mirrored on daemons: only the owner reads it
constexpr std::string_view ownerKvKey = "/rs/owner/placement";

std::string modelKvKey(std::string_view name);
std::string memoryLedgerKvKey(std::string_view endpoint);

std::string modelRecordToText(const ModelRecord&);
std::optional<ModelRecord> modelRecordFromText(const std::string&);
std::string memoryLedgerToText(const MemoryLedger&);
std::optional<MemoryLedger> memoryLedgerFromText(const std::string&);
std::string ownerToText(const OwnerRecord&);
std::optional<OwnerRecord> ownerFromText(const std::string&);

// Returns the sum of an endpoint's reservations, in bytes.
int64_t memoryLedgerReservedBytes(const MemoryLedger&);

} // namespace rattanshunt::placement
