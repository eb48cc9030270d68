// Cold replicas: what is known of them, and the rates at which all daemons together send to them.
#include <random>

#include "ColdSupport.h"
#include "directory/ReplicaAvailability.h"
#include "limits/ColdReplicas.h"
#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;
using namespace rattanshunt::limits;
using directory::ReplicaLife;
using directory::ReplicaObstacle;

namespace {

constexpr base::Millis entryInterval { 1200 };

base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000) + base::durationOf(millis / 1000);
}

ColdStatement entryOf(int leftMs, bool isNew = false, int64_t start = 1)
{
    return { "i-1", start, isNew, isNew && start > 1, base::Millis(leftMs), base::Millis(3000) };
}

bool isCold(const ColdLedger& ledger, double millis, int64_t start = 1)
{
    return coldUntil(ledger, "i-1", start, bootAt(millis)).has_value();
}

} // namespace

// Guards against a replica that starts during traffic being sent more than it accepts, and against it staying cold.
Test(cold_replicas, an_entry_begins_and_ends_it)
{
    ColdLedger ledger;
    cr_expect(coldApplyEntry(ledger, entryOf(2000, true), bootAt(0), bootAt(10), entryInterval));
    cr_expect(isCold(ledger, 2000));
    cr_expect(!isCold(ledger, 2011));
    cr_expect(!coldApplyEntry(ledger, entryOf(0), bootAt(1200), bootAt(1210), entryInterval));
    cr_expect(!isCold(ledger, 1220));
    cr_expect(
        coldApplyEntry(ledger, entryOf(3000), bootAt(2400), bootAt(2410), entryInterval), "it may turn cold again");
    cr_expect(isCold(ledger, 5000));
    ColdStatement silent = entryOf(0, true, 2);
    silent.timeLeft.reset();
    cr_expect(
        coldApplyEntry(ledger, silent, bootAt(6000), bootAt(6000), entryInterval), "a start without a stated time");
    cr_expect(isCold(ledger, 8990, 2));
    cr_expect(!isCold(ledger, 9001, 2));
}

// Guards against an entry that was written before a response taking back what the response says.
Test(cold_replicas, a_response_takes_precedence_over_an_older_entry)
{
    ColdLedger ledger;
    cr_expect(coldRecord(ledger, "i-1", 1, base::Millis(3000), bootAt(0), bootAt(0)));
    coldApplyEntry(ledger, entryOf(0), bootAt(500), bootAt(510), entryInterval);
    cr_expect(isCold(ledger, 520));
    cr_expect_not(
        coldApplyRows(ledger, {}, bootAt(500), true, bootAt(600)), "a list of the hub may rest on an older entry");
    cr_expect(isCold(ledger, 610));
    coldRecord(ledger, "i-1", 1, base::Millis(0), bootAt(1000), bootAt(1000));
    cr_expect(!isCold(ledger, 1001));
    coldApplyRows(ledger, { { "i-1", 1, bootAt(2000), {} } }, bootAt(900), true, bootAt(1010));
    cr_expect(!isCold(ledger, 1011), "a list that is older than the response");
}

// Guards against a replica that returns being taken for warm by an entry from before its return, and against a member
// that never learns that it is warm.
Test(cold_replicas, a_replica_that_returns_is_cold_until_it_says_otherwise)
{
    ColdLedger ledger;
    coldPresume(ledger, "i-1", 1, base::BootTime::max(), bootAt(0));
    cr_expect(isCold(ledger, 60000));
    cr_expect_not(coldApplyRows(ledger, {}, bootAt(-100), true, bootAt(10)), "older knowledge has to be sent again");
    cr_expect(isCold(ledger, 60000));
    cr_expect(coldApplyRows(ledger, {}, bootAt(700), true, bootAt(710)));
    cr_expect(!isCold(ledger, 711));
    coldPresume(ledger, "i-1", 1, base::BootTime::max(), bootAt(1000));
    coldApplyEntry(ledger, entryOf(0), bootAt(1800), bootAt(1800), entryInterval);
    cr_expect(!isCold(ledger, 1801));
}

// Guards against permits that add to what daemons send that have not heard yet that a replica has turned cold.
Test(cold_replicas, permits_begin_when_all_members_know)
{
    ColdLedger ledger;
    ColdStatement turned = entryOf(3000);
    turned.wasListed = true;
    coldApplyEntry(ledger, turned, bootAt(0), bootAt(0), entryInterval);
    cr_expect(ledger.replicas.at("i-1").permitsFrom >= bootAt(600));
    ColdLedger other;
    coldApplyEntry(other, entryOf(3000, true), bootAt(0), bootAt(0), entryInterval);
    cr_expect(other.replicas.at("i-1").permitsFrom <= bootAt(0), "nobody sends to a replica that was not listed");
}

