// Splits a stream of server-sent events into whole events.
//
// Pure; the caller's thread owns the data.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanshunt::gateway {

// What has come of a stream, over all replicas that produced it.
struct EventSplitter {
    std::string partial;         // the beginning of an event
    std::string lastId;          // of the last whole event that was passed on; empty: none yet
    uint64_t completeEvents = 0; // whole events
};

// Takes in bytes and gives all whole events in them, as they came. An event whose number is not above the last one's
// is left out: a replica that continues a stream may repeat it.
std::string eventsSplit(EventSplitter&, std::string_view bytes);

// Forgets a half event, before another replica continues the stream.
void eventsDropPartial(EventSplitter&);

// The value of an event's id line, if it has one.
std::optional<std::string_view> eventId(std::string_view event);

} // namespace rattanshunt::gateway
