// Fleet membership, the mirror of the key-value service, freshness of its data, and authenticated frames between
// daemons.
#include "Support.h"
#include "fleet/Members.h"
#include "fleet/Mirror.h"
#include "net/PeerFrames.h"

using namespace rattanshunt;
using namespace rattanshunt::fleet;
using coordination::KvEntry;
using coordination::KvEvent;
using tests::at;

namespace {

KvEvent put(const std::string& key, const std::string& value, Revision revision)
{
    return { false, { key, value, revision, revision, 0 } };
}

Session session(
    const std::string& name, const std::string& center, uint16_t port, const std::string& incarnation = "i1")
{
    return { name, incarnation, { "127.0.0.1", port }, { "127.0.0.1", 1 }, center, SessionState::Ready };
}

} // namespace

Test(mirror, older_changes_are_ignored)
{
    Mirror mirror;
    mirrorApplyEvents(mirror, { put("/rs/a", "new", 10) }, 0);
    mirrorApplyEvents(mirror, { put("/rs/a", "old", 9) }, 0);
    cr_assert_str_eq(mirror.records["/rs/a"].value.c_str(), "new");
    cr_assert_eq(mirror.revision, 10);
    mirrorApplySnapshot(mirror, { { "/rs/a", "older", 3, 3, 0 } }, 8);
    cr_assert_str_eq(mirror.records["/rs/a"].value.c_str(), "new");
}

Test(mirror, all_changes_of_one_transaction_are_applied)
{
    Mirror mirror;
    mirrorApplyEvents(mirror, { put("/rs/a", "1", 5), put("/rs/b", "2", 5) }, 0);
    cr_assert_eq(mirror.records.size(), 2);
}

Test(mirror, peers_synchronize_by_changes_or_by_snapshot)
{
    Mirror source;
    for (Revision revision = 1; revision <= 10; ++revision)
        mirrorApplyEvents(
            source, { put(fmt::format("/rs/k{}", revision % 3), fmt::format("v{}", revision), revision) }, 0);
    source.freshAsOf = at(100);
    Mirror outdated;
    mirrorApplyEvents(outdated, { put("/rs/k1", "v1", 1) }, 0);
    cr_assert(mirrorMerge(outdated, mirrorDelta(source, outdated.revision, 0, at(150)), at(200)));
    cr_assert_eq(outdated.revision, 10);
    cr_assert_str_eq(outdated.records["/rs/k1"].value.c_str(), "v10");
    cr_assert(outdated.freshAsOf == at(150));
    source.history.clear();
    source.historyStartRevision = 10;
    Mirror fresh;
    nlohmann::json delta = mirrorDelta(source, 0, 0, at(300));
    cr_assert(delta.contains("snapshot"));
    cr_assert(mirrorMerge(fresh, delta, at(300)));
    cr_assert_eq(fresh.records.size(), 3);
    cr_assert(!mirrorMerge(fresh, nlohmann::json::array(), at(300)));
}

Test(mirror, a_late_peer_response_does_not_restore_old_records)
{
    Mirror old;
    mirrorApplyEvents(old, { put("/rs/key", "valid", 5) }, 0);
    nlohmann::json lateDelta = mirrorDelta(old, 0, 0, at(0));
    Mirror mirror = old;
    mirrorApplyEvents(mirror, { put("/rs/key", "withdrawn", 6) }, 0);
    mirrorMerge(mirror, lateDelta, at(100));
    cr_assert_str_eq(mirror.records["/rs/key"].value.c_str(), "withdrawn");
    Mirror unprotected = mirror;
    mirrorMerge(unprotected, lateDelta, at(100), { false });
    cr_assert_str_eq(unprotected.records["/rs/key"].value.c_str(), "valid",
        "without refusesOlderRevisions the late delta must restore the old record, else this test proves nothing");
}

Test(mirror, a_head_check_proves_freshness_as_of_its_request_time)
{
    Mirror mirror;
    mirrorApplyEvents(mirror, { put("/rs/a", "1", 5) }, 0);
    mirrorUpdateFreshness(mirror, 6, at(100));
    cr_assert(mirror.freshAsOf == base::TimePoint {});
    mirrorUpdateFreshness(mirror, 5, at(100));
    cr_assert(mirror.freshAsOf == at(100));
}

Test(mirror, key_withdrawals_propagate_and_are_never_removed_by_a_merge)
{
    Mirror source;
    mirrorWithdrawKey(source, "k1");
    Mirror other;
    mirrorMerge(other, mirrorDelta(source, 0, 0, at(0)), at(0));
    cr_assert(other.withdrawnKeys.contains("k1"));
    Mirror empty;
    mirrorMerge(other, mirrorDelta(empty, 0, 0, at(0)), at(0));
    cr_assert(other.withdrawnKeys.contains("k1"));
}

