// Placement, calls that may not be repeated, and configuration, as small systems over the pure decisions.
#include "ExplorerModels.h"

#include <map>

#include <fmt/format.h>

#include "KvStore.h"
#include "fleet/Mirror.h"
#include "once/Claims.h"
#include "placement/Planner.h"

namespace rattanshunt::lab {

namespace {

    base::TimePoint timeAt(int seconds)
    {
        return base::TimePoint {} + base::Seconds(1000 + seconds);
    }

    // ---- Placement -------------------------------------------------------------------------------

    using namespace placement;

    // Two models of 60 bytes want one endpoint of 100. An owner writes records and sends orders, may die between any
    // two steps, and a second one goes on. Orders arrive late; the endpoint may start anew. Invariants: memory is never
    // overcommitted; a model is loaded at most once.
    class PlacementModel : public ExplorerModel {
    public:
        PlacementModel(Safeguard without, bool checksFencing)
            : m_without(without)
            , m_checksFencing(checksFencing)
        {
            m_planner.options.keepsUnresolved = without != Safeguard::KeepUnresolved;
            m_planner.options.evictionGrace = base::Seconds(0);
            PlannerEndpoint endpoint;
            endpoint.id = "e";
            endpoint.pool = "p";
            endpoint.boot = "b0";
            endpoint.memoryBytes = 100;
            m_planner.endpoints["e"] = endpoint;
            for (const char* name : { "m", "n" }) {
                PlannerModel model;
                model.name = name;
                model.pool = "p";
                model.bytes = 60;
                m_planner.models[name] = model;
            }
        }

        std::unique_ptr<ExplorerModel> clone() const override { return std::make_unique<PlacementModel>(*this); }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            for (const char* name : { "m", "n" })
                list.push_back(std::string("requests for ") + name);
            if (plannerNext(m_planner, timeAt(m_time)) && m_orders < 5)
                list.emplace_back("owner decides");
            for (size_t i = 0; i < m_wire.size(); ++i)
                list.push_back(fmt::format("order {} arrives", i));
            list.emplace_back("endpoint reports");
            if (m_deaths < 2)
                list.emplace_back("owner dies, another goes on");
            if (m_boots < 2)
                list.emplace_back("endpoint starts anew");
            return list;
        }

        void perform(const std::string& action) override
        {
            ++m_time;
            if (action.starts_with("requests for")) {
                std::string wanted = action.substr(13);
                for (auto& [name, model] : m_planner.models) {
                    model.waitingCount = name == wanted;
                    model.waitingSince = timeAt(m_time);
                }
            } else if (action == "owner decides")
                decide();
            else if (action.starts_with("order"))
                arrive(static_cast<size_t>(std::stoul(action.substr(6))));
            else if (action == "endpoint reports")
                report();
            else if (action == "owner dies, another goes on")
                takeOver();
            else
                restart();
        }

        std::string key() const override
        {
            std::string text = fmt::format("{} {} {} {} {}|", m_deaths, m_boots, m_boot, m_highest, m_orders);
            for (auto& [name, model] : m_planner.models) {
                text += fmt::format("{}{}", name, model.waitingCount);
                for (const Place& place : model.places)
                    text += fmt::format(
                        "[{} {} {} {}]", place.order, place.boot, place.fencing, static_cast<int>(place.state));
            }
            const PlannerEndpoint& endpoint = m_planner.endpoints.at("e");
            text += endpoint.boot + endpoint.ledger.boot;
            for (const Reservation& reservation : endpoint.ledger.reservations)
                text += fmt::format("({})", reservation.order);
            for (const Order& order : m_wire)
                text += fmt::format("<{} {} {} {}>", order.id, order.isLoad, order.boot, order.fencing);
            for (auto& [model, order] : m_loaded)
                text += fmt::format("{{{}{}}}", model, order);
            for (const std::string& order : m_ended)
                text += "!" + order;
            return text;
        }

        std::string violation() const override { return m_violation; }

