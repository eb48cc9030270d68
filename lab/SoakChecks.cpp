#include "SoakChecks.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace rattanshunt::lab {

namespace {

    constexpr double usageTolerance = 0.1; // fraction of the quota in a window
    constexpr base::Seconds usageWindow { 8 };
    constexpr base::Millis maxReplicaRemovalDelay { 5000 }; // gateways serve no keyed request on older knowledge
    constexpr base::Millis executionDelayTolerance { 400 }; // from a caller's sending to the start of execution
    constexpr base::Millis timelineMargin { 40 };           // around a request's events, for copies on its connections

    using Moments = std::vector<std::pair<base::TimePoint, std::string>>;

    // The request's last sending that may have caused an execution at `startedAt`.
    base::TimePoint sentBefore(const SentRequest& sent, base::TimePoint startedAt)
    {
        base::TimePoint at = sent.tries.front().sentAt;
        for (const SoakTry& attempt : sent.tries) {
            if (attempt.sentAt <= startedAt)
                at = attempt.sentAt;
        }
        return at;
    }

    // The replica's events of the request, and copies of other requests' refusals on the same connections meanwhile.
    void addReplicaMoments(Moments& moments, const UnreliableReplica& replica, size_t index, const std::string& key)
    {
        std::map<int, std::pair<base::TimePoint, base::TimePoint>> periods; // by connection
        for (const UnreliableReplicaEvent& event : replica.events()) {
            if (event.request == key)
                periods.emplace(event.connection, std::pair(event.at, event.at)).first->second.second = event.at;
        }
        for (const UnreliableReplicaEvent& event : replica.events()) {
            auto period = periods.find(event.connection);
            if (period == periods.end())
                continue;
            bool isForeignCopy = event.isCopy && event.at >= period->second.first - timelineMargin
                && event.at <= period->second.second + timelineMargin;
            if (event.request == key || isForeignCopy)
                moments.emplace_back(event.at,
                    fmt::format("u-{} connection {}: {}{}", index, event.connection, event.text,
                        event.request == key ? "" : " (" + event.request + ")"));
        }
    }

    std::string timeline(const SoakRecord& record, const std::string& key, const SentRequest& sent)
    {
        Moments moments;
        for (const SoakTry& attempt : sent.tries) {
            moments.emplace_back(attempt.sentAt, "caller: sent to " + attempt.gateway);
            moments.emplace_back(attempt.heardAt, fmt::format("caller: heard {}", attempt.status));
        }
        for (size_t i = 0; i < record.replicas.size(); ++i) {
            for (const RequestExecution& execution : record.replicas[i]->history().executions) {
                if (execution.requestId == key)
                    moments.emplace_back(execution.startedAt, fmt::format("i-{}: ran", i));
            }
        }
        for (size_t i = 0; i < record.unreliableReplicas.size(); ++i)
            addReplicaMoments(moments, *record.unreliableReplicas[i], i, key);
        std::ranges::stable_sort(moments, {}, [](const auto& moment) { return moment.first; });
        std::string text;
        for (const auto& [at, what] : moments)
            text += fmt::format("\n      {:.1f} ms {}", base::secondsOf(at - record.startedAt) * 1000, what);
        return text;
    }

    void checkExecution(
        const SoakRecord& record, const RequestExecution& execution, size_t index, std::vector<std::string>& violations)
    {
        auto sent = record.sentRequests.find(execution.requestId);
        if (sent == record.sentRequests.end()) {
            violations.push_back("whole: a request ran that no caller sent: " + execution.requestId);
            return;
        }
        base::TimePoint sentAt = sentBefore(sent->second, execution.startedAt);
        if (execution.hadApiKey || execution.account != "acme")
            violations.emplace_back("keys: the key was forwarded, or the account header is wrong");
        auto taken = record.revokedAt.find(sent->second.apiKey);
        if (taken != record.revokedAt.end() && sentAt > taken->second + soakMaxRevocationDelay)
            violations.push_back(fmt::format("keys: {} was sent {:.3f} s after its key was revoked, and ran",
                execution.requestId, base::secondsOf(sentAt - taken->second)));
        for (auto& [since, until] : record.replicas[index]->drainPeriods()) {
            if (execution.startedAt > since + maxReplicaRemovalDelay + executionDelayTolerance
                && execution.startedAt < until && sentAt > since + maxReplicaRemovalDelay)
                violations.push_back(fmt::format("drain: {} reached replica {} {:.3f} s after it began to drain",
                    execution.requestId, index, base::secondsOf(execution.startedAt - since)));
        }
    }

