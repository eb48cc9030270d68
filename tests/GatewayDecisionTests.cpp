// The gateway's decisions, each replaying the load that it answers.
#include <random>

#include "Support.h"
#include "attempts/RetryPolicy.h"
#include "directory/Directory.h"
#include "gateway/ReplicaSelection.h"
#include "gateway/RetryBudget.h"
#include "gateway/ServerSentEvents.h"
#include "gateway/WaitPolicy.h"
#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using namespace rattanshunt::gateway;
using namespace rattanshunt::attempts;
using base::Millis;

namespace {

base::BootTime bootAt(double millis)
{
    return base::BootTime {} + base::Seconds(1000)
        + std::chrono::duration_cast<base::BootClock::duration>(base::durationOf(millis / 1000));
}

} // namespace

// ---- Repeats and refusals -----------------------------------------------------------------------

Test(request_plan, a_refusal_is_given_only_if_nothing_can_have_run_and_once_calls_never_run_twice)
{
    // All histories of up to four attempts, for each kind, with and without budget and time.
    for (RetryClass repeat : { RetryClass::Idempotent, RetryClass::AtMostOnce, RetryClass::Resumable }) {
        for (int history = 0; history < 4 * 4 * 4 * 4 * 4; ++history) {
            for (int passes = 0; passes < 2; ++passes) {
                RequestProgress progress;
                progress.retryClass = repeat;
                progress.maxAttempts = 1 + history % 4;
                int left = history / 4;
                bool mayHaveRun = false;
                for (int attempt = 0; attempt < 4; ++attempt) {
                    auto end = static_cast<AttemptOutcome>(left % 4);
                    left /= 4;
                    progressCountAttempt(progress, end);
                    if (end != AttemptOutcome::NotExecuted) {
                        mayHaveRun = true;
                        progress.hasSentHead = progress.hasSentHead || passes;
                    }
                    RetryConditions means { attempt % 2 == 0 || history % 3 != 0, history % 5 != 0 };
                    NextStep step = stepAfterAttempt(progress, end, means);
                    if (step == NextStep::Refuse)
                        cr_assert(!mayHaveRun);
                    if (step == NextStep::ForwardFailure || step == NextStep::Fail)
                        cr_assert(!progress.hasSentHead);
                    if (step != NextStep::Retry)
                        break;
                    cr_assert(means.hasBudget && means.hasTime);
                    cr_assert_lt(progress.attemptsPossiblyExecuted, progress.maxAttempts);
                    if (repeat == RetryClass::AtMostOnce)
                        cr_assert(!mayHaveRun);
                }
            }
        }
    }
}

Test(request_plan, without_a_replica_the_answer_depends_on_what_may_have_run)
{
    RequestProgress progress;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::Refuse);
    progress.attemptsPossiblyExecuted = 1;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::Fail);
    progress.hasSentHead = true;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::AbortStream);
}

Test(repeat_budget, the_fleet_stays_within_its_budget_when_every_request_would_repeat)
{
    RetryBudgetOptions options;
    constexpr size_t members = 19;
    std::vector<RetryBudget> daemons(members);
    std::mt19937 random(7);
    std::deque<base::BootTime> requests;
    std::deque<base::BootTime> repeats;
    for (int tick = 0; tick < 40000; ++tick) {
        base::BootTime now = bootAt(tick);
        RetryBudget& daemon = daemons[random() % members];
        if (tick % 10 == 0) {
            retryBudgetCountRequest(daemon, now, options);
            requests.push_back(now);
        }
        if (retryBudgetTake(daemon, now, members, options))
            repeats.push_back(now);
        retryBudgetDropBefore(requests, now - options.window);
        retryBudgetDropBefore(repeats, now - options.window);
        cr_assert_leq(static_cast<double>(repeats.size()),
            options.retriesPerRequest * static_cast<double>(requests.size()) + options.extraRetries);
    }
    cr_assert_gt(repeats.size(), 100);
}

