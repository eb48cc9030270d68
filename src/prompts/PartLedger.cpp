#include "prompts/PartLedger.h"

#include <algorithm>

namespace rattanshunt::prompts {

using base::BootTime;

namespace {

    base::Duration blockTime(int count)
    {
        base::Seconds time = firstBlockTime;
        for (int i = 1; i < count && time < maxBlockTime; ++i)
            time *= 2;
        return std::min(time, maxBlockTime);
    }

    BootTime newestEnd(const std::vector<PartEnd>& ends)
    {
        BootTime newest {};
        for (const PartEnd& end : ends)
            newest = std::max(newest, end.observedAt);
        return newest;
    }

    // Replicas that end together have one cause, so ends that are less than `spacing` apart count once.
    size_t effectiveEnds(const std::vector<PartEnd>& ends, base::Duration spacing, BootTime now)
    {
        std::vector<BootTime> times;
        for (const PartEnd& end : ends) {
            if (now - end.observedAt >= reportWait)
                times.push_back(end.observedAt);
        }
        std::sort(times.begin(), times.end());
        size_t count = 0;
        BootTime counted {};
        for (BootTime time : times) {
            if (count && time - counted < spacing)
                continue;
            ++count;
            counted = time;
        }
        return count;
    }

    size_t eraseVoid(std::vector<PartEnd>& ends, const LastReport& lastReport)
    {
        return std::erase_if(ends, [&](const PartEnd& end) {
            auto reportedAt = lastReport(end.life);
            return reportedAt && *reportedAt > end.observedAt;
        });
    }

    using Suspects = std::map<PartKey, std::vector<PartEnd>>;

    std::pair<size_t, BootTime> strength(const std::vector<PartEnd>& ends)
    {
        return { ends.size(), newestEnd(ends) };
    }

    std::vector<Suspects::iterator> suspectsOfKind(Suspects& suspected, bool areRequests)
    {
        std::vector<Suspects::iterator> found;
        for (auto item = suspected.begin(); item != suspected.end(); ++item) {
            if (isRequestKey(item->first.part) == areRequests)
                found.push_back(item);
        }
        return found;
    }

    // Drops those of their kind with the fewest ends, the oldest of these, if there are too many. Of parts, which come
    // in thousands, it drops more than needed, so that the next ones find room.
    void limitSuspected(PartLedger& ledger, bool areRequests)
    {
        size_t limit = areRequests ? maxSuspectedRequests : maxSuspectedParts;
        if (ledger.suspected.size() <= limit)
            return;
        auto found = suspectsOfKind(ledger.suspected, areRequests);
        if (found.size() <= limit)
            return;
        auto excess = static_cast<std::ptrdiff_t>(found.size() - limit + (areRequests ? 0 : limit / 8));
        std::nth_element(found.begin(), found.begin() + excess, found.end(),
            [](auto a, auto b) { return strength(a->second) < strength(b->second); });
        for (auto item = found.begin(); item != found.begin() + excess; ++item)
            ledger.suspected.erase(*item);
        ledger.droppedSuspects += static_cast<uint64_t>(excess);
        ++ledger.version;
    }

    void limitBlocked(PartLedger& ledger)
    {
        while (ledger.blocked.size() > maxBlockedParts) {
            auto oldest = std::min_element(ledger.blocked.begin(), ledger.blocked.end(),
                [](const auto& a, const auto& b) { return a.second.until < b.second.until; });
            ledger.blocked.erase(oldest);
            ++ledger.droppedBlocks;
        }
    }

    // The end that is dropped for another one: one that counts together with its neighbour, or else the oldest.
    std::vector<PartEnd>::iterator endToDrop(std::vector<PartEnd>& ends, base::Duration spacing)
    {
        std::sort(
            ends.begin(), ends.end(), [](const PartEnd& a, const PartEnd& b) { return a.observedAt < b.observedAt; });
        auto isTogether = [&](const PartEnd& a, const PartEnd& b) { return b.observedAt - a.observedAt < spacing; };
        auto together = std::adjacent_find(ends.begin(), ends.end(), isTogether);
        return together == ends.end() ? ends.begin() : std::next(together);
    }

