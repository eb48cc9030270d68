// Two holders of one slot and a daemon that borrows: messages are late or lost, everyone may pause, the holder may lose
// its session and another may take the slot. Invariant: tokens used in any window <= burst + rate x window.
#include <fmt/format.h>

#include "ExplorerModels.h"
#include "budget/Borrower.h"

namespace rattanshunt::lab {

using namespace budget;

namespace {

    constexpr double rate = 100; // tokens a second
    constexpr double burst = 60;
    constexpr int tickMillis = 100;
    constexpr double requestTokens = 40;

    base::TimePoint timeAt(int tick)
    {
        return base::TimePoint {} + base::Seconds(1000) + base::Millis(tickMillis) * tick;
    }

    struct Use {
        int tick;
        double tokens;
    };

    class BudgetModel : public ExplorerModelOf<BudgetModel> {
    public:
        explicit BudgetModel(Safeguard without)
            : ExplorerModelOf(without)
        {
            m_options.slotCount = 1;
            m_options.tokenValidity = base::Millis(150);
            m_options.slotLeaseTerm = base::Seconds(1);
            m_options.lowersBurst = without != Safeguard::LoweredBurst;
            m_options.checksTokenValidity = without != Safeguard::TokenValidity;
            m_account = { "a", rate, burst, 1 };
            m_homes[0].epoch = 1;
            m_homes[0].isFirstHolder = true;
            m_confirmedTick = 0;
        }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            if (m_tick < 16)
                list.emplace_back("time passes");
            if (m_messages.size() < 3 && m_asked < 6)
                list.emplace_back("ask for tokens");
            // A daemon that has not heard of the takeover yet.
            if (m_messages.size() < 3 && m_asked < 6 && m_holder == 1)
                list.emplace_back("ask the former holder");
            for (size_t i = 0; i < m_messages.size(); ++i) {
                list.push_back(fmt::format("deliver {}", i));
                list.push_back(fmt::format("lose {}", i));
            }
            if (m_holder == 0 && !m_isSessionGone)
                list.emplace_back("holder's session ends");
            if (m_holder == 0 && m_isSessionGone && mayTakeOver())
                list.emplace_back("another takes the slot");
            return list;
        }

        void perform(const std::string& action) override
        {
            if (action == "time passes") {
                ++m_tick;
                // The holder sees its session in the KV as long as it is there.
                if (!m_isSessionGone)
                    m_confirmedTick = m_tick;
            } else if (action == "ask for tokens")
                ask(m_holder);
            else if (action == "ask the former holder")
                ask(0);
            else if (action == "holder's session ends") {
                m_isSessionGone = true;
                m_goneTick = m_tick;
            } else if (action == "another takes the slot")
                takeOver();
            else if (action.starts_with("deliver"))
                deliver(static_cast<size_t>(std::stoul(action.substr(8))));
            else
                m_messages.erase(m_messages.begin() + std::stol(action.substr(5)));
        }

        std::string key() const override
        {
            std::string text = fmt::format(
                "{} {} {} {} {} {} ", m_tick, m_asked, m_holder, m_isSessionGone, m_goneTick, m_confirmedTick);
            for (const Message& message : m_messages)
                text += fmt::format(
                    "[{} {} {} {}]", message.sentTick, message.isAnswer, message.toHolder, message.granted);
            for (const Lender& home : m_homes) {
                auto found = home.accounts.find("a");
                if (found != home.accounts.end())
                    text += fmt::format("<{:.1f}>", bucketLevel(found->second.bucket, timeAt(m_tick)));
                else
                    text += "<->";
            }
            for (const Use& use : m_uses)
                text += fmt::format("({} {})", use.tick, use.tokens);
            return text;
        }

        std::string violation() const override
        {
            for (size_t i = 0; i < m_uses.size(); ++i) {
                double sum = 0;
                for (size_t j = i; j < m_uses.size(); ++j) {
                    sum += m_uses[j].tokens;
                    double allowed = burst + rate * (m_uses[j].tick - m_uses[i].tick) * tickMillis / 1000.0;
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
            size_t toHolder = 0;
            double granted = 0;
        };

        bool mayTakeOver() const
        {
            if (m_without == Safeguard::TermBeforeTakeover)
                return true;
            return slotMayTake({ false, true, timeAt(m_goneTick), false }, timeAt(m_tick), m_options);
        }

        void ask(size_t holder)
        {
            ++m_asked;
            m_messages.push_back({ m_tick, false, holder, 0 });
        }

        void takeOver()
        {
            m_holder = 1;
            m_homes[1].epoch = 2;
            m_homes[1].takenOverRevision = 100;
            // Accrual starts now, with nothing: the account is known to the new holder from here on.
            call(1, 0);
        }

        double call(size_t holder, double tokens)
        {
            BudgetCall request { 0, {}, {} };
            request.items.push_back({ 1, "a", BudgetItemMode::Take, tokens });
            auto lookup = [this](const std::string&) { return LenderAccountSpec { &m_account, 1 }; };
            BudgetAnswer answer = lenderAnswer(m_homes[holder], request, lookup, m_options, timeAt(m_tick));
            return answer.items[0].status == BudgetItemStatus::Granted ? answer.items[0].tokens : 0;
        }

        void deliver(size_t index)
        {
            Message message = m_messages[index];
            m_messages.erase(m_messages.begin() + static_cast<long>(index));
            if (!message.isAnswer) {
                bool mayLend = message.toHolder == 1 || slotMayLend(timeAt(m_confirmedTick), timeAt(m_tick), m_options);
                message.granted = mayLend ? call(message.toHolder, requestTokens) : 0;
                message.isAnswer = true;
                if (message.granted > 0)
                    m_messages.push_back(message);
                return;
            }
            bool isValid
                = timeAt(m_tick) < timeAt(message.sentTick) + m_options.tokenValidity || !m_options.checksTokenValidity;
            if (isValid)
                m_uses.push_back({ m_tick, message.granted });
        }

        BudgetOptions m_options;
        resources::Account m_account;
        Lender m_homes[2];
        std::vector<Message> m_messages;
        std::vector<Use> m_uses;
        int m_tick = 1;
        int m_asked = 0;
        size_t m_holder = 0;
        bool m_isSessionGone = false;
        int m_goneTick = 0;
        int m_confirmedTick = 0;
    };

} // namespace

std::unique_ptr<ExplorerModel> budgetModel(Safeguard without)
{
    return std::make_unique<BudgetModel>(without);
}

} // namespace rattanshunt::lab
