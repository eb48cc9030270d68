// The ledger of prompt parts under random schedules.
#include <rapidcheck.h>

#include "PartLedgerSupport.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;

namespace {

// One message to the hub: an end of a life under two parts, or a settled part.
struct Message {
    bool isSettled = false;
    int part = 0;
    int secondPart = 0;
    int life = 0;
};

constexpr int partCount = 5;

std::string partName(int part)
{
    return fmt::format("p{}", part);
}

// Delivers the messages in the given order within 500 ms, with the lives' ends endSpacing apart, then waits until all
// ends have taken effect.
PartLedger deliver(const std::vector<Message>& messages)
{
    PartLedger ledger;
    double millis = 0;
    for (const Message& message : messages) {
        millis += 1;
        if (message.isSettled)
            ledgerRecordSettled(ledger, keyOf(partName(message.part)), bootAt(millis));
        else
            ledgerRecordEnd(ledger,
                endOf(fmt::format("r{}", message.life), 1, { partName(message.part), partName(message.secondPart) },
                    static_cast<double>(message.life * endSpacing.count())),
                bootAt(millis));
        if (static_cast<int>(millis) % 7 == 0)
            ledgerAdvance(ledger, noReport, bootAt(millis));
    }
    ledgerAdvance(ledger, noReport, bootAt(500) + reportWait);
    return ledger;
}

std::vector<std::string> blockedParts(const PartLedger& ledger)
{
    std::vector<std::string> parts;
    for (const auto& [key, block] : ledger.blocked)
        parts.push_back(key.part);
    return parts;
}

std::vector<Message> messagesOf(const std::vector<std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>>& steps)
{
    std::vector<Message> messages;
    for (auto [kind, part, secondPart, life] : steps) {
        if (messages.size() < 200)
            messages.push_back({ kind % 8 == 0, part % partCount, secondPart % partCount, life % 6 });
    }
    return messages;
}

} // namespace

Test(part_ledger, what_is_blocked_depends_neither_on_order_nor_on_repeated_messages, .timeout = 60)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=400", 1);
    bool holds = rc::check([](const std::vector<std::tuple<uint8_t, uint8_t, uint8_t, uint8_t>>& steps, uint32_t seed) {
        std::vector<Message> messages = messagesOf(steps);
        std::map<std::string, std::set<int>> endedLives;
        std::set<std::string> settled;
        for (const Message& message : messages) {
            if (message.isSettled) {
                settled.insert(partName(message.part));
                continue;
            }
            endedLives[partName(message.part)].insert(message.life);
            endedLives[partName(message.secondPart)].insert(message.life);
        }
        std::vector<std::string> expected;
        for (const auto& [part, lives] : endedLives) {
            if (lives.size() >= endsToBlock && !settled.contains(part))
                expected.push_back(part);
        }
        RC_CLASSIFY(!expected.empty(), "blocks a part");
        RC_CLASSIFY(!settled.empty(), "settles a part");
        RC_ASSERT(blockedParts(deliver(messages)) == expected);
        std::mt19937 random(seed);
        std::vector<Message> repeated = messages;
        for (const Message& message : messages) {
            if (random() % 3 == 0 && repeated.size() < 400)
                repeated.push_back(message);
        }
        std::shuffle(repeated.begin(), repeated.end(), random);
        RC_ASSERT(blockedParts(deliver(repeated)) == expected);
    });
    cr_assert(holds);
}

// Sound parts settle now and then while one part ends replicas. Only that one is ever blocked.
Test(part_ledger, only_the_part_that_ends_replicas_is_blocked_on_random_days, .timeout = 60)
{
    setenv("RC_PARAMS", "seed=20261204 max_success=200", 1);
    bool holds = rc::check([](uint32_t seed) {
        std::mt19937 random(seed);
        PartLedger ledger;
        double millis = 0;
        for (const char* sound : { "p0", "p1", "p2", "p3", "p4" })
            ledgerRecordSettled(ledger, keyOf(sound), bootAt(0));
        for (int life = 0; life < 60; ++life) {
            millis += static_cast<double>(random() % 5000);
            base::BootTime now = bootAt(millis);
            std::string sound = partName(static_cast<int>(random() % partCount));
            if (random() % 3 == 0)
                ledgerRecordSettled(ledger, keyOf(sound), now);
            bool isRefused = isBlocked(ledger, "bad", now);
            std::vector<std::string> parts { sound };
            if (!isRefused)
                parts.emplace_back("bad");
            ledgerRecordEnd(ledger, endOf("r", life, parts, millis), now);
            ledgerAdvance(ledger, noReport, now);
            for (const auto& [key, block] : ledger.blocked)
                RC_ASSERT(key == keyOf("bad"));
        }
        RC_ASSERT(ledger.blocked.contains(keyOf("bad")));
    });
    cr_assert(holds);
}