    void checkOrders(const SoakRecord& record, std::vector<std::string>& violations)
    {
        std::map<int64_t, std::string> holders;
        for (size_t i = 0; i < record.replicas.size(); ++i) {
            const ReplicaHistory& history = record.replicas[i]->history();
            if (history.wasOvercommitted)
                violations.push_back(fmt::format("orders: replica {} was ordered to hold more than fits", i));
            for (const AcceptedOrder& order : history.acceptedOrders) {
                auto [known, isNew] = holders.emplace(order.fencingToken, order.hub);
                if (!isNew && known->second != order.hub)
                    violations.push_back(
                        fmt::format("orders: {} and {} use token {}", order.hub, known->second, order.fencingToken));
            }
        }
    }

    void checkUsage(std::vector<std::pair<base::TimePoint, double>>& usage, std::vector<std::string>& violations)
    {
        std::sort(usage.begin(), usage.end());
        double sum = 0;
        size_t first = 0;
        double maxTokens = (soakAccountRate * base::secondsOf(usageWindow) + soakAccountBurst) * (1 + usageTolerance)
            + soakQuotaSlack;
        for (size_t i = 0; i < usage.size(); ++i) {
            sum += usage[i].second;
            while (usage[first].first <= usage[i].first - usageWindow)
                sum -= usage[first++].second;
            if (sum > maxTokens) {
                violations.push_back(
                    fmt::format("usage: {} tokens ran in {} s, allowed {}", sum, usageWindow.count(), maxTokens));
                return;
            }
        }
    }

} // namespace

bool isRefusal(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

std::vector<std::string> soakViolations(const SoakRecord& record)
{
    std::vector<std::string> violations;
    std::map<std::string, int> executionCounts;
    std::vector<std::pair<base::TimePoint, double>> usage;
    checkOrders(record, violations);
    for (size_t i = 0; i < record.replicas.size(); ++i) {
        for (const RequestExecution& execution : record.replicas[i]->history().executions) {
            ++executionCounts[execution.requestId];
            checkExecution(record, execution, i, violations);
            if (record.sentRequests.contains(execution.requestId))
                usage.emplace_back(execution.startedAt, execution.model.empty() ? 10 : 100);
        }
    }
    for (auto& replica : record.unreliableReplicas) {
        for (const auto& [key, count] : replica->runs()) {
            executionCounts[key] += count;
            auto sent = record.sentRequests.find(key);
            if (sent == record.sentRequests.end())
                violations.push_back("whole: a request ran that no caller sent: " + key);
            else
                usage.emplace_back(sent->second.tries.back().sentAt, 10.0 * count);
        }
    }
    for (auto& [key, sent] : record.sentRequests) {
        if (sent.route != "once" && sent.route != "single")
            continue;
        int count = executionCounts[key];
        if (count > 1)
            violations.push_back(
                fmt::format("once: {} on {} ran {} times{}", key, sent.route, count, timeline(record, key, sent)));
        if (isRefusal(sent.tries.back().status) && count > 0)
            violations.push_back(fmt::format(
                "refusals: {} got {} and ran{}", key, sent.tries.back().status, timeline(record, key, sent)));
    }
    checkUsage(usage, violations);
    return violations;
}

} // namespace rattanshunt::lab
