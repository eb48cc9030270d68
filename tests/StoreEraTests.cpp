// Replicas' entries, configurations and the orderer's record over eras of the store: what a copy holds is older than
// what is known, although it is read later.
#include <fmt/format.h>

#include "Support.h"
#include "coordination/Kv.h"
#include "directory/Directory.h"
#include "gateway/Configuration.h"
#include "hub/HubTerm.h"
#include "platform/PlatformCodec.h"

using namespace rattanshunt;
using coordination::revisionInEra;

namespace {

struct EraFixture {
    gateway::WireCodec codec = platform::wireCodecCreate();
    directory::Directory directory;

    static directory::RawEntry entry(int64_t revision, int writeCount, const char* state = "ready", int64_t born = 1000)
    {
        std::string value
            = fmt::format(R"({{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":4,)"
                          R"("state":"{}","models":[],"sequence":{},"born":{}}})",
                state, writeCount, born);
        return { "servers/i", value, revision };
    }
    void list(int64_t revision, const std::vector<directory::RawEntry>& entries, bool mayBeLapsed = false)
    {
        directory::directoryApplyList(directory, codec, entries, mayBeLapsed, revision);
    }
    bool isUsable() const
    {
        auto found = directory.replicas.find("i");
        return found != directory.replicas.end() && directory::replicaIsUsable(found->second);
    }
};

} // namespace

Test(store_era, revisions_are_in_order_over_eras)
{
    cr_expect_gt(revisionInEra(2, 1), revisionInEra(1, 1'000'000'000));
    cr_expect_eq(revisionInEra(3, 0), 0, "a key that does not exist has no revision in any era");
    cr_expect_eq(revisionInEra(0, 77), 77, "a store that names no era");
    cr_expect_eq(coordination::revisionNumber(revisionInEra(5, 77)), 77);
    cr_expect_eq(coordination::revisionEra(revisionInEra(5, 77)), 5);
    cr_expect_lt(revisionInEra(coordination::maxEra, (int64_t(1) << coordination::eraShift) - 1), int64_t(1) << 53);
}

Test(store_era, a_draining_replica_stays_so_until_its_process_ends)
{
    EraFixture fixture;
    fixture.list(revisionInEra(1, 50), { EraFixture::entry(revisionInEra(1, 50), 9, "draining") });
    fixture.list(revisionInEra(2, 20), { EraFixture::entry(revisionInEra(2, 20), 4) }, true);
    cr_expect_not(fixture.isUsable(), "the copy's entry is older");
    fixture.list(revisionInEra(2, 30), { EraFixture::entry(revisionInEra(2, 30), 9) }, true);
    cr_expect_not(fixture.isUsable(), "of entries with the same count the one that drains is newer");
    fixture.list(revisionInEra(2, 40), { EraFixture::entry(revisionInEra(2, 40), 1, "ready", 2000) });
    cr_expect(fixture.isUsable(), "another process under the same identifier");
}

Test(store_era, entries_of_the_new_era_take_effect_whatever_their_revision)
{
    EraFixture fixture;
    fixture.list(revisionInEra(1, 50), { EraFixture::entry(revisionInEra(1, 50), 9) });
    fixture.list(revisionInEra(3, 20), { EraFixture::entry(revisionInEra(3, 20), 8) }, true);
    cr_expect(fixture.isUsable());
    fixture.list(revisionInEra(3, 21), { EraFixture::entry(revisionInEra(3, 21), 10, "draining") });
    cr_expect_not(fixture.isUsable());
}

Test(store_era, a_removed_replica_stays_away_until_it_writes_again)
{
    EraFixture fixture;
    fixture.list(revisionInEra(1, 50), { EraFixture::entry(revisionInEra(1, 50), 9) });
    fixture.list(revisionInEra(1, 51), {});
    fixture.list(revisionInEra(2, 20), { EraFixture::entry(revisionInEra(2, 20), 7) }, true);
    cr_expect_not(fixture.isUsable(), "the copy brings it back");
    fixture.list(revisionInEra(2, 25), { EraFixture::entry(revisionInEra(2, 25), 10) });
    cr_expect(fixture.isUsable(), "it lives and writes again");
}

Test(store_era, a_replica_that_the_copy_lacks_lapses_and_may_return_with_the_same_entry)
{
    EraFixture fixture;
    fixture.list(revisionInEra(1, 50), { EraFixture::entry(revisionInEra(1, 50), 9) });
    fixture.list(revisionInEra(2, 20), {}, true);
    cr_expect(fixture.isUsable());
    fixture.list(revisionInEra(2, 21), {});
    cr_expect_not(fixture.isUsable(), "the time for writing it again is over");
    fixture.list(revisionInEra(2, 30), { EraFixture::entry(revisionInEra(2, 30), 9) });
    cr_expect(fixture.isUsable());
}

// A daemon that started after the return has read the copy only; another one knows better.
Test(store_era, an_entry_of_an_earlier_era_from_another_daemon_counts_if_its_replica_wrote_it_later)
{
    EraFixture fixture;
    fixture.list(revisionInEra(2, 20), { EraFixture::entry(revisionInEra(2, 20), 4) });
    directory::directoryApplyChanges(
        fixture.directory, fixture.codec, { EraFixture::entry(revisionInEra(1, 50), 9, "draining") }, {});
    cr_expect_not(fixture.isUsable());
    fixture.list(revisionInEra(2, 22), { EraFixture::entry(revisionInEra(2, 20), 4) });
    cr_expect_not(fixture.isUsable());
}

Test(store_era, configurations_of_different_eras_are_in_the_order_of_their_versions)
{
    using gateway::configurationIsNewer;
    gateway::ConfigurationStamp inForce { 16, revisionInEra(1, 68) };
    cr_expect_not(configurationIsNewer({ 13, revisionInEra(2, 50) }, inForce), "the copy's");
    cr_expect(configurationIsNewer(inForce, { 13, revisionInEra(2, 50) }), "at a daemon that has read the copy only");
    cr_expect(configurationIsNewer({ 16, revisionInEra(2, 60) }, inForce), "written again, perhaps with another text");
    cr_expect(configurationIsNewer({ 17, revisionInEra(2, 61) }, inForce), "at a lower revision number");
    cr_expect(configurationIsNewer({ 15, revisionInEra(1, 69) }, inForce), "within an era the store's order counts");
    cr_expect_not(configurationIsNewer(inForce, inForce));
    cr_expect(configurationIsNewer(inForce, {}), "there is none yet");
}

// The copy names an earlier orderer, this daemon itself perhaps, or none.
Test(store_era, orders_wait_if_the_record_of_the_last_orderer_may_be_a_copy)
{
    using hub::PreviousOrderer;
    using hub::previousOrderer;
    cr_expect(previousOrderer(hub::OrdererRecord { "d1", 1 }, "d1", 1, false) == PreviousOrderer::Self);
    cr_expect(previousOrderer(hub::OrdererRecord { "d2", 1 }, "d1", 1, false) == PreviousOrderer::Another);
    cr_expect(previousOrderer(hub::OrdererRecord { "d1", 1 }, "d1", 2, false) == PreviousOrderer::Unknown);
    cr_expect(previousOrderer(std::nullopt, "d1", 1, false) == PreviousOrderer::Nobody);
    cr_expect(previousOrderer(std::nullopt, "d1", 2, true) == PreviousOrderer::Unknown);
}
