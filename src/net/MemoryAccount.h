// One account of the memory that a process's callers use: request bodies, buffered responses, connections.
//
// Load pattern: clients that nobody controls send many large bodies at once, stop just short of their end and stay
// connected, or stop reading their responses. Together they hold more than the machine's memory. While the account is
// short, what a large request needs is not read; who neither sends nor takes bytes while it holds memory is closed, the
// one that holds most for longest first. A part is open to small requests only, so that they are served meanwhile.
// Another part of the memory, for the process itself and for store, hub and configuration, is outside the account.
//
// Contents
//   [1] Plan            memoryPlan(): the limits that follow from a machine's memory and descriptors
//   [2] Decisions       memoryMayTake(), memoryFindStalled()
//   [3] Account         MemoryAccount, MemoryUse, MemoryWatch: the state, without I/O
//
// Own thread only.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/Time.h"

namespace rattanshunt::net {

// ---- [1] Plan ----------------------------------------------------------------------------------

struct MemoryPlan {
    size_t limitBytes = 0;         // of the account; 0: not limited
    size_t smallOnlyBytes = 0;     // the part of it that is open to small requests only
    size_t receiveBufferBytes = 0; // of a caller's socket; 0: the system's default
    size_t sendBufferBytes = 0;    // the same
    size_t maxConnections = 20000; // of callers
};

constexpr size_t smallRequestBytes = 64 * 1024; // a request that holds no more is a small one
constexpr size_t connectionBytes = 24 * 1024;   // of one connection: its fiber's stack, objects and the system's part

// The memory for the process itself and its control traffic, and the least memory with which a process starts: that
// share and one body of `maxBodyBytes` beside the part for small requests.
size_t memoryReservedBytes(size_t totalBytes);
size_t memoryLeastBytes(size_t maxBodyBytes);

constexpr size_t reservedDescriptors = 400; // files, store, hub, other daemons and replicas
constexpr size_t leastDescriptors = 600;

// `totalBytes` and `maxDescriptors` are those of the machine; 0: unknown.
MemoryPlan memoryPlan(size_t totalBytes, size_t maxDescriptors);

// ---- [2] Decisions -----------------------------------------------------------------------------

// Whether a holder of `held` bytes may take `more`.
bool memoryMayTake(const MemoryPlan&, size_t usedBytes, size_t held, size_t more);

// What one holder uses, and since when it has neither sent nor taken a piece of progressBytes.
struct MemoryHolding {
    size_t bytes = 0;
    std::optional<base::TimePoint> idleSince; // nothing: it does not depend on the caller at present
};

constexpr size_t progressBytes = 16 * 1024;
constexpr base::Millis stallTime { 1000 };     // without progress, after which a holder may be closed
constexpr base::Millis maxMemoryWait { 3000 }; // for memory, before a request is refused
constexpr base::Millis memoryPollInterval { 100 };

// The holder to close while memory is short: of those that have stalled and hold more than a small request, the one
// with the largest product of bytes and time.
std::optional<uint64_t> memoryFindStalled(const std::map<uint64_t, MemoryHolding>&, base::TimePoint now);

// ---- [3] Account -------------------------------------------------------------------------------

class MemoryAccount {
public:
    explicit MemoryAccount(MemoryPlan plan = {})
        : m_plan(plan)
    {
    }

    const MemoryPlan& plan() const { return m_plan; }
    size_t usedBytes() const { return m_usedBytes; }
    bool isLimited() const { return m_plan.limitBytes; }

    // Closes one stalled holder, at most once per memoryPollInterval. Called by those that wait for memory.
    void closeStalled(base::TimePoint now);

    // True, once, after much memory has been freed, so that the C library should return it to the system.
    bool takeTrimRequest(base::TimePoint now);

private:
    friend class MemoryUse;
    friend class MemoryWatch;
    MemoryPlan m_plan;
    size_t m_usedBytes = 0;
    size_t m_peakBytes = 0; // since the last trim
    uint64_t m_lastId = 0;
    std::map<uint64_t, MemoryHolding> m_watched; // those that can be closed
    std::map<uint64_t, std::function<void()>> m_closeHandlers;
    base::TimePoint m_closedAt {};
    base::TimePoint m_trimmedAt {};
};

// What one holder has taken; returned when it is destroyed. Must not outlive the account. Movable.
class MemoryUse {
public:
    MemoryUse() = default;
    explicit MemoryUse(MemoryAccount* account) // null: nothing is accounted for
        : m_account(account)
    {
    }
    MemoryUse(MemoryUse&& other) noexcept { swap(other); }
    MemoryUse& operator=(MemoryUse&& other) noexcept
    {
        swap(other);
        return *this;
    }
    ~MemoryUse() { set(0); }

    // Sets what is held. resize() fails, without an effect, if the account is short; set() never does.
    bool resize(size_t bytes);
    void set(size_t bytes);
    size_t bytes() const { return m_bytes; }

private:
    void swap(MemoryUse& other) noexcept
    {
        std::swap(m_account, other.m_account);
        std::swap(m_bytes, other.m_bytes);
    }

    MemoryAccount* m_account = nullptr;
    size_t m_bytes = 0;
};

// While it exists, `close` is called once if its holder makes no progress while memory is short. `close` must not
// suspend. Does nothing for an account without a limit, or none.
class MemoryWatch {
public:
    MemoryWatch(MemoryAccount*, size_t bytes, std::function<void()> close);
    ~MemoryWatch();
    MemoryWatch(const MemoryWatch&) = delete;
    MemoryWatch& operator=(const MemoryWatch&) = delete;

    void setBytes(size_t bytes);
    void recordProgress(base::TimePoint now);
    void pause(); // until recordProgress(): the holder itself waits for memory

private:
    MemoryHolding* find();

    MemoryAccount* m_account;
    uint64_t m_id = 0; // 0: not watched
};

} // namespace rattanshunt::net
