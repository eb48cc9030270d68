// The records of streams' origins that a daemon writes to the store, and the pace of the writes.
#include "PartLedgerSupport.h"
#include "StoreStandIn.h"
#include "hub/OriginWriter.h"
#include "platform/PlatformCodec.h"
#include "platform/StoreClient.h"
#include "streams/OriginSegments.h"

using namespace rattanshunt;
using namespace rattanshunt::tests;
using namespace rattanshunt::streams;

namespace {

// A store, a daemon that writes origins to it, and another daemon's client.
struct WriterFixture {
    // Holds the answers to writes back.
    struct SlowClient : platform::StoreClient {
        using StoreClient::StoreClient;
        base::Millis answerDelay { 0 };

        coordination::KvTxnResult txn(const std::vector<coordination::KvCompare>& compares,
            const std::vector<coordination::KvWrite>& writes) override
        {
            coordination::KvTxnResult result = StoreClient::txn(compares, writes);
            net::sleepFor(answerDelay);
            return result;
        }
    };

    lab::StoreStandIn store;
    std::unique_ptr<SlowClient> client;
    std::unique_ptr<platform::StoreClient> other;
    std::unique_ptr<hub::OriginWriter> writer;

    explicit WriterFixture(net::Loop& loop)
        : store(loop)
    {
        std::string error;
        cr_assert(store.listen(error));
        platform::StoreClientOptions options;
        options.address = store.address();
        client = std::make_unique<SlowClient>(loop, options);
        other = std::make_unique<platform::StoreClient>(loop, options);
        writer = std::make_unique<hub::OriginWriter>(loop, *client, "a");
        writer->setConditions(true, 1);
        store.saveCopy();
    }
    ~WriterFixture()
    {
        writer->stop();
        while (writer->isWriting())
            net::sleepFor(base::Millis(5));
        store.stop();
    }

    void add(StreamKey key) { writer->add(key, { "engine", "v1", base::BootClock::now() }); }

    std::set<StreamKey> storedKeys() const
    {
        std::set<StreamKey> keys;
        for (const auto& [name, entry] : store.state().entries) {
            for (const StoredOrigin& origin : segmentRead(entry.value))
                keys.insert(origin.key);
        }
        return keys;
    }
};

} // namespace

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

// A restored store gives lease identifiers out again: the writer's may be another daemon's, with which its records end.
Test(origin_segments, records_are_not_bound_to_a_lease_of_another_daemon_after_a_restore, .timeout = 30)
{
    runOnLoop([](net::Loop& loop) {
        WriterFixture fixture(loop);
        fixture.add(1);
        net::sleepFor(base::Millis(300));
        cr_assert_eq(fixture.storedKeys().size(), 1);
        int64_t lease = fixture.store.state().entries.begin()->second.lease;
        fixture.store.restoreCopy();
        cr_assert_eq(fixture.other->leaseGrant(base::Seconds(10)).lease, lease);
        fixture.add(2);
        net::sleepFor(base::Millis(800));
        fixture.other->leaseRevoke(lease);
        cr_expect_eq(fixture.storedKeys().size(), 2);
    });
}

// The store applies a write, is restored, and the writer hears of that before it gets the write's answer.
Test(origin_segments, a_write_that_a_restore_has_undone_is_made_again, .timeout = 30)
{
    runOnLoop([](net::Loop& loop) {
        WriterFixture fixture(loop);
        fixture.add(1);
        net::sleepFor(base::Millis(300));
        fixture.client->answerDelay = base::Millis(200);
        fixture.add(2);
        while (fixture.storedKeys().size() < 2)
            net::sleepFor(base::Millis(1));
        fixture.store.restoreCopy();
        fixture.writer->seeStoreEra(fixture.store.era());
        net::sleepFor(base::Millis(1200));
        cr_expect_eq(fixture.storedKeys().size(), 2);
    });
}

Test(origin_segments, only_a_later_era_of_the_store_makes_records_count_as_unwritten)
{
    OriginSegments segments;
    cr_expect_not(segmentsSeeEra(segments, 3), "the first one that is known");
    segmentsAdd(segments, 1, { "engine", "v1", bootAt(0) });
    segmentsRecordWritten(segments, { { 1, 1 } }, segments.losses);
    cr_expect_not(segmentsSeeEra(segments, 3));
    cr_expect_not(segmentsSeeEra(segments, 2), "told by a daemon that has not read since");
    cr_expect_not(segmentIsUnwritten(segments.segments[0]));
    uint64_t losses = segments.losses;
    cr_expect(segmentsSeeEra(segments, 4));
    cr_expect(segmentIsUnwritten(segments.segments[0]));
    segmentsRecordWritten(segments, { { 1, 1 } }, losses);
    cr_expect(segmentIsUnwritten(segments.segments[0]), "the write was begun in the era before");
    segmentsRecordWritten(segments, { { 1, 1 } }, segments.losses);
    cr_expect_not(segmentIsUnwritten(segments.segments[0]));
}
