// Configuration: revisions, freshness, withdrawn keys.
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

    constexpr int freshnessSeconds = 3;

    // The KV, three daemons that read it or each other, a key that is withdrawn; the KV may be cut off from any of them
    // and messages come late. Invariants: no daemon goes back; none serves the key after the withdrawal was accepted
    // for longer than the freshness limit.
    class ConfigModel : public ExplorerModelOf<ConfigModel> {
    public:
        explicit ConfigModel(Safeguard without)
            : ExplorerModelOf(without)
        {
            coordination::KvTxnResult written = kvStoreTxn(m_store, {}, { { "/rs/cfg/key/k", "valid" } });
            for (fleet::Mirror& mirror : m_mirrors) {
                fleet::mirrorApplyEvents(mirror, { m_store.history.begin(), m_store.history.end() }, 0);
                fleet::mirrorUpdateFreshness(mirror, written.revision, timeAt(0));
            }
            m_late = fleet::mirrorDelta(m_mirrors[0], 0, 0, timeAt(0));
        }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_time < 9)
                list.emplace_back("a second passes");
            if (m_withdrawnAt < 0)
                list.emplace_back("the key is withdrawn");
            if (!m_isIsolated)
                list.emplace_back("d2 is cut off");
            for (int daemon = 0; daemon < 3; ++daemon) {
                if (!(m_isIsolated && daemon == 2))
                    list.push_back(fmt::format("d{} reads the KV", daemon));
                list.push_back(fmt::format("d{} gets a late answer", daemon));
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "a second passes") {
                ++m_time;
                return;
            }
            if (action == "the key is withdrawn") {
                kvStoreTxn(m_store, {}, { { "/rs/cfg/key/k", "withdrawn" } });
                m_withdrawnAt = m_time;
                return;
            }
            if (action == "d2 is cut off") {
                m_isIsolated = true;
                return;
            }
            fleet::Mirror& mirror = m_mirrors[action[1] - '0'];
            fleet::MirrorRules rules { m_without != Safeguard::NoOlderRevision };
            coordination::Revision before = mirror.revision;
            if (action.ends_with("reads the KV")) {
                fleet::mirrorApplyEvents(mirror, { m_store.history.begin(), m_store.history.end() }, 0, rules);
                fleet::mirrorUpdateFreshness(mirror, m_store.revision, timeAt(m_time));
            } else
                fleet::mirrorMerge(mirror, m_late, timeAt(0), rules);
            if (mirror.revision < before
                || (before >= m_store.revision && mirror.records["/rs/cfg/key/k"].modRevision < before))
                m_violation = "a daemon went back to an older revision";
        }

        std::string key() const override
        {
            std::string text = fmt::format("{} {} {} {}", m_time, m_withdrawnAt, m_isIsolated, m_violation);
            for (const fleet::Mirror& mirror : m_mirrors)
                text += fmt::format("[{} {} {}]", mirror.revision, mirror.records.at("/rs/cfg/key/k").value,
                    (mirror.freshAsOf - timeAt(0)).count());
            return text;
        }

        std::string violation() const override
        {
            if (!m_violation.empty() || m_withdrawnAt < 0)
                return m_violation;
            for (int daemon = 0; daemon < 3; ++daemon) {
                // The others hear each other; a daemon that is cut off hears itself.
                size_t heard = m_isIsolated && daemon == 2 ? 1 : 3;
                fleet::FreshnessView view { m_mirrors[daemon].freshAsOf, 3, heard };
                fleet::Freshness freshness
                    = fleet::freshnessDecide(view, timeAt(m_time), base::Seconds(freshnessSeconds));
                bool isCutOff = m_isIsolated && daemon == 2;
                bool serves = freshness != fleet::Freshness::CutOff || m_without == Safeguard::FreshnessMajority;
                bool believesValid = m_mirrors[daemon].records.at("/rs/cfg/key/k").value == "valid";
                if (isCutOff && serves && believesValid && m_time > m_withdrawnAt + freshnessSeconds)
                    return "a daemon serves a withdrawn key beyond the limit";
            }
            return {};
        }

    private:
        KvStore m_store;
        fleet::Mirror m_mirrors[3];
        nlohmann::json m_late;
        int m_time = 0;
        int m_withdrawnAt = -1;
        bool m_isIsolated = false;
        std::string m_violation;
    };

} // namespace

std::unique_ptr<ExplorerModel> configModel(Safeguard without)
{
    return std::make_unique<ConfigModel>(without);
}

} // namespace rattanshunt::lab
