// Model of the search for prompt parts that end replicas: late and repeated messages, cut connections, hub changes.
#include "ExplorerModels.h"

#include <array>
#include <set>

#include <fmt/format.h>

#include "prompts/PartLedger.h"

namespace rattanshunt::lab {

namespace {

    using prompts::PartKey;
    using prompts::ReplicaEnd;
    using prompts::ReplicaLife;
    using LifeKey = std::pair<std::string, int64_t>;

    constexpr const char* service = "engine";
    constexpr const char* sharedPart = "shared"; // in every request; answers settle it
    constexpr const char* cutPart = "cut";       // innocent, in requests whose connections are cut or that end beside
    constexpr std::array<const char*, 2> crashingParts = { "crash-0", "crash-1" };
    constexpr base::Millis tick { 600 };
    constexpr int maxTicks = 14;
    constexpr int maxCrashes = 5;
    constexpr int maxCuts = 4;
    constexpr int maxRepeats = 3;
    constexpr size_t replicaCount = 3;

    // Daemons, one of them the hub, and three replicas that start again at once when they end. Two parts end every
    // replica, all requests share a third, and a fourth is cut off or ends beside the others. Invariants: a part is
    // blocked only if three lives have ended under it; a part that settled is not blocked once the hub knows; a part
    // under which three lives have ended is blocked in time; a block outlives its hub.
    class PromptPartsModel : public ExplorerModelBase<PromptPartsModel> {
    public:
        using ExplorerModelBase::ExplorerModelBase;

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_tickCount < maxTicks) {
                list.emplace_back("time passes");
                if (!m_wasReportLost)
                    list.emplace_back("time passes, the reports are lost");
            }
            for (size_t i = 0; i < m_messages.size(); ++i) {
                list.push_back(fmt::format("message {} arrives", i));
                if (m_repeatCount < maxRepeats)
                    list.push_back(fmt::format("message {} arrives and is repeated", i));
            }
            for (size_t replica = 0; replica < replicaCount; ++replica) {
                for (size_t part = 0; part < crashingParts.size(); ++part) {
                    if (m_crashCount < maxCrashes && !isRefused(crashingParts[part]))
                        list.push_back(fmt::format("replica {} ends under part {}", replica, part));
                }
                if (m_cutCount < maxCuts)
                    list.push_back(fmt::format("replica {} cuts a connection", replica));
            }
            if (!m_hasSettled && m_crashCount > 0)
                list.emplace_back("the shared part settles");
            if (m_hubChangeCount < 1)
                list.emplace_back("the other daemon becomes the hub");
            return list;
        }

        void perform(const std::string& action) override
        {
            m_now += base::Millis(1);
            if (action.starts_with("time passes"))
                passTime(action == "time passes, the reports are lost");
            else if (action.starts_with("message"))
                deliver(std::stoul(action.substr(8)), action.ends_with("repeated"));
            else if (action.ends_with("connection"))
                cutConnection(static_cast<size_t>(action[8] - '0'));
            else if (action.starts_with("replica"))
                endReplica(
                    static_cast<size_t>(action[8] - '0'), crashingParts[static_cast<size_t>(action.back() - '0')]);
            else if (action == "the shared part settles") {
                m_hasSettled = true;
                m_messages.push_back({ true, {} });
            } else
                changeHub();
            checkLedger();
        }

        std::string stateKey() const override
        {
            std::string text
                = fmt::format("{} {} {} {} {} {} {} {} {}", (m_now - m_lastEndAt) / tick, m_tickCount, m_wasReportLost,
                    m_crashCount, m_cutCount, m_repeatCount, m_hubChangeCount, m_hasSettled, m_isSettledKnown);
            for (int64_t start : m_starts)
                text += fmt::format(" {}", start);
            for (const Message& message : m_messages)
                text += message.isSettled ? " s" : " " + endKey(message.end);
            text += " |";
            for (const ReplicaEnd& end : m_observed)
                text += " " + endKey(end);
            text += " |";
            for (const auto& [key, ends] : m_ledger.suspected) {
                text += " " + key.part;
                for (const auto& end : ends)
                    text += fmt::format("{}.{}", end.life.replica, end.life.startedAtMillis);
            }
            for (const auto& [key, block] : m_ledger.blocked)
                text += " !" + key.part;
            for (const auto& [key, block] : m_view.blocked)
                text += " ?" + key.part;
            return text + m_violation;
        }

        std::string violation() const override { return m_violation; }

    private:
        struct Message {
            bool isSettled = false; // of the shared part; otherwise an end
            ReplicaEnd end;
        };

        static PartKey keyOf(const std::string& part) { return { service, part }; }
        static LifeKey keyOf(const ReplicaLife& life) { return { life.replica, life.startedAtMillis }; }
        static std::string endKey(const ReplicaEnd& end)
        {
            return fmt::format("{}.{}@{}:{}", end.life.replica, end.life.startedAtMillis, end.parts.back(),
                (end.observedAt - explorerTimeAt(0)) / tick);
        }

        ReplicaLife lifeOf(size_t replica) const { return { fmt::format("r{}", replica), m_starts[replica] }; }

        bool isRefused(const std::string& part) const
        {
            return prompts::viewFindBlocked(m_view, service, { part }, m_now).has_value();
        }

