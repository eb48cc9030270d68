#include "reports/RequestStats.h"

#include <chrono>
#include <cmath>

namespace rattanshunt::reports {

using nlohmann::json;

namespace {

    constexpr double histogramGrowth = 1.25;

    size_t stepOf(base::Duration duration)
    {
        double millis = base::secondsOf(duration) * 1000;
        if (millis <= 1)
            return 0;
        auto step = static_cast<size_t>(std::log(millis) / std::log(histogramGrowth)) + 1;
        return std::min(step, histogramSteps - 1);
    }

    void addTo(Cell& cell, const RequestRecord& record)
    {
        ++cell.requests;
        cell.tokens += record.tokens;
        if (record.isCallersFault) {
            ++cell.refusedOwn;
            ++cell.ownReasons[record.reason];
            return;
        }
        if (!record.isUnknown && !record.isRefusal) {
            ++cell.complete;
            return;
        }
        ++(record.isUnknown ? cell.unknown : cell.refusedWrongly);
        ++cell.reasons[record.reason];
    }

    using MinuteCells = std::map<Minute, std::map<std::string, Cell>>;

    void mergeMinutes(MinuteCells& minutes, const MinuteCells& other)
    {
        for (auto& [minute, cells] : other) {
            for (auto& [name, cell] : cells)
                cellMerge(minutes[minute][name], cell);
        }
    }

    json minutesToJson(const MinuteCells& minutes)
    {
        json list = json::array();
        for (auto& [minute, cells] : minutes) {
            for (auto& [name, cell] : cells) {
                list.push_back({ minute, name, cell.requests, cell.complete, cell.unknown, cell.refusedOwn,
                    cell.refusedWrongly, cell.tokens, cell.reasons, cell.ownReasons });
            }
        }
        return list;
    }

    MinuteCells minutesFromJson(const json& list)
    {
        MinuteCells minutes;
        for (const json& item : list) {
            Cell& cell = minutes[item.at(0).get<Minute>()][item.at(1).get<std::string>()];
            cell.requests = item.at(2).get<int64_t>();
            cell.complete = item.at(3).get<int64_t>();
            cell.unknown = item.at(4).get<int64_t>();
            cell.refusedOwn = item.at(5).get<int64_t>();
            cell.refusedWrongly = item.at(6).get<int64_t>();
            cell.tokens = item.at(7).get<double>();
            cell.reasons = item.at(8).get<std::map<std::string, int64_t>>();
            cell.ownReasons = item.at(9).get<std::map<std::string, int64_t>>();
        }
        return minutes;
    }

    void dropOld(MinuteCells& minutes, Minute now)
    {
        minutes.erase(minutes.begin(), minutes.lower_bound(now - bookMinutes));
    }

} // namespace

void bookRecord(Book& book, const RequestRecord& record, Minute now)
{
    if (!book.accounts.contains(now)) {
        dropOld(book.accounts, now);
        dropOld(book.subjects, now);
    }
    addTo(book.accounts[now][record.account], record);
    addTo(book.subjects[now][record.subject], record);
    if (record.wasCold)
        histogramAdd(book.coldWaits[record.subject], record.coldWait);
    if (!record.isRefusal && !record.isUnknown)
        histogramAdd(book.firstBytes, record.firstByte);
}

void bookMerge(Book& book, const Book& other)
{
    mergeMinutes(book.accounts, other.accounts);
    mergeMinutes(book.subjects, other.subjects);
    for (auto& [model, histogram] : other.coldWaits) {
        Histogram& sum = book.coldWaits[model];
        for (size_t step = 0; step < histogramSteps; ++step)
            sum[step] += histogram[step];
    }
    for (size_t step = 0; step < histogramSteps; ++step)
        book.firstBytes[step] += other.firstBytes[step];
}

void cellMerge(Cell& cell, const Cell& other)
{
    cell.requests += other.requests;
    cell.complete += other.complete;
    cell.unknown += other.unknown;
    cell.refusedOwn += other.refusedOwn;
    cell.refusedWrongly += other.refusedWrongly;
    cell.tokens += other.tokens;
    for (auto& [reason, count] : other.reasons)
        cell.reasons[reason] += count;
    for (auto& [reason, count] : other.ownReasons)
        cell.ownReasons[reason] += count;
}

void histogramAdd(Histogram& histogram, base::Duration duration)
{
    ++histogram[stepOf(duration)];
}

int64_t histogramCount(const Histogram& histogram)
{
    int64_t count = 0;
    for (int64_t step : histogram)
        count += step;
    return count;
}

base::Duration histogramQuantile(const Histogram& histogram, double part)
{
    int64_t count = histogramCount(histogram);
    if (!count)
        return base::Duration::zero();
    auto wanted = static_cast<int64_t>(std::ceil(part * static_cast<double>(count)));
    int64_t seen = 0;
    for (size_t step = 0; step < histogramSteps; ++step) {
        seen += histogram[step];
        if (seen >= wanted)
            return base::durationOf(std::pow(histogramGrowth, static_cast<double>(step)) / 1000);
    }
    return base::Duration::zero();
}

Minute minuteNow()
{
    return std::chrono::duration_cast<std::chrono::minutes>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

json bookToJson(const Book& book)
{
    return { { "accounts", minutesToJson(book.accounts) }, { "subjects", minutesToJson(book.subjects) },
        { "cold_waits", book.coldWaits }, { "first_bytes", book.firstBytes } };
}

Book bookFromJson(const json& object)
{
    Book book;
    book.accounts = minutesFromJson(object.at("accounts"));
    book.subjects = minutesFromJson(object.at("subjects"));
    book.coldWaits = object.at("cold_waits").get<std::map<std::string, Histogram>>();
    book.firstBytes = object.at("first_bytes").get<Histogram>();
    return book;
}

} // namespace rattanshunt::reports
