// Token budget of a fleet: tokens borrowed from lenders on demand, compared with a static split, one owner for each
// account, and a bucket in the key-value store that is written for each request.
#include <cmath>
#include <queue>
#include <random>

#include <fmt/format.h>

#include "Bench.h"
#include "budget/Borrower.h"

namespace rattanshunt::lab {

using namespace budget;
using base::TimePoint;

namespace {

    constexpr size_t daemonCount = 18;
    constexpr double runSeconds = 60;
    constexpr double stepMillis = 1;

    TimePoint timeAt(double millis)
    {
        return TimePoint {} + base::Seconds(1000) + base::durationOf(millis / 1000);
    }

    struct TokenRequest {
        double millis = 0;
        size_t daemon = 0;
        size_t account = 0;
        double tokens = 0;
        resources::PriorityClass priority = resources::PriorityClass::Normal;
    };

    struct BudgetCase {
        const char* name;
        std::vector<resources::Account> accounts;
        std::vector<TokenRequest> requests;
        size_t crashedSlot = 99;  // lender that crashes after a third of the run; 99: none
        size_t pausedDaemon = 99; // daemon that pauses for 10 s after a third of the run; 99: none
    };

    struct AdmittedTokens {
        double millis = 0;
        double tokens = 0;
    };

    struct BudgetOutcome {
        std::vector<std::vector<AdmittedTokens>> admitted; // by account
        std::vector<double> refusedTokens;
        std::vector<double> requestedTokens;
        std::vector<double> waitMillis; // of admitted requests
        int64_t refusedCount = 0;
        int64_t requestCount = 0;
        int64_t refusedLargeCount = 0;
        int64_t largeRequestCount = 0;
        double kvWrites = 0;
        double peerCalls = 0;
    };

    constexpr double largeRequestTokens = 500;
    constexpr double takeoverMillis = 3000; // until the slot of a crashed lender has another holder
    constexpr double maxWaitMillis = 1500;  // for tokens, before the request is refused

    // The largest number of tokens above burst + rate x window in any window.
    double tokensOverBound(const std::vector<AdmittedTokens>& list, const resources::Account& account)
    {
        // The maximum of sum(i..j) - rate * (t_j - t_i) over all i and j is the maximum of a balance that drains at the
        // rate and stops at 0, so one pass finds it.
        double worst = -account.burst;
        double balance = 0;
        double last = 0;
        for (const AdmittedTokens& item : list) {
            balance = std::max(0.0, balance - account.rate * (item.millis - last) / 1000) + item.tokens;
            last = item.millis;
            worst = std::max(worst, balance - account.burst);
        }
        return std::max(worst, 0.0);
    }

    BudgetCase makeCase(const char* name, bool isSkewed, bool isGreedy, bool hasLarge, uint64_t seed)
    {
        BudgetCase result { name, {}, {}, 99, 99 };
        std::mt19937_64 random(seed);
        for (int i = 0; i < 5; ++i)
            result.accounts.push_back({ fmt::format("a{}", i), i < 2 ? 8000.0 : 2000.0, i < 2 ? 16000.0 : 4000.0, 1 });
        for (size_t account = 0; account < result.accounts.size(); ++account) {
            double demand = result.accounts[account].rate * (isGreedy && account == 0 ? 5.0 : 0.85);
            double at = 0;
            while (at < runSeconds * 1000) {
                bool isLarge = hasLarge && account == 1 && random() % 40 == 0;
                double tokens = isLarge ? 3000 : 20 + static_cast<double>(random() % 81);
                at += std::exponential_distribution<double>(demand / (hasLarge && account == 1 ? 134.0 : 60.0))(random)
                    * 1000;
                size_t daemon = isSkewed ? account * 2 + random() % 2 : random() % daemonCount;
                result.requests.push_back({ at, daemon, account, tokens,
                    isLarge ? resources::PriorityClass::High : resources::PriorityClass::Normal });
            }
        }
        std::sort(result.requests.begin(), result.requests.end(),
            [](const TokenRequest& a, const TokenRequest& b) { return a.millis < b.millis; });
        return result;
    }

