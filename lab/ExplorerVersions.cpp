// Model of take-ups while a second version of a service appears: what a hub may say of a list that it read earlier.
#include "ExplorerModels.h"

#include "streams/StreamOrigins.h"

namespace rattanshunt::lab {

namespace {

    // A second version is listed. Another daemon reads the store, begins a stream at it and ends before it tells the
    // hub; the caller takes the stream up elsewhere, where the hub is asked. Invariant: the hub does not say that there
    // is one version.
    class VersionsModel : public ExplorerModelBase<VersionsModel> {
    public:
        using ExplorerModelBase::ExplorerModelBase;

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_nowTick < maxTicks)
                list.emplace_back("time passes");
            if (!m_isListed)
                list.emplace_back("the second version is listed");
            if (m_isListed && !m_isReadElsewhere)
                list.emplace_back("a daemon reads the store");
            if (m_isReadElsewhere && !m_hasBegun)
                list.emplace_back("the daemon begins a stream at the second version");
            if (m_hasBegun && m_takenUpTick < 0)
                list.emplace_back("the stream is taken up");
            if (!m_isReadPending && m_readCount < maxReads)
                list.emplace_back("the hub asks the store");
            if (m_isReadPending)
                list.emplace_back("the hub receives the answer");
            if (m_takenUpTick >= 0 && !m_isDecided)
                list.emplace_back("the hub is asked");
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes")
                ++m_nowTick;
            else if (action == "the second version is listed")
                m_isListed = true;
            else if (action == "a daemon reads the store")
                m_isReadElsewhere = true;
            else if (action == "the daemon begins a stream at the second version")
                m_hasBegun = true;
            else if (action == "the stream is taken up")
                m_takenUpTick = ++m_nowTick; // no two events share a time
            else if (action == "the hub asks the store") {
                m_isReadPending = true;
                m_readSentTick = m_nowTick;
                m_answerShowsBoth = m_isListed; // the oldest state that the store may answer with
                ++m_readCount;
            } else if (action == "the hub receives the answer") {
                m_isReadPending = false;
                m_hubSeesBoth = m_hubSeesBoth || m_answerShowsBoth;
                m_freshTick = m_readSentTick;
            } else if (!m_hubSeesBoth) {
                bool isKnown = m_removedSafeguard == Safeguard::VersionsReadAfterTakeUp
                    || streams::versionsAreKnown(explorerTimeAt(m_freshTick), explorerTimeAt(m_takenUpTick));
                m_isDecided = m_isJoined = isKnown;
            } else
                m_isDecided = true;
        }

        std::string stateKey() const override
        {
            return fmt::format("{} {} {} {} {} {} {} {} {} {} {} {} {}", m_nowTick, m_isListed, m_isReadElsewhere,
                m_hasBegun, m_takenUpTick, m_isReadPending, m_readSentTick, m_answerShowsBoth, m_readCount,
                m_hubSeesBoth, m_freshTick, m_isDecided, m_isJoined);
        }

        std::string violation() const override
        {
            return m_isJoined ? "a stream of the second version goes on at the first" : "";
        }

    private:
        static constexpr int maxTicks = 4;
        static constexpr int maxReads = 3;

        int m_nowTick = 0;
        bool m_isListed = false;
        bool m_isReadElsewhere = false;
        bool m_hasBegun = false;
        int m_takenUpTick = -1;
        bool m_isReadPending = false;
        int m_readSentTick = 0;
        bool m_answerShowsBoth = false;
        int m_readCount = 0;
        bool m_hubSeesBoth = false;
        int m_freshTick = 0;
        bool m_isDecided = false;
        bool m_isJoined = false;
    };

} // namespace

std::unique_ptr<ExplorerModel> versionsModel(Safeguard removedSafeguard)
{
    return std::make_unique<VersionsModel>(removedSafeguard);
}

} // namespace rattanshunt::lab
