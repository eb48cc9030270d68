// What operators work with: log lines, request timelines, metrics, settings files.
#include <fstream>

#include <fcntl.h>
#include <gflags/gflags.h>
#include <unistd.h>

#include "Support.h"
#include "base/Counters.h"
#include "base/Histograms.h"
#include "base/LogOutput.h"
#include "reports/RequestTimeline.h"
#include "settings/GatewaySettings.h"

using namespace rattanshunt;

Test(operations, log_lines_are_parsed_and_give_the_timeline_of_a_request)
{
    std::string text = base::logLine(base::LogLevel::Info, "request.end",
        { { "id", "7" }, { "why", "closed" }, { "note", "a \"quoted\" = word" }, { "outcome", "failed" } });
    reports::LogRecord record = reports::logRecordParse("a.log", "time=2026-01-01T00:00:02.000Z " + text);
    cr_assert_eq(record.fields.at("note"), "a \"quoted\" = word");
    cr_assert_eq(record.fields.at("event"), "request.end");
    std::vector<reports::LogRecord> records
        = { record, reports::logRecordParse("a.log", "time=2026-01-01T00:00:01.000Z level=info event=hub.lost hub=d2"),
              reports::logRecordParse("b.log", "time=2026-01-01T00:00:01.500Z level=info event=hub.lost hub=d9"),
              reports::logRecordParse(
                  "a.log", "time=2026-01-01T00:00:01.900Z level=info event=request.attempt id=7 end=closed") };
    std::string timeline = reports::requestTimeline("7", records);
    cr_assert_lt(timeline.find("request.attempt"), timeline.find("request.end"));
    cr_assert(timeline.find("hub=d2") != std::string::npos);
    cr_assert(timeline.find("hub=d9") == std::string::npos);
    cr_assert(timeline.find("cause: the replica closed the connection") != std::string::npos);
    cr_assert(reports::requestTimeline("8", records).empty());
}

// Standard output is a pipe that nobody reads: log lines must be dropped and counted, and writers must not block.
Test(operations, a_stalled_log_reader_costs_lines_and_never_blocks, .timeout = 20)
{
    int pipeEnds[2];
    cr_assert_eq(pipe(pipeEnds), 0);
    int savedStdout = dup(STDOUT_FILENO);
    dup2(pipeEnds[1], STDOUT_FILENO);
    std::string line(1000, 'x');
    for (int i = 0; i < 2000; ++i) {
        base::logAppend(line);
        base::logFlush();
    }
    std::string first(4096, ' ');
    cr_assert_gt(read(pipeEnds[0], first.data(), first.size()), 0);
    dup2(savedStdout, STDOUT_FILENO);
    auto counters = base::countersRead();
    cr_assert_gt(counters["log_lines_dropped_total"], 1000);
}

Test(operations, each_kind_of_event_has_a_bounded_rate)
{
    int written = 0;
    for (int i = 0; i < 5000; ++i)
        written += base::logAdmit("test.kind");
    cr_assert_lt(written, 1000);
    cr_assert(base::logAdmit("test.other"));
    cr_assert_gt(base::countersRead()["log_lines_left_out_total"], 3000);
}

Test(operations, durations_are_exported_as_histograms)
{
    base::histogramObserve("request_seconds", "stream", base::Millis(120));
    std::string text = base::histogramsText();
    cr_assert(
        text.find("request_seconds_bucket{kind=\"stream\",le=\"0.2\"} 1") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find("request_seconds_bucket{kind=\"stream\",le=\"0.1\"} 0") != std::string::npos);
}

Test(operations, a_settings_file_is_read_and_every_error_is_reported)
{
    std::string path = "/tmp/rattanshunt-settings-" + std::to_string(getpid());
    std::ofstream(path)
        << "# written by the platform\n--name=g1\n--client_listen=127.0.0.1:1\n--peer_listen=127.0.0.1:2\n"
           "--ready_listen=127.0.0.1:3\n--metrics_listen=127.0.0.1:4\n--store=127.0.0.1:5\n"
           "--revoke_ms=4000\n--later_field=1\n";
    std::vector<settings::SettingError> errors;
    settings::settingsReadFile(path, errors);
    cr_assert_eq(errors.size(), 1);
    cr_assert_eq(errors[0].flag, "later_field");
    errors.clear();
    settings::GatewaySettings read = settings::gatewaySettingsFromFlags(errors);
    cr_assert(errors.empty());
    cr_assert_eq(read.maxRevocationDelay.count(), 4000);
    cr_assert_eq(read.storeAddress.port, 5);
    std::ofstream(path) << "--store=nowhere\n--repeat_ratio=-1\n--revoke_ms=many\n";
    settings::settingsReadFile(path, errors);
    settings::gatewaySettingsFromFlags(errors);
    cr_assert_eq(errors.size(), 3);
    unlink(path.c_str());
}