// A gateway of a large fleet sends a call every second to one of four replicas that are nearly idle.
Test(replica_choice, of_equally_busy_replicas_the_one_with_an_idle_connection_is_used)
{
    ReplicaSelectionOptions options;
    options.connectionCost = 0.2;
    std::vector<ReplicaCandidate> views(4);
    const char* names[] = { "a", "b", "c", "d" };
    for (size_t i = 0; i < views.size(); ++i) {
        views[i].id = names[i];
        views[i].slots = 6;
        views[i].reportedInFlight = static_cast<double>(i % 2);
    }
    views[1].hasIdleConnection = true;
    for (uint64_t draw = 0; draw < 100; ++draw) {
        auto chosen = replicaSelect(views, { 0, draw }, options);
        cr_assert(chosen && *chosen == 1);
    }
    // Not where it is clearly busier.
    views[1].reportedInFlight = 3;
    auto chosen = replicaSelect(views, { 0, 1 }, options);
    cr_assert(chosen && *chosen != 1);
}

// ---- Waiting ------------------------------------------------------------------------------------

Test(waiting, what_cannot_be_served_before_the_caller_leaves_is_refused_at_once_with_the_time)
{
    WaitOptions options;
    WaitInputs view;
    view.isEngineService = true;
    view.hasHub = true;
    view.timeLeft = base::Seconds(17);
    view.firstByteTimeLeft = base::Seconds(5);
    view.readyIn = base::Seconds(9);
    WaitDecision late = waitDecide(view, options);
    cr_assert(!late.mayWait);
    cr_assert_eq(late.retryAfter->count(), 9000);
    view.readyIn = base::Seconds(2);
    cr_assert(waitDecide(view, options).mayWait);
    view.readyIn.reset();
    cr_assert(waitDecide(view, options).mayWait); // the hub has not said anything yet
    view.hasHub = false;
    cr_assert(waitDecide(view, options).mayWait); // a hub comes back in time
    view.firstByteTimeLeft = base::Seconds(2);
    cr_assert(!waitDecide(view, options).mayWait);
    view.hasHub = true;
    view.timeLeft = Millis(100);
    cr_assert(!waitDecide(view, options).mayWait);
}

// ---- Choice -------------------------------------------------------------------------------------

Test(replica_choice, prompts_with_the_same_beginning_share_a_replica_until_it_is_busier)
{
    ReplicaSelectionOptions options;
    std::vector<ReplicaCandidate> views;
    for (std::string_view id : { "a", "b", "c", "d" })
        views.push_back({ id, 64 });
    size_t first = *replicaSelect(views, { 99, 1 }, options);
    for (uint64_t draw = 2; draw < 40; ++draw)
        cr_assert_eq(*replicaSelect(views, { 99, draw }, options), first);
    views[first].ownInFlight = 30;
    cr_assert_neq(*replicaSelect(views, { 99, 3 }, options), first);
}

Test(replica_choice, a_replica_that_failed_is_left_out_until_no_other_is_left_or_it_is_forgotten)
{
    ReplicaSelectionOptions options;
    std::vector<ReplicaCandidate> views = { { "a", 8 }, { "b", 8 } };
    views[0].failureScore = options.maxFailureScore;
    for (uint64_t draw = 0; draw < 20; ++draw)
        cr_assert_eq(*replicaSelect(views, { 0, draw }, options), 1);
    views[1].ownInFlight = 8;
    cr_assert(!replicaSelect(views, { 0, 1 }, options));
    views[1].failureScore = options.maxFailureScore;
    cr_assert_eq(*replicaSelect(views, { 0, 1 }, options), 0);
}

Test(replica_choice, reports_without_news_lose_their_weight)
{
    ReplicaSelectionOptions options;
    std::vector<ReplicaCandidate> views = { { "a", 8 } };
    views[0].reportedInFlight = 20;
    cr_assert(!replicaSelect(views, { 0, 1 }, options));
    views[0].reportAge = base::Seconds(3);
    cr_assert(replicaSelect(views, { 0, 1 }, options).has_value());
}

