// Model of configuration distribution: revisions, freshness, withdrawn keys.
#include "ExplorerModels.h"

#include <fmt/format.h>

#include "KvStore.h"
#include "fleet/Mirror.h"

namespace rattanshunt::lab {

namespace {

    base::TimePoint timeAt(int seconds)
    {
        return base::TimePoint {} + base::Seconds(1000 + seconds);
    }

    constexpr int maxFreshnessAgeSeconds = 3;

    // Three daemons read the key-value store or a delta that arrives late, and a key is withdrawn. Daemon d2 may be cut
    // off from the store and its peers. Invariants: no daemon returns to an older revision; a daemon that is cut off
    // accepts the key for no longer than the freshness limit after the withdrawal was stored.
    class ConfigModel : public ExplorerModelBase<ConfigModel> {
    public:
        explicit ConfigModel(Safeguard removedSafeguard)
            : ExplorerModelBase(removedSafeguard)
        {
            coordination::KvTxnResult written = kvStoreTxn(m_store, {}, { { "/rs/cfg/key/k", "valid" } });
            for (fleet::Mirror& mirror : m_mirrors) {
                fleet::mirrorApplyEvents(mirror, { m_store.history.begin(), m_store.history.end() }, 0);
                fleet::mirrorUpdateFreshness(mirror, written.revision, timeAt(0));
            }
            m_delayedDelta = fleet::mirrorDelta(m_mirrors[0], 0, 0, timeAt(0));
        }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_nowSeconds < 9)
                list.emplace_back("a second passes");
            if (m_withdrawnAtSeconds < 0)
                list.emplace_back("the key is withdrawn");
            if (!m_isIsolated)
                list.emplace_back("d2 is cut off");
            for (int daemon = 0; daemon < 3; ++daemon) {
                if (!(m_isIsolated && daemon == 2))
                    list.push_back(fmt::format("d{} reads the KV", daemon));
                list.push_back(fmt::format("d{} receives a late delta", daemon));
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "a second passes") {
                ++m_nowSeconds;
                return;
            }
            if (action == "the key is withdrawn") {
                kvStoreTxn(m_store, {}, { { "/rs/cfg/key/k", "withdrawn" } });
                m_withdrawnAtSeconds = m_nowSeconds;
                return;
            }
            if (action == "d2 is cut off") {
                m_isIsolated = true;
                return;
            }
            fleet::Mirror& mirror = m_mirrors[action[1] - '0'];
            fleet::MirrorRules rules { m_removedSafeguard != Safeguard::RejectOlderRevisions };
            coordination::Revision before = mirror.revision;
            if (action.ends_with("reads the KV")) {
                fleet::mirrorApplyEvents(mirror, { m_store.history.begin(), m_store.history.end() }, 0, rules);
                fleet::mirrorUpdateFreshness(mirror, m_store.revision, timeAt(m_nowSeconds));
            } else
                fleet::mirrorMerge(mirror, m_delayedDelta, timeAt(0), rules);
            if (mirror.revision < before
                || (before >= m_store.revision && mirror.records["/rs/cfg/key/k"].modRevision < before))
                m_violation = "a daemon returned to an older revision";
        }

        std::string stateKey() const override
        {
            std::string text
                = fmt::format("{} {} {} {}", m_nowSeconds, m_withdrawnAtSeconds, m_isIsolated, m_violation);
            for (const fleet::Mirror& mirror : m_mirrors)
                text += fmt::format("[{} {} {}]", mirror.revision, mirror.records.at("/rs/cfg/key/k").value,
                    (mirror.freshAsOf - timeAt(0)).count());
            return text;
        }

        std::string violation() const override
        {
            if (!m_violation.empty() || m_withdrawnAtSeconds < 0)
                return m_violation;
            for (int daemon = 0; daemon < 3; ++daemon) {
                // The others can reach each other; a daemon that is cut off reaches only itself.
                size_t reachableDaemons = m_isIsolated && daemon == 2 ? 1 : 3;
                fleet::FreshnessView freshnessView { m_mirrors[daemon].freshAsOf, 3, reachableDaemons };
                fleet::Freshness freshness = fleet::freshnessDecide(
                    freshnessView, timeAt(m_nowSeconds), base::Seconds(maxFreshnessAgeSeconds));
                bool isCutOff = m_isIsolated && daemon == 2;
                bool acceptsKeys
                    = freshness != fleet::Freshness::CutOff || m_removedSafeguard == Safeguard::FreshnessMajority;
                bool believesValid = m_mirrors[daemon].records.at("/rs/cfg/key/k").value == "valid";
                if (isCutOff && acceptsKeys && believesValid
                    && m_nowSeconds > m_withdrawnAtSeconds + maxFreshnessAgeSeconds)
                    return "a daemon accepts a withdrawn key beyond the freshness limit";
            }
            return {};
        }

    private:
        KvStore m_store;
        fleet::Mirror m_mirrors[3];
        nlohmann::json m_delayedDelta;
        int m_nowSeconds = 0;
        int m_withdrawnAtSeconds = -1;
        bool m_isIsolated = false;
        std::string m_violation;
    };

} // namespace

std::unique_ptr<ExplorerModel> configModel(Safeguard removedSafeguard)
{
    return std::make_unique<ConfigModel>(removedSafeguard);
}

} // namespace rattanshunt::lab
