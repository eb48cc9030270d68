#include "ReplicaStandInImpl.h"

namespace rattanshunt::lab {

using Json = nlohmann::json;

std::string requestKey(const net::HttpRequest& request)
{
    static constexpr std::string_view bodyPrefix = "body of ";
    std::string id(net::httpHeader(request.headers, "Request-Id"));
    return id.empty() && request.body.starts_with(bodyPrefix) ? request.body.substr(bodyPrefix.size()) : id;
}

std::map<std::string, int> ReplicaHistory::executionsByRequest() const
{
    std::map<std::string, int> counts;
    for (const RequestExecution& execution : executions)
        ++counts[execution.requestId];
    return counts;
}

ReplicaStandIn::ReplicaStandIn(net::Loop& loop, ReplicaStandInOptions options)
    : m_impl(std::make_shared<Impl>(loop, std::move(options)))
{
}

ReplicaStandIn::~ReplicaStandIn() = default;

bool ReplicaStandIn::listen(std::string& error)
{
    return m_impl->listen({ "127.0.0.1", 0 }, error);
}

void ReplicaStandIn::stop()
{
    m_impl->isStopped = true;
    m_impl->server->stopAccepting();
    m_impl->server->closeAll();
}

std::string ReplicaStandIn::entry(bool isDraining, std::optional<base::Address> advertisedAddress)
{
    auto& drainPeriods = m_impl->drainPeriods;
    bool isLeaving = !drainPeriods.empty() && drainPeriods.back().second == base::timeNever;
    if (isDraining && !isLeaving)
        drainPeriods.emplace_back(base::Clock::now(), base::timeNever);
    if (!isDraining && isLeaving)
        drainPeriods.back().second = base::Clock::now();
    return Json {
        { "service", m_impl->options.service },
        { "address", base::formatAddress(advertisedAddress.value_or(address())) },
        { "zone", m_impl->options.dataCenter }, { "version", m_impl->options.version },
        { "slots", m_impl->options.batchSlots }, { "state", isDraining ? "draining" : "ready" },
        { "coldLeftMs", m_impl->coldLeftMillis() }, { "models", m_impl->modelsJson() },
        { "sequence", ++m_impl->entrySequence }, { "born", m_impl->startedAtMillis }
    }.dump();
}

void ReplicaStandIn::restart()
{
    m_impl->forgetState();
}

void ReplicaStandIn::crash(const std::string& part)
{
    m_impl->crash(part);
}
void ReplicaStandIn::setOnStarted(std::function<void()> onStarted)
{
    m_impl->onStarted = std::move(onStarted);
}
const std::string& ReplicaStandIn::id() const
{
    return m_impl->options.id;
}

base::Address ReplicaStandIn::address() const
{
    return m_impl->server->address;
}
void ReplicaStandIn::setProcessingTime(base::Millis time)
{
    m_impl->options.processingTime = time;
}
ReplicaStandInFaults& ReplicaStandIn::faults()
{
    return m_impl->faults;
}
const ReplicaHistory& ReplicaStandIn::history() const
{
    return m_impl->history;
}
const std::vector<std::pair<base::TimePoint, base::TimePoint>>& ReplicaStandIn::drainPeriods() const
{
    return m_impl->drainPeriods;
}
const std::set<std::string>& ReplicaStandIn::loadedModels() const
{
    return m_impl->loadedModels;
}

} // namespace rattanshunt::lab
