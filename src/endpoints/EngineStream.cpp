#include "endpoints/EngineStream.h"
#include "base/Json.h"

#include <cstdio>

namespace rattanshunt::endpoints {

using nlohmann::json;

namespace {
    constexpr std::string_view dataPrefix = "data: ";
    constexpr std::string_view endOfStreamData = "[DONE]";
    constexpr std::string_view eventEnd = "\n\n";

    std::string_view eventData(std::string_view event)
    {
        if (!event.starts_with(dataPrefix))
            return {};
        event.remove_prefix(dataPrefix.size());
        return event.substr(0, event.find('\n'));
    }

    void processEvent(EngineStream& stream, std::string_view event)
    {
        std::string_view data = eventData(event);
        if (data == endOfStreamData) {
            stream.isDone = true;
            return;
        }
        if (data.empty())
            return;
        json object = base::jsonTryParse(data);
        if (!engineResponseMatches(object, stream.requestId)) {
            stream.hasForeignEvent = true;
            return;
        }
        stream.usageTokens = std::max(stream.usageTokens, engineUsageTokens(object));
        if (object.contains("choices") && !object["choices"].empty())
            ++stream.outputTokens;
    }
}

std::string engineRequestBody(
    const json& callerBody, bool isStream, resources::PriorityClass priority, size_t resumeFrom)
{
    json body = callerBody;
    body["stream"] = isStream;
    body["priority"] = static_cast<int>(priority);
    body.erase("value");
    if (resumeFrom)
        body["resume_from"] = resumeFrom;
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<EngineLoad> engineLoadParse(const std::vector<net::HttpHeader>& headers)
{
    std::string text(net::httpHeader(headers, "X-Load"));
    EngineLoad load;
    if (text.empty() || std::sscanf(text.c_str(), "%d,%d,%d", &load.running, &load.waiting, &load.batchSlots) != 3)
        return std::nullopt;
    return load;
}

std::string engineStreamFeed(EngineStream& stream, std::string_view bytes)
{
    stream.partialEvent += bytes;
    size_t from = 0;
    size_t end;
    while (!stream.hasForeignEvent && (end = stream.partialEvent.find(eventEnd, from)) != std::string::npos) {
        processEvent(stream, std::string_view(stream.partialEvent).substr(from, end - from));
        if (!stream.hasForeignEvent)
            from = end + eventEnd.size();
    }
    std::string completeEvents = stream.partialEvent.substr(0, from);
    stream.partialEvent.erase(0, from);
    return completeEvents;
}

std::string engineEventsText(std::string_view events)
{
    std::string text;
    while (!events.empty()) {
        size_t end = events.find(eventEnd);
        json object = base::jsonTryParse(eventData(events.substr(0, end)));
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

bool engineResponseMatches(const json& response, const std::string& requestId)
{
    return response.is_object() && response.contains("id") && response["id"] == requestId;
}

double engineUsageTokens(const json& response)
{
    if (!response.is_object() || !response.contains("usage") || !response["usage"].is_object())
        return 0;
    double sum = 0;
    for (const char* field : { "prompt_tokens", "completion_tokens" }) {
        auto found = response["usage"].find(field);
        if (found != response["usage"].end() && found->is_number())
            sum += found->get<double>();
    }
    return sum;
}

} // namespace rattanshunt::endpoints
