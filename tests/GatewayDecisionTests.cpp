// Decision logic of the gateway without network or store: retries, replica selection, waiting, event streams, the
// directory of replicas, configuration. Tests replay the load pattern that a decision was made for.
#include <random>

#include "Support.h"
#include "attempts/RetryPolicy.h"
#include "directory/Directory.h"
#include "gateway/OwnLoad.h"
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

// ---- Retries and refusals -----------------------------------------------------------------------

Test(retry_policy, refuses_only_without_possible_execution_and_never_executes_at_most_once_calls_twice)
{
    // All sequences of up to four attempt outcomes, for each retry class, with and without retry budget and time left.
    for (RetryClass retryClass : { RetryClass::Idempotent, RetryClass::AtMostOnce, RetryClass::Resumable }) {
        for (int history = 0; history < 4 * 4 * 4 * 4 * 4; ++history) {
            for (int sendsHead = 0; sendsHead < 2; ++sendsHead) {
                RequestProgress progress;
                progress.retryClass = retryClass;
                progress.maxAttempts = 1 + history % 4;
                int remainingOutcomes = history / 4;
                bool mayHaveRun = false;
                for (int attempt = 0; attempt < 4; ++attempt) {
                    auto outcome = static_cast<AttemptOutcome>(remainingOutcomes % 4);
                    remainingOutcomes /= 4;
                    progressCountAttempt(progress, outcome);
                    if (outcome != AttemptOutcome::NotExecuted) {
                        mayHaveRun = true;
                        progress.hasSentHead = progress.hasSentHead || sendsHead;
                    }
                    RetryConditions conditions { attempt % 2 == 0 || history % 3 != 0, history % 5 != 0 };
                    NextStep step = stepAfterAttempt(progress, outcome, conditions);
                    if (step == NextStep::Refuse)
                        cr_assert(!mayHaveRun);
                    if (step == NextStep::ForwardFailure || step == NextStep::Fail)
                        cr_assert(!progress.hasSentHead);
                    if (step != NextStep::Retry)
                        break;
                    cr_assert(conditions.hasBudget && conditions.hasTime);
                    cr_assert_lt(progress.attemptsPossiblyExecuted, progress.maxAttempts);
                    if (retryClass == RetryClass::AtMostOnce)
                        cr_assert(!mayHaveRun);
                }
            }
        }
    }
}

Test(retry_policy, without_a_replica_the_step_depends_on_possible_execution)
{
    RequestProgress progress;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::Refuse);
    progress.attemptsPossiblyExecuted = 1;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::Fail);
    progress.hasSentHead = true;
    cr_assert_eq(stepWithoutReplica(progress), NextStep::AbortStream);
}

Test(retry_budget, fleet_stays_within_its_budget_when_every_request_would_retry)
{
    RetryBudgetOptions options;
    constexpr size_t members = 19;
    std::vector<RetryBudget> daemons(members);
    std::mt19937 random(7);
    std::deque<base::BootTime> requests;
    std::deque<base::BootTime> retries;
    for (int tick = 0; tick < 40000; ++tick) {
        base::BootTime now = bootAt(tick);
        RetryBudget& daemon = daemons[random() % members];
        if (tick % 10 == 0) {
            retryBudgetCountRequest(daemon, now, options);
            requests.push_back(now);
        }
        if (retryBudgetTake(daemon, now, members, options))
            retries.push_back(now);
        retryBudgetDropBefore(requests, now - options.window);
        retryBudgetDropBefore(retries, now - options.window);
        cr_assert_leq(static_cast<double>(retries.size()),
            options.retriesPerRequest * static_cast<double>(requests.size()) + options.extraRetries);
    }
    cr_assert_gt(retries.size(), 100);
}

