// The traffic threads, and the state that the control thread publishes to them.
#include "cli/DaemonImpl.h"

namespace rattanshunt::cli {

// ---- Traffic threads -------------------------------------------------------------------------

bool Daemon::Impl::startTrafficThreads(std::string& error)
{
    for (size_t i = 0; i < m_settings.trafficThreads; ++i) {
        auto trafficThread = std::make_unique<TrafficThread>();
        TrafficThread* state = trafficThread.get();
        net::Event ready;
        bool isListening = false;
        base::Address address = m_addresses.client;
        trafficThread->thread = std::thread([this, state, &ready, &isListening, &address, &error] {
            state->loop.run([&] {
                state->entry = std::make_unique<entry::RequestServer>(state->loop, *m_context);
                isListening = state->entry->listen(address, error);
                m_loop.post([&ready] { ready.set(); });
                state->stopRequested.waitUntil();
                state->entry->abort();
            });
            state->hasEnded = true;
        });
        ready.waitUntil();
        m_trafficThreads.push_back(std::move(trafficThread));
        if (!isListening)
            return false;
        m_addresses.client = address;
    }
    return true;
}

void Daemon::Impl::onEachTrafficThread(const std::function<void(TrafficThread&)>& task)
{
    for (auto& trafficThread : m_trafficThreads)
        net::runOn(trafficThread->loop, [&] { task(*trafficThread); });
}

void Daemon::Impl::stopTrafficThreads()
{
    for (auto& trafficThread : m_trafficThreads)
        trafficThread->loop.post([state = trafficThread.get()] { state->stopRequested.set(); });
    for (auto& trafficThread : m_trafficThreads) {
        while (!trafficThread->hasEnded)
            net::sleepFor(drainPollInterval);
    }
}

reports::RequestStats Daemon::Impl::readRequestStats() const
{
    reports::RequestStats stats;
    for (auto& trafficThread : m_trafficThreads) {
        if (trafficThread->entry)
            trafficThread->entry->addRequestStatsTo(stats);
    }
    return stats;
}

size_t Daemon::Impl::requestsInFlight() const
{
    size_t sum = 0;
    for (auto& trafficThread : m_trafficThreads)
        sum += trafficThread->requestsInFlight.load();
    return sum;
}

// ---- Publishing ------------------------------------------------------------------------------

void Daemon::Impl::scheduleCatalogPublish()
{
    if (m_isCatalogPublishScheduled)
        return;
    m_isCatalogPublishScheduled = true;
    m_loop.timers().subscribe(base::Clock::now() + catalogPublishDelay, [this] {
        m_isCatalogPublishScheduled = false;
        publishCatalog();
    });
}

void Daemon::Impl::publishCatalog()
{
    auto catalog = resources::catalogBuild(m_fleet->mirror(), m_endpointLoads);
    m_budget->setCatalog(catalog);
    m_placement->setCatalog(catalog);
    m_context->publishCatalog(std::move(catalog));
}

void Daemon::Impl::publishLoop()
{
    fleet::Freshness last = fleet::Freshness::Fresh;
    while (!m_isStopped) {
        base::TimePoint now = base::Clock::now();
        m_context->publishKeyDataFreshUntil(m_fleet->serveUntil(now));
        fleet::Freshness freshness = m_fleet->freshness(now);
        if (freshness != last)
            base::logEvent(freshness == fleet::Freshness::CutOff ? LogLevel::Warning : LogLevel::Info,
                "fleet.freshness",
                { { "state", fleet::freshnessName(freshness) }, { "revision", m_fleet->mirror().revision } });
        last = freshness;
        for (auto& trafficThread : m_trafficThreads)
            trafficThread->loop.post(
                [state = trafficThread.get()] { state->requestsInFlight = state->entry->requestsInFlight(); });
        net::sleepFor(publishInterval);
    }
}

} // namespace rattanshunt::cli