// Guards against another member's list, which may be older, ending anything.
Test(cold_replicas, only_the_hub_ends_it)
{
    ColdLedger ledger;
    coldApplyEntry(ledger, entryOf(3000), bootAt(0), bootAt(0), entryInterval);
    coldApplyRows(ledger, {}, bootAt(500), false, bootAt(500));
    cr_expect(isCold(ledger, 510));
    coldApplyRows(ledger, {}, bootAt(500), true, bootAt(500));
    cr_expect(!isCold(ledger, 510));
}

Test(cold_replicas, the_rate_keeps_to_a_narrow_bound)
{
    cr_expect_eq(coldPermitRate(6.5, {}), 6.5);
    cr_expect_lt(coldPermitRate(6.5, { 1, 0 }), 3);
    cr_expect_geq(coldPermitRate(6.5, { 0, 0 }), minPermitRate);
}

// Guards against an obstacle that one of selection and send check forgets.
Test(replica_availability, names_the_first_obstacle)
{
    ReplicaLife life;
    cr_expect(directory::replicaObstacle(life, bootAt(0)) == ReplicaObstacle::None);
    cr_expect_null(directory::obstacleName(ReplicaObstacle::None));
    life.limit = 8;
    cr_expect(directory::replicaObstacle(life, bootAt(0)) == ReplicaObstacle::Limited);
    life.coldUntil = bootAt(100);
    life.coldRate = 6.5;
    cr_expect(directory::replicaObstacle(life, bootAt(0)) == ReplicaObstacle::Cold);
    cr_expect_eq(*directory::replicaPermitRate(life, bootAt(0)), 6.5, "the lower rate holds");
    cr_expect_eq(*directory::replicaPermitRate(life, bootAt(100)), 8);
    life.hasPermit = true;
    cr_expect(directory::replicaObstacle(life, bootAt(0)) == ReplicaObstacle::None);
    life.quietUntil = bootAt(50);
    cr_expect(directory::replicaObstacle(life, bootAt(0)) == ReplicaObstacle::Quiet);
    cr_expect(directory::replicaObstacle(life, bootAt(50)) == ReplicaObstacle::None);
    life.isOutsideHomes = true;
    cr_expect(directory::replicaObstacle(life, bootAt(0)) == ReplicaObstacle::OutsideHomes);
    life.isEvacuated = true;
    cr_expect(directory::replicaObstacle(life, bootAt(0)) == ReplicaObstacle::Evacuated);
    life.isLeaving = true;
    cr_expect(directory::replicaObstacle(life, bootAt(0)) == ReplicaObstacle::Leaving);
}

// ---- Schedules ---------------------------------------------------------------------------------

namespace {

// Many daemons with requests for the same cold replicas, from 0 ms to 6,000 ms. Each asks for a permit every 20 to 80
// ms and uses it anywhere in its lifetime.
struct ColdPlay {
    size_t daemons = 108;
    size_t replicas = 24;
    double lostAt = -1;                               // when the hub ends; its permits stay valid
    double foundAt = 0;                               // when another one is elected
    double reachDelay = 600;                          // up to which daemons notice either
    double unreachable = 0;                           // part of the daemons that never reach a hub
    std::vector<std::vector<base::BootTime>> sent {}; // by replica

    void run(unsigned seed)
    {
        std::mt19937 random(seed);
        auto fraction = [&] { return static_cast<double>(random() % 10000) / 10000; };
        double rate = coldPermitRate(coldPerSecond, {});
        ColdBound bound;
        sent.assign(replicas, {});
        std::vector<PermitSchedule> schedules(replicas);
        std::vector<PermitSchedule> nextSchedules(replicas, { bootAt(foundAt) + coldTakeoverDelay });
        std::vector<std::vector<PermitShare>> shares(daemons, std::vector<PermitShare>(replicas));
        std::vector<double> noticesAfter(daemons);
        std::vector<bool> isAlone(daemons);
        for (size_t i = 0; i < daemons; ++i) {
            noticesAfter[i] = fraction() * reachDelay;
            isAlone[i] = fraction() < unreachable;
        }
        for (double time = 0; time < 6000; time += 5) {
            for (size_t i = 0; i < daemons; ++i) {
                if (random() % 10 != 0)
                    continue;
                size_t replica = random() % replicas;
                bool isOld = lostAt < 0 || time < lostAt;
                bool isNew = lostAt >= 0 && time >= foundAt + noticesAfter[i];
                PermitAnswer answer;
                if (!isAlone[i] && (isOld || isNew))
                    answer = permitTake(isOld ? schedules[replica] : nextSchedules[replica], rate, bootAt(time),
                        base::durationOf(fraction() * base::secondsOf(coldPermitWait)));
                else
                    answer = coldShareTake(shares[i][replica], rate, daemons, fraction(), bootAt(time));
                double use = answer.isFromHub ? fraction() * base::secondsOf(permitLifetime) : 0;
                if (answer.isGranted)
                    sent[replica].push_back(bootAt(time) + answer.startsIn + base::durationOf(use));
            }
        }
        for (size_t i = 0; i < replicas; ++i) {
            double most = static_cast<double>(mostInSecond(sent[i]));
            double allowed = coldPerSecond * bound.excess + bound.slack;
            cr_expect_leq(most, allowed, "seed %u, replica %zu: %g in a second, allowed %g", seed, i, most, allowed);
        }
    }
};

} // namespace