        void observe(const ReplicaLife& life, const std::string& part)
        {
            m_observed.push_back({ life, m_now, service, { sharedPart, part } });
            m_messages.push_back({ false, m_observed.back() });
        }

        // A request with the innocent part ends beside the first one.
        void endReplica(size_t replica, const std::string& part)
        {
            ReplicaLife life = lifeOf(replica);
            observe(life, part);
            if (m_crashCount == 0)
                observe(life, cutPart);
            // Nobody can tell a connection that is cut shortly before the end from one that ends with the replica.
            for (const ReplicaEnd& end : m_observed) {
                if (end.life == life && end.observedAt > m_reportedAt[keyOf(life)]) {
                    for (const std::string& ended : end.parts)
                        m_endedLives[ended].insert(keyOf(life));
                }
            }
            ++m_starts[replica];
            ++m_crashCount;
            m_lastEndAt = m_now;
        }

        void cutConnection(size_t replica)
        {
            observe(lifeOf(replica), cutPart);
            ++m_cutCount;
        }

        void deliver(size_t index, bool isRepeated)
        {
            Message message = m_messages[index];
            if (isRepeated)
                ++m_repeatCount;
            else
                m_messages.erase(m_messages.begin() + static_cast<ptrdiff_t>(index));
            if (message.isSettled) {
                m_isSettledKnown = true;
                if (m_removedSafeguard != Safeguard::SettledPartIsInnocent)
                    prompts::ledgerRecordSettled(m_ledger, keyOf(sharedPart), m_now);
                return;
            }
            if (m_removedSafeguard == Safeguard::EndsOfDistinctLives)
                message.end.life.startedAtMillis += 1000 * ++m_deliveredCount;
            prompts::ledgerRecordEnd(m_ledger, message.end, m_now);
        }

        // The hub asks all replicas for reports, decides, and all daemons learn what it knows.
        void passTime(bool areReportsLost)
        {
            m_now += tick;
            ++m_tickCount;
            m_wasReportLost = areReportsLost;
            for (size_t replica = 0; replica < replicaCount && !areReportsLost; ++replica)
                m_reportedAt[keyOf(lifeOf(replica))] = m_now;
            prompts::LastReport lastReport = [this](const ReplicaLife& life) -> std::optional<base::BootTime> {
                auto found = m_reportedAt.find(keyOf(life));
                if (found == m_reportedAt.end() || m_removedSafeguard == Safeguard::ReportVoidsEnd)
                    return std::nullopt;
                return found->second;
            };
            prompts::ledgerAdvance(m_ledger, lastReport, m_now);
            for (const char* part : crashingParts) {
                if (m_view.blocked.contains(keyOf(part)) && !m_ledger.blocked.contains(keyOf(part)))
                    m_violation = "a block ends with its hub";
                bool isDue = m_messages.empty() && m_now - m_lastEndAt > prompts::reportWait;
                if (isDue && m_endedLives[part].size() >= prompts::endsToBlock
                    && !m_ledger.blocked.contains(keyOf(part)))
                    m_violation = "a part under which three replicas have ended is not blocked";
            }
            m_view = prompts::ledgerView(m_ledger);
        }

        // Daemons keep what they observed; reports are part of the directory that all of them have.
        void changeHub()
        {
            ++m_hubChangeCount;
            m_ledger = {};
            if (m_removedSafeguard != Safeguard::TakeOverBlocks) {
                for (const auto& [key, block] : m_view.blocked)
                    prompts::ledgerBlock(m_ledger, key, block);
            }
            m_messages.clear(); // were under way to the former hub
            m_isSettledKnown = false;
            if (m_removedSafeguard == Safeguard::RetellNewHub)
                return;
            for (const ReplicaEnd& end : m_observed)
                m_messages.push_back({ false, end });
            if (m_hasSettled)
                m_messages.push_back({ true, {} });
        }

        void checkLedger()
        {
            for (const auto& [key, block] : m_ledger.blocked) {
                if (m_endedLives[key.part].size() < prompts::endsToBlock)
                    m_violation = fmt::format("{} is blocked though fewer than three replicas ended", key.part);
                if (key.part == sharedPart && m_isSettledKnown)
                    m_violation = "a settled part is blocked";
            }
        }

        base::BootTime m_now = explorerTimeAt(0);
        base::BootTime m_lastEndAt {};
        std::array<int64_t, replicaCount> m_starts {};
        std::map<std::string, std::set<LifeKey>> m_endedLives; // by part; what has really happened
        std::vector<Message> m_messages;                       // under way to the hub
        std::vector<ReplicaEnd> m_observed;                    // as the daemons remember
        std::map<LifeKey, base::BootTime> m_reportedAt;
        prompts::PartLedger m_ledger;
        prompts::PartView m_view; // of every daemon
        bool m_wasReportLost = false;
        bool m_hasSettled = false;
        bool m_isSettledKnown = false; // at the present hub
        int m_tickCount = 0;
        int m_crashCount = 0;
        int m_cutCount = 0;
        int m_repeatCount = 0;
        int m_hubChangeCount = 0;
        int m_deliveredCount = 0;
        std::string m_violation;
    };

} // namespace

std::unique_ptr<ExplorerModel> promptPartsModel(Safeguard removedSafeguard)
{
    return std::make_unique<PromptPartsModel>(removedSafeguard);
}

} // namespace rattanshunt::lab
