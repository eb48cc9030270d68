#include "idempotency/ClaimService.h"

#include "base/Counters.h"
#include "base/Log.h"

namespace rattanshunt::idempotency {

using coordination::KvError;
using nlohmann::json;

namespace {
    constexpr size_t claimShardCount = 4;
    constexpr base::Millis commitInterval { 20 }; // between the starts of consecutive transactions of one daemon
    constexpr base::Millis peerTimeout { 2500 };
    constexpr base::Millis retryDelay { 50 };
    constexpr base::Seconds claimLeaseTtl { 26 * 3600 };   // claims expire 25 to 26 h after their last write
    constexpr base::Seconds leaseReplaceInterval { 3600 }; // claims written within one hour share a lease
    constexpr int outcomeAttempts = 3;
    constexpr int removeAttempts = 60;
    constexpr base::Seconds removeRetryDelay { 1 };

    json resultToJson(const ClaimWriteResult& result)
    {
        json object = { { "outcome", static_cast<int>(result.outcome) }, { "revision", result.revision } };
        if (result.current) {
            object["value"] = result.current->value;
            object["mod"] = result.current->modRevision;
        }
        return object;
    }

    ClaimWriteResult resultFromJson(const json& object)
    {
        ClaimWriteResult result;
        result.outcome = static_cast<ClaimWriteOutcome>(std::clamp(object.at("outcome").get<int>(), 0, 3));
        result.revision = object.at("revision").get<coordination::Revision>();
        if (object.contains("value")) {
            coordination::KvEntry entry;
            entry.value = object.at("value").get<std::string>();
            entry.modRevision = object.at("mod").get<coordination::Revision>();
            result.current = std::move(entry);
        }
        return result;
    }
}

struct ClaimService::Impl : std::enable_shared_from_this<ClaimService::Impl> {
    explicit Impl(fleet::Fleet& ownFleet)
        : fleet(ownFleet)
    {
    }

    struct PendingWrite {
        net::Event done;
        ClaimWriteResult result;
    };

    fleet::Fleet& fleet;
    ClaimQueue queue;
    std::map<uint64_t, std::shared_ptr<PendingWrite>> pending;
    uint64_t lastId = 0;
    bool isCommitting = false;
    bool isStopped = false;
    int64_t lease = 0;
    base::TimePoint leaseGrantedAt {};

    // ---- As the owner of a shard -----------------------------------------------------------------

    ClaimWriteResult commit(ClaimWrite write)
    {
        write.id = ++lastId;
        auto entry = std::make_shared<PendingWrite>();
        pending[write.id] = entry;
        queue.waiting.push_back(std::move(write));
        if (!isCommitting) {
            isCommitting = true;
            fleet.loop().spawn([self = shared_from_this()] { self->commitLoop(); });
        }
        entry->done.waitUntil();
        return std::move(entry->result);
    }

    bool ensureLease()
    {
        base::TimePoint now = base::Clock::now();
        if (lease && now - leaseGrantedAt < leaseReplaceInterval)
            return true;
        coordination::KvLeaseResult granted = fleet.kv().leaseGrant(claimLeaseTtl);
        if (granted.error != KvError::None)
            return false;
        lease = granted.lease;
        leaseGrantedAt = now;
        return true;
    }

    void commitLoop()
    {
        while (!queue.waiting.empty()) {
            base::TimePoint startedAt = base::Clock::now();
            auto batch = claimBatchTake(queue);
            coordination::KvTxnResult result;
            result.error = KvError::NotApplied;
            if (!isStopped && ensureLease()) {
                std::vector<coordination::KvCompare> compares;
                std::vector<coordination::KvWrite> writes;
                claimBatchTxn(batch, compares, writes, lease);
                result = fleet.kv().txn(compares, writes);
                base::counterAdd("claim_transactions_total");
                base::counterAdd("claim_writes_total", static_cast<int64_t>(batch.size()));
            }
            ClaimBatchOutcome resolved = claimBatchResolve(batch, result);
            for (ClaimWrite& retry : resolved.retries)
                queue.waiting.push_front(std::move(retry));
            for (ClaimWriteResult& item : resolved.results)
                deliver(std::move(item));
            if (!queue.waiting.empty())
                net::sleepUntil(startedAt + commitInterval);
        }
        isCommitting = false;
    }

    void deliver(ClaimWriteResult result)
    {
        auto found = pending.find(result.id);
        if (found == pending.end())
            return;
        found->second->result = std::move(result);
        found->second->done.set();
        pending.erase(found);
    }

    json handlePeerWrite(const json& body)
    {
        ClaimWrite write;
        write.key = body.at("key").get<std::string>();
        write.expected = body.at("expected").get<coordination::Revision>();
        if (body.contains("value"))
            write.value = body.at("value").get<std::string>();
        if (!write.key.starts_with(claimKeyPrefix))
            return json(json::value_t::discarded);
        return resultToJson(commit(std::move(write)));
    }

