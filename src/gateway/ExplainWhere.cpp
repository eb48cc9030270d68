#include "gateway/ExplainWhere.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <fmt/format.h>

namespace rattanshunt::gateway {

using Json = nlohmann::json;

namespace {

    constexpr std::array textFields { "host", "path", "account", "model", "adapter", "id" };
    constexpr std::array numberFields { "output_tokens", "body_bytes" };

    // In the order in which they are read.
    constexpr std::array answerParts { "decision", "route", "usage", "other_data_centers", "candidates",
        "candidate_count", "excluded", "knowledge" };

    std::optional<double> parseNumber(std::string_view text)
    {
        double value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        bool isNumber = error == std::errc {} && end == text.data() + text.size() && value >= 0 && value < 1e12;
        return isNumber ? std::optional(value) : std::nullopt;
    }

    // "ID:TOKENS,ID:TOKENS"; nothing if it is malformed.
    std::optional<Json> parseParts(std::string_view text)
    {
        Json parts = Json::array();
        while (!text.empty()) {
            std::string_view part = text.substr(0, text.find(','));
            text.remove_prefix(std::min(text.size(), part.size() + 1));
            size_t colon = part.rfind(':');
            auto tokens = colon == std::string_view::npos ? std::nullopt : parseNumber(part.substr(colon + 1));
            if (!tokens || colon == 0)
                return std::nullopt;
            parts.push_back({ std::string(part.substr(0, colon)), *tokens });
        }
        return parts;
    }

    bool isFlat(const Json& value)
    {
        return std::none_of(value.begin(), value.end(), [](const Json& item) { return item.is_structured(); });
    }

    void writeText(std::string& text, const Json& value, size_t depth)
    {
        std::string indent(2 * depth, ' ');
        for (const auto& [name, item] : value.items()) {
            std::string label = value.is_array() ? "-" : name;
            if (item.is_structured() && !isFlat(item)) {
                text += fmt::format("{}{}\n", indent, label);
                writeText(text, item, depth + 1);
                continue;
            }
            std::string line;
            for (const auto& [part, leaf] : item.items()) {
                std::string shown = leaf.is_string() ? leaf.get<std::string>() : leaf.dump();
                bool hasName = item.is_object();
                line += fmt::format(" {}{}{}", hasName ? part : "", hasName ? "=" : "", shown);
            }
            text += fmt::format("{}{}{}\n", indent, label, line);
        }
    }

} // namespace

std::optional<Json> whereQuestionFromArguments(const std::vector<std::string>& arguments, std::string& fault)
{
    Json question = Json::object();
    for (const std::string& argument : arguments) {
        size_t equals = argument.find('=');
        std::string name = argument.substr(0, equals);
        std::string value = equals == std::string::npos ? "" : argument.substr(equals + 1);
        bool isText = std::find(textFields.begin(), textFields.end(), name) != textFields.end();
        bool isNumber = std::find(numberFields.begin(), numberFields.end(), name) != numberFields.end();
        auto number = isNumber ? parseNumber(value) : std::nullopt;
        auto parts = name == "parts" ? parseParts(value) : std::nullopt;
        if (equals != std::string::npos && isText)
            question[name] = value;
        else if (number)
            question[name] = *number;
        else if (parts)
            question[name] = *parts;
        else {
            fault = fmt::format("\"{}\" is not FIELD=VALUE with a field of the question", argument);
            return std::nullopt;
        }
    }
    return question;
}

WhereQuestion whereQuestionRead(const Json& json)
{
    WhereQuestion question;
    question.head.host = json.value("host", "");
    question.head.id = json.value("id", "explained");
    question.head.model = json.value("model", "");
    question.head.adapter = json.value("adapter", "");
    question.path = json.value("path", "/");
    question.account = json.value("account", "");
    question.bodyBytes = static_cast<size_t>(std::clamp(json.value("body_bytes", 0.0), 0.0, 1e12));
    question.head.maxOutputTokens = json.value("output_tokens", 0.0);
    for (const Json& part : json.value("parts", Json::array())) {
        question.head.promptSegments.push_back({ part.at(0).get<std::string>(), part.at(1).get<double>() });
        question.head.promptTokens += question.head.promptSegments.back().tokens;
    }
    if (question.head.promptTokens + question.head.maxOutputTokens > 0)
        question.head.totalTokens = question.head.promptTokens + question.head.maxOutputTokens;
    return question;
}

std::string whereText(const Json& answer)
{
    std::string text;
    for (const char* part : answerParts) {
        if (answer.contains(part))
            writeText(text, Json { { part, answer.at(part) } }, 0);
    }
    return text;
}

} // namespace rattanshunt::gateway