// Guards against each of many daemons sending its one request to replicas that return together.
Test(cold_replicas, replicas_that_return_together_get_their_rate_from_all_daemons_together)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        ColdPlay play;
        play.run(seed);
        double use = 0;
        for (const auto& sent : play.sent)
            use += static_cast<double>(sent.size()) / (coldPerSecond * 6 * 24);
        cr_expect_geq(use, 0.8, "seed %u: %.2f of the permits were used", seed, use);
    }
}

// Guards against permits of two hubs, and shares of the daemons that have none, adding up.
Test(cold_replicas, the_bound_holds_while_the_hub_is_replaced)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        for (double gap : { 0.0, 300.0, 1600.0 }) {
            ColdPlay play { .lostAt = 2000, .foundAt = 2000 + gap };
            play.run(seed);
        }
    }
}

// Guards against shares of daemons that reach no hub exceeding what the hub's permits leave.
Test(cold_replicas, the_bound_holds_with_daemons_that_reach_no_hub)
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        for (double part : { 0.3, 0.6, 1.0 }) {
            ColdPlay play { .unreachable = part };
            play.run(seed);
        }
    }
}

// Guards against shares that have filled up while nothing was asked for being used at one moment.
Test(cold_replicas, idle_shares_are_not_used_at_one_moment)
{
    std::mt19937 random(5);
    std::vector<PermitShare> shares(108);
    std::vector<base::BootTime> sent;
    for (double time : { 0.0, 60000.0 }) {
        for (double offset = 0; offset < 2000; offset += 10) {
            for (PermitShare& share : shares) {
                double fraction = static_cast<double>(random() % 10000) / 10000;
                if (coldShareTake(share, coldPerSecond, shares.size(), fraction, bootAt(time + offset)).isGranted)
                    sent.push_back(bootAt(time + offset));
            }
        }
    }
    cr_expect_leq(mostInSecond(sent), 14U);
}

// ---- Messages ----------------------------------------------------------------------------------

Test(cold_replicas, fields_are_read)
{
    gateway::WireCodec codec = platform::wireCodecCreate();
    auto coldFor = [&](const std::string& value) {
        return codec.readStatement({ 200, { { "Cold-Ms", value } }, "" }).coldFor;
    };
    cr_expect(coldFor("1500") == base::Millis(1500));
    cr_expect(coldFor("0") == base::Millis(0));
    for (const char* text : { "", "-1", "nan", "soon" })
        cr_expect_not(coldFor(text).has_value(), "\"%s\" was read as a time", text);
    std::string fault;
    auto entry = [&](const std::string& extra) {
        return codec.readEntry("servers/i-1",
            R"({"service":"plain","address":"127.0.0.1:1","zone":"dc-1","slots":1,"state":"ready")" + extra + "}",
            fault);
    };
    cr_expect(entry(R"(,"coldLeftMs":700)")->coldTimeLeft == base::Millis(700));
    cr_expect_not(entry("")->coldTimeLeft.has_value());
    cr_expect_not(entry(R"(,"coldLeftMs":"x")").has_value());
    auto configuration = codec.readConfiguration(
        R"({"version":1,"routes":[],"services":[{"name":"a","coldPerS":6.5},{"name":"b","coldS":2}]})", fault);
    cr_assert(configuration);
    cr_expect_eq(*configuration->services.at("a").coldPerSecond, 6.5);
    cr_expect(configuration->services.at("a").coldTime == base::Millis(3000));
    cr_expect_not(configuration->services.at("b").coldPerSecond.has_value());
}
