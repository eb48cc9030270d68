// The records of streams' origins that a daemon writes to the store, and the pace of the writes.
#include "PartLedgerSupport.h"
#include "hub/OriginWriter.h"
#include "platform/PlatformCodec.h"
#include "streams/OriginSegments.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;
using namespace rattanshunt::streams;

Test(origin_segments, what_is_written_is_read)
{
    OriginSegments segments;
    segmentsAdd(segments, 1, { "engine", "v1", bootAt(0) });
    segmentsAdd(segments, UINT64_MAX, { "engine", "v2", bootAt(1) });
    segmentsAdd(segments, 0x8000000000000000, { "other", "v1", bootAt(2) });
    cr_assert_eq(segments.segments.size(), 1);
    std::map<StreamKey, std::string> read;
    for (const StoredOrigin& origin : segmentRead(segmentText(segments.segments[0])))
        read[origin.key] = origin.service + "/" + origin.version;
    std::map<StreamKey, std::string> expected { { 1, "engine/v1" }, { UINT64_MAX, "engine/v2" },
        { 0x8000000000000000, "other/v1" } };
    cr_expect(read == expected);
}

Test(origin_segments, unreadable_rows_are_left_out)
{
    for (const char* text : { "", "[]", "{}", "{\"streams\":{}}", "{\"streams\":[1,[],[1,2,3],[\"a\",\"b\",\"?\"]]}" })
        cr_expect(segmentRead(text).empty(), "%s", text);
    std::string text = R"({"streams":[["a","b",3],["engine","v1","AAAAAAAAAAE="],["engine","v1","AAAA"]]})";
    cr_assert_eq(segmentRead(text).size(), 1);
    cr_expect_eq(segmentRead(text)[0].key, 1);
}

// Thousands of streams must not make one write longer and longer.
Test(origin_segments, a_write_is_bounded_and_old_segments_are_dropped)
{
    OriginSegments segments;
    for (size_t i = 0; i < 5000; ++i)
        segmentsAdd(segments, i, { "engine", "v1", bootAt(static_cast<double>(i) * 10) });
    cr_expect_eq(segments.segments.size(), 5);
    for (OriginSegment& segment : segments.segments) {
        cr_expect(segmentIsUnwritten(segment));
        cr_expect_lt(segmentText(segment).size(), 16 * 1024);
        segment.writtenCount = segment.count;
        cr_expect_not(segmentIsUnwritten(segment));
    }
    std::vector<uint64_t> expired = segmentsExpire(segments, bootAt(0) + originLifetime + base::Millis(10000));
    cr_expect_eq(expired.size(), 1);
    cr_expect_eq(segments.segments.size(), 4);
    segmentsForget(segments);
    cr_expect(segmentIsUnwritten(segments.segments[0]));
    segments.segments.clear();
    segmentsAdd(segments, 1, { "engine", "v1", bootAt(0) });
    cr_expect_eq(segments.segments[0].number, 6, "a key is not used twice");
}

Test(origin_segments, the_fleet_writes_no_more_than_the_store_bears)
{
    for (size_t members : { 1, 3, 19, 135, 295, 410 }) {
        double perSecond = static_cast<double>(members) / base::secondsOf(originWriteInterval(members, 0));
        cr_expect_leq(perSecond, 801, "%zu daemons: %.0f writes a second", members, perSecond);
        cr_expect_leq(base::secondsOf(originWriteInterval(members, 0)), 0.6);
    }
    cr_expect(originWriteInterval(1, 0) == minOriginWriteInterval);
    cr_expect(originWriteInterval(1, 1) == 2 * minOriginWriteInterval);
    cr_expect(originWriteInterval(1, 1000) == maxOriginWriteInterval);
}

// A read of the store begins after these records.
Test(origin_segments, their_keys_sort_before_all_others)
{
    std::string end = coordination::kvPrefixEnd(hub::originSegmentPrefix);
    gateway::WireCodec codec = platform::wireCodecCreate();
    for (const std::string& key : { codec.configurationKey, codec.entryPrefix, std::string("rs/") })
        cr_expect_lt(end, key, "%s", key.c_str());
}
