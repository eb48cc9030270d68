// Output of benchmark tables as Markdown and JSON.
#include "Bench.h"

#include <algorithm>

#include <fmt/format.h>

namespace rattanshunt::lab {

std::string benchText(const BenchTable& table)
{
    std::vector<size_t> widths;
    for (size_t column = 0; column < table.columns.size(); ++column) {
        size_t width = table.columns[column].size();
        for (const BenchRow& row : table.rows)
            width = std::max(width, row.cells[column].size());
        widths.push_back(width);
    }
    auto line = [&](const std::vector<std::string>& cells) {
        std::string text = "|";
        for (size_t column = 0; column < cells.size(); ++column)
            text += fmt::format(" {:<{}} |", cells[column], widths[column]);
        return text + "\n";
    };
    std::string text = table.title + "\n\n" + line(table.columns) + "|";
    for (size_t width : widths)
        text += " " + std::string(width, '-') + " |";
    text += "\n";
    for (const BenchRow& row : table.rows)
        text += line(row.cells);
    for (const std::string& note : table.notes)
        text += "\n" + note + ".\n";
    return text;
}

nlohmann::json benchJson(const BenchTable& table)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const BenchRow& row : table.rows) {
        nlohmann::json object;
        for (size_t column = 0; column < table.columns.size(); ++column)
            object[table.columns[column]] = row.cells[column];
        rows.push_back(std::move(object));
    }
    return { { "title", table.title }, { "rows", std::move(rows) }, { "notes", table.notes } };
}

} // namespace rattanshunt::lab
