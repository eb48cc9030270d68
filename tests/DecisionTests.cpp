// Decision logic of the daemon without network or store: endpoint choice, fair queue, idempotency claims, outcomes and
// reports, settings, text encodings.
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "Support.h"
#include "base/Log.h"
#include "base/Text.h"
#include "entry/Outcome.h"
#include "idempotency/Claims.h"
#include "reports/BurnReport.h"
#include "routing/EndpointChoice.h"
#include "routing/FairQueue.h"
#include "settings/Settings.h"

using namespace rattanshunt;
using resources::PriorityClass;
using tests::at;

// ---- Routing -----------------------------------------------------------------------------------

Test(endpoint_choice, a_replica_reported_as_full_is_tried_again_once_the_report_is_old)
{
    routing::EndpointChoiceOptions options;
    routing::Candidate fullReplica { "e0", 8, 30, 0, 0, base::Millis(0), false };
    cr_assert(!routing::candidateChoose({ fullReplica }, 1, 1, options));
    // A replica that gets no requests sends no new report, so the weight of the last one must decay.
    fullReplica.reportAge = base::Seconds(1);
    cr_assert(routing::candidateChoose({ fullReplica }, 1, 1, options).has_value());
}

Test(endpoint_choice, own_requests_count_before_the_next_report)
{
    routing::EndpointChoiceOptions options;
    routing::Candidate replica { "e0", 8, 4, 12, 4, base::Millis(0), false };
    cr_assert_float_eq(routing::candidateLoad(replica, options), 12.0 / 8, 1e-9);
    cr_assert(!routing::candidateChoose({ replica }, 1, 1, options));
}

Test(endpoint_choice, requests_with_the_same_prefix_share_a_replica_until_it_is_busy)
{
    routing::EndpointChoiceOptions options;
    std::vector<routing::Candidate> replicas;
    std::vector<std::string> names = { "e0", "e1", "e2", "e3" };
    for (const std::string& name : names)
        replicas.push_back({ name, 8, 0, 0, 0, base::Millis(0), false });
    size_t preferred = *routing::candidateChoose(replicas, 77, 1, options);
    for (uint64_t requestHash = 0; requestHash < 50; ++requestHash)
        cr_assert_eq(*routing::candidateChoose(replicas, 77, requestHash, options), preferred);
    replicas[preferred].ownInFlight = 7;
    for (uint64_t requestHash = 0; requestHash < 50; ++requestHash)
        cr_assert_neq(*routing::candidateChoose(replicas, 77, requestHash * 0x9e3779b97f4a7c15ull, options), preferred);
}

// ---- Queue -------------------------------------------------------------------------------------

Test(fair_queue, accounts_share_by_weight_and_priority_and_none_starves)
{
    routing::FairQueue queue;
    uint64_t id = 0;
    for (int i = 0; i < 300; ++i) {
        routing::queuePush(queue, { ++id, "a", 1, PriorityClass::Normal, 10, at(0) });
        routing::queuePush(queue, { ++id, "b", 2, PriorityClass::Normal, 10, at(0) });
        routing::queuePush(queue, { ++id, "c", 1, PriorityClass::High, 10, at(0) });
        routing::queuePush(queue, { ++id, "d", 1, PriorityClass::Low, 10, at(0) });
    }
    std::map<std::string, int> served;
    for (int i = 0; i < 320; ++i)
        ++served[routing::queuePop(queue)->account];
    cr_assert_gt(served["b"], served["a"] * 3 / 2);
    cr_assert_gt(served["c"], served["b"]);
    cr_assert_gt(served["d"], 10);
}

Test(fair_queue, removal_and_early_refusal)
{
    routing::FairQueue queue;
    routing::queuePush(queue, { 1, "a", 1, PriorityClass::Normal, 1000, at(0) });
    cr_assert(routing::queueWouldMissDeadline(queue, { 2, "a", 1, PriorityClass::Normal, 1, at(500) }, 100, at(0)));
    cr_assert(!routing::queueWouldMissDeadline(queue, { 2, "a", 1, PriorityClass::Normal, 1, at(20000) }, 100, at(0)));
    cr_assert(!routing::queueWouldMissDeadline(queue, { 2, "a", 1, PriorityClass::Normal, 1, at(500) }, 0, at(0)),
        "refused although the service rate is unknown");
    cr_assert(routing::queueRemove(queue, 1));
    cr_assert(!routing::queueRemove(queue, 1));
    cr_assert(!routing::queuePop(queue));
    cr_assert_float_eq(queue.tokensWaiting, 0, 1e-9);
}

// ---- Claims ------------------------------------------------------------------------------------

