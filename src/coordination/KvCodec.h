// JSON encoding of the key-value service's calls, as in etcd's v3 JSON gateway: keys and values are base64, 64-bit
// numbers are strings. Used by the client and by the simulated service of the tests. No I/O; safe from any thread.
#pragma once

#include <nlohmann/json.hpp>

#include "coordination/Kv.h"

namespace rattanshunt::coordination {

nlohmann::json kvEntryToJson(const KvEntry&);
std::optional<KvEntry> kvEntryFromJson(const nlohmann::json&);
nlohmann::json kvEventToJson(const KvEvent&);
std::optional<KvEvent> kvEventFromJson(const nlohmann::json&);
nlohmann::json kvTxnToJson(const std::vector<KvCompare>&, const std::vector<KvWrite>&);

// Reads a 64-bit number that is a JSON string or number; 0 if it is missing or malformed.
int64_t kvNumber(const nlohmann::json& object, const char* field);

// Reads a base64 field; empty if it is missing or malformed.
std::string kvBytes(const nlohmann::json& object, const char* field);

} // namespace rattanshunt::coordination