    private:
        struct Order {
            std::string id;
            std::string model;
            bool isLoad;
            std::string boot; // that its connection leads to
            int64_t fencing;
        };

        void decide()
        {
            auto change = plannerNext(m_planner, timeAt(m_time));
            ModelRecord record;
            Ledger ledger;
            std::string id = fmt::format("o{}", ++m_orders);
            int64_t fencing = ++m_fencing;
            if (!change || !plannerPrepare(m_planner, *change, id, fencing, record, ledger))
                return;
            std::string boot = m_planner.endpoints["e"].boot;
            m_planner.models[change->model].places = record.places;
            m_planner.endpoints["e"].ledger = ledger;
            if (change->kind == ChangeKind::Load)
                m_wire.push_back({ id, change->model, true, boot, fencing });
            else if (change->kind == ChangeKind::Unload)
                m_wire.push_back({ change->order, change->model, false, boot, fencing });
        }

        void arrive(size_t index)
        {
            Order order = m_wire[index];
            m_wire.erase(m_wire.begin() + static_cast<long>(index));
            // A connection ends with its process; without that rule the order reaches whoever listens now.
            if (order.boot != m_boot && m_without != Safeguard::BootOnConnection)
                return;
            if (m_checksFencing && order.fencing < m_highest) {
                if (order.isLoad)
                    m_ended.insert(order.id);
                return;
            }
            m_highest = std::max(m_highest, order.fencing);
            if (!order.isLoad) {
                auto found = m_loaded.find(order.model);
                if (found != m_loaded.end() && found->second == order.id)
                    m_loaded.erase(found);
                m_ended.insert(order.id);
                return;
            }
            if (m_ended.contains(order.id))
                return;
            if (m_loaded.contains(order.model))
                m_violation = order.model + " is loaded twice";
            m_loaded[order.model] = order.id;
            if (m_loaded.size() * 60 > 100)
                m_violation = "the endpoint's memory is overcommitted";
        }

        void report()
        {
            EndpointReport seen;
            seen.boot = m_boot;
            seen.checksFencing = m_checksFencing;
            seen.highestFencing = m_highest;
            seen.endedOrders = m_ended;
            for (auto& [model, order] : m_loaded)
                seen.loadedOrders.insert(order);
            m_planner.endpoints["e"].boot = m_boot;
            for (auto& [name, model] : m_planner.models) {
                for (const Place& place : std::vector<Place>(model.places)) {
                    Resolution resolution = plannerResolve(place, seen, m_planner.options);
                    ModelRecord record;
                    Ledger ledger;
                    if (resolution == Resolution::Ended
                        && plannerPrepare(
                            m_planner, { ChangeKind::Forget, name, "e", place.order, "" }, "f", 0, record, ledger)) {
                        model.places = record.places;
                        m_planner.endpoints["e"].ledger = ledger;
                    } else if (resolution == Resolution::Loaded && place.state == PlaceState::Loading) {
                        for (Place& item : model.places) {
                            if (item.order == place.order)
                                item.state = PlaceState::Ready;
                        }
                    }
                }
            }
        }

        // The new owner has the records; what the old one had sent is still under way.
        void takeOver()
        {
            ++m_deaths;
            m_fencing += 1000;
            m_planner.endpoints["e"].boot = "";
            for (auto& [name, model] : m_planner.models)
                model.waitingCount = 0;
        }

        void restart()
        {
            ++m_boots;
            m_boot = fmt::format("b{}", m_boots);
            m_loaded.clear();
            m_ended.clear();
            m_highest = 0;
        }

        Safeguard m_without;
        bool m_checksFencing;
        Planner m_planner;
        std::vector<Order> m_wire;
        std::map<std::string, std::string> m_loaded;
        std::set<std::string> m_ended;
        std::string m_boot = "b0";
        std::string m_violation;
        int64_t m_highest = 0;
        int64_t m_fencing = 0;
        int m_orders = 0;
        int m_deaths = 0;
        int m_boots = 0;
        int m_time = 0;
    };

