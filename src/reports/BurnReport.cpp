#include "reports/BurnReport.h"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace rattanshunt::reports {

using nlohmann::json;

namespace {

    // Requests that count towards the service level.
    int64_t serviceRequests(const RequestCounts& counts)
    {
        return counts.requests - counts.clientErrors;
    }

    // Fraction of failed requests divided by the fraction that the objective allows.
    double burnRate(int64_t failures, int64_t total, const BurnOptions& options)
    {
        if (!total)
            return 0;
        return static_cast<double>(failures) / static_cast<double>(total) / (1 - options.objective);
    }

    struct WindowSums {
        RequestCounts all;
        RequestCounts shortWindow;
        RequestCounts longWindow;
        std::set<Minute> refusedMinutes;
    };

    std::string mostFrequent(const std::map<std::string, int64_t>& reasons)
    {
        std::string main;
        int64_t most = 0;
        for (auto& [reason, count] : reasons) {
            if (count > most) {
                most = count;
                main = reason;
            }
        }
        return main;
    }

    BurnRow rowOf(const std::string& name, const WindowSums& sums, const BurnOptions& options)
    {
        BurnRow row;
        row.name = name.empty() ? "(none)" : name;
        row.requests = sums.all.requests;
        row.complete = sums.all.complete;
        row.refusedWrongly = sums.all.refusedWrongly;
        row.clientErrors = sums.all.clientErrors;
        row.unknownOutcomes = sums.all.unknownOutcomes;
        row.refusedMinutes = static_cast<Minute>(sums.refusedMinutes.size());
        row.servedFraction = serviceRequests(sums.all)
            ? static_cast<double>(row.complete) / static_cast<double>(serviceRequests(sums.all))
            : 1;
        auto burnRateOf = [&](const RequestCounts& counts) {
            return burnRate(counts.refusedWrongly + counts.unknownOutcomes, serviceRequests(counts), options);
        };
        row.shortBurnRate = burnRateOf(sums.shortWindow);
        row.longBurnRate = burnRateOf(sums.longWindow);
        row.mainReason
            = mostFrequent(sums.all.failureReasons.empty() ? sums.all.clientErrorReasons : sums.all.failureReasons);
        return row;
    }

    std::vector<BurnRow> rowsOf(
        const std::map<Minute, std::map<std::string, RequestCounts>>& minutes, Minute now, const BurnOptions& options)
    {
        std::map<std::string, WindowSums> sums;
        for (auto& [minute, countsByName] : minutes) {
            for (auto& [name, counts] : countsByName) {
                WindowSums& sum = sums[name];
                requestCountsMerge(sum.all, counts);
                if (minute > now - options.shortWindow)
                    requestCountsMerge(sum.shortWindow, counts);
                if (minute > now - options.longWindow)
                    requestCountsMerge(sum.longWindow, counts);
                if (counts.refusedWrongly)
                    sum.refusedMinutes.insert(minute);
            }
        }
        std::vector<BurnRow> rows;
        rows.reserve(sums.size());
        for (auto& [name, sum] : sums)
            rows.push_back(rowOf(name, sum, options));
        std::sort(rows.begin(), rows.end(), [](const BurnRow& a, const BurnRow& b) {
            return a.servedFraction != b.servedFraction ? a.servedFraction < b.servedFraction : a.name < b.name;
        });
        return rows;
    }

    std::vector<MinutePoint> pointsOf(const RequestStats& stats)
    {
        std::vector<MinutePoint> points;
        for (auto& [minute, countsByName] : stats.accounts) {
            MinutePoint point { minute, 0, 0, 0 };
            for (auto& [name, counts] : countsByName) {
                point.complete += counts.complete;
                point.refusedWrongly += counts.refusedWrongly;
                point.unknownOutcomes += counts.unknownOutcomes;
            }
            points.push_back(point);
        }
        return points;
    }