    BudgetOutcome emptyOutcome(const BudgetCase& benchCase)
    {
        BudgetOutcome outcome;
        outcome.admitted.resize(benchCase.accounts.size());
        outcome.refusedTokens.resize(benchCase.accounts.size());
        outcome.requestedTokens.resize(benchCase.accounts.size());
        for (const TokenRequest& request : benchCase.requests) {
            ++outcome.requestCount;
            outcome.largeRequestCount += request.tokens >= largeRequestTokens;
            outcome.requestedTokens[request.account] += request.tokens;
        }
        return outcome;
    }

    void refuse(BudgetOutcome& outcome, const TokenRequest& request)
    {
        ++outcome.refusedCount;
        outcome.refusedLargeCount += request.tokens >= largeRequestTokens;
        outcome.refusedTokens[request.account] += request.tokens;
    }

    // ---- Lenders and borrowers -------------------------------------------------------------------

    struct Message {
        double millis = 0;
        bool isAnswer = false;
        size_t daemon = 0;
        size_t slot = 0;
        BudgetCall call;
        BudgetAnswer answer;
        bool operator<(const Message& other) const { return millis > other.millis; }
    };

    BudgetOutcome runLenders(const BudgetCase& benchCase, const BudgetOptions& options, uint64_t seed)
    {
        BudgetOutcome outcome = emptyOutcome(benchCase);
        std::mt19937_64 random(seed);
        std::vector<Lender> lenders(options.slotCount);
        for (Lender& lender : lenders) {
            lender.epoch = 1;
            lender.isFirstHolder = true;
        }
        std::vector<Borrower> borrowers;
        for (size_t i = 0; i < daemonCount; ++i)
            borrowers.push_back(borrowerCreate(options, fmt::format("d{}", i), i % options.slotCount));
        auto lookup = [&](const std::string& name) {
            return LenderAccountSpec { &benchCase.accounts[static_cast<size_t>(name[1] - '0')], 1 };
        };
        std::priority_queue<Message> messagesInFlight;
        std::map<uint64_t, const TokenRequest*> waiting;
        uint64_t lastRequestId = 0;
        size_t nextRequest = 0;
        double crashAt = runSeconds * 1000 / 3;
        bool isTakenOver = false;
        for (double now = 0; now < runSeconds * 1000 + 3000; now += stepMillis) {
            TimePoint time = timeAt(now);
            if (!isTakenOver && benchCase.crashedSlot < options.slotCount && now >= crashAt + takeoverMillis) {
                lenders[benchCase.crashedSlot] = {};
                lenders[benchCase.crashedSlot].epoch = 2;
                lenders[benchCase.crashedSlot].takenOverRevision = 1000;
                isTakenOver = true;
            }
            bool isPaused = benchCase.pausedDaemon < daemonCount && now >= crashAt && now < crashAt + 10000;
            while (!messagesInFlight.empty() && messagesInFlight.top().millis <= now) {
                Message message = messagesInFlight.top();
                messagesInFlight.pop();
                bool isCrashed = message.slot == benchCase.crashedSlot && now >= crashAt && !isTakenOver;
                if (message.isAnswer && isPaused && message.daemon == benchCase.pausedDaemon) {
                    message.millis = crashAt + 10000;
                    messagesInFlight.push(message);
                } else if (message.isAnswer && !message.answer.epoch)
                    borrowerFail(borrowers[message.daemon], message.slot, time);
                else if (message.isAnswer)
                    borrowerAnswer(borrowers[message.daemon], message.slot, message.answer, time);
                else {
                    message.answer = isCrashed
                        ? BudgetAnswer {}
                        : lenderAnswer(lenders[message.slot], message.call, lookup, options, time);
                    message.isAnswer = true;
                    // A call to a crashed lender fails at the call's deadline.
                    message.millis = now + (isCrashed ? 120 : 0.5 + static_cast<double>(random() % 20) / 10);
                    messagesInFlight.push(message);
                }
            }
            for (; nextRequest < benchCase.requests.size() && benchCase.requests[nextRequest].millis <= now;
                 ++nextRequest) {
                const TokenRequest& request = benchCase.requests[nextRequest];
                waiting[++lastRequestId] = &request;
                borrowerAdd(borrowers[request.daemon],
                    { lastRequestId, benchCase.accounts[request.account].name, request.tokens, 0, request.priority,
                        time, time + base::Millis(static_cast<int>(maxWaitMillis)) });
            }
            for (size_t daemon = 0; daemon < daemonCount; ++daemon) {
                if (isPaused && daemon == benchCase.pausedDaemon)
                    continue;
                for (BorrowerCall& call : borrowerStep(borrowers[daemon], time)) {
                    ++outcome.peerCalls;
                    messagesInFlight.push({ now + 0.5 + static_cast<double>(random() % 20) / 10, false, daemon,
                        call.slot, std::move(call.call), {} });
                }
                for (const BudgetDecision& decision : borrowers[daemon].decisions) {
                    const TokenRequest& request = *waiting[decision.id];
                    bool isUsable = decision.isGranted && (!options.checksTokenValidity || time < decision.validUntil);
                    if (isUsable) {
                        outcome.admitted[request.account].push_back({ now, request.tokens });
                        outcome.waitMillis.push_back(now - request.millis);
                    } else
                        refuse(outcome, request);
                    waiting.erase(decision.id);
                }
                borrowers[daemon].decisions.clear();
            }
        }
        return outcome;
    }