    // ---- Calls that may not be repeated ----------------------------------------------------------

    // Two daemons get the same call. Claim, send, answer, store: each step may fail, its answer may be lost, the daemon
    // may die. Invariants: the call runs at most once; "not run" is true.
    class OnceModel : public ExplorerModel {
    public:
        explicit OnceModel(Safeguard without)
            : m_without(without)
        {
        }

        std::unique_ptr<ExplorerModel> clone() const override { return std::make_unique<OnceModel>(*this); }

        std::vector<std::string> actions() const override
        {
            std::vector<std::string> list;
            for (int daemon = 0; daemon < 2; ++daemon) {
                const Daemon& state = m_daemons[daemon];
                std::string who = fmt::format("d{} ", daemon);
                if (state.step == Step::Idle && state.calls < 2)
                    list.push_back(who + "gets the call");
                if (state.step == Step::Claiming) {
                    list.push_back(who + "claim is written");
                    list.push_back(who + "claim is written, answer lost");
                    list.push_back(who + "claim is not written");
                }
                if (state.step == Step::Sending) {
                    list.push_back(who + "send, run, answer");
                    list.push_back(who + "send, run, answer lost");
                    list.push_back(who + "send, connection refused");
                }
                if (state.step == Step::Storing) {
                    list.push_back(who + "outcome is stored");
                    list.push_back(who + "outcome is not stored");
                }
                if (state.step != Step::Dead)
                    list.push_back(who + "dies");
            }
            return list;
        }

        void perform(const std::string& action) override
        {
            Daemon& state = m_daemons[action[1] - '0'];
            int number = action[1] - '0';
            std::string what = action.substr(3);
            if (what == "gets the call") {
                ++state.calls;
                state.mine
                    = { fmt::format("op-{}-{}", number, state.calls), fmt::format("d{}", number), "i", "digest" };
                state.step = m_without == Safeguard::ClaimBeforeSend ? Step::Sending : Step::Claiming;
            } else if (what.starts_with("claim is"))
                claim(state, what);
            else if (what.starts_with("send"))
                send(state, what);
            else if (what == "outcome is stored") {
                store(state);
                state.step = Step::Idle;
            } else if (what == "outcome is not stored")
                state.step = Step::Idle;
            else
                state.step = Step::Dead;
        }

        std::string key() const override
        {
            std::string text = fmt::format("{} {} ", m_runs, m_violation);
            for (const Daemon& state : m_daemons)
                text += fmt::format("{} {} {} ", static_cast<int>(state.step), state.calls, state.mine.operation);
            auto found = m_store.entries.find("/rsc/k");
            return text + (found == m_store.entries.end() ? "" : found->second.value);
        }

        std::string violation() const override { return m_violation; }

    private:
        enum class Step { Idle, Claiming, Sending, Storing, Dead };
        struct Daemon {
            Step step = Step::Idle;
            int calls = 0;
            once::Claim mine;
            platform::Revision revision = 0;
        };

        once::ClaimBatchOutcome tryWrite(const Daemon& state)
        {
            std::vector<once::ClaimWrite> batch = { { 1, "/rsc/k", 0, once::claimToText(state.mine) } };
            std::vector<platform::KvCompare> compares;
            std::vector<platform::KvWrite> writes;
            once::claimBatchTxn(batch, compares, writes, 0);
            return once::claimBatchResolve(batch, storeTxn(m_store, compares, writes));
        }