    std::vector<std::string> findingsOf(const BurnReport& report, const BurnOptions& options)
    {
        std::vector<std::string> findings;
        for (const BurnRow& row : report.accounts) {
            if (row.shortBurnRate >= options.pageBurnRate && row.longBurnRate >= options.pageBurnRate)
                findings.push_back(
                    fmt::format("account {} burns its error budget {:.0f} times too fast; main reason: {}", row.name,
                        row.shortBurnRate, row.mainReason));
        }
        if (report.daemonsAnswered < report.daemonsAsked)
            findings.push_back(fmt::format("{} of {} instances did not answer; their requests are missing here",
                report.daemonsAsked - report.daemonsAnswered, report.daemonsAsked));
        if (!report.accounts.empty() && report.accounts.front().servedFraction < 1)
            findings.push_back(
                fmt::format("worst-served account: {} with {:.2f}% served, {} minutes with wrongful refusals",
                    report.accounts.front().name, report.accounts.front().servedFraction * 100,
                    report.accounts.front().refusedMinutes));
        if (findings.empty())
            findings.emplace_back("nothing needs attention: no wrongful refusals and no unknown outcomes");
        return findings;
    }

    std::string rowsText(const char* title, const std::vector<BurnRow>& rows)
    {
        std::string text = fmt::format("\n{:<24} {:>9} {:>8} {:>8} {:>8} {:>7} {:>7} {:>9} {:>9}  {}\n", title,
            "requests", "served%", "wrongly", "own", "unknown", "minutes", "burn", "burn-long", "main reason");
        for (const BurnRow& row : rows)
            text += fmt::format("{:<24} {:>9} {:>8.2f} {:>8} {:>8} {:>7} {:>7} {:>9.2f} {:>9.2f}  {}\n", row.name,
                row.requests, row.servedFraction * 100, row.refusedWrongly, row.clientErrors, row.unknownOutcomes,
                row.refusedMinutes, row.shortBurnRate, row.longBurnRate, row.mainReason);
        return text;
    }

    json rowsJson(const std::vector<BurnRow>& rows)
    {
        json list = json::array();
        for (const BurnRow& row : rows)
            list.push_back({ { "name", row.name }, { "requests", row.requests }, { "complete", row.complete },
                { "refused_wrongly", row.refusedWrongly }, { "refused_own", row.clientErrors },
                { "unknown", row.unknownOutcomes }, { "refused_minutes", row.refusedMinutes },
                { "served", row.servedFraction }, { "burn_short", row.shortBurnRate },
                { "burn_long", row.longBurnRate }, { "main_reason", row.mainReason } });
        return list;
    }

    std::string escapeHtml(const std::string& text)
    {
        std::string escaped;
        for (char c : text) {
            if (c == '<')
                escaped += "&lt;";
            else if (c == '>')
                escaped += "&gt;";
            else if (c == '&')
                escaped += "&amp;";
            else if (c == '"')
                escaped += "&quot;";
            else
                escaped += c;
        }
        return escaped;
    }

    constexpr double plotWidth = 860;
    constexpr double plotHeight = 180;

    std::string minutesSvg(const std::vector<MinutePoint>& points)
    {
        if (points.empty())
            return "<p>No requests were recorded.</p>";
        int64_t most = 1;
        for (const MinutePoint& point : points)
            most = std::max(most, point.complete + point.refusedWrongly + point.unknownOutcomes);
        Minute first = points.front().minute;
        auto span = static_cast<double>(points.back().minute - first + 1);
        double width = plotWidth / std::max(span, 30.0);
        std::string svg = fmt::format(
            "<svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"requests by minute\">", plotWidth, plotHeight + 20);
        for (const MinutePoint& point : points) {
            double x = static_cast<double>(point.minute - first) * width;
            double y = plotHeight;
            auto bar = [&](int64_t count, const char* style) {
                double height = plotHeight * static_cast<double>(count) / static_cast<double>(most);
                y -= height;
                if (count)
                    svg += fmt::format(
                        "<rect class=\"{}\" x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"{:.1f}\"/>", style, x,
                        y, std::max(width - 1, 0.5), height);
            };
            bar(point.complete, "ok");
            bar(point.refusedWrongly, "bad");
            bar(point.unknownOutcomes, "unknown");
        }
        svg += fmt::format(
            "<text x=\"0\" y=\"{}\">first minute</text><text x=\"{}\" y=\"{}\" text-anchor=\"end\">most: {} a "
            "minute</text></svg>",
            plotHeight + 15, plotWidth, plotHeight + 15, most);
        return svg;
    }