    // ---- Baselines -------------------------------------------------------------------------------

    // Each daemon has 1/N of each account's rate and burst.
    BudgetOutcome runStaticSplit(const BudgetCase& benchCase)
    {
        BudgetOutcome outcome = emptyOutcome(benchCase);
        std::map<std::pair<size_t, size_t>, Bucket> buckets;
        for (const TokenRequest& request : benchCase.requests) {
            const resources::Account& account = benchCase.accounts[request.account];
            auto [found, isNew] = buckets.try_emplace({ request.daemon, request.account },
                bucketCreate(
                    account.rate / daemonCount, account.burst / daemonCount, account.burst / daemonCount, timeAt(0)));
            if (bucketTake(found->second, request.tokens, timeAt(request.millis))) {
                outcome.admitted[request.account].push_back({ request.millis, request.tokens });
                outcome.waitMillis.push_back(0);
            } else
                refuse(outcome, request);
        }
        return outcome;
    }

    // One daemon holds the whole bucket of an account. It is called for each request and decides at once, without a
    // queue.
    BudgetOutcome runSingleOwner(const BudgetCase& benchCase)
    {
        BudgetOutcome outcome = emptyOutcome(benchCase);
        std::vector<Bucket> buckets;
        for (const resources::Account& account : benchCase.accounts)
            buckets.push_back(bucketCreate(account.rate, account.burst, account.burst, timeAt(0)));
        double crashAt = runSeconds * 1000 / 3;
        // The accounts of a crashed owner are taken over after its lease of 10 s, with an empty bucket.
        constexpr double takeover = 10000;
        for (const TokenRequest& request : benchCase.requests) {
            ++outcome.peerCalls;
            bool isDown = benchCase.crashedSlot == 0 && request.millis >= crashAt && request.millis < crashAt + takeover
                && request.account < 2;
            if (!isDown && bucketTake(buckets[request.account], request.tokens, timeAt(request.millis))) {
                outcome.admitted[request.account].push_back({ request.millis, request.tokens });
                outcome.waitMillis.push_back(3);
            } else
                refuse(outcome, request);
        }
        return outcome;
    }

    // A bucket in the key-value store, changed by compare-and-swap for each request. The store serves 400 writes per
    // second, one after the other; a write that lost a race would be retried.
    BudgetOutcome runKvBucket(const BudgetCase& benchCase)
    {
        BudgetOutcome outcome = emptyOutcome(benchCase);
        std::vector<Bucket> buckets;
        for (const resources::Account& account : benchCase.accounts)
            buckets.push_back(bucketCreate(account.rate, account.burst, account.burst, timeAt(0)));
        constexpr double writeMillis = 1000.0 / 400;
        double freeAt = 0;
        for (const TokenRequest& request : benchCase.requests) {
            double done = std::max(freeAt, request.millis) + writeMillis;
            if (done - request.millis > maxWaitMillis) {
                refuse(outcome, request);
                continue;
            }
            freeAt = done;
            ++outcome.kvWrites;
            if (bucketTake(buckets[request.account], request.tokens, timeAt(done))) {
                outcome.admitted[request.account].push_back({ done, request.tokens });
                outcome.waitMillis.push_back(done - request.millis);
            } else
                refuse(outcome, request);
        }
        return outcome;
    }

