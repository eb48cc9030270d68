// Splits a stream of server-sent events into complete events.
//
// Pure functions; the calling thread owns the data.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanshunt::gateway {

// State of one stream, across all replicas that produced parts of it.
struct EventSplitter {
    std::string partial;         // bytes of an incomplete event
    std::string lastId;          // id of the last event that eventsSplit() returned; empty: none yet
    uint64_t completeEvents = 0; // events with an id that eventsSplit() returned
};

// Adds received bytes and returns all events that are now complete, unchanged. Events whose numeric id is not above the
// last one's are left out, because a replica that resumes a stream may send events again.
std::string eventsSplit(EventSplitter&, std::string_view bytes);

// Discards an incomplete event. Call before another replica resumes the stream.
void eventsDropPartial(EventSplitter&);

// The value of the event's id field, if it has one.
std::optional<std::string_view> eventId(std::string_view event);

} // namespace rattanshunt::gateway