    std::string coldStartsSvg(const std::vector<ColdStartRow>& rows)
    {
        if (rows.empty())
            return "<p>No cold starts.</p>";
        double longest = 0.001;
        for (const ColdStartRow& row : rows)
            longest = std::max(longest, base::secondsOf(row.p99));
        constexpr double rowHeight = 20;
        constexpr double labelWidth = 200;
        std::string svg = fmt::format("<svg viewBox=\"0 0 {} {}\" role=\"img\" aria-label=\"cold starts by model\">",
            plotWidth, rowHeight * static_cast<double>(rows.size()) + 4);
        double y = 0;
        for (const ColdStartRow& row : rows) {
            double scale = (plotWidth - labelWidth - 120) / longest;
            svg += fmt::format("<text x=\"0\" y=\"{:.0f}\">{}</text>", y + 14, escapeHtml(row.model));
            svg += fmt::format("<rect class=\"light\" x=\"{}\" y=\"{:.0f}\" width=\"{:.1f}\" height=\"14\"/>",
                labelWidth, y + 3, scale * base::secondsOf(row.p99));
            svg += fmt::format("<rect class=\"ok\" x=\"{}\" y=\"{:.0f}\" width=\"{:.1f}\" height=\"14\"/>", labelWidth,
                y + 3, scale * base::secondsOf(row.p50));
            svg += fmt::format("<text x=\"{:.0f}\" y=\"{:.0f}\">p50 {:.2f} s, p99 {:.2f} s</text>",
                labelWidth + scale * base::secondsOf(row.p99) + 6, y + 14, base::secondsOf(row.p50),
                base::secondsOf(row.p99));
            y += rowHeight;
        }
        return svg + "</svg>";
    }

    std::string rowsHtml(const char* title, const std::vector<BurnRow>& rows)
    {
        std::string html
            = fmt::format("<table><thead><tr><th>{}</th><th>requests</th><th>served</th><th>refused wrongly</th>"
                          "<th>refused, own fault</th><th>unknown</th><th>minutes refused</th><th>burn</th>"
                          "<th>burn, long</th><th>main reason</th></tr></thead><tbody>",
                title);
        for (const BurnRow& row : rows)
            html += fmt::format(
                "<tr class=\"{}\"><td>{}</td><td>{}</td><td>{:.2f}%</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td>"
                "<td>{:.2f}</td><td>{:.2f}</td><td>{}</td></tr>",
                row.refusedWrongly + row.unknownOutcomes ? "warn" : "", escapeHtml(row.name), row.requests,
                row.servedFraction * 100, row.refusedWrongly, row.clientErrors, row.unknownOutcomes, row.refusedMinutes,
                row.shortBurnRate, row.longBurnRate, escapeHtml(row.mainReason));
        return html + "</tbody></table>";
    }

} // namespace

BurnReport burnReport(const RequestStats& stats, Minute now, const BurnOptions& options)
{
    BurnReport report;
    report.accounts = rowsOf(stats.accounts, now, options);
    report.subjects = rowsOf(stats.subjects, now, options);
    report.minutes = pointsOf(stats);
    for (auto& [model, histogram] : stats.coldStartWaits)
        report.coldStarts.push_back({ model, latencyHistogramCount(histogram), latencyHistogramQuantile(histogram, 0.5),
            latencyHistogramQuantile(histogram, 0.95), latencyHistogramQuantile(histogram, 0.99) });
    std::sort(report.coldStarts.begin(), report.coldStarts.end(), [](const ColdStartRow& a, const ColdStartRow& b) {
        return a.p99 != b.p99 ? a.p99 > b.p99 : a.model < b.model;
    });
    report.firstByteP50 = latencyHistogramQuantile(stats.timesToFirstByte, 0.5);
    report.firstByteP99 = latencyHistogramQuantile(stats.timesToFirstByte, 0.99);
    report.findings = findingsOf(report, options);
    return report;
}