// Load pattern: one gateway of a large fleet sends a call every second to one of four nearly idle replicas. The one
// with an idle connection must be used although it has one request more than two of the others.
Test(replica_selection, prefers_an_idle_connection_among_similarly_busy_replicas)
{
    ReplicaSelectionOptions options;
    options.connectionCost = 0.2;
    std::vector<ReplicaCandidate> candidates(4);
    const char* names[] = { "a", "b", "c", "d" };
    for (size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].id = names[i];
        candidates[i].slots = 6;
        candidates[i].reportedInFlight = static_cast<double>(i % 2);
    }
    candidates[1].hasIdleConnection = true;
    for (uint64_t requestHash = 0; requestHash < 100; ++requestHash) {
        auto chosen = replicaSelect(candidates, { 0, requestHash }, options);
        cr_assert(chosen && *chosen == 1);
    }
    // Not if that replica is clearly busier.
    candidates[1].reportedInFlight = 3;
    auto chosen = replicaSelect(candidates, { 0, 1 }, options);
    cr_assert(chosen && *chosen != 1);
}

// ---- Waiting ------------------------------------------------------------------------------------

Test(wait_policy, refuses_at_once_with_a_retry_time_if_not_ready_before_the_first_byte_deadline)
{
    WaitOptions options;
    WaitInputs inputs;
    inputs.isEngineService = true;
    inputs.hasHub = true;
    inputs.timeLeft = base::Seconds(17);
    inputs.firstByteTimeLeft = base::Seconds(5);
    inputs.readyIn = base::Seconds(9);
    WaitDecision decision = waitDecide(inputs, options);
    cr_assert(!decision.mayWait);
    cr_assert_eq(decision.retryAfter->count(), 9000);
    inputs.readyIn = base::Seconds(2);
    cr_assert(waitDecide(inputs, options).mayWait);
    inputs.readyIn.reset();
    cr_assert(waitDecide(inputs, options).mayWait); // no estimate from the hub yet
    inputs.hasHub = false;
    cr_assert(waitDecide(inputs, options).mayWait); // a hub can be elected before the deadline
    inputs.firstByteTimeLeft = base::Seconds(2);
    cr_assert(!waitDecide(inputs, options).mayWait);
    inputs.hasHub = true;
    inputs.timeLeft = Millis(100);
    cr_assert(!waitDecide(inputs, options).mayWait);
}

// ---- Replica selection --------------------------------------------------------------------------

Test(replica_selection, prompts_with_a_common_prefix_share_a_replica_until_it_is_busier)
{
    ReplicaSelectionOptions options;
    std::vector<ReplicaCandidate> candidates;
    for (std::string_view id : { "a", "b", "c", "d" })
        candidates.push_back({ id, 64 });
    size_t first = *replicaSelect(candidates, { 99, 1 }, options);
    for (uint64_t requestHash = 2; requestHash < 40; ++requestHash)
        cr_assert_eq(*replicaSelect(candidates, { 99, requestHash }, options), first);
    candidates[first].ownInFlight = 30;
    cr_assert_neq(*replicaSelect(candidates, { 99, 3 }, options), first);
}

Test(replica_selection, a_failed_replica_is_avoided_unless_all_have_failed)
{
    ReplicaSelectionOptions options;
    std::vector<ReplicaCandidate> candidates = { { "a", 8 }, { "b", 8 } };
    candidates[0].failureScore = options.maxFailureScore;
    for (uint64_t requestHash = 0; requestHash < 20; ++requestHash)
        cr_assert_eq(*replicaSelect(candidates, { 0, requestHash }, options), 1);
    candidates[1].ownInFlight = 8;
    cr_assert(!replicaSelect(candidates, { 0, 1 }, options));
    candidates[1].failureScore = options.maxFailureScore;
    cr_assert_eq(*replicaSelect(candidates, { 0, 1 }, options), 0);
}

Test(replica_selection, a_report_loses_weight_with_its_age)
{
    ReplicaSelectionOptions options;
    std::vector<ReplicaCandidate> candidates = { { "a", 8 } };
    candidates[0].reportedInFlight = 20;
    cr_assert(!replicaSelect(candidates, { 0, 1 }, options));
    candidates[0].reportAge = base::Seconds(3);
    cr_assert(replicaSelect(candidates, { 0, 1 }, options).has_value());
}

