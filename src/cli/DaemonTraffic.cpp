// Traffic threads, and what the control thread publishes to them.
#include "cli/DaemonImpl.h"

namespace rattanshunt::cli {

// ---- Traffic threads -------------------------------------------------------------------------

bool Daemon::Impl::startTrafficThreads(std::string& error)
{
    for (size_t i = 0; i < m_settings.trafficThreads; ++i) {
        auto traffic = std::make_unique<TrafficThread>();
        TrafficThread* state = traffic.get();
        net::Event ready;
        bool isListening = false;
        base::Address address = m_addresses.client;
        traffic->thread = std::thread([this, state, &ready, &isListening, &address, &error] {
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
        m_trafficThreads.push_back(std::move(traffic));
        if (!isListening)
            return false;
        m_addresses.client = address;
    }
    return true;
}

void Daemon::Impl::onEachTrafficThread(const std::function<void(TrafficThread&)>& task)
{
    for (auto& traffic : m_trafficThreads)
        net::runOn(traffic->loop, [&] { task(*traffic); });
}

void Daemon::Impl::stopTrafficThreads()
{
    for (auto& traffic : m_trafficThreads)
        traffic->loop.post([state = traffic.get()] { state->stopRequested.set(); });
    for (auto& traffic : m_trafficThreads) {
        while (!traffic->hasEnded)
            net::sleepFor(drainPollInterval);
    }
}

reports::RequestStats Daemon::Impl::readRequestStats() const
{
    reports::RequestStats book;
    for (auto& traffic : m_trafficThreads) {
        if (traffic->entry)
            traffic->entry->addRequestStatsTo(book);
    }
    return book;
}

size_t Daemon::Impl::requestsInFlight() const
{
    size_t sum = 0;
    for (auto& traffic : m_trafficThreads)
        sum += traffic->requestsInFlight.load();
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
        for (auto& traffic : m_trafficThreads)
            traffic->loop.post([state = traffic.get()] { state->requestsInFlight = state->entry->requestsInFlight(); });
        net::sleepFor(publishInterval);
    }
}

} // namespace rattanshunt::cli
