// Idempotency keys: a call with a key is sent only after a claim on the key has been written to the KV.
//
// Contents
//   [1] Claim           the record of one idempotency key
//   [2] Verdicts        claimEvaluate(): how to answer a call whose key is already claimed
//   [3] Group commit    claimBatchTake(), claimBatchTxn(), claimBatchResolve(): many claims in one transaction
//
// A claim is created by compare-and-swap, so at most one daemon ever sends the call, whichever daemon owns the key's
// shard. The shard's owner only batches the claims of many daemons into few transactions.
//
// Q: What if the KV is unavailable?
// A: No claim can be written; the call is refused and has not run.
//
// Q: What if the daemon crashes between claim and answer?
// A: A repeat finds the claim without an outcome and is answered with "outcome unknown". The call is never run again.
//
// No I/O and no locking. Not thread-safe: the caller serializes access to a ClaimQueue.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "coordination/Kv.h"

namespace rattanshunt::idempotency {

// ---- [1] Claim ---------------------------------------------------------------------------------

struct Claim {
    std::string operation;   // random; identifies the call that wrote the claim
    std::string runner;      // name of the daemon that sends the call
    std::string incarnation; // of the runner
    std::string digest;      // of method, path and body; detects reuse of the key for a different call
    bool isDone = false;     // the outcome is stored below
    int status = 0;          // HTTP status of the answer, if isDone
    std::string contentType;
    std::string body;
    bool isBodyOmitted = false; // the body was longer than maxClaimBodyBytes
};

constexpr std::string_view claimKeyPrefix = "/rsc/"; // not replicated to the daemons' mirrors
constexpr size_t maxClaimBodyBytes = 64 * 1024;      // longer bodies are not stored
constexpr size_t maxIdempotencyKeyBytes = 256;

std::string claimKvKey(std::string_view account, std::string_view idempotencyKey);
std::string claimToText(const Claim&);
std::optional<Claim> claimFromText(const std::string&);

// ---- [2] Verdicts ------------------------------------------------------------------------------

enum class ClaimVerdict {
    Run,            // the claim belongs to this call: send it once
    Stored,         // the outcome is known: answer with it
    Running,        // another call with this key is in progress
    OutcomeUnknown, // the runner ended without storing an outcome
    Mismatch,       // the key was used for a different call
};

// Returns how to answer the call of `mine`, given the claim `held` in the KV. `isRunnerAlive`: the runner of `held` has
// a session with the same incarnation.
ClaimVerdict claimEvaluate(const Claim& mine, const Claim& held, bool isRunnerAlive);

// ---- [3] Group commit --------------------------------------------------------------------------

struct ClaimWrite {
    uint64_t id = 0;                     // assigned by the caller
    std::string key;                     // KV key
    coordination::Revision expected = 0; // revision to compare with; 0: the key must not exist
    std::optional<std::string> value;    // nullopt: delete the key
};

enum class ClaimWriteOutcome {
    Done,
    Conflict,   // the key has another revision; `current` is its entry, if there is one
    NotApplied, // certainly not written
    Unknown,    // may have been written
};

struct ClaimWriteResult {
    uint64_t id = 0;
    ClaimWriteOutcome outcome = ClaimWriteOutcome::NotApplied;
    coordination::Revision revision = 0; // of the written record, if Done
    std::optional<coordination::KvEntry> current;
};

struct ClaimQueue {
    std::deque<ClaimWrite> waiting; // next first
};

constexpr size_t maxClaimBatchWrites = 100;       // per transaction
constexpr size_t maxClaimBatchBytes = 700 * 1024; // of values, per transaction; a single larger value is sent alone

// Removes the next batch from the queue, with at most one write per key.
std::vector<ClaimWrite> claimBatchTake(ClaimQueue&);

// Appends the comparisons and writes of a batch's transaction. The records expire with `lease`, which limits how long
// claims are kept; 0: they never expire.
void claimBatchTxn(const std::vector<ClaimWrite>&, std::vector<coordination::KvCompare>&,
    std::vector<coordination::KvWrite>&, int64_t lease);

struct ClaimBatchOutcome {
    std::vector<ClaimWriteResult> results;
    std::vector<ClaimWrite> retries; // not written because of another write's conflict; to be queued again
};

// Returns the outcome of each write in a batch, given the result of its transaction.
ClaimBatchOutcome claimBatchResolve(const std::vector<ClaimWrite>&, const coordination::KvTxnResult&);

} // namespace rattanshunt::idempotency