    // Records the end of a life. Returns false if it was known.
    bool mergeEnd(std::vector<PartEnd>& ends, const PartEnd& end, base::Duration spacing)
    {
        for (PartEnd& known : ends) {
            if (known.life == end.life) {
                known.observedAt = std::max(known.observedAt, end.observedAt);
                return false;
            }
        }
        ends.push_back(end);
        if (ends.size() > maxEndsPerPart)
            ends.erase(endToDrop(ends, spacing));
        return true;
    }

    base::Duration spacingOf(const PartKey& key)
    {
        return isRequestKey(key.part) ? requestEndSpacing : endSpacing;
    }

    void block(PartLedger& ledger, const PartKey& key, const std::vector<PartEnd>& ends, size_t required, BootTime now)
    {
        PartBlock& entry = ledger.blocked[key];
        entry.count += 1;
        entry.until = now + blockTime(entry.count);
        entry.ends = ends;
        entry.endsRequired = required;
        limitBlocked(ledger);
    }

} // namespace

// ---- Settled parts -----------------------------------------------------------------------------

void settledRecord(SettledParts& settled, const PartKey& key, BootTime now)
{
    auto [found, isNew] = settled.settledAt.try_emplace(key, now);
    if (!isNew) {
        settled.byTime.erase({ found->second, key });
        found->second = std::max(found->second, now);
    }
    settled.byTime.insert({ found->second, key });
    while (settled.byTime.size() > maxSettledParts) {
        settled.settledAt.erase(settled.byTime.begin()->second);
        settled.byTime.erase(settled.byTime.begin());
    }
}

bool settledContains(const SettledParts& settled, const PartKey& key, BootTime now)
{
    auto found = settled.settledAt.find(key);
    return found != settled.settledAt.end() && now - found->second < settledLifetime;
}

// ---- Ledger ------------------------------------------------------------------------------------

std::vector<PartChange> ledgerRecordEnd(PartLedger& ledger, const ReplicaEnd& end, BootTime now)
{
    std::vector<PartChange> changes;
    if (now - end.observedAt >= endLifetime)
        return changes;
    for (const std::string& part : end.parts) {
        PartKey key { end.service, part };
        if (settledContains(ledger.settled, key, now))
            continue;
        auto blocked = ledger.blocked.find(key);
        if (blocked != ledger.blocked.end() && end.observedAt < blocked->second.until)
            continue;
        std::vector<PartEnd>& ends = ledger.suspected[key];
        if (!mergeEnd(ends, { end.life, end.observedAt }, spacingOf(key)))
            continue;
        size_t toldFrom = isRequestKey(key.part) ? endsToTellRequest : 1;
        ledger.version += ends.size() >= toldFrom;
        if (ends.size() == toldFrom)
            changes.push_back({ PartChangeKind::Suspected, key, ends, "", {} });
    }
    limitSuspected(ledger, false);
    limitSuspected(ledger, true);
    return changes;
}

std::vector<PartChange> ledgerRecordSettled(PartLedger& ledger, const PartKey& key, BootTime now)
{
    settledRecord(ledger.settled, key, now);
    std::vector<PartEnd> ends;
    auto suspected = ledger.suspected.find(key);
    if (suspected != ledger.suspected.end())
        ends = suspected->second;
    bool wasSuspected = ledger.suspected.erase(key) > 0;
    bool wasBlocked = ledger.blocked.erase(key) > 0;
    if (!wasSuspected && !wasBlocked)
        return {};
    ++ledger.version;
    return { { PartChangeKind::Cleared, key, ends, "settled", {} } };
}

std::vector<PartChange> ledgerAdvance(PartLedger& ledger, const LastReport& lastReport, BootTime now)
{
    std::vector<PartChange> changes;
    for (auto item = ledger.blocked.begin(); item != ledger.blocked.end();) {
        PartBlock& entry = item->second;
        bool hasExpired = now - entry.until >= probationTime;
        bool isVoid = eraseVoid(entry.ends, lastReport) > 0 && entry.ends.size() < entry.endsRequired;
        if (!hasExpired && !isVoid) {
            ++item;
            continue;
        }
        changes.push_back(
            { PartChangeKind::Cleared, item->first, entry.ends, isVoid ? "replica_alive" : "expired", {} });
        item = ledger.blocked.erase(item);
        ++ledger.version;
    }
    for (auto item = ledger.suspected.begin(); item != ledger.suspected.end();) {
        std::vector<PartEnd>& ends = item->second;
        size_t voidCount = eraseVoid(ends, lastReport);
        size_t oldCount = std::erase_if(ends, [&](const PartEnd& end) { return now - end.observedAt >= endLifetime; });
        ledger.version += voidCount + oldCount > 0;
        bool isOnProbation = ledger.blocked.contains(item->first);
        size_t required = isOnProbation ? endsToBlockOnProbation : endsToBlock;
        bool isBlocked = effectiveEnds(ends, spacingOf(item->first), now) >= required;
        if (!isBlocked && !ends.empty()) {
            ++item;
            continue;
        }
        PartKey key = item->first;
        if (isBlocked) {
            block(ledger, key, ends, required, now);
            changes.push_back({ PartChangeKind::Blocked, key, ends, "", ledger.blocked[key] });
            ++ledger.version;
        } else
            changes.push_back({ PartChangeKind::Cleared, key, {}, voidCount ? "replica_alive" : "expired", {} });
        item = ledger.suspected.erase(item);
    }
    return changes;
}

void ledgerBlock(PartLedger& ledger, const PartKey& key, const PartBlock& taken)
{
    auto known = ledger.blocked.find(key);
    if (known != ledger.blocked.end() && known->second.count >= taken.count)
        return;
    ledger.blocked[key] = taken;
    ledger.suspected.erase(key);
    limitBlocked(ledger);
    ++ledger.version;
}

std::vector<PartChange> ledgerUnblock(PartLedger& ledger, const PartKey& key)
{
    auto found = ledger.blocked.find(key);
    if (found == ledger.blocked.end())
        return {};
    PartChange change { PartChangeKind::Cleared, key, found->second.ends, "removed", {} };
    ledger.blocked.erase(found);
    ledger.suspected.erase(key);
    ++ledger.version;
    return { change };
}

// ---- Use ---------------------------------------------------------------------------------------

PartView ledgerView(const PartLedger& ledger)
{
    PartView view;
    view.version = ledger.version;
    using Suspect = const std::pair<const PartKey, std::vector<PartEnd>>*;
    std::vector<Suspect> parts;
    auto tell = [&](Suspect suspect) {
        std::vector<ReplicaLife>& lives = view.suspected[suspect->first];
        for (const PartEnd& end : suspect->second)
            lives.push_back(end.life);
    };
    for (const auto& item : ledger.suspected) {
        if (!isRequestKey(item.first.part))
            parts.push_back(&item);
        else if (item.second.size() >= endsToTellRequest)
            tell(&item);
    }
    if (parts.size() > maxToldSingleParts)
        std::stable_sort(
            parts.begin(), parts.end(), [](Suspect a, Suspect b) { return strength(a->second) > strength(b->second); });
    for (size_t i = 0; i < std::min(parts.size(), maxToldParts); ++i) {
        if (i < maxToldSingleParts || parts[i]->second.size() > 1)
            tell(parts[i]);
    }
    for (const auto& [key, entry] : ledger.blocked)
        view.blocked[key] = { entry.until, entry.count, {}, 0 };
    return view;
}

std::optional<BlockedPart> viewFindBlocked(
    const PartView& view, const std::string& service, const std::vector<std::string>& parts, BootTime now)
{
    std::optional<BlockedPart> longest;
    if (view.blocked.empty())
        return longest;
    for (const std::string& part : parts) {
        auto found = view.blocked.find({ service, part });
        if (found == view.blocked.end() || now >= found->second.until)
            continue;
        base::Duration timeLeft = found->second.until - now;
        if (!longest || timeLeft > longest->timeLeft)
            longest = BlockedPart { part, timeLeft };
    }
    return longest;
}

bool retryIsAllowed(const PartView& view, const SettledParts& settled, const ReplicaEnd& end, BootTime now)
{
    return std::none_of(end.parts.begin(), end.parts.end(), [&](const std::string& part) {
        PartKey key { end.service, part };
        auto found = view.suspected.find(key);
        return found != view.suspected.end() && !settledContains(settled, key, now)
            && std::any_of(
                found->second.begin(), found->second.end(), [&](const ReplicaLife& life) { return life != end.life; });
    });
}

} // namespace rattanshunt::prompts
