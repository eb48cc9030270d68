// Bounds the memory that a daemon uses for responses that are buffered whole before they are forwarded.
//
// Load pattern: many replicas at once send bodies without end, until the caller closes the connection. Each response
// may use a part that is always granted, which covers usual responses; what it needs beyond comes from one allowance
// for the whole daemon, so that usual responses are served while endless ones are given up.
//
// Own thread only.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "net/MemoryAccount.h"

namespace rattanshunt::gateway {

struct ResponseMemoryOptions {
    size_t grantedBytes = 64 * 1024;          // that every response may use
    size_t maxBytes = 4 * 1024 * 1024;        // of one response
    size_t maxSharedBytes = 16 * 1024 * 1024; // of all responses together, beyond their granted parts
};

// The allowance of one daemon.
struct ResponseMemory {
    ResponseMemoryOptions options;
    size_t sharedBytes = 0;                // in use
    net::MemoryAccount* account = nullptr; // of the process, that all responses draw on; null: none
};

// The part of one response; returned when it is destroyed. Movable. Must not outlive the ResponseMemory.
class ResponseMemoryShare {
public:
    ResponseMemoryShare() = default;
    explicit ResponseMemoryShare(ResponseMemory& memory)
        : m_memory(&memory)
        , m_use(memory.account)
    {
    }
    ResponseMemoryShare(ResponseMemoryShare&& other) noexcept
        : m_memory(std::exchange(other.m_memory, nullptr))
        , m_bytes(std::exchange(other.m_bytes, 0))
        , m_use(std::move(other.m_use))
    {
    }
    ResponseMemoryShare& operator=(ResponseMemoryShare&& other) noexcept
    {
        std::swap(m_memory, other.m_memory);
        std::swap(m_bytes, other.m_bytes);
        m_use = std::move(other.m_use);
        return *this;
    }
    ~ResponseMemoryShare()
    {
        if (m_memory)
            m_memory->sharedBytes -= m_bytes;
    }

    // Sets the size of the response's buffer. False if the response must be given up. Precondition: not moved from.
    bool resize(size_t bytes)
    {
        const ResponseMemoryOptions& options = m_memory->options;
        size_t wanted = std::max(bytes, options.grantedBytes) - options.grantedBytes;
        if (bytes > options.maxBytes || m_memory->sharedBytes - m_bytes + wanted > options.maxSharedBytes)
            return false;
        if (!m_use.resize(bytes))
            return false;
        m_memory->sharedBytes += wanted - m_bytes;
        m_bytes = wanted;
        return true;
    }

    // Appends to the response's buffer, which grows within the limits. False, with `buffer` unchanged, if the response
    // must be given up. Precondition: as of resize(); the share belongs to `buffer`.
    bool append(std::string& buffer, std::string_view bytes)
    {
        size_t size = buffer.size() + bytes.size();
        size_t capacity = buffer.capacity();
        if (size > capacity)
            capacity = std::max(size, std::min(2 * capacity, m_memory->options.maxBytes));
        if (!resize(capacity))
            return false;
        if (capacity > buffer.capacity()) {
            // reserve() of a string that is not empty may take twice its capacity.
            std::string grown;
            grown.reserve(capacity);
            grown += buffer;
            buffer = std::move(grown);
        }
        buffer += bytes;
        return true;
    }

    // Whether a response of `bytes`, for which append() has just failed, may get its memory a little later.
    bool mayWait(size_t bytes, base::TimePoint now)
    {
        net::MemoryAccount* account = m_memory->account;
        if (!account || bytes > m_memory->options.maxBytes)
            return false;
        account->closeStalled(now);
        return true;
    }

private:
    ResponseMemory* m_memory = nullptr;
    size_t m_bytes = 0;
    net::MemoryUse m_use;
};

} // namespace rattanshunt::gateway
