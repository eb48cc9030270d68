// What is loaded where: the two records that are written before an order is sent.
//
//   model record    the decided replicas of a model or adapter and their endpoints
//   ledger          the reservations of one endpoint's memory
//
// One transaction writes both, so that they never disagree, and it also compares the owner's record, so that a former
// owner that was paused cannot write. A reservation ends only when the endpoint has reported the end of what it
// allowed, or has started anew; until then even an order that arrives an hour late fits in memory.
//
// Pure functions; safe from any thread.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "coordination/Kv.h"

namespace rattanshunt::placement {

enum class PlacedReplicaState {
    Loading,   // an order to load may have been sent
    Ready,     // the endpoint has reported it loaded
    Unloading, // no new requests; an order to unload may have been sent
};

const char* placedReplicaStateName(PlacedReplicaState);

struct PlacedReplica {
    std::string endpoint;
    std::string bootId;       // of the endpoint when the place was decided
    std::string orderId;      // identifies the load order
    int64_t fencingToken = 0; // number that the load order carried
    PlacedReplicaState state = PlacedReplicaState::Loading;
};

struct ModelRecord {
    std::vector<PlacedReplica> placedReplicas;
    std::string operation; // identifies the write
};

struct Reservation {
    std::string model; // or adapter
    int64_t bytes = 0;
    std::string orderId;
};

struct MemoryLedger {
    std::string bootId; // of the endpoint that the reservations are for
    std::vector<Reservation> reservations;
    std::string operation;
};

struct OwnerRecord {
    std::string holder; // name of the daemon; empty after a hand-over
    std::string incarnation;
    int64_t epoch = 0; // fencing number of its orders
    std::string operation;
};

constexpr std::string_view modelKeyPrefix = "/rs/model/";
constexpr std::string_view memoryLedgerKeyPrefix = "/rsl/"; // read by the owner only, so not mirrored
constexpr std::string_view ownerKvKey = "/rs/owner/placement";

std::string modelKvKey(std::string_view name);
std::string memoryLedgerKvKey(std::string_view endpoint);

std::string modelRecordToText(const ModelRecord&);
std::optional<ModelRecord> modelRecordFromText(const std::string&);
std::string memoryLedgerToText(const MemoryLedger&);
std::optional<MemoryLedger> memoryLedgerFromText(const std::string&);
std::string ownerToText(const OwnerRecord&);
std::optional<OwnerRecord> ownerFromText(const std::string&);

// Bytes reserved on an endpoint.
int64_t memoryLedgerReservedBytes(const MemoryLedger&);

} // namespace rattanshunt::placement