// Sixteen callers that send one request after another to two replicas with eight slots: all requests end at the same
// moment, and each response reports the others as running. The replicas looked full for two half-lives of the report.
Test(own_load, requests_that_end_together_are_not_taken_for_those_of_other_daemons)
{
    OwnLoadOptions options;
    OwnLoad load;
    for (int i = 0; i < 8; ++i)
        ownLoadChange(load, 1, bootAt(i), options);
    for (int i = 0; i < 8; ++i) {
        base::BootTime now = bootAt(20);
        cr_assert_eq(ownLoadAtReport(load, now, options), 8);
        ownLoadChange(load, -1, now, options);
    }
    cr_assert_eq(load.inFlight, 0);
    // A report that was written long after they have ended does not include them.
    cr_assert_eq(ownLoadAtReport(load, bootAt(20) + options.reportDelay + base::Millis(1), options), 0);
    // One that was requested before they were sent does not include them either.
    cr_assert_eq(ownLoadAtReport(load, bootAt(-10), options), 0);
    ownLoadChange(load, 1, bootAt(5000), options);
    cr_assert_leq(load.history.size(), 2);
}

// ---- Streams ------------------------------------------------------------------------------------

Test(server_sent_events, complete_events_are_forwarded_for_any_chunking_and_repeated_ones_dropped)
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

std::string entryText(const std::string& state, int64_t startMillis, const std::string& extraFields = "")
{
    return fmt::format(R"({{"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"{}","born":{},)"
                       R"("models":[{{"name":"m1","adapters":[]}}]{}}})",
        state, startMillis, extraFields);
}

} // namespace

Test(directory, older_entries_and_reports_never_replace_newer_ones_and_a_restart_discards_reports)
{
    WireCodec codec = platform::wireCodecCreate();
    directory::Directory directory;
    directory::directoryApplyList(directory, codec, { { "servers/i", entryText("draining", 5), 9 } }, false);
    directory::directoryApplyChanges(directory, codec, { { "servers/i", entryText("ready", 5), 7 } }, {});
    cr_assert(directory.replicas.at("i").entry.isDraining);
    ReplicaReport report;
    report.startedAtMillis = 5;
    report.models = { { "m2", {} } };
    cr_assert(directory::directoryApplyReport(directory, "i", report, bootAt(100)));
    cr_assert(!directory::directoryApplyReport(directory, "i", report, bootAt(50)));
    cr_assert(directory::replicaHasModel(directory.replicas.at("i"), "m2", "", bootAt(200)));
    directory::directoryApplyList(directory, codec, { { "servers/i", entryText("ready", 6), 12 } }, false);
    cr_assert(!directory::replicaHasModel(directory.replicas.at("i"), "m2", "", bootAt(200)));
    cr_assert(directory::replicaHasModel(directory.replicas.at("i"), "m1", "", bootAt(200)));
    cr_assert(!directory::directoryApplyReport(directory, "i", report, bootAt(300)));
}

// A daemon has read the store itself, then receives updates from a hub whose last read was earlier.
Test(directory, stale_updates_neither_restore_a_removed_replica_nor_remove_a_newer_one)
{
    WireCodec codec = platform::wireCodecCreate();
    directory::Directory directory;
    directory::directoryApplyList(directory, codec, { { "servers/i", entryText("ready", 5), 7 } }, false);
    directory::directoryApplyList(directory, codec, {}, false);
    cr_assert(directory.replicas.empty());
    directory::directoryApplyChanges(directory, codec, { { "servers/i", entryText("ready", 5), 7 } }, {});
    cr_assert(directory.replicas.empty());
    // The replica returns under the same id, and the removal of its former entry arrives late.
    directory::directoryApplyChanges(directory, codec, { { "servers/i", entryText("ready", 6), 12 } }, {});
    cr_assert(directory.replicas.contains("i"));
    directory::directoryApplyChanges(directory, codec, {}, { { "i", 7, 0 } });
    cr_assert(directory.replicas.contains("i"));
    directory::directoryApplyChanges(directory, codec, {}, { { "i", 12, 0 } });
    cr_assert(directory.replicas.empty());
}