        void claim(Daemon& state, const std::string& what)
        {
            if (what == "claim is not written") {
                refuseNotRun(state);
                return;
            }
            auto outcome = tryWrite(state);
            // After a lost answer the daemon writes the same claim again.
            if (what == "claim is written, answer lost")
                outcome = tryWrite(state);
            const once::ClaimWriteResult& result = outcome.results.at(0);
            if (result.outcome == once::ClaimWriteOutcome::Done) {
                state.revision = result.revision;
                state.step = Step::Sending;
                return;
            }
            auto held = once::claimFromText(result.current->value);
            int runner = held->runner[1] - '0';
            bool runnerLives = m_daemons[runner].step != Step::Dead;
            once::ClaimVerdict verdict = once::claimJudge(state.mine, *held, runnerLives);
            if (verdict == once::ClaimVerdict::Run)
                m_violation = "a second daemon was told to run the call";
            state.step = Step::Idle;
        }

        void send(Daemon& state, const std::string& what)
        {
            if (what == "send, connection refused") {
                // Certainly not run: the claim is given up, so that a repeat may run.
                storeTxn(m_store, { { "/rsc/k", state.revision } }, { { "/rsc/k", std::nullopt } });
                refuseNotRun(state);
                return;
            }
            if (++m_runs > 1)
                m_violation = "the call ran twice";
            if (what == "send, run, answer")
                state.step = Step::Storing;
            else if (m_without == Safeguard::NoRetryAfterSend)
                state.step = Step::Sending;
            else
                state.step = Step::Idle;
        }

        void store(Daemon& state)
        {
            once::Claim done = state.mine;
            done.isDone = true;
            done.status = 200;
            storeTxn(m_store, { { "/rsc/k", state.revision } }, { { "/rsc/k", once::claimToText(done) } });
        }

        void refuseNotRun(Daemon& state) { state.step = Step::Idle; }

        Safeguard m_without;
        KvStore m_store;
        Daemon m_daemons[2];
        int m_runs = 0;
        std::string m_violation;
    };

    // ---- Configuration ---------------------------------------------------------------------------

    constexpr int freshnessSeconds = 3;

    // The KV, three daemons that read it or each other, a key that is withdrawn; the KV may be cut off from any of them
    // and messages come late. Invariants: no daemon goes back; none serves the key after the withdrawal was accepted
    // for longer than the freshness limit.
    class ConfigModel : public ExplorerModel {
    public:
        explicit ConfigModel(Safeguard without)
            : m_without(without)
        {
            platform::KvTxnResult written = storeTxn(m_store, {}, { { "/rs/cfg/key/k", "valid" } });
            for (fleet::Mirror& mirror : m_mirrors) {
                fleet::mirrorApplyEvents(mirror, { m_store.history.begin(), m_store.history.end() }, 0);
                fleet::mirrorNoteHead(mirror, written.revision, timeAt(0));
            }
            m_late = fleet::mirrorDelta(m_mirrors[0], 0, 0, timeAt(0));
        }

        std::unique_ptr<ExplorerModel> clone() const override { return std::make_unique<ConfigModel>(*this); }

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
                storeTxn(m_store, {}, { { "/rs/cfg/key/k", "withdrawn" } });
                m_withdrawnAt = m_time;
                return;
            }
            if (action == "d2 is cut off") {
                m_isIsolated = true;
                return;
            }
            fleet::Mirror& mirror = m_mirrors[action[1] - '0'];
            fleet::MirrorRules rules { m_without != Safeguard::NoOlderRevision };
            platform::Revision before = mirror.revision;
            if (action.ends_with("reads the KV")) {
                fleet::mirrorApplyEvents(mirror, { m_store.history.begin(), m_store.history.end() }, 0, rules);
                fleet::mirrorNoteHead(mirror, m_store.revision, timeAt(m_time));
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
        Safeguard m_without;
        KvStore m_store;
        fleet::Mirror m_mirrors[3];
        nlohmann::json m_late;
        int m_time = 0;
        int m_withdrawnAt = -1;
        bool m_isIsolated = false;
        std::string m_violation;
    };

} // namespace

std::unique_ptr<ExplorerModel> placementModel(Safeguard without, bool checksFencing)
{
    return std::make_unique<PlacementModel>(without, checksFencing);
}

