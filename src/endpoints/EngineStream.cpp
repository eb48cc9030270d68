#include "endpoints/EngineStream.h"

#include <cstdio>

namespace rattanshunt::endpoints {

using nlohmann::json;

namespace {
    constexpr std::string_view dataPrefix = "data: ";
    constexpr std::string_view endMark = "[DONE]";
    constexpr std::string_view eventEnd = "\n\n";

    std::string_view eventData(std::string_view event)
    {
        if (!event.starts_with(dataPrefix))
            return {};
        event.remove_prefix(dataPrefix.size());
        return event.substr(0, event.find('\n'));
    }

    void takeEvent(EngineStream& stream, std::string_view event)
    {
        std::string_view data = eventData(event);
        if (data == endMark) {
            stream.isDone = true;
            return;
        }
        if (data.empty())
            return;
        json object = json::parse(data, nullptr, false);
        if (!engineAnswerMatches(object, stream.requestId)) {
            stream.isForeign = true;
            return;
        }
        stream.usedTokens = std::max(stream.usedTokens, engineUsage(object));
        if (object.contains("choices") && !object["choices"].empty())
            ++stream.tokens;
    }
}

std::string engineBody(const json& callerBody, bool isStream, resources::ValueClass value, size_t resumeFrom)
{
    json body = callerBody;
    body["stream"] = isStream;
    body["priority"] = static_cast<int>(value);
    body.erase("value");
    if (resumeFrom)
        body["resume_from"] = resumeFrom;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<EngineLoad> engineLoadRead(const std::vector<net::HttpHeader>& headers)
{
    std::string text(net::httpHeader(headers, "X-Load"));
    EngineLoad load;
    if (text.empty() || std::sscanf(text.c_str(), "%d,%d,%d", &load.running, &load.waiting, &load.slots) != 3)
        return std::nullopt;
    return load;
}

std::string engineStreamTake(EngineStream& stream, std::string_view bytes)
{
    stream.pending += bytes;
    size_t from = 0;
    size_t end;
    while (!stream.isForeign && (end = stream.pending.find(eventEnd, from)) != std::string::npos) {
        takeEvent(stream, std::string_view(stream.pending).substr(from, end - from));
        if (!stream.isForeign)
            from = end + eventEnd.size();
    }
    std::string whole = stream.pending.substr(0, from);
    stream.pending.erase(0, from);
    return whole;
}

std::string engineStreamText(std::string_view events)
{
    std::string text;
    while (!events.empty()) {
        size_t end = events.find(eventEnd);
        json object = json::parse(eventData(events.substr(0, end)), nullptr, false);
        if (object.is_object() && object.contains("choices")) {
            for (const json& choice : object["choices"]) {
                if (choice.is_object() && choice.contains("text") && choice["text"].is_string())
                    text += choice["text"].get_ref<const std::string&>();
            }
        }
        if (end == std::string_view::npos)
            break;
        events.remove_prefix(end + eventEnd.size());
    }
    return text;
}

bool engineAnswerMatches(const json& answer, const std::string& requestId)
{
    return answer.is_object() && answer.contains("id") && answer["id"] == requestId;
}

double engineUsage(const json& answer)
{
    if (!answer.is_object() || !answer.contains("usage") || !answer["usage"].is_object())
        return 0;
    double sum = 0;
    for (const char* field : { "prompt_tokens", "completion_tokens" }) {
        auto found = answer["usage"].find(field);
        if (found != answer["usage"].end() && found->is_number())
            sum += found->get<double>();
    }
    return sum;
}

} // namespace rattanshunt::endpoints