std::string burnReportText(const BurnReport& report)
{
    std::string text = "Look at this first\n";
    for (const std::string& finding : report.findings)
        text += "  - " + finding + "\n";
    text += rowsText("account", report.accounts);
    text += rowsText("model or route", report.subjects);
    text += fmt::format("\n{:<24} {:>7} {:>10} {:>10} {:>10}\n", "cold starts", "count", "p50 s", "p95 s", "p99 s");
    for (const ColdStartRow& row : report.coldStarts)
        text += fmt::format("{:<24} {:>7} {:>10.3f} {:>10.3f} {:>10.3f}\n", row.model, row.count,
            base::secondsOf(row.p50), base::secondsOf(row.p95), base::secondsOf(row.p99));
    text += fmt::format(
        "\nfirst byte: p50 {:.3f} s, p99 {:.3f} s\nidle accelerator hours: {:.4f}\ninstances: {} of {} answered\n",
        base::secondsOf(report.firstByteP50), base::secondsOf(report.firstByteP99), report.idleAcceleratorHours,
        report.daemonsAnswered, report.daemonsAsked);
    return text;
}

json burnReportJson(const BurnReport& report)
{
    json coldStartList = json::array();
    for (const ColdStartRow& row : report.coldStarts)
        coldStartList.push_back({ { "model", row.model }, { "count", row.count }, { "p50_s", base::secondsOf(row.p50) },
            { "p95_s", base::secondsOf(row.p95) }, { "p99_s", base::secondsOf(row.p99) } });
    return { { "findings", report.findings }, { "accounts", rowsJson(report.accounts) },
        { "subjects", rowsJson(report.subjects) }, { "cold_starts", std::move(coldStartList) },
        { "first_byte_p50_s", base::secondsOf(report.firstByteP50) },
        { "first_byte_p99_s", base::secondsOf(report.firstByteP99) },
        { "idle_accelerator_hours", report.idleAcceleratorHours }, { "instances_asked", report.daemonsAsked },
        { "instances_answered", report.daemonsAnswered } };
}

std::string burnReportHtml(const BurnReport& report)
{
    std::string findings;
    for (const std::string& finding : report.findings)
        findings += "<li>" + escapeHtml(finding) + "</li>";
    std::string html
        = R"(<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Service-level burn report</title><style>
body{font:15px/1.45 system-ui,sans-serif;max-width:980px;margin:2rem auto;padding:0 1rem;color:#1c2733;background:#fbfbf9}
h1{font-size:1.5rem}h2{font-size:1.1rem;margin-top:2rem}
table{border-collapse:collapse;width:100%;font-size:13px}th,td{text-align:right;padding:4px 8px;border-bottom:1px solid #d9dde1}
th:first-child,td:first-child,th:last-child,td:last-child{text-align:left}tr.warn td{background:#fff2e6}
svg{width:100%;height:auto;background:#fff;border:1px solid #d9dde1}svg text{font:12px system-ui,sans-serif;fill:#44515e}
.ok{fill:#2f7d6d}.light{fill:#b9d8d0}.bad{fill:#c8442f}.unknown{fill:#d59f2a}
ul.first{background:#fff;border-left:4px solid #c8442f;padding:.6rem 1rem .6rem 2rem}
.legend span{margin-right:1rem}.legend i{display:inline-block;width:.8em;height:.8em;margin-right:.3em;border-radius:2px}
</style></head><body><h1>Service-level burn report</h1><h2>Look at this first</h2><ul class="first">)";
    html += findings
        + "</ul><h2>Requests by minute</h2><p class=\"legend\"><span><i style=\"background:#2f7d6d\"></i>whole "
          "answer</span>"
          "<span><i style=\"background:#c8442f\"></i>refused wrongly</span><span><i "
          "style=\"background:#d59f2a\"></i>outcome "
          "unknown</span></p>";
    html += minutesSvg(report.minutes);
    html += "<h2>Client accounts, worst served first</h2>" + rowsHtml("account", report.accounts);
    html += "<h2>Models and routes</h2>" + rowsHtml("model or route", report.subjects);
    html += "<h2>Cold starts</h2>" + coldStartsSvg(report.coldStarts);
    html += fmt::format(
        "<h2>Totals</h2><p>First byte: p50 {:.3f} s, p99 {:.3f} s. Idle accelerator hours: {:.4f}. Instances: {} of {} "
        "answered.</p></body></html>\n",
        base::secondsOf(report.firstByteP50), base::secondsOf(report.firstByteP99), report.idleAcceleratorHours,
        report.daemonsAnswered, report.daemonsAsked);
    return html;
}

} // namespace rattanshunt::reports
