#include "coordination/Kv.h"

namespace rattanshunt::coordination {

std::string kvPrefixEnd(const std::string& prefix)
{
    std::string end = prefix;
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
        end.pop_back();
    if (!end.empty())
        ++end.back();
    return end;
}

namespace {
    KvSwapResult swapOutcome(Revision expected, const std::string& value, std::vector<KvEntry>& found)
    {
        Revision currentRevision = found.empty() ? 0 : found.front().modRevision;
        if (!found.empty() && found.front().value == value)
            return { KvSwapOutcome::Done, currentRevision, std::nullopt };
        // The revision is still the expected one: the request may be delayed and still take effect.
        if (currentRevision == expected)
            return { KvSwapOutcome::Unknown, 0, std::nullopt };
        KvSwapResult conflict { KvSwapOutcome::Conflict, 0, std::nullopt };
        if (!found.empty())
            conflict.current = std::move(found.front());
        return conflict;
    }
}

KvSwapResult kvSwap(Kv& kv, const std::string& key, Revision expected, const std::string& value, int64_t lease)
{
    KvTxnResult result = kv.txn({ { key, expected } }, { { key, value, lease } });
    if (result.error == KvError::NotApplied)
        return { KvSwapOutcome::NotApplied, 0, std::nullopt };
    if (result.error == KvError::None && result.isApplied)
        return { KvSwapOutcome::Done, result.revision, std::nullopt };
    if (result.error == KvError::None)
        return swapOutcome(expected, value, result.current);
    KvRangeResult read = kv.get(key);
    if (read.error != KvError::None)
        return { KvSwapOutcome::Unknown, 0, std::nullopt };
    return swapOutcome(expected, value, read.entries);
}

} // namespace rattanshunt::coordination