// Daemons that know the same have equal digests, whatever revisions, reports and times they learned it with; a change
// shows in the bucket of its replica only.
Test(directory, digests_show_which_replicas_differ)
{
    gateway::WireCodec codec = platform::wireCodecCreate();
    directory::Directory hub;
    directory::Directory member;
    for (int i = 0; i < 300; ++i) {
        directory::RawEntry entry { fmt::format("servers/i-{}", i), entryText("ready", i), 10 + i };
        directory::directoryApplyChanges(hub, codec, { entry }, {});
    }
    for (int i = 299; i >= 0; --i) {
        directory::RawEntry entry { fmt::format("servers/i-{}", i), entryText("ready", i), 20 + i };
        directory::directoryApplyChanges(member, codec, { entry }, {});
    }
    cr_assert_eq(directory::directoryDigest(hub), directory::directoryDigest(member));
    hub.replicas["i-7"].placedModels = std::vector { LoadedModel { "m1", { "a1" } } };
    directory::DirectoryDigest changed = directory::directoryDigest(hub);
    directory::DirectoryDigest known = directory::directoryDigest(member);
    for (size_t bucket = 0; bucket < changed.size(); ++bucket)
        cr_assert_eq(changed[bucket] != known[bucket], bucket == directory::directoryBucketOf("i-7"));
    member.replicas["i-7"].placedModels = hub.replicas["i-7"].placedModels;
    cr_assert_eq(directory::directoryDigest(hub), directory::directoryDigest(member));
}

Test(directory, malformed_entries_are_reported_and_the_others_applied)
{
    WireCodec codec = platform::wireCodecCreate();
    directory::Directory directory;
    std::vector<directory::RawEntry> list = { { "servers/good", entryText("ready", 1), 1 } };
    int malformedCount = 0;
    for (const char* malformed : { "", "{", "[]", "null", R"({"service":"s"})",
             R"({"service":1,"address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready"})",
             R"({"service":"s","address":"nowhere","zone":"z","slots":8,"state":"ready"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":"8","state":"ready"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"odd"})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready","born":1.5})",
             R"({"service":"s","address":"127.0.0.1:80","zone":"z","slots":8,"state":"ready","models":[{"name":3}]})" })
        list.push_back({ "servers/bad" + std::to_string(++malformedCount), malformed, 1 });
    auto faults = directory::directoryApplyList(directory, codec, list, false);
    cr_assert_eq(faults.size(), static_cast<size_t>(malformedCount));
    cr_assert_eq(directory.replicas.size(), 1);
    for (auto& fault : faults)
        cr_assert(!fault.fault.empty());
}

Test(directory, missing_entries_lapse_only_around_an_outage_and_draining_ones_are_removed)
{
    WireCodec codec = platform::wireCodecCreate();
    directory::Directory directory;
    std::vector<directory::RawEntry> list
        = { { "servers/a", entryText("ready", 1), 1 }, { "servers/b", entryText("draining", 1), 2 } };
    directory::directoryApplyList(directory, codec, list, false);
    directory::directoryApplyList(directory, codec, {}, true);
    cr_assert(directory.replicas.contains("a"));
    cr_assert(!directory.replicas.contains("b"));
    uint64_t before = directory.changeSequence;
    directory::directoryApplyList(directory, codec, { list[0] }, true);
    cr_assert(!directory.replicas.at("a").isLapsed);
    cr_assert_gt(directory.changeSequence, before);
    directory::directoryApplyList(directory, codec, {}, false);
    cr_assert(directory.replicas.empty());
}

// ---- Configuration ------------------------------------------------------------------------------

Test(configuration, the_longest_prefix_wins_and_traffic_is_split_by_weight)
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

Test(configuration, an_error_names_its_field)
{
    WireCodec codec = platform::wireCodecCreate();
    std::string fault;
    cr_assert(!codec.readConfiguration(R"({"version":1,"routes":[{"name":"r"}],"services":[]})", fault));
    cr_assert(fault.find("\"host\"") != std::string::npos);
    cr_assert(!codec.readConfiguration("\xff", fault));
}

Test(text, compression_round_trips_and_corrupt_input_is_rejected)
{
    std::string text(100000, 'x');
    std::string compressed = base::compress(text);
    cr_assert_lt(compressed.size(), 2000);
    cr_assert_eq(*base::decompress(compressed), text);
    cr_assert(!base::decompress(compressed.substr(0, compressed.size() - 3)));
    cr_assert(!base::decompress("short"));
    compressed[3] = '\x7f'; // a length header beyond any available memory
    compressed[6] = '\x7f';
    cr_assert(!base::decompress(compressed));
}
