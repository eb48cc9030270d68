// Routing, queues, claims, reports, settings, text.
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

Test(choice, a_replica_that_looked_full_is_tried_again)
{
    routing::EndpointChoiceOptions options;
    routing::Candidate full { "e0", 8, 30, 0, 0, base::Millis(0), false };
    cr_assert(!routing::candidateChoose({ full }, 1, 1, options));
    // No new answer, so no new report: the old one must lose its weight.
    full.reportAge = base::Seconds(1);
    cr_assert(routing::candidateChoose({ full }, 1, 1, options).has_value());
}

Test(choice, own_requests_count_at_once)
{
    routing::EndpointChoiceOptions options;
    routing::Candidate replica { "e0", 8, 4, 12, 4, base::Millis(0), false };
    cr_assert_float_eq(routing::candidateLoad(replica, options), 12.0 / 8, 1e-9);
    cr_assert(!routing::candidateChoose({ replica }, 1, 1, options));
}

Test(choice, a_prefix_finds_its_replica_until_that_is_crowded)
{
    routing::EndpointChoiceOptions options;
    std::vector<routing::Candidate> replicas;
    std::vector<std::string> names = { "e0", "e1", "e2", "e3" };
    for (const std::string& name : names)
        replicas.push_back({ name, 8, 0, 0, 0, base::Millis(0), false });
    size_t preferred = *routing::candidateChoose(replicas, 77, 1, options);
    for (uint64_t draw = 0; draw < 50; ++draw)
        cr_assert_eq(*routing::candidateChoose(replicas, 77, draw, options), preferred);
    replicas[preferred].ownInFlight = 7;
    for (uint64_t draw = 0; draw < 50; ++draw)
        cr_assert_neq(*routing::candidateChoose(replicas, 77, draw * 0x9e3779b97f4a7c15ull, options), preferred);
}

// ---- Queue -------------------------------------------------------------------------------------

Test(queue, accounts_share_by_weight_and_classes_by_value_and_nobody_starves)
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

Test(queue, removal_and_early_refusal)
{
    routing::FairQueue queue;
    routing::queuePush(queue, { 1, "a", 1, PriorityClass::Normal, 1000, at(0) });
    cr_assert(routing::queueWouldMissDeadline(queue, { 2, "a", 1, PriorityClass::Normal, 1, at(500) }, 100, at(0)));
    cr_assert(!routing::queueWouldMissDeadline(queue, { 2, "a", 1, PriorityClass::Normal, 1, at(20000) }, 100, at(0)));
    cr_assert(!routing::queueWouldMissDeadline(queue, { 2, "a", 1, PriorityClass::Normal, 1, at(500) }, 0, at(0)),
        "an unknown rate refuses nobody");
    cr_assert(routing::queueRemove(queue, 1));
    cr_assert(!routing::queueRemove(queue, 1));
    cr_assert(!routing::queuePop(queue));
    cr_assert_float_eq(queue.tokensWaiting, 0, 1e-9);
}

// ---- Claims ------------------------------------------------------------------------------------

Test(claims, a_known_key_is_never_run_again)
{
    using idempotency::ClaimVerdict;
    idempotency::Claim mine { "op-1", "d1", "i1", "digest" };
    idempotency::Claim other = mine;
    other.operation = "op-2";
    cr_assert(idempotency::claimEvaluate(mine, mine, true) == ClaimVerdict::Run);
    cr_assert(idempotency::claimEvaluate(mine, other, true) == ClaimVerdict::Running);
    cr_assert(idempotency::claimEvaluate(mine, other, false) == ClaimVerdict::OutcomeUnknown);
    other.isDone = true;
    cr_assert(idempotency::claimEvaluate(mine, other, false) == ClaimVerdict::Stored);
    other.digest = "another";
    cr_assert(idempotency::claimEvaluate(mine, other, false) == ClaimVerdict::Mismatch);
}

Test(claims, one_conflict_does_not_spoil_a_batch)
{
    idempotency::ClaimQueue queue;
    queue.waiting = { { 1, "/rsc/a", 0, "x" }, { 2, "/rsc/b", 0, "y" }, { 3, "/rsc/a", 0, "z" } };
    auto batch = idempotency::claimBatchTake(queue);
    cr_assert_eq(batch.size(), 2, "one write for each key");
    cr_assert_eq(queue.waiting.size(), 1);
    coordination::KvTxnResult refused;
    refused.current = { { "/rsc/a", "theirs", 7, 7, 0 } };
    idempotency::ClaimBatchOutcome outcome = idempotency::claimBatchResolve(batch, refused);
    cr_assert_eq(outcome.results.size(), 1);
    cr_assert(outcome.results[0].outcome == idempotency::ClaimWriteOutcome::Conflict);
    cr_assert_eq(outcome.retries.size(), 1);
    cr_assert_str_eq(outcome.retries[0].key.c_str(), "/rsc/b");
}

Test(claims, an_own_write_whose_answer_was_lost_is_recognised)
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