    // ---- As a client of the shards' owners -------------------------------------------------------

    ClaimWriteResult write(const ClaimWrite& write)
    {
        std::string shard = fmt::format("claims/{}", base::stableHash(write.key) % claimShardCount);
        auto owners = fleet::ownersRank(fleet.sessions(), shard);
        if (owners.empty() || owners.front().name == fleet.self().name)
            return commit(write);
        json body = { { "key", write.key }, { "expected", write.expected } };
        if (write.value)
            body["value"] = *write.value;
        net::PeerResult answer
            = fleet.peers().call(owners.front().peerAddress, "claim", body, base::Clock::now() + peerTimeout);
        // The owner of a shard only batches writes; any daemon may make them.
        if (answer.error == net::PeerError::NotSent)
            return commit(write);
        ClaimWriteResult result;
        result.outcome = ClaimWriteOutcome::Unknown;
        if (answer.error != net::PeerError::None)
            return result;
        try {
            return resultFromJson(answer.body);
        } catch (const json::exception&) {
            return result;
        }
    }

    // Removes the claim of a call that was refused while the claim's write could still take effect, so that a repeat of
    // the call can run.
    void removeLateClaim(const std::string& kvKey, const Claim& mine)
    {
        for (int attempt = 0; attempt < removeAttempts && !isStopped; ++attempt) {
            net::sleepFor(removeRetryDelay);
            coordination::KvRangeResult read = fleet.kv().get(kvKey);
            if (read.error != KvError::None || read.entries.empty())
                continue;
            auto held = claimFromText(read.entries.front().value);
            if (held && held->operation == mine.operation)
                write({ 0, kvKey, read.entries.front().modRevision, std::nullopt });
            return;
        }
    }

    bool isRunnerAlive(const Claim& claim) const
    {
        auto session = fleet.sessionNamed(claim.runner);
        return session && session->incarnation == claim.incarnation;
    }

    ClaimDecision evaluate(const Claim& mine, const coordination::KvEntry& entry) const
    {
        ClaimDecision decision;
        auto held = claimFromText(entry.value);
        if (!held)
            return decision;
        decision.kind = ClaimDecision::Kind::Verdict;
        decision.verdict = claimEvaluate(mine, *held, isRunnerAlive(*held));
        decision.revision = entry.modRevision;
        decision.held = std::move(*held);
        return decision;
    }
};

ClaimService::ClaimService(fleet::Fleet& fleet)
    : m_impl(std::make_shared<Impl>(fleet))
{
    fleet.addMethod(
        "claim", [impl = m_impl](const std::string&, const json& body) { return impl->handlePeerWrite(body); });
}

ClaimService::~ClaimService() = default;

void ClaimService::stop()
{
    m_impl->isStopped = true;
}

ClaimDecision ClaimService::claim(const std::string& kvKey, const Claim& mine, base::TimePoint deadline)
{
    ClaimWrite write { 0, kvKey, 0, claimToText(mine) };
    bool mayBeWritten = false;
    while (base::Clock::now() < deadline && !m_impl->isStopped) {
        // Writing the same claim again is safe: the key must not exist, and the operation identifies this call's claim.
        ClaimWriteResult result = m_impl->write(write);
        if (result.outcome == ClaimWriteOutcome::Done) {
            ClaimDecision decision;
            decision.kind = ClaimDecision::Kind::Verdict;
            decision.verdict = ClaimVerdict::Run;
            decision.held = mine;
            decision.revision = result.revision;
            return decision;
        }
        if (result.outcome == ClaimWriteOutcome::Conflict && result.current)
            return m_impl->evaluate(mine, *result.current);
        if (result.outcome == ClaimWriteOutcome::NotApplied && !mayBeWritten)
            return {};
        mayBeWritten = true;
        net::sleepFor(retryDelay);
    }
    if (mayBeWritten)
        m_impl->fleet.loop().spawn([impl = m_impl, kvKey, mine] { impl->removeLateClaim(kvKey, mine); });
    return {};
}

bool ClaimService::storeOutcome(const std::string& kvKey, const Claim& done, coordination::Revision claimed)
{
    ClaimWrite write { 0, kvKey, claimed, claimToText(done) };
    for (int attempt = 0; attempt < outcomeAttempts && !m_impl->isStopped; ++attempt) {
        ClaimWriteResult result = m_impl->write(write);
        if (result.outcome == ClaimWriteOutcome::Done)
            return true;
        if (result.outcome == ClaimWriteOutcome::Conflict)
            break;
        net::sleepFor(retryDelay);
    }
    base::counterAdd("claim_outcomes_lost_total");
    return false;
}

void ClaimService::abandon(const std::string& kvKey, coordination::Revision claimed)
{
    ClaimWrite write { 0, kvKey, claimed, std::nullopt };
    m_impl->write(write);
}

} // namespace rattanshunt::idempotency
