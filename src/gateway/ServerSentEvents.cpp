#include "gateway/ServerSentEvents.h"

#include <charconv>

namespace rattanshunt::gateway {

namespace {

    std::optional<uint64_t> parseNumber(std::string_view text)
    {
        uint64_t value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    // Length of the event at the start of `text`, including its blank line; nothing if it is incomplete.
    std::optional<size_t> eventLength(std::string_view text)
    {
        size_t at = 0;
        while (true) {
            size_t end = text.find('\n', at);
            if (end == std::string_view::npos)
                return std::nullopt;
            std::string_view line = text.substr(at, end - at);
            if (line.empty() || line == "\r")
                return end + 1;
            at = end + 1;
        }
    }

} // namespace

std::optional<std::string_view> eventId(std::string_view event)
{
    size_t at = 0;
    while (at < event.size()) {
        size_t end = event.find('\n', at);
        std::string_view line = event.substr(at, end == std::string_view::npos ? end : end - at);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            if (line.starts_with(' '))
                line.remove_prefix(1);
            return line;
        }
        if (end == std::string_view::npos)
            break;
        at = end + 1;
    }
    return std::nullopt;
}

std::string eventsSplit(EventSplitter& splitter, std::string_view bytes)
{
    splitter.partial += bytes;
    std::string complete;
    size_t at = 0;
    std::string_view buffered = splitter.partial;
    while (auto length = eventLength(buffered.substr(at))) {
        std::string_view event = buffered.substr(at, *length);
        at += *length;
        auto id = eventId(event);
        if (id && !splitter.lastId.empty()) {
            auto number = parseNumber(*id);
            auto lastNumber = parseNumber(splitter.lastId);
            if (number && lastNumber && *number <= *lastNumber)
                continue;
        }
        if (id) {
            splitter.lastId = std::string(*id);
            ++splitter.completeEvents;
        }
        complete += event;
    }
    splitter.partial.erase(0, at);
    return complete;
}

void eventsDropPartial(EventSplitter& splitter)
{
    splitter.partial.clear();
}

} // namespace rattanshunt::gateway