    // ---- Table -----------------------------------------------------------------------------------

    BenchRow rowOf(const BudgetCase& benchCase, const char* strategy, const BudgetOutcome& outcome)
    {
        double tokensOver = 0;
        double worst = 1;
        double refusedWithin = 0;
        double offeredWithin = 0;
        for (size_t account = 0; account < benchCase.accounts.size(); ++account) {
            tokensOver = std::max(tokensOver, tokensOverBound(outcome.admitted[account], benchCase.accounts[account]));
            double admitted = 0;
            for (const AdmittedTokens& item : outcome.admitted[account])
                admitted += item.tokens;
            const resources::Account& spec = benchCase.accounts[account];
            double entitledTokens = std::min(outcome.requestedTokens[account], spec.burst + spec.rate * runSeconds);
            worst = std::min(worst, admitted / entitledTokens);
            // Refusals count as wrong only for accounts that request no more than their limit.
            if (outcome.requestedTokens[account] <= spec.burst + spec.rate * runSeconds) {
                refusedWithin += outcome.refusedTokens[account];
                offeredWithin += outcome.requestedTokens[account];
            }
        }
        std::vector<double> waits = outcome.waitMillis;
        std::sort(waits.begin(), waits.end());
        double p99 = waits.empty() ? 0 : waits[waits.size() * 99 / 100];
        double largeRefusedPercent = outcome.largeRequestCount
            ? 100.0 * static_cast<double>(outcome.refusedLargeCount) / static_cast<double>(outcome.largeRequestCount)
            : 0;
        return { { benchCase.name, strategy, fmt::format("{:.2f}", tokensOver),
            fmt::format("{:.3f}", offeredWithin > 0 ? 100 * refusedWithin / offeredWithin : 0),
            fmt::format("{:.2f}", 100 * worst), fmt::format("{:.2f}", largeRefusedPercent), fmt::format("{:.2f}", p99),
            fmt::format("{:.1f}", outcome.kvWrites / runSeconds),
            fmt::format("{:.0f}", outcome.peerCalls / runSeconds) } };
    }

} // namespace

BenchTable benchBudget(uint64_t seed)
{
    BenchTable table;
    table.title = "Token budget: 18 daemons, 4 lenders, 5 accounts, 60 s, 1.0 to 5.0 ms to a lender and back";
    table.columns = { "case", "way", "tokens over", "refused within rate %", "worst served %", "large refused %",
        "wait p99 ms", "KV writes/s", "peer calls/s" };
    std::vector<BudgetCase> cases = { makeCase("even", false, false, false, seed),
        makeCase("skewed", true, false, false, seed), makeCase("one at 5x", false, true, false, seed),
        makeCase("skewed, one at 5x", true, true, false, seed), makeCase("large among small", false, false, true, seed),
        makeCase("a lender crashes", false, false, false, seed),
        makeCase("a daemon pauses 10 s", true, false, false, seed) };
    cases[5].crashedSlot = 0;
    cases[6].pausedDaemon = 2;
    BudgetOptions options;
    for (const BudgetCase& benchCase : cases) {
        table.rows.push_back(rowOf(benchCase, "borrowed on demand", runLenders(benchCase, options, seed)));
        table.rows.push_back(rowOf(benchCase, "static split", runStaticSplit(benchCase)));
        table.rows.push_back(rowOf(benchCase, "one owner", runSingleOwner(benchCase)));
        table.rows.push_back(rowOf(benchCase, "KV write each", runKvBucket(benchCase)));
    }
    table.notes = {
        "a lender that crashes: its slot is taken over 3 s later, after the platform's list confirms it, with "
        "empty buckets",
        "a daemon that pauses: the requests of its own callers are refused late; tokens that it had borrowed expire",
        "one owner holds all tokens of an account: nothing is split, but while that process is down all requests of "
        "the account are refused"
    };
    return table;
}

} // namespace rattanshunt::lab