Test(claims, a_request_with_a_claimed_key_is_never_executed_again)
{
    using idempotency::ClaimVerdict;
    idempotency::Claim own { "op-1", "d1", "i1", "digest" };
    idempotency::Claim other = own;
    other.operation = "op-2";
    cr_assert(idempotency::claimEvaluate(own, own, true) == ClaimVerdict::Run);
    cr_assert(idempotency::claimEvaluate(own, other, true) == ClaimVerdict::Running);
    cr_assert(idempotency::claimEvaluate(own, other, false) == ClaimVerdict::OutcomeUnknown);
    other.isDone = true;
    cr_assert(idempotency::claimEvaluate(own, other, false) == ClaimVerdict::Stored);
    other.digest = "another";
    cr_assert(idempotency::claimEvaluate(own, other, false) == ClaimVerdict::Mismatch);
}

Test(claims, one_conflict_does_not_fail_the_whole_batch)
{
    idempotency::ClaimQueue queue;
    queue.waiting = { { 1, "/rsc/a", 0, "x" }, { 2, "/rsc/b", 0, "y" }, { 3, "/rsc/a", 0, "z" } };
    auto batch = idempotency::claimBatchTake(queue);
    cr_assert_eq(batch.size(), 2, "the batch does not hold exactly one write per key");
    cr_assert_eq(queue.waiting.size(), 1);
    coordination::KvTxnResult refused;
    refused.current = { { "/rsc/a", "theirs", 7, 7, 0 } };
    idempotency::ClaimBatchOutcome outcome = idempotency::claimBatchResolve(batch, refused);
    cr_assert_eq(outcome.results.size(), 1);
    cr_assert(outcome.results[0].outcome == idempotency::ClaimWriteOutcome::Conflict);
    cr_assert_eq(outcome.retries.size(), 1);
    cr_assert_str_eq(outcome.retries[0].key.c_str(), "/rsc/b");
}

Test(claims, an_own_write_with_a_lost_response_counts_as_done)
{
    std::vector<idempotency::ClaimWrite> batch = { { 1, "/rsc/a", 0, "mine" } };
    coordination::KvTxnResult refused;
    refused.current = { { "/rsc/a", "mine", 7, 7, 0 } };
    auto outcome = idempotency::claimBatchResolve(batch, refused);
    cr_assert(outcome.results[0].outcome == idempotency::ClaimWriteOutcome::Done);
    cr_assert_eq(outcome.results[0].revision, 7);
    coordination::KvTxnResult lost;
    lost.error = coordination::KvError::OutcomeUnknown;
    cr_assert(
        idempotency::claimBatchResolve(batch, lost).results[0].outcome == idempotency::ClaimWriteOutcome::Unknown);
}

Test(claims, records_round_trip_through_their_encoding)
{
    idempotency::Claim claim { "op", "d1", "i1", "digest", true, 201, "text/plain", std::string("\0\xff body", 7) };
    auto read = idempotency::claimFromText(idempotency::claimToText(claim));
    cr_assert(read && read->body == claim.body && read->status == 201);
    cr_assert(idempotency::claimKvKey("a", "k1") != idempotency::claimKvKey("a", "k2"));
    cr_assert(idempotency::claimKvKey("a", "k1") != idempotency::claimKvKey("b", "k1"));
}

// ---- Outcomes and reports ----------------------------------------------------------------------

Test(outcome, reason_table_is_in_enum_order_with_unique_names)
{
    std::set<std::string> names;
    for (const entry::ReasonInfo& info : entry::reasonTable()) {
        cr_assert_eq(&entry::reasonInfo(info.reason), &info);
        cr_assert(names.insert(info.name).second);
        bool isRefusal = info.outcome == entry::Outcome::RefusedNotRun;
        cr_assert(!isRefusal || info.status >= 400);
    }
    auto response = entry::reasonResponse(entry::Reason::OverRate, "id-1");
    cr_assert_eq(response.status, 429);
    cr_assert(net::httpHeader(response.headers, "retry-after") == "1");
    cr_assert(net::httpHeader(response.headers, "x-outcome") == "refused-not-run");
}

Test(report, refused_minutes_and_burn_rates_follow_from_request_stats)
{
    reports::RequestStats stats;
    for (int i = 0; i < 99; ++i)
        reports::requestStatsRecord(
            stats, { "acme", "m", "none", false, false, false, i == 0, base::Millis(800), base::Millis(20), 10 }, 1000);
    reports::requestStatsRecord(stats, { "acme", "m", "no_replica", true, false, false, false, {}, {}, 0 }, 1000);
    reports::requestStatsRecord(stats, { "acme", "m", "over_rate", true, false, true, false, {}, {}, 0 }, 1001);
    reports::requestStatsRecord(stats, { "acme", "m", "over_rate", true, false, true, false, {}, {}, 0 }, 1001);
    reports::requestStatsRecord(stats, { "acme", "m", "caller_gone", false, true, true, false, {}, {}, 0 }, 1001);
    reports::RequestStats merged = reports::requestStatsFromJson(reports::requestStatsToJson(stats));
    reports::requestStatsMerge(merged, stats);
    reports::BurnReport report = reports::burnReport(merged, 1001);
    const reports::BurnRow& row = report.accounts.front();
    cr_assert_eq(row.requests, 206);
    cr_assert_eq(row.refusedMinutes, 1, "a refusal caused by the client counted as a refused minute");
    cr_assert_float_eq(row.servedFraction, 0.99, 1e-9);
    cr_assert_float_eq(row.shortBurnRate, 10, 1e-6);
    cr_assert_str_eq(row.mainReason.c_str(), "no_replica", "a client error was reported as the main failure reason");
    cr_assert_eq(report.coldStarts.front().count, 2);
    cr_assert(report.coldStarts.front().p99 >= base::Millis(800));
    cr_assert(reports::burnReportHtml(report).find("<svg") != std::string::npos);
}

