#include "base/Counters.h"

#include <list>
#include <memory>
#include <mutex>
#include <unordered_map>

#include <fmt/format.h>

namespace rattanshunt::base {

namespace {
    struct NameHash {
        using is_transparent = void;
        size_t operator()(std::string_view name) const { return std::hash<std::string_view>()(name); }
    };

    struct CounterSet {
        std::mutex mutex;
        std::unordered_map<std::string, int64_t, NameHash, std::equal_to<>> values;
    };

    std::mutex s_setsMutex;
    std::list<std::shared_ptr<CounterSet>> s_sets;

    CounterSet& threadSet()
    {
        thread_local std::shared_ptr<CounterSet> set = [] {
            auto created = std::make_shared<CounterSet>();
            std::lock_guard lock(s_setsMutex);
            s_sets.push_back(created);
            return created;
        }();
        return *set;
    }
} // namespace

void counterAdd(std::string_view name, int64_t amount)
{
    CounterSet& set = threadSet();
    std::lock_guard lock(set.mutex);
    auto found = set.values.find(name);
    if (found == set.values.end())
        set.values.emplace(name, amount);
    else
        found->second += amount;
}

void counterAddLabelled(std::string_view name, std::string_view label, std::string_view value, int64_t amount)
{
    fmt::memory_buffer full;
    fmt::format_to(std::back_inserter(full), "{}{{{}=\"{}\"}}", name, label, value);
    counterAdd(std::string_view(full.data(), full.size()), amount);
}

std::map<std::string, int64_t> countersRead()
{
    std::map<std::string, int64_t> sums;
    std::lock_guard lock(s_setsMutex);
    for (auto& set : s_sets) {
        std::lock_guard setLock(set->mutex);
        for (auto& [name, value] : set->values)
            sums[name] += value;
    }
    return sums;
}

std::string countersText()
{
    std::string text;
    for (auto& [name, value] : countersRead())
        text += fmt::format("{} {}\n", name, value);
    return text;
}

} // namespace rattanshunt::base
