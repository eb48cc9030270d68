#include "net/Tap.h"

#include <atomic>
#include <mutex>

namespace rattanshunt::net {

namespace {
    std::mutex s_mutex;
    std::function<void(const TapRecord&)> s_receiver;
    std::atomic<bool> s_isOn { false };
}

void tapSet(std::function<void(const TapRecord&)> receiver)
{
    std::lock_guard lock(s_mutex);
    s_receiver = std::move(receiver);
    s_isOn = static_cast<bool>(s_receiver);
}

bool tapIsOn()
{
    return s_isOn.load(std::memory_order_relaxed);
}

void tapEmit(const TapRecord& record)
{
    std::lock_guard lock(s_mutex);
    if (s_receiver)
        s_receiver(record);
}

} // namespace rattanshunt::net