Test(claims, records_survive_their_encoding)
{
    idempotency::Claim claim { "op", "d1", "i1", "digest", true, 201, "text/plain", std::string("\0\xff body", 7) };
    auto read = idempotency::claimFromText(idempotency::claimToText(claim));
    cr_assert(read && read->body == claim.body && read->status == 201);
    cr_assert(idempotency::claimKvKey("a", "k1") != idempotency::claimKvKey("a", "k2"));
    cr_assert(idempotency::claimKvKey("a", "k1") != idempotency::claimKvKey("b", "k1"));
}

// ---- Outcomes and reports ----------------------------------------------------------------------

Test(outcome, the_table_is_in_order_and_names_are_unique)
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

Test(report, minutes_and_burn_follow_from_the_book)
{
    reports::RequestStats book;
    for (int i = 0; i < 99; ++i)
        reports::requestStatsRecord(
            book, { "acme", "m", "none", false, false, false, i == 0, base::Millis(800), base::Millis(20), 10 }, 1000);
    reports::requestStatsRecord(book, { "acme", "m", "no_replica", true, false, false, false, {}, {}, 0 }, 1000);
    reports::requestStatsRecord(book, { "acme", "m", "over_rate", true, false, true, false, {}, {}, 0 }, 1001);
    reports::requestStatsRecord(book, { "acme", "m", "over_rate", true, false, true, false, {}, {}, 0 }, 1001);
    reports::requestStatsRecord(book, { "acme", "m", "caller_gone", false, true, true, false, {}, {}, 0 }, 1001);
    reports::RequestStats merged = reports::requestStatsFromJson(reports::requestStatsToJson(book));
    reports::requestStatsMerge(merged, book);
    reports::BurnReport report = reports::burnReport(merged, 1001);
    const reports::BurnRow& row = report.accounts.front();
    cr_assert_eq(row.requests, 206);
    cr_assert_eq(row.refusedMinutes, 1, "a refusal by the caller's fault is no minute of refusal");
    cr_assert_float_eq(row.servedFraction, 0.99, 1e-9);
    cr_assert_float_eq(row.shortBurnRate, 10, 1e-6);
    cr_assert_str_eq(
        row.mainReason.c_str(), "no_replica", "what the caller did itself is not the main reason of wrongful ends");
    cr_assert_eq(report.coldStarts.front().count, 2);
    cr_assert(report.coldStarts.front().p99 >= base::Millis(800));
    cr_assert(reports::burnReportHtml(report).find("<svg") != std::string::npos);
}

// ---- Settings ----------------------------------------------------------------------------------

Test(settings, all_faults_are_reported_at_once_and_secrets_are_hidden)
{
    setenv("RATTANSHUNT_NAME", "Not A Name", 1);
    setenv("RATTANSHUNT_FLEET_SECRET", "short", 1);
    setenv("RATTANSHUNT_TRAFFIC_THREADS", "0", 1);
    setenv("RATTANSHUNT_PLATFORM", "example.org:80", 1);
    setenv("RATTANSHUNT_COLOUR", "red", 1);
    auto faults = settings::settingsFromEnvironment();
    settings::settingsFromFlags(faults);
    std::set<std::string> flags;
    for (auto& fault : faults) {
        flags.insert(fault.flag);
        cr_assert(settings::settingErrorText(fault).find("short\"") == std::string::npos);
    }
    for (const char* flag :
        { "name", "fleet_secret", "traffic_threads", "platform", "data_center", "RATTANSHUNT_COLOUR" })
        cr_assert(flags.contains(flag), "%s", flag);
}

// ---- Text --------------------------------------------------------------------------------------

Test(text, encodings)
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
    for (const char* wrong : { "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:99999", "::1:80", ":80" })
        cr_assert(!base::parseAddress(wrong), "%s", wrong);
}

Test(text, log_lines_are_one_line_whatever_they_hold)
{
    std::string line = base::logLine(base::LogLevel::Info, "request", { { "id", "a b\n\"c\"=\\" }, { "n", 5 } });
    cr_assert_str_eq(line.c_str(), "level=info event=request id=\"a b\\x0a\\\"c\\\"=\\\\\" n=5");
}

Test(settings, the_table_in_the_operators_page_is_the_real_one)
{
    std::ifstream file(std::string(SCENARIO_DIR) + "/../../docs/OPERATIONS.md");
    std::stringstream page;
    page << file.rdbuf();
    cr_assert_neq(page.str().find(settings::settingsTable()), std::string::npos,
        "put the output of `rattanshunt settings` into docs/OPERATIONS.md");
}

// These statuses promise that the request has not run.
Test(outcome, a_reason_of_unknown_outcome_never_promises_not_run)
{
    for (const entry::ReasonInfo& info : entry::reasonTable()) {
        bool promises = info.status == 408 || info.status == 421 || info.status == 429 || info.status == 503;
        if (info.outcome == entry::Outcome::Unknown)
            cr_assert(!promises, "%s answers %d", info.name, info.status);
    }
}

Test(outcome, the_interface_page_lists_every_reason)
{
    std::ifstream file(std::string(SCENARIO_DIR) + "/../../docs/API.md");
    std::stringstream page;
    page << file.rdbuf();
    for (const entry::ReasonInfo& info : entry::reasonTable()) {
        if (info.reason != entry::Reason::None)
            cr_assert_neq(page.str().find(info.name), std::string::npos, "%s is missing in docs/API.md", info.name);
    }
}
