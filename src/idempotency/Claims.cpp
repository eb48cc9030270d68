#include "idempotency/Claims.h"

#include <map>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/Json.h"
#include "base/Text.h"

namespace rattanshunt::idempotency {

using coordination::KvEntry;
using nlohmann::json;

std::string claimKvKey(std::string_view account, std::string_view idempotencyKey)
{
    return fmt::format("{}{}/{}", claimKeyPrefix, account, base::hexEncode(base::sha256(idempotencyKey)).substr(0, 40));
}

std::string claimToText(const Claim& claim)
{
    json object = { { "operation", claim.operation }, { "runner", claim.runner }, { "incarnation", claim.incarnation },
        { "digest", claim.digest }, { "done", claim.isDone } };
    if (claim.isDone) {
        object["status"] = claim.status;
        object["content_type"] = claim.contentType;
        object["body"] = base::base64Encode(claim.body);
        object["body_omitted"] = claim.isBodyOmitted;
    }
    return object.dump();
}

std::optional<Claim> claimFromText(const std::string& text)
{
    json object = base::jsonTryParse(text);
    if (!object.is_object())
        return std::nullopt;
    try {
        Claim claim;
        claim.operation = object.at("operation").get<std::string>();
        claim.runner = object.at("runner").get<std::string>();
        claim.incarnation = object.at("incarnation").get<std::string>();
        claim.digest = object.at("digest").get<std::string>();
        claim.isDone = object.at("done").get<bool>();
        if (claim.isDone) {
            claim.status = object.at("status").get<int>();
            claim.contentType = object.at("content_type").get<std::string>();
            claim.body = base::base64Decode(object.at("body").get<std::string>()).value_or("");
            claim.isBodyOmitted = object.value("body_omitted", false);
        }
        return claim;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

ClaimVerdict claimEvaluate(const Claim& mine, const Claim& held, bool isRunnerAlive)
{
    if (held.operation == mine.operation)
        return held.isDone ? ClaimVerdict::Stored : ClaimVerdict::Run;
    if (held.digest != mine.digest)
        return ClaimVerdict::Mismatch;
    if (held.isDone)
        return ClaimVerdict::Stored;
    return isRunnerAlive ? ClaimVerdict::Running : ClaimVerdict::OutcomeUnknown;
}

std::vector<ClaimWrite> claimBatchTake(ClaimQueue& queue)
{
    std::vector<ClaimWrite> batch;
    std::set<std::string> keys;
    std::deque<ClaimWrite> remaining;
    size_t bytes = 0;
    for (ClaimWrite& write : queue.waiting) {
        size_t size = write.value ? write.value->size() : 0;
        bool fits = batch.size() < maxClaimBatchWrites && (batch.empty() || bytes + size <= maxClaimBatchBytes);
        if (!fits || !keys.insert(write.key).second) {
            remaining.push_back(std::move(write));
            continue;
        }
        bytes += size;
        batch.push_back(std::move(write));
    }
    queue.waiting = std::move(remaining);
    return batch;
}

void claimBatchTxn(const std::vector<ClaimWrite>& batch, std::vector<coordination::KvCompare>& compares,
    std::vector<coordination::KvWrite>& writes, int64_t lease)
{
    for (const ClaimWrite& write : batch) {
        compares.push_back({ write.key, write.expected });
        writes.push_back({ write.key, write.value, lease });
    }
}

namespace {

    ClaimBatchOutcome sameOutcomeForAll(
        const std::vector<ClaimWrite>& batch, ClaimWriteOutcome outcome, coordination::Revision revision)
    {
        ClaimBatchOutcome resolved;
        for (const ClaimWrite& write : batch)
            resolved.results.push_back({ write.id, outcome, revision, std::nullopt });
        return resolved;
    }

    void resolveNotApplied(const ClaimWrite& write, const KvEntry* current, ClaimBatchOutcome& resolved)
    {
        coordination::Revision currentRevision = current ? current->modRevision : 0;
        bool isOwnWrite = current && write.value && current->value == *write.value;
        if (isOwnWrite)
            resolved.results.push_back({ write.id, ClaimWriteOutcome::Done, currentRevision, std::nullopt });
        else if (currentRevision != write.expected)
            resolved.results.push_back(
                { write.id, ClaimWriteOutcome::Conflict, 0, current ? std::optional(*current) : std::nullopt });
        else
            resolved.retries.push_back(write);
    }

} // namespace

ClaimBatchOutcome claimBatchResolve(const std::vector<ClaimWrite>& batch, const coordination::KvTxnResult& result)
{
    if (result.error == coordination::KvError::NotApplied)
        return sameOutcomeForAll(batch, ClaimWriteOutcome::NotApplied, 0);
    if (result.error == coordination::KvError::OutcomeUnknown)
        return sameOutcomeForAll(batch, ClaimWriteOutcome::Unknown, 0);
    if (result.isApplied)
        return sameOutcomeForAll(batch, ClaimWriteOutcome::Done, result.revision);
    std::map<std::string, const KvEntry*> current;
    for (const KvEntry& entry : result.current)
        current[entry.key] = &entry;
    ClaimBatchOutcome resolved;
    for (const ClaimWrite& write : batch) {
        auto found = current.find(write.key);
        resolveNotApplied(write, found == current.end() ? nullptr : found->second, resolved);
    }
    return resolved;
}

} // namespace rattanshunt::idempotency