// ---- Streams ------------------------------------------------------------------------------------

Test(events, whole_events_pass_however_the_bytes_are_cut_and_repeats_are_left_out)
{
    std::string text = "weight-versions: 1\nid: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (size_t step = 1; step < text.size(); ++step) {
        EventSplitter splitter;
        std::string out;
        for (size_t at = 0; at < text.size(); at += step)
            out += eventsSplit(splitter, std::string_view(text).substr(at, step));
        cr_assert_eq(out, text);
        cr_assert_eq(splitter.lastId, "3");
    }
    EventSplitter splitter;
    eventsSplit(splitter, "id: 1\ndata: a\n\nid: 2\nda");
    eventsDropPartial(splitter);
    cr_assert_eq(splitter.lastId, "1");
    cr_assert_eq(eventsSplit(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
}

// ---- Replicas -----------------------------------------------------------------------------------

namespace {

std::string entryText(const std::string& state, int64_t born, const std::string& more = "")
{
    return fmt::format(R"({{"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"{}","born":{},)"
                       R"("models":[{{"name":"m1","adapters":[]}}]{}}})",
        state, born, more);
}

} // namespace

Test(directory, an_older_entry_or_report_never_replaces_a_newer_one_and_another_start_forgets_the_first)
{
    WireCodec dialect = platform::wireCodecCreate();
    directory::Directory directory;
    directory::directoryApplyList(directory, dialect, { { "servers/i", entryText("draining", 5), 9 } }, false);
    directory::directoryApplyChanges(directory, dialect, { { "servers/i", entryText("ready", 5), 7 } }, {});
    cr_assert(directory.replicas.at("i").entry.isDraining);
    ReplicaReport report;
    report.startedAtMillis = 5;
    report.models = { { "m2", {} } };
    cr_assert(directory::directoryApplyReport(directory, "i", report, bootAt(100)));
    cr_assert(!directory::directoryApplyReport(directory, "i", report, bootAt(50)));
    cr_assert(directory::replicaHasModel(directory.replicas.at("i"), "m2", "", bootAt(200)));
    directory::directoryApplyList(directory, dialect, { { "servers/i", entryText("ready", 6), 12 } }, false);
    cr_assert(!directory::replicaHasModel(directory.replicas.at("i"), "m2", "", bootAt(200)));
    cr_assert(directory::replicaHasModel(directory.replicas.at("i"), "m1", "", bootAt(200)));
    cr_assert(!directory::directoryApplyReport(directory, "i", report, bootAt(300)));
}

// A daemon has read the store itself and then hears from a hub whose last read was before that.
Test(directory, older_knowledge_brings_no_replica_back_and_removes_no_newer_one)
{
    WireCodec dialect = platform::wireCodecCreate();
    directory::Directory directory;
    directory::directoryApplyList(directory, dialect, { { "servers/i", entryText("ready", 5), 7 } }, false);
    directory::directoryApplyList(directory, dialect, {}, false);
    cr_assert(directory.replicas.empty());
    directory::directoryApplyChanges(directory, dialect, { { "servers/i", entryText("ready", 5), 7 } }, {});
    cr_assert(directory.replicas.empty());
    // It comes again under the same id, and the removal of the former one is told late.
    directory::directoryApplyChanges(directory, dialect, { { "servers/i", entryText("ready", 6), 12 } }, {});
    cr_assert(directory.replicas.contains("i"));
    directory::directoryApplyChanges(directory, dialect, {}, { { "i", 7, 0 } });
    cr_assert(directory.replicas.contains("i"));
    directory::directoryApplyChanges(directory, dialect, {}, { { "i", 12, 0 } });
    cr_assert(directory.replicas.empty());
}