std::unique_ptr<ExplorerModel> onceModel(Safeguard without)
{
    return std::make_unique<OnceModel>(without);
}
std::unique_ptr<ExplorerModel> configModel(Safeguard without)
{
    return std::make_unique<ConfigModel>(without);
}

std::vector<ExplorerCase> explorerCases()
{
    std::vector<ExplorerCase> cases;
    auto add = [&](const char* name, Safeguard without, std::unique_ptr<ExplorerModel> model) {
        cases.push_back({ name, without, std::move(model) });
    };
    add("budget", Safeguard::None, budgetModel(Safeguard::None));
    add("budget without token validity", Safeguard::TokenValidity, budgetModel(Safeguard::TokenValidity));
    add("budget without the lowered burst", Safeguard::LoweredBurst, budgetModel(Safeguard::LoweredBurst));
    add("budget without the term before a takeover", Safeguard::TermBeforeTakeover,
        budgetModel(Safeguard::TermBeforeTakeover));
    add("placement, fencing checked", Safeguard::None, placementModel(Safeguard::None, true));
    add("placement, fencing ignored", Safeguard::None, placementModel(Safeguard::None, false));
    add("placement that frees unresolved orders", Safeguard::KeepUnresolved,
        placementModel(Safeguard::KeepUnresolved, false));
    add("placement without a boot on the connection", Safeguard::BootOnConnection,
        placementModel(Safeguard::BootOnConnection, false));
    add("once", Safeguard::None, onceModel(Safeguard::None));
    add("once with a retry after the send", Safeguard::NoRetryAfterSend, onceModel(Safeguard::NoRetryAfterSend));
    add("once without claims", Safeguard::ClaimBeforeSend, onceModel(Safeguard::ClaimBeforeSend));
    add("config", Safeguard::None, configModel(Safeguard::None));
    add("config that applies older revisions", Safeguard::NoOlderRevision, configModel(Safeguard::NoOlderRevision));
    add("config without the majority rule", Safeguard::FreshnessMajority, configModel(Safeguard::FreshnessMajority));
    add("attempts", Safeguard::None, attemptsModel(Safeguard::None));
    add("attempts that take a lost answer for not run", Safeguard::SureNotRun, attemptsModel(Safeguard::SureNotRun));
    add("attempts that refuse what may have run", Safeguard::TrueRefusal, attemptsModel(Safeguard::TrueRefusal));
    add("orders", Safeguard::None, ordersModel(Safeguard::None));
    add("orders without a gap between hubs", Safeguard::GapBetweenHubs, ordersModel(Safeguard::GapBetweenHubs));
    add("orders by a clock that stops in a freeze", Safeguard::ClockOverFreeze,
        ordersModel(Safeguard::ClockOverFreeze));
    add("orders by a lease from its answer", Safeguard::LeaseFromAsking, ordersModel(Safeguard::LeaseFromAsking));
    add("orders recorded at the election", Safeguard::RecordBeforeOrders, ordersModel(Safeguard::RecordBeforeOrders));
    add("orders that expect nothing", Safeguard::ExpectedOrders, ordersModel(Safeguard::ExpectedOrders));
    add("freshness", Safeguard::None, freshnessModel(Safeguard::None));
    add("freshness by a clock that stops in a freeze", Safeguard::ClockOverFreeze,
        freshnessModel(Safeguard::ClockOverFreeze));
    add("freshness from the answer", Safeguard::ProofFromAsking, freshnessModel(Safeguard::ProofFromAsking));
    add("freshness without the peer's age", Safeguard::AgeOfKnowledge, freshnessModel(Safeguard::AgeOfKnowledge));
    add("repeats", Safeguard::None, repeatsModel(Safeguard::None));
    add("repeats without shares", Safeguard::ShareOfBudget, repeatsModel(Safeguard::ShareOfBudget));
    add("repeats with a whole part at a new start", Safeguard::LeanStart, repeatsModel(Safeguard::LeanStart));
    return cases;
}

} // namespace rattanshunt::lab