// ---- Settings ----------------------------------------------------------------------------------

Test(settings, all_errors_are_reported_at_once_and_secrets_are_hidden)
{
    setenv("RATTANSHUNT_NAME", "Not A Name", 1);
    setenv("RATTANSHUNT_FLEET_SECRET", "short", 1);
    setenv("RATTANSHUNT_TRAFFIC_THREADS", "0", 1);
    setenv("RATTANSHUNT_PLATFORM", "example.org:80", 1);
    setenv("RATTANSHUNT_COLOUR", "red", 1);
    auto errors = settings::settingsFromEnvironment();
    settings::settingsFromFlags(errors);
    std::set<std::string> flags;
    for (auto& error : errors) {
        flags.insert(error.flag);
        cr_assert(settings::settingErrorText(error).find("short\"") == std::string::npos);
    }
    for (const char* flag :
        { "name", "fleet_secret", "traffic_threads", "platform", "data_center", "RATTANSHUNT_COLOUR" })
        cr_assert(flags.contains(flag), "no error reported for %s", flag);
}

// ---- Text --------------------------------------------------------------------------------------

Test(text, base64_utf8_and_address_parsing)
{
    std::mt19937_64 random(3);
    for (int i = 0; i < 500; ++i) {
        std::string bytes(random() % 50, '\0');
        for (char& c : bytes)
            c = static_cast<char>(random());
        cr_assert(base::base64Decode(base::base64Encode(bytes)) == bytes);
    }
    cr_assert(!base::base64Decode("abc"));
    cr_assert(!base::base64Decode("ab!="));
    cr_assert(base::isValidUtf8("Trường học đóng cửa"));
    cr_assert(!base::isValidUtf8("\xc0\xaf"));
    cr_assert(!base::isValidUtf8("\xed\xa0\x80"));
    cr_assert(!base::isValidUtf8("\xf5\x80\x80\x80"));
    cr_assert(!base::isValidUtf8("\xe2\x82"));
    cr_assert(base::parseAddress("127.0.0.1:80"));
    cr_assert(base::parseAddress("[::1]:80"));
    for (const char* invalid : { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "::1:80", ":80" })
        cr_assert(!base::parseAddress(invalid), "%s was accepted", invalid);
}

Test(text, log_lines_escape_line_breaks_and_quotes)
{
    std::string line = base::logLine(base::LogLevel::Info, "request", { { "id", "a b\n\"c\"=\\" }, { "n", 5 } });
    cr_assert_str_eq(line.c_str(), "level=info event=request id=\"a b\\x0a\\\"c\\\"=\\\\\" n=5");
}

Test(settings, operations_documentation_has_the_current_settings_table)
{
    std::ifstream file(std::string(SCENARIO_DIR) + "/../../docs/OPERATIONS.md");
    std::stringstream page;
    page << file.rdbuf();
    cr_assert_neq(page.str().find(settings::settingsTable()), std::string::npos,
        "docs/OPERATIONS.md lacks the current output of `rattanshunt settings`; paste it there");
}

// The statuses tested here guarantee to the client that the request was not executed.
Test(outcome, reasons_of_unknown_outcome_never_use_a_not_executed_status)
{
    for (const entry::ReasonInfo& info : entry::reasonTable()) {
        bool isNotExecutedStatus = info.status == 408 || info.status == 421 || info.status == 429 || info.status == 503;
        if (info.outcome == entry::Outcome::Unknown)
            cr_assert(!isNotExecutedStatus, "%s, of unknown outcome, answers %d", info.name, info.status);
    }
}

Test(outcome, api_documentation_lists_every_reason)
{
    std::ifstream file(std::string(SCENARIO_DIR) + "/../../docs/API.md");
    std::stringstream page;
    page << file.rdbuf();
    for (const entry::ReasonInfo& info : entry::reasonTable()) {
        if (info.reason != entry::Reason::None)
            cr_assert_neq(page.str().find(info.name), std::string::npos, "%s is missing in docs/API.md", info.name);
    }
}