Test(directory, entries_of_other_writers_name_no_replica_and_the_others_hold)
{
    WireCodec dialect = platform::wireCodecCreate();
    directory::Directory directory;
    std::vector<directory::RawEntry> list = { { "servers/good", entryText("ready", 1), 1 } };
    int number = 0;
    for (const char* bad : { "", "{", "[]", "null", R"({"service":"s"})",
             R"({"service":1,"address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready"})",
             R"({"service":"s","address":"nowhere","zone":"z","slots":8,"state":"ready"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":"8","state":"ready"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"odd"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready","born":1.5})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready","models":[{"name":3}]})" })
        list.push_back({ "servers/bad" + std::to_string(++number), bad, 1 });
    auto faults = directory::directoryApplyList(directory, dialect, list, false);
    cr_assert_eq(faults.size(), static_cast<size_t>(number));
    cr_assert_eq(directory.replicas.size(), 1);
    for (auto& fault : faults)
        cr_assert(!fault.fault.empty());
}

Test(directory, entries_lapse_only_around_an_outage_and_draining_ones_go_at_once)
{
    WireCodec dialect = platform::wireCodecCreate();
    directory::Directory directory;
    std::vector<directory::RawEntry> list
        = { { "servers/a", entryText("ready", 1), 1 }, { "servers/b", entryText("draining", 1), 2 } };
    directory::directoryApplyList(directory, dialect, list, false);
    directory::directoryApplyList(directory, dialect, {}, true);
    cr_assert(directory.replicas.contains("a"));
    cr_assert(!directory.replicas.contains("b"));
    uint64_t before = directory.changeSequence;
    directory::directoryApplyList(directory, dialect, { list[0] }, true);
    cr_assert(!directory.replicas.at("a").isLapsed);
    cr_assert_gt(directory.changeSequence, before);
    directory::directoryApplyList(directory, dialect, {}, false);
    cr_assert(directory.replicas.empty());
}

// ---- Configuration ------------------------------------------------------------------------------

Test(configuration, the_longest_prefix_wins_and_shares_are_kept)
{
    Configuration configuration;
    Route shortRoute;
    shortRoute.host = "h";
    shortRoute.prefix = "/a/";
    Route longRoute = shortRoute;
    longRoute.prefix = "/a/b/";
    longRoute.services = { { "x", 90 }, { "y", 10 } };
    configuration.routes = { shortRoute, longRoute };
    configuration.services = { { "x", { "x", 1, {} } }, { "y", { "y", 1, {} } } };
    configurationBuildIndexes(configuration);
    cr_assert_eq(routeFind(configuration, "h", "/a/b/c?x=/")->prefix, "/a/b/");
    cr_assert_eq(routeFind(configuration, "h:80", "/a/bc")->prefix, "/a/");
    cr_assert(!routeFind(configuration, "h", "/ab/"));
    cr_assert(!routeFind(configuration, "g", "/a/"));
    int count = 0;
    for (int i = 0; i < 1000; ++i)
        count += serviceSelect(configuration, *routeFind(configuration, "h", "/a/b/"), i / 1000.0)->name == "y";
    cr_assert_eq(count, 100);
}

Test(configuration, a_fault_names_its_field)
{
    WireCodec dialect = platform::wireCodecCreate();
    std::string fault;
    cr_assert(!dialect.readConfiguration(R"({"version":1,"routes":[{"name":"r"}],"services":[]})", fault));
    cr_assert(fault.find("\"host\"") != std::string::npos);
    cr_assert(!dialect.readConfiguration("\xff", fault));
}

Test(text, what_is_packed_comes_back_and_broken_bytes_do_not)
{
    std::string text(100000, 'x');
    std::string packed = base::compress(text);
    cr_assert_lt(packed.size(), 2000);
    cr_assert_eq(*base::decompress(packed), text);
    cr_assert(!base::decompress(packed.substr(0, packed.size() - 3)));
    cr_assert(!base::decompress("short"));
    packed[3] = '\x7f'; // a length that no memory holds
    packed[6] = '\x7f';
    cr_assert(!base::decompress(packed));
}
