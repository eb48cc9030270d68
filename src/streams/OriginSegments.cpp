#include "streams/OriginSegments.h"

#include <algorithm>

#include "base/Json.h"
#include "base/Text.h"

namespace rattanshunt::streams {

using base::BootTime;
using Json = nlohmann::json;

namespace {

    constexpr size_t keyBytes = sizeof(StreamKey);

    // Big-endian, so that daemons of all machines read the same.
    std::string packKeys(const std::vector<StreamKey>& keys)
    {
        std::string bytes;
        bytes.reserve(keys.size() * keyBytes);
        for (StreamKey key : keys) {
            for (size_t i = 0; i < keyBytes; ++i)
                bytes += static_cast<char>(key >> (8 * (keyBytes - 1 - i)) & 0xff);
        }
        return bytes;
    }

    std::vector<StreamKey> unpackKeys(std::string_view bytes)
    {
        std::vector<StreamKey> keys;
        for (; bytes.size() >= keyBytes; bytes.remove_prefix(keyBytes)) {
            StreamKey key = 0;
            for (unsigned char byte : bytes.substr(0, keyBytes))
                key = key << 8 | byte;
            keys.push_back(key);
        }
        return keys;
    }

} // namespace

void segmentsAdd(OriginSegments& segments, StreamKey key, const StreamOrigin& origin)
{
    if (segments.segments.empty() || segments.segments.back().count >= maxSegmentOrigins) {
        segments.segments.emplace_back();
        segments.segments.back().number = ++segments.lastNumber;
    }
    OriginSegment& segment = segments.segments.back();
    segment.keys[{ origin.service, origin.version }].push_back(key);
    ++segment.count;
    segment.newestAt = std::max(segment.newestAt, origin.recordedAt);
}

std::vector<uint64_t> segmentsExpire(OriginSegments& segments, BootTime now)
{
    std::vector<uint64_t> written;
    while (!segments.segments.empty() && now - segments.segments.front().newestAt > originLifetime) {
        if (segments.segments.front().writtenCount)
            written.push_back(segments.segments.front().number);
        segments.segments.pop_front();
    }
    return written;
}

void segmentsForget(OriginSegments& segments)
{
    for (OriginSegment& segment : segments.segments)
        segment.writtenCount = 0;
    ++segments.losses;
}

bool segmentsSeeEra(OriginSegments& segments, int64_t era)
{
    bool isRestored = segments.storeEra && era > *segments.storeEra;
    segments.storeEra = std::max(segments.storeEra.value_or(era), era);
    if (isRestored)
        segmentsForget(segments);
    return isRestored;
}

void segmentsRecordWritten(OriginSegments& segments, const WrittenCounts& counts, uint64_t losses)
{
    if (losses != segments.losses)
        return;
    for (auto [number, count] : counts) {
        for (OriginSegment& segment : segments.segments) {
            if (segment.number == number)
                segment.writtenCount = std::max(segment.writtenCount, count);
        }
    }
}

std::string segmentText(const OriginSegment& segment)
{
    Json rows = Json::array();
    for (const auto& [group, keys] : segment.keys)
        rows.push_back({ group.first, group.second, base::base64Encode(packKeys(keys)) });
    return Json { { "streams", std::move(rows) } }.dump();
}

std::vector<StoredOrigin> segmentRead(const std::string& text)
{
    std::vector<StoredOrigin> origins;
    Json json = base::jsonTryParse(text);
    if (!json.is_object() || !json.contains("streams") || !json.at("streams").is_array())
        return origins;
    for (const Json& row : json.at("streams")) {
        bool isReadable = row.is_array() && row.size() >= 3
            && std::all_of(row.begin(), row.begin() + 3, [](const Json& field) { return field.is_string(); });
        auto bytes = isReadable ? base::base64Decode(row[2].get_ref<const std::string&>()) : std::nullopt;
        for (StreamKey key : unpackKeys(bytes.value_or("")))
            origins.push_back({ key, row[0].get<std::string>(), row[1].get<std::string>() });
    }
    return origins;
}

base::Duration originWriteInterval(size_t members, int refusals)
{
    base::Duration interval = std::max<base::Duration>(
        minOriginWriteInterval, originWriteIntervalPerMember * static_cast<int64_t>(members));
    for (int i = 0; i < refusals && interval < maxOriginWriteInterval; ++i)
        interval *= 2;
    return refusals ? std::min<base::Duration>(interval, maxOriginWriteInterval) : interval;
}

} // namespace rattanshunt::streams
