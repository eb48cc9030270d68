// Calls that may not be repeated: a claim in the KV is written before the call is sent.
//
// Contents
//   [1] Claim           the record of one idempotency key
//   [2] Decisions       claimJudge(): what a call with a key that is known may be told
//   [3] Group commit    ClaimBatch: many claims in one transaction
//
// A claim is created by compare-and-swap, so at most one daemon ever sends the call, whoever owns what. The daemon
// that owns a key's shard only gathers claims of many daemons into few transactions.
//
// Q: The KV is down?                       A: No claim can be written; the call is refused and has not run.
// Q: The daemon dies between claim and answer? A: A repeat finds the claim without an outcome and is told
//    "outcome unknown", never run again.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "coordination/Kv.h"

namespace rattanshunt::idempotency {

// ---- [1] Claim ---------------------------------------------------------------------------------

struct Claim {
    std::string operation;   // random; identifies the write
    std::string runner;      // name of the daemon that sends the call
    std::string incarnation; // of the runner
    std::string digest;      // of method, path and body, to find a key used for another call
    bool isDone = false;     // the outcome is known
    int status = 0;          // of the answer, if done
    std::string contentType;
    std::string body;
    bool isBodyOmitted = false; // the answer's body was too long to store
};

constexpr std::string_view claimKeyPrefix = "/rsc/"; // not mirrored
constexpr size_t maxClaimBodyBytes = 64 * 1024;      // a longer answer is stored without its body
constexpr size_t maxIdempotencyKeyBytes = 256;       // bytes of an idempotency key

std::string claimKvKey(std::string_view account, std::string_view idempotencyKey);
std::string claimToText(const Claim&);
std::optional<Claim> claimFromText(const std::string&);

// ---- [2] Decisions -----------------------------------------------------------------------------

enum class ClaimVerdict {
    Run,            // the claim is this call's own: send it once
    Stored,         // the outcome is known: give it again
    Running,        // another call with this key is under way
    OutcomeUnknown, // its runner has ended without storing an outcome
    Mismatch,       // the key was used for a different call
};

// What a call with `mine` may be told, given the claim that the KV holds. `runnerLives`: the session of the claim's
// runner is there, in the same incarnation.
ClaimVerdict claimEvaluate(const Claim& mine, const Claim& held, bool runnerLives);

// ---- [3] Group commit --------------------------------------------------------------------------

struct ClaimWrite {
    uint64_t id = 0;                     // the asker's
    std::string key;                     // in the KV
    coordination::Revision expected = 0; // 0: must not exist
    std::optional<std::string> value;    // nothing: delete
};

enum class ClaimWriteOutcome {
    Done,
    Conflict, // `current` holds what is there
    NotDone,  // no effect
    Unknown,  // may have taken effect
};

struct ClaimWriteResult {
    uint64_t id = 0;
    ClaimWriteOutcome outcome = ClaimWriteOutcome::NotDone;
    coordination::Revision revision = 0; // of the written record, if done
    std::optional<coordination::KvEntry> current;
};

struct ClaimQueue {
    std::deque<ClaimWrite> waiting;
};

constexpr size_t maxClaimBatchWrites = 100;       // writes in one transaction
constexpr size_t maxClaimBatchBytes = 700 * 1024; // of values in one transaction

// Takes the next batch: at most one write for each key.
std::vector<ClaimWrite> claimBatchTake(ClaimQueue&);

// The transaction for a batch. Its records end with `lease`, which bounds how long claims are kept; 0: never.
void claimBatchTxn(const std::vector<ClaimWrite>&, std::vector<coordination::KvCompare>&,
    std::vector<coordination::KvWrite>&, int64_t lease);

struct ClaimBatchOutcome {
    std::vector<ClaimWriteResult> results;
    std::vector<ClaimWrite> retries; // held back by another write's conflict: nothing was written
};

// What a transaction's result means for each write of its batch.
ClaimBatchOutcome claimBatchResolve(const std::vector<ClaimWrite>&, const coordination::KvTxnResult&);

} // namespace rattanshunt::idempotency
