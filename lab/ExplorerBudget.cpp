// Model of the token budget: two successive holders of one slot and one daemon that borrows from them. Messages are
// late or lost, any party may pause, the holder may lose its session and another daemon may take over the slot.
// Invariant: tokens used in any window <= burst + rate x window.
#include <fmt/format.h>

#include "ExplorerModels.h"
#include "budget/Borrower.h"

namespace rattanshunt::lab {

using namespace budget;

namespace {

    constexpr double rate = 100; // tokens per second
    constexpr double burstTokens = 60;
    constexpr int tickMillis = 100;
    constexpr double tokensPerRequest = 40;

    base::TimePoint timeAt(int tick)
    {
        return base::TimePoint {} + base::Seconds(1000) + base::Millis(tickMillis) * tick;
    }

    struct TokenUse {
        int tick;
        double tokens;
    };

    class BudgetModel : public ExplorerModelBase<BudgetModel> {
    public:
        explicit BudgetModel(Safeguard removedSafeguard)
            : ExplorerModelBase(removedSafeguard)
        {
            m_options.slotCount = 1;
            m_options.tokenValidity = base::Millis(150);
            m_options.slotLeaseTerm = base::Seconds(1);
            m_options.lowersBurst = removedSafeguard != Safeguard::LoweredBurst;
            m_options.checksTokenValidity = removedSafeguard != Safeguard::TokenValidity;
            m_account = { "a", rate, burstTokens, 1 };
            m_lenders[0].epoch = 1;
            m_lenders[0].isFirstHolder = true;
            m_sessionConfirmedTick = 0;
        }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_tick < 16)
                list.emplace_back("time passes");
            if (m_messages.size() < 3 && m_requestCount < 6)
                list.emplace_back("request tokens");
            // The borrower does not know of the takeover yet.
            if (m_messages.size() < 3 && m_requestCount < 6 && m_holderIndex == 1)
                list.emplace_back("request tokens from the former holder");
            for (size_t i = 0; i < m_messages.size(); ++i) {
                list.push_back(fmt::format("deliver {}", i));
                list.push_back(fmt::format("lose {}", i));
            }
            if (m_holderIndex == 0 && !m_isSessionLost)
                list.emplace_back("holder loses its session");
            if (m_holderIndex == 0 && m_isSessionLost && mayTakeOver())
                list.emplace_back("another daemon takes over the slot");
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes") {
                ++m_tick;
                // The holder reads its session from the key-value store as long as it exists.
                if (!m_isSessionLost)
                    m_sessionConfirmedTick = m_tick;
            } else if (action == "request tokens")
                sendRequest(m_holderIndex);
            else if (action == "request tokens from the former holder")
                sendRequest(0);
            else if (action == "holder loses its session") {
                m_isSessionLost = true;
                m_sessionLostTick = m_tick;
            } else if (action == "another daemon takes over the slot")
                takeOver();
            else if (action.starts_with("deliver"))
                deliver(static_cast<size_t>(std::stoul(action.substr(8))));
            else
                m_messages.erase(m_messages.begin() + std::stol(action.substr(5)));
        }

        std::string stateKey() const override
        {
            std::string text = fmt::format("{} {} {} {} {} {} ", m_tick, m_requestCount, m_holderIndex, m_isSessionLost,
                m_sessionLostTick, m_sessionConfirmedTick);
            for (const Message& message : m_messages)
                text += fmt::format(
                    "[{} {} {} {}]", message.sentTick, message.isAnswer, message.holderIndex, message.grantedTokens);
            for (const Lender& lender : m_lenders) {
                auto found = lender.accounts.find("a");
                if (found != lender.accounts.end())
                    text += fmt::format("<{:.1f}>", bucketLevel(found->second.bucket, timeAt(m_tick)));
                else
                    text += "<->";
            }
            for (const TokenUse& use : m_uses)
                text += fmt::format("({} {})", use.tick, use.tokens);
            return text;
        }

        std::string violation() const override
        {
            for (size_t i = 0; i < m_uses.size(); ++i) {
                double sum = 0;
                for (size_t j = i; j < m_uses.size(); ++j) {
                    sum += m_uses[j].tokens;
                    double allowed = burstTokens + rate * (m_uses[j].tick - m_uses[i].tick) * tickMillis / 1000.0;
                    if (sum > allowed + 1e-6)
                        return fmt::format("{} tokens used in {} ms, allowed {}", sum,
                            (m_uses[j].tick - m_uses[i].tick) * tickMillis, allowed);
                }
            }
            return {};
        }

    private:
        struct Message {
            int sentTick = 0;
            bool isAnswer = false;
            size_t holderIndex = 0;
            double grantedTokens = 0;
        };

        bool mayTakeOver() const
        {
            if (m_removedSafeguard == Safeguard::LeaseTermBeforeTakeover)
                return true;
            return slotMayTake({ false, true, timeAt(m_sessionLostTick), false }, timeAt(m_tick), m_options);
        }

        void sendRequest(size_t holder)
        {
            ++m_requestCount;
            m_messages.push_back({ m_tick, false, holder, 0 });
        }

        void takeOver()
        {
            m_holderIndex = 1;
            m_lenders[1].epoch = 2;
            m_lenders[1].takenOverRevision = 100;
            // The call makes the account known to the new holder: its bucket starts empty and fills from now on.
            callLender(1, 0);
        }

        double callLender(size_t holder, double tokens)
        {
            BudgetCall request { 0, {}, {} };
            request.items.push_back({ 1, "a", BudgetItemMode::Take, tokens });
            auto lookup = [this](const std::string&) { return LenderAccountSpec { &m_account, 1 }; };
            BudgetAnswer answer = lenderAnswer(m_lenders[holder], request, lookup, m_options, timeAt(m_tick));
            return answer.items[0].status == BudgetItemStatus::Granted ? answer.items[0].tokens : 0;
        }

        void deliver(size_t index)
        {
            Message message = m_messages[index];
            m_messages.erase(m_messages.begin() + static_cast<long>(index));
            if (!message.isAnswer) {
                bool mayLend = message.holderIndex == 1
                    || slotMayLend(timeAt(m_sessionConfirmedTick), timeAt(m_tick), m_options);
                message.grantedTokens = mayLend ? callLender(message.holderIndex, tokensPerRequest) : 0;
                message.isAnswer = true;
                if (message.grantedTokens > 0)
                    m_messages.push_back(message);
                return;
            }
            bool isValid
                = timeAt(m_tick) < timeAt(message.sentTick) + m_options.tokenValidity || !m_options.checksTokenValidity;
            if (isValid)
                m_uses.push_back({ m_tick, message.grantedTokens });
        }

        BudgetOptions m_options;
        resources::Account m_account;
        Lender m_lenders[2];
        std::vector<Message> m_messages;
        std::vector<TokenUse> m_uses;
        int m_tick = 1;
        int m_requestCount = 0;
        size_t m_holderIndex = 0;
        bool m_isSessionLost = false;
        int m_sessionLostTick = 0;
        int m_sessionConfirmedTick = 0;
    };

} // namespace

std::unique_ptr<ExplorerModel> budgetModel(Safeguard removedSafeguard)
{
    return std::make_unique<BudgetModel>(removedSafeguard);
}

} // namespace rattanshunt::lab