Test(freshness, only_the_majority_side_of_a_partition_keeps_serving)
{
    base::Millis limit(2500);
    cr_assert(freshnessDecide({ at(0), 5, 1 }, at(2000), limit) == Freshness::Fresh);
    // The key-value service is down for all: a daemon that reaches three of five members keeps serving, one that
    // reaches two refuses.
    cr_assert(freshnessDecide({ at(0), 5, 3 }, at(9000), limit) == Freshness::Outage);
    cr_assert(freshnessDecide({ at(0), 5, 2 }, at(9000), limit) == Freshness::CutOff);
    // Half of an even number is not enough: the other half may have accepted a key withdrawal.
    cr_assert(freshnessDecide({ at(0), 4, 2 }, at(9000), limit) == Freshness::CutOff);
    cr_assert(freshnessDecide({ {}, 1, 1 }, at(9000), limit) == Freshness::Outage);
}

Test(members, two_daemons_with_the_same_name_conflict)
{
    Session own = session("d1", "dc-1", 100, "i2");
    cr_assert(sessionConflict(own, std::nullopt) == SessionConflict::None);
    cr_assert(sessionConflict(own, session("d1", "dc-1", 100, "i1")) == SessionConflict::Replace);
    cr_assert(sessionConflict(own, session("d1", "dc-1", 200, "i1")) == SessionConflict::NameInUse);
    cr_assert(sessionConflict(own, own) == SessionConflict::None);
}

Test(members, ownership_moves_only_from_removed_members_and_prefers_the_data_center)
{
    std::vector<Session> sessions;
    for (uint16_t i = 0; i < 12; ++i)
        sessions.push_back(session(fmt::format("d{}", i), i % 2 ? "dc-1" : "dc-2", i));
    std::vector<Session> fewer(sessions.begin(), sessions.end() - 1);
    int movedCount = 0;
    for (int index = 0; index < 300; ++index) {
        std::string name = fmt::format("thing-{}", index);
        std::string before = ownersRank(sessions, name).front().name;
        movedCount += before != "d11" && before != ownersRank(fewer, name).front().name;
        cr_assert_str_eq(ownersRank(sessions, name, "dc-1").front().dataCenter.c_str(), "dc-1");
    }
    cr_assert_eq(movedCount, 0);
    sessions[0].state = SessionState::Leaving;
    for (const Session& owner : ownersRank(sessions, "x"))
        cr_assert(owner.name != "d0");
    cr_assert_eq(relaysOf(sessions, "dc-1", 2).size(), 2);
}

Test(members, records_round_trip_through_their_encoding)
{
    Session own = session("d1", "dc-1", 100);
    own.state = SessionState::Leaving;
    auto read = sessionFromText(sessionToText(own));
    cr_assert(read && read->peerAddress == own.peerAddress && read->state == SessionState::Leaving);
    cr_assert(!sessionFromText("{\"name\":1}"));
    cr_assert(!sessionFromText("nonsense"));
}

Test(peer_frames, frames_decode_only_with_the_same_secret)
{
    net::PeerHandshake handshake { "d1", std::string(16, 'a'), "d2", std::string(16, 'b') };
    net::PeerFrameCodec caller("secret-secret-16", handshake, net::PeerSide::Caller);
    net::PeerFrameCodec listener("secret-secret-16", handshake, net::PeerSide::Listener);
    net::PeerFrameCodec wrongSecret("another-secret-16", handshake, net::PeerSide::Caller);
    auto payload = [](const std::string& frame) { return frame.substr(net::peerLengthBytes); };
    auto decoded = listener.decode(payload(caller.encode({ { "x", 1 } })));
    cr_assert(decoded && (*decoded)["x"] == 1);
    cr_assert(!listener.decode(payload(wrongSecret.encode({ { "x", 1 } }))));
    cr_assert(
        net::peerProof("a", handshake, net::PeerSide::Caller) != net::peerProof("b", handshake, net::PeerSide::Caller));
    cr_assert(net::peerProof("a", handshake, net::PeerSide::Caller)
        != net::peerProof("a", handshake, net::PeerSide::Listener));
}

Test(peer_frames, repeated_reordered_altered_and_reflected_frames_are_rejected)
{
    net::PeerHandshake handshake { "d1", std::string(16, 'a'), "d2", std::string(16, 'b') };
    net::PeerFrameCodec caller("secret-secret-16", handshake, net::PeerSide::Caller);
    net::PeerFrameCodec listener("secret-secret-16", handshake, net::PeerSide::Listener);
    std::string first = caller.encode({ { "n", 1 } }).substr(net::peerLengthBytes);
    std::string second = caller.encode({ { "n", 2 } }).substr(net::peerLengthBytes);
    cr_assert(!listener.decode(second), "a frame out of order was accepted");
    cr_assert(listener.decode(first));
    cr_assert(!listener.decode(first), "a repeated frame was accepted");
    std::string altered = second;
    altered[0] = static_cast<char>(altered[0] ^ 1);
    cr_assert(!listener.decode(altered));
    cr_assert(!caller.decode(second), "a frame reflected to its sender was accepted");
    cr_assert(listener.decode(second));
    cr_assert(!listener.decode("short"));
}

Test(peer_frames, random_bytes_never_decode)
{
    net::PeerHandshake handshake { "d1", std::string(16, 'a'), "d2", std::string(16, 'b') };
    net::PeerFrameCodec listener("secret-secret-16", handshake, net::PeerSide::Listener);
    std::mt19937_64 random(7);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(random() % 200, '\0');
        for (char& c : bytes)
            c = static_cast<char>(random());
        cr_assert(!listener.decode(bytes));
    }
}
