// Writes the origins of the streams that this daemon served to the store, while a service has several versions.
//
// Contents
//   [1] OriginWriter
//
// The records stay for originLeaseTime after the last write, also if the process is gone: they are bound to a lease
// that nobody ends. Call from the owning thread only. Nothing suspends the caller; the writes are made on a fiber.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "coordination/Kv.h"
#include "net/Loop.h"
#include "streams/OriginSegments.h"

namespace rattanshunt::hub {

// Then the daemon's incarnation and a number. Sorts before all other keys, so that the reads in each interval can leave
// these records out: there may be hundreds, and they are needed for take-ups only.
inline constexpr const char* originSegmentPrefix = "live-streams/";
inline constexpr base::Seconds originLeaseTime { 120 };
inline constexpr base::Seconds originLeaseRenewal { 30 }; // between two renewals

// ---- [1] OriginWriter --------------------------------------------------------------------------

class OriginWriter {
public:
    // `incarnation` must differ from that of any other process.
    OriginWriter(net::Loop&, coordination::Kv&, const std::string& incarnation);

    void add(streams::StreamKey, const streams::StreamOrigin&);

    // Whether origins are worth a write now, and by how many daemons the pace is shared.
    void setConditions(bool areVersionsMixed, size_t members);

    // Call with the store's era, by whatever path it becomes known. What was written in an earlier one is written
    // again.
    void seeStoreEra(int64_t era);

    void stop(); // begins no other write
    bool isWriting() const { return m_isWriting; }

private:
    void wake();
    void writeAll();
    bool write();
    void forgetWritten();
    void renumber(const streams::WrittenCounts&);
    bool ensureLease(base::BootTime now);
    std::string keyOf(uint64_t number) const;

    net::Loop& m_loop;
    coordination::Kv& m_kv;
    std::string m_prefix;
    streams::OriginSegments m_segments;
    std::vector<uint64_t> m_expired; // numbers of segments that are to be deleted
    bool m_areVersionsMixed = false;
    size_t m_members = 1;
    bool m_isWriting = false;
    bool m_isStopped = false;
    int m_refusals = 0; // in a row
    base::BootTime m_writtenAt {};
    int64_t m_lease = 0; // 0: there is none
    base::BootTime m_leaseRenewedAt {};
};

} // namespace rattanshunt::hub
